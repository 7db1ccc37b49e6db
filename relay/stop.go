package relay

import (
	"context"
	"errors"
	"time"
)

// Stop is a planned end of the process. What begins after its signal is asked
// first whether it can be ended before the process ends (forecast.go): otherwise
// it would be broken off in the middle.
type Stop struct{ signal, late, end time.Time }

// NewStop returns the stop of a process that was asked to leave at the time of
// the signal and ends whatever is left at the given end. What comes from late on
// is taken only if its own time is over before the end, whatever is usual.
func NewStop(signal, late, end time.Time) Stop { return Stop{signal: signal, late: late, end: end} }

// errStopped ends what is still under way when the process ends.
var errStopped = errors.New("the process ends")

// Leave tells that the process is to end. From then on a request is passed on
// only if its answer will be whole by then.
func (r *Relay) Leave(s Stop) { r.leaving.Store(&s) }

// End ends all requests that are under way: each gets its final answer, or is
// broken off, and its server is left.
func (r *Relay) End() { r.cancelAll(errStopped) }

// ends reports whether work that takes so long is over when the process ends;
// always where no end is near.
func (r *Relay) ends(deadline time.Time, takes time.Duration, known bool) bool {
	stop := r.leaving.Load()
	if stop == nil || !deadline.After(stop.end) {
		return true
	}
	return known && time.Now().Add(takes).Before(stop.end)
}

// endsInTime reports whether work that takes so long is over before its own
// deadline, too. That is asked of what would take the place of an answer that is
// there, or goes on: ended in vain, it would be lost.
func (r *Relay) endsInTime(deadline time.Time, takes time.Duration, known bool) bool {
	return r.ends(deadline, takes, known) && (!known || time.Now().Add(takes).Before(deadline))
}

// withEnd returns a context that End ends, too.
func (r *Relay) withEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(r.running, func() { cancel(context.Cause(r.running)) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// stopped reports whether a request was ended by End.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }

// noteLeaving tells that a request came after the signal.
func (x *exchange) noteLeaving() {
	stop := x.relay.leaving.Load()
	if stop == nil {
		return
	}
	sinceSignal, untilEnd := x.request.Arrived.Sub(stop.signal), stop.end.Sub(x.request.Arrived)
	x.record.AddStep("leaving", "came %d ms after the signal, %d ms before the end", sinceSignal.Milliseconds(), untilEnd.Milliseconds())
}

// refuseLeaving tells a client of a request that this process can't answer before
// it ends. Another one can: at once, if no server has run the request.
func (x *exchange) refuseLeaving(detail string) *Refusal {
	if x.runs > 0 {
		return refuse(ReasonStopped, 0, "this node has stopped: %s", detail)
	}
	return refuse(ReasonLeaving, comeBackElsewhere, "this node is leaving: %s", detail)
}
