package dispatch

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/decision"
)

// startWithClaim claims the request's ID before the request runs.
func (d *Dispatcher) startWithClaim(ctx context.Context, r *Request, record *decision.Record) (*answer.Response, *Refusal) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for attempt := 0; attempt < maxAttempts; attempt++ {
		x, takeOver, refusal := d.claimAttempt(ctx, r, attempt, record)
		if !takeOver {
			return x, refusal
		}
		r.mayHaveRun = true
		record.AddStep("take-over", "holder of attempt %d is gone", attempt)
	}
	return nil, refuse(ReasonOutcomeUnknown, RanUnknown, 0, "the request was taken over %d times", maxAttempts)
}

// claimAttempt claims one attempt of an ID, or joins the request to the run of the node that
// holds the claim. If takeOver is true, the claim's run cannot be joined any more and the next
// attempt may run the request.
func (d *Dispatcher) claimAttempt(ctx context.Context, r *Request, attempt int, record *decision.Record) (x *answer.Response, takeOver bool, _ *Refusal) {
	override := false
	for round := range maxClaimRounds {
		d.sleep(ctx, time.Duration(round)*claimBackoff)
		token := d.NewID()
		e := d.claimEntry(r, attempt, token)
		runCtx, cancel := context.WithCancel(context.Background())
		resp := d.Responses.Open(token, cancel)
		claimFunc := d.Claims.Claim
		if override {
			claimFunc = d.Claims.Override
		}
		outcome, err := claimFunc(ctx, e)
		if err == nil && outcome.Won {
			return d.startWon(runCtx, r, resp, outcome, e, record)
		}
		d.discard(resp, refuse(ReasonClaimBusy, RanNo, retryAfterShort, "the id is claimed by another node"))
		if err != nil {
			return nil, false, claimRefusal(err)
		}
		record.AddStep("claim", "id is claimed by %s", outcome.Other.Holder.ID)
		j := d.join(ctx, r, outcome)
		switch {
		case j.abandoned:
			// The holder has no record of the claim and never runs it, so the claim is removed.
			d.Claims.ReleaseStale(outcome.Other.Key, outcome.Other.Token)
			override = true
		case j.override:
			override = true
		default:
			return j.response, j.takeOver, j.refusal
		}
	}
	return nil, false, refuse(ReasonClaimBusy, RanUnknown, retryAfterShort, "the id is being claimed by others")
}

// sleep waits before the next round, so that released claims are removed by then. It returns
// early if the context ends.
func (d *Dispatcher) sleep(ctx context.Context, pause time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	<-ctx.Done()
}

// claimRefusal returns the refusal for a claim that failed. This request has not run; whether
// an earlier one with the same ID has run is known only if enough replicas responded.
func claimRefusal(err error) *Refusal {
	switch {
	case errorx.IsOfType(err, claim.Full):
		return refuse(ReasonClaimMemory, RanNo, retryAfterLong, "%v", err)
	case errorx.IsOfType(err, claim.Split):
		return refuse(ReasonClaimBusy, RanNo, retryAfterShort, "%v", err)
	default:
		return refuse(ReasonClaimUnreachable, RanUnknown, retryAfterShort, "%v", err)
	}
}

// refuseBeforeClaim corrects a refusal that was made before the claim: the client may have sent
// the ID before, and the request may have run then.
func (d *Dispatcher) refuseBeforeClaim(ctx context.Context, r *Request, refusal *Refusal) *Refusal {
	if !r.IDFromClient {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	found, complete := d.lookupWithRetry(ctx, d.claimKey(r, 0))
	return refusal.after(found != nil || !complete)
}

// lookupWithRetry looks up a key until enough replicas respond or the context ends. Too few
// respond while a replica leaves and its successor takes over the key range.
func (d *Dispatcher) lookupWithRetry(ctx context.Context, key claim.Key) (found *claim.Entry, complete bool) {
	for pause := claimBackoff; ; pause += claimBackoff {
		found, complete = d.Claims.Lookup(ctx, key)
		if found != nil || complete || ctx.Err() != nil {
			return found, complete
		}
		d.sleep(ctx, pause)
	}
}

// startWon starts the run of a claim that was won, unless the ID may have been used before.
func (d *Dispatcher) startWon(ctx context.Context, r *Request, x *answer.Response, outcome claim.Outcome, e claim.Entry, record *decision.Record) (*answer.Response, bool, *Refusal) {
	e.Token = outcome.Token
	r.mayHaveRun = r.mayHaveRun || outcome.MayHaveRun
	refusal := d.checkAge(r)
	if refusal == nil {
		refusal = d.checkClaimLoss(r, outcome.LostBefore)
	}
	if refusal == nil && r.IDFromClient && !r.takenOver {
		refusal = d.checkRateLimit(r, record)
	}
	if refusal != nil {
		d.discard(x, refusal)
		d.endClaim(r, &e)
		return nil, false, refusal.after(r.mayHaveRun)
	}
	if !r.Repeatable() {
		x.DisableCancel()
	}
	record.AddStep("claim", "won as %s", e.Key.ID)
	d.run(ctx, r, x, record, &e)
	return x, false, nil
}

// discard ends an attempt that never runs. Requests that have joined it get the refusal.
func (d *Dispatcher) discard(x *answer.Response, refusal *Refusal) {
	d.Responses.Remove(x.Attempt())
	x.Fail(refusal.Failure())
	x.Close()
}

// checkAge refuses an ID older than the TTL of its call's claims: it may have run, and its claim
// may have expired since.
func (d *Dispatcher) checkAge(r *Request) *Refusal {
	issued := idTime(r.ID)
	if r.Repeatable() || issued.IsZero() || d.Timers.Now().Sub(issued) < r.Plain.Call.ClaimTTL() {
		return nil
	}
	return refuse(ReasonOutcomeUnknown, RanUnknown, 0, "the id was made %s ago and such calls are remembered for %s", d.Timers.Now().Sub(issued).Round(time.Second), r.Plain.Call.ClaimTTL())
}

// checkClaimLoss refuses an ID that may have been used before two replicas, and its claim with
// them, were lost. An ID with a later timestamp is new.
func (d *Dispatcher) checkClaimLoss(r *Request, lostBefore time.Time) *Refusal {
	if lostBefore.IsZero() || idTime(r.ID).After(lostBefore) {
		return nil
	}
	return refuse(ReasonOutcomeUnknown, RanUnknown, 0, "two replicas were lost together; whether this id has run is not known")
}

// joinResult is the result of joining the run of a claim's holder.
type joinResult struct {
	response *answer.Response
	refusal  *Refusal
	// takeOver allows the next attempt to run the request. override says that the existing claim
	// may not have been won and may be overridden. abandoned says that its holder never runs it.
	takeOver  bool
	override  bool
	abandoned bool
}

// join follows the response of a claim that another request holds.
func (d *Dispatcher) join(ctx context.Context, r *Request, outcome claim.Outcome) joinResult {
	other := outcome.Other
	switch {
	case other.State == claim.StateUnknown:
		return joinResult{refusal: refuse(ReasonOutcomeUnknown, RanUnknown, 0, "two claims of this id survived; which one ran is not known")}
	case other.Digest != r.Digest:
		return joinResult{refusal: refuse(ReasonIDReused, RanNo, 0, "the id was used for another request")}
	}
	x, found, ran, err := d.Holders.Attach(ctx, other.Holder, claim.AttemptOf(other.Token))
	switch {
	case err == nil && found:
		return joinResult{response: x}
	case other.State == claim.StateDone && len(other.Response) > 0:
		return joinResult{response: decodeResponse(other.Response)}
	case err == nil && !ran && other.State == claim.StateClaimed:
		return joinResult{abandoned: true}
	case err == nil && other.Repeatable:
		// The request ran, but its response is no longer kept.
		return joinResult{takeOver: true}
	case err == nil:
		return joinResult{refusal: refuse(ReasonAnswerExpired, RanYes, 0, "the request has run; its answer is not kept any more")}
	case !d.Holders.Faulty(other.Holder.ID):
		return joinResult{refusal: holderUnreachable(other.Holder.ID)}
	case other.Repeatable:
		return joinResult{takeOver: true}
	case !outcome.OtherWon && other.State == claim.StateClaimed:
		return joinResult{override: true}
	default:
		return joinResult{refusal: refuse(ReasonOutcomeUnknown, RanUnknown, 0, "the node that had the request is gone; whether it ran is not known")}
	}
}
