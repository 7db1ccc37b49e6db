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
//		reply.Refuse(relay.Refuse(relay.ReasonMalformed, err.Error()))
//		return
//	}
//	request := &relay.Request{ID: …, Message: message, Body: body, …}
//	r.Serve(ctx, request, reply) // returns once reply has the end
//
// Before the process ends:
//
//	r.Leave(relay.NewStop(signal, late, end)) // takes only what is answered by then
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
	// Overtaken says that a request was not sent, since what it was to be sent by no
	// longer holds.
	Overtaken = namespace.NewType("overtaken")
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
	// After is the last event that the client has of a stream; "" for none.
	After string
	// Message is the request as it came, for the adapter that passes it on.
	Message *http.Request
	Body    *Body
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
	// After is the last event that the client has.
	After string
	// Quiet is since when an earlier attempt waited in vain; zero if none did.
	// Connections that have brought nothing since may be as silent as its own.
	Quiet time.Time
	// Overtaken reports whether the choice of the server no longer holds. It is asked
	// just before the first byte is sent; the request is not sent then.
	Overtaken func() bool
}

// Answer is the head of a server's answer, and its body as it comes.
type Answer interface {
	Status() int
	Header() http.Header
	// Declined reports whether the server says that it did not run the
	// request, and will not.
	Declined() bool
	// Confidence is a model's own opinion of its answer, 0 to 100.
	Confidence() (float64, bool)
	Load() (route.Load, bool)
	RetryAfter() time.Duration
	// Opened is when the connection was opened on which it comes.
	Opened() time.Time
	Body() io.Reader
	// Close ends the request at the server, if it still runs there.
	Close()
}

// Backends passes requests on. Errors are NotRun, Overtaken or Failed.
type Backends interface {
	Send(ctx context.Context, server registry.Server, call Call) (Answer, error)
}

// Reply is where the answer to the client goes.
type Reply interface {
	// Begin sends the head of a server's answer.
	Begin(a Answer)
	// Write sends a piece of the body at once.
	Write(p []byte) error
	// Refuse sends an answer of the system's own, in place of Begin.
	Refuse(r *Refusal)
	// BreakOff ends an answer so that it cannot look whole.
	BreakOff()
}

// Servers knows the backend servers.
type Servers interface {
	Servers(service string) []registry.Server
	// Usable reports whether a server may still get new work.
	Usable(i registry.Incarnation) bool
}

// News tells how far this process knows what the platform holds, which servers are
// chosen by.
type News interface {
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

// Ladder decides between the models of a route.
type Ladder interface {
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
	Answered(route string, status int, first, total time.Duration)
}

// Suspects knows the requests under which servers end.
type Suspects interface {
	// Empty reports whether nothing is known against any request.
	Empty() bool
	Refuses(digest uint64) bool
	// Test reports whether a request that is refused is to be sent once more all the
	// same, to see whether servers still end under it.
	Test(ctx context.Context, digest uint64) bool
	// Lost takes the word that a server left a request without an answer.
	Lost(digest, server uint64)
	// Left takes the word that an attempt was given up at a server, which may run the
	// request on.
	Left(digest, server uint64)
	// Ends returns at how many servers the request was lost.
	Ends(digest uint64) int
	Answered(digest uint64)
	// Runs takes the word that something has come just now from a server, of its answer to
	// what was sent at a time on a connection that was opened at another.
	Runs(server uint64, sent, opened time.Time)
}

// Parts is what a Relay is made of. All are needed, but for Started.
type Parts struct {
	// Started is closed once this process knows what it goes by; nil if it does
	// from the beginning.
	Started <-chan struct{}
	// Catalog returns the declaration in force.
	Catalog  func() *catalog.Catalog
	Servers  Servers
	News     News
	Versions Versions
	Balancer *route.Balancer
	Ladder   Ladder
	Budgets  Budgets
	// Moves bounds, beside Budgets, how many requests are taken away from late
	// servers: where all are late, moving on makes it worse.
	Moves    Budgets
	Suspects Suspects
	Backends Backends
	Records  *decision.Log
	Counters Counters
}

// Relay passes requests on. It is safe for concurrent use.
type Relay struct {
	Parts
	lengths *lengths
	waiting *waiting
	// leaving is set once the process is to end; running ends with End.
	leaving atomic.Pointer[Stop]
	running context.Context
	// cancelAll ends running.
	cancelAll context.CancelCauseFunc
}

// New returns a relay.
func New(parts Parts) *Relay {
	r := &Relay{Parts: parts, lengths: newLengths(), waiting: newWaiting()}
	r.running, r.cancelAll = context.WithCancelCause(context.Background())
	return r
}

// Serve answers one request.
func (r *Relay) Serve(ctx context.Context, q *Request, reply Reply) {
	record := r.Records.Start(q.ID, "")
	r.awaitStart(ctx, q)
	r.News.Settle(ctx) // the declaration is old news as well
	x, refusal := r.accept(q, reply, record)
	if refusal == nil {
		x.noteLeaving()
		ctx, cancel := context.WithDeadline(ctx, x.deadline)
		defer cancel()
		ctx, detach := r.withEnd(ctx)
		defer detach()
		refusal = x.run(ctx)
	}
	if refusal != nil {
		r.Counters.Refused(refusal.reason, record.Account())
		record.AddStep("refused", "%s", refusal.Error())
		record.End("refused: " + refusal.reason.String())
		reply.Refuse(refusal)
	}
}

// accept finds the route and the account of a request.
func (r *Relay) accept(q *Request, reply Reply, record *decision.Record) (*exchange, *Refusal) {
	c := r.Catalog()
	if c.Version() == 0 {
		return nil, refuse(ReasonNoConfiguration, comeBackAfterOutage, "no declaration is known yet")
	}
	target, ok := c.Match(q.Host, q.Path)
	if !ok {
		return nil, refuse(ReasonNoRoute, 0, "no route for %s%s in version %d", q.Host, q.Path, c.Version())
	}
	account := ""
	if c.HasAccounts() && !target.Anonymous {
		holder, ok := c.Account(q.Key)
		if !ok {
			return nil, refuse(ReasonKeyUnknown, 0, "the key is not known in version %d", c.Version())
		}
		account = holder.Name
	}
	record.SetAccount(account)
	record.AddStep("route", "%s of version %d, at most %d tokens to make", target.Name, c.Version(), q.Prompt.MaxOutput)
	held := target.Timeout
	if q.TimeLeft > 0 {
		held = min(held, q.TimeLeft)
	}
	return &exchange{
		relay:    r,
		request:  q,
		reply:    reply,
		record:   record,
		route:    target,
		account:  account,
		service:  pickService(target, q),
		deadline: q.Arrived.Add(held),
		tried:    make(map[registry.Incarnation]bool),
		after:    q.After,
	}, nil
}
