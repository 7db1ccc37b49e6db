// Package route chooses the backend server for one attempt of a request.
//
// Load reports lag, and nodes that all follow the same stale report send a
// herd to one server. So a node compares only a few candidates out of a stable
// subset of the pool, by the expected time to finish: the node's own work
// there, which it knows exactly; the reported load, discounted by its age; the
// server's lately observed speed; and what its prefix cache is likely to hold.
// A breaker takes out a server that fails and probes it again later.
//
// A [Chooser] does so for servers whose reports are asked for. A [Balancer] is
// for servers that tell their load on each answer, and looks at all of them by
// how soon each would answer: after what waits there, which it knows of itself
// and hears of from other nodes (package share), and after reading what the
// server does not have of the prompt (package prefix), at the pace at which it
// has lately read (package estimate). It follows how long requests of each kind
// wait against what was expected: one that waits longer than almost all is late,
// and a server whose answers are late, or often failures, gets fewer requests.
//
// # Usage
//
//	attempt, err := chooser.Choose(route.Request{Servers: servers, Prefix: hash})
//	if err != nil {
//		return err
//	}
//	… run on attempt.Server() …
//	attempt.End(route.OutcomeOK, firstToken, total)
//
//	use, err := balancer.Choose(route.Task{Servers: servers, Kind: kind, Prompt: chain, Tokens: tokens})
//	if err != nil {
//		return err
//	}
//	… send to use.Server() …
//	use.Tell(load) // and Begin once its answer has begun
//	use.Failed(failed)
//	use.End(route.OutcomeOK) // or Stall, if the request was taken away as late
package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/errs"
)

//go:generate go tool enumer -type=Outcome -trimprefix=Outcome -transform=snake -output=route_enumer.go

var (
	namespace = errs.Namespace("route")

	// NoServer says that no server of the pool can take the request now.
	NoServer = namespace.NewType("no_server")
)

// Outcome tells how an attempt ended, as far as the server is concerned.
type Outcome int

// The outcomes.
const (
	OutcomeOK Outcome = iota
	// OutcomeFailed counts against the server.
	OutcomeFailed
	// OutcomeNeutral says nothing about the server, such as a caller's leave.
	OutcomeNeutral
	// OutcomeDeclined is a server's own word that it did not run the request.
	OutcomeDeclined
)

const (
	// randomCandidates are drawn at random for each choice.
	randomCandidates = 3
	// serviceTimeSmoothing is the weight of one answer in a server's observed speed.
	serviceTimeSmoothing = 0.1
	// initialServiceTime is the assumed time of a request on an unknown server.
	initialServiceTime = 200 * time.Millisecond
	// serviceTimeHalfLife is how soon an observed speed is forgotten.
	serviceTimeHalfLife = 10 * time.Second
	// cacheHitSaving is the part of a request's time that a cached prefix saves.
	cacheHitSaving = 0.3
	// fullBatchSlowdown is how much a full batch slows down each request in it.
	fullBatchSlowdown = 0.3
	// maxCacheEntries bounds the prefixes remembered per server.
	maxCacheEntries = 512
)

// Report is a server's load report.
type Report struct {
	Running int
	Waiting int
	Leaving bool
	// Models the server holds; nil if it did not say.
	Models []string
	// At is when the load was as reported.
	At time.Time
}

// Request is what the choice depends on.
type Request struct {
	Pool    string
	Servers []config.Server
	// EngineModel must be held by the server, if it says what it holds.
	EngineModel string
	// Prefix hashes the start of the prompt; zero for none.
	Prefix uint64
	// Exclude lists servers that have been tried.
	Exclude map[string]bool
}

// Option changes a Chooser as New makes it.
type Option func(*Chooser)

// WithLeaving names the test for servers that the VM list shows as leaving.
func WithLeaving(leaving func(server string) bool) Option {
	return func(c *Chooser) { c.leaving = leaving }
}

// WithNodes names the source of the nodes that share the servers.
func WithNodes(nodes Nodes) Option { return func(c *Chooser) { c.nodes = nodes } }

// WithBreakerCounter counts the servers taken out.
func WithBreakerCounter(count func(server string)) Option {
	return func(c *Chooser) { c.onBreakerOpen = count }
}

// Chooser holds what one node knows of the backend servers. It is safe for
// concurrent use.
type Chooser struct {
	node          string
	leaving       func(server string) bool
	onBreakerOpen func(server string)
	nodes         Nodes

	mu      sync.Mutex
	servers map[string]*chooserServer
	subsets map[string]*subset
}

// chooserServer is what this node knows of one backend server.
type chooserServer struct {
	inflight int
	report   Report
	// inflightAtReport is the part of the reported load that is this node's.
	inflightAtReport int
	// serviceTime is the time of a request on the idle server, as last observed.
	serviceTime    time.Duration
	lastUsed       time.Time
	breaker        breaker
	cachedPrefixes map[uint64]time.Time
}

// New returns a chooser that knows no server.
func New(node string, options ...Option) *Chooser {
	c := &Chooser{
		node:          node,
		leaving:       func(string) bool { return false },
		onBreakerOpen: func(string) {},
		nodes:         func() (int64, []string) { return 0, []string{node} },
		servers:       make(map[string]*chooserServer),
		subsets:       make(map[string]*subset),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Attempt is one use of a server.
type Attempt struct {
	chooser *Chooser
	server  config.Server
	state   *chooserServer
	prefix  uint64
	// slowdown is how much longer than on the idle server the request was
	// expected to take.
	slowdown float64
	endOnce  sync.Once
}

// Server returns the chosen server.
func (a *Attempt) Server() config.Server { return a.server }

// End tells how the attempt ended and how long it took.
func (a *Attempt) End(outcome Outcome, took time.Duration) {
	a.endOnce.Do(func() { a.chooser.end(a, outcome, took) })
}

// Choose returns the server for one attempt.
func (c *Chooser) Choose(r Request) (*Attempt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	usable := c.usable(r, now)
	if len(usable) == 0 {
		return nil, errs.New(NoServer, "choose", "pool %s has no server for %s", r.Pool, r.EngineModel)
	}
	pool := averageOf(usable)
	best, bestCost, bestStretch := usableServer{}, math.Inf(1), 1.0
	for _, o := range drawCandidates(r, usable) {
		stretch := o.state.slowdown(o.server.Slots, r.Prefix, pool, now)
		if cost := o.state.expectedServiceTime(pool, now) * stretch; cost < bestCost {
			best, bestCost, bestStretch = o, cost, stretch
		}
	}
	best.state.inflight++
	best.state.lastUsed = now
	best.state.breaker.begin(now)
	return &Attempt{chooser: c, server: best.server, state: best.state, prefix: r.Prefix, slowdown: bestStretch}, nil
}

// usableServer is a server that may be chosen, with what is known of it.
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

// usable returns the servers of this node's subset that may take the request;
// if there are none, those of the whole pool.
func (c *Chooser) usable(r Request, now time.Time) []usableServer {
	usable := c.filter(r, c.subset(r.Pool, r.Servers), now)
	if len(usable) == 0 {
		usable = c.filter(r, r.Servers, now)
	}
	return usable
}

func (c *Chooser) filter(r Request, servers []config.Server, now time.Time) []usableServer {
	usable := make([]usableServer, 0, len(servers))
	for _, candidate := range servers {
		s := c.server(serverKey(r.Pool, candidate.Name))
		switch {
		case r.Exclude[candidate.Name], c.leaving(candidate.Name), s.report.Leaving:
		case !serves(s.report.Models, r.EngineModel):
		case !s.breaker.allows(now):
		default:
			usable = append(usable, usableServer{candidate, s})
		}
	}
	return usable
}

func serves(models []string, model string) bool {
	return len(models) == 0 || model == "" || slices.Contains(models, model)
}

// drawCandidates returns a few random candidates, and the one that most lately had the
// prompt's prefix.
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

// poolAverage is what is usual among the servers of a pool.
type poolAverage struct {
	// othersLoad is the load by other nodes per server, speed as in server, in
	// seconds.
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

// othersLoad returns the load that other nodes put on the server when it last
// reported.
func (s *chooserServer) othersLoad() float64 {
	return math.Max(0, float64(s.report.Running+s.report.Waiting-s.inflightAtReport))
}

// expectedServiceTime returns the time of a request on the idle server, in seconds. What
// was observed long ago gives way to what is usual in the pool, so that a
// server that was slow once is tried again.
func (s *chooserServer) expectedServiceTime(pool poolAverage, now time.Time) float64 {
	return pool.serviceTime + (s.serviceTime.Seconds()-pool.serviceTime)*decayWeight(now.Sub(s.lastUsed), serviceTimeHalfLife)
}

// slowdown returns how much longer a request takes than on the idle server. The
// node's own work there is known; what others put there gives way, as the
// report ages, to what is usual in the pool. Were it to give way to zero, a
// loaded server would look idle to every node at once.
func (s *chooserServer) slowdown(slots int, prefix uint64, pool poolAverage, now time.Time) float64 {
	weight := decayWeight(now.Sub(s.report.At), time.Duration(pool.serviceTime*float64(time.Second)))
	ahead := float64(s.inflight) + weight*s.othersLoad() + (1-weight)*pool.othersLoad
	queued := math.Max(0, ahead+1-float64(slots)) / float64(slots)
	// Below its slots a batching engine still slows down with its load.
	crowding := math.Min(1, ahead/float64(slots)) * fullBatchSlowdown
	stretch := 1 + queued + crowding
	if _, cached := s.cachedPrefixes[prefix]; cached && prefix != 0 {
		stretch -= cacheHitSaving
	}
	return stretch
}

// decayWeight is the weight of what is known since age, from 1 to 0.
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
		if s.breaker.fail(now) {
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

// Observe takes a server's load report.
func (c *Chooser) Observe(pool, name string, report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(serverKey(pool, name))
	s.report, s.inflightAtReport = report, s.inflight
}

// Available reports whether some server of a pool may hold a model, as far as
// they have reported what they hold.
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
