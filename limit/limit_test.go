package limit_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/limit"
	"github.com/violettally/violettally/timer"
)

const accountLimit = 100.0

// testCluster consists of limiters that share one grantor, which can be made
// unreachable.
type testCluster struct {
	grantor     *limit.Grantor
	nodes       []*limit.Limiter
	grantorDown atomic.Bool
	epoch       atomic.Int64
}

// nodeClient is one node's client of the grantor.
type nodeClient struct {
	cluster *testCluster
	name    string
}

func (l nodeClient) Members() int { return len(l.cluster.nodes) }

func (l nodeClient) RequestLease(_ context.Context, request limit.LeaseRequest) (limit.Grant, error) {
	if l.cluster.grantorDown.Load() {
		return limit.Grant{}, fmt.Errorf("the grantor is unreachable")
	}
	request.Node, request.Epoch = l.name, l.cluster.epoch.Load()
	return l.cluster.grantor.Grant(request), nil
}

func newTestCluster(t *testing.T, n int) *testCluster {
	c := &testCluster{}
	timers := timer.New()
	t.Cleanup(timers.Close)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	c.grantor = limit.NewGrantor(func(string) float64 { return accountLimit }, timers)
	for i := range n {
		c.nodes = append(c.nodes, limit.New(nodeClient{c, fmt.Sprint(i)}, timers))
	}
	for _, node := range c.nodes {
		go node.Run(ctx)
	}
	return c
}

// offer sends requests to the nodes at the given rates (per second) for d and
// returns how many were admitted per second.
func (c *testCluster) offer(d time.Duration, rates ...float64) float64 {
	account := &config.Account{Name: "desk", Limits: config.Limits{RequestsPerSecond: accountLimit, Burst: 20}}
	const step = 10 * time.Millisecond
	owed := make([]float64, len(rates))
	admitted := 0
	for range int(d / step) {
		for i, rate := range rates {
			for owed[i] += rate * step.Seconds(); owed[i] >= 1; owed[i]-- {
				if _, ok := c.nodes[i].Take(account); ok {
					admitted++
				}
			}
		}
		time.Sleep(step)
	}
	return float64(admitted) / d.Seconds()
}

// TestShares checks that an account's limit is enforced and used while its demand
// shifts between nodes, while the grantor is unreachable and after the grantor has
// changed.
func TestShares(t *testing.T) {
	tests := []struct {
		name   string
		before func(c *testCluster)
		rates  []float64
		// least and most are bounds of the requests admitted per second in the
		// steady state.
		least, most float64
	}{
		{"even demand", nil, []float64{100, 100, 100, 100}, 90, 101},
		{"all demand at one node", nil, []float64{300, 0, 0, 0}, 80, 101},
		{"demand below the limit", nil, []float64{40, 10, 0, 0}, 49, 51},
		{"demand shifts", func(c *testCluster) { c.offer(10*time.Second, 300, 0, 0, 0) }, []float64{0, 0, 0, 300}, 75, 101},
		{"grantor unreachable, leases still valid", func(c *testCluster) { c.offer(10*time.Second, 100, 100, 100, 100); c.grantorDown.Store(true) }, []float64{100, 100, 100, 100}, 45, 101},
		{"new grantor", func(c *testCluster) {
			c.offer(10*time.Second, 100, 100, 100, 100)
			c.epoch.Store(2)
			c.grantor.SetEpoch(2, func(string) bool { return false })
		}, []float64{100, 100, 100, 100}, 85, 101},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 4)
				if tt.before != nil {
					tt.before(c)
				}
				c.offer(5*time.Second, tt.rates...)
				got := c.offer(20*time.Second, tt.rates...)
				t.Logf("%.1f requests/s admitted at a limit of %.0f", got, accountLimit)
				must.Between(t, tt.least, got, tt.most)
			})
		})
	}
}

// TestBurstAfterIdling sends a burst to one of four nodes after the account has been
// idle for minutes. The node admits a quarter of the account's burst of 20.
func TestBurstAfterIdling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 4)
		c.offer(10*time.Second, 5, 5, 5, 5)
		c.offer(5*time.Minute, 0, 0, 0, 0)
		account := &config.Account{Name: "desk", Limits: config.Limits{RequestsPerSecond: accountLimit, Burst: 20}}
		admitted := 0
		for range 40 {
			if _, ok := c.nodes[0].Take(account); ok {
				admitted++
			}
		}
		must.Eq(t, 5, admitted)
	})
}
