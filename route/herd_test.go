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

// A large deployment: hundreds of nodes, each with two or three requests a second,
// place on servers that read one prompt at a time, and hear of others' sends late
// and not of all.
const (
	herdHalls   = 5
	herdNodes   = 295
	herdServers = 105
	// herdTime is how long requests come, of which the first second is not
	// counted, and herdRate how many a second.
	herdTime = 6 * time.Second
	herdRate = 1000
	// heardShare of the sends are heard of by other nodes, heardLate at most
	// after they were made.
	heardShare = 1.0
	heardLate  = 250 * time.Millisecond
	// besideReading is the part of an answer's time in which its engine reads
	// other prompts.
	besideReading = 47 * time.Millisecond
	// clumpTime is the time in which arrivals at one server count as a clump.
	clumpTime = 100 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

// events are in the order of their times.
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

// after lets something happen.
func (e *events) after(d time.Duration, do func()) { heap.Push(e, event{time.Now().Add(d), do}) }

// run lets time pass until nothing is left to happen.
func (e *events) run() {
	for e.Len() > 0 {
		next := heap.Pop(e).(event)
		time.Sleep(time.Until(next.at))
		next.do()
	}
}

// prompts is a server that reads one prompt after the other.
type prompts struct {
	free     time.Time
	waiting  int
	arrivals []time.Time
}

// herd is the deployment while it is played.
type herd struct {
	events  events
	nodes   []*route.Balancer
	servers []registry.Server
	engines map[string]*prompts
	// waited is how long requests waited for others' prompts to be read, of those
	// that counted.
	waited  time.Duration
	counted int
}

// newHerd returns a deployment whose nodes tell each other what they send.
func newHerd() *herd {
	h := &herd{engines: make(map[string]*prompts)}
	for i := range herdServers {
		s := registry.Server{ID: fmt.Sprint("i-", i), DataHall: fmt.Sprint("hall-", i%herdHalls), Slots: 16}
		h.servers = append(h.servers, s)
		h.engines[s.ID] = &prompts{}
	}
	for i := range herdNodes {
		tell := func(s share.Send, _ float64) { h.tell(i, s) }
		h.nodes = append(h.nodes, route.NewBalancer(fmt.Sprint("hall-", i%herdHalls), func(string) {}, route.WithAnnouncer(tell)))
	}
	return h
}

// tell lets the other nodes hear of a send.
func (h *herd) tell(from int, s share.Send) {
	if rand.Float64() > heardShare {
		return
	}
	sent := time.Now()
	h.events.after(rand.N(heardLate), func() {
		s.AgeMillis = uint32(time.Since(sent).Milliseconds())
		for i, n := range h.nodes {
			if i != from {
				n.ObserveSend(s)
			}
		}
	})
}

// ask lets one node place a request: a short prompt or a long one, for a quick model
// or one that takes ten times as long. It counts if told to.
func (h *herd) ask(counts bool) {
	node := h.nodes[rand.IntN(len(h.nodes))]
	tokens := []int{800, 2400, 12000}[rand.IntN(3)]
	rate := []float64{0.0065, 0.033}[rand.IntN(10)/7]
	id := fmt.Sprint(rand.Uint64())
	use, err := node.Choose(route.Task{
		Servers: h.servers, Kind: fmt.Sprint(rate), Initial: route.InitialEstimate{Base: 10, Rate: rate},
		Prompt: prefix.NewChain("m", []prefix.Part{{ID: id, Tokens: tokens}}), PromptTokens: tokens, BodyBytes: tokens,
	})
	if err != nil {
		panic(err)
	}
	began := time.Now()
	e := h.engines[use.Server().ID]
	e.arrivals = append(e.arrivals, began)
	if e.free.Before(began) {
		e.free = began
	}
	wait := e.free.Sub(began)
	e.free = e.free.Add(time.Duration(rate * float64(tokens) * float64(time.Millisecond)))
	e.waiting++
	h.events.after(e.free.Sub(began), func() { e.waiting-- })
	h.events.after(e.free.Sub(began)+besideReading, func() {
		use.RecordLoad(route.Load{Running: 4, Waiting: e.waiting, Slots: 16})
		use.RecordResponseStart()
		use.End(route.OutcomeOK)
		if counts {
			h.counted++
			h.waited += wait
		}
	})
}

// play lets requests come, and returns how long they waited on average, and which
// share came to a server as the sixth within clumpTime or later.
func (h *herd) play() (wait time.Duration, clumped float64) {
	start := time.Now()
	for at := time.Duration(0); at < herdTime; at += time.Duration(rand.ExpFloat64() / herdRate * float64(time.Second)) {
		h.events.after(at, func() { h.ask(at > time.Second) })
	}
	h.events.run()
	arrived, sixth := 0, 0
	for _, e := range h.engines {
		for i, at := range e.arrivals {
			if at.Sub(start) < time.Second {
				continue
			}
			arrived++
			if i >= 5 && at.Sub(e.arrivals[i-5]) < clumpTime {
				sixth++
			}
		}
	}
	return h.waited / time.Duration(h.counted), float64(sixth) / float64(arrived)
}

// TestHerd: nodes that see the same late news do not all send to the server that
// looks best in it.
func TestHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wait, clumped := newHerd().play()
		t.Logf("wait %v, in clumps %.4f", wait, clumped)
		must.Less(t, 0.1, clumped)
		must.Less(t, 150*time.Millisecond, wait)
	})
}
