package route

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/violettally/violettally/estimate"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/share"
)

// The balancer weighs servers in milliseconds of waiting.
const (
	// hallPenalty is the wait that a server of this node's data hall may be
	// behind one elsewhere, and hallPenaltyPerByte that for each byte of the
	// request: bytes between data halls are paid for.
	hallPenalty        = 40.0
	hallPenaltyPerByte = 0.02
	// occupancy is the wait, for each millisecond that a server is kept busy,
	// that a choice is worth to those who come after: reading what another
	// server has already holds up all that wait behind it.
	occupancy = 1.0
	// homeShare is the chance that the server which all nodes prefer for a
	// prompt's shared parts has those that this node has not sent there.
	homeShare = 0.5
	// jitter parts servers that are equal otherwise.
	jitter = 5.0
)

// Task is what the choice for one request depends on.
type Task struct {
	// Servers may get the request.
	Servers []registry.Server
	// Kind groups requests whose answers take equally long to begin for the
	// same size.
	Kind string
	// Initial is how long such an answer takes while none has come yet.
	Initial InitialEstimate
	// Prompt is what engines keep of it, in order; nil for none.
	Prompt prefix.Chain
	// PromptTokens of the prompt, zero for none. Engines read one prompt at a time;
	// requests without one are served side by side.
	PromptTokens int
	// BodyBytes of the request's body, zero if not known.
	BodyBytes int
	// CacheCapacity is what a server's cache holds, in tokens; zero if not known.
	CacheCapacity int
	// Exclude lists the servers that have been tried.
	Exclude map[registry.Incarnation]bool
}

// hallPenalty is the wait in milliseconds that passing the task to another data
// hall is worth avoiding.
func (t Task) hallPenalty() float64 { return hallPenalty + hallPenaltyPerByte*float64(t.BodyBytes) }

// InitialEstimate is a first guess of how long an answer takes to begin.
type InitialEstimate struct {
	// Base in milliseconds, and Rate in milliseconds for each token to be read.
	Base, Rate float64
}

// Balancer chooses among servers that tell their load on each answer. Unlike
// [Chooser] it looks at all servers of a service: what it knows of them costs
// no calls. It is safe for concurrent use.
type Balancer struct {
	dataHall string
	opened   func(server string)
	announce func(s share.Send, news float64)

	mu sync.Mutex
	// servers are by the hash of their incarnation, lines and waits by kind of request.
	servers map[uint64]*known
	lines   map[string]*estimate.Regression
	waits   waits
}

// BalancerOption changes a Balancer as NewBalancer makes it.
type BalancerOption func(*Balancer)

// WithAnnouncer names who is told of each prompt that is sent to a server, so that
// other nodes hear of it. News is for how long the server reads what it did not
// have of the shared prompt, in milliseconds.
func WithAnnouncer(announce func(s share.Send, news float64)) BalancerOption {
	return func(b *Balancer) { b.announce = announce }
}

// NewBalancer returns a balancer of a node in the given data hall. Opened is
// called for each server that a breaker takes out.
func NewBalancer(dataHall string, opened func(server string), options ...BalancerOption) *Balancer {
	b := &Balancer{
		dataHall: dataHall,
		opened:   opened,
		announce: func(share.Send, float64) {},
		servers:  make(map[uint64]*known),
		lines:    make(map[string]*estimate.Regression),
		waits:    make(waits),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// prospect is what a server would do with a task, in milliseconds.
type prospect struct {
	server registry.Server
	state  *known
	// wait is how long the request waits until the server turns to it, takes
	// how long the answer takes to begin from then on.
	wait, takes float64
	// held is how many tokens of the prompt the server is believed to have.
	held int
}

// expected is how long the answer takes to begin, in milliseconds.
func (p prospect) expected() float64 { return p.wait + p.takes }

// Forecast is what a task would find.
type Forecast struct {
	// Wait is how long it waits until the server turns to it, Takes how long the
	// answer takes to begin from then on.
	Wait, ServiceTime time.Duration
}

// Latency is how long the answer takes to begin.
func (f Forecast) Latency() time.Duration { return f.Wait + f.ServiceTime }

// Forecast returns what a task would find at the server that Choose would
// choose; nothing to wait for if there is no server.
func (b *Balancer) Forecast(t Task) Forecast {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, ok := b.best(t, time.Now())
	if !ok {
		return Forecast{}
	}
	return Forecast{Wait: milliseconds(best.wait), ServiceTime: milliseconds(best.takes)}
}

// Choose returns the server for one request.
func (b *Balancer) Choose(t Task) (*Assignment, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	best, ok := b.best(t, now)
	if !ok {
		return nil, errs.New(NoServer, "choose", "none of %d servers can take the request", len(t.Servers))
	}
	return b.use(best, t, now), nil
}

// best returns the server whose choice costs least, of those that are drawn.
func (b *Balancer) best(t Task, now time.Time) (best prospect, ok bool) {
	line := b.line(t)
	home := b.home(t, line)
	bestCost := math.Inf(1)
	for _, c := range b.shortlist(t, home, now) {
		p := prospect{server: t.Servers[c.at], state: c.state, wait: c.state.wait(now), held: c.held}
		p.takes = line.Predict(float64(t.PromptTokens - p.held))
		cost := b.cost(p, t, line, now)
		if p.server.ID == home {
			cost -= homeWorth(t, line, p.held)
		}
		if cost < bestCost {
			best, bestCost, ok = p, cost, true
		}
	}
	return best, ok
}

// shortlist returns the servers that the choice for a task looks at.
func (b *Balancer) shortlist(t Task, home string, now time.Time) []candidate {
	var l shortlist
	for i, s := range t.Servers {
		incarnation := s.Incarnation()
		state := b.state(incarnation.Hash())
		state.cache.SetCapacity(t.CacheCapacity)
		if t.Exclude[incarnation] || !state.breaker.allows(now) {
			continue
		}
		c := candidate{at: i, state: state, held: min(state.cache.CachedTokens(t.Prompt), t.PromptTokens)}
		l.offer(c, s.DataHall == b.dataHall, s.ID == home)
	}
	return l.all()
}

// cost is what the choice of a server for a task costs, in milliseconds of
// waiting.
func (b *Balancer) cost(p prospect, t Task, line *estimate.Regression, now time.Time) float64 {
	cost := p.expected() + occupancy*p.occupies(t, line) + jitter*rand.Float64()
	cost += p.state.health.cost(now, p.expected())
	if p.server.DataHall != b.dataHall {
		cost += t.hallPenalty()
	}
	return cost
}

// occupies is how long a task keeps others waiting, in milliseconds. An engine
// reads one prompt after the other, but what an answer takes whatever its prompt's
// size (arriving, its first token, leaving) passes beside that: of two short prompts
// that came to an idle engine within 12 ms, both took 58 ms (medians of 26 pairs).
// Counted as if it kept the engine busy, it was nine tenths of a short prompt's
// work for a quick model, and most waits were made up.
func (p prospect) occupies(t Task, line *estimate.Regression) float64 {
	if t.PromptTokens > 0 {
		return line.Rate() * float64(t.PromptTokens-p.held)
	}
	return p.takes / float64(max(1, p.server.Slots))
}

// use counts one request at a server.
func (b *Balancer) use(p prospect, t Task, now time.Time) *Assignment {
	u := &Assignment{
		balancer: b,
		server:   p.server,
		state:    p.state,
		kind:     t.Kind,
		prompt:   t.Prompt,
		tokens:   t.PromptTokens,
		held:     p.held,
		wait:     p.wait,
		takes:    p.takes,
		occupies: p.occupies(t, b.line(t)),
		late:     milliseconds(b.waits.late(t.Kind) * p.expected()),
		started:  now,
	}
	p.state.send(u, now)
	p.state.breaker.begin(now)
	if u.serial() {
		shared := t.Prompt.Shared()
		news := b.line(t).Rate() * float64(max(0, shared.Tokens()-u.held))
		b.announce(share.Send{Server: p.server.Incarnation().Hash(), Prompt: shared, Work: float32(u.occupies)}, news)
	}
	return u
}

// homeWorth is the wait that the preferred server of a task may be behind, in
// milliseconds, if it holds so many tokens of the prompt for sure.
func homeWorth(t Task, line *estimate.Regression, held int) float64 {
	unknown := max(0, t.Prompt.Shared().Tokens()-held)
	return homeShare * (1 + occupancy) * line.Rate() * float64(unknown)
}

// home returns the server that all nodes prefer for a prompt's shared parts: of
// all servers where that is worth more than the bytes between data halls, and
// otherwise of this data hall.
func (b *Balancer) home(t Task, line *estimate.Regression) string {
	shared := t.Prompt.Shared()
	if len(shared) == 0 {
		return ""
	}
	everywhere := homeWorth(t, line, 0) > t.hallPenalty()
	key := shared[len(shared)-1].Hash
	best, bestScore := "", uint64(0)
	for _, s := range t.Servers {
		if s.DataHall != b.dataHall && !everywhere {
			continue
		}
		if score := rendezvous.Score(key, rendezvous.Hash(s.ID)); score >= bestScore {
			best, bestScore = s.ID, score
		}
	}
	return best
}

// line returns what is known of how long answers of a task's kind take.
func (b *Balancer) line(t Task) *estimate.Regression {
	l := b.lines[t.Kind]
	if l == nil {
		l = estimate.New(t.Initial.Base, t.Initial.Rate)
		b.lines[t.Kind] = l
	}
	return l
}

// state returns what is known of a server, which may be nothing yet.
func (b *Balancer) state(server uint64) *known {
	s := b.servers[server]
	if s == nil {
		s = &known{cache: prefix.NewCacheTracker()}
		b.servers[server] = s
	}
	return s
}

// ObserveSend takes that another node has sent a prompt to a server.
func (b *Balancer) ObserveSend(s share.Send) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(s.Server).heard(float64(s.Work), s.Prompt, time.Now().Add(-s.Age()))
}

// Retain forgets all servers but those listed and those in use.
func (b *Balancer) Retain(incarnations map[registry.Incarnation]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make(map[uint64]bool, len(incarnations))
	for i := range incarnations {
		kept[i.Hash()] = true
	}
	for server, s := range b.servers {
		if !kept[server] && s.inflight == 0 {
			delete(b.servers, server)
		}
	}
}
