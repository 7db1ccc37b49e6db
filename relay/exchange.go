package relay

import (
	"context"
	"time"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
)

// maxSends bounds how often one request is offered to servers, those that
// decline it included.
const maxSends = 6

// exchange is one request on its way. One task runs it.
type exchange struct {
	relay    *Relay
	request  *Request
	writer   ResponseWriter
	record   *decision.Record
	route    *catalog.Route
	account  string
	service  string
	deadline time.Time

	// version is the side of a roll-out that the request fell on first.
	version string
	// modelIndex is the index of the model among the route's.
	modelIndex int
	// tried are the servers that got the request, sends how often it was
	// offered, runs how many servers may have run it.
	tried map[registry.Incarnation]bool
	sends int
	runs  int
	// knownServers is how many servers the service had when the last one was chosen,
	// others how many could have the request after that attempt.
	knownServers int
	otherServers int
	// responseStarted says that the client has the head of an answer, after which is the
	// last event that it has, "" for none.
	responseStarted bool
	lastEventID     string
	// headReceived is when the head of the last answer came; whole says that the answer
	// begins with the first event.
	headReceived   time.Time
	fromFirstEvent bool
	// silentSince is since when the last attempt that was taken away had waited.
	silentSince time.Time
	// firstByte is how long the first piece of the answer took; zero until then.
	firstByte time.Duration
	// digest names what servers are given of the request; zero until asked for.
	digest uint64
	// testSent says that the request was sent though it is refused.
	testSent bool
}

// run makes attempts until the client has its answer. A refusal that it
// returns is still to be told.
func (x *exchange) run(ctx context.Context) *Refusal {
	x.relay.Budgets.Paid(x.service)
	x.relay.Reroutes.Paid(x.service)
	x.chooseModel()
	if !x.endsBeforeShutdown() {
		return x.shutdownRefusal("the answer would not be whole before its end")
	}
	for {
		if x.suspected() && !x.takeTest(ctx) {
			return x.deliver(refusalf(ReasonSuspected, 0, "servers ended while they ran this request, content %016x; it is sent to no other one", x.contentDigest()))
		}
		use, version, refusal := x.choose()
		if refusal != nil {
			return x.deliver(refusal)
		}
		f := x.attempt(ctx, use, version)
		if f == nil {
			x.finish("answered")
			return nil
		}
		if !f.escalates {
			x.record.Note("failed", "%s at %s: %s", f.reason, use.Server().ID, f.cause)
		}
		if refusal := x.afterFailure(ctx, f); refusal != nil {
			return x.deliver(refusal)
		}
		x.relay.StoreView.Settle(ctx)
	}
}

// attempt sends the request to one server and passes its answer on. It
// returns nil once nothing more is to be done for the client.
func (x *exchange) attempt(ctx context.Context, use *route.Use, version string) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	server := use.Server()
	x.relay.Versions.Begin(x.service, version, x.request.hashKey())
	defer x.relay.Versions.End(x.service, version, x.request.hashKey())
	x.sends++
	x.fromFirstEvent = x.lastEventID == ""
	age := x.relay.StoreView.Age()
	x.relay.Counters.Sent(age)
	x.record.Note("send", "to %s in %s, model %s, %d of %d tokens held, after event %q, %d ms left, by revision %d, %d ms old",
		server.ID, server.DataHall, x.model(), use.Held(), x.request.Prompt.Tokens, x.lastEventID, time.Until(x.deadline).Milliseconds(),
		x.relay.StoreView.Revision(), age.Milliseconds())
	sent := time.Now()
	stopWaiting := x.relay.pending.add(x.request, cancel)
	watch := x.startWatchdog(use, cancel)
	defer watch.stop()
	defer func() {
		if stalled(ctx) {
			x.silentSince = watch.since
		}
	}()
	answer, err := x.relay.Backends.Send(ctx, server, Call{
		Request:     x.request,
		Account:     x.account,
		TimeLeft:    time.Until(x.deadline),
		Model:       x.model(),
		LastEventID: x.lastEventID,
		SilentSince: x.silentSince,
		// Between the choice and the first byte lie a dial, and whatever keeps this
		// process from running.
		Stale: func() bool { return x.relay.StoreView.InDoubt() || !x.relay.Servers.Usable(server.Incarnation()) },
	})
	stopWaiting()
	x.recordVersionSample(ctx, use, version, answer, time.Since(sent))
	f := x.checkHead(ctx, use, sent, answer, err)
	if answer != nil {
		defer answer.Close()
	}
	if f != nil {
		return f
	}
	return x.forward(ctx, use, sent, answer, watch)
}

// finish ends the record of a request.
func (x *exchange) finish(outcome string) {
	if x.firstByte > 0 {
		x.record.Note("first byte", "after %d ms", x.firstByte.Milliseconds())
	}
	x.record.End(outcome)
}

// elapsed is the time since the request arrived.
func (x *exchange) elapsed() time.Duration { return time.Since(x.request.Arrived) }
