package dispatch

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/decision"
)

// startGiven claims a request's id before it runs.
func (d *Dispatcher) startGiven(ctx context.Context, r *Request, record *decision.Record) (*answer.Exchange, *Refusal) {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	for attempt := 0; attempt < maxAttempts; attempt++ {
		x, next, refusal := d.claimAttempt(ctx, r, attempt, record)
		if !next {
			return x, refusal
		}
		r.reached = true
		record.Note("take-over", "holder of attempt %d is gone", attempt)
	}
	return nil, refuse(ReasonOutcomeUnknown, RanUnknown, 0, "the request was taken over %d times", maxAttempts)
}

// claimAttempt claims one attempt of an id, or joins the one who has it. Next
// says that its holder is gone and that the work may be taken over.
func (d *Dispatcher) claimAttempt(ctx context.Context, r *Request, attempt int, record *decision.Record) (x *answer.Exchange, next bool, _ *Refusal) {
	override := false
	for round := range joinRounds {
		d.rest(ctx, time.Duration(round)*joinPause)
		exchange := d.NewID()
		e := d.entry(r, attempt, exchange)
		runCtx, cancel := context.WithCancel(context.Background())
		opened := d.Answers.Open(exchange, cancel)
		claimIt := d.Claims.Claim
		if override {
			claimIt = d.Claims.Override
		}
		outcome, err := claimIt(ctx, e)
		if err == nil && outcome.Won {
			return d.won(runCtx, r, opened, outcome, e, record)
		}
		d.giveUp(opened, refuse(ReasonClaimBusy, RanNo, comeBackSoon, "the id is claimed by another node"))
		if err != nil {
			return nil, false, claimRefusal(err)
		}
		record.Note("claim", "id is claimed by %s", outcome.Other.Holder.ID)
		j := d.join(ctx, r, outcome)
		switch {
		case j.abandoned:
			// Its holder has given it up and never runs it: clear it away.
			d.Claims.Abandon(outcome.Other.Key, outcome.Other.Token)
			override = true
		case j.override:
			override = true
		default:
			return j.exchange, j.next, j.refusal
		}
	}
	return nil, false, refuse(ReasonClaimBusy, RanUnknown, comeBackSoon, "the id is being claimed by others")
}

// rest waits, so that what was released has gone before the next round.
func (d *Dispatcher) rest(ctx context.Context, pause time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	<-ctx.Done()
}

// claimRefusal tells why no claim was won. This try has not run; whether an
// earlier one with the same id has is known if enough replicas answered.
func claimRefusal(err error) *Refusal {
	switch {
	case errorx.IsOfType(err, claim.Full):
		return refuse(ReasonClaimMemory, RanNo, comeBackLater, "%v", err)
	case errorx.IsOfType(err, claim.Split):
		return refuse(ReasonClaimBusy, RanNo, comeBackSoon, "%v", err)
	default:
		return refuse(ReasonClaimUnreachable, RanUnknown, comeBackSoon, "%v", err)
	}
}

// refuseGiven makes a refusal that was found before the claim true of the id:
// the caller may have come with it before, and it may have run then.
func (d *Dispatcher) refuseGiven(ctx context.Context, r *Request, refusal *Refusal) *Refusal {
	if !r.Given {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	found, complete := d.lookupWhileMoving(ctx, d.key(r, 0))
	return refusal.after(found != nil || !complete)
}

// lookupWhileMoving looks a key up until enough replicas answer, or the context
// ends: while one of them leaves, its successor takes its range over.
func (d *Dispatcher) lookupWhileMoving(ctx context.Context, key claim.Key) (found *claim.Entry, complete bool) {
	for pause := joinPause; ; pause += joinPause {
		found, complete = d.Claims.Lookup(ctx, key)
		if found != nil || complete || ctx.Err() != nil {
			return found, complete
		}
		d.rest(ctx, pause)
	}
}

// won starts the run of a claim that was won, unless the key may have been
// used before.
func (d *Dispatcher) won(ctx context.Context, r *Request, x *answer.Exchange, outcome claim.Outcome, e claim.Entry, record *decision.Record) (*answer.Exchange, bool, *Refusal) {
	e.Token = outcome.Token
	r.reached = r.reached || outcome.Reached
	refusal := d.checkAge(r)
	if refusal == nil {
		refusal = d.checkLost(r, outcome.LostBefore)
	}
	if refusal == nil && r.Given && !r.takenOver {
		refusal = d.limit(r, record)
	}
	if refusal != nil {
		d.giveUp(x, refusal)
		d.endClaim(r, &e)
		return nil, false, refusal.after(r.reached)
	}
	if !r.Repeatable() {
		x.Pin()
	}
	record.Note("claim", "won as %s", e.Key.ID)
	d.run(ctx, r, x, record, &e)
	return x, false, nil
}

// giveUp ends an attempt that never runs. Whoever has joined it learns so.
func (d *Dispatcher) giveUp(x *answer.Exchange, refusal *Refusal) {
	d.Answers.Forget(x.Attempt())
	x.Fail(refusal.Failure())
	x.Close()
}

// checkAge refuses an id that is older than what is remembered of its call: it
// may have run, and its claim may have ended since.
func (d *Dispatcher) checkAge(r *Request) *Refusal {
	made := idTime(r.ID)
	if r.Repeatable() || made.IsZero() || d.Timers.Now().Sub(made) < r.Plain.Call.ClaimTTL() {
		return nil
	}
	return refuse(ReasonOutcomeUnknown, RanUnknown, 0, "the id was made %s ago and such calls are remembered for %s", d.Timers.Now().Sub(made).Round(time.Second), r.Plain.Call.ClaimTTL())
}

// checkLost refuses an id that may have been used before its claim was lost
// with two replicas. An id that carries a later time is new.
func (d *Dispatcher) checkLost(r *Request, lostBefore time.Time) *Refusal {
	if lostBefore.IsZero() || idTime(r.ID).After(lostBefore) {
		return nil
	}
	return refuse(ReasonOutcomeUnknown, RanUnknown, 0, "two replicas were lost together; whether this id has run is not known")
}

// joined is what became of joining a claim's holder.
type joined struct {
	exchange *answer.Exchange
	refusal  *Refusal
	// next allows a take-over as the next attempt, override one that tries
	// to win in place of a claim that may not have been won.
	next      bool
	override  bool
	abandoned bool
}

// join follows the answer of a claim that somebody else has.
func (d *Dispatcher) join(ctx context.Context, r *Request, outcome claim.Outcome) joined {
	other := outcome.Other
	switch {
	case other.State == claim.StateUnknown:
		return joined{refusal: refuse(ReasonOutcomeUnknown, RanUnknown, 0, "two claims of this id survived; which one ran is not known")}
	case other.Body != r.Digest:
		return joined{refusal: refuse(ReasonIDReused, RanNo, 0, "the id was used for another request")}
	}
	x, found, ran, err := d.Holders.Attach(ctx, other.Holder, claim.AttemptOf(other.Token))
	switch {
	case err == nil && found:
		return joined{exchange: x}
	case other.State == claim.StateDone && len(other.Answer) > 0:
		return joined{exchange: decodeAnswer(other.Answer)}
	case err == nil && !ran && other.State == claim.StateClaimed:
		return joined{abandoned: true}
	case err == nil && other.Repeatable:
		// It ran, but its answer is not kept any more.
		return joined{next: true}
	case err == nil:
		return joined{refusal: refuse(ReasonAnswerExpired, RanYes, 0, "the request has run; its answer is not kept any more")}
	case !d.Holders.Gone(other.Holder.ID):
		return joined{refusal: holderUnreachable(other.Holder.ID)}
	case other.Repeatable:
		return joined{next: true}
	case !outcome.OtherWon && other.State == claim.StateClaimed:
		return joined{override: true}
	default:
		return joined{refusal: refuse(ReasonOutcomeUnknown, RanUnknown, 0, "the node that had the request is gone; whether it ran is not known")}
	}
}
