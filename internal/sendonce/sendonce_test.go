package sendonce_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/sendonce"
)

// errBroken is the error of a connection that can't be written to.
var errBroken = errors.New("broken")

// brokenConn is a connection that writes nothing once it is broken.
type brokenConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c brokenConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, errBroken
	}
	return c.Conn.Write(p)
}

// TestUnwrittenRequestIsSentAgain checks that a request of which a kept connection wrote nothing is sent on
// another one, and one of which it wrote a part is not.
func TestUnwrittenRequestIsSentAgain(t *testing.T) {
	for name, tt := range map[string]struct {
		breakFirst, abort bool
		received          int32
	}{"nothing written": {breakFirst: true, received: 2}, "read and closed": {abort: true, received: 2}} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if received.Add(1) == 2 && tt.abort {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			var first atomic.Bool
			opened := 0
			transport := &http.Transport{DialContext: sendonce.Dialer(func(ctx context.Context, network, address string) (net.Conn, error) {
				opened++
				broken := &first
				if opened > 1 {
					broken = new(atomic.Bool)
				}
				inner, err := new(net.Dialer).DialContext(ctx, network, address)
				return brokenConn{inner, broken}, err
			}, nil)}
			defer transport.CloseIdleConnections()
			get := func() error {
				q, err := http.NewRequestWithContext(sendonce.Watch(t.Context(), ""), http.MethodGet, server.URL, nil)
				must.NoError(t, err)
				response, err := transport.RoundTrip(q)
				if err == nil {
					response.Body.Close()
				}
				return err
			}
			must.NoError(t, get())
			first.Store(tt.breakFirst)
			err := get()
			if tt.abort {
				must.Error(t, err)
			} else {
				must.NoError(t, err)
			}
			must.Eq(t, tt.received, received.Load())
		})
	}
}
