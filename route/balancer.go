package route

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/registry"
)

const (
	// hallPenalty is how many requests more a server of this node's data hall
	// may have than one elsewhere: bytes between data halls are paid for.
	hallPenalty = 4.0
	// homeBonus is how many requests more the server may have that most
	// likely holds the shared parts of a prompt already.
	homeBonus = 4.0
	// othersHalfLife is how soon a load that a server told on an answer is
	// forgotten; requests take about that long.
	othersHalfLife = time.Second
	// waitingWeight is what a waiting request counts beside a running one: it
	// says that the server is full.
	waitingWeight = 2.0
)

// Load is what a server told of itself on an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Task is what the choice for one request depends on.
type Task struct {
	// Servers may get the request.
	Servers []registry.Server
	// Home hashes the shared parts of the prompt; zero for none.
	Home uint64
	// Exclude lists servers by ID that have been tried.
	Exclude map[string]bool
}

// Balancer chooses among servers that tell their load on each answer. Unlike
// [Chooser] it looks at all servers of a service: what it knows of them costs
// no calls. It is safe for concurrent use.
type Balancer struct {
	dataHall string
	opened   func(server string)

	mu      sync.Mutex
	servers map[string]*balanced
}

// balanced is what this node knows of one server.
type balanced struct {
	inflight int
	// others is the load by other nodes when the server last told it.
	others  float64
	toldAt  time.Time
	usedAt  time.Time
	breaker breaker
}

// NewBalancer returns a balancer of a node in the given data hall. Opened is
// called for each server that a breaker takes out.
func NewBalancer(dataHall string, opened func(server string)) *Balancer {
	return &Balancer{dataHall: dataHall, opened: opened, servers: make(map[string]*balanced)}
}

// Use is one request at a server.
type Use struct {
	balancer *Balancer
	server   registry.Server
	once     sync.Once
}

// Server returns the chosen server.
func (u *Use) Server() registry.Server { return u.server }

// Tell takes the load that the server told on its answer.
func (u *Use) Tell(l Load) { u.balancer.tell(u.server.ID, l) }

// End tells how the request ended, as far as the server is concerned.
func (u *Use) End(outcome Outcome) {
	u.once.Do(func() { u.balancer.end(u.server.ID, outcome) })
}

// Choose returns the server for one request.
func (b *Balancer) Choose(t Task) (*Use, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	home := b.home(t)
	best, bestCost := -1, math.Inf(1)
	for i, s := range t.Servers {
		state := b.state(s.ID)
		if t.Exclude[s.ID] || !state.breaker.allows(now) {
			continue
		}
		// A part of a request at random parts servers of equal load.
		cost := state.load(now) + rand.Float64()/2
		if s.DataHall != b.dataHall {
			cost += hallPenalty
		}
		if s.ID == home {
			cost -= homeBonus
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return nil, errs.New(NoServer, "choose", "none of %d servers can take the request", len(t.Servers))
	}
	server := t.Servers[best]
	state := b.state(server.ID)
	state.inflight++
	state.usedAt = now
	state.breaker.begin(now)
	return &Use{balancer: b, server: server}, nil
}

// home returns the server that all nodes of this data hall prefer for a
// prompt's shared parts.
func (b *Balancer) home(t Task) string {
	if t.Home == 0 {
		return ""
	}
	best, bestScore := "", uint64(0)
	for _, s := range t.Servers {
		if s.DataHall != b.dataHall {
			continue
		}
		if score := rendezvous.Score(t.Home, rendezvous.Hash(s.ID)); score >= bestScore {
			best, bestScore = s.ID, score
		}
	}
	return best
}

func (b *Balancer) state(id string) *balanced {
	s := b.servers[id]
	if s == nil {
		s = &balanced{}
		b.servers[id] = s
	}
	return s
}

// load is the number of requests at the server: this node's own, which it
// knows, and those of others, as far as the server's word is fresh.
func (s *balanced) load(now time.Time) float64 {
	return float64(s.inflight) + s.others*fresh(now.Sub(s.toldAt), othersHalfLife)
}

func (b *Balancer) tell(id string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.others = math.Max(0, float64(l.Running)+waitingWeight*float64(l.Waiting)-float64(s.inflight))
	s.toldAt = time.Now()
}

func (b *Balancer) end(id string, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.inflight--
	switch outcome {
	case OutcomeOK:
		s.breaker.succeed()
	case OutcomeFailed:
		if s.breaker.fail(time.Now()) {
			b.opened(id)
		}
	default:
		s.breaker.neutral()
	}
}

// Keep forgets all servers but those listed and those in use.
func (b *Balancer) Keep(ids map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if !ids[id] && s.inflight == 0 {
			delete(b.servers, id)
		}
	}
}
