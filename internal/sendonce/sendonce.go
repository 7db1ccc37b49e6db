// Package sendonce lets a connection carry each request once, so that what comes back on it belongs to one send.
//
// The standard transport resends some requests when a kept connection closes without a response, by rules of
// its own on methods, headers and bodies. A server that reads a request and closes runs such a request twice.
// This package does not foresee which requests that concerns: a connection refuses to write a request of which
// another connection may have written a byte. A request of which nothing was written is still sent on
// another connection.
//
// A request that was declined may be sent again to the same address, where another server may run by then. Servers may
// answer twice, the second time late, and an answer names its request, not the send that it belongs to. A
// connection therefore also refuses a request that it has carried before, and every request once it has
// received bytes that no request could have asked for.
//
// # Usage
//
//	transport := &http.Transport{DialContext: sendonce.Dialer(dial, observe)}
//	ctx, send := sendonce.Watch(ctx, id)
//	response, err := transport.RoundTrip(request.WithContext(ctx))
//	if send.Refused() {
//		… // nothing was written, so a response is not this request's
//	}
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

// Event is something about a connection that could let a request run twice.
type Event int

// The events.
const (
	// EventResend: the transport was to write a request of which another connection may have written a part.
	EventResend Event = iota
	// EventRepeat: a connection was to write a request that it had carried before.
	EventRepeat
	// EventStray: a connection has received bytes before a request was written that they could answer.
	EventStray
	// EventForeign: an answer named another request than the one that awaited it; see [Send.ReportForeign].
	EventForeign
)

var (
	// ErrSent is returned by Write for a request of which another connection may have written a part.
	ErrSent = errors.New("the request has already been sent on another connection")
	// ErrUnfit is returned by Write if an answer on the connection could belong to another send.
	ErrUnfit = errors.New("the connection is unfit for the request")
)

// maxCarried is the number of requests that a connection carries. All of them are remembered.
const maxCarried = 256

// Send is one send of a request. It is safe for concurrent use.
type Send struct {
	id string

	mu sync.Mutex
	// conn is the connection that may have written a part of the request; nil for none.
	conn *Conn
	// refused means that a connection was unfit.
	refused bool
}

// Refused reports whether nothing was written because connections were unfit for the request.
func (s *Send) Refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused && s.conn == nil
}

// begin returns ErrSent if a connection other than the given one may have written a part of the request.
// Otherwise the given one counts as such until end.
func (s *Send) begin(c *Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn != c {
		return ErrSent
	}
	s.conn = c
	return nil
}

// end is called after the first write of the request on a connection, with the number of bytes that were
// written. If there were none, another connection may write it.
func (s *Send) end(written int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if written == 0 {
		s.conn = nil
	}
}

// refuse ends a write that has not begun, since the connection is unfit for the request.
func (s *Send) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.refused = nil, true
}

// ReportForeign reports that the answer that came named another request.
func (s *Send) ReportForeign() {
	if conn := s.writingConn(); conn != nil {
		conn.report(EventForeign, s.id)
	}
}

// RetireConn makes the connection that has written the request unfit for further ones: what came on it is malformed.
func (s *Send) RetireConn() {
	if conn := s.writingConn(); conn != nil {
		conn.Retire()
	}
}

// writingConn returns the connection that may have written a part of the request; nil for none.
func (s *Send) writingConn() *Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// Watch returns a context for one send of a request to a transport whose connections are from [Dialer]. The ID is that by
// which answers name the request; "" if they don't.
func Watch(ctx context.Context, id string) (context.Context, *Send) {
	s := &Send{id: id}
	var conn *Conn
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				conn = c
				c.use(s)
			}
		},
		PutIdleConn: func(err error) {
			if err == nil && conn != nil {
				conn.rest(s)
			}
		},
	}), s
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
	// send is the one that uses the connection, nil while it is idle; begun means that it is being written, or has been.
	send  *Send
	begun bool
	// carried holds the hashes of the IDs of the requests that were written.
	carried []uint64
	// retired means that no further request is written.
	retired bool
}

// NetConn returns the connection that dial opened.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending end of the connection.
func (c *Conn) CloseWrite() error { return duplex.CloseWrite(c.Conn) }

// Retire makes the connection unfit for further requests, and reports whether it was before. It closes an idle one; a
// send that uses it goes on.
func (c *Conn) Retire() (before bool) {
	c.mu.Lock()
	before, c.retired = c.retired, true
	idle := c.send == nil
	c.mu.Unlock()
	if idle {
		_ = c.Conn.Close() // the transport notices
	}
	return before
}

// use records that a send uses the connection from now on.
func (c *Conn) use(s *Send) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send, c.begun = s, false
}

// rest records that the connection is idle, unless another send uses it already, and closes it if it is of no more use.
func (c *Conn) rest(s *Send) {
	c.mu.Lock()
	idle := c.send == s
	if idle {
		c.send, c.begun = nil, false
	}
	unfit := c.retired || len(c.carried) >= maxCarried
	c.mu.Unlock()
	if idle && unfit {
		_ = c.Conn.Close() // the transport notices
	}
}

// Read reads from the connection. It retires a connection that receives something before a request is written that
// could have asked for it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	stray := n > 0 && !c.begun
	c.retired = c.retired || stray
	c.mu.Unlock()
	if stray {
		c.report(EventStray, "")
	}
	return n, err
}

// Write writes to the connection, unless the request may have been sent on another one or the connection is unfit for
// it.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	s, begun := c.send, c.begun
	c.mu.Unlock()
	switch {
	case begun:
		return c.Conn.Write(p)
	case s == nil:
		return 0, ErrUnfit
	}
	if err := s.begin(c); err != nil {
		c.report(EventResend, s.id)
		return 0, err
	}
	if err := c.carry(s.id); err != nil {
		s.refuse()
		return 0, err
	}
	n, err := c.Conn.Write(p)
	s.end(n)
	if n == 0 {
		c.use(s)
	}
	return n, err
}

// idSeed is the seed of the hashes of IDs.
var idSeed = maphash.MakeSeed()

// carry records that the connection begins to write the request with an ID, or returns ErrUnfit.
func (c *Conn) carry(id string) error {
	hash := maphash.String(idSeed, id)
	c.mu.Lock()
	repeat := id != "" && slices.Contains(c.carried, hash)
	unfit := repeat || c.retired || len(c.carried) >= maxCarried
	if id != "" && !unfit {
		c.carried = append(c.carried, hash)
	}
	c.begun = !unfit
	c.mu.Unlock()
	if repeat {
		c.report(EventRepeat, id)
	}
	if unfit {
		return ErrUnfit
	}
	return nil
}

// report logs an event, with the ID of the request, and tells of it.
func (c *Conn) report(e Event, id string) {
	slog.Warn("connection to a server", "event", e.String(), "server", c.RemoteAddr().String(), "request_id", id)
	if c.observe != nil {
		c.observe(e)
	}
}
