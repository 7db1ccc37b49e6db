package relay

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/inbound"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
)

const (
	// retryReserve is the share of the retry budget that escalations and reroutes leave to
	// requests that got no response at all.
	retryReserve = 0.25
	// confidenceUnknown is the confidence assumed where there is no answer yet: as likely poor
	// as good.
	confidenceUnknown = 50
	// minAttemptTime is the time that must be left for a further attempt; the fastest responses
	// take about that long.
	minAttemptTime = 50 * time.Millisecond
)

// recordBegin records, for the version of its server, that a response has begun or was given up as late. Only
// responses by the server itself count.
func recordBegin(ctx context.Context, awaited *rollout.Awaited, resp Response) {
	switch {
	case resp == nil && stalled(ctx):
		awaited.Begin(true, false)
	case resp != nil && !resp.Declined():
		awaited.Begin(false, isServerError(resp))
	}
}

// checkHeader decides on a response by its header. It returns nil if the response is to be
// forwarded.
func (x *exchange) checkHeader(ctx context.Context, assignment *route.Assignment, sent time.Time, resp Response, err error) *failure {
	if err != nil {
		return x.classifyError(ctx, assignment, err)
	}
	x.connection.hear()
	if load, ok := resp.Load(); ok {
		assignment.RecordLoad(load)
	}
	if resp.Declined() {
		// The response may come from another server, at the address of one that has ended, so
		// it is not reported as progress.
		assignment.End(route.OutcomeDeclined)
		x.record.AddStep("declined", "by %s with %d after %d ms, on a connection opened %d ms before, carried by %q", assignment.Server().ID,
			resp.Status(), time.Since(sent).Milliseconds(), time.Since(x.connection.opened).Milliseconds(), x.connection.carrier)
		return &failure{reason: ReasonDeclined, retryAfter: resp.RetryAfter(), cause: http.StatusText(resp.Status())}
	}
	x.reportProgress(assignment, sent)
	x.record.AddStep("head", "after %d ms, expected %d, of it %d waiting; confidence %s of %s",
		time.Since(sent).Milliseconds(), assignment.ExpectedLatency().Milliseconds(), assignment.ExpectedWait().Milliseconds(), formatConfidence(resp), x.model())
	if carrier := x.connection.carrier; carrier != "" {
		x.record.AddStep("tunnel", "%s was reached through the node at %s", assignment.Server().ID, carrier)
	}
	x.headerReceived = time.Now()
	assignment.RecordResponseStart()
	assignment.RecordResult(isServerError(resp))
	x.runs++
	x.countUsage()
	if x.responseStarted && resp.Status() != http.StatusOK {
		// The client is in the middle of a stream and can only be sent the rest of it.
		assignment.End(route.OutcomeNeutral)
		return &failure{reason: ReasonServerFailed, ran: true, cause: "resumed stream: " + http.StatusText(resp.Status())}
	}
	if isServerError(resp) && x.mayRunBeside() && x.mayReplaceResponse() && x.relay.Budgets.Take(x.service, 0) {
		assignment.End(route.OutcomeNeutral)
		return &failure{reason: ReasonServerFailed, ran: true, budgetTaken: true, cause: http.StatusText(resp.Status())}
	}
	if next, ok := x.escalation(resp); ok {
		assignment.End(route.OutcomeOK)
		x.reportAbandoned(assignment)
		x.modelIndex = next
		return &failure{escalates: true, ran: true}
	}
	return nil
}

// observeServer records what a response says of its server, and reports whether the server has
// rejected the request for want of room.
func (x *exchange) observeServer(server registry.Server, sent time.Time, resp Response) (rejected bool) {
	if resp == nil {
		return false
	}
	answer := notice.Answer{Notices: resp.Notices(), SentAgo: time.Since(sent), Carrier: x.connection.carrier}
	x.relay.Notices.Observe(server, answer)
	for _, n := range answer.Notices {
		if !n.IsAbsent() {
			x.record.AddStep("notice", "%s says %s", server.ID, n)
		}
	}
	if load, ok := resp.Load(); ok {
		x.relay.Rejections.ObserveSlots(server, load.Slots)
	}
	if !resp.Declined() || resp.Status() != http.StatusServiceUnavailable {
		return false
	}
	if x.relay.Notices.State(&server).RejectionLimit != notice.Unlimited {
		x.relay.Counters.ServerRejected(x.basis)
		x.record.AddStep("rejected", "by %s, sent on the basis: %s", server.ID, x.basis)
	}
	return true
}

// countUsage counts the request in the usage of its client account, once however many servers
// run it.
func (x *exchange) countUsage() {
	if x.relay.Usage == nil || x.account == "" || x.counted {
		return
	}
	x.counted = true
	x.relay.Usage.Count(x.account)
}

// formatConfidence formats a model's confidence for the decision record.
func formatConfidence(resp Response) string {
	if value, ok := resp.Confidence(); ok {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return "none"
}

// isServerError reports whether the status is 5xx.
func isServerError(resp Response) bool { return resp.Status() >= http.StatusInternalServerError }

// classifyError returns the failure of an attempt that got no response.
func (x *exchange) classifyError(ctx context.Context, assignment *route.Assignment, err error) *failure {
	if stalled(ctx) {
		assignment.EndStalled()
		x.reportAbandoned(assignment)
		x.runs++
		return stalledFailure()
	}
	if canceledAsSuspected(ctx) {
		assignment.End(route.OutcomeNeutral)
		x.abandoned = true
		x.runs++
		return &failure{reason: ReasonSuspected, ran: true, budgetTaken: true, cause: errSuspected.Error()}
	}
	if errorx.IsOfType(err, StaleChoice) {
		assignment.End(route.OutcomeNeutral)
		delete(x.tried, assignment.Server().Incarnation()) // nothing was sent to it
		return &failure{reason: ReasonOvertaken, budgetTaken: true, cause: err.Error()}
	}
	outcome := route.OutcomeFailed
	if errors.Is(ctx.Err(), context.Canceled) || errorx.IsOfType(err, NoWay) {
		outcome = route.OutcomeNeutral
	}
	assignment.End(outcome)
	if errorx.IsOfType(err, NotRun) {
		return &failure{reason: ReasonUnreachable, cause: err.Error()}
	}
	x.runs++
	if ctx.Err() != nil {
		x.reportAbandoned(assignment)
	}
	x.reportLost(ctx, assignment)
	reason := ReasonServerFailed
	if bodyErr := x.request.Body.Err(); errorx.IsOfType(bodyErr, inbound.NoRoom) {
		reason = ReasonBodyStalled
	} else if bodyErr != nil {
		reason = ReasonBodyBroken
	}
	return &failure{reason: reason, ran: true, serverLost: ctx.Err() == nil, cause: err.Error()}
}

// escalation returns the model to ask instead of one whose answer has too low a confidence.
func (x *exchange) escalation(resp Response) (next int, ok bool) {
	confidence, reported := resp.Confidence()
	if !x.systemChooses() || !reported || resp.Status() != http.StatusOK || x.responseStarted || !x.mayRunBeside() {
		return 0, false
	}
	if x.requestsScarce() {
		x.record.AddStep("keep", "confidence %.0f of %s, since the servers take few requests", confidence, x.model())
		return 0, false
	}
	last := !x.mayRunAfter(x.runs + 1)
	next, ok = x.relay.Cascade.Next(len(x.route.Models), x.modelIndex, confidence, last)
	if !ok {
		return 0, false
	}
	// The server that responded may run the other model as well.
	tried := x.tried
	x.tried = make(map[registry.Incarnation]bool)
	maps.Copy(x.tried, x.unendedAt)
	defer func() {
		if !ok {
			x.tried = tried
		}
	}()
	switch {
	case !x.worthAsking(next, confidence):
		x.record.AddStep("keep", "confidence %.0f of %s, but %s does not pay", confidence, x.model(), x.route.Models[next])
		return 0, false
	case !x.relay.Budgets.Take(x.service, retryReserve):
		x.record.AddStep("keep", "confidence %.0f of %s, but the budget for repeats is used up", confidence, x.model())
		return 0, false
	}
	x.record.AddStep("escalate", "confidence %.0f of %s", confidence, x.model())
	x.relay.Counters.Escalated(x.route.Models[next])
	return next, true
}

// mayRunBeside is mayRunAgain while an attempt is still reading the body.
func (x *exchange) mayRunBeside() bool { return x.request.Body.FullyBuffered() && x.mayRunAgain() }

// mayRunAgain reports whether one more server may run the request now.
func (x *exchange) mayRunAgain() bool {
	return x.route.Repeatable() && x.runs < x.route.Attempts && time.Until(x.deadline) > minAttemptTime && x.request.Body.Replayable()
}

// mayRunAfter reports whether another run may follow once the given number of servers have run
// the request.
func (x *exchange) mayRunAfter(runs int) bool { return x.route.Repeatable() && runs < x.route.Attempts }
