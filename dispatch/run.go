package dispatch

import (
	"context"
	"time"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/decision"
)

const (
	// keptAnswer is the largest answer that is kept at the claim's replicas,
	// so that it outlives its node.
	keptAnswer = 64 << 10
	// patientPause lies between two tries of patient work.
	patientPause = time.Second
	// advanceTime bounds telling the replicas how far a claim has come.
	advanceTime = time.Second
)

// run takes a request to its end beside its callers. The claim is nil for a
// request whose id nobody can come back with before its answer.
func (d *Dispatcher) run(ctx context.Context, r *Request, x *answer.Response, record *decision.Record, e *claim.Entry) {
	d.runs.Go(func() {
		defer x.Close()
		if !r.Deadline.IsZero() {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, r.Deadline)
			defer cancel()
		}
		refusal := d.execute(ctx, r, x, record, e)
		d.conclude(r, x, record, e, refusal)
	})
}

// execute runs a request; patient work is tried again until its deadline.
func (d *Dispatcher) execute(ctx context.Context, r *Request, x *answer.Response, record *decision.Record, e *claim.Entry) *Refusal {
	for {
		refusal := d.executeOnce(ctx, r, x, record, e).after(r.reached)
		if refusal == nil || !r.Async || !passes(refusal.reason) || (refusal.ran != RanNo && !r.Repeatable()) {
			return refusal
		}
		record.AddStep("wait", "patient work waits: %s", refusal.Error())
		select {
		case <-ctx.Done():
			return refusal
		case <-time.After(max(patientPause, min(refusal.retryAfter, 10*patientPause))):
		}
	}
}

func (d *Dispatcher) executeOnce(ctx context.Context, r *Request, x *answer.Response, record *decision.Record, e *claim.Entry) *Refusal {
	if r.Plain != nil {
		return d.runPlain(ctx, r, x, record, e)
	}
	return d.runChat(ctx, r, x, record)
}

// passes reports whether a refusal's cause goes away by itself.
func passes(reason Reason) bool {
	switch reason {
	case ReasonOverloaded, ReasonNoServer, ReasonServerFailed, ReasonClaimUnreachable, ReasonCutOff, ReasonNoVersion:
		return true
	default:
		return false
	}
}

// conclude ends the exchange and tells the replicas.
func (d *Dispatcher) conclude(r *Request, x *answer.Response, record *decision.Record, e *claim.Entry, refusal *Refusal) {
	if refusal == nil {
		x.Finish()
		record.End("answered")
		d.keep(r, x, e)
		return
	}
	record.AddStep("refused", "%s", refusal.Error())
	record.End("refused: " + refusal.reason.String())
	d.Counters.Refused(refusal.reason, r.Account.Name)
	if refusal.ran == RanNo {
		d.Responses.Remove(x.Attempt())
	}
	if e != nil {
		d.endClaim(r, e)
	}
	x.Fail(refusal.Failure())
}

// endClaim ends the claim of a request that gave no answer. A later retry may
// win the id and run, unless what may have run may not be repeated.
func (d *Dispatcher) endClaim(r *Request, e *claim.Entry) {
	switch {
	case !r.reached:
		d.Claims.Release(e.Key, e.Token)
	case r.Repeatable():
		d.advance(e, claim.StateFailed, nil)
	default:
		d.advance(e, claim.StateUnknown, nil)
	}
}

// keep tells the replicas that the work is done, with the answer if others
// may have to hand it out.
func (d *Dispatcher) keep(r *Request, x *answer.Response, e *claim.Entry) {
	if e == nil {
		return
	}
	var kept []byte
	if data := encodeAnswer(x.StateFrom(0)); len(data) <= keptAnswer && (r.Async || !r.Repeatable()) {
		kept = data
	}
	d.advance(e, claim.StateDone, kept)
}

// advance tells the replicas how far a claim has come and returns whether
// most of them know.
func (d *Dispatcher) advance(e *claim.Entry, state claim.State, kept []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), advanceTime)
	defer cancel()
	next := *e
	next.State, next.Answer, next.Value = state, kept, nil
	took, of := d.Claims.Advance(ctx, next)
	return took > of/2
}

// TakeOver runs patient work whose holder is gone.
func (d *Dispatcher) TakeOver(ctx context.Context, e claim.Entry) {
	s := d.Config()
	r := decodeRequest(e.Value, s.Account(e.Key.Account), s)
	if r == nil || d.ready(r) != nil {
		return
	}
	record := d.Records.Start(r.ID, r.Account.Name)
	record.AddStep("take-over", "holder %s is gone", e.Holder.ID)
	if _, refusal := d.startGiven(ctx, r, record); refusal != nil {
		record.AddStep("refused", "%s", refusal.Error())
	}
}
