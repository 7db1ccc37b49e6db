package route

import (
	"maps"
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

// Costs are in milliseconds of waiting.
const (
	// crossHallPenaltyMS and, for each byte of the request's body,
	// crossHallPenaltyMSPerByte are added to the cost of a server in another data
	// hall: traffic between data halls is paid for.
	crossHallPenaltyMS        = 40.0
	crossHallPenaltyMSPerByte = 0.02
	// blockingWeight is the cost of each millisecond for which the request blocks
	// the requests behind it: a prefill that another server could take from its
	// cache delays all of them.
	blockingWeight = 1.0
	// homeHitProbability is the probability that a prompt's home server has cached
	// those shared parts that this node has not sent there.
	homeHitProbability = 0.5
	// jitterMS is the range of a random cost that breaks ties.
	jitterMS = 5.0
)

const (
	// maxScanned is the number of servers up to which all are looked at for each request.
	// Among more, random ones are tried.
	maxScanned = 512
	// maxProbes is how many random servers are tried for one request: enough to find some of
	// the node's own data hall among ten.
	maxProbes = 64
	// maxStates is the number of servers up to which the state of all that were ever used is
	// kept. Of more, it is dropped after maxIdle, at most every trimInterval.
	maxStates    = 1024
	maxIdle      = 15 * time.Second
	trimInterval = time.Second
)

// Task describes one request for which a Balancer picks a server.
type Task struct {
	// Servers are the servers to choose from.
	Servers []*registry.Server
	// Kind groups requests for which the time until the response starts depends
	// on the prompt's size in the same way.
	Kind string
	// Initial is used until a response of this kind has been observed.
	Initial InitialEstimate
	// Prompt is the chain of the prompt's cacheable parts; nil for none.
	Prompt prefix.Chain
	// PromptTokens is the size of the prompt; zero for none. Engines prefill one
	// prompt at a time; requests without a prompt are served concurrently.
	PromptTokens int
	// BodyBytes is the size of the request's body; zero if not known.
	BodyBytes int
	// CacheCapacity is the size of a server's prefix cache in tokens; zero if not
	// known.
	CacheCapacity int
	// Exclude holds the servers that have been tried.
	Exclude map[registry.Incarnation]bool
}

// crossHallPenalty returns the cost of sending the task to another data hall, in
// milliseconds.
func (t Task) crossHallPenalty() float64 {
	return crossHallPenaltyMS + crossHallPenaltyMSPerByte*float64(t.BodyBytes)
}

// InitialEstimate is the assumed time until an idle server starts to respond.
type InitialEstimate struct {
	// Base is in milliseconds, Rate in milliseconds for each token to prefill.
	Base, Rate float64
}

// Balancer chooses among servers that report their load with each response.
// Unlike a [Chooser] it is not limited to a subset of the servers, since it needs
// no polling. It is safe for concurrent use.
type Balancer struct {
	dataHall      string
	onBreakerOpen func(server string)
	publish       func(s share.Record, prefillMillis float64)

	mu sync.Mutex
	// servers is keyed by the hash of the incarnation, regressions and
	// latencyRatios by the kind of request.
	servers       map[uint64]*balancerServer
	regressions   map[string]*estimate.Regression
	latencyRatios latencyRatios
	// work is by service.
	work map[string]*Work
	// trimmedAt is when unused states were last dropped.
	trimmedAt time.Time
}

// Work is what this node has sent to the servers of one service.
type Work struct {
	// BusyMillis is the time for which all prompts so far kept servers busy, in milliseconds.
	BusyMillis float64
	// Running is the number of requests in flight.
	Running int
}

// BalancerOption configures a Balancer.
type BalancerOption func(*Balancer)

// WithPublisher sets the function that publishes each prompt sent to a server to
// the other nodes. PrefillMillis is the time for which the server prefills the
// uncached tokens of the prompt's shared parts, in milliseconds.
func WithPublisher(publish func(s share.Record, prefillMillis float64)) BalancerOption {
	return func(b *Balancer) { b.publish = publish }
}

// NewBalancer returns a balancer for a node in the given data hall. OnBreakerOpen
// is called with the ID of each server whose circuit breaker opens.
func NewBalancer(dataHall string, onBreakerOpen func(server string), options ...BalancerOption) *Balancer {
	b := &Balancer{
		dataHall:      dataHall,
		onBreakerOpen: onBreakerOpen,
		publish:       func(share.Record, float64) {},
		servers:       make(map[uint64]*balancerServer),
		regressions:   make(map[string]*estimate.Regression),
		latencyRatios: make(latencyRatios),
		work:          make(map[string]*Work),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// prediction is the expected handling of a task by one server.
type prediction struct {
	server registry.Server
	state  *balancerServer
	// wait is the time in the server's queue, serviceTime the time from then until
	// the response starts, both in milliseconds.
	wait, serviceTime float64
	// cachedTokens is the number of prompt tokens expected in the server's cache.
	cachedTokens int
}

// latency returns the time until the response starts, in milliseconds.
func (p prediction) latency() float64 { return p.wait + p.serviceTime }

// Forecast is the expected latency of a task.
type Forecast struct {
	// Wait is the time in the server's queue, ServiceTime the time from then until
	// the response starts.
	Wait, ServiceTime time.Duration
}

// Latency returns the time until the response starts.
func (f Forecast) Latency() time.Duration { return f.Wait + f.ServiceTime }

// Forecast returns the expected latency of a task at the server that Choose would
// pick, without sending it there; zero if no server can take it.
func (b *Balancer) Forecast(t Task) Forecast {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, ok := b.best(t, time.Now())
	if !ok {
		return Forecast{}
	}
	return Forecast{Wait: durationFromMS(best.wait), ServiceTime: durationFromMS(best.serviceTime)}
}

// Choose picks a server for one request, which counts as in flight until
// [Assignment.End]. It returns a [NoServer] error if no server can take it.
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

// best returns the server of the shortlist with the lowest cost.
func (b *Balancer) best(t Task, now time.Time) (best prediction, ok bool) {
	regression := b.regression(t)
	home := b.home(t, regression)
	bestCost := math.Inf(1)
	for _, c := range b.shortlist(t, home, now) {
		p := prediction{server: *t.Servers[c.index], state: c.state, wait: c.state.queueWait(now), cachedTokens: c.cachedTokens}
		p.serviceTime = regression.Predict(float64(t.PromptTokens - p.cachedTokens))
		cost := b.cost(p, t, regression, now)
		if c.index == home {
			cost -= homeBonus(t, regression, p.cachedTokens)
		}
		if cost < bestCost {
			best, bestCost, ok = p, cost, true
		}
	}
	return best, ok
}

// shortlist returns the servers that are compared for a task. Home is the index of the prompt's
// home server, or noHome.
func (b *Balancer) shortlist(t Task, home int, now time.Time) []candidate {
	var l shortlist
	add := func(i int) {
		if c, ok := b.candidate(t, i, now); ok {
			l.add(c, t.Servers[i].DataHall == b.dataHall, i == home)
		}
	}
	if len(t.Servers) > maxScanned {
		for probe := 0; probe < maxProbes && !l.full(); probe++ {
			add(rand.IntN(len(t.Servers)))
		}
		if home != noHome && !l.hasHome {
			add(home)
		}
		if !l.empty() {
			return l.candidates()
		}
	}
	for i := range t.Servers {
		add(i)
	}
	return l.candidates()
}

// candidate returns a server as a candidate for a task; false if it can't take it.
func (b *Balancer) candidate(t Task, index int, now time.Time) (candidate, bool) {
	s := t.Servers[index]
	state := b.servers[s.Hash()]
	if state == nil {
		state = newBalancerServer() // kept only if it is chosen
	}
	state.cache.SetCapacity(t.CacheCapacity)
	if (len(t.Exclude) > 0 && t.Exclude[s.Incarnation()]) || !state.breaker.allows(now) {
		return candidate{}, false
	}
	return candidate{index: index, state: state, cachedTokens: min(state.cache.CachedTokens(t.Prompt), t.PromptTokens)}, true
}

// cost returns the cost of sending a task to a server, in milliseconds of waiting.
func (b *Balancer) cost(p prediction, t Task, regression *estimate.Regression, now time.Time) float64 {
	cost := p.latency() + blockingWeight*p.blockingTime(t, regression) + jitterMS*rand.Float64()
	cost += p.state.health.penalty(now, p.latency())
	if p.server.DataHall != b.dataHall {
		cost += t.crossHallPenalty()
	}
	return cost
}

// blockingTime returns for how long a task delays the requests behind it, in
// milliseconds. An engine prefills one prompt at a time, but the part of the
// latency that does not depend on the prompt's size (receiving the request, the
// first token, sending the response) does not block others. It is most of a short
// prompt's latency, so counting it would predict waits that do not occur.
func (p prediction) blockingTime(t Task, regression *estimate.Regression) float64 {
	if t.PromptTokens > 0 {
		return regression.Rate() * float64(t.PromptTokens-p.cachedTokens)
	}
	return p.serviceTime / float64(max(1, p.server.Slots))
}

// assign records one request as sent to a server and publishes its prompt.
func (b *Balancer) assign(p prediction, t Task, now time.Time) *Assignment {
	a := &Assignment{
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
	b.keep(p.server.Hash(), p.state)
	p.state.addRequest(a, now)
	work := b.serviceWork(p.server.Service)
	work.Running++
	p.state.breaker.begin(now)
	if a.serial() {
		work.BusyMillis += a.blockingTime
		shared := t.Prompt.Shared()
		prefillMillis := b.regression(t).Rate() * float64(max(0, shared.Tokens()-a.cachedTokens))
		b.publish(share.Record{Server: p.server.Incarnation().Hash(), Prompt: shared, WorkMillis: float32(a.blockingTime)}, prefillMillis)
	}
	return a
}

// homeBonus returns the discount on the cost of a task's home server, in
// milliseconds, where the given number of prompt tokens is already expected in
// its cache.
func homeBonus(t Task, regression *estimate.Regression, cachedTokens int) float64 {
	unknown := max(0, t.Prompt.Shared().Tokens()-cachedTokens)
	return homeHitProbability * (1 + blockingWeight) * regression.Rate() * float64(unknown)
}

// noHome is the index of the home server of a prompt that has none.
const noHome = -1

// home returns the index of a prompt's home server: the one that all nodes prefer
// for its shared parts, by rendezvous hashing. It is taken from all servers if
// the bonus exceeds the cost of another data hall, otherwise from the servers of
// this data hall.
func (b *Balancer) home(t Task, regression *estimate.Regression) int {
	shared := t.Prompt.Shared()
	if len(shared) == 0 {
		return noHome
	}
	allHalls := homeBonus(t, regression, 0) > t.crossHallPenalty()
	key := shared[len(shared)-1].Hash
	best, bestScore := noHome, uint64(0)
	for i := range t.Servers {
		s := t.Servers[i]
		if s.DataHall != b.dataHall && !allHalls {
			continue
		}
		if score := rendezvous.Score(key, s.IDHash()); score >= bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// regression returns the estimate of the service time for a task's kind.
func (b *Balancer) regression(t Task) *estimate.Regression {
	r := b.regressions[t.Kind]
	if r == nil {
		r = estimate.New(t.Initial.Base, t.Initial.Rate)
		b.regressions[t.Kind] = r
	}
	return r
}

// state returns the state of a server, creating it if needed.
func (b *Balancer) state(server uint64) *balancerServer {
	s := b.servers[server]
	if s == nil {
		s = newBalancerServer()
		b.keep(server, s)
	}
	return s
}

// keep keeps the state of a server. If there are very many, those that have not been used for a
// while are dropped.
func (b *Balancer) keep(server uint64, s *balancerServer) {
	if b.servers[server] != nil {
		return
	}
	if now := time.Now(); len(b.servers) >= maxStates && now.Sub(b.trimmedAt) >= trimInterval {
		b.trimmedAt = now
		maps.DeleteFunc(b.servers, func(_ uint64, s *balancerServer) bool {
			return s.inflight == 0 && now.Sub(s.usedAt) >= maxIdle
		})
	}
	b.servers[server] = s
}

// serviceWork returns the work of a service, creating it if needed.
func (b *Balancer) serviceWork(service string) *Work {
	w := b.work[service]
	if w == nil {
		w = &Work{}
		b.work[service] = w
	}
	return w
}

// Work returns what this node has sent to the servers of each service.
func (b *Balancer) Work() map[string]Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	work := make(map[string]Work, len(b.work))
	for service, w := range b.work {
		work[service] = *w
	}
	return work
}

// ObserveSend records that another node has sent a prompt to a server.
func (b *Balancer) ObserveSend(s share.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(s.Server).addRemoteRequest(float64(s.WorkMillis), s.Prompt, time.Now().Add(-s.Age()))
}

// InFlight returns the number of this node's requests in flight at the given servers.
func (b *Balancer) InFlight(incarnations []registry.Incarnation) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, i := range incarnations {
		if s := b.servers[i.Hash()]; s != nil {
			count += s.inflight
		}
	}
	return count
}

// Retain drops the state of all servers but the given ones and those with
// requests in flight.
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
