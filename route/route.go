// Package route chooses the backend server for one attempt of a request.
//
// There are two load balancers. A [Chooser] polls its servers for load reports.
// The reports lag, so nodes that all follow the same stale report would overload
// the server that it shows as idle. A node therefore compares only a few
// candidates from a stable subset of the pool, by the expected time to complete
// the request. The estimate uses the node's own requests in flight, which it
// knows exactly; the reported load, discounted by its age; the recently observed
// service time; and whether the server's prefix cache is likely to hold the
// prompt. A circuit breaker takes out a server that fails and probes it later.
//
// A [Balancer] is for servers that report their load with each response. It
// draws a shortlist from all servers of a service and compares how soon each
// would start to respond: the queue there, known from the node's own requests
// and from the sends of other nodes (package share), plus the prefill of the
// prompt tokens that are not cached there (package prefix), at the recent
// prefill rate (package estimate). It tracks the ratio of observed to expected
// latency per kind of request. A response that takes longer than almost all
// others of its kind is late, and a server with late or often failing responses
// gets fewer requests.
//
// # Usage
//
//	attempt, err := chooser.Choose(route.Request{Servers: servers, Prefix: hash})
//	if err != nil {
//		return err
//	}
//	… run on attempt.Server() …
//	attempt.End(route.OutcomeOK, total)
//
//	assignment, err := balancer.Choose(route.Task{Servers: servers, Kind: kind, Prompt: chain, PromptTokens: tokens})
//	if err != nil {
//		return err
//	}
//	… send to assignment.Server() …
//	assignment.RecordLoad(load) // and RecordResponseStart once the response has started
//	assignment.RecordResult(failed)
//	assignment.End(route.OutcomeOK) // or EndStalled, if the request was cancelled as late
package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/throttle"
)

//go:generate go tool enumer -type=Outcome -trimprefix=Outcome -transform=snake -output=route_enumer.go

var (
	namespace = errs.Namespace("route")

	// NoServer is the error type for a request that no server can take now.
	NoServer = namespace.NewType("no_server")
	// Limited is the error type for a request that servers could take if that did not exceed
	// their limits.
	Limited = namespace.NewType("limited")
	// Resting and Leaving are Limited where all of them want rest, or leave ([errs.RetryAfter] tells when the
	// first may take a request).
	Resting = Limited.NewSubtype("resting")
	Leaving = Limited.NewSubtype("leaving")
)

// Outcome is the result of a request as it counts for the server.
type Outcome int

// The outcomes.
const (
	OutcomeOK Outcome = iota
	// OutcomeFailed counts against the server.
	OutcomeFailed
	// OutcomeNeutral says nothing about the server, as when the client
	// disconnects.
	OutcomeNeutral
	// OutcomeDeclined means that the server said it did not run the request.
	OutcomeDeclined
)

const (
	// maxTakes is how many servers are chosen for one attempt that turn out to take no request now.
	maxTakes = 4
	// randomCandidates is how many servers are drawn at random for each choice.
	randomCandidates = 3
	// serviceTimeSmoothing is the weight of one response in the moving average
	// of a server's service time.
	serviceTimeSmoothing = 0.1
	// initialServiceTime is assumed for a server with no observations.
	initialServiceTime = 200 * time.Millisecond
	// serviceTimeHalfLife is the half-life of an observed service time while the
	// server is unused.
	serviceTimeHalfLife = 10 * time.Second
	// cacheHitSaving is the share of the service time that a cached prefix saves.
	cacheHitSaving = 0.3
	// fullBatchSlowdown is the share by which a full batch slows down each
	// request in it.
	fullBatchSlowdown = 0.3
	// maxCacheEntries bounds the prefixes remembered per server.
	maxCacheEntries = 512
)

// Report is a server's load report.
type Report struct {
	Running int
	Waiting int
	Leaving bool
	// Models are those that the server has loaded; empty if it did not say.
	Models []string
	// At is when the load was measured.
	At time.Time
}

// Request describes one attempt for which a Chooser picks a server.
type Request struct {
	Pool    string
	Servers []config.Server
	// EngineModel must be loaded on the server, if it reports its models.
	EngineModel string
	// Prefix is a hash of the start of the prompt; zero for none.
	Prefix uint64
	// Exclude holds the names of the servers that have been tried.
	Exclude map[string]bool
}

// Option configures a Chooser.
type Option func(*Chooser)

// WithLeaving sets the function that reports whether the VM list shows a server
// as leaving. Such servers are not chosen.
func WithLeaving(leaving func(server string) bool) Option {
	return func(c *Chooser) { c.leaving = leaving }
}

// WithNodes sets the source of the nodes that share the servers.
func WithNodes(nodes Nodes) Option { return func(c *Chooser) { c.nodes = nodes } }

// WithBreakerCounter sets a function that is called with the name of each server
// whose circuit breaker opens.
func WithBreakerCounter(count func(server string)) Option {
	return func(c *Chooser) { c.onBreakerOpen = count }
}

// Throttle keeps to what servers say of the requests that they take.
type Throttle interface {
	// Allows reports whether this node may send a server of a pool a request now.
	Allows(pool string, s config.Server) bool
	// Wait returns the time until a server that is not allowed a request may get one, and why it may
	// not before.
	Wait(pool string, s config.Server) (time.Duration, throttle.Cause)
	// Take counts a request to a server. It returns false, and counts nothing, if the server may
	// not get one from this node now.
	Take(pool string, s config.Server) bool
	// Release records that a request that was counted is not at the server any more.
	Release(pool string, s config.Server)
	// Reject is Release for a request that the server has declined to run.
	Reject(pool string, s config.Server)
	// Abandon is Release for a request that the server may still run, for about so long.
	Abandon(pool string, s config.Server, stillRuns time.Duration)
}

// noThrottle limits no server.
type noThrottle struct{}

func (noThrottle) Allows(string, config.Server) bool { return true }
func (noThrottle) Wait(string, config.Server) (time.Duration, throttle.Cause) {
	return 0, throttle.CauseNone
}
func (noThrottle) Take(string, config.Server) bool              { return true }
func (noThrottle) Release(string, config.Server)                {}
func (noThrottle) Abandon(string, config.Server, time.Duration) {}
func (noThrottle) Reject(string, config.Server)                 {}

// WithThrottle sets what keeps to what servers say of the requests that they take.
func WithThrottle(t Throttle) Option { return func(c *Chooser) { c.throttle = t } }

// Chooser balances the requests of one node by load reports that it is given
// through [Chooser.Observe]. It is safe for concurrent use.
type Chooser struct {
	node          string
	leaving       func(server string) bool
	onBreakerOpen func(server string)
	nodes         Nodes
	throttle      Throttle

	mu      sync.Mutex
	servers map[string]*chooserServer
	subsets map[string]*subset
}

// chooserServer is a Chooser's state of one backend server.
type chooserServer struct {
	inflight int
	report   Report
	// inflightAtReport is this node's part of the reported load.
	inflightAtReport int
	// serviceTime is the moving average of a request's time, scaled to an idle
	// server.
	serviceTime time.Duration
	lastUsed    time.Time
	breaker     breaker
	// cachedPrefixes maps a prefix hash to its last use on the server.
	cachedPrefixes map[uint64]time.Time
}

// New returns a Chooser for the node of the given ID.
func New(node string, options ...Option) *Chooser {
	c := &Chooser{
		node:          node,
		leaving:       func(string) bool { return false },
		onBreakerOpen: func(string) {},
		nodes:         func() (int64, []string) { return 0, []string{node} },
		throttle:      noThrottle{},
		servers:       make(map[string]*chooserServer),
		subsets:       make(map[string]*subset),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Attempt is one request assigned to a server by a Chooser.
type Attempt struct {
	chooser *Chooser
	pool    string
	server  config.Server
	state   *chooserServer
	prefix  uint64
	sentAt  time.Time
	// slowdown is the expected ratio of the request's time to its time on an
	// idle server.
	slowdown float64
	// repeats is the number of requests beyond the first that were counted.
	repeats atomic.Int32
	endOnce sync.Once
}

// Server returns the chosen server.
func (a *Attempt) Server() config.Server { return a.server }

// Repeat counts one more request of this attempt to its server, as to resume a stream. It returns
// false, and counts nothing, if the server may not get one from this node now.
func (a *Attempt) Repeat() bool {
	if !a.chooser.throttle.Take(a.pool, a.server) {
		return false
	}
	a.repeats.Add(1)
	return true
}

// End records the attempt's outcome and its duration. Only the first call
// counts.
func (a *Attempt) End(outcome Outcome, took time.Duration) {
	a.endOnce.Do(func() {
		for range a.repeats.Load() {
			a.chooser.throttle.Release(a.pool, a.server)
		}
		switch outcome {
		case OutcomeOK:
			a.chooser.throttle.Release(a.pool, a.server)
		case OutcomeDeclined:
			a.chooser.throttle.Reject(a.pool, a.server)
		default: // the server may need as long again as it has had
			a.chooser.throttle.Abandon(a.pool, a.server, took)
		}
		a.chooser.end(a, outcome, took)
	})
}

// Choose picks a server for one attempt, which counts as in flight until its
// [Attempt.End]. It returns a [NoServer] error if no server can take the request, and a
// [Limited] one if none can because of the limits that servers name.
func (c *Chooser) Choose(r Request) (*Attempt, error) {
	for range maxTakes {
		best, slowdown, err := c.pick(r)
		if err != nil {
			return nil, err
		}
		if c.throttle.Take(r.Pool, best.server) { // may ask another node
			return c.begin(r, best, slowdown), nil
		}
	}
	return nil, errs.New(Limited, "choose", "%d servers of pool %s turned out to get no more requests from this node now", maxTakes, r.Pool)
}

// pick returns the server that is to be sent a request, and the slowdown there.
func (c *Chooser) pick(r Request) (usableServer, float64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	usable, limited := c.usable(r, now)
	switch {
	case len(usable) == 0 && len(limited) > 0:
		return usableServer{}, 0, c.limitedError(r.Pool, limited)
	case len(usable) == 0:
		return usableServer{}, 0, errs.New(NoServer, "choose", "pool %s has no server for %s", r.Pool, r.EngineModel)
	}
	best, slowdown := bestOf(r, usable, now)
	return best, slowdown, nil
}

// limitedError returns the error of a request that servers do not take now, by what they say.
func (c *Chooser) limitedError(pool string, servers []config.Server) error {
	least, cause := c.throttle.Wait(pool, servers[0])
	for _, s := range servers[1:] {
		if wait, other := c.throttle.Wait(pool, s); wait < least {
			least, cause = wait, other
		}
	}
	var err error
	switch cause {
	case throttle.CauseLeaving:
		return errs.New(Leaving, "choose", "%d servers of pool %s say that they leave", len(servers), pool)
	case throttle.CauseRest:
		err = errs.New(Resting, "choose", "%d servers of pool %s want rest", len(servers), pool)
	default:
		err = errs.New(Limited, "choose", "%d servers of pool %s name limits and get no more requests from this node now", len(servers), pool)
	}
	return errs.WithRetryAfter(err, least)
}

// begin counts a request as in flight at a server.
func (c *Chooser) begin(r Request, best usableServer, slowdown float64) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	best.state.inflight++
	best.state.lastUsed = now
	best.state.breaker.begin(now)
	return &Attempt{chooser: c, pool: r.Pool, server: best.server, state: best.state, prefix: r.Prefix, sentAt: now, slowdown: slowdown}
}

// bestOf returns the server of a few candidates at which a request is expected to take least
// time, and the slowdown there.
func bestOf(r Request, usable []usableServer, now time.Time) (best usableServer, bestSlowdown float64) {
	pool := averageOf(usable)
	bestCost := math.Inf(1)
	for _, o := range drawCandidates(r, usable) {
		slowdown := o.state.slowdown(o.server.Slots, r.Prefix, pool, now)
		if cost := o.state.expectedServiceTime(pool, now) * slowdown; cost < bestCost {
			best, bestCost, bestSlowdown = o, cost, slowdown
		}
	}
	return best, bestSlowdown
}

// usableServer is a server that may be chosen, with its state.
type usableServer struct {
	server config.Server
	state  *chooserServer
}

func serverKey(pool, name string) string { return pool + "/" + name }

func (c *Chooser) server(key string) *chooserServer {
	s := c.servers[key]
	if s == nil {
		s = &chooserServer{serviceTime: initialServiceTime, cachedPrefixes: make(map[uint64]time.Time)}
		c.servers[key] = s
	}
	return s
}

// usable returns the servers of this node's subset that can take the request, or
// those of the whole pool if the subset has none. Limited holds the servers that could if they
// took requests of this node now.
func (c *Chooser) usable(r Request, now time.Time) (usable []usableServer, limited []config.Server) {
	usable, limited = c.filter(r, c.subset(r.Pool, r.Servers), now)
	if len(usable) == 0 {
		usable, limited = c.filter(r, r.Servers, now)
	}
	return usable, limited
}

func (c *Chooser) filter(r Request, servers []config.Server, now time.Time) (usable []usableServer, limited []config.Server) {
	usable = make([]usableServer, 0, len(servers))
	for _, candidate := range servers {
		s := c.server(serverKey(r.Pool, candidate.Name))
		switch {
		case r.Exclude[candidate.Name], c.leaving(candidate.Name):
		case !serves(s.report.Models, r.EngineModel):
		case !c.throttle.Allows(r.Pool, candidate): // its own word goes before what is concluded here
			limited = append(limited, candidate)
		case s.report.Leaving, !s.breaker.allows(now):
		default:
			usable = append(usable, usableServer{candidate, s})
		}
	}
	return usable, limited
}

func serves(models []string, model string) bool {
	return len(models) == 0 || model == "" || slices.Contains(models, model)
}

// drawCandidates returns a few random servers and, if there is one, the server
// that most recently ran a request with the prompt's prefix.
func drawCandidates(r Request, usable []usableServer) []usableServer {
	var drawn []usableServer
	for _, i := range rand.Perm(len(usable))[:min(randomCandidates, len(usable))] {
		drawn = append(drawn, usable[i])
	}
	if r.Prefix == 0 {
		return drawn
	}
	var latest usableServer
	var at time.Time
	for _, o := range usable {
		if seen := o.state.cachedPrefixes[r.Prefix]; seen.After(at) {
			latest, at = o, seen
		}
	}
	if !at.IsZero() {
		drawn = append(drawn, latest)
	}
	return drawn
}

// poolAverage holds averages over the usable servers of a pool.
type poolAverage struct {
	// othersLoad is the number of requests of other nodes per server;
	// serviceTime is in seconds.
	othersLoad, serviceTime float64
}

func averageOf(options []usableServer) poolAverage {
	var sum poolAverage
	for _, o := range options {
		sum.othersLoad += o.state.othersLoad()
		sum.serviceTime += o.state.serviceTime.Seconds()
	}
	n := float64(len(options))
	return poolAverage{othersLoad: sum.othersLoad / n, serviceTime: sum.serviceTime / n}
}

// othersLoad returns the number of other nodes' requests at the last report.
func (s *chooserServer) othersLoad() float64 {
	return math.Max(0, float64(s.report.Running+s.report.Waiting-s.inflightAtReport))
}

// expectedServiceTime returns the time of a request on an idle server, in
// seconds. While the server is unused, the estimate decays to the pool's
// average, so that a server that was slow once is tried again.
func (s *chooserServer) expectedServiceTime(pool poolAverage, now time.Time) float64 {
	return pool.serviceTime + (s.serviceTime.Seconds()-pool.serviceTime)*decayWeight(now.Sub(s.lastUsed), serviceTimeHalfLife)
}

// slowdown returns the expected ratio of a request's time to its time on an idle
// server. The node's own requests are known exactly; the load of other nodes
// decays to the pool's average as the report ages. Decaying to zero would make a
// loaded server look idle to all nodes at the same time.
func (s *chooserServer) slowdown(slots int, prefix uint64, pool poolAverage, now time.Time) float64 {
	weight := decayWeight(now.Sub(s.report.At), time.Duration(pool.serviceTime*float64(time.Second)))
	ahead := float64(s.inflight) + weight*s.othersLoad() + (1-weight)*pool.othersLoad
	queued := math.Max(0, ahead+1-float64(slots)) / float64(slots)
	// A batching engine slows down with its load even while it has free slots.
	batching := math.Min(1, ahead/float64(slots)) * fullBatchSlowdown
	slowdown := 1 + queued + batching
	if _, cached := s.cachedPrefixes[prefix]; cached && prefix != 0 {
		slowdown -= cacheHitSaving
	}
	return slowdown
}

// decayWeight returns the weight of an observation of the given age, from 1 down
// to 0.
func decayWeight(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

func (c *Chooser) end(a *Attempt, outcome Outcome, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := a.state
	s.inflight--
	now := time.Now()
	switch outcome {
	case OutcomeOK:
		idle := time.Duration(float64(took) / a.slowdown)
		s.serviceTime += time.Duration(serviceTimeSmoothing * float64(idle-s.serviceTime))
		s.breaker.succeed()
		s.rememberPrefix(a.prefix, now)
	case OutcomeFailed:
		if s.breaker.fail(now, a.sentAt) {
			c.onBreakerOpen(a.server.Name)
		}
	case OutcomeDeclined:
		s.breaker.neutral()
		s.report.Leaving = true
	case OutcomeNeutral:
		s.breaker.neutral()
	}
}

func (s *chooserServer) rememberPrefix(prefix uint64, now time.Time) {
	if prefix == 0 {
		return
	}
	if len(s.cachedPrefixes) >= maxCacheEntries {
		oldest, at := uint64(0), now
		for p, seen := range s.cachedPrefixes {
			if seen.Before(at) {
				oldest, at = p, seen
			}
		}
		delete(s.cachedPrefixes, oldest)
	}
	s.cachedPrefixes[prefix] = now
}

// Observe stores a server's load report.
func (c *Chooser) Observe(pool, name string, report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(serverKey(pool, name))
	s.report, s.inflightAtReport = report, s.inflight
}

// Available reports whether some server of this node's subset of a pool may have
// a model loaded. A server that has not reported its models counts as having it.
func (c *Chooser) Available(pool string, servers []config.Server, model string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subset(pool, servers) {
		if serves(c.server(serverKey(pool, s.Name)).report.Models, model) {
			return true
		}
	}
	return false
}
