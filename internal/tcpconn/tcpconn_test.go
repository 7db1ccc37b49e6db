package tcpconn_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/tcpconn"
)

// waitTimeout ends a wait that would never end.
const waitTimeout = time.Minute

// pair returns a connection of the package and the other end of it.
func pair(t *testing.T) (near net.Conn, far *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	near, err = tcpconn.Dial(t.Context(), &net.Dialer{}, "tcp", listener.Addr().String())
	must.NoError(t, err)
	accepted, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = accepted.Close()
	})
	must.NoError(t, near.SetDeadline(time.Now().Add(waitTimeout)))
	return near, accepted.(*net.TCPConn)
}

// writeAll writes until that fails.
func writeAll(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// TestResetLooksLikeEnd checks that a reader gets the error of a connection that was reset, although a writer met it
// before, or meets it at the same time.
func TestResetLooksLikeEnd(t *testing.T) {
	for name, writerFirst := range map[string]bool{"writer first": true, "at once": false} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				near, far := pair(t)
				written := make(chan error, 1)
				go func() { written <- writeAll(near) }()
				_, err := io.WriteString(far, "part")
				must.NoError(t, err)
				must.NoError(t, far.SetLinger(0))
				must.NoError(t, far.Close())
				if writerFirst {
					must.ErrorIs(t, <-written, syscall.ECONNRESET)
				}
				_, err = io.ReadAll(near)
				must.ErrorIs(t, err, syscall.ECONNRESET)
			}
		})
	}
}

// TestEndInOrderLooksBroken checks that a reader finds the end of what the other side has closed in order, while
// writes go on, wait or have failed since nothing more is taken.
func TestEndInOrderLooksBroken(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(far *net.TCPConn) error
		// fails means that writes fail then.
		fails bool
	}{
		{"closes its end", func(far *net.TCPConn) error { return far.CloseWrite() }, false},
		{"closes its end, then resets", func(far *net.TCPConn) error {
			return errors.Join(far.CloseWrite(), far.SetLinger(0), far.Close())
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			near, far := pair(t)
			written := make(chan error, 1)
			go func() { written <- writeAll(near) }()
			_, err := io.WriteString(far, "whole")
			must.NoError(t, err)
			must.NoError(t, tt.end(far))
			if tt.fails {
				must.ErrorIs(t, <-written, syscall.EPIPE)
			}
			got, err := io.ReadAll(near)
			must.NoError(t, err)
			must.Eq(t, "whole", string(got))
		})
	}
}

// TestResetLooksLikeEndAfterClose checks that a reader does not find the end of a connection that was reset if the writer
// has met the reset and closed the connection meanwhile.
func TestResetLooksLikeEndAfterClose(t *testing.T) {
	for range 200 {
		near, far := pair(t)
		go func() {
			_ = writeAll(near)
			_ = near.Close()
		}()
		_, err := io.WriteString(far, "part")
		must.NoError(t, err)
		must.NoError(t, far.SetLinger(0))
		must.NoError(t, far.Close())
		_, err = io.ReadAll(near)
		must.Error(t, err)
	}
}
