package throttle_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/limitrule"
	"github.com/violettally/violettally/internal/nodelist"
	"github.com/violettally/violettally/internal/slidingwindow"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

const (
	halls = 3
	// settled is the time after which all nodes know each other.
	settled = 5 * time.Second
	// toldFor is how long before a request a node must have been told for it to count, and
	// excusedFor how long before it the node must have run undisturbed.
	toldFor    = 500 * time.Millisecond
	excusedFor = 3 * time.Second
	// answerTime is how long a server takes to answer, half of it until it writes what it says of
	// itself; newsTime is the longest time that a report takes from one node to another, and
	// entryTime the longest until a node knows that a server has started again.
	answerTime = 60 * time.Millisecond
	newsTime   = 400 * time.Millisecond
	entryTime  = time.Second
)

// TestLimitOfAllNodes checks that servers get no more requests than the limits that they name
// allow, from all nodes together and at the greatest demand, while nodes start, stop, are killed
// and cut off, and learn of each other and of the limits at different times; that they get what
// they can take in calm times; and that all nodes learn of a limit's end.
func TestLimitOfAllNodes(t *testing.T) {
	tests := []struct {
		nodes int
		step  time.Duration
		seeds uint64
	}{
		{1, 20 * time.Millisecond, 2},
		{6, 20 * time.Millisecond, 20},
		{61, 50 * time.Millisecond, 3},
		{300, 200 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		for seed := range tt.seeds {
			t.Run(fmt.Sprintf("%d nodes, seed %d", tt.nodes, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testCluster(t, tt.nodes, tt.step, seed) })
			})
		}
	}
}

func testCluster(t *testing.T, nodes int, step time.Duration, seed uint64) {
	c := newCluster(nodes, 7, step, seed)
	defer c.timers.Close()
	c.run(settled, nil) // nobody has named a limit
	for i, s := range c.servers {
		s.limit = []float64{0, 0.5, 1, 2, 2.7, 8, 40}[i]
	}
	c.run(limitrule.AdaptTime, nil)
	c.clear()
	c.run(2*limitrule.Window, nil)
	for _, s := range c.servers {
		s.checkRate(t, "calm")
		must.GreaterEq(t, int(0.8*s.limit*limitrule.Window.Seconds()), len(s.arrivals)/2, must.Sprintf("limit %g, least in a calm window", s.limit))
	}
	c.run(15*time.Second, c.disturb)
	for _, s := range c.servers {
		s.checkRate(t, "disturbed")
	}
	c.restartAll()
	c.run(limitrule.AdaptTime, nil)
	c.clear()
	c.run(3*limitrule.Window, nil)
	for _, s := range c.servers {
		s.checkRate(t, "after all were restarted")
	}
	for _, s := range c.servers {
		s.limit = notice.Unlimited
	}
	c.run(3*settled, nil)
	for _, n := range c.nodes {
		must.Eq(t, 0, n.limiter.CountLimited(), must.Sprintf("limits that %s knows after their end", n.Self().VM))
	}
}

// cluster is a set of nodes that share servers.
type cluster struct {
	random   *rand.Rand
	timers   *timer.Service
	step     time.Duration
	servers  []*server
	nodeList nodelist.List
	nodes    []*node
	// demand is the number of requests a second that clients send, to all servers alike; zero for as
	// many as the nodes may pass on.
	demand float64
	// events are answers and reports under way.
	events []event
}

// event is something that happens at a time, or later if its node stands still then.
type event struct {
	at   time.Time
	node *node
	do   func()
}

// server is a backend server that may name a limit.
type server struct {
	// Server is the entry of the present incarnation.
	registry.Server
	limit float64
	// arrivals holds the requests that count for the rule, served is how many there were of all.
	arrivals []time.Time
	served   int
}

// checkRate checks the rule on all windows.
func (s *server) checkRate(t *testing.T, when string) {
	must.LessEq(t, limitrule.Allowed(s.limit), float64(slidingwindow.Most(s.arrivals, limitrule.Window)), must.Sprintf("limit %g, %s", s.limit, when))
}

// node is one VM.
type node struct {
	*nodelist.Node
	c       *cluster
	roster  *owner.Roster
	limiter *limiter
	running bool
	// entries are the servers as this node knows them.
	entries []*registry.Server
	// stillUntil is until when the node does nothing and reads nothing.
	stillUntil time.Time
	// toldAt is when the node first passed on an answer of each server that named a limit.
	toldAt map[*server]time.Time
	// disturbedAt is when the node was last started, or its link to the store cut or mended.
	disturbedAt time.Time
}

func newCluster(nodes, servers int, step time.Duration, seed uint64) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 0)), timers: timer.New(), step: step}
	for i := range servers {
		s := &server{Server: registry.Server{ID: fmt.Sprint("s-", i), Service: "s", DataHall: fmt.Sprint(i % (halls + 1))}, limit: notice.Unlimited}
		c.servers = append(c.servers, s)
	}
	for i := range nodes {
		n := &node{Node: c.nodeList.Add(view.Member{VM: fmt.Sprint("n-", i), DataHall: fmt.Sprint(i % halls)}), c: c}
		for _, s := range c.servers {
			entry := s.Server
			n.entries = append(n.entries, &entry)
		}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	return c
}

func (n *node) start() {
	n.roster = owner.NewRoster(n.Self(), n, n.c.timers)
	n.limiter = newLimiter(n.roster, n.c.timers, notice.WithReporter(n.report))
	n.running, n.disturbedAt = true, time.Now()
	n.toldAt = make(map[*server]time.Time)
	n.Mend()
	n.SetListed(true)
}

// report tells the other nodes, which learn of it at different times or not at all. They know how long the
// report waited here, and a bound alone of how long it was under way.
func (n *node) report(r notice.Report) {
	published := time.Now()
	for _, other := range n.c.nodes {
		if other == n || n.c.random.IntN(20) == 0 {
			continue
		}
		limiter := other.limiter
		waited := time.Duration(n.c.random.Float64() * float64(newsTime/2))
		underWay := time.Duration(n.c.random.Float64() * float64(newsTime/2))
		n.c.after(waited+underWay, other, func() {
			r := r
			r.Age += waited
			r.Doubt += time.Since(published) + time.Duration(n.c.random.Float64()*float64(newsTime))
			limiter.board.ObserveReport(r)
		})
	}
}

func (c *cluster) after(d time.Duration, n *node, do func()) {
	c.events = append(c.events, event{time.Now().Add(d), n, do})
}

// happen does what is due, in any order: a node reads its connections one beside the other.
func (c *cluster) happen() {
	var due []event
	c.events = slices.DeleteFunc(c.events, func(e event) bool {
		waits := time.Now().Before(e.at) || e.node.standsStill()
		if !waits {
			due = append(due, e)
		}
		return !waits
	})
	c.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, e := range due {
		e.do()
	}
}

// run lets all nodes send as much as they may for a time, or as much as clients ask for.
func (c *cluster) run(d time.Duration, disturb func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(c.step) {
		if disturb != nil && c.random.IntN(int(100*time.Millisecond/c.step)+1) == 0 {
			disturb()
		}
		c.happen()
		for _, n := range c.nodes {
			if !n.running || n.standsStill() {
				continue
			}
			n.SetLag(time.Duration(c.random.Float64() * float64(mirror.MaxStaleness)))
			n.roster.Refresh()
			if c.demand == 0 {
				n.sendAll()
			}
		}
		c.sendDemand()
	}
}

// sendDemand sends what clients ask for in a step, to random nodes.
func (c *cluster) sendDemand() {
	requests := c.demand * c.step.Seconds()
	for ; requests > c.random.Float64(); requests-- {
		n := c.nodes[c.random.IntN(len(c.nodes))]
		if !n.running || n.standsStill() {
			continue
		}
		if free := n.limiter.Filter(n.entries); len(free) > 0 {
			n.send(free[c.random.IntN(len(free))])
		}
	}
}

// sendAll sends one request to each server that may get one.
func (n *node) sendAll() {
	for _, s := range n.limiter.Filter(n.entries) {
		n.send(s)
	}
}

// send sends one request to a server, if that may get one.
func (n *node) send(s *registry.Server) {
	if !n.limiter.Take(*s) {
		return
	}
	target := n.c.servers[slices.Index(n.entries, s)]
	sent, limiter := time.Now(), n.limiter
	target.served++
	if told, ok := n.toldAt[target]; ok && sent.Sub(told) >= toldFor && sent.Sub(n.disturbedAt) >= excusedFor {
		target.arrivals = append(target.arrivals, sent)
	}
	n.c.after(answerTime/2, nil, func() {
		said := target.limit
		n.c.after(answerTime/2, n, func() {
			limiter.ObserveAnswer(*s, said, time.Since(sent))
			if _, ok := n.toldAt[target]; !ok && said != notice.Unlimited && limiter == n.limiter {
				n.toldAt[target] = time.Now()
			}
		})
	})
}

// standsStill reports whether the node does nothing now. Nothing else than a node ever stands still.
func (n *node) standsStill() bool { return n != nil && time.Now().Before(n.stillUntil) }

// startAgain makes a server its next incarnation, of which nodes learn at different times.
func (c *cluster) startAgain(s *server) {
	s.Server = registry.Server{ID: s.ID, Born: s.Born + 1, Service: s.Service, DataHall: s.DataHall}
	for _, n := range c.nodes {
		entry := s.Server
		c.after(time.Duration(c.random.Float64()*float64(entryTime)), n, func() {
			n.entries = slices.Clone(n.entries)
			n.entries[slices.Index(c.servers, s)] = &entry
		})
	}
}

// clear forgets the requests so far.
func (c *cluster) clear() {
	for _, s := range c.servers {
		s.arrivals, s.served = nil, 0
	}
}

// disturb does something to a random node.
func (c *cluster) disturb() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(12) {
	case 0: // killed; its entry stays until its lease expires
		n.running = false
	case 1: // stopped
		n.running = false
		n.SetListed(false)
	case 2: // its lease expires, though it may run
		n.SetListed(false)
	case 3:
		if n.Cut() {
			n.disturbedAt = time.Now()
		}
	case 4, 5:
		if !n.running {
			n.start()
			return
		}
		n.disturbedAt = time.Now()
		n.Mend()
		n.SetListed(true)
	}
}

// restartAll kills all nodes and starts them at once.
func (c *cluster) restartAll() {
	for _, n := range c.nodes {
		n.start()
	}
}
