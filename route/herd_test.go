package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/share"
)

// The simulated deployment: hundreds of nodes, each with a few requests per second,
// share servers that prefill one prompt at a time, and receive each other's
// published records with a delay.
const (
	herdHalls   = 5
	herdNodes   = 295
	herdServers = 105
	// herdTime is how long requests arrive; the first second is not measured.
	// herdRate is the number of requests per second.
	herdTime = 6 * time.Second
	herdRate = 1000
	// publishedShare is the share of the sends that are published to other nodes,
	// each delayed by up to maxPublishDelay.
	publishedShare  = 1.0
	maxPublishDelay = 250 * time.Millisecond
	// nonblockingTime is the part of the latency in which the engine can prefill
	// other prompts.
	nonblockingTime = 47 * time.Millisecond
	// burstWindow is the time in which the sixth and later arrivals at one server
	// count as a burst.
	burstWindow = 100 * time.Millisecond
)

// event is a function to be called at a simulated time.
type event struct {
	at time.Time
	do func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules a function.
func (e *events) after(d time.Duration, do func()) { heap.Push(e, event{time.Now().Add(d), do}) }

// run executes events in order until none is left.
func (e *events) run() {
	for e.Len() > 0 {
		next := heap.Pop(e).(event)
		time.Sleep(time.Until(next.at))
		next.do()
	}
}

// engine simulates a server that prefills one prompt at a time.
type engine struct {
	freeAt   time.Time
	waiting  int
	arrivals []time.Time
}

// herd is the simulated deployment.
type herd struct {
	events  events
	nodes   []*route.Balancer
	servers []*registry.Server
	engines map[string]*engine
	// waited is the total time for which the measured requests waited in queues,
	// measured their number.
	waited   time.Duration
	measured int
}

// newHerd returns a deployment whose nodes publish their sends to each other.
func newHerd() *herd {
	h := &herd{engines: make(map[string]*engine)}
	for i := range herdServers {
		s := registry.Server{ID: fmt.Sprint("i-", i), DataHall: fmt.Sprint("hall-", i%herdHalls), Slots: 16}
		h.servers = append(h.servers, &s)
		h.engines[s.ID] = &engine{}
	}
	for i := range herdNodes {
		publish := func(s share.Record, _ float64) { h.publish(i, s) }
		h.nodes = append(h.nodes, route.NewBalancer(fmt.Sprint("hall-", i%herdHalls), func(string) {}, route.WithPublisher(publish)))
	}
	return h
}

// publish delivers a send to the other nodes after a random delay.
func (h *herd) publish(from int, s share.Record) {
	if rand.Float64() > publishedShare {
		return
	}
	sent := time.Now()
	h.events.after(rand.N(maxPublishDelay), func() {
		s.AgeMillis = uint32(time.Since(sent).Milliseconds())
		for i, n := range h.nodes {
			if i != from {
				n.ObserveSend(s)
			}
		}
	})
}

// request sends a request from a random node, with a short or a long prompt, for a
// fast or a slow model.
func (h *herd) request(measure bool) {
	node := h.nodes[rand.IntN(len(h.nodes))]
	tokens := []int{800, 2400, 12000}[rand.IntN(3)]
	rate := []float64{0.0065, 0.033}[rand.IntN(10)/7]
	id := fmt.Sprint(rand.Uint64())
	assignment, err := node.Choose(route.Task{
		Servers: h.servers, Kind: fmt.Sprint(rate), Initial: route.InitialEstimate{Base: 10, Rate: rate},
		Prompt: prefix.NewChain("m", []prefix.Part{{ID: id, Tokens: tokens}}), PromptTokens: tokens, BodyBytes: tokens,
	})
	if err != nil {
		panic(err)
	}
	sent := time.Now()
	e := h.engines[assignment.Server().ID]
	e.arrivals = append(e.arrivals, sent)
	if e.freeAt.Before(sent) {
		e.freeAt = sent
	}
	wait := e.freeAt.Sub(sent)
	e.freeAt = e.freeAt.Add(time.Duration(rate * float64(tokens) * float64(time.Millisecond)))
	e.waiting++
	h.events.after(e.freeAt.Sub(sent), func() { e.waiting-- })
	h.events.after(e.freeAt.Sub(sent)+nonblockingTime, func() {
		assignment.RecordLoad(route.Load{Running: 4, Waiting: e.waiting, Slots: 16})
		assignment.RecordResponseStart()
		assignment.End(route.OutcomeOK)
		if measure {
			h.measured++
			h.waited += wait
		}
	})
}

// run simulates the deployment. It returns the average time that requests waited,
// and the share of them that were at least the sixth to reach their server within
// burstWindow.
func (h *herd) run() (wait time.Duration, burstShare float64) {
	start := time.Now()
	for at := time.Duration(0); at < herdTime; at += time.Duration(rand.ExpFloat64() / herdRate * float64(time.Second)) {
		h.events.after(at, func() { h.request(at > time.Second) })
	}
	h.events.run()
	arrived, sixth := 0, 0
	for _, e := range h.engines {
		for i, at := range e.arrivals {
			if at.Sub(start) < time.Second {
				continue
			}
			arrived++
			if i >= 5 && at.Sub(e.arrivals[i-5]) < burstWindow {
				sixth++
			}
		}
	}
	return h.waited / time.Duration(h.measured), float64(sixth) / float64(arrived)
}

// TestHerd checks that nodes with the same delayed information do not all send to
// the server that looks best by it.
func TestHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wait, burstShare := newHerd().run()
		t.Logf("average wait %v, share of requests in bursts %.4f", wait, burstShare)
		must.Less(t, 0.1, burstShare)
		must.Less(t, 150*time.Millisecond, wait)
	})
}
