// Package sendonce keeps net/http from sending a request again by itself.
//
// The standard transport resends some requests when a kept connection closes without a response, by rules of
// its own on methods, headers and bodies. A server that reads a request and closes runs such a request twice.
// This package does not foresee which requests that concerns: a connection refuses to write a request of which
// another connection may have written a byte. A request of which nothing was written is still sent on
// another connection.
//
// # Usage
//
//	transport := &http.Transport{DialContext: sendonce.Dialer(dial)}
//	response, err := transport.RoundTrip(request.WithContext(sendonce.Watch(ctx)))
package sendonce

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/violettally/violettally/internal/duplex"
)

// ErrSent is returned by Write for a request of which another connection may have written a part.
var ErrSent = errors.New("the request has already been sent on another connection")

// request is one request that is to be sent once. It is safe for concurrent use.
type request struct {
	mu sync.Mutex
	// conn is the connection that may have written a part of the request; nil for none.
	conn *Conn
}

// begin returns ErrSent if a connection other than the given one may have written a part of the request.
// Otherwise the given one counts as such until end.
func (r *request) begin(c *Conn) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && r.conn != c {
		return ErrSent
	}
	r.conn = c
	return nil
}

// end is called after the first write of the request on a connection, with the number of bytes that were
// written. If there were none, another connection may write it.
func (r *request) end(written int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if written == 0 {
		r.conn = nil
	}
}

// Watch returns a context for one request to a transport whose connections are from [Dialer].
func Watch(ctx context.Context) context.Context {
	r := new(request)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.use(r)
		}
	}})
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections by dial for requests of [Watch].
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: inner}, nil
	}
}

// Conn is a connection of a [Dialer].
type Conn struct {
	net.Conn

	mu sync.Mutex
	// request is the one that uses the connection, begun means that it has been written to some part.
	request *request
	begun   bool
}

// NetConn returns the connection that dial opened.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending end of the connection.
func (c *Conn) CloseWrite() error { return duplex.CloseWrite(c.Conn) }

// use records that a request uses the connection from now on.
func (c *Conn) use(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.begun = r, false
}

// Write writes to the connection, unless the request may have been sent on another one.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	r, begun := c.request, c.begun
	c.mu.Unlock()
	if r == nil || begun {
		return c.Conn.Write(p)
	}
	if err := r.begin(c); err != nil {
		slog.Warn("request not sent again by the transport", "server", c.RemoteAddr().String())
		return 0, err
	}
	n, err := c.Conn.Write(p)
	r.end(n)
	c.mu.Lock()
	c.begun = n > 0
	c.mu.Unlock()
	return n, err
}
