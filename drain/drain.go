// Package drain closes a server's connections without interrupting a request.
//
// The shutdown of net/http's server closes connections that it considers idle.
// It considers a connection idle until it has parsed a request's header, so a
// request whose bytes have just been read can still reach the handler and then
// lose its connection. A [Listener] counts a connection as busy from the first
// byte on.
//
// # Usage
//
//	l := drain.NewListener(listener)
//	server := &http.Server{Handler: h, ConnState: l.ConnState}
//	go server.Serve(l)
//	…
//	listener.Close()
//	l.CloseIdle()
//	l.Wait(ctx)
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Listener tracks the connections that it accepts. It is safe for concurrent
// use.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*conn]struct{}
	// closing means that connections are closed as soon as they are idle.
	closing bool
	// connClosed is closed and replaced when a connection has closed.
	connClosed chan struct{}
}

// NewListener returns a listener that tracks the connections of inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, open: make(map[*conn]struct{}), connClosed: make(chan struct{})}
}

// Accept accepts a connection and tracks it.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	l.open[c] = struct{}{}
	closing := l.closing
	l.mu.Unlock()
	if closing {
		// CloseIdle may have run before the connection was tracked.
		c.closeIfIdle()
	}
	return c, nil
}

// ConnState is the server's ConnState hook, which reports when a connection
// becomes idle again.
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.markIdle()
	l.mu.Lock()
	closing := l.closing
	l.mu.Unlock()
	if closing {
		c.closeIfIdle()
	}
}

// CloseIdle closes the connections on which no byte of a next request has
// arrived, now and whenever one becomes idle.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	l.closing = true
	open := make([]*conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.closeIfIdle()
	}
}

// Wait returns nil once no connection is open, or the context's error.
func (l *Listener) Wait(ctx context.Context) error {
	for {
		l.mu.Lock()
		open, connClosed := len(l.open), l.connClosed
		l.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-connClosed:
		}
	}
}

// OpenConns returns the number of open connections.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// remove stops tracking a connection that closes. A second call does nothing.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.open[c]; known {
		delete(l.open, c)
		close(l.connClosed)
		l.connClosed = make(chan struct{})
	}
}

// conn is a connection that tracks whether a request has begun on it.
type conn struct {
	net.Conn
	listener *Listener

	mu   sync.Mutex
	busy bool
	// readAfterWrite means that bytes were read after the last write: the
	// client sent its next request before the server reported the connection as
	// idle.
	readAfterWrite bool
	// closed means that closeIfIdle has closed the connection.
	closed bool
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read marks the connection as busy. Bytes that arrive after closeIfIdle are
// discarded; the close tells the client that they were not read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.busy, c.readAfterWrite = true, true
	}
	return n, err
}

// Write records that the server has begun to respond to what was read before.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.readAfterWrite = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close closes the connection and wakes Wait.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// markIdle records that the server considers the connection idle. It stays busy
// if bytes of the next request have been read.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.readAfterWrite
}

// closeIfIdle closes the connection unless a request has begun on it.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closed {
		return
	}
	c.closed = true
	c.listener.remove(c)
	// The error does not matter: the server's goroutine closes the connection again.
	_ = c.Conn.Close()
}
