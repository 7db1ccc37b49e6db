package relay

import (
	"context"
	"net/http"
	"time"
)

// failure is an attempt that gave the client nothing, or not all.
type failure struct {
	reason Reason
	// ran says that the server may have run the request.
	ran bool
	// escalates says that another model is to answer.
	escalates bool
	// serverLost says that the server ended the attempt, and may have ended itself.
	serverLost bool
	// partial says that the client has a part of an answer which cannot be
	// taken up elsewhere.
	partial bool
	// budgetTaken says that the retry budget has been asked already.
	budgetTaken bool
	// retryAfter is the server's own word on when to come back; zero if it
	// gave none.
	retryAfter time.Duration
	// cause is told to the client and in the record.
	cause string
}

// stalledFailure is the failure of an attempt that was taken away from a late server.
// Its next attempt has been paid for.
func stalledFailure() *failure {
	return &failure{reason: ReasonStalled, ran: true, budgetTaken: true, cause: errStalled.Error()}
}

// afterFailure decides on what follows a failed attempt: nil lets another one be made.
func (x *exchange) afterFailure(ctx context.Context, f *failure) *Refusal {
	if ctx.Err() != nil {
		return x.endedRefusal(ctx, f)
	}
	if f.escalates {
		return nil // it has been paid for already
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

// refusalInsteadOfRetry returns what to tell the client where a failed request is not sent
// again; nil where it is. The budget is asked last, since asking takes from
// it.
func (x *exchange) refusalInsteadOfRetry(f *failure) *Refusal {
	switch {
	case f.partial, f.ran && !x.mayRunAgain():
		return refusalf(f.reason, 0, "the server gave no answer: %s", f.cause)
	case !f.budgetTaken && !x.endsBeforeShutdown(): // what is paid for has been asked already
		return x.shutdownRefusal(f.cause)
	case x.sends >= maxSends, !x.request.Body.Replayable():
		return x.finalRefusal(f)
	case !f.budgetTaken && !x.relay.Budgets.Take(x.service, 0):
		return x.finalRefusal(f)
	}
	return nil
}

// finalRefusal tells the client what is known after the last attempt.
func (x *exchange) finalRefusal(f *failure) *Refusal {
	if f.ran || x.runs > 0 {
		return refusalf(ReasonServerFailed, 0, "no answer: %s", f.cause)
	}
	retryAfter := min(maxRetryAfter, max(retrySoon, f.retryAfter))
	return refusalf(f.reason, retryAfter, "no server took the request: %s", f.cause)
}

// endedRefusal tells what is known of a request whose time is over, or that of this
// process, or whose client has left.
func (x *exchange) endedRefusal(ctx context.Context, f *failure) *Refusal {
	if endedByShutdown(ctx) {
		return x.shutdownRefusal(f.cause)
	}
	if !f.ran && x.runs == 0 {
		return refusalf(ReasonDeclined, retrySoon, "the time was over before a server took the request")
	}
	return refusalf(ReasonDeadline, 0, "the time was over before the answer: %s", f.cause)
}

// deliver hands a refusal out, or breaks off the answer that has begun.
func (x *exchange) deliver(refusal *Refusal) *Refusal {
	if !x.responseStarted {
		if x.runs > 0 && refusal.status == http.StatusServiceUnavailable {
			// A server has run it, so "not run" must not be said.
			return refusalf(ReasonServerFailed, 0, "%s", refusal.message)
		}
		return refusal
	}
	x.record.Note("broken off", "%s", refusal.Error())
	x.finish("broken off: " + refusal.reason.String())
	x.relay.Counters.Refused(refusal.reason, x.account)
	x.writer.Abort()
	return nil
}
