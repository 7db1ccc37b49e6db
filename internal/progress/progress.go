// Package progress provides idle timeouts for calls: a call times out when no part
// of its response has arrived for some time, not after a fixed duration.
//
// With a fixed timeout, a large response on a busy link is given up half-way and
// has to be sent again from the start, on the same link. An idle timeout lets it
// finish as long as data keeps arriving. A total timeout still bounds the call.
//
// # Usage
//
//	ctx, cancel := progress.WithTimeout(ctx, progress.Timeouts{FirstByte: firstByte, Idle: idle, Total: total})
//	defer cancel()
//	…
//	progress.Report(ctx) // for each part of the response; see also Reader
//	…
//	if err != nil && progress.TimedOut(ctx) { … } // the call timed out
package progress

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

// Timeouts limit the duration of a call.
type Timeouts struct {
	// FirstByte limits the time from the start to the first part of the response. A
	// first part that arrives early does not shorten it.
	FirstByte time.Duration
	// Idle limits the time after each part of the response in which no other arrives.
	Idle time.Duration
	// Total limits the whole call, however steadily its response arrives.
	Total time.Duration
}

// deadlineKey is the context key of the innermost deadline.
type deadlineKey struct{}

// deadline cancels one context when its current end time is reached.
type deadline struct {
	outer  *deadline
	idle   time.Duration
	latest time.Time

	mu    sync.Mutex
	timer *time.Timer
	at    time.Time
	// started is whether a part of the response has arrived.
	started bool
}

// WithTimeout returns a context that is cancelled with the cause
// context.DeadlineExceeded when a timeout expires. Progress reported on it also
// extends the deadlines of enclosing contexts made by WithTimeout.
func WithTimeout(parent context.Context, t Timeouts) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	now := time.Now()
	outer, _ := parent.Value(deadlineKey{}).(*deadline)
	d := &deadline{outer: outer, idle: t.Idle, latest: now.Add(t.Total), at: now.Add(min(t.FirstByte, t.Total))}
	d.timer = time.AfterFunc(min(t.FirstByte, t.Total), func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, deadlineKey{}, d), func() {
		d.timer.Stop()
		cancel(context.Canceled)
	}
}

// Report records that a part of the response has arrived. It extends the deadlines
// of ctx and its enclosing contexts.
func Report(ctx context.Context) {
	d, _ := ctx.Value(deadlineKey{}).(*deadline)
	now := time.Now()
	for ; d != nil; d = d.outer {
		d.extend(now)
	}
}

// TimedOut reports whether ctx was cancelled because one of its timeouts expired.
func TimedOut(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// Started reports whether a part of the response has arrived.
func Started(ctx context.Context) bool {
	d, _ := ctx.Value(deadlineKey{}).(*deadline)
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// extend moves the end time to one idle timeout from now, but never earlier than it
// is and never beyond the total timeout.
func (d *deadline) extend(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started = true
	at := now.Add(d.idle)
	if at.After(d.latest) {
		at = d.latest
	}
	// A timer that has fired is not started again: the context is cancelled.
	if at.After(d.at) && d.timer.Stop() {
		d.at = at
		d.timer.Reset(at.Sub(now))
	}
}

// Reader returns a reader that calls [Report] on ctx for each read that returns data.
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
