package tunnel

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// DialFunc opens a connection to a server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens connections to servers. It is safe for concurrent use.
type Dialer struct {
	direct  DialFunc
	timers  *timer.Service
	paths   *paths
	observe func(Way, Outcome)
	// carriers is nil if there are no other nodes.
	carriers  *carriers
	closeIdle func(drop func(net.Conn) bool)

	mu sync.Mutex
	// open holds the open connections, tunnels is the number of those that are tunnels.
	open    map[*Conn]struct{}
	tunnels int
	// checks holds when silent targets were last checked.
	checks map[target]time.Time
}

// Option configures a Dialer in NewDialer.
type Option func(*Dialer)

// WithObserver sets a function that is called with the outcome of each connection.
func WithObserver(observe func(Way, Outcome)) Option {
	return func(d *Dialer) { d.observe = observe }
}

// WithPathObserver sets a function that is called for each change of what this node reaches. It
// must not call the dialer.
func WithPathObserver(onChange func(Event)) Option {
	return func(d *Dialer) { d.paths.onChange = onChange }
}

// WithPeers sets the node and what opens connections through others.
func WithPeers(self view.Member, peers Peers) Option {
	return func(d *Dialer) {
		d.carriers = &carriers{peers: peers, self: self, timers: d.timers, avoided: make(map[string]avoidance)}
	}
}

// WithIdleCloser sets a function that closes the idle connections of this dialer for which drop
// returns true.
func WithIdleCloser(closeIdle func(drop func(net.Conn) bool)) Option {
	return func(d *Dialer) { d.closeIdle = closeIdle }
}

// NewDialer returns a dialer that opens direct connections with the given function.
func NewDialer(direct DialFunc, timers *timer.Service, options ...Option) *Dialer {
	d := &Dialer{
		direct:    direct,
		timers:    timers,
		paths:     newPaths(timers),
		observe:   func(Way, Outcome) {},
		closeIdle: func(func(net.Conn) bool) {},
		open:      make(map[*Conn]struct{}),
		checks:    make(map[target]time.Time),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// DialContext opens a connection to a server. Another way is tried beside one that fails or takes
// long.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	r := newRace(d, network, address)
	conn, carrier, err := r.run(ctx)
	if err != nil {
		kind := NotReached
		if r.unanswered() && d.paths.state(address).cutOff {
			kind = NoWay
		}
		return nil, errs.Wrap(kind, "dial", err, "server %s", address)
	}
	return d.track(conn, address, carrier), nil
}

// CountLost returns the number of servers that this node does not reach directly.
func (d *Dialer) CountLost() int { return d.paths.countLost() }

// CountTunnels returns the number of open connections through other nodes.
func (d *Dialer) CountTunnels() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tunnels
}

// dialDirect opens a direct connection and records what that tells of the way to the server.
func (d *Dialer) dialDirect(ctx context.Context, way Way, network, address string) (net.Conn, error) {
	began := time.Now()
	d.paths.recordTry(address)
	conn, err := d.direct(ctx, network, address)
	outcome := outcomeOf(ctx, err)
	d.observe(way, outcome)
	switch outcome {
	case OutcomeConnected:
		d.paths.recordReached(address)
	case OutcomeCanceled:
	case OutcomeRefused:
		d.paths.recordLost(address, err) // open connections may live on
	default:
		d.recordSilent(address, began, err)
	}
	return conn, err
}

// recordSilent records that a server has not answered since a time, and closes the idle connections
// that have received nothing since: those to the server, or to all servers if none is reached.
func (d *Dialer) recordSilent(address string, since time.Time, cause error) {
	cutOff := d.paths.recordLost(address, cause)
	d.closeIdle(func(conn net.Conn) bool {
		c, ok := conn.(*Conn)
		return ok && c.carrier == "" && (cutOff || c.server == address) && c.silentSince(since)
	})
}

// track returns a connection as a Conn that is tracked until it is closed.
func (d *Dialer) track(inner net.Conn, server, carrier string) *Conn {
	c := &Conn{Conn: inner, dialer: d, server: server, carrier: carrier, lastRead: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[c] = struct{}{}
	if carrier != "" {
		d.tunnels++
	}
	return c
}

// untrack stops tracking a connection.
func (d *Dialer) untrack(c *Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, open := d.open[c]; !open {
		return
	}
	delete(d.open, c)
	if c.carrier != "" {
		d.tunnels--
	}
}

// outcomeOf returns the outcome of opening a connection.
func outcomeOf(ctx context.Context, err error) Outcome {
	switch {
	case err == nil:
		return OutcomeConnected
	case errors.Is(ctx.Err(), context.Canceled):
		return OutcomeCanceled
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET), isRefusal(err):
		return OutcomeRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), isTimeout(err):
		return OutcomeTimedOut
	default:
		return OutcomeFailed
	}
}

// isTimeout reports whether an error of the network is a timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
