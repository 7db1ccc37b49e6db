// Package dispatch handles requests to models and to plain services from the first check to the
// bill: client account, limits, claim, session pin or rollout stage, cascade plan, admission,
// server choice, run, rating, bill, response. Each step adds a line to the request's decision
// record.
//
// The decisions of these steps are made by other packages. This package calls them in order and
// guarantees two things: a refusal never says that a request did not run unless that is known,
// and an ID never runs twice if the call may not be repeated.
//
// # Usage
//
//	x, refusal := dispatcher.Start(ctx, request)
//	if refusal != nil {
//		return refusal
//	}
//	// follow x (package answer) until it is done
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/violettally/violettally/admit"
	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/retry"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/session"
	"github.com/violettally/violettally/timer"
)

// Request is one client request. An asynchronous request is stored with its claim, without the
// fields that follow from the account.
type Request struct {
	// ID is unique within the client account. IDFromClient reports that the client chose it, so
	// that the client may send it again.
	ID           string
	IDFromClient bool
	Account      *config.Account
	// Async requests get status 202 at once; the client fetches the response later.
	Async    bool
	Deadline time.Time
	Body     []byte
	// Digest is a hash of everything that makes two requests the same.
	Digest uint64

	// Chat is set for a request to a model, Plain for one to a plain service.
	Chat  *Chat
	Plain *Plain

	// takenOver marks an asynchronous request taken over from a node that has failed. It was
	// counted against the account's limit there.
	takenOver bool
	// mayHaveRun is set once a backend server may have run the request. Only the goroutine that
	// runs the request uses it.
	mayHaveRun bool
}

// Chat is a request to a model. The names of its fields are part of the encoding of stored
// requests.
type Chat struct {
	Model   string
	Session string
	Stream  bool
	// Prefix is a hash of the start of the prompt. Class groups similar requests.
	Prefix uint64
	Class  string
	// Prompt is the text of the prompt, which the rater needs to rate a response.
	Prompt string
}

// Plain is a call of a plain service. The names of its fields are part of the encoding of
// stored requests.
type Plain struct {
	Service     *config.Service
	Call        *config.Call
	Method      string
	Path        string
	Query       string
	ContentType string
}

// Claims accesses the write-once claims at the replicas; see [claim.Claimer].
type Claims interface {
	Claim(ctx context.Context, e claim.Entry) (claim.Outcome, error)
	Override(ctx context.Context, e claim.Entry) (claim.Outcome, error)
	Lookup(ctx context.Context, key claim.Key) (found *claim.Entry, complete bool)
	Advance(ctx context.Context, e claim.Entry) (acked, total int)
	Release(key claim.Key, token string)
	ReleaseStale(key claim.Key, token string)
}

// Holders accesses the nodes that hold claims.
type Holders interface {
	// Attach follows the response of an attempt at its holder. If the holder has no response of
	// the attempt, found is false, and ran reports whether the holder has recorded that the
	// attempt ran.
	Attach(ctx context.Context, h claim.Holder, attempt string) (x *answer.Response, found, ran bool, err error)
	// Cancel stops an attempt at its holder and reports whether it did.
	Cancel(ctx context.Context, h claim.Holder, attempt string) (bool, error)
	// Responsive reports whether a node is neither suspected nor confirmed as faulty.
	Responsive(id string) bool
	// Faulty reports whether a node is confirmed as faulty.
	Faulty(id string) bool
}

// Rater rates responses.
type Rater interface {
	Rate(ctx context.Context, model, version, prompt, response string) (float64, error)
}

// Limits enforces the limits of client accounts.
type Limits interface {
	Take(account *config.Account) (wait time.Duration, ok bool)
}

// Queues returns the admission queue of a pool.
type Queues interface {
	Queue(pool string) *admit.Queue
}

// Bills bills requests.
type Bills interface {
	// Bill claims the bill of a request, which replicas keep for at least ttl, and reports
	// whether this claim has won. As long as the result is not known, it retries in the
	// background.
	Bill(b ledger.Bill, ttl time.Duration) bool
	// Wait returns once no bill is being claimed.
	Wait()
}

// Counters counts events for the metrics.
type Counters interface {
	Refused(reason Reason, account string)
	Retried(reason string)
	Answered(model, version string, firstToken, total time.Duration)
}

// Options holds the dependencies of a [Dispatcher].
type Options struct {
	Self   claim.Holder
	Config func() *config.Snapshot
	// ReceivesUpdates reports whether this node can still learn of changes of the
	// configuration.
	ReceivesUpdates func() bool
	Claims          Claims
	Holders         Holders
	Responses       *answer.Store
	Pins            *session.Pins
	Picker          *rollout.Picker
	Planner         *cascade.Planner
	Limits          Limits
	Queues          Queues
	Chooser         *route.Chooser
	Budgets         *retry.Budgets
	Engines         Engines
	Services        Services
	Rater           Rater
	Bills           Bills
	Records         *decision.Log
	Counters        Counters
	Timers          *timer.Service
	NewID           func() string
	// ResponseTTL is how long a finished response can be fetched.
	ResponseTTL time.Duration
}

// Dispatcher handles requests. It is safe for concurrent use.
type Dispatcher struct {
	Options
	runs     sync.WaitGroup
	draining chan struct{}
	once     sync.Once
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	return &Dispatcher{Options: options, draining: make(chan struct{})}
}

const (
	// retryAfterShort is the Retry-After for faults that pass within seconds.
	retryAfterShort = time.Second
	// retryAfterLeaving is that while all servers leave: others have to be started first.
	retryAfterLeaving = 2 * time.Second
	// retryAfterLong is the Retry-After where an operator or a rollout has to act.
	retryAfterLong = 10 * time.Second
	// maxAttempts bounds the attempts of one ID, the first one included.
	maxAttempts = 8
	// maxClaimRounds bounds the rounds in which one attempt is claimed. Another round follows if
	// the existing claim is abandoned or may be overridden.
	maxClaimRounds = 6
	// claimBackoff is the delay before the second round; each further delay is longer by as
	// much.
	claimBackoff = 20 * time.Millisecond
)

// Start starts a request, or joins it to the run that its ID already has.
func (d *Dispatcher) Start(ctx context.Context, r *Request) (*answer.Response, *Refusal) {
	record := d.Records.Start(r.ID, r.Account.Name)
	x, refusal := d.start(ctx, r, record)
	if refusal != nil {
		record.AddStep("refused", "%s", refusal.Error())
		record.End("refused: " + refusal.reason.String())
		d.Counters.Refused(refusal.reason, r.Account.Name)
	}
	return x, refusal
}

func (d *Dispatcher) start(ctx context.Context, r *Request, record *decision.Record) (*answer.Response, *Refusal) {
	if refusal := d.checkReady(r); refusal != nil {
		return nil, d.refuseBeforeClaim(ctx, r, refusal)
	}
	if !r.IDFromClient {
		if refusal := d.checkRateLimit(r, record); refusal != nil {
			return nil, refusal
		}
		return d.startGeneratedID(ctx, r, record)
	}
	return d.startWithClaim(ctx, r, record)
}

// checkReady makes the checks that need no other node.
func (d *Dispatcher) checkReady(r *Request) *Refusal {
	snapshot := d.Config()
	switch {
	case d.Draining():
		return refuse(ReasonDraining, RanNo, retryAfterShort, "this node is leaving; ask for addresses again")
	case snapshot.Revision() == 0:
		return NoConfiguration(RanNo)
	case !d.ReceivesUpdates():
		return refuse(ReasonCutOff, RanNo, retryAfterShort, "this node is cut off and may have missed a withdrawal; ask another")
	case r.Chat != nil:
		return d.checkModel(snapshot, r)
	}
	return nil
}

// checkModel gives the same refusal for a model that does not exist and for one that the
// account may not use.
func (d *Dispatcher) checkModel(s *config.Snapshot, r *Request) *Refusal {
	if _, ok := resolve(s, r.Account, r.Chat.Model); !ok {
		return refuse(ReasonModelNotFound, RanNo, 0, "model %q is not one that account %q may use", r.Chat.Model, r.Account.Name)
	}
	return nil
}

func (d *Dispatcher) checkRateLimit(r *Request, record *decision.Record) *Refusal {
	wait, ok := d.Limits.Take(r.Account)
	if !ok {
		return refuse(ReasonRateLimited, RanNo, wait, "account %q is at its limit of %g requests a second", r.Account.Name, r.Account.Limits.RequestsPerSecond)
	}
	record.AddStep("limit", "within the account's share")
	return nil
}

func (d *Dispatcher) claimKey(r *Request, attempt int) claim.Key {
	return claim.Key{Region: r.Account.HomeRegion(), Account: r.Account.Name, Kind: claim.KindRequest, ID: attemptID(r.ID, attempt)}
}

// attemptID returns the ID under which an attempt is claimed. The separator cannot occur in an
// ID.
func attemptID(id string, attempt int) string {
	if attempt == 0 {
		return id
	}
	return id + "~" + string(rune('0'+attempt))
}

func (d *Dispatcher) claimEntry(r *Request, attempt int, token string) claim.Entry {
	e := claim.Entry{
		Key:        d.claimKey(r, attempt),
		Token:      token,
		Holder:     d.Self,
		Repeatable: r.Repeatable(),
		Async:      r.Async,
		Digest:     r.Digest,
		Expires:    d.Timers.Now().Add(d.claimTTL(r)),
	}
	if r.Async {
		e.Value = encodeRequest(r)
	}
	return e
}

// Repeatable reports whether the request may run more than once.
func (r *Request) Repeatable() bool { return r.Plain == nil || r.Plain.Call.Repeatable }

// claimTTL covers the time to the deadline and, after it, the time for which a response is kept.
func (d *Dispatcher) claimTTL(r *Request) time.Duration {
	ttl := d.ResponseTTL
	if !r.Deadline.IsZero() {
		ttl += r.Deadline.Sub(d.Timers.Now())
	}
	if !r.Repeatable() {
		ttl = max(ttl, r.Plain.Call.ClaimTTL())
	}
	return ttl
}

// startGeneratedID runs a request whose ID was generated here, so that no client has it yet.
// The claim only serves to find the response later, so the run does not wait for it.
func (d *Dispatcher) startGeneratedID(ctx context.Context, r *Request, record *decision.Record) (*answer.Response, *Refusal) {
	if r.Async || !r.Repeatable() {
		return d.startWithClaim(ctx, r, record)
	}
	token := d.NewID()
	runCtx, stop := context.WithCancel(context.Background())
	x := d.Responses.Open(token, stop)
	d.run(runCtx, r, x, record, nil)
	e := d.claimEntry(r, 0, token)
	e.BestEffort = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		_, _ = d.Claims.Claim(ctx, e)
	}()
	return x, nil
}

// claimTimeout bounds all rounds of one request's claim together.
const claimTimeout = 3 * time.Second

// Drain makes the dispatcher refuse new requests.
func (d *Dispatcher) Drain() { d.once.Do(func() { close(d.draining) }) }

// Draining reports whether Drain was called.
func (d *Dispatcher) Draining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return false
	}
}

// Wait returns once no request runs and no bill is being claimed.
func (d *Dispatcher) Wait() {
	d.runs.Wait()
	d.Bills.Wait()
}
