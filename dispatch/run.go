package dispatch

import (
	"context"
	"time"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/decision"
)

const (
	// maxStoredResponseBytes is the size of the largest response that is stored at the claim's
	// replicas, so that it outlives its node.
	maxStoredResponseBytes = 64 << 10
	// asyncRetryDelay is the shortest delay between two tries of an asynchronous request.
	asyncRetryDelay = time.Second
	// advanceTimeout bounds an update of a claim's state at the replicas.
	advanceTimeout = time.Second
)

// run runs a request in the background. The claim is nil for a request with a generated ID
// whose run does not wait for its claim.
func (d *Dispatcher) run(ctx context.Context, r *Request, x *answer.Response, record *decision.Record, e *claim.Entry) {
	d.runs.Go(func() {
		defer x.Close()
		if !r.Deadline.IsZero() {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, r.Deadline)
			defer cancel()
		}
		refusal := d.execute(ctx, r, x, record, e)
		d.finish(r, x, record, e, refusal)
	})
}

// execute runs a request. An asynchronous request is tried again until its deadline.
func (d *Dispatcher) execute(ctx context.Context, r *Request, x *answer.Response, record *decision.Record, e *claim.Entry) *Refusal {
	for {
		refusal := d.executeOnce(ctx, r, x, record, e).after(r.mayHaveRun)
		if refusal == nil || !r.Async || !isTransient(refusal.reason) || (refusal.ran != RanNo && !r.Repeatable()) {
			return refusal
		}
		record.AddStep("wait", "patient work waits: %s", refusal.Error())
		select {
		case <-ctx.Done():
			return refusal
		case <-time.After(max(asyncRetryDelay, min(refusal.retryAfter, 10*asyncRetryDelay))):
		}
	}
}

func (d *Dispatcher) executeOnce(ctx context.Context, r *Request, x *answer.Response, record *decision.Record, e *claim.Entry) *Refusal {
	if r.Plain != nil {
		return d.runPlain(ctx, r, x, record, e)
	}
	return d.runChat(ctx, r, x, record)
}

// isTransient reports whether the cause of a refusal is temporary, so that a retry may succeed.
func isTransient(reason Reason) bool {
	switch reason {
	case ReasonOverloaded, ReasonNoServer, ReasonServerLimit, ReasonServersResting, ReasonServersLeaving, ReasonServerFailed, ReasonClaimUnreachable, ReasonCutOff, ReasonNoVersion:
		return true
	default:
		return false
	}
}

// finish ends the response and updates the claim.
func (d *Dispatcher) finish(r *Request, x *answer.Response, record *decision.Record, e *claim.Entry, refusal *Refusal) {
	if refusal == nil {
		x.Finish()
		record.End("answered")
		d.storeResult(r, x, e)
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

// endClaim ends the claim of a request that gave no response. A retry may then win the ID and
// run, unless the request may have run and may not be repeated.
func (d *Dispatcher) endClaim(r *Request, e *claim.Entry) {
	switch {
	case !r.mayHaveRun:
		d.Claims.Release(e.Key, e.Token)
	case r.Repeatable():
		d.advance(e, claim.StateFailed, nil)
	default:
		d.advance(e, claim.StateUnknown, nil)
	}
}

// storeResult marks the claim as done at the replicas. It stores the response with it if other
// nodes may have to serve it.
func (d *Dispatcher) storeResult(r *Request, x *answer.Response, e *claim.Entry) {
	if e == nil {
		return
	}
	var stored []byte
	if data := encodeResponse(x.StateFrom(0)); len(data) <= maxStoredResponseBytes && (r.Async || !r.Repeatable()) {
		stored = data
	}
	d.advance(e, claim.StateDone, stored)
}

// advance updates the claim's state at the replicas and reports whether most of them
// acknowledged it.
func (d *Dispatcher) advance(e *claim.Entry, state claim.State, response []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), advanceTimeout)
	defer cancel()
	next := *e
	next.State, next.Response, next.Value = state, response, nil
	acked, total := d.Claims.Advance(ctx, next)
	return acked > total/2
}

// TakeOver runs an asynchronous request whose holder has failed.
func (d *Dispatcher) TakeOver(ctx context.Context, e claim.Entry) {
	s := d.Config()
	r := decodeRequest(e.Value, s.Account(e.Key.Account), s)
	if r == nil || d.checkReady(r) != nil {
		return
	}
	record := d.Records.Start(r.ID, r.Account.Name)
	record.AddStep("take-over", "holder %s is gone", e.Holder.ID)
	if _, refusal := d.startWithClaim(ctx, r, record); refusal != nil {
		record.AddStep("refused", "%s", refusal.Error())
	}
}
