package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
)

const (
	// maxSends bounds how often one request is offered to servers, those that
	// decline it included.
	maxSends = 6
	// spareForRetries is the share of the budget for repeats that cascades
	// leave to requests which got no answer at all.
	spareForRetries = 0.25
	// leastTime is the time that a further attempt must have left to be worth
	// making; the quickest answers take about that long.
	leastTime = 50 * time.Millisecond
)

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
	tried map[string]bool
	// others is how many servers could have the request after this attempt.
	others int
	sends  int
	runs   int
	// begun says that the client has the head of an answer, after which is the
	// last event that it has, "" for none.
	begun bool
	after string
	// first is how long the first piece of the answer took; zero until then.
	first time.Duration
}

// pickService splits a route's requests over its services by their weights.
// Requests of one session fall on the same side.
func pickService(r *catalog.Route, q *Request) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := rendezvous.Position(rendezvous.Hash(r.Name+"/"+q.key())) * total
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// key is what decides by hash: the session, or else the request itself.
func (q *Request) key() string {
	if q.Session != "" {
		return q.Session
	}
	return q.ID
}

// run makes attempts until the client has its answer. A refusal that it
// returns is still to be told.
func (x *exchange) run(ctx context.Context) *Refusal {
	x.relay.Budgets.Paid(x.service)
	x.relay.Moves.Paid(x.service)
	x.chooseModel()
	for {
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
			x.record.Note("failed", "%s at %s: %s", f.reason, use.Server().ID, f.cause)
		}
		if refusal := x.next(ctx, f); refusal != nil {
			return x.give(refusal)
		}
	}
}

// chooses reports whether the system chooses the model.
func (x *exchange) chooses() bool { return x.request.AnyModel && len(x.route.Models) > 0 }

// chooseModel picks the model that answers next, where the client has nothing
// yet. One whose answer could not be dropped for a better one is not asked.
func (x *exchange) chooseModel() {
	if !x.chooses() || x.begun {
		return
	}
	mayEscalate := x.mayDrop(x.runs+1) && x.relay.Budgets.Allows(x.service, spareForRetries)
	first := x.relay.Ladder.First(len(x.route.Models), mayEscalate)
	if first > 0 && !x.inTime(first) {
		return
	}
	x.step = max(x.step, first)
}

// inTime reports whether an answer of the model at a step would begin within
// the objective, by the load that there is. Where it would not, asking that
// model holds up all others too: it takes ten times as long as the cheapest.
func (x *exchange) inTime(step int) bool {
	if x.route.Objective <= 0 {
		return true
	}
	before := x.step
	defer func() { x.step = before }()
	x.step = step
	expected := x.relay.Balancer.Expected(x.task(x.relay.Servers.Servers(x.service)))
	return x.elapsed()+expected <= x.route.Objective
}

// model is the one that the system chose; "" leaves it to the client.
func (x *exchange) model() string {
	if !x.chooses() {
		return ""
	}
	return x.route.Models[x.step]
}

// choose picks the server of the next attempt.
func (x *exchange) choose() (*route.Use, string, *Refusal) {
	left := x.untried(x.relay.Servers.Servers(x.service))
	servers, version := x.relay.Versions.Choose(x.service, x.request.key(), x.version, left)
	x.version = version
	x.others = len(left) - 1
	use, err := x.relay.Balancer.Choose(x.task(servers))
	if err != nil {
		return nil, "", refuse(ReasonNoServer, comeBackSoon, "service %s: %v", x.service, err)
	}
	x.tried[use.Server().ID] = true
	x.record.Choose(x.model(), version, use.Server().ID)
	return use, version, nil
}

// untried returns the servers that have not had the request. Versions are
// chosen among these, since few servers hold a version at first, and a request
// is better served by another version than not at all.
func (x *exchange) untried(servers []registry.Server) []registry.Server {
	if len(x.tried) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool { return x.tried[s.ID] })
}

// attempt sends the request to one server and passes its answer on. It
// returns nil once nothing more is to be done for the client.
func (x *exchange) attempt(ctx context.Context, use *route.Use, version string) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	server := use.Server()
	if version != "" {
		x.relay.Versions.Begin(x.service, version)
		defer x.relay.Versions.End(x.service, version)
	}
	x.sends++
	x.record.Note("send", "to %s in %s, model %s, after event %q, %d ms left",
		server.ID, server.DataHall, x.model(), x.after, time.Until(x.deadline).Milliseconds())
	sent := time.Now()
	watch := x.watch(use, cancel)
	defer watch.stop()
	answer, err := x.relay.Backends.Send(ctx, server, Call{
		Request:  x.request,
		Account:  x.account,
		TimeLeft: time.Until(x.deadline),
		Model:    x.model(),
		After:    x.after,
	})
	x.countVersion(ctx, version, answer, time.Since(sent))
	f := x.judge(ctx, use, answer, err)
	if answer != nil {
		defer answer.Close()
	}
	if f != nil {
		return f
	}
	return x.pass(ctx, use, answer, watch)
}

// countVersion takes an answer as evidence on a version. Only what the server
// itself answered counts, and how long it took to begin, or had taken when it
// was given up as late.
func (x *exchange) countVersion(ctx context.Context, version string, answer Answer, wait time.Duration) {
	late := answer == nil && stalled(ctx)
	if version == "" || (answer == nil && !late) || (answer != nil && answer.Declined()) {
		return
	}
	x.relay.Versions.Count(x.service, version, rollout.Answer{
		Kind:   x.route.Name + "/" + x.model(),
		Failed: !late && answer.Status() >= http.StatusInternalServerError,
		Wait:   wait,
		Late:   late,

		Objective: x.route.Objective,
	})
}

// judge decides on the head of an answer. Nil lets the answer go out.
func (x *exchange) judge(ctx context.Context, use *route.Use, answer Answer, err error) *failure {
	if err != nil {
		return x.judgeError(ctx, use, err)
	}
	if load, ok := answer.Load(); ok {
		use.Tell(load)
	}
	if answer.Declined() {
		use.End(route.OutcomeDeclined)
		return &failure{reason: ReasonDeclined, retryAfter: answer.RetryAfter(), cause: http.StatusText(answer.Status())}
	}
	use.Begin()
	use.Failed(answer.Status() >= http.StatusInternalServerError)
	x.runs++
	if x.begun && answer.Status() != http.StatusOK {
		// The client is in the middle of a stream, which nothing but the rest
		// of it may follow.
		use.End(route.OutcomeNeutral)
		return &failure{reason: ReasonServerFailed, ran: true, cause: "resumed stream: " + http.StatusText(answer.Status())}
	}
	if answer.Status() >= http.StatusInternalServerError && x.mayRunAgain() && x.relay.Budgets.Take(x.service, 0) {
		use.End(route.OutcomeNeutral)
		return &failure{reason: ReasonServerFailed, ran: true, paid: true, cause: http.StatusText(answer.Status())}
	}
	if next, ok := x.escalation(answer); ok {
		use.End(route.OutcomeOK)
		x.step = next
		return &failure{escalates: true, ran: true}
	}
	return nil
}

// judgeError decides on an attempt without an answer.
func (x *exchange) judgeError(ctx context.Context, use *route.Use, err error) *failure {
	if stalled(ctx) {
		use.Stall()
		x.runs++
		return stall()
	}
	if stalled(ctx) {
		use.Stall()
		x.runs++
		return stall()
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
	reason := ReasonServerFailed
	if x.request.Body.Err() != nil {
		reason = ReasonBodyBroken
	}
	return &failure{reason: reason, ran: true, cause: err.Error()}
}

// escalation returns the model to ask in place of an answer that a model has
// too little confidence in.
func (x *exchange) escalation(answer Answer) (step int, ok bool) {
	confidence, told := answer.Confidence()
	if !x.chooses() || !told || answer.Status() != http.StatusOK || x.begun || !x.mayRunAgain() {
		return 0, false
	}
	last := !x.mayDrop(x.runs + 1)
	next, ok := x.relay.Ladder.Next(len(x.route.Models), x.step, confidence, last)
	if !ok || !x.inTime(next) || !x.relay.Budgets.Take(x.service, spareForRetries) {
		return 0, false
	}
	x.record.Note("escalate", "confidence %.0f of %s", confidence, x.model())
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

// finish ends the record of a request.
func (x *exchange) finish(outcome string) {
	if x.first > 0 {
		x.record.Note("first byte", "after %d ms", x.first.Milliseconds())
	}
	x.record.End(outcome)
}

// elapsed is the time since the request arrived.
func (x *exchange) elapsed() time.Duration { return time.Since(x.request.Arrived) }

// markFirst notes when the first piece of the answer went out.
func (x *exchange) markFirst() {
	if x.first == 0 {
		x.first = max(1, x.elapsed())
	}
}
