package throttle_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/limitrule"
	"github.com/violettally/violettally/internal/slidingwindow"
	"github.com/violettally/violettally/notice"
)

var (
	allLoads    = flag.Bool("all", false, "test the faults with all numbers of nodes and servers, and more seeds")
	faultSeed   = flag.Uint64("seed", 0, "first seed of the tests of faults")
	faultDetail = flag.Bool("detail", false, "log what servers got in each test of a fault")
)

// startEvery is the time between two restarts of a server that starts again and again.
const startEvery = 4 * time.Second

// TestLimitOfServersThatStartAgain checks that servers which name limits get no more than these allow after
// they have come back as other incarnations, of which nodes learn at different times.
func TestLimitOfServersThatStartAgain(t *testing.T) {
	testFault(t, func(c *cluster) {
		c.nameLimits()
		c.run(limitrule.AdaptTime, nil)
		c.clear()
		c.run(startEvery/2, nil)
		for range 3 {
			for _, s := range c.limited() {
				c.startAgain(s)
			}
			c.run(startEvery, nil)
		}
	})
}

// TestLimitWhileNodesStandStill checks that nodes which have stood still, and then read answers and reports
// that were written before, don't end the limits that servers name since.
func TestLimitWhileNodesStandStill(t *testing.T) {
	const before, length = 300 * time.Millisecond, 300*time.Millisecond + limitrule.AdaptTime + time.Second
	testFault(t, func(c *cluster) {
		c.standStill(length)
		c.run(before, nil)
		c.nameLimits()
		c.run(limitrule.AdaptTime, nil)
		c.clear()
		c.run(3*limitrule.Window, nil)
	})
}

// TestLimitNamedAgainWhileNodesStandStill checks the same for servers that have named a limit before, and
// none for a while, of whose end reports are still under way.
func TestLimitNamedAgainWhileNodesStandStill(t *testing.T) {
	testFault(t, func(c *cluster) {
		c.nameLimits()
		c.run(limitrule.Window, nil)
		for _, s := range c.servers {
			s.limit = notice.Unlimited
		}
		c.run(time.Second, nil)
		c.standStill(limitrule.AdaptTime + 2*time.Second)
		c.run(time.Second, nil)
		c.nameLimits()
		c.run(limitrule.AdaptTime, nil)
		c.clear()
		c.run(3*limitrule.Window, nil)
	})
}

// TestLimitThatFalls checks that servers whose limits fall for good get no more than the lower ones allow,
// though nodes that stood still read later what was said before.
func TestLimitThatFalls(t *testing.T) {
	const before = 20.0
	testFault(t, func(c *cluster) {
		for _, s := range c.limited() {
			s.limit = before
		}
		c.run(limitrule.AdaptTime, nil)
		c.standStill(limitrule.AdaptTime + time.Second)
		c.run(300*time.Millisecond, nil)
		c.nameLimits()
		c.run(limitrule.AdaptTime, nil)
		c.clear()
		c.run(3*limitrule.Window, nil)
	})
}

// faultLimits are the limits that servers name in the tests of faults, in requests a second.
var faultLimits = []float64{1, 2, 3, 8}

// limited returns the servers that name limits in the tests of faults, four fifths of all.
func (c *cluster) limited() []*server { return c.servers[len(c.servers)/5:] }

// nameLimits makes those servers name their limits.
func (c *cluster) nameLimits() {
	for i, s := range c.limited() {
		s.limit = faultLimits[i%len(faultLimits)]
	}
}

// standStill lets a tenth of the nodes, one at least, do nothing and read nothing for a time.
func (c *cluster) standStill(d time.Duration) {
	for i := range (len(c.nodes) + 9) / 10 {
		c.nodes[i].stillUntil = time.Now().Add(d)
	}
}

// testFault lets the fault happen to clusters of different sizes and loads, and checks the rule for the
// requests since the fault has last cleared them.
func testFault(t *testing.T, fault func(*cluster)) {
	type load struct {
		nodes, servers int
		// demand is in requests a second on each server; zero for as many as the nodes may send.
		demand float64
	}
	loads := []load{{6, 20, 0}, {6, 20, 20}, {61, 20, 0}, {61, 20, 20}}
	seeds := uint64(1)
	if *allLoads {
		seeds = 3
		for _, nodes := range []int{6, 61, 984} {
			loads = append(loads, load{nodes, 112, 5}, load{nodes, 112, 20})
		}
	}
	for _, l := range loads {
		for seed := *faultSeed; seed < *faultSeed+seeds; seed++ {
			t.Run(fmt.Sprintf("%d nodes, %d servers, demand %g, seed %d", l.nodes, l.servers, l.demand, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(l.nodes, l.servers, 20*time.Millisecond, seed)
					defer c.timers.Close()
					c.demand = l.demand * float64(l.servers)
					c.run(settled, nil)
					began := time.Now()
					fault(c)
					c.checkFault(t, time.Since(began))
				})
			})
		}
	}
}

// checkFault checks the rule for all servers that name limits, and that they get half of what they take
// at least.
func (c *cluster) checkFault(t *testing.T, length time.Duration) {
	most, broken := make(map[float64]int), 0
	limited, served := 0.0, 0
	for _, s := range c.limited() {
		inWindow := slidingwindow.Most(s.arrivals, limitrule.Window)
		most[s.limit] = max(most[s.limit], inWindow)
		if float64(inWindow) > limitrule.Allowed(s.limit) {
			broken++
		}
		limited += s.limit
		served += len(s.arrivals)
	}
	if *faultDetail {
		t.Logf("broken at %d of %d servers; most in a window by limit %v; %d counted of %.0f a second in %s", broken, len(c.limited()), most, served, limited, length)
	}
	must.Zero(t, broken, must.Sprintf("servers with more requests than allowed; most in a window by limit: %v", most))
}
