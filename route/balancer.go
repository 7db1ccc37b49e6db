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

// The balancer weighs servers in milliseconds of their time. The figures were
// tried on calm days and days of high load of both deployments; between half
// and twice of each the worth stayed the same (docs/MEASUREMENTS.md).
const (
	// hallPenalty is the wait that a server of this node's data hall may be
	// behind one elsewhere: bytes between data halls are paid for.
	hallPenalty = 40.0
	// homePerToken is the wait that the server which most likely has the
	// shared parts of a prompt already may be behind, beside the time that it
	// saves: reading parts again is paid for.
	homePerToken = 0.015
	// jitter parts servers that are equal otherwise.
	jitter = 5.0
)

// Task is what the choice for one request depends on.
type Task struct {
	// Servers may get the request.
	Servers []registry.Server
	// Work is how long the request keeps a server busy before its answer
	// begins, in milliseconds.
	Work float64
	// Kind groups requests that usually take as many times longer than Usual,
	// which is how long the answer of an idle server takes to begin, in
	// milliseconds.
	Kind  string
	Usual float64
	// Home hashes the shared parts of the prompt; zero for none. The server
	// that has read them saves SavedWork, of SharedTokens.
	Home         uint64
	SavedWork    float64
	SharedTokens int
	// Exclude lists servers by ID that have been tried.
	Exclude map[string]bool
}

// Balancer chooses among servers that tell their load on each answer. Unlike
// [Chooser] it looks at all servers of a service: what it knows of them costs
// no calls. It is safe for concurrent use.
type Balancer struct {
	dataHall string
	opened   func(server string)

	mu sync.Mutex
	// servers are by ID.
	servers map[string]*known
	waits   waits
}

// NewBalancer returns a balancer of a node in the given data hall. Opened is
// called for each server that a breaker takes out.
func NewBalancer(dataHall string, opened func(server string)) *Balancer {
	return &Balancer{dataHall: dataHall, opened: opened, servers: make(map[string]*known), waits: make(waits)}
}

// Expected returns how long the answer to a task would take to begin at the
// server that has least to do, by what its kind has lately taken.
func (b *Balancer) Expected(t Task) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	least := math.Inf(1)
	for _, s := range t.Servers {
		state := b.state(s.ID)
		if !t.Exclude[s.ID] && state.breaker.allows(now) {
			least = math.Min(least, state.wait(now))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return milliseconds(b.waits.lately(t.Kind, now) * (least + t.Usual))
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
		if cost := b.cost(s, state, t, home, now); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return nil, errs.New(NoServer, "choose", "none of %d servers can take the request", len(t.Servers))
	}
	saved := 0.0
	if t.Servers[best].ID == home {
		saved = t.SavedWork
	}
	return b.use(t.Servers[best], t, saved, now), nil
}

// cost is what the choice of a server for a task costs, in milliseconds of
// waiting.
func (b *Balancer) cost(s registry.Server, state *known, t Task, home string, now time.Time) float64 {
	wait := state.wait(now)
	cost := wait + jitter*rand.Float64() + state.silence(now)
	cost += state.health.cost(now, wait+b.waits.mean(t.Kind)*t.Usual)
	if s.DataHall != b.dataHall {
		cost += hallPenalty
	}
	if s.ID == home {
		cost -= t.SavedWork + homePerToken*float64(t.SharedTokens)
	}
	return cost
}

// use counts one request at a server that saves some of its work, in
// milliseconds.
func (b *Balancer) use(server registry.Server, t Task, saved float64, now time.Time) *Use {
	state := b.state(server.ID)
	idle := state.wait(now) + t.Usual - saved
	if state.waiting == 0 {
		state.progress = now
	}
	state.inflight++
	state.waiting++
	state.pending += t.Work - saved
	state.expected = milliseconds(b.waits.mean(t.Kind) * idle)
	state.breaker.begin(now)
	return &Use{
		balancer: b,
		server:   server,
		work:     t.Work - saved,
		kind:     t.Kind,
		idle:     idle,
		expected: state.expected,
		late:     milliseconds(b.waits.late(t.Kind) * idle),
		started:  now,
	}
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

// state returns what is known of a server, which may be nothing yet.
func (b *Balancer) state(id string) *known {
	s := b.servers[id]
	if s == nil {
		s = &known{}
		b.servers[id] = s
	}
	return s
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
