// Package progress bounds how long a call may be silent, in place of how long it
// may take.
//
// A large answer on a busy link comes for longer than a small one, and is lost
// if it is given up half-way: it then has to be sent whole again, on the same
// link. So a call here ends when nothing of its answer has come for some time,
// however much is still to come, with a bound on the whole.
//
// # Usage
//
//	ctx, cancel := progress.WithTimeout(ctx, progress.Timeouts{First: first, Silence: silence, Whole: whole})
//	defer cancel()
//	…
//	progress.Report(ctx) // with each piece of the answer; see also Reader
//	…
//	if err != nil && progress.TimedOut(ctx) { … } // it took too long
package progress

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

// Timeouts are how long a call may take.
type Timeouts struct {
	// FirstByte is how long nothing may come at first.
	FirstByte time.Duration
	// Idle is how long nothing may come after a piece of the answer.
	Idle time.Duration
	// Total is how long the call may take in all, however its answer comes.
	Total time.Duration
}

// clockKey finds the innermost clock of a context.
type clockKey struct{}

// clock ends one context.
type clock struct {
	outer   *clock
	silence time.Duration
	latest  time.Time

	mu    sync.Mutex
	timer *time.Timer
	at    time.Time
	// begun says that some of the answer has come.
	begun bool
}

// WithTimeout returns a context that ends as the bounds say; its cause is then
// context.DeadlineExceeded. Progress inside it counts for the contexts around
// it, too.
func WithTimeout(parent context.Context, b Timeouts) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	now := time.Now()
	outer, _ := parent.Value(clockKey{}).(*clock)
	c := &clock{outer: outer, silence: b.Idle, latest: now.Add(b.Total), at: now.Add(min(b.FirstByte, b.Total))}
	c.timer = time.AfterFunc(min(b.FirstByte, b.Total), func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, clockKey{}, c), func() {
		c.timer.Stop()
		cancel(context.Canceled)
	}
}

// Report tells that a piece of the answer has come.
func Report(ctx context.Context) {
	c, _ := ctx.Value(clockKey{}).(*clock)
	now := time.Now()
	for ; c != nil; c = c.outer {
		c.made(now)
	}
}

// TimedOut reports whether a context has ended because its call took too long, in all
// or in silence.
func TimedOut(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// Started reports whether some of the answer has come.
func Started(ctx context.Context) bool {
	c, _ := ctx.Value(clockKey{}).(*clock)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// made puts the end off, and never nearer.
func (c *clock) made(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	at := now.Add(c.silence)
	if at.After(c.latest) {
		at = c.latest
	}
	// A timer that has fired stays so.
	if at.After(c.at) && c.timer.Stop() {
		c.at = at
		c.timer.Reset(at.Sub(now))
	}
}

// Reader returns r with each piece that is read told to the context.
func Reader(ctx context.Context, r io.Reader) io.Reader { return reader{ctx, r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Report(r.ctx)
	}
	return n, err
}
