package standin

import (
	"bytes"
	"net"
)

// SecondAnswers is a listener for a server that answers each request that it declines twice: the second answer comes
// late, in the place of the next answer on the connection. The whole first one must have been written at once, as
// net/http does.
type SecondAnswers struct {
	net.Listener
	// Active reports whether the server behaves so now; nil means always.
	Active func() bool
}

// Accept accepts a connection.
func (l SecondAnswers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &secondAnswerConn{Conn: conn, active: l.Active}, nil
}

// secondAnswerConn is a connection of SecondAnswers. net/http writes to it from one goroutine at a time.
type secondAnswerConn struct {
	net.Conn
	active func() bool
	// second is the second answer that is due before the next one; nil for none.
	second []byte
}

// Write writes the second answer that is due, and then p.
func (c *secondAnswerConn) Write(p []byte) (int, error) {
	if len(c.second) > 0 {
		if _, err := c.Conn.Write(c.second); err != nil {
			return 0, err
		}
		c.second = nil
	}
	if declines(p) && (c.active == nil || c.active()) {
		c.second = bytes.Clone(p)
	}
	return c.Conn.Write(p)
}

// declines reports whether a server that writes these bytes declines a request.
func declines(answer []byte) bool {
	head, _, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	return bytes.HasPrefix(head, []byte("HTTP/1.1 421 ")) || bytes.Contains(head, []byte("X-Not-Run:"))
}
