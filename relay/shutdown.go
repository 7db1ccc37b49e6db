package relay

import (
	"context"
	"errors"
	"time"
)

// Shutdown is a planned end of the process. What begins after its signal is asked
// first whether it can be ended before the process ends (forecast.go): otherwise
// it would be broken off in the middle.
type Shutdown struct{ signaled, lastAdmit, end time.Time }

// NewShutdown returns the stop of a process that was asked to leave at the time of
// the signal and ends whatever is left at the given end. What comes from late on
// is taken only if its own time is over before the end, whatever is usual.
func NewShutdown(signal, late, end time.Time) Shutdown {
	return Shutdown{signaled: signal, lastAdmit: late, end: end}
}

// errShutdown ends what is still under way when the process ends.
var errShutdown = errors.New("the process ends")

// Drain tells that the process is to end. From then on a request is passed on
// only if its answer will be whole by then.
func (r *Relay) Drain(s Shutdown) { r.shutdown.Store(&s) }

// Close ends all requests that are under way: each gets its final answer, or is
// broken off, and its server is left.
func (r *Relay) Close() { r.cancelLifetime(errShutdown) }

// endsBeforeShutdown reports whether work that takes so long is over when the process ends;
// always where no end is near.
func (r *Relay) endsBeforeShutdown(deadline time.Time, takes time.Duration, known bool) bool {
	stop := r.shutdown.Load()
	if stop == nil || !deadline.After(stop.end) {
		return true
	}
	return known && time.Now().Add(takes).Before(stop.end)
}

// endsInTime reports whether work that takes so long is over before its own
// deadline, too. That is asked of what would take the place of an answer that is
// there, or goes on: ended in vain, it would be lost.
func (r *Relay) endsInTime(deadline time.Time, takes time.Duration, known bool) bool {
	return r.endsBeforeShutdown(deadline, takes, known) && (!known || time.Now().Add(takes).Before(deadline))
}

// withLifetime returns a context that End ends, too.
func (r *Relay) withLifetime(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(r.lifetime, func() { cancel(context.Cause(r.lifetime)) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// endedByShutdown reports whether a request was ended by End.
func endedByShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

// recordShutdown tells that a request came after the signal.
func (x *exchange) recordShutdown() {
	stop := x.relay.shutdown.Load()
	if stop == nil {
		return
	}
	sinceSignal, untilEnd := x.request.Arrived.Sub(stop.signaled), stop.end.Sub(x.request.Arrived)
	x.record.Note("leaving", "came %d ms after the signal, %d ms before the end", sinceSignal.Milliseconds(), untilEnd.Milliseconds())
}

// shutdownRefusal tells a client of a request that this process can't answer before
// it ends. Another one can: at once, if no server has run the request.
func (x *exchange) shutdownRefusal(detail string) *Refusal {
	if x.runs > 0 {
		return refusalf(ReasonStopped, 0, "this node has stopped: %s", detail)
	}
	return refusalf(ReasonLeaving, retryElsewhere, "this node is leaving: %s", detail)
}
