package inbound

import (
	"bytes"
	"context"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"
)

// Listener accepts a bounded number of connections.
type Listener struct {
	net.Listener
	budget *Budget
	// maxConns bounds the open connections; zero for no bound.
	maxConns int
	limits   func() Limits
	// narrow means that connections have receive buffers of HeadReceiveBuffer.
	narrow bool
	// open is the number of open connections, guarded by the budget's mu.
	open int
}

// ListenerOption configures a Listener in [Budget.Listen].
type ListenerOption func(*Listener)

// WithConns bounds the number of open connections.
func WithConns(most int) ListenerOption {
	return func(l *Listener) { l.maxConns = most }
}

// WithLimits sets the limits for clients, which may change.
func WithLimits(limits func() Limits) ListenerOption {
	return func(l *Listener) { l.limits = limits }
}

// WithNarrowBuffers says that the connections have receive buffers of [HeadReceiveBuffer], inherited from the socket of
// the inner listener. A connection gets a larger one when there is room for a body.
func WithNarrowBuffers() ListenerOption {
	return func(l *Listener) { l.narrow = true }
}

// Listen returns a listener whose connections share the budget.
func (b *Budget) Listen(inner net.Listener, options ...ListenerOption) *Listener {
	l := &Listener{Listener: inner, budget: b, limits: func() Limits { return DefaultLimits }}
	for _, option := range options {
		option(l)
	}
	return l
}

// Accept accepts a connection. It closes those for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit returns the connection if there is room for it, after closing another one if that is necessary; else nil.
func (l *Listener) admit(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, listener: l, narrow: l.narrow}
	c.readSince.Store(clock(time.Now()))
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.maxConns > 0 && l.open >= l.maxConns && !l.evictOne() {
		b.observe(RefusalConnection, inner.RemoteAddr())
		return nil
	}
	l.open++
	b.conns[c] = struct{}{}
	return c
}

// evictOne closes a connection of the listener in favour of a new one. It returns false if there is none to close, or
// if too many are being closed already. The caller holds the budget's mu.
func (l *Listener) evictOne() bool {
	if l.open >= l.maxConns+max(1, l.maxConns/evictingShareOf) {
		return false
	}
	victim := l.budget.longestWaiting(func(other *Conn) bool { return other.listener == l })
	if victim != nil {
		l.budget.evict(victim)
	}
	return victim != nil
}

// Serve serves the connections of the listener. Hooks that the server has already get those of the inner listener.
func (l *Listener) Serve(s *http.Server) error {
	state, connContext := s.ConnState, s.ConnContext
	s.ConnState = func(nc net.Conn, entered http.ConnState) {
		c := nc.(*Conn)
		if entered == http.StateIdle {
			c.end()
		}
		if state != nil {
			state(c.Conn, entered)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		c := nc.(*Conn)
		ctx = context.WithValue(ctx, connKey{}, c)
		if connContext != nil {
			ctx = connContext(ctx, c.Conn)
		}
		return ctx
	}
	s.Handler = handler{s.Handler}
	if s.ErrorLog == nil {
		s.ErrorLog = log.New(serverLog{}, "", 0)
	}
	return s.Serve(l)
}

// serverLog logs what a server reports. Most of it is the clients' doing.
type serverLog struct{}

// Write logs one report.
func (serverLog) Write(p []byte) (int, error) {
	level := slog.LevelDebug
	if bytes.HasPrefix(p, []byte("http: panic")) {
		level = slog.LevelError
	}
	slog.Log(context.Background(), level, strings.TrimSpace(string(p)))
	return len(p), nil
}
