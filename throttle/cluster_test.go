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
	// answerTime is how long a server takes to answer, newsTime the longest time that a report
	// takes from one node to another.
	answerTime = 60 * time.Millisecond
	newsTime   = 400 * time.Millisecond
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
	c := newCluster(nodes, step, seed)
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
	list     []*registry.Server
	nodeList nodelist.List
	nodes    []*node
	// events are answers and reports under way.
	events []event
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

// server is a backend server that may name a limit.
type server struct {
	registry.Server
	limit float64
	// arrivals holds the requests that count for the rule.
	arrivals []time.Time
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
	// toldAt is when the node first passed on an answer of each server that named a limit.
	toldAt map[*server]time.Time
	// disturbedAt is when the node was last started, or its link to the store cut or mended.
	disturbedAt time.Time
}

func newCluster(nodes int, step time.Duration, seed uint64) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 0)), timers: timer.New(), step: step}
	for i := range 7 {
		s := &server{Server: registry.Server{ID: fmt.Sprint("s-", i), Service: "s", DataHall: fmt.Sprint(i % (halls + 1))}, limit: notice.Unlimited}
		c.servers = append(c.servers, s)
		c.list = append(c.list, &s.Server)
	}
	for i := range nodes {
		n := &node{Node: c.nodeList.Add(view.Member{VM: fmt.Sprint("n-", i), DataHall: fmt.Sprint(i % halls)}), c: c}
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

// report tells the other nodes, which learn of it at different times or not at all.
func (n *node) report(server uint64, said notice.Notice) {
	heard := time.Now()
	for _, other := range n.c.nodes {
		if other == n || n.c.random.IntN(20) == 0 {
			continue
		}
		limiter := other.limiter
		n.c.after(time.Duration(n.c.random.Float64()*float64(newsTime)), func() { limiter.ObserveReport(server, said.Value, time.Since(heard)) })
	}
}

func (c *cluster) after(d time.Duration, do func()) {
	c.events = append(c.events, event{time.Now().Add(d), do})
}

// happen does what is due.
func (c *cluster) happen() {
	events := c.events
	c.events = nil
	for _, e := range events {
		if time.Now().Before(e.at) {
			c.events = append(c.events, e)
		} else {
			e.do()
		}
	}
}

// run lets all nodes send as much as they may for a time.
func (c *cluster) run(d time.Duration, disturb func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(c.step) {
		if disturb != nil && c.random.IntN(int(100*time.Millisecond/c.step)+1) == 0 {
			disturb()
		}
		c.happen()
		for _, n := range c.nodes {
			if n.running {
				n.SetLag(time.Duration(c.random.Float64() * float64(mirror.MaxStaleness)))
				n.roster.Refresh()
				n.send()
			}
		}
	}
}

// send sends one request to each server that may get one.
func (n *node) send() {
	for _, s := range n.limiter.Filter(n.c.list) {
		if !n.limiter.Take(*s) {
			continue
		}
		target := n.c.servers[slices.Index(n.c.list, s)]
		now := time.Now()
		if told, ok := n.toldAt[target]; ok && now.Sub(told) >= toldFor && now.Sub(n.disturbedAt) >= excusedFor {
			target.arrivals = append(target.arrivals, now)
		}
		limiter := n.limiter
		n.c.after(answerTime, func() {
			limiter.Observe(target.Server, target.limit)
			if _, ok := n.toldAt[target]; !ok && target.limit != notice.Unlimited && limiter == n.limiter {
				n.toldAt[target] = time.Now()
			}
		})
	}
}

// clear forgets the requests so far.
func (c *cluster) clear() {
	for _, s := range c.servers {
		s.arrivals = nil
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
