package relay

import (
	"cmp"
	"context"
	"time"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/suspect"
)

const (
	// maxSends bounds how often one request is offered to servers, including those that decline it.
	maxSends = 6
	// restRecordTime is the time that a body must still take after the answer to be recorded.
	restRecordTime = 10 * time.Millisecond
)

// exchange is the state of one request. It is used by one goroutine.
type exchange struct {
	relay    *Relay
	request  *Request
	writer   ResponseWriter
	record   *decision.Record
	route    *catalog.Route
	account  string
	service  string
	deadline time.Time

	// version is the version that a rollout first assigned to the request.
	version string
	// modelIndex is the index of the present model among the route's models.
	modelIndex int
	// tried holds the servers that were sent the request, sends counts the attempts, and runs
	// counts the servers that may have run it.
	tried map[registry.Incarnation]bool
	sends int
	runs  int
	// abandoned means that the present server may still run the request although it was given up.
	abandoned bool
	// earlierRun is the last run that was given up and may go on at its server; nil for none. unendedAt holds
	// the servers of such runs that have not certainly ended, nil for none: a new run there could be taken for
	// the earlier one.
	earlierRun *earlierRun
	unendedAt  map[registry.Incarnation]bool
	// connection is what is known of the connection of the present attempt.
	connection connection
	// basis is why the present server may get the request, if it names a rejection limit.
	basis rejection.Basis
	// otherServers is how many servers remained for a further attempt at the last choice.
	otherServers int
	// responseStarted means that the client has the response header. lastEventID is the last
	// stream event that it has, "" for none.
	responseStarted bool
	lastEventID     string
	// headerReceived is when the last response header arrived. fromFirstEvent means that the
	// response starts at the first event, rather than resuming a stream.
	headerReceived time.Time
	fromFirstEvent bool
	// silentSince is when the last rerouted attempt began to wait.
	silentSince time.Time
	// firstByte is the time from arrival to the first byte for the client; zero until then.
	firstByte time.Duration
	// featureCache holds the request's features; nil until computed.
	featureCache suspect.Features
	// counted means that the request is counted in the usage of its client account.
	counted bool
	// probeSent means that the refused request was sent once more as a probe.
	probeSent bool
}

// run makes attempts until the client has its response. If it returns a refusal, the caller
// must send it.
func (x *exchange) run(ctx context.Context) *Refusal {
	x.relay.Budgets.RecordRequest(x.service)
	x.relay.Reroutes.RecordRequest(x.service)
	x.chooseModel()
	defer x.endEarlierRunLater()
	if !x.endsBeforeShutdown() {
		return x.shutdownRefusal("the answer would not be whole before its end")
	}
	for {
		if refused := x.suspected(ctx); len(refused) > 0 && !x.takeProbe(ctx, refused) {
			return x.deliver(x.suspectedRefusal(refused))
		}
		assignment, version, refusal := x.choosePatiently(ctx)
		if refusal != nil {
			return x.deliver(refusal)
		}
		f := x.attempt(ctx, assignment, version)
		x.keepEarlierRun(f, assignment.Server())
		if f == nil {
			x.finish("answered")
			return nil
		}
		if !f.escalates {
			x.record.AddStep("failed", "%s at %s: %s", f.reason, assignment.Server().ID, f.cause)
		}
		if refusal := x.afterFailure(ctx, f); refusal != nil {
			return x.deliver(refusal)
		}
		x.relay.StoreView.AwaitRefresh(ctx)
		if ctx.Err() != nil {
			return x.deliver(x.endedRefusal(ctx, f))
		}
	}
}

// attempt sends the request to one server and forwards the response. It returns nil once
// nothing more is to be done for the client.
func (x *exchange) attempt(ctx context.Context, assignment *route.Assignment, version string) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	server := assignment.Server()
	x.abandoned = false
	rejected, begun := false, time.Now()
	defer func() { x.releasePlace(assignment, begun, rejected) }()
	x.relay.Versions.Begin(x.service, version, x.request.hashKey())
	defer x.relay.Versions.End(x.service, version, x.request.hashKey())
	x.sends++
	x.fromFirstEvent = x.lastEventID == ""
	age := x.relay.StoreView.Age()
	x.relay.Counters.Sent(age)
	x.record.AddStep("send", "to %s in %s, model %s, %d of %d tokens held, after event %q, %d ms left, by revision %d, %d ms old",
		server.ID, server.DataHall, x.model(), assignment.CachedTokens(), x.request.Prompt.Tokens, x.lastEventID, time.Until(x.deadline).Milliseconds(),
		x.relay.StoreView.Revision(), age.Milliseconds())
	said := x.relay.Notices.State(&server)
	if said.RequestLimit != notice.Unlimited {
		x.record.AddStep("limit", "%s takes %g requests a second from all nodes", server.ID, said.RequestLimit)
		x.relay.Counters.SentLimited()
	}
	if said.RejectionLimit != notice.Unlimited {
		x.record.AddStep("limit", "%s can reject %g requests a second; place: %s", server.ID, said.RejectionLimit, x.basis)
	}
	features := x.features()
	memory := x.endEarlierRun(ctx, server)
	sent := time.Now()
	x.connection = connection{heard: sent}
	removePending := x.relay.pending.add(x.request, cancel)
	wd := x.startWatchdog(assignment, cancel)
	defer wd.stop()
	defer func() {
		if stalled(ctx) {
			x.silentSince = wd.since
		}
	}()
	awaited := x.relay.Versions.Await(x.service, version, rollout.Sample{
		Kind: x.kind(), Expected: assignment.ExpectedServiceTime(), Objective: x.route.Objective,
	})
	defer awaited.End()
	resp, err := x.relay.Backends.Send(ctx, server, Call{
		Request:     x.request,
		Account:     x.account,
		TimeLeft:    time.Until(x.deadline),
		Model:       x.model(),
		LastEventID: x.lastEventID,
		Copy:        memory,
		SilentSince: x.silentSince,
		Connected:   func(opened time.Time, carrier string) { x.connection.opened, x.connection.carrier = opened, carrier },
		// The choice may become stale while a connection is dialed or this process is not
		// scheduled.
		Stale: func() bool {
			suspected := !x.probeSent && len(x.relay.Suspects.Refused(features)) > 0
			return suspected || x.relay.StoreView.NeedsRefresh() || !x.relay.Servers.Usable(server.Incarnation()) || x.relay.Throttle.Withheld(server)
		},
	})
	removePending()
	if resp == nil || resp.Declined() {
		x.relay.Handoffs.Release(memory)
	}
	rejected = x.observeServer(server, sent, resp)
	recordBegin(ctx, awaited, resp)
	f := x.checkHeader(ctx, assignment, sent, resp, err)
	if resp != nil {
		defer resp.Close()
	}
	if f != nil {
		return f
	}
	f = x.forward(ctx, assignment, sent, resp, wd, awaited)
	if f == nil {
		x.sendRestOfBody(ctx, resp)
	}
	return f
}

// sendRestOfBody waits until a body that is read from the client has been sent. A server may respond first and read
// on.
func (x *exchange) sendRestOfBody(ctx context.Context, resp Response) {
	if x.request.Body.FullyBuffered() {
		return
	}
	began := time.Now()
	err := resp.AwaitSent(ctx)
	if took := time.Since(began); err != nil || took >= restRecordTime {
		x.record.AddStep("rest of body", "awaited for %d ms after the answer; error: %v", took.Milliseconds(), err)
	}
}

// finish ends the decision record of the request.
func (x *exchange) finish(outcome string) {
	if x.firstByte > 0 {
		x.record.AddStep("first byte", "after %d ms", x.firstByte.Milliseconds())
	}
	x.record.End(outcome)
}

// objective returns the latency objective of the route.
func (x *exchange) objective() time.Duration {
	return cmp.Or(max(0, x.route.Objective), defaultObjective)
}

// elapsed returns the time since the request arrived.
func (x *exchange) elapsed() time.Duration { return time.Since(x.request.Arrived) }
