package tunnel

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"github.com/violettally/violettally/timer"
)

// DialFunc opens a connection to a server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens connections to servers. It is safe for concurrent use.
type Dialer struct {
	direct  DialFunc
	paths   *paths
	observe func(Outcome)
}

// Option configures a Dialer in NewDialer.
type Option func(*Dialer)

// WithObserver sets a function that is called with the outcome of each connection.
func WithObserver(observe func(Outcome)) Option { return func(d *Dialer) { d.observe = observe } }

// WithPathObserver sets a function that is called for each change of what this node reaches. It
// must not call the dialer.
func WithPathObserver(onChange func(Event)) Option {
	return func(d *Dialer) { d.paths.onChange = onChange }
}

// NewDialer returns a dialer that opens connections with the given function.
func NewDialer(direct DialFunc, timers *timer.Service, options ...Option) *Dialer {
	d := &Dialer{direct: direct, paths: newPaths(timers), observe: func(Outcome) {}}
	for _, option := range options {
		option(d)
	}
	return d
}

// DialContext opens a connection to a server.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.direct(ctx, network, address)
	outcome := outcomeOf(ctx, err)
	d.observe(outcome)
	switch outcome {
	case OutcomeConnected:
		d.paths.recordReached(address)
	case OutcomeCanceled:
	default:
		d.paths.recordLost(address, err)
	}
	return conn, err
}

// CountLost returns the number of servers that this node does not reach.
func (d *Dialer) CountLost() int { return d.paths.countLost() }

// outcomeOf returns the outcome of opening a connection.
func outcomeOf(ctx context.Context, err error) Outcome {
	switch {
	case err == nil:
		return OutcomeConnected
	case errors.Is(ctx.Err(), context.Canceled):
		return OutcomeCanceled
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
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
