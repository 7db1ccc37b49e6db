package drain_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/drain"
)

// slowConn holds up the server after the first bytes have been read, so that a
// test can act between the arrival of a request and its parsing.
type slowConn struct {
	net.Conn
	once    *sync.Once
	arrived chan struct{}
	proceed chan struct{}
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.once.Do(func() {
			close(c.arrived)
			<-c.proceed
		})
	}
	return n, err
}

type slowListener struct {
	net.Listener
	once             sync.Once
	arrived, proceed chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: c, once: &l.once, arrived: l.arrived, proceed: l.proceed}, nil
}

func serve(t *testing.T, inner net.Listener, handler http.Handler) *drain.Listener {
	l := drain.NewListener(inner)
	server := &http.Server{Handler: handler, ConnState: l.ConnState}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return l
}

func sendRequest(t *testing.T, c net.Conn, r *bufio.Reader) (*http.Response, error) {
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	return http.ReadResponse(r, nil)
}

// TestRequestDuringCloseIdle checks that a request whose bytes have been read
// when the idle connections are closed gets its whole response or never reaches
// the handler.
// The shutdown of net/http's server lets it reach the handler and closes its
// connection.
func TestRequestDuringCloseIdle(t *testing.T) {
	inner := &slowListener{Listener: listen(t), arrived: make(chan struct{}), proceed: make(chan struct{})}
	handled := make(chan struct{}, 1)
	l := serve(t, inner, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled <- struct{}{}
		_, _ = io.WriteString(w, "whole")
	}))
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	<-inner.arrived
	closeDone := make(chan struct{})
	go func() {
		l.CloseIdle()
		close(closeDone)
	}()
	close(inner.proceed)
	<-closeDone
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	// Either the connection was closed before the request was read, or the
	// response is complete. No request reaches the handler and is cut off.
	if err != nil {
		must.Eq(t, 0, len(handled))
		return
	}
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, "whole", string(body))
}

// TestCloseIdle checks that idle connections are closed at once and busy ones
// as soon as they are idle.
func TestCloseIdle(t *testing.T) {
	entered, finish := make(chan struct{}), make(chan struct{})
	l := serve(t, listen(t), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			close(entered)
			<-finish
		}
		_, _ = io.WriteString(w, "ok")
	}))
	idle, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	idleReader := bufio.NewReader(idle)
	response, err := sendRequest(t, idle, idleReader)
	must.NoError(t, err)
	_, _ = io.ReadAll(response.Body)
	busy, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	_, err = fmt.Fprint(busy, "GET / HTTP/1.1\r\nHost: a\r\nSlow: 1\r\n\r\n")
	must.NoError(t, err)
	<-entered
	must.Eq(t, 2, l.OpenConns())

	l.CloseIdle()
	_, err = idleReader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, 1, l.OpenConns())

	waited := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		waited <- l.Wait(ctx)
	}()
	close(finish)
	response, err = http.ReadResponse(bufio.NewReader(busy), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, "ok", string(body))
	must.NoError(t, <-waited)
}

// pausedListener returns an accepted connection only once proceed is closed.
type pausedListener struct {
	net.Listener
	accepted, proceed chan struct{}
}

func (l *pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.proceed
	}
	return c, err
}

// TestAcceptDuringCloseIdle checks that a connection accepted while the idle
// ones are closed is closed as well. Otherwise it would stay open until the
// process ends.
func TestAcceptDuringCloseIdle(t *testing.T) {
	inner := &pausedListener{listen(t), make(chan struct{}), make(chan struct{})}
	l := serve(t, inner, http.NotFoundHandler())
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	<-inner.accepted
	must.NoError(t, l.Listener.Close())
	l.CloseIdle()
	close(inner.proceed)
	_, err = c.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, 0, l.OpenConns())
}
