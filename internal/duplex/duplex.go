// Package duplex sends requests with long bodies while their responses are read.
//
// A server may respond before it has read a long body, and read on later. The standard transport closes the
// connection shortly after such a response has ended, and the server never gets the rest of the body. This
// package has a connection of its own for each request with a long body, which stays open until the body has been
// sent and the server has closed its end. Other requests go by another http.RoundTripper.
//
// Requests must have a deadline, which bounds all this.
//
// # Usage
//
//	transport := duplex.NewTransport(dial, short, maxHeadBytes)
//	response, err := transport.RoundTrip(request)
//	…
//	_, err = io.Copy(w, response.Body)
//	err = duplex.AwaitSent(ctx, response.Body) // a body that can be read only now must be sent by now
//	response.Body.Close()                      // goes on sending, if the response is whole
package duplex

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/internal/responsehead"
)

// SocketBytes is the number of bytes that the sockets of a connection take without the server's reading them. Longer
// bodies are not left to the other RoundTripper.
const SocketBytes = 32 << 10

const (
	// maxSurplus is the number of bytes after a whole response that are read and discarded.
	maxSurplus = 64 << 10
	// defaultTimeout bounds requests without a deadline.
	defaultTimeout = 30 * time.Second
)

// errNoHalfClose means that a connection cannot be closed in one direction.
var errNoHalfClose = errors.New("the connection cannot be closed in one direction")

// CloseWrite closes the sending end of a connection whose type allows that. What has been written is still delivered.
func CloseWrite(conn net.Conn) error {
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errNoHalfClose
}

// Transport is an http.RoundTripper. It is safe for concurrent use.
type Transport struct {
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	short        http.RoundTripper
	maxHeadBytes int64
}

// NewTransport returns a transport that opens connections with dial for requests with long bodies, and leaves the
// others to short. A response's head may have maxHeadBytes.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), short http.RoundTripper, maxHeadBytes int64) *Transport {
	return &Transport{dial: dial, short: short, maxHeadBytes: maxHeadBytes}
}

// RoundTrip sends a request and returns the head of its response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if !isLong(request) {
		return t.short.RoundTrip(request)
	}
	ctx := request.Context()
	conn, err := t.dial(ctx, "tcp", address(request))
	if err != nil {
		request.Body.Close()
		return nil, err
	}
	trace := httptrace.ContextClientTrace(ctx)
	if trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: conn})
	}
	x := newExchange(ctx, conn)
	go x.send(request)
	response, err := x.receiveHead(request, trace, t.maxHeadBytes)
	if err != nil {
		x.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	response.Body = &responseBody{ReadCloser: responsehead.CheckedBody(response), exchange: x}
	return response, nil
}

// isLong reports whether this package sends a request. Bodies of unknown length may be long.
func isLong(request *http.Request) bool {
	if request.Body == nil || request.Body == http.NoBody || request.URL.Scheme != "http" {
		return false
	}
	return request.ContentLength <= 0 || request.ContentLength > SocketBytes
}

// address returns the address of a request's server, with its port.
func address(request *http.Request) string {
	if request.URL.Port() == "" {
		return net.JoinHostPort(request.URL.Hostname(), "80")
	}
	return request.URL.Host
}

// CloseIdleConnections closes the idle connections of the other RoundTripper.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.short.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// exchange is one request and its response on a connection.
type exchange struct {
	conn     net.Conn
	deadline time.Time
	// unwatch stops closing the connection when the request's context ends. It returns false if that has begun.
	unwatch func() bool
	// sent is closed once the request has been written, or sendErr says why it cannot be.
	sent    chan struct{}
	sendErr error
}

func newExchange(ctx context.Context, conn net.Conn) *exchange {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	return &exchange{
		conn:     conn,
		deadline: deadline,
		unwatch:  context.AfterFunc(ctx, func() { _ = conn.Close() }),
		sent:     make(chan struct{}),
	}
}

// send writes the request. If the server no longer takes it, its response may have come nevertheless.
func (x *exchange) send(request *http.Request) {
	defer close(x.sent)
	body := &requestBody{ReadCloser: request.Body}
	watched := *request
	watched.Body = body
	out := &connWriter{conn: x.conn}
	buffered := bufio.NewWriter(out)
	x.sendErr = errors.Join(watched.Write(buffered), buffered.Flush())
	if body.err != nil || (x.sendErr != nil && out.written == 0) {
		_ = x.conn.Close() // no response will come
	}
}

// receiveHead reads the head of the final response.
func (x *exchange) receiveHead(request *http.Request, trace *httptrace.ClientTrace, maxBytes int64) (*http.Response, error) {
	limited := &io.LimitedReader{R: x.conn, N: maxBytes}
	buffered := bufio.NewReader(limited)
	if _, err := buffered.Peek(1); err != nil {
		return nil, err
	}
	if trace != nil && trace.GotFirstResponseByte != nil {
		trace.GotFirstResponseByte()
	}
	for {
		response, err := http.ReadResponse(buffered, request)
		if err == nil {
			err = responsehead.Check(response)
		}
		if err != nil {
			return nil, err
		}
		if informational := response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols; !informational {
			limited.N = math.MaxInt64
			return response, nil
		}
	}
}

// abort closes the connection at once.
func (x *exchange) abort() {
	x.unwatch()
	_ = x.conn.Close()
}

// linger goes on until the request has been sent and the server has closed its end, or until the deadline. Then it
// closes the connection.
func (x *exchange) linger() {
	defer x.conn.Close()
	limit := time.AfterFunc(time.Until(x.deadline), func() { _ = x.conn.Close() })
	defer limit.Stop()
	<-x.sent
	if x.sendErr != nil || CloseWrite(x.conn) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, x.conn, maxSurplus)
}

// responseBody is the body of a response.
type responseBody struct {
	io.ReadCloser
	exchange *exchange
	// whole is set once the body has been read to its end.
	whole     atomic.Bool
	closeOnce sync.Once
	// lingers is set by Close.
	lingers bool
}

// Read reads from the body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole.Store(true)
	}
	return n, err
}

// Close ends the exchange. If the response has been read to its end, the request is still sent to its end.
func (b *responseBody) Close() error {
	b.closeOnce.Do(func() {
		whole := b.whole.Load() || b.ReadCloser == http.NoBody
		if b.lingers = whole && b.exchange.unwatch(); b.lingers {
			go b.exchange.linger()
			return
		}
		b.exchange.abort()
	})
	return nil
}

// AwaitSent waits until the request of a response that has been read to its end has been sent, or until the context
// ends. It returns an error if the server did not take the whole request.
func AwaitSent(ctx context.Context, body io.ReadCloser) error {
	b, ok := body.(*responseBody)
	if !ok || !b.whole.Load() {
		return nil
	}
	select {
	case <-b.exchange.sent:
		return b.exchange.sendErr
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Lingers reports whether the request of a response whose body has been closed is still sent to its end.
func Lingers(body io.ReadCloser) bool {
	b, ok := body.(*responseBody)
	return ok && b.lingers
}

// requestBody keeps the error of reading a request's body.
type requestBody struct {
	io.ReadCloser
	err error
}

// Read reads from the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// connWriter counts the bytes that were written to a connection.
type connWriter struct {
	conn    net.Conn
	written int64
}

// Write writes to the connection.
func (w *connWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.written += int64(n)
	return n, err
}

// ReadFrom writes what a reader returns, each part as it comes.
func (w *connWriter) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{w}, r)
}
