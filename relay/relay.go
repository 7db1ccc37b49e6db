// Package relay is the path of a request that is passed through as it comes:
// route, account, model, server, attempt, and then the answer, another model,
// another server, or a refusal.
//
// A request arrives at one node on one connection, and whoever sends it again
// gives it another ID. So unlike package dispatch this one needs no claims at
// other nodes: what it must know of a request it knows by itself. It sees to
// it that a request which may not be repeated is handed to one server at most
// that may have run it, that a refusal which says "not run" is true, and that
// an answer which broke off never looks whole. A request that may run again is
// taken away from a server that is late, in time for another one to answer it.
//
// # Usage
//
//	r := relay.New(relay.Parts{Catalog: …, Servers: …, Balancer: …, …})
//	body, err := relay.NewBody(message.Body, message.ContentLength)
//	if err != nil {
//		reply.Refuse(relay.NewRefusal(relay.ReasonMalformed, err.Error()))
//		return
//	}
//	request := &relay.Request{ID: …, Message: message, Body: body, …}
//	r.Serve(ctx, request, reply) // returns once reply has the end
//
// Before the process ends:
//
//	r.Leave(relay.NewShutdown(signal, late, end)) // takes only what is answered by then
//	…
//	r.End() // gives the rest its final answers
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
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
)

var (
	namespace = errs.Namespace("relay")

	// NotRun says that a server surely has not run and will not run a
	// request: it said so, or not a byte of the request reached it.
	NotRun = namespace.NewType("not_run")
	// StaleChoice says that a request was not sent, since what it was to be sent by no
	// longer holds.
	StaleChoice = namespace.NewType("overtaken")
	// Failed says that a server may have run a request and gave no answer
	// that can be used.
	Failed = namespace.NewType("failed")
)

// Request is one attempt of a client. The fields are exported for the adapter
// that fills them.
type Request struct {
	ID string
	// Key is the client account's; "" for none.
	Key  string
	Host string
	Path string
	// Arrived is when the request's header had been read.
	Arrived time.Time
	// TimeLeft is how long the client waits from then on; zero if it does not
	// say.
	TimeLeft time.Duration
	// AnyModel leaves the choice among the route's models to the system.
	AnyModel bool
	Prompt   Prompt
	// Session ties requests that should stay on one version; "" for none.
	Session string
	// LastEventID is the last event that the client has of a stream; "" for none.
	LastEventID string
	// HTTPRequest is the request as it came, for the adapter that passes it on.
	HTTPRequest *http.Request
	Body        *Body
}

// Prompt is what a request to a model tells of its size.
type Prompt struct {
	// Tokens of the prompt; zero if it is not known.
	Tokens int
	// MaxOutput is the most tokens to make.
	MaxOutput int
	// Parts are shared between prompts, except for the last one.
	Parts []prefix.Part
}

// Call is a request as one server gets it.
type Call struct {
	Request *Request
	// Account is the name of the client account; "" for none.
	Account string
	// TimeLeft for the server.
	TimeLeft time.Duration
	// Model is the one that the system chose; "" keeps the client's.
	Model string
	// LastEventID is the last event that the client has.
	LastEventID string
	// SilentSince is since when an earlier attempt waited in vain; zero if none did.
	// Connections that have brought nothing since may be as silent as its own.
	SilentSince time.Time
	// Stale reports whether the choice of the server no longer holds. It is asked
	// just before the first byte is sent; the request is not sent then.
	Stale func() bool
}

// Response is the head of a server's answer, and its body as it comes.
type Response interface {
	Status() int
	Header() http.Header
	// Declined reports whether the server says that it did not run the
	// request, and will not.
	Declined() bool
	// Confidence is a model's own opinion of its answer, 0 to 100.
	Confidence() (float64, bool)
	Load() (route.Load, bool)
	RetryAfter() time.Duration
	// ConnOpened is when the connection was opened on which it comes.
	ConnOpened() time.Time
	Body() io.Reader
	// Close ends the request at the server, if it still runs there.
	Close()
}

// Backends passes requests on. Errors are NotRun, Overtaken or Failed.
type Backends interface {
	Send(ctx context.Context, server registry.Server, call Call) (Response, error)
}

// ResponseWriter is where the answer to the client goes.
type ResponseWriter interface {
	// WriteHeader sends the head of a server's answer.
	WriteHeader(a Response)
	// Write sends a piece of the body at once.
	Write(p []byte) error
	// Refuse sends an answer of the system's own, in place of Begin.
	Refuse(r *Refusal)
	// Abort ends an answer so that it cannot look whole.
	Abort()
}

// Servers knows the backend servers.
type Servers interface {
	Servers(service string) []registry.Server
	// Usable reports whether a server may still get new work.
	Usable(i registry.Incarnation) bool
}

// StoreView tells how far this process knows what the platform holds, which servers are
// chosen by.
type StoreView interface {
	Revision() int64
	// Age is how long ago that was confirmed.
	Age() time.Duration
	// InDoubt reports whether that is too long ago to choose by, though the platform
	// might tell what is new. Settle lets it tell, or shows that it does not.
	InDoubt() bool
	Settle(ctx context.Context)
}

// Versions narrows servers down by the roll-outs under way, and takes the
// evidence on versions.
type Versions interface {
	// Choose returns the servers that may get a request and the version under
	// which it is counted, "" if it is not. A request that was counted under
	// a version before stays there while it can.
	Choose(service, key, before string, servers []registry.Server) ([]registry.Server, string)
	// Begin and End count a request that is sent and ends, under the version that
	// Choose named.
	Begin(service, version, key string)
	End(service, version, key string)
	Count(service, version string, a rollout.Answer)
}

// Cascade decides between the models of a route.
type Cascade interface {
	// First returns the index of the model that answers first, of n, if its
	// answer may or may not be dropped for another one's.
	First(n int, mayEscalate bool) int
	// Next returns the index of the model to ask in place of the one at
	// step, whose answer has the given confidence; false to keep the answer.
	// Last says that nothing can follow the next answer.
	Next(n, step int, confidence float64, last bool) (int, bool)
	// Pays reports whether asking that model is worth its time.
	Pays(o cascade.Offer) bool
}

// Budgets bound by service how many requests are sent once more.
type Budgets interface {
	Paid(service string)
	// Take takes one repeat out of the budget if a share of it, spare, is
	// then left.
	Take(service string, spare float64) bool
	// Allows reports whether Take would do so now.
	Allows(service string, spare float64) bool
}

// Counters counts what operators want to see.
type Counters interface {
	Refused(reason Reason, account string)
	Retried(reason Reason)
	Escalated(model string)
	Resumed()
	// Sent counts a request that goes to a server, with the age of the news by
	// which that was chosen.
	Sent(age time.Duration)
	Completed(route string, status int, first, total time.Duration)
}

// Suspects knows the requests under which servers end.
type Suspects interface {
	// Empty reports whether nothing is known against any request.
	Empty() bool
	Refuses(digest uint64) bool
	// AllowTest reports whether a request that is refused is to be sent once more all the
	// same, to see whether servers still end under it.
	AllowTest(ctx context.Context, digest uint64) bool
	// ReportLost takes the word that a server left a request without an answer.
	ReportLost(digest, server uint64)
	// ReportAbandoned takes the word that an attempt was given up at a server, which may run the
	// request on.
	ReportAbandoned(digest, server uint64)
	// Ends returns at how many servers the request was lost.
	Ends(digest uint64) int
	ReportAnswered(digest uint64)
	// ReportProgress takes the word that something has come just now from a server, of its answer to
	// what was sent at a time on a connection that was opened at another.
	ReportProgress(server uint64, sent, opened time.Time)
}

// Parts is what a Relay is made of. All are needed, but for Started.
type Parts struct {
	// Ready is closed once this process knows what it goes by; nil if it does
	// from the beginning.
	Ready <-chan struct{}
	// Catalog returns the declaration in force.
	Catalog   func() *catalog.Catalog
	Servers   Servers
	StoreView StoreView
	Versions  Versions
	Balancer  *route.Balancer
	Cascade   Cascade
	Budgets   Budgets
	// Reroutes bounds, beside Budgets, how many requests are taken away from late
	// servers: where all are late, moving on makes it worse.
	Reroutes Budgets
	Suspects Suspects
	Backends Backends
	Records  *decision.Log
	Counters Counters
}

// Relay passes requests on. It is safe for concurrent use.
type Relay struct {
	Parts
	durations *durations
	pending   *pendingAttempts
	// shutdown is set once the process is to end; running ends with End.
	shutdown atomic.Pointer[Shutdown]
	lifetime context.Context
	// cancelLifetime ends running.
	cancelLifetime context.CancelCauseFunc
}

// New returns a relay.
func New(parts Parts) *Relay {
	r := &Relay{Parts: parts, durations: newDurations(), pending: newPendingAttempts()}
	r.lifetime, r.cancelLifetime = context.WithCancelCause(context.Background())
	return r
}

// Serve answers one request.
func (r *Relay) Serve(ctx context.Context, q *Request, reply ResponseWriter) {
	record := r.Records.Start(q.ID, "")
	r.awaitReady(ctx, q)
	r.StoreView.Settle(ctx) // the declaration is old news as well
	x, refusal := r.accept(q, reply, record)
	if refusal == nil {
		x.recordShutdown()
		ctx, cancel := context.WithDeadline(ctx, x.deadline)
		defer cancel()
		ctx, detach := r.withLifetime(ctx)
		defer detach()
		refusal = x.run(ctx)
	}
	if refusal != nil {
		r.Counters.Refused(refusal.reason, record.Account())
		record.Note("refused", "%s", refusal.Error())
		record.End("refused: " + refusal.reason.String())
		reply.Refuse(refusal)
	}
}

// accept finds the route and the account of a request.
func (r *Relay) accept(q *Request, reply ResponseWriter, record *decision.Record) (*exchange, *Refusal) {
	c := r.Catalog()
	if c.Version() == 0 {
		return nil, refusalf(ReasonNoConfiguration, retryAfterOutage, "no declaration is known yet")
	}
	target, ok := c.Match(q.Host, q.Path)
	if !ok {
		return nil, refusalf(ReasonNoRoute, 0, "no route for %s%s in version %d", q.Host, q.Path, c.Version())
	}
	account := ""
	if c.HasAccounts() && !target.Anonymous {
		holder, ok := c.Account(q.Key)
		if !ok {
			return nil, refusalf(ReasonKeyUnknown, 0, "the key is not known in version %d", c.Version())
		}
		account = holder.Name
	}
	record.SetAccount(account)
	record.Note("route", "%s of version %d, at most %d tokens to make", target.Name, c.Version(), q.Prompt.MaxOutput)
	held := target.Timeout
	if q.TimeLeft > 0 {
		held = min(held, q.TimeLeft)
	}
	return &exchange{
		relay:       r,
		request:     q,
		writer:      reply,
		record:      record,
		route:       target,
		account:     account,
		service:     pickService(target, q),
		deadline:    q.Arrived.Add(held),
		tried:       make(map[registry.Incarnation]bool),
		lastEventID: q.LastEventID,
	}, nil
}
