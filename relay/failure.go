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
	// lost says that the server ended the attempt, and may have ended itself.
	lost bool
	// partial says that the client has a part of an answer which cannot be
	// taken up elsewhere.
	partial bool
	// paid says that the retry budget has been asked already.
	paid bool
	// retryAfter is the server's own word on when to come back; zero if it
	// gave none.
	retryAfter time.Duration
	// cause is told to the client and in the record.
	cause string
}

// stall is the failure of an attempt that was taken away from a late server.
// Its next attempt has been paid for.
func stall() *failure {
	return &failure{reason: ReasonStalled, ran: true, paid: true, cause: errStalled.Error()}
}

// next decides on what follows a failed attempt: nil lets another one be made.
func (x *exchange) next(ctx context.Context, f *failure) *Refusal {
	if ctx.Err() != nil {
		return x.ended(ctx, f)
	}
	if f.escalates {
		return nil // it has been paid for already
	}
	if refusal := x.stop(f); refusal != nil {
		return refusal
	}
	x.relay.Counters.Retried(f.reason)
	if f.lost {
		pause(ctx, afterLoss)
	}
	if x.begun {
		x.relay.Counters.Resumed()
	}
	x.chooseModel()
	return nil
}

// stop returns what to tell the client where a failed request is not sent
// again; nil where it is. The budget is asked last, since asking takes from
// it.
func (x *exchange) stop(f *failure) *Refusal {
	switch {
	case f.partial, f.ran && !x.mayRunAgain():
		return refuse(f.reason, 0, "the server gave no answer: %s", f.cause)
	case !f.paid && !x.fits(): // what is paid for has been asked already
		return x.refuseLeaving(f.cause)
	case x.sends >= maxSends, !x.request.Body.Replayable():
		return x.final(f)
	case !f.paid && !x.relay.Budgets.Take(x.service, 0):
		return x.final(f)
	}
	return nil
}

// final tells the client what is known after the last attempt.
func (x *exchange) final(f *failure) *Refusal {
	if f.ran || x.runs > 0 {
		return refuse(ReasonServerFailed, 0, "no answer: %s", f.cause)
	}
	retryAfter := min(maxComeBack, max(comeBackSoon, f.retryAfter))
	return refuse(f.reason, retryAfter, "no server took the request: %s", f.cause)
}

// ended tells what is known of a request whose time is over, or that of this
// process, or whose client has left.
func (x *exchange) ended(ctx context.Context, f *failure) *Refusal {
	if stopped(ctx) {
		return x.refuseLeaving(f.cause)
	}
	if !f.ran && x.runs == 0 {
		return refuse(ReasonDeclined, comeBackSoon, "the time was over before a server took the request")
	}
	return refuse(ReasonDeadline, 0, "the time was over before the answer: %s", f.cause)
}

// give hands a refusal out, or breaks off the answer that has begun.
func (x *exchange) give(refusal *Refusal) *Refusal {
	if !x.begun {
		if x.runs > 0 && refusal.status == http.StatusServiceUnavailable {
			// A server has run it, so "not run" must not be said.
			return refuse(ReasonServerFailed, 0, "%s", refusal.message)
		}
		return refusal
	}
	x.record.AddStep("broken off", "%s", refusal.Error())
	x.finish("broken off: " + refusal.reason.String())
	x.relay.Counters.Refused(refusal.reason, x.account)
	x.reply.BreakOff()
	return nil
}
