package rejection_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/limitrule"
	"github.com/violettally/violettally/notice"
)

const (
	faultSlots = 6
	faultWork  = 120 * time.Millisecond
	// faultTime is how long requests are sent while things go wrong, longFaultTime where they rarely do.
	faultTime     = 20 * time.Second
	longFaultTime = 2 * faultTime
)

// allCases runs these tests at all loads, which takes some minutes with the race detector.
var allCases = flag.Bool("all", false, "test all numbers of nodes, demands and limits")

// The size of the model can be set for trials.
var (
	nodesOfCases   = flag.Int("nodes", 0, "number of nodes of the tests of faults; zero for the usual ones")
	serversOfCases = flag.Int("servers", 12, "number of servers of the tests of faults")
)

var (
	// faultNodes, faultDemands and faultLimits are the loads that are tested without -all. The demand is
	// given in what the servers can run.
	faultNodes   = []int{61}
	faultDemands = []float64{0.9, 2}
	faultLimits  = []float64{1}

	allFaultNodes   = []int{6, 61}
	allFaultDemands = []float64{0.6, 0.9, 1.2, 1.5, 2}
	allFaultLimits  = []float64{0, 1, 3, 5, 8}
)

// faultCase is one load on a cluster in which something goes wrong.
type faultCase struct {
	nodes         int
	demand, limit float64
}

// faultCases returns the loads to test.
func faultCases() []faultCase {
	nodes, demands, limits := faultNodes, faultDemands, faultLimits
	if *allCases {
		nodes, demands, limits = allFaultNodes, allFaultDemands, allFaultLimits
	}
	if *nodesOfCases > 0 {
		nodes = []int{*nodesOfCases}
	}
	var cases []faultCase
	for _, n := range nodes {
		for _, demand := range demands {
			for _, limit := range limits {
				cases = append(cases, faultCase{n, demand, limit})
			}
		}
	}
	return cases
}

// testFaults checks for each load that servers don't end again and again, and that they are used. Plan
// schedules what goes wrong.
func testFaults(t *testing.T, length time.Duration, plan func(c *cluster)) {
	for _, tt := range faultCases() {
		t.Run(fmt.Sprintf("%d nodes, demand %g, limit %g", tt.nodes, tt.demand, tt.limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := newCluster(ctx, tt.nodes, *serversOfCases, faultSlots, faultWork, tt.limit)
				defer c.timers.Close()
				defer synctest.Wait()
				defer cancel()
				perSecond := tt.demand * float64(len(c.servers)*faultSlots) / faultWork.Seconds()
				c.run(perSecond, false, limitrule.AdaptTime)
				c.begin()
				plan(c)
				c.run(perSecond, false, length)
				possible := min(1, tt.demand) * float64(len(c.servers)*faultSlots) / faultWork.Seconds() * length.Seconds()
				t.Logf("%d served of %.0f, %d rejected %v, %d crashes", c.served, possible, c.rejected, c.rejectedBy, c.crashes)
				must.LessEq(t, limitrule.AllowedCrashes(len(c.servers)), float64(c.crashes), must.Sprint("crashes"))
				must.GreaterEq(t, possible/2, float64(c.served), must.Sprint("requests served"))
			})
		})
	}
}

// TestServersEndAgainAfterRestart checks that servers which are lost do not end again and again after
// they have come back as incarnations that nobody has heard of.
func TestServersEndAgainAfterRestart(t *testing.T) {
	testFaults(t, faultTime, func(c *cluster) {
		for _, s := range c.servers[:2] {
			c.after(time.Second, func() { c.kill(s) })
		}
	})
}

// TestServersEndAfterReplacement checks that servers do not end which replace all those that named the
// limit.
func TestServersEndAfterReplacement(t *testing.T) {
	testFaults(t, faultTime, func(c *cluster) {
		for i := range c.servers {
			c.after(time.Duration(i+1)*time.Second, func() { c.replace(i) })
		}
	})
}

// TestServersEndWhileListsDiffer checks that servers do not end while half of the nodes miss others in
// their lists, so that two nodes give out the places of one server.
func TestServersEndWhileListsDiffer(t *testing.T) {
	testFaults(t, longFaultTime, func(c *cluster) {
		unknown := make(map[string]bool)
		for _, n := range c.nodes {
			if vm := n.Self().VM; strings.HasSuffix(vm, "1") || strings.HasSuffix(vm, "7") {
				unknown[vm] = true
			}
		}
		for at := 3 * time.Second; at < longFaultTime; at += 6 * time.Second {
			c.after(at, func() { c.forget(unknown) })
			c.after(at+3*time.Second, func() { c.forget(nil) })
		}
	})
}

// TestServersEndUnderGivenUpRequests checks that servers do not end because they work on requests that
// their nodes have given up.
func TestServersEndUnderGivenUpRequests(t *testing.T) {
	testFaults(t, faultTime, func(c *cluster) { c.givenUp = 0.1 })
}

// TestServersEndAfterCut checks that servers do not end because nodes are cut off from them and give up
// what runs there.
func TestServersEndAfterCut(t *testing.T) {
	testFaults(t, faultTime, func(c *cluster) {
		for at := 2 * time.Second; at < faultTime; at += 3 * time.Second {
			c.after(at, func() { c.cut(c.nodes[:len(c.nodes)/3]) })
		}
	})
}

// TestServersEndAfterSilence checks that servers do not end because they fall silent for a second.
func TestServersEndAfterSilence(t *testing.T) {
	testFaults(t, faultTime, func(c *cluster) {
		for i, s := range c.servers {
			c.after(time.Duration(i+1)*time.Second, func() { c.silence(s) })
		}
	})
}

// TestServersEndAsNodesStart checks that servers do not end under the requests of nodes that have just
// started.
func TestServersEndAsNodesStart(t *testing.T) {
	testFaults(t, faultTime, func(c *cluster) {
		for at := time.Second; at < faultTime; at += 3 * time.Second {
			c.after(at, func() { c.restart(c.nodes[int(at/time.Second)%len(c.nodes)]) })
		}
	})
}

// TestServersEndAfterHallIsLost checks that servers do not end after all nodes and servers of a data hall
// were lost at once and came back.
func TestServersEndAfterHallIsLost(t *testing.T) {
	testFaults(t, faultTime, func(c *cluster) {
		c.after(2*time.Second, func() {
			for i, s := range c.servers {
				if i%halls == 0 {
					c.kill(s)
				}
			}
			for i, n := range c.nodes {
				if i%halls == 0 {
					c.restart(n)
				}
			}
		})
	})
}

// TestServersEndAsLimitsComeAndGo checks that servers do not end while they name limits again and again, amid
// bursts of requests.
func TestServersEndAsLimitsComeAndGo(t *testing.T) {
	testFaults(t, faultTime, func(c *cluster) {
		limit := c.limit
		for at := 2 * time.Second; at < faultTime; at += 8 * time.Second {
			c.after(at, func() { c.burst = 3 })
			c.after(at+time.Second, func() { c.burst = 1 })
			c.after(at+2*time.Second, func() { c.limit, c.begun = notice.Unlimited, false })
			c.after(at+4*time.Second, func() { c.limit, c.burst = limit, 2 })
			c.after(at+4*time.Second+limitrule.AdaptTime, func() { c.begun, c.burst = true, 1 })
		}
	})
}

// TestServersEndWhileNodesStandStill checks that servers do not end because nodes stand still again and again, and
// then read what was said and asked before.
func TestServersEndWhileNodesStandStill(t *testing.T) {
	testFaults(t, faultTime, func(c *cluster) {
		for at := 2 * time.Second; at < faultTime; at += 4 * time.Second {
			c.after(at, func() { c.standStill(c.someNodes(), 3*time.Second) })
		}
	})
}

// TestServersEndAsLimitIsNamedWhileNodesStandStill checks the same for nodes that read what servers said before
// they named the limit.
func TestServersEndAsLimitIsNamedWhileNodesStandStill(t *testing.T) {
	testFaults(t, faultTime, func(c *cluster) {
		limit := c.limit
		for at := time.Second; at < faultTime; at += 16 * time.Second {
			c.after(at, func() { c.limit, c.begun = notice.Unlimited, false })
			c.after(at+5*time.Second, func() { c.standStill(c.someNodes(), limitrule.AdaptTime+2*time.Second) })
			c.after(at+6*time.Second, func() { c.limit = limit })
			c.after(at+6*time.Second+limitrule.AdaptTime, func() { c.begun = true })
		}
	})
}

// someNodes returns a tenth of the nodes, one at least.
func (c *cluster) someNodes() []*node {
	count := (len(c.nodes) + 9) / 10
	first := rand.IntN(len(c.nodes) - count + 1)
	return c.nodes[first : first+count]
}

// replace replaces a server by one with another ID; the old one serves on.
func (c *cluster) replace(i int) {
	s := &server{Server: c.servers[i].Server}
	s.ID += "-next"
	c.servers[i] = s
	c.announce(s)
}

// forget makes half of the nodes miss others in their lists.
func (c *cluster) forget(unknown map[string]bool) {
	for _, n := range c.nodes[:len(c.nodes)/2] {
		n.forget(unknown)
	}
}

// stallTime is how long nodes wait for a server that is silent.
const stallTime = 300 * time.Millisecond

// cut resets the connections of nodes to the servers: they give up what runs there, and the servers don't
// hear of it.
func (c *cluster) cut(nodes []*node) {
	for _, s := range c.servers {
		for _, q := range s.requests {
			if slices.Contains(nodes, q.node) {
				c.abandon(q)
			}
		}
	}
}

// silence makes a server do nothing for a second. Nodes give up what runs there.
func (c *cluster) silence(s *server) {
	s.silentSince, s.silentUntil = time.Now(), time.Now().Add(time.Second)
	for _, q := range s.requests {
		c.after(stallTime, func() { c.abandon(q) })
	}
}
