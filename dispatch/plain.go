package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/admit"
	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/route"
)

// runPlain calls a plain service.
func (d *Dispatcher) runPlain(ctx context.Context, r *Request, x *answer.Response, record *decision.Record, e *claim.Entry) *Refusal {
	pool := r.Plain.Service.Pool
	release, refusal := d.admit(ctx, r, pool, record)
	if refusal != nil {
		return refusal
	}
	defer release()
	s := d.Config()
	if !d.ReceivesUpdates() {
		return refuse(ReasonCutOff, RanNo, retryAfterShort, "this node is cut off; ask another")
	}
	if !r.Repeatable() && !d.markRunning(x, r, e) {
		return refuse(ReasonClaimUnreachable, RanNo, retryAfterShort, "too few replicas took note of the run")
	}
	if p := s.Pool(pool); p != nil {
		d.Budgets.RecordRequest(pool, p.RetryRatio())
	}
	tried := make(map[string]bool)
	var last *Refusal
	for {
		attempt, err := d.Chooser.Choose(route.Request{Pool: pool, Servers: s.Servers(pool), Exclude: tried})
		if err != nil {
			return noServerRefusal(err).orLast(last)
		}
		tried[attempt.Server().Name] = true
		record.SetServer(r.Plain.Service.Name, "", attempt.Server().Name)
		record.AddStep("server", "%s", attempt.Server().Name)
		refusal := d.callOnce(ctx, r, x, attempt)
		if refusal == nil {
			return nil
		}
		mayRetry := refusal.ran == RanNo || r.Repeatable()
		if !mayRetry || ctx.Err() != nil || !d.Budgets.Take(pool) {
			return refusal
		}
		last = refusal
		d.Counters.Retried(refusal.reason.String())
		record.AddStep("retry", "%s", refusal.Error())
	}
}

// noServerRefusal returns the refusal of a request for which no server can be chosen.
func noServerRefusal(err error) *Refusal {
	switch {
	case errorx.IsOfType(err, route.Resting):
		return refuse(ReasonServersResting, RanNo, max(retryAfterShort, errs.RetryAfter(err)), "%v", err)
	case errorx.IsOfType(err, route.Leaving):
		return refuse(ReasonServersLeaving, RanNo, retryAfterLeaving, "%v", err)
	case errorx.IsOfType(err, route.Limited):
		return refuse(ReasonServerLimit, RanNo, retryAfterShort, "%v", err)
	}
	return refuse(ReasonNoServer, RanNo, retryAfterShort, "%v", err)
}

// markRunning records, here and at most of the replicas, that a call that may not be repeated
// is about to run. It reports whether most replicas acknowledged it.
func (d *Dispatcher) markRunning(x *answer.Response, r *Request, e *claim.Entry) bool {
	d.Responses.MarkRan(x.Attempt(), r.Plain.Call.ClaimTTL())
	return d.advance(e, claim.StateRunning, nil)
}

func (d *Dispatcher) callOnce(ctx context.Context, r *Request, x *answer.Response, attempt *route.Attempt) *Refusal {
	start := d.Timers.Now()
	resp, err := d.Services.Call(ctx, attempt.Server(), ServiceCall{
		RequestID:   r.ID,
		Method:      r.Plain.Method,
		Path:        r.Plain.Path,
		Query:       r.Plain.Query,
		ContentType: r.Plain.ContentType,
		Body:        r.Body,
	})
	took := d.Timers.Now().Sub(start)
	attempt.End(outcomeOf(ctx, err), took)
	r.mayHaveRun = r.mayHaveRun || !errorx.IsOfType(err, NotRun)
	if err != nil {
		return backendRefusal(ctx, err, r.Repeatable())
	}
	x.SetHead(answer.Head{Status: resp.Status, ContentType: resp.ContentType, Model: r.Plain.Service.Name})
	x.Append(resp.Body)
	d.Counters.Answered(r.Plain.Service.Name, "", took, took)
	return nil
}

// outcomeOf returns what an attempt's error says about the server.
func outcomeOf(ctx context.Context, err error) route.Outcome {
	switch {
	case err == nil:
		return route.OutcomeOK
	case errorx.IsOfType(err, NotRun) && errs.Is(err, ErrDeclined):
		return route.OutcomeDeclined
	case errors.Is(ctx.Err(), context.Canceled), errorx.IsOfType(err, NoWay):
		return route.OutcomeNeutral
	default:
		return route.OutcomeFailed
	}
}

// ErrDeclined is the cause of a NotRun error if the server itself refused to run the request
// for now.
var ErrDeclined = errors.New("declined by the server")

// backendRefusal returns the refusal for a failed attempt.
func backendRefusal(ctx context.Context, err error, repeatable bool) *Refusal {
	ran := RanUnknown
	if errorx.IsOfType(err, NotRun) {
		ran = RanNo
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return refuse(ReasonCancelled, ran, 0, "the request was cancelled")
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && (repeatable || ran == RanNo):
		return refuse(ReasonDeadline, ran, retryAfterShort, "the deadline passed while the request ran")
	case errorx.IsOfType(err, TooLarge):
		return refuse(ReasonAnswerTooLarge, RanYes, 0, "%v", err)
	case ran == RanUnknown && !repeatable:
		return refuse(ReasonOutcomeUnknown, RanUnknown, 0, "%v", err)
	default:
		return refuse(ReasonServerFailed, ran, retryAfterShort, "%v", err)
	}
}

// admit waits for the pool's capacity. The request is refused at once if the queue is full or
// the deadline cannot be met.
func (d *Dispatcher) admit(ctx context.Context, r *Request, pool string, record *decision.Record) (release func(), _ *Refusal) {
	start := d.Timers.Now()
	request := admit.Request{Account: r.Account.Name, Priority: r.Account.Priority, Deadline: r.Deadline}
	if r.Async {
		request.Priority = config.PriorityPatient
	}
	release, err := d.Queues.Queue(pool).Acquire(ctx, request)
	waited := d.Timers.Now().Sub(start)
	switch {
	case err == nil:
		record.AddStep("admission", "to pool %s after %s", pool, waited.Round(time.Millisecond))
		return release, nil
	case errors.Is(ctx.Err(), context.Canceled):
		return nil, refuse(ReasonCancelled, RanNo, 0, "the request was cancelled while it waited")
	case errorx.IsOfType(err, admit.Full):
		return nil, refuse(ReasonOverloaded, RanNo, errs.RetryAfter(err), "%v", err)
	case errorx.IsOfType(err, admit.Late):
		return nil, refuse(ReasonDeadline, RanNo, errs.RetryAfter(err), "%v", err)
	default:
		return nil, refuse(ReasonDeadline, RanNo, retryAfterShort, "%v", err)
	}
}
