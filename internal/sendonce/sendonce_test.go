package sendonce_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
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
				ctx, _ := sendonce.Watch(t.Context(), "")
				q, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
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

// exchange is a transport and its server, with the connections that were opened.
type exchange struct {
	t         *testing.T
	transport *http.Transport
	server    *httptest.Server
	received  atomic.Int32
	conns     []net.Conn
	events    []sendonce.Event
}

func newExchange(t *testing.T) *exchange {
	x := &exchange{t: t}
	x.server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { x.received.Add(1) }))
	t.Cleanup(x.server.Close)
	x.transport = &http.Transport{DialContext: sendonce.Dialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		x.conns = append(x.conns, conn)
		return conn, err
	}, func(e sendonce.Event) { x.events = append(x.events, e) })}
	t.Cleanup(x.transport.CloseIdleConnections)
	return x
}

// send sends a request with a body that the transport cannot send again by itself.
func (x *exchange) send(id string) (*sendonce.Send, error) {
	ctx, sent := sendonce.Watch(x.t.Context(), id)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, x.server.URL, io.NopCloser(strings.NewReader("data")))
	must.NoError(x.t, err)
	response, err := x.transport.RoundTrip(q)
	if err == nil {
		response.Body.Close()
	}
	return sent, err
}

// TestConnectionCarriesRequestTwice checks that a connection refuses a request that it has carried, that nothing of it is
// sent, and that it can be sent on another connection.
func TestConnectionCarriesRequestTwice(t *testing.T) {
	x := newExchange(t)
	for _, id := range []string{"1", "2", "", ""} {
		_, err := x.send(id)
		must.NoError(t, err)
	}
	must.Len(t, 1, x.conns)
	sent, err := x.send("1")
	must.Error(t, err)
	must.True(t, sent.Refused())
	must.Eq(t, 4, x.received.Load())
	must.Eq(t, []sendonce.Event{sendonce.EventRepeat}, x.events)
	sent, err = x.send("1")
	must.NoError(t, err)
	must.False(t, sent.Refused())
	must.Len(t, 2, x.conns)
}

// TestAnswerBeforeRequest checks that a connection is retired that receives bytes before a request is written.
func TestAnswerBeforeRequest(t *testing.T) {
	server, client := net.Pipe()
	defer server.Close()
	dial := sendonce.Dialer(func(context.Context, string, string) (net.Conn, error) { return client, nil }, nil)
	conn, err := dial(t.Context(), "tcp", "")
	must.NoError(t, err)
	ctx, sent := sendonce.Watch(t.Context(), "1")
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{Conn: conn})
	go func() { _, _ = server.Write([]byte("HTTP/1.1 200 OK\r\n")) }()
	_, err = conn.Read(make([]byte, 1))
	must.NoError(t, err)
	n, err := conn.Write([]byte("POST"))
	must.ErrorIs(t, err, sendonce.ErrUnfit)
	must.Eq(t, 0, n)
	must.True(t, sent.Refused())
}

// TestForgottenRequest checks that a connection carries no more requests than it remembers.
func TestForgottenRequest(t *testing.T) {
	x := newExchange(t)
	const requests = 600
	for i := range requests {
		if sent, err := x.send(strconv.Itoa(i)); err != nil {
			must.True(t, sent.Refused()) // the transport has not noticed the end of the connection yet
		}
	}
	must.GreaterEq(t, requests/256, len(x.conns))
	sent, err := x.send("0")
	must.True(t, err == nil || sent.Refused())
	must.Eq(t, 0, len(x.events))
}
