// Package dispatch is the path of a request: account, limits, claim, session
// pin or roll-out stage, cascade plan, admission, server choice, run, rating,
// bill, answer. Every step leaves a line in the request's decision record.
//
// The package decides nothing by itself that another package is for; it
// brings their decisions in order and sees to it that what a caller is told
// is true: whether a refused request ran, and that an id is never run twice
// where that is not allowed.
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

// Request is one caller's request. The exported fields that are not derived
// from the account ride with the claim of patient work.
type Request struct {
	// ID names the request within its account. Given ids were chosen by the
	// caller, who may come back with them.
	ID      string
	Given   bool
	Account *config.Account
	// Patient work is answered with 202 and fetched later.
	Patient  bool
	Deadline time.Time
	Body     []byte
	// Digest of everything that makes the request what it is.
	Digest uint64

	// Chat is set for a request to a model, Plain for one to a service.
	Chat  *Chat
	Plain *Plain

	// takenOver marks patient work of a node that is gone; its account has
	// paid for it.
	takenOver bool
	// reached is set once a backend server may have run the request. Only the
	// task that runs the request uses it.
	reached bool
}

// Chat is a request to a model.
type Chat struct {
	Model   string
	Session string
	Stream  bool
	// Prefix hashes the start of the prompt, Class groups like requests.
	Prefix uint64
	Class  string
	// Prompt is the text that an answer is rated against.
	Prompt string
}

// Plain is a call of a plain service.
type Plain struct {
	Service     *config.Service
	Call        *config.Call
	Method      string
	Path        string
	Query       string
	ContentType string
}

// Claims is the write-once memory.
type Claims interface {
	Claim(ctx context.Context, e claim.Entry) (claim.Outcome, error)
	Override(ctx context.Context, e claim.Entry) (claim.Outcome, error)
	Lookup(ctx context.Context, key claim.Key) (found *claim.Entry, complete bool)
	Advance(ctx context.Context, e claim.Entry) (took, of int)
	Release(key claim.Key, token string)
	Abandon(key claim.Key, token string)
}

// Holders reaches the nodes that hold claims.
type Holders interface {
	// Attach follows an attempt's answer at its holder. Found is false if
	// the holder does not know the attempt; ran then tells whether it knows
	// that the attempt has run.
	Attach(ctx context.Context, h claim.Holder, attempt string) (x *answer.Exchange, found, ran bool, err error)
	// Cancel stops an attempt at its holder.
	Cancel(ctx context.Context, h claim.Holder, attempt string) (bool, error)
	// Answers reports whether a node is neither suspected nor gone.
	Answers(id string) bool
	// Gone reports whether a node is confirmed not to answer.
	Gone(id string) bool
}

// Rater rates answers.
type Rater interface {
	Rate(ctx context.Context, model, version, prompt, answer string) (float64, error)
}

// Limits holds accounts to their limits.
type Limits interface {
	Take(account *config.Account) (wait time.Duration, ok bool)
}

// Queues returns the admission queue of a pool.
type Queues interface {
	Queue(pool string) *admit.Queue
}

// Bills bills requests.
type Bills interface {
	// Bill reports whether it has won the bill of a request. If it is not
	// known, the bill is claimed again beside the request.
	Bill(b ledger.Bill, life time.Duration) bool
	// Wait returns when no bill is being claimed any more.
	Wait()
}

// Counters counts what operators want to see.
type Counters interface {
	Refused(reason Reason, account string)
	Retried(reason string)
	Answered(model, version string, firstToken, total time.Duration)
}

// Parts is what a Dispatcher is made of.
type Parts struct {
	Self     claim.Holder
	Config   func() *config.Snapshot
	Current  func() bool
	Claims   Claims
	Holders  Holders
	Answers  *answer.Store
	Pins     *session.Pins
	Picker   *rollout.Picker
	Planner  *cascade.Planner
	Limits   Limits
	Queues   Queues
	Chooser  *route.Chooser
	Budgets  *retry.Budgets
	Engines  Engines
	Services Services
	Rater    Rater
	Bills    Bills
	Records  *decision.Log
	Counters Counters
	Timers   *timer.Service
	NewID    func() string
	// AnswerLife is how long an answer can be fetched.
	AnswerLife time.Duration
}

// Dispatcher takes requests along their path. It is safe for concurrent use.
type Dispatcher struct {
	Parts
	runs     sync.WaitGroup
	draining chan struct{}
	once     sync.Once
}

// New returns a dispatcher.
func New(parts Parts) *Dispatcher {
	return &Dispatcher{Parts: parts, draining: make(chan struct{})}
}

const (
	// comeBackSoon is told where a fault passes within seconds.
	comeBackSoon = time.Second
	// comeBackLater is told where an operator or a roll-out has to act.
	comeBackLater = 10 * time.Second
	// maxAttempts bounds how often one id is taken over.
	maxAttempts = 8
	// joinRounds bounds how often a claim that turned out to be given up is
	// made anew.
	joinRounds = 6
	// joinPause lies before the second of those rounds and grows with each.
	joinPause = 20 * time.Millisecond
)

// Start takes a request up, or joins it to the run that its id has already.
func (d *Dispatcher) Start(ctx context.Context, r *Request) (*answer.Exchange, *Refusal) {
	record := d.Records.Start(r.ID, r.Account.Name)
	x, refusal := d.start(ctx, r, record)
	if refusal != nil {
		record.Note("refused", "%s", refusal.Error())
		record.End("refused: " + refusal.reason.String())
		d.Counters.Refused(refusal.reason, r.Account.Name)
	}
	return x, refusal
}

func (d *Dispatcher) start(ctx context.Context, r *Request, record *decision.Record) (*answer.Exchange, *Refusal) {
	if refusal := d.ready(r); refusal != nil {
		return nil, d.refuseGiven(ctx, r, refusal)
	}
	if !r.Given {
		if refusal := d.limit(r, record); refusal != nil {
			return nil, refusal
		}
		return d.startMinted(ctx, r, record)
	}
	return d.startGiven(ctx, r, record)
}

// ready checks what needs no other node.
func (d *Dispatcher) ready(r *Request) *Refusal {
	snapshot := d.Config()
	switch {
	case d.Draining():
		return refuse(ReasonDraining, RanNo, comeBackSoon, "this node is leaving; ask for addresses again")
	case snapshot.Revision() == 0:
		return NoConfiguration(RanNo)
	case !d.Current():
		return refuse(ReasonCutOff, RanNo, comeBackSoon, "this node is cut off and may have missed a withdrawal; ask another")
	case r.Chat != nil:
		return d.allowed(snapshot, r)
	}
	return nil
}

// allowed answers a model that does not exist like one that the account may
// not use.
func (d *Dispatcher) allowed(s *config.Snapshot, r *Request) *Refusal {
	if _, ok := resolve(s, r.Account, r.Chat.Model); !ok {
		return refuse(ReasonModelNotFound, RanNo, 0, "model %q is not one that account %q may use", r.Chat.Model, r.Account.Name)
	}
	return nil
}

func (d *Dispatcher) limit(r *Request, record *decision.Record) *Refusal {
	wait, ok := d.Limits.Take(r.Account)
	if !ok {
		return refuse(ReasonRateLimited, RanNo, wait, "account %q is at its limit of %g requests a second", r.Account.Name, r.Account.Limits.RequestsPerSecond)
	}
	record.Note("limit", "within the account's share")
	return nil
}

func (d *Dispatcher) key(r *Request, attempt int) claim.Key {
	return claim.Key{Region: r.Account.HomeRegion(), Account: r.Account.Name, Kind: claim.KindRequest, ID: attemptID(r.ID, attempt)}
}

// attemptID names a take-over of an id. The separator cannot stand in an id.
func attemptID(id string, attempt int) string {
	if attempt == 0 {
		return id
	}
	return id + "~" + string(rune('0'+attempt))
}

func (d *Dispatcher) entry(r *Request, attempt int, exchange string) claim.Entry {
	e := claim.Entry{
		Key:        d.key(r, attempt),
		Token:      exchange,
		Holder:     d.Self,
		Repeatable: r.Repeatable(),
		Patient:    r.Patient,
		Body:       r.Digest,
		Expires:    d.Timers.Now().Add(d.claimLife(r)),
	}
	if r.Patient {
		e.Value = encodeRequest(r)
	}
	return e
}

// Repeatable reports whether the request may run more than once.
func (r *Request) Repeatable() bool { return r.Plain == nil || r.Plain.Call.Repeatable }

// claimLife outlives the deadline and the time for which an answer is kept.
func (d *Dispatcher) claimLife(r *Request) time.Duration {
	life := d.AnswerLife
	if !r.Deadline.IsZero() {
		life += r.Deadline.Sub(d.Timers.Now())
	}
	if !r.Repeatable() {
		life = max(life, r.Plain.Call.ClaimTTL())
	}
	return life
}

// startMinted runs a request whose id nobody knows yet. Its claim only serves
// to find the answer later, so the run need not wait for it.
func (d *Dispatcher) startMinted(ctx context.Context, r *Request, record *decision.Record) (*answer.Exchange, *Refusal) {
	if r.Patient || !r.Repeatable() {
		return d.startGiven(ctx, r, record)
	}
	exchange := d.NewID()
	runCtx, stop := context.WithCancel(context.Background())
	x := d.Answers.Open(exchange, stop)
	d.run(runCtx, r, x, record, nil)
	e := d.entry(r, 0, exchange)
	e.Soft = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTime)
		defer cancel()
		_, _ = d.Claims.Claim(ctx, e)
	}()
	return x, nil
}

// claimTime bounds the claim of one request with all its rounds.
const claimTime = 3 * time.Second

// Drain refuses new requests from now on.
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

// Wait returns once no request runs and every bill is decided.
func (d *Dispatcher) Wait() {
	d.runs.Wait()
	d.Bills.Wait()
}
