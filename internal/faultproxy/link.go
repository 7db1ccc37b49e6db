package faultproxy

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// LinkMode is the state of a Link.
type LinkMode int

// The modes.
const (
	// LinkUp: connections work.
	LinkUp LinkMode = iota
	// LinkSilent: open connections deliver nothing, and new ones are not answered. What was
	// written is delivered once the link is up again.
	LinkSilent
	// LinkReset: open connections are reset, new ones refused.
	LinkReset
	// LinkRefuse: open connections work, new ones are refused.
	LinkRefuse
)

// Link is the way from one process to all others: it opens TCP connections that can be cut. Unlike
// a Proxy it also cuts connections that are being opened. It is safe for concurrent use.
type Link struct {
	mu   sync.Mutex
	mode LinkMode
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	open    map[*linkConn]struct{}
}

// NewLink returns a link that is up.
func NewLink() *Link {
	return &Link{changed: make(chan struct{}), open: make(map[*linkConn]struct{})}
}

// Set changes the mode.
func (l *Link) Set(mode LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
	for c := range l.open {
		switch mode {
		case LinkReset:
			c.reset()
		case LinkUp, LinkRefuse:
			c.deliver()
		case LinkSilent:
		}
	}
}

// ResetTo resets the open connections to an address.
func (l *Link) ResetTo(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.RemoteAddr().String() == address {
			c.reset()
		}
	}
}

// state returns the mode and the channel that is closed when it changes.
func (l *Link) state() (LinkMode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

// DialContext opens a connection.
func (l *Link) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	mode, changed := l.state()
	if mode == LinkSilent {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		case <-changed:
			mode, _ = l.state()
		}
	}
	if mode != LinkUp {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	inner, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: inner, link: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// linkConn is a connection over a Link.
type linkConn struct {
	net.Conn
	link *Link
	// closed is closed when this end has closed the connection.
	closed    chan struct{}
	closeOnce sync.Once
	// unsent is what was written while the link was silent, and closing means that the close is
	// to follow. Both are guarded by link.mu.
	unsent  []byte
	closing bool
}

// Read reads what arrives while the link is not silent.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for {
		mode, changed := c.link.state()
		if mode != LinkSilent {
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Write writes, or keeps the bytes until the link is up.
func (c *linkConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	if c.keep(p) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// keep keeps what is to be written if the link is silent.
func (c *linkConn) keep(p []byte) bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.link.mode != LinkSilent {
		return false
	}
	c.unsent = append(c.unsent, p...)
	return true
}

// Close closes this end; the other end learns of it once the link is not silent.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.link.mode == LinkSilent {
		c.closing = true
		return c.Conn.SetReadDeadline(time.Now()) // ends a Read that waits
	}
	delete(c.link.open, c)
	return c.Conn.Close()
}

// deliver sends what was kept while the link was silent. The caller holds link.mu.
func (c *linkConn) deliver() {
	_, _ = c.Conn.Write(c.unsent)
	c.unsent = nil
	if c.closing {
		delete(c.link.open, c)
		_ = c.Conn.Close()
	}
}

// reset resets the connection. The caller holds link.mu.
func (c *linkConn) reset() {
	delete(c.link.open, c)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
