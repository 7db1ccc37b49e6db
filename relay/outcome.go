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
	// retryReserve is the share of the budget for repeats that cascades
	// leave to requests which got no answer at all.
	retryReserve = 0.25
	// confidenceUnknown stands for that of an answer which is not there: it would be
	// as often poor as not.
	confidenceUnknown = 50
	// minAttemptTime is the time that a further attempt must have left to be worth
	// making; the quickest answers take about that long.
	minAttemptTime = 50 * time.Millisecond
)

// recordVersionSample takes an answer as evidence on a version. Only what the server
// itself answered counts, and how long it took to begin, or had taken when it
// was given up as late.
func (x *exchange) recordVersionSample(ctx context.Context, use *route.Use, version string, answer Response, wait time.Duration) {
	late := answer == nil && stalled(ctx)
	if version == "" || (answer == nil && !late) || (answer != nil && answer.Declined()) {
		return
	}
	x.relay.Versions.Count(x.service, version, rollout.Answer{
		Kind:      x.kind(),
		Failed:    !late && isServerError(answer),
		Wait:      wait,
		Expected:  use.Takes(),
		Late:      late,
		Objective: x.route.Objective,
	})
}

// checkHead decides on the head of an answer. Nil lets the answer go out.
func (x *exchange) checkHead(ctx context.Context, use *route.Use, sent time.Time, answer Response, err error) *failure {
	if err != nil {
		return x.classifyError(ctx, use, err)
	}
	if load, ok := answer.Load(); ok {
		use.Tell(load)
	}
	if answer.Declined() {
		// It may be another server's, at the address of one that has ended.
		use.End(route.OutcomeDeclined)
		return &failure{reason: ReasonDeclined, retryAfter: answer.RetryAfter(), cause: http.StatusText(answer.Status())}
	}
	x.reportProgress(use, sent, answer)
	x.record.Note("head", "after %d ms, expected %d, of it %d waiting; confidence %s of %s",
		time.Since(sent).Milliseconds(), use.Expected().Milliseconds(), use.Waits().Milliseconds(), formatConfidence(answer), x.model())
	x.headReceived = time.Now()
	use.Begin()
	use.Failed(isServerError(answer))
	x.runs++
	if x.responseStarted && answer.Status() != http.StatusOK {
		// The client is in the middle of a stream, which nothing but the rest
		// of it may follow.
		use.End(route.OutcomeNeutral)
		return &failure{reason: ReasonServerFailed, ran: true, cause: "resumed stream: " + http.StatusText(answer.Status())}
	}
	if isServerError(answer) && x.mayRunAgain() && x.mayReplaceResponse() && x.relay.Budgets.Take(x.service, 0) {
		use.End(route.OutcomeNeutral)
		return &failure{reason: ReasonServerFailed, ran: true, budgetTaken: true, cause: http.StatusText(answer.Status())}
	}
	if next, ok := x.escalation(answer); ok {
		use.End(route.OutcomeOK)
		x.reportAbandoned(use)
		x.modelIndex = next
		return &failure{escalates: true, ran: true}
	}
	return nil
}

// formatConfidence shows a model's opinion of its answer.
func formatConfidence(answer Response) string {
	if value, told := answer.Confidence(); told {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return "none"
}

// isServerError reports whether an answer is a failure of the server's own.
func isServerError(a Response) bool { return a.Status() >= http.StatusInternalServerError }

// classifyError decides on an attempt without an answer.
func (x *exchange) classifyError(ctx context.Context, use *route.Use, err error) *failure {
	if stalled(ctx) {
		use.Stall()
		x.reportAbandoned(use)
		x.runs++
		return stalledFailure()
	}
	if canceledAsSuspected(ctx) {
		use.End(route.OutcomeNeutral)
		x.runs++
		return &failure{reason: ReasonSuspected, ran: true, budgetTaken: true, cause: errSuspected.Error()}
	}
	if errorx.IsOfType(err, StaleChoice) {
		use.End(route.OutcomeNeutral)
		delete(x.tried, use.Server().Incarnation()) // it has got nothing
		return &failure{reason: ReasonOvertaken, budgetTaken: true, cause: err.Error()}
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
		x.reportAbandoned(use)
	}
	x.reportLost(ctx, use)
	reason := ReasonServerFailed
	if x.request.Body.Err() != nil {
		reason = ReasonBodyBroken
	}
	return &failure{reason: reason, ran: true, serverLost: ctx.Err() == nil, cause: err.Error()}
}

// escalation returns the model to ask in place of an answer that a model has
// too little confidence in.
func (x *exchange) escalation(answer Response) (next int, ok bool) {
	confidence, told := answer.Confidence()
	if !x.systemChooses() || !told || answer.Status() != http.StatusOK || x.responseStarted || !x.mayRunAgain() {
		return 0, false
	}
	last := !x.mayRunAfter(x.runs + 1)
	next, ok = x.relay.Cascade.Next(len(x.route.Models), x.modelIndex, confidence, last)
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
	case !x.worthAsking(next, confidence):
		x.record.Note("keep", "confidence %.0f of %s, but %s does not pay", confidence, x.model(), x.route.Models[next])
		return 0, false
	case !x.relay.Budgets.Take(x.service, retryReserve):
		x.record.Note("keep", "confidence %.0f of %s, but the budget for repeats is used up", confidence, x.model())
		return 0, false
	}
	x.record.Note("escalate", "confidence %.0f of %s", confidence, x.model())
	x.relay.Counters.Escalated(x.route.Models[next])
	return next, true
}

// mayRunAgain reports whether another server may run the request, beside the
// ones that have.
func (x *exchange) mayRunAgain() bool {
	return x.route.Repeatable() && x.runs < x.route.Attempts && time.Until(x.deadline) > minAttemptTime && x.request.Body.Replayable()
}

// mayRunAfter reports whether another run may follow once the given number of
// servers has run the request.
func (x *exchange) mayRunAfter(runs int) bool { return x.route.Repeatable() && runs < x.route.Attempts }
