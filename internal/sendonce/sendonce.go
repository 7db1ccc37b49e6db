// Package sendonce lets a connection carry each request once, so that what comes back on it belongs to one send.
//
// The standard transport resends some requests when a kept connection closes without a response, by rules of
// its own on methods, headers and bodies. A server that reads a request and closes runs such a request twice.
// This package does not foresee which requests that concerns: a connection refuses to write a request of which
// another connection may have written a byte. A request of which nothing was written is still sent on
// another connection.
//
// # Usage
//
//	transport := &http.Transport{DialContext: sendonce.Dialer(dial, observe)}
//	response, err := transport.RoundTrip(request.WithContext(sendonce.Watch(ctx, id)))
package sendonce

import (
	"context"
	"errors"
	"hash/maphash"
	"log/slog"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"

	"github.com/violettally/violettally/internal/duplex"
)

//go:generate go tool enumer -type=Event -trimprefix=Event -transform=snake -output=sendonce_enumer.go

// Event is something about a connection that lets a request run twice.
type Event int

// The events.
const (
	// EventResend: the transport was to write a request of which another connection may have written a part.
	EventResend Event = iota
	// EventRepeat: a connection was to write a request that it had carried before.
	EventRepeat
	// EventStray: a connection has received bytes before a request was written that they could answer.
	EventStray
	// EventForeign: an answer named another request than the one that awaited it. The client tells of it.
	EventForeign
)

// ErrSent is returned by Write for a request of which another connection may have written a part.
var ErrSent = errors.New("the request has already been sent on another connection")

// maxCarried is the number of requests that are remembered for a connection, the latest ones.
const maxCarried = 256

// request is one request that is to be sent once. It is safe for concurrent use.
type request struct {
	id string

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

// Watch returns a context for one send of a request to a transport whose connections are from [Dialer]. Answers name
// the request by its ID; "" if they don't.
func Watch(ctx context.Context, id string) context.Context {
	r := &request{id: id}
	var conn *Conn
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				conn = c
				c.use(r)
			}
		},
		PutIdleConn: func(err error) {
			if err == nil && conn != nil {
				conn.rest(r)
			}
		},
	})
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections by dial for requests of [Watch], and tells of their events.
func Dialer(dial DialFunc, observe func(Event)) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: inner, observe: observe}, nil
	}
}

// Conn is a connection of a [Dialer].
type Conn struct {
	net.Conn
	observe func(Event)

	mu sync.Mutex
	// request is the one that uses the connection, nil while it is idle; begun means that it has been written to some
	// part.
	request *request
	begun   bool
	// carried holds the hashes of the IDs of the latest requests.
	carried []uint64
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

// rest records that the connection is idle, unless another request uses it already.
func (c *Conn) rest(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request == r {
		c.request, c.begun = nil, false
	}
}

// Read reads from the connection, and notices what comes before a request that it could answer.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	stray := n > 0 && !c.begun
	c.mu.Unlock()
	if stray {
		c.report(EventStray, "")
	}
	return n, err
}

// Write writes to the connection, unless the request may have been sent on another one.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	r, begun := c.request, c.begun
	c.begun = r != nil
	c.mu.Unlock()
	if r == nil || begun {
		return c.Conn.Write(p)
	}
	if err := r.begin(c); err != nil {
		c.report(EventResend, r.id)
		return 0, err
	}
	if c.carry(r.id) {
		c.report(EventRepeat, r.id)
	}
	n, err := c.Conn.Write(p)
	r.end(n)
	c.mu.Lock()
	c.begun = n > 0
	c.mu.Unlock()
	return n, err
}

// idSeed is the seed of the hashes of IDs.
var idSeed = maphash.MakeSeed()

// carry records that the connection carries the request with an ID, and reports whether it has done so before.
func (c *Conn) carry(id string) (before bool) {
	if id == "" {
		return false
	}
	hash := maphash.String(idSeed, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	before = slices.Contains(c.carried, hash)
	if len(c.carried) == maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, hash)
	return before
}

// report logs an event, with the ID of the request, and tells of it.
func (c *Conn) report(e Event, id string) {
	slog.Warn("connection to a server", "event", e.String(), "server", c.RemoteAddr().String(), "request_id", id)
	if c.observe != nil {
		c.observe(e)
	}
}
