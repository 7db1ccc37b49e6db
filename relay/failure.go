package relay

import (
	"context"
	"net/http"
	"time"
)

// failure describes an attempt that gave the client no response, or an incomplete one.
type failure struct {
	reason Reason
	// ran means that the server may have run the request.
	ran bool
	// escalates means that another model is to be asked.
	escalates bool
	// serverLost means that the server ended the attempt and may have crashed.
	serverLost bool
	// partial means that the client has part of a response that cannot be resumed at another
	// server.
	partial bool
	// budgetTaken means that the retry has already been taken out of the budget, or needs none.
	budgetTaken bool
	// retryAfter is the delay that the server asked for; zero if none.
	retryAfter time.Duration
	// cause is sent to the client and recorded.
	cause string
}

// stalledFailure returns the failure of an attempt that was rerouted from a late server. The
// watchdog has taken its retry out of the budgets.
func stalledFailure() *failure {
	return &failure{reason: ReasonStalled, ran: true, budgetTaken: true, cause: errStalled.Error()}
}

// afterFailure returns nil if another attempt is to be made, or else the refusal to send.
func (x *exchange) afterFailure(ctx context.Context, f *failure) *Refusal {
	if ctx.Err() != nil {
		return x.endedRefusal(ctx, f)
	}
	if f.escalates {
		return nil // the retry has already been taken out of the budget
	}
	if refusal := x.refusalInsteadOfRetry(f); refusal != nil {
		return refusal
	}
	x.relay.Counters.Retried(f.reason)
	if f.serverLost {
		sleep(ctx, delayAfterLoss)
	}
	if x.responseStarted {
		x.relay.Counters.Resumed()
	}
	x.chooseModel()
	return nil
}

// refusalInsteadOfRetry returns the refusal if a failed request must not be retried, and nil if
// it is. The budget comes last, since checking it takes a retry out of it.
func (x *exchange) refusalInsteadOfRetry(f *failure) *Refusal {
	switch {
	case f.partial, f.ran && !x.mayRunAgain():
		return refusalf(f.reason, 0, "the server gave no answer: %s", f.cause)
	case !f.budgetTaken && !x.endsBeforeShutdown(): // a budgeted retry was checked when it took its budget
		return x.shutdownRefusal(f.cause)
	case x.sends >= maxSends, !x.request.Body.Rewind():
		return x.finalRefusal(f)
	case !f.budgetTaken && !x.relay.Budgets.Take(x.service, 0):
		return x.finalRefusal(f)
	}
	return nil
}

// finalRefusal returns the refusal after the last possible attempt.
func (x *exchange) finalRefusal(f *failure) *Refusal {
	if f.ran || x.runs > 0 {
		return refusalf(ReasonServerFailed, 0, "no answer: %s", f.cause)
	}
	if servers := x.relay.Servers.Servers(x.service); f.reason == ReasonDeclined && len(servers) > 0 && len(x.relay.Throttle.Filter(servers)) == 0 {
		return x.withheldRefusal(servers)
	}
	retryAfter := min(maxRetryAfter, max(retrySoon, f.retryAfter))
	return refusalf(f.reason, retryAfter, "no server took the request: %s", f.cause)
}

// endedRefusal returns the refusal for a request whose context has ended: by its deadline, by
// the shutdown of this process, or because the client has disconnected.
func (x *exchange) endedRefusal(ctx context.Context, f *failure) *Refusal {
	if endedByShutdown(ctx) {
		return x.shutdownRefusal(f.cause)
	}
	if !f.ran && x.runs == 0 {
		return refusalf(ReasonDeclined, retrySoon, "the time was over before a server took the request")
	}
	return refusalf(ReasonDeadline, 0, "the time was over before the answer: %s", f.cause)
}

// deliver returns a refusal for the caller to send, or aborts the response if it has started.
func (x *exchange) deliver(refusal *Refusal) *Refusal {
	if !x.responseStarted {
		if x.runs > 0 && refusal.status == http.StatusServiceUnavailable {
			// A server may have run the request, so 503 ("not run") would be wrong.
			return refusalf(ReasonServerFailed, 0, "%s", refusal.message)
		}
		return refusal
	}
	x.record.AddStep("broken off", "%s", refusal.Error())
	x.finish("broken off: " + refusal.reason.String())
	x.relay.Counters.Refused(refusal.reason, x.account)
	x.writer.Abort()
	return nil
}
