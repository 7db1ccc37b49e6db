package standin

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
)

// SecondAnswers is a listener for a server that gives some answers twice: the second one comes late, in the place of the
// next answer on the connection. The whole first one must have been written at once, as net/http does with short ones.
type SecondAnswers struct {
	net.Listener
	// Twice reports whether an answer is given twice; nil means [IsDecline].
	Twice func(answer []byte) bool
}

// NewSecondAnswerServer starts a server that declines twice what it declines.
func NewSecondAnswerServer(handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Listener = SecondAnswers{Listener: server.Listener}
	server.Start()
	return server
}

// Accept accepts a connection.
func (l SecondAnswers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &secondAnswerConn{Conn: conn, twice: l.Twice}
	if c.twice == nil {
		c.twice = IsDecline
	}
	return c, nil
}

// secondAnswerConn is a connection of SecondAnswers. net/http writes to it from one goroutine at a time.
type secondAnswerConn struct {
	net.Conn
	twice func(answer []byte) bool
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
	if c.twice(p) {
		c.second = bytes.Clone(p)
	}
	return c.Conn.Write(p)
}

// IsDecline reports whether an answer says that the request has not run.
func IsDecline(answer []byte) bool {
	head, _, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	return bytes.HasPrefix(head, []byte("HTTP/1.1 421 ")) || bytes.Contains(head, []byte("X-Not-Run:"))
}
