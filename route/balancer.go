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
	// crossHallPenaltyMS is the wait that a server of this node's data hall may be
	// behind one elsewhere, and hallPenaltyPerByte that for each byte of the
	// request: bytes between data halls are paid for.
	crossHallPenaltyMS        = 40.0
	crossHallPenaltyMSPerByte = 0.02
	// blockingWeight is the wait, for each millisecond that a server is kept busy,
	// that a choice is worth to those who come after: reading what another
	// server has already holds up all that wait behind it.
	blockingWeight = 1.0
	// homeHitProbability is the chance that the server which all nodes prefer for a
	// prompt's shared parts has those that this node has not sent there.
	homeHitProbability = 0.5
	// jitterMS parts servers that are equal otherwise.
	jitterMS = 5.0
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

// crossHallPenalty is the wait in milliseconds that passing the task to another data
// hall is worth avoiding.
func (t Task) crossHallPenalty() float64 {
	return crossHallPenaltyMS + crossHallPenaltyMSPerByte*float64(t.BodyBytes)
}

// InitialEstimate is a first guess of how long an answer takes to begin.
type InitialEstimate struct {
	// Base in milliseconds, and Rate in milliseconds for each token to be read.
	Base, Rate float64
}

// Balancer chooses among servers that tell their load on each answer. Unlike
// [Chooser] it looks at all servers of a service: what it knows of them costs
// no calls. It is safe for concurrent use.
type Balancer struct {
	dataHall      string
	onBreakerOpen func(server string)
	announce      func(s share.Send, news float64)

	mu sync.Mutex
	// servers are by the hash of their incarnation, lines and waits by kind of request.
	servers       map[uint64]*balancerServer
	regressions   map[string]*estimate.Regression
	latencyRatios latencyRatios
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
		dataHall:      dataHall,
		onBreakerOpen: opened,
		announce:      func(share.Send, float64) {},
		servers:       make(map[uint64]*balancerServer),
		regressions:   make(map[string]*estimate.Regression),
		latencyRatios: make(latencyRatios),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// prediction is what a server would do with a task, in milliseconds.
type prediction struct {
	server registry.Server
	state  *balancerServer
	// wait is how long the request waits until the server turns to it, takes
	// how long the answer takes to begin from then on.
	wait, serviceTime float64
	// cachedTokens is how many tokens of the prompt the server is believed to have.
	cachedTokens int
}

// latency is how long the answer takes to begin, in milliseconds.
func (p prediction) latency() float64 { return p.wait + p.serviceTime }

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
	return Forecast{Wait: durationFromMS(best.wait), ServiceTime: durationFromMS(best.serviceTime)}
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
	return b.assign(best, t, now), nil
}

// best returns the server whose choice costs least, of those that are drawn.
func (b *Balancer) best(t Task, now time.Time) (best prediction, ok bool) {
	line := b.regression(t)
	home := b.home(t, line)
	bestCost := math.Inf(1)
	for _, c := range b.shortlist(t, home, now) {
		p := prediction{server: t.Servers[c.index], state: c.state, wait: c.state.queueWait(now), cachedTokens: c.cachedTokens}
		p.serviceTime = line.Predict(float64(t.PromptTokens - p.cachedTokens))
		cost := b.cost(p, t, line, now)
		if p.server.ID == home {
			cost -= homeBonus(t, line, p.cachedTokens)
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
		c := candidate{index: i, state: state, cachedTokens: min(state.cache.CachedTokens(t.Prompt), t.PromptTokens)}
		l.add(c, s.DataHall == b.dataHall, s.ID == home)
	}
	return l.candidates()
}

// cost is what the choice of a server for a task costs, in milliseconds of
// waiting.
func (b *Balancer) cost(p prediction, t Task, line *estimate.Regression, now time.Time) float64 {
	cost := p.latency() + blockingWeight*p.blockingTime(t, line) + jitterMS*rand.Float64()
	cost += p.state.health.penalty(now, p.latency())
	if p.server.DataHall != b.dataHall {
		cost += t.crossHallPenalty()
	}
	return cost
}

// blockingTime is how long a task keeps others waiting, in milliseconds. An engine
// reads one prompt after the other, but what an answer takes whatever its prompt's
// size (arriving, its first token, leaving) passes beside that: of two short prompts
// that came to an idle engine within 12 ms, both took 58 ms (medians of 26 pairs).
// Counted as if it kept the engine busy, it was nine tenths of a short prompt's
// work for a quick model, and most waits were made up.
func (p prediction) blockingTime(t Task, line *estimate.Regression) float64 {
	if t.PromptTokens > 0 {
		return line.Rate() * float64(t.PromptTokens-p.cachedTokens)
	}
	return p.serviceTime / float64(max(1, p.server.Slots))
}

// assign counts one request at a server.
func (b *Balancer) assign(p prediction, t Task, now time.Time) *Assignment {
	u := &Assignment{
		balancer:     b,
		server:       p.server,
		state:        p.state,
		kind:         t.Kind,
		prompt:       t.Prompt,
		promptTokens: t.PromptTokens,
		cachedTokens: p.cachedTokens,
		wait:         p.wait,
		serviceTime:  p.serviceTime,
		blockingTime: p.blockingTime(t, b.regression(t)),
		lateAfter:    durationFromMS(b.latencyRatios.lateRatio(t.Kind) * p.latency()),
		sentAt:       now,
	}
	p.state.addRequest(u, now)
	p.state.breaker.begin(now)
	if u.serial() {
		shared := t.Prompt.Shared()
		news := b.regression(t).Rate() * float64(max(0, shared.Tokens()-u.cachedTokens))
		b.announce(share.Send{Server: p.server.Incarnation().Hash(), Prompt: shared, Work: float32(u.blockingTime)}, news)
	}
	return u
}

// homeBonus is the wait that the preferred server of a task may be behind, in
// milliseconds, if it holds so many tokens of the prompt for sure.
func homeBonus(t Task, line *estimate.Regression, held int) float64 {
	unknown := max(0, t.Prompt.Shared().Tokens()-held)
	return homeHitProbability * (1 + blockingWeight) * line.Rate() * float64(unknown)
}

// home returns the server that all nodes prefer for a prompt's shared parts: of
// all servers where that is worth more than the bytes between data halls, and
// otherwise of this data hall.
func (b *Balancer) home(t Task, line *estimate.Regression) string {
	shared := t.Prompt.Shared()
	if len(shared) == 0 {
		return ""
	}
	everywhere := homeBonus(t, line, 0) > t.crossHallPenalty()
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

// regression returns what is known of how long answers of a task's kind take.
func (b *Balancer) regression(t Task) *estimate.Regression {
	l := b.regressions[t.Kind]
	if l == nil {
		l = estimate.New(t.Initial.Base, t.Initial.Rate)
		b.regressions[t.Kind] = l
	}
	return l
}

// state returns what is known of a server, which may be nothing yet.
func (b *Balancer) state(server uint64) *balancerServer {
	s := b.servers[server]
	if s == nil {
		s = &balancerServer{cache: prefix.NewCacheTracker()}
		b.servers[server] = s
	}
	return s
}

// ObserveSend takes that another node has sent a prompt to a server.
func (b *Balancer) ObserveSend(s share.Send) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(s.Server).addRemoteRequest(float64(s.Work), s.Prompt, time.Now().Add(-s.Age()))
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
