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

// echo answers each line with itself.
func echo(t *testing.T) string {
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

// TestModes: what each mode does to an open connection, and that it passes
// again afterwards.
func TestModes(t *testing.T) {
	tests := []struct {
		name string
		mode faultproxy.Mode
		held bool
	}{
		{"pass", faultproxy.Pass, false},
		{"delay", faultproxy.Delay, false},
		{"silent", faultproxy.Stall, true},
		{"no requests", faultproxy.StallRequests, true},
		{"no answers", faultproxy.StallResponses, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := faultproxy.Listen("127.0.0.1:0", echo(t))
			must.NoError(t, err)
			t.Cleanup(p.Close)
			c, err := net.Dial("tcp", p.Address())
			must.NoError(t, err)
			t.Cleanup(func() { c.Close() })
			lines := bufio.NewReader(c)
			p.Set(tt.mode)
			_, err = io.WriteString(c, "one\n")
			must.NoError(t, err)
			if tt.held {
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

// TestReset resets the open connection and each new one.
func TestReset(t *testing.T) {
	p, err := faultproxy.Listen("127.0.0.1:0", echo(t))
	must.NoError(t, err)
	t.Cleanup(p.Close)
	for _, open := range []bool{true, false} {
		if !open {
			p.Set(faultproxy.Reset)
		}
		c, err := net.Dial("tcp", p.Address())
		if !open && err != nil {
			// The reset may come before the dialer has looked.
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

// TestSilenceOpen: the open connection is silent for good, its closing too, and
// a new one passes.
func TestSilenceOpen(t *testing.T) {
	p, err := faultproxy.Listen("127.0.0.1:0", echo(t))
	must.NoError(t, err)
	t.Cleanup(p.Close)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", p.Address())
		must.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c, bufio.NewReader(c)
	}
	passes := func(c net.Conn, lines *bufio.Reader) {
		_, err := io.WriteString(c, "one\n")
		must.NoError(t, err)
		line, err := lines.ReadString('\n')
		must.NoError(t, err)
		must.Eq(t, "one\n", line)
	}
	open, lines := dial()
	passes(open, lines)
	p.BlackholeOpen()
	p.Set(faultproxy.Pass)
	passes(dial())
	_, err = io.WriteString(open, "two\n")
	must.NoError(t, err)
	must.NoError(t, open.(*net.TCPConn).CloseWrite())
	must.NoError(t, open.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = lines.ReadString('\n')
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
