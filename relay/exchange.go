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
	reply    Reply
	record   *decision.Record
	route    *catalog.Route
	account  string
	service  string
	deadline time.Time

	// version is the side of a roll-out that the request fell on first.
	version string
	// step is the index of the model among the route's.
	step int
	// tried are the servers that got the request, sends how often it was
	// offered, runs how many servers may have run it.
	tried map[registry.Incarnation]bool
	sends int
	runs  int
	// known is how many servers the service had when the last one was chosen,
	// others how many could have the request after that attempt.
	known  int
	others int
	// begun says that the client has the head of an answer, after which is the
	// last event that it has, "" for none.
	begun bool
	after string
	// head is when the head of the last answer came; whole says that the answer
	// begins with the first event.
	head  time.Time
	whole bool
	// quiet is since when the last attempt that was taken away had waited.
	quiet time.Time
	// first is how long the first piece of the answer took; zero until then.
	first time.Duration
	// digest names what servers are given of the request; zero until asked for.
	digest uint64
	// tested says that the request was sent though it is refused.
	tested bool
}

// run makes attempts until the client has its answer. A refusal that it
// returns is still to be told.
func (x *exchange) run(ctx context.Context) *Refusal {
	x.relay.Budgets.Paid(x.service)
	x.relay.Moves.Paid(x.service)
	x.chooseModel()
	if !x.fits() {
		return x.refuseLeaving("the answer would not be whole before its end")
	}
	for {
		if x.suspected() && !x.tests(ctx) {
			return x.give(refuse(ReasonSuspected, 0, "servers ended while they ran this request, content %016x; it is sent to no other one", x.content()))
		}
		use, version, refusal := x.choose()
		if refusal != nil {
			return x.give(refusal)
		}
		f := x.attempt(ctx, use, version)
		if f == nil {
			x.finish("answered")
			return nil
		}
		if !f.escalates {
			x.record.AddStep("failed", "%s at %s: %s", f.reason, use.Server().ID, f.cause)
		}
		if refusal := x.next(ctx, f); refusal != nil {
			return x.give(refusal)
		}
		x.relay.News.Settle(ctx)
	}
}

// attempt sends the request to one server and passes its answer on. It
// returns nil once nothing more is to be done for the client.
func (x *exchange) attempt(ctx context.Context, use *route.Use, version string) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	server := use.Server()
	x.relay.Versions.Begin(x.service, version, x.request.key())
	defer x.relay.Versions.End(x.service, version, x.request.key())
	x.sends++
	x.whole = x.after == ""
	age := x.relay.News.Age()
	x.relay.Counters.Sent(age)
	x.record.AddStep("send", "to %s in %s, model %s, %d of %d tokens held, after event %q, %d ms left, by revision %d, %d ms old",
		server.ID, server.DataHall, x.model(), use.Held(), x.request.Prompt.Tokens, x.after, time.Until(x.deadline).Milliseconds(),
		x.relay.News.Revision(), age.Milliseconds())
	sent := time.Now()
	stopWaiting := x.relay.waiting.add(x.request, cancel)
	watch := x.watch(use, cancel)
	defer watch.stop()
	defer func() {
		if stalled(ctx) {
			x.quiet = watch.from
		}
	}()
	answer, err := x.relay.Backends.Send(ctx, server, Call{
		Request:  x.request,
		Account:  x.account,
		TimeLeft: time.Until(x.deadline),
		Model:    x.model(),
		After:    x.after,
		Quiet:    x.quiet,
		// Between the choice and the first byte lie a dial, and whatever keeps this
		// process from running.
		Overtaken: func() bool { return x.relay.News.InDoubt() || !x.relay.Servers.Usable(server.Incarnation()) },
	})
	stopWaiting()
	x.countVersion(ctx, use, version, answer, time.Since(sent))
	f := x.judge(ctx, use, sent, answer, err)
	if answer != nil {
		defer answer.Close()
	}
	if f != nil {
		return f
	}
	return x.pass(ctx, use, sent, answer, watch)
}

// finish ends the record of a request.
func (x *exchange) finish(outcome string) {
	if x.first > 0 {
		x.record.AddStep("first byte", "after %d ms", x.first.Milliseconds())
	}
	x.record.End(outcome)
}

// elapsed is the time since the request arrived.
func (x *exchange) elapsed() time.Duration { return time.Since(x.request.Arrived) }
