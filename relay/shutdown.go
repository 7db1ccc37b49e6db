package relay

import (
	"context"
	"errors"
	"time"
)

// Shutdown describes the planned end of the process. A request that arrives after the signal is
// admitted only if it is expected to complete before the end (forecast.go); otherwise it would
// be cut off.
type Shutdown struct{ signaled, lastAdmit, end time.Time }

// NewShutdown returns the shutdown of a process that was signaled at the given time and cancels
// remaining requests at the given end. A request that arrives after lastAdmit is admitted only
// if its own deadline is before the end, whatever its expected duration.
func NewShutdown(signaled, lastAdmit, end time.Time) Shutdown {
	return Shutdown{signaled: signaled, lastAdmit: lastAdmit, end: end}
}

// errShutdown is the cancellation cause of requests that are open when the process ends.
var errShutdown = errors.New("the process ends")

// Drain announces the end of the process. From then on a request is sent to a server only if
// its response is expected to complete before the end.
func (r *Relay) Drain(s Shutdown) { r.shutdown.Store(&s) }

// Close cancels all open requests: each client gets a refusal or an aborted response, and the
// attempt at the server is canceled.
func (r *Relay) Close() { r.cancelLifetime(errShutdown) }

// endsBeforeShutdown reports whether work of the given duration completes before the process
// ends; true if no shutdown is planned. Work of unknown duration counts only if its deadline is
// before the end.
func (r *Relay) endsBeforeShutdown(deadline time.Time, takes time.Duration, known bool) bool {
	shutdown := r.shutdown.Load()
	if shutdown == nil || !deadline.After(shutdown.end) {
		return true
	}
	return known && time.Now().Add(takes).Before(shutdown.end)
}

// endsInTime is like endsBeforeShutdown, but work of known duration must also complete before
// its own deadline. It is used for attempts that would replace a response which exists or is in
// progress: if the attempt were cut off, that response would be lost.
func (r *Relay) endsInTime(deadline time.Time, takes time.Duration, known bool) bool {
	return r.endsBeforeShutdown(deadline, takes, known) && (!known || time.Now().Add(takes).Before(deadline))
}

// withLifetime returns a context that is also canceled by Close.
func (r *Relay) withLifetime(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(r.lifetime, func() { cancel(context.Cause(r.lifetime)) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// endedByShutdown reports whether a request was canceled by Close.
func endedByShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

// recordShutdown records that the request arrived after the shutdown signal.
func (x *exchange) recordShutdown() {
	shutdown := x.relay.shutdown.Load()
	if shutdown == nil {
		return
	}
	sinceSignal, untilEnd := x.request.Arrived.Sub(shutdown.signaled), shutdown.end.Sub(x.request.Arrived)
	x.record.AddStep("leaving", "came %d ms after the signal, %d ms before the end", sinceSignal.Milliseconds(), untilEnd.Milliseconds())
}

// shutdownRefusal returns the refusal of a request that this process can't complete before it
// ends. Another node can take it, immediately if no server has run it.
func (x *exchange) shutdownRefusal(detail string) *Refusal {
	if x.runs > 0 {
		return refusalf(ReasonStopped, 0, "this node has stopped: %s", detail)
	}
	return refusalf(ReasonLeaving, retryElsewhere, "this node is leaving: %s", detail)
}
