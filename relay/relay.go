// Package relay forwards client requests to backend servers: it matches the route
// and the client account, chooses a model and a server, and then forwards the
// response, retries on another server, escalates to another model, or refuses.
//
// A request arrives at one node on one connection, and a client that retries uses
// a new ID. Unlike package dispatch, this package therefore needs no claims at
// other nodes; all state of a request is local. It guarantees that:
//
//   - a request that is not repeatable is given to at most one server that may
//     have run it;
//   - a refusal that says "not run" is true;
//   - a truncated response never looks complete to the client.
//
// A repeatable request is rerouted from a late server while there is still time
// for another one to respond.
//
// # Usage
//
//	r := relay.New(relay.Options{Catalog: …, Servers: …, Balancer: …, …})
//	body, err := relay.NewBody(message.Body, message.ContentLength)
//	if err != nil {
//		w.Refuse(relay.NewRefusal(relay.ReasonMalformed, err.Error()))
//		return
//	}
//	request := &relay.Request{ID: …, HTTPRequest: message, Body: body, …}
//	r.Serve(ctx, request, w) // returns once the response has ended
//
// Before the process ends:
//
//	r.Drain(relay.NewShutdown(signaled, lastAdmit, end)) // admits only what completes in time
//	…
//	r.Close() // ends the remaining requests
package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/handoff"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/throttle"
)

var (
	namespace = errs.Namespace("relay")

	// NotRun means that a server has not run the request and will not: it said so, or no byte
	// of the request reached it.
	NotRun = namespace.NewType("not_run")
	// NoWay is NotRun because this node had no way to any server, which says nothing of the server.
	NoWay = NotRun.NewSubtype("no_way")
	// StaleChoice means that nothing was sent, because the choice of the server was out of date
	// by then.
	StaleChoice = namespace.NewType("overtaken")
	// Failed means that a server may have run the request but gave no usable response.
	Failed = namespace.NewType("failed")
)

// Request is one client request. The adapter fills the exported fields.
type Request struct {
	ID string
	// Key is the API key of the client account; "" for none.
	Key  string
	Host string
	Path string
	// Arrived is when the request header had been read.
	Arrived time.Time
	// TimeLeft is how long the client waits, counted from Arrived; zero if it does not say.
	TimeLeft time.Duration
	// AnyModel lets the system choose among the route's models.
	AnyModel bool
	Prompt   Prompt
	// Session groups requests that should stay on one version; "" for none.
	Session string
	// LastEventID is the ID of the last stream event that the client has; "" for none.
	LastEventID string
	// HTTPRequest is the original request, for the adapter that forwards it.
	HTTPRequest *http.Request
	Body        *Body
}

// Prompt describes the size of a request to a model.
type Prompt struct {
	// Tokens is the length of the prompt; zero if unknown.
	Tokens int
	// MaxOutput is the maximum number of tokens to generate.
	MaxOutput int
	// Parts are the segments of the prompt; all but the last may be shared with other prompts.
	Parts []prefix.Part
}

// Call is one attempt of a request, as sent to one server.
type Call struct {
	Request *Request
	// Account is the name of the client account; "" for none.
	Account string
	// TimeLeft is the time that the server has to respond.
	TimeLeft time.Duration
	// Model is the model that the system chose; "" keeps the client's choice.
	Model string
	// LastEventID is the ID of the last stream event that the client has; "" for none.
	LastEventID string
	// Copy is the memory of the request's earlier run from which the server continues it; the zero Copy for
	// none.
	Copy handoff.Copy
	// SilentSince is when an earlier attempt began to wait for a server that stayed silent;
	// zero if there was none. Connections that have received nothing since then may be dead as
	// well.
	SilentSince time.Time
	// Connected is told of the connection that the attempt gets, before the first byte is sent: when it was
	// opened, and the address of the node that carries it, "" for none.
	Connected func(opened time.Time, carrier string)
	// Stale reports whether the choice of the server is out of date. It is called just before
	// the first byte is sent; if it returns true, nothing is sent.
	Stale func() bool
}

// Response is the header of a server's response, with its body as a stream.
type Response interface {
	Status() int
	Header() http.Header
	// Declined reports whether the server says that it has not run the request and will not.
	Declined() bool
	// Confidence is the model's confidence in its answer, 0 to 100; false if it gives none.
	Confidence() (float64, bool)
	Load() (route.Load, bool)
	// Notices is what the response says of its server.
	Notices() []notice.Notice
	RetryAfter() time.Duration
	// Framed reports whether the end of the body is told by a length or by chunks, rather than by that
	// of the connection.
	Framed() bool
	Body() io.Reader
	// AwaitSent waits until the server has been sent the whole request, which it may read on after it has
	// responded. It returns an error if the server no longer takes it, or if the context ends before.
	AwaitSent(ctx context.Context) error
	// Close cancels the request at the server if it is still running there.
	Close()
}

// Backends sends requests to backend servers. Errors are NotRun, NoWay, StaleChoice or Failed.
type Backends interface {
	Send(ctx context.Context, server registry.Server, call Call) (Response, error)
}

// Handoffs ends runs of requests that were given up; see package handoff.
type Handoffs interface {
	// Stop ends a run before the target continues its request. A copy that it returns has to be used or
	// released.
	Stop(ctx context.Context, run handoff.Run, target registry.Server) (handoff.Copy, handoff.Outcome)
	// StopLater ends a run in the background, by way of another server of the service.
	StopLater(run handoff.Run, another registry.Server)
	Release(c handoff.Copy)
}

// ResponseWriter writes the response to the client.
type ResponseWriter interface {
	// WriteHeader sends the header of a server's response.
	WriteHeader(resp Response)
	// Write sends a part of the body and flushes it.
	Write(p []byte) error
	// Refuse sends a refusal by this node instead of a server's response.
	Refuse(r *Refusal)
	// Abort ends the response in such a way that it cannot look complete.
	Abort()
}

// Servers lists the backend servers.
type Servers interface {
	Servers(service string) []*registry.Server
	// Usable reports whether a server may still get new requests.
	Usable(i registry.Incarnation) bool
	// Recovering reports whether entries of running servers may be missing for a moment, because
	// the store has just recovered or this process has just started.
	Recovering() bool
	// HasEvacuated reports whether servers of a service get no requests only because their
	// data hall is evacuated.
	HasEvacuated(service string) bool
}

// Notices holds what servers say of themselves in their responses.
type Notices interface {
	Observe(s registry.Server, a notice.Answer)
	State(s *registry.Server) notice.State
}

// WarmUps limits the requests to servers that are warming up. All nodes share these limits.
type WarmUps interface {
	// Filter returns those of the servers that this node may send a request now.
	Filter(servers []*registry.Server) []*registry.Server
	// Take counts a request to a server. It returns false, and counts nothing, if the server
	// may not get one from this node now.
	Take(s registry.Server) bool
	// UntilWarm returns the time until the first of the servers is warm.
	UntilWarm(servers []*registry.Server) time.Duration
}

// Throttle keeps to what servers say of the requests that they take. All nodes share their limits.
type Throttle interface {
	// Filter returns those of the servers that this node may send a request now.
	Filter(servers []*registry.Server) []*registry.Server
	// Take counts a request to a server. It returns false, and counts nothing, if the server
	// may not get one from this node now.
	Take(s registry.Server) bool
	// Withheld reports whether a server wants no requests now.
	Withheld(s registry.Server) bool
	// Wait returns the time until one of the servers may get a request, from any node, and why none
	// may before.
	Wait(servers []*registry.Server) (time.Duration, throttle.Cause)
	// Scarce reports whether all of the servers name limits and may take few requests now.
	Scarce(servers []*registry.Server) bool
}

// Rejections limits the requests to servers that end if they must reject too many. All nodes share
// these limits.
type Rejections interface {
	// Filter returns those of the servers that this node may send a request now.
	Filter(servers []*registry.Server) []*registry.Server
	// Take takes a place at a server for a request, until Release. It returns rejection.BasisNone, and
	// takes nothing, if there is none.
	Take(ctx context.Context, s registry.Server) rejection.Basis
	Release(s registry.Server)
	// Reject is Release for a request that the server has rejected for want of room.
	Reject(s registry.Server)
	// Abandon is Release for a request that was given up, which the server may run for so long still.
	Abandon(s registry.Server, stillRuns time.Duration)
	// ObserveSlots records how many requests a server says that it runs at once.
	ObserveSlots(s registry.Server, slots int)
}

// StoreView describes how current this process's copy of the platform's store is. Servers are
// chosen by that copy.
type StoreView interface {
	Revision() int64
	// Age is the time since the copy was last confirmed to be current.
	Age() time.Duration
	// NeedsRefresh reports whether the copy is too old to choose servers by although the store may
	// be reachable. AwaitRefresh waits for a refresh if one is needed, or until the store proves
	// unreachable.
	NeedsRefresh() bool
	AwaitRefresh(ctx context.Context)
}

// Versions restricts the choice of servers during rollouts and collects samples on versions.
type Versions interface {
	// Choose returns the servers that may get a request and the version under which it is
	// counted, "" if it is not counted. A request that was counted under a version before stays
	// there if possible.
	Choose(service, key, before string, servers []*registry.Server) ([]*registry.Server, string)
	// Begin and End count a request as sent and ended, under the version that Choose returned.
	Begin(service, version, key string)
	End(service, version, key string)
	// Await follows a response, which is counted under the version that Choose returned. The sample tells what is
	// known before the response begins.
	Await(service, version string, sample rollout.Sample) *rollout.Awaited
}

// Cascade decides which of a route's models to ask.
type Cascade interface {
	// First returns the index of the first of n models to ask, depending on whether its answer
	// may be replaced by another model's.
	First(n int, mayEscalate bool) int
	// Next returns the index of the model to ask instead of the model at index step, whose answer
	// has the given confidence; false to keep the answer. If last is true, the next answer cannot
	// be replaced.
	Next(n, step int, confidence float64, last bool) (int, bool)
	// WorthEscalating reports whether the model is worth asking.
	WorthEscalating(o cascade.Escalation) bool
}

// Budgets limit the retries per service.
type Budgets interface {
	RecordRequest(service string)
	// Take takes one retry out of the budget if at least the share reserve of the budget remains
	// afterwards.
	Take(service string, reserve float64) bool
	// Allows reports whether Take would succeed now.
	Allows(service string, reserve float64) bool
}

// Counters records metrics.
type Counters interface {
	Refused(reason Reason, account string)
	Retried(reason Reason)
	Escalated(model string)
	Resumed()
	// GaveUp counts an attempt that was given up while its server might still run the request, by whether
	// its connection had been silent.
	GaveUp(silent bool)
	// Sent counts a request sent to a server, with the age of the store view by which the
	// server was chosen.
	Sent(age time.Duration)
	// ServerRejected counts a request that a server with a rejection limit rejected, by the basis on which
	// it was sent.
	ServerRejected(b rejection.Basis)
	// SentLimited counts a request sent to a server that names a limit.
	SentLimited()
	Completed(route string, status int, first, total time.Duration)
}

// Suspects tracks requests that make servers crash.
type Suspects interface {
	// Empty reports whether no request is suspected.
	Empty() bool
	// Refused returns those of a request's features for which it must not be sent.
	Refused(f suspect.Features) suspect.Features
	// Await waits while it is being found out whether the servers have crashed that left requests with
	// these features without a response, so that the request may soon be refused.
	Await(ctx context.Context, f suspect.Features)
	// AllowProbe reports whether a request that is refused for the given features is to be sent as a
	// probe, to find out whether it still makes servers crash.
	AllowProbe(ctx context.Context, refused suspect.Features) bool
	// ReportLost reports that a server ended without responding to the request.
	ReportLost(f suspect.Features, server registry.Server)
	// ReportAbandoned reports that an attempt was given up while the server may still run the
	// request.
	ReportAbandoned(f suspect.Features, server uint64)
	// LossCounts returns for each feature how many requests with it were lost.
	LossCounts(f suspect.Features) []int
	// ReportAnswered reports a whole answer, which began at the given time.
	ReportAnswered(f suspect.Features, begun time.Time)
	// ReportSurvival reports that a server has been answering the request for suspect.SurvivalTime.
	ReportSurvival(f suspect.Features)
	// ReportUnframed reports an answer that ended with its connection, so that it is whole only if the
	// server has not crashed.
	ReportUnframed(f suspect.Features, server registry.Server, begun time.Time)
	// ReportProgress reports that a server has just sent part of its response to a request that
	// was sent at the given time, on a connection that was opened at the given time.
	ReportProgress(server uint64, sent, opened time.Time)
}

// Usage counts the requests that servers have begun to run, by client account.
type Usage interface {
	Count(account string)
}

// Options are the dependencies of a Relay. All are required except Ready, StartFailed and Usage.
type Options struct {
	// Ready is closed once this process has loaded its configuration; nil if it has it from the
	// beginning.
	Ready <-chan struct{}
	// StartFailed reports whether the last try to load it found nobody that has it.
	StartFailed func() bool
	// Catalog returns the declaration in force.
	Catalog    func() *catalog.Catalog
	Servers    Servers
	Notices    Notices
	WarmUps    WarmUps
	Throttle   Throttle
	Rejections Rejections
	StoreView  StoreView
	Versions   Versions
	Balancer   *route.Balancer
	Cascade    Cascade
	Budgets    Budgets
	// Reroutes limits, in addition to Budgets, how many requests are moved away from late
	// servers. When all servers are late, moving requests only adds load.
	Reroutes Budgets
	Suspects Suspects
	Backends Backends
	Handoffs Handoffs
	Records  *decision.Log
	Counters Counters
	Usage    Usage
}

// Relay forwards requests. It is safe for concurrent use.
type Relay struct {
	Options
	durations *durations
	pending   *pendingAttempts
	// shutdown is set by Drain; lifetime is canceled by Close.
	shutdown atomic.Pointer[Shutdown]
	lifetime context.Context
	// cancelLifetime cancels lifetime.
	cancelLifetime context.CancelCauseFunc
}

// New returns a relay with the given options.
func New(options Options) *Relay {
	r := &Relay{Options: options, durations: newDurations(), pending: newPendingAttempts()}
	r.lifetime, r.cancelLifetime = context.WithCancelCause(context.Background())
	return r
}

// Admit returns when a request must have its final answer. If there is no route or account for it, it refuses the
// request, and ok is false. The body is not needed for that.
func (r *Relay) Admit(ctx context.Context, q *Request, w ResponseWriter) (deadline time.Time, ok bool) {
	r.awaitDeclaration(ctx, q)
	matched, _, refusal := r.match(q, r.Catalog())
	if refusal != nil {
		r.refuse(refusal, r.Records.Start(q.ID, ""), w)
		return time.Time{}, false
	}
	return q.deadline(matched.Timeout), true
}

// awaitDeclaration waits until the declaration in force is known.
func (r *Relay) awaitDeclaration(ctx context.Context, q *Request) {
	r.awaitReady(ctx, q)
	r.StoreView.AwaitRefresh(ctx) // the declaration comes from the store as well
}

// Serve handles one request. It returns once the response to the client has ended.
func (r *Relay) Serve(ctx context.Context, q *Request, w ResponseWriter) {
	record := r.Records.Start(q.ID, "")
	r.awaitDeclaration(ctx, q)
	x, refusal := r.accept(q, w, record)
	if refusal == nil {
		x.recordShutdown()
		ctx, cancel := context.WithDeadline(ctx, x.deadline)
		defer cancel()
		ctx, detach := r.withLifetime(ctx)
		defer detach()
		refusal = x.run(ctx)
	}
	if refusal != nil {
		r.refuse(refusal, record, w)
	}
}

// refuse counts, records and sends a refusal.
func (r *Relay) refuse(refusal *Refusal, record *decision.Record, w ResponseWriter) {
	r.Counters.Refused(refusal.reason, record.Account())
	record.AddStep("refused", "%s", refusal.Error())
	record.SetStatus(refusal.Status())
	record.End("refused: " + refusal.reason.String())
	w.Refuse(refusal)
}

// deadline returns when the request must have its final answer, on a route with the given timeout.
func (q *Request) deadline(timeout time.Duration) time.Time {
	if q.TimeLeft > 0 {
		timeout = min(timeout, q.TimeLeft)
	}
	return q.Arrived.Add(timeout)
}

// match returns the route of a request, and the name of its client account, "" for none.
func (r *Relay) match(q *Request, c *catalog.Catalog) (matched *catalog.Route, account string, _ *Refusal) {
	if c.Version() == 0 {
		return nil, "", refusalf(ReasonNoConfiguration, retryAfterOutage, "no declaration is known yet")
	}
	matched, ok := c.Match(q.Host, q.Path)
	if !ok {
		return nil, "", refusalf(ReasonNoRoute, 0, "no route for %s%s in version %d", q.Host, q.Path, c.Version())
	}
	if !c.HasAccounts() || matched.Anonymous {
		return matched, "", nil
	}
	owner, ok := c.Account(q.Key)
	if !ok {
		return nil, "", refusalf(ReasonKeyUnknown, 0, "the key is not known in version %d", c.Version())
	}
	return matched, owner.Name, nil
}

// accept finds the route and the client account of a request.
func (r *Relay) accept(q *Request, w ResponseWriter, record *decision.Record) (*exchange, *Refusal) {
	c := r.Catalog()
	matched, account, refusal := r.match(q, c)
	if refusal != nil {
		return nil, refusal
	}
	record.SetAccount(account)
	record.AddStep("route", "%s of version %d, at most %d tokens to make", matched.Name, c.Version(), q.Prompt.MaxOutput)
	return &exchange{
		relay:       r,
		request:     q,
		writer:      w,
		record:      record,
		route:       matched,
		account:     account,
		service:     pickService(matched, q),
		deadline:    q.deadline(matched.Timeout),
		tried:       make(map[registry.Incarnation]bool),
		lastEventID: q.LastEventID,
	}, nil
}
