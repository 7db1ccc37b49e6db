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
	// waitingWork is assumed of a request by another node that waits.
	waitingWork = 60.0
	// runningWork is what each request under way adds to a step of an engine
	// while a prompt is read.
	runningWork = 2.0
	// jitter parts servers that are equal otherwise.
	jitter = 5.0
	// toldHalfLife is how soon a load that a server told is forgotten; a
	// waiting request has begun about then.
	toldHalfLife = 500 * time.Millisecond
)

// Load is what a server told of itself on an answer. The fields are exported
// for the adapter that reads it.
type Load struct {
	// Running and Waiting are requests, of all nodes.
	Running int
	Waiting int
	// Slots is the number of requests that the server runs at once.
	Slots int
}

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
	servers map[string]*balanced
	paces   paces
}

// balanced is what this node knows of one server.
type balanced struct {
	// inflight are this node's own requests, waiting those of them whose
	// answer has not begun, pending the work of these in milliseconds.
	inflight int
	waiting  int
	pending  float64
	// othersWaiting and othersRunning are the requests of other nodes when
	// the server last told its load.
	othersWaiting float64
	othersRunning float64
	toldAt        time.Time
	// progress is when an answer last began, or a request was sent to a server
	// that had none of this node waiting.
	progress time.Time
	// expected is how long the answer to the last request sent there usually
	// takes to begin.
	expected time.Duration

	record  record
	breaker breaker
}

// NewBalancer returns a balancer of a node in the given data hall. Opened is
// called for each server that a breaker takes out.
func NewBalancer(dataHall string, opened func(server string)) *Balancer {
	return &Balancer{dataHall: dataHall, opened: opened, servers: make(map[string]*balanced), paces: make(paces)}
}

// Use is one request at a server.
type Use struct {
	balancer *Balancer
	server   registry.Server
	// work is what it keeps the server busy with before its answer begins, in
	// milliseconds.
	work float64
	kind string
	// idle is how long the answer would take to begin if all requests of its
	// kind took as long as the task says, in milliseconds; expected is how long
	// it takes at a server of the usual speed.
	idle     float64
	expected time.Duration
	// late is when the answer is later than almost all of its kind; zero while
	// too little is known.
	late    time.Duration
	started time.Time
	begin   sync.Once
	end     sync.Once
}

// Server returns the chosen server.
func (u *Use) Server() registry.Server { return u.server }

// Tell takes the load that the server told on its answer.
func (u *Use) Tell(l Load) { u.balancer.tell(u.server.ID, l) }

// Late returns how long after it was sent a request's answer is later than
// almost all of its kind; zero while too little is known.
func (u *Use) Late() time.Duration { return u.late }

// Expected returns how long the answer usually takes to begin.
func (u *Use) Expected() time.Duration { return u.expected }

// Begin tells that the server's answer has begun.
func (u *Use) Begin() {
	u.begin.Do(func() { u.balancer.begin(u, true) })
}

// Failed tells whether the server answered with a failure of its own.
func (u *Use) Failed(failed bool) { u.balancer.failed(u.server.ID, failed) }

// Stall tells that the request was taken away since its answer, or the rest of
// it, was late. A server that has begun no other answer meanwhile has failed.
func (u *Use) Stall() {
	if u.balancer.stalled(u) {
		u.End(OutcomeFailed)
		return
	}
	u.End(OutcomeNeutral)
}

// End tells how the request ended, as far as the server is concerned.
func (u *Use) End(outcome Outcome) {
	u.begin.Do(func() { u.balancer.begin(u, false) })
	u.end.Do(func() { u.balancer.end(u.server.ID, outcome) })
}

// milliseconds makes a duration of a number of them.
func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

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
	return milliseconds(b.paces.now(t.Kind, now) * (least + t.Usual))
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
func (b *Balancer) cost(s registry.Server, state *balanced, t Task, home string, now time.Time) float64 {
	wait := state.wait(now)
	cost := wait + jitter*rand.Float64() + state.silence(now)
	cost += state.record.cost(now, wait+b.paces.mean(t.Kind)*t.Usual)
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
	state.expected = milliseconds(b.paces.mean(t.Kind) * idle)
	state.breaker.begin(now)
	return &Use{
		balancer: b,
		server:   server,
		work:     t.Work - saved,
		kind:     t.Kind,
		idle:     idle,
		expected: state.expected,
		late:     milliseconds(b.paces.late(t.Kind) * idle),
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
func (b *Balancer) state(id string) *balanced {
	s := b.servers[id]
	if s == nil {
		s = &balanced{}
		b.servers[id] = s
	}
	return s
}

// wait estimates how long a request waits at the server until it is read, in
// milliseconds: behind this node's own work, which it knows, and that of
// others, as far as the server's word is fresh.
func (s *balanced) wait(now time.Time) float64 {
	weight := fresh(now.Sub(s.toldAt), toldHalfLife)
	running := float64(s.inflight) + weight*s.othersRunning
	return s.pending + weight*s.othersWaiting*waitingWork + running*runningWork
}

// silence is how long requests of this node have been waiting at the server
// without an answer to any of them, beyond what may be by chance, in
// milliseconds.
func (s *balanced) silence(now time.Time) float64 {
	if s.waiting == 0 {
		return 0
	}
	return math.Max(0, float64(now.Sub(s.progress)-usualSilence*s.expected)/float64(time.Millisecond))
}

// tell takes a server's word on its load, less this node's own part of it.
func (b *Balancer) tell(id string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.othersWaiting = math.Max(0, float64(l.Waiting-s.waiting))
	s.othersRunning = math.Max(0, float64(l.Running-(s.inflight-s.waiting)))
	s.toldAt = time.Now()
}

// begin takes a request's work off what this node has waiting at a server, and
// learns from an answer that has begun.
func (b *Balancer) begin(u *Use, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(u.server.ID)
	s.waiting--
	s.pending -= u.work
	if answered {
		now := time.Now()
		s.progress = now
		s.record.learnPace(now, b.learnPace(u, now))
	}
}

// learnPace takes how long a request has waited for its answer. It returns how
// many times longer than usual that is.
func (b *Balancer) learnPace(u *Use, now time.Time) float64 {
	if u.idle <= 0 {
		return 1
	}
	return b.paces.learn(u.kind, float64(now.Sub(u.started))/float64(time.Millisecond)/u.idle, now)
}

// failed takes whether an answer was a failure of the server's own.
func (b *Balancer) failed(id string, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).record.learnFailure(time.Now(), failed)
}

// stalled counts a request whose answer was late against its server. It
// reports whether the server has begun no other answer since that was sent.
func (b *Balancer) stalled(u *Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(u.server.ID)
	s.record.learnPace(time.Now(), slowest)
	return !s.progress.After(u.started)
}

// end takes a request off a server, and lets its breaker judge the outcome.
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
