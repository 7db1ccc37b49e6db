package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
)

const (
	// spareForRetries is the share of the budget for repeats that cascades
	// leave to requests which got no answer at all.
	spareForRetries = 0.25
	// noConfidence stands for that of an answer which is not there: it would be
	// as often poor as not.
	noConfidence = 50
	// leastTime is the time that a further attempt must have left to be worth
	// making; the quickest answers take about that long.
	leastTime = 50 * time.Millisecond
)

// countVersion takes an answer as evidence on a version. Only what the server
// itself answered counts, and how long it took to begin, or had taken when it
// was given up as late.
func (x *exchange) countVersion(ctx context.Context, use *route.Use, version string, answer Answer, wait time.Duration) {
	late := answer == nil && stalled(ctx)
	if version == "" || (answer == nil && !late) || (answer != nil && answer.Declined()) {
		return
	}
	x.relay.Versions.Count(x.service, version, rollout.Answer{
		Kind:      x.kind(),
		Failed:    !late && failed(answer),
		Wait:      wait,
		Expected:  use.Takes(),
		Late:      late,
		Objective: x.route.Objective,
	})
}

// judge decides on the head of an answer. Nil lets the answer go out.
func (x *exchange) judge(ctx context.Context, use *route.Use, sent time.Time, answer Answer, err error) *failure {
	if err != nil {
		return x.judgeError(ctx, use, err)
	}
	if load, ok := answer.Load(); ok {
		use.Tell(load)
	}
	if answer.Declined() {
		// It may be another server's, at the address of one that has ended.
		use.End(route.OutcomeDeclined)
		return &failure{reason: ReasonDeclined, retryAfter: answer.RetryAfter(), cause: http.StatusText(answer.Status())}
	}
	x.goesOn(use, sent, answer)
	x.record.AddStep("head", "after %d ms, expected %d, of it %d waiting; confidence %s of %s",
		time.Since(sent).Milliseconds(), use.Expected().Milliseconds(), use.Waits().Milliseconds(), confidence(answer), x.model())
	x.head = time.Now()
	use.Begin()
	use.Failed(failed(answer))
	x.runs++
	if x.begun && answer.Status() != http.StatusOK {
		// The client is in the middle of a stream, which nothing but the rest
		// of it may follow.
		use.End(route.OutcomeNeutral)
		return &failure{reason: ReasonServerFailed, ran: true, cause: "resumed stream: " + http.StatusText(answer.Status())}
	}
	if failed(answer) && x.mayRunAgain() && x.mayReplace() && x.relay.Budgets.Take(x.service, 0) {
		use.End(route.OutcomeNeutral)
		return &failure{reason: ReasonServerFailed, ran: true, paid: true, cause: http.StatusText(answer.Status())}
	}
	if next, ok := x.escalation(answer); ok {
		use.End(route.OutcomeOK)
		x.left(use)
		x.step = next
		return &failure{escalates: true, ran: true}
	}
	return nil
}

// confidence shows a model's opinion of its answer.
func confidence(answer Answer) string {
	if value, told := answer.Confidence(); told {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return "none"
}

// failed reports whether an answer is a failure of the server's own.
func failed(a Answer) bool { return a.Status() >= http.StatusInternalServerError }

// judgeError decides on an attempt without an answer.
func (x *exchange) judgeError(ctx context.Context, use *route.Use, err error) *failure {
	if stalled(ctx) {
		use.Stall()
		x.left(use)
		x.runs++
		return stall()
	}
	if takenBack(ctx) {
		use.End(route.OutcomeNeutral)
		x.runs++
		return &failure{reason: ReasonSuspected, ran: true, paid: true, cause: errTakenBack.Error()}
	}
	if errorx.IsOfType(err, Overtaken) {
		use.End(route.OutcomeNeutral)
		delete(x.tried, use.Server().Incarnation()) // it has got nothing
		return &failure{reason: ReasonOvertaken, paid: true, cause: err.Error()}
	}
	outcome := route.OutcomeFailed
	if errors.Is(ctx.Err(), context.Canceled) {
		outcome = route.OutcomeNeutral
	}
	use.End(outcome)
	if errorx.IsOfType(err, NotRun) {
		return &failure{reason: ReasonUnreachable, cause: err.Error()}
	}
	x.runs++
	if ctx.Err() != nil {
		x.left(use)
	}
	x.lost(ctx, use)
	reason := ReasonServerFailed
	if x.request.Body.Err() != nil {
		reason = ReasonBodyBroken
	}
	return &failure{reason: reason, ran: true, lost: ctx.Err() == nil, cause: err.Error()}
}

// escalation returns the model to ask in place of an answer that a model has
// too little confidence in.
func (x *exchange) escalation(answer Answer) (next int, ok bool) {
	confidence, told := answer.Confidence()
	if !x.chooses() || !told || answer.Status() != http.StatusOK || x.begun || !x.mayRunAgain() {
		return 0, false
	}
	last := !x.mayDrop(x.runs + 1)
	next, ok = x.relay.Ladder.Next(len(x.route.Models), x.step, confidence, last)
	if !ok {
		return 0, false
	}
	// The server that answered may hold the other model as well.
	tried := x.tried
	x.tried = make(map[registry.Incarnation]bool)
	defer func() {
		if !ok {
			x.tried = tried
		}
	}()
	switch {
	case !x.pays(next, confidence):
		x.record.AddStep("keep", "confidence %.0f of %s, but %s does not pay", confidence, x.model(), x.route.Models[next])
		return 0, false
	case !x.relay.Budgets.Take(x.service, spareForRetries):
		x.record.AddStep("keep", "confidence %.0f of %s, but the budget for repeats is used up", confidence, x.model())
		return 0, false
	}
	x.record.AddStep("escalate", "confidence %.0f of %s", confidence, x.model())
	x.relay.Counters.Escalated(x.route.Models[next])
	return next, true
}

// mayRunAgain reports whether another server may run the request, beside the
// ones that have.
func (x *exchange) mayRunAgain() bool {
	return x.route.Repeatable() && x.runs < x.route.Attempts && time.Until(x.deadline) > leastTime && x.request.Body.Replayable()
}

// mayDrop reports whether another run may follow once the given number of
// servers has run the request.
func (x *exchange) mayDrop(runs int) bool { return x.route.Repeatable() && runs < x.route.Attempts }
