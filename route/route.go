// Package route chooses the backend server for one attempt of a request.
//
// Load reports lag, and nodes that all follow the same stale report send a
// herd to one server. So a node compares only a few candidates out of a stable
// subset of the pool, by the expected time to finish: the node's own work
// there, which it knows exactly; the reported load, discounted by its age; the
// server's lately observed speed; and what its prefix cache is likely to hold.
// A breaker takes out a server that fails and probes it again later.
//
// # Usage
//
//	attempt, err := chooser.Choose(route.Request{Servers: servers, Prefix: hash})
//	if err != nil {
//		return err
//	}
//	… run on attempt.Server() …
//	attempt.End(route.OutcomeOK, firstToken, total)
package route

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// subsetSize is how many servers of a pool a node uses.
	subsetSize = 20
	// candidates are drawn at random for each choice.
	candidates = 3
	// reportHalfLife discounts a load report by its age.
	reportHalfLife = 500 * time.Millisecond
	// speedMemory is the weight of one answer in a server's observed speed.
	speedMemory = 0.1
	// startService is the assumed time of a request on an unknown server.
	startService = 200 * time.Millisecond
	// cacheShare is the part of a request's time that a cached prefix saves.
	cacheShare = 0.3
	// cacheEntries bounds the prefixes remembered per server.
	cacheEntries = 512
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

// WithBreakerCounter counts the servers taken out.
func WithBreakerCounter(count func(server string)) Option {
	return func(c *Chooser) { c.opened = count }
}

// Chooser holds what one node knows of the backend servers. It is safe for
// concurrent use.
type Chooser struct {
	node    string
	leaving func(server string) bool
	opened  func(server string)

	mu      sync.Mutex
	servers map[string]*server
}

// server is what this node knows of one backend server.
type server struct {
	inflight int
	report   Report
	mean     time.Duration
	breaker  breaker
	cache    map[uint64]time.Time
}

// New returns a chooser that knows no server.
func New(node string, options ...Option) *Chooser {
	c := &Chooser{
		node:    node,
		leaving: func(string) bool { return false },
		opened:  func(string) {},
		servers: make(map[string]*server),
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
	key     string
	prefix  uint64
	once    sync.Once
}

// Server returns the chosen server.
func (a *Attempt) Server() config.Server { return a.server }

// End tells how the attempt ended and how long it took.
func (a *Attempt) End(outcome Outcome, took time.Duration) {
	a.once.Do(func() { a.chooser.end(a, outcome, took) })
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
	best, bestCost := -1, math.Inf(1)
	for _, i := range c.draw(r, usable) {
		if cost := c.cost(r, usable[i], now); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	chosen := usable[best]
	key := serverKey(r.Pool, chosen.Name)
	s := c.server(key)
	s.inflight++
	s.breaker.begin(now)
	return &Attempt{chooser: c, server: chosen, key: key, prefix: r.Prefix}, nil
}

func serverKey(pool, name string) string { return pool + "/" + name }

func (c *Chooser) server(key string) *server {
	s := c.servers[key]
	if s == nil {
		s = &server{mean: startService, cache: make(map[uint64]time.Time)}
		c.servers[key] = s
	}
	return s
}

// usable returns the servers of this node's subset that may take the request;
// if there are none, those of the whole pool.
func (c *Chooser) usable(r Request, now time.Time) []config.Server {
	usable := c.filter(r, Subset(c.node, r.Servers, subsetSize), now)
	if len(usable) == 0 {
		usable = c.filter(r, r.Servers, now)
	}
	return usable
}

func (c *Chooser) filter(r Request, servers []config.Server, now time.Time) []config.Server {
	var usable []config.Server
	for _, candidate := range servers {
		s := c.server(serverKey(r.Pool, candidate.Name))
		switch {
		case r.Exclude[candidate.Name], c.leaving(candidate.Name), s.report.Leaving:
		case !holds(s.report.Models, r.EngineModel):
		case !s.breaker.allows(now):
		default:
			usable = append(usable, candidate)
		}
	}
	return usable
}

func holds(models []string, model string) bool {
	if len(models) == 0 || model == "" {
		return true
	}
	for _, m := range models {
		if m == model {
			return true
		}
	}
	return false
}

// draw returns the indexes of a few random candidates, and of the one that
// most lately had the prompt's prefix.
func (c *Chooser) draw(r Request, usable []config.Server) []int {
	drawn := rand.Perm(len(usable))
	drawn = drawn[:min(candidates, len(drawn))]
	if r.Prefix == 0 {
		return drawn
	}
	latest, at := -1, time.Time{}
	for i, candidate := range usable {
		if seen := c.server(serverKey(r.Pool, candidate.Name)).cache[r.Prefix]; seen.After(at) {
			latest, at = i, seen
		}
	}
	if latest >= 0 {
		drawn = append(drawn, latest)
	}
	return drawn
}

// cost is the expected time until the request is done, in seconds.
func (c *Chooser) cost(r Request, candidate config.Server, now time.Time) float64 {
	s := c.server(serverKey(r.Pool, candidate.Name))
	service := s.mean.Seconds()
	if _, cached := s.cache[r.Prefix]; cached && r.Prefix != 0 {
		service *= 1 - cacheShare
	}
	ahead := math.Max(float64(s.inflight), s.reported(now))
	queued := math.Max(0, ahead+1-float64(candidate.Slots)) / float64(candidate.Slots)
	// Below its slots a batching engine still slows down with its load.
	crowding := ahead / float64(candidate.Slots) * crowdingShare
	return service * (1 + queued + crowding)
}

// crowdingShare is how much a full batch slows down each request in it.
const crowdingShare = 0.5

// reported returns the reported load, discounted by its age.
func (s *server) reported(now time.Time) float64 {
	if s.report.At.IsZero() {
		return 0
	}
	age := now.Sub(s.report.At).Seconds() / reportHalfLife.Seconds()
	return float64(s.report.Running+s.report.Waiting) * math.Exp2(-age)
}

func (c *Chooser) end(a *Attempt, outcome Outcome, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(a.key)
	s.inflight--
	now := time.Now()
	switch outcome {
	case OutcomeOK:
		s.mean += time.Duration(speedMemory * float64(took-s.mean))
		s.breaker.succeed()
		s.remember(a.prefix, now)
	case OutcomeFailed:
		if s.breaker.fail(now) {
			c.opened(a.server.Name)
		}
	case OutcomeDeclined:
		s.breaker.neutral()
		s.report.Leaving = true
	case OutcomeNeutral:
		s.breaker.neutral()
	}
}

func (s *server) remember(prefix uint64, now time.Time) {
	if prefix == 0 {
		return
	}
	if len(s.cache) >= cacheEntries {
		oldest, at := uint64(0), now
		for p, seen := range s.cache {
			if seen.Before(at) {
				oldest, at = p, seen
			}
		}
		delete(s.cache, oldest)
	}
	s.cache[prefix] = now
}

// Observe takes a server's load report.
func (c *Chooser) Observe(pool, name string, report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server(serverKey(pool, name)).report = report
}

// Holding returns the models that a server last reported.
func (c *Chooser) Holding(pool, name string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server(serverKey(pool, name)).report.Models
}

// Subset returns the n servers of a pool that a node uses, by rendezvous
// hashing, so that each server is used by few nodes and the choice is stable
// while servers come and go.
func Subset(node string, servers []config.Server, n int) []config.Server {
	if len(servers) <= n {
		return servers
	}
	type scored struct {
		score  uint64
		server config.Server
	}
	var best []scored
	for _, s := range servers {
		score := xxhash.Sum64String(node + "/" + s.Name)
		at := len(best)
		for at > 0 && best[at-1].score < score {
			at--
		}
		if at == n {
			continue
		}
		best = append(best[:at], append([]scored{{score, s}}, best[at:]...)...)
		best = best[:min(n, len(best))]
	}
	subset := make([]config.Server, len(best))
	for i, b := range best {
		subset[i] = b.server
	}
	return subset
}
