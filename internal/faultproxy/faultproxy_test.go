package faultproxy_test

import (
	"bufio"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/faultproxy"
)

// echoServer starts a TCP server that echoes all bytes and returns its address.
func echoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String()
}

// TestModes checks the effect of each mode on an open connection, and that data
// is forwarded again once the mode is back to Pass.
func TestModes(t *testing.T) {
	tests := []struct {
		name    string
		mode    faultproxy.Mode
		stalled bool
	}{
		{"pass", faultproxy.Pass, false},
		{"delay", faultproxy.Delay, false},
		{"stall", faultproxy.Stall, true},
		{"stall requests", faultproxy.StallRequests, true},
		{"stall responses", faultproxy.StallResponses, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := faultproxy.Listen("127.0.0.1:0", echoServer(t))
			must.NoError(t, err)
			t.Cleanup(p.Close)
			c, err := net.Dial("tcp", p.Address())
			must.NoError(t, err)
			t.Cleanup(func() { c.Close() })
			lines := bufio.NewReader(c)
			p.Set(tt.mode)
			_, err = io.WriteString(c, "one\n")
			must.NoError(t, err)
			if tt.stalled {
				must.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
				_, err = lines.ReadString('\n')
				must.ErrorIs(t, err, os.ErrDeadlineExceeded)
				must.NoError(t, c.SetReadDeadline(time.Time{}))
			}
			p.Set(faultproxy.Pass)
			line, err := lines.ReadString('\n')
			must.NoError(t, err)
			must.Eq(t, "one\n", line)
		})
	}
}

// TestReset checks that Reset resets an open connection and each new one.
func TestReset(t *testing.T) {
	p, err := faultproxy.Listen("127.0.0.1:0", echoServer(t))
	must.NoError(t, err)
	t.Cleanup(p.Close)
	for _, open := range []bool{true, false} {
		if !open {
			p.Set(faultproxy.Reset)
		}
		c, err := net.Dial("tcp", p.Address())
		if !open && err != nil {
			// The reset may arrive before Dial returns.
			must.ErrorIs(t, err, syscall.ECONNRESET)
			continue
		}
		must.NoError(t, err)
		if open {
			_, err = io.WriteString(c, "one\n")
			must.NoError(t, err)
			_, err = bufio.NewReader(c).ReadString('\n')
			must.NoError(t, err)
			p.Set(faultproxy.Reset)
		}
		_, err = c.Read(make([]byte, 1))
		must.ErrorIs(t, err, syscall.ECONNRESET)
		c.Close()
	}
}

// TestBlackholeOpen checks that data and the close of an open connection are
// discarded for good, while a new connection is forwarded.
func TestBlackholeOpen(t *testing.T) {
	p, err := faultproxy.Listen("127.0.0.1:0", echoServer(t))
	must.NoError(t, err)
	t.Cleanup(p.Close)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", p.Address())
		must.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c, bufio.NewReader(c)
	}
	mustEcho := func(c net.Conn, lines *bufio.Reader) {
		_, err := io.WriteString(c, "one\n")
		must.NoError(t, err)
		line, err := lines.ReadString('\n')
		must.NoError(t, err)
		must.Eq(t, "one\n", line)
	}
	open, lines := dial()
	mustEcho(open, lines)
	p.BlackholeOpen()
	p.Set(faultproxy.Pass)
	mustEcho(dial())
	_, err = io.WriteString(open, "two\n")
	must.NoError(t, err)
	must.NoError(t, open.(*net.TCPConn).CloseWrite())
	must.NoError(t, open.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = lines.ReadString('\n')
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
