package autoscale_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/autoscale"
	"github.com/violettally/violettally/timer"
)

// fakePlatform records orders, and describes the service. Spot servers are refused while dry is
// set. Its fields are read and changed under mu.
type fakePlatform struct {
	mu  sync.Mutex
	dry bool
	// spot and reserved are the orders so far, by kind.
	spot, reserved []autoscale.Order
	held           bool
	service        autoscale.Service
	pools          map[string]autoscale.Pool
}

func (p *fakePlatform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *fakePlatform) OrderServers(_ context.Context, _ int64, o autoscale.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case o.Spot && p.dry:
		return autoscale.NoneAvailable.New("none")
	case o.Spot:
		p.spot = append(p.spot, o)
	default:
		p.reserved = append(p.reserved, o)
	}
	return nil
}

// Held implements autoscale.Lease.
func (p *fakePlatform) Held(time.Duration) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 7, p.held
}

func (p *fakePlatform) services() []autoscale.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	return []autoscale.Service{p.service}
}

func (p *fakePlatform) serverPools(string) (map[string]autoscale.Pool, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.pools), true
}

// orders returns the number of orders by kind.
func (p *fakePlatform) orders() (spot, reserved int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.spot), len(p.reserved)
}

// run runs a controller for a service with the given servers in each of its data halls.
func (p *fakePlatform) run(t *testing.T, each autoscale.Pool) {
	timers := timer.New()
	t.Cleanup(timers.Close)
	p.service = declared
	p.setPools(each)
	c := autoscale.NewController(autoscale.Options{
		Services: p.services, Pools: p.serverPools, Demand: autoscale.NewDemandMeter(),
		Platform: p, Lease: p, Timers: timers, Count: func(error) {},
	})
	go c.Run(t.Context())
}

func (p *fakePlatform) setPools(each autoscale.Pool) {
	p.update(func() { p.pools = map[string]autoscale.Pool{"a": each, "b": each, "c": each, "d": each} })
}

// TestController checks that orders are sent only while the lease is held, once unless they
// have no effect, and that refused spot servers are ordered again.
func TestController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{dry: true}
		p.run(t, autoscale.Pool{Reserved: 20})
		checkSpot := func(least, most int) {
			spot, _ := p.orders()
			must.GreaterEq(t, least, spot)
			must.LessEq(t, most, spot)
		}
		time.Sleep(5 * time.Second)
		checkSpot(0, 0) // without the lease
		p.update(func() { p.held = true })
		time.Sleep(5 * time.Second)
		checkSpot(0, 0) // refused, and nothing else to order
		p.update(func() { p.dry = false })
		time.Sleep(5 * time.Second)
		checkSpot(4, 4)
		time.Sleep(60 * time.Second)
		checkSpot(5, 40) // orders without effect are repeated
	})
}

// TestRollout checks that nothing is removed while a rollout starts servers of its own, and that
// those which it leaves behind are replaced by spot servers afterwards. Ordered servers of the
// new version were stopped in the middle of its rollout, or paid for in vain after it.
func TestRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{held: true}
		p.run(t, autoscale.Pool{Spot: 30})
		time.Sleep(20 * time.Second)
		p.setPools(autoscale.Pool{Reserved: 30, Spot: 30})
		p.update(func() {
			p.service.InRollout = true
			p.spot, p.reserved = nil, nil
		})
		time.Sleep(20 * time.Second)
		spot, reserved := p.orders()
		must.Eq(t, 0, spot+reserved)
		p.update(func() { p.service.InRollout = false })
		time.Sleep(20 * time.Second)
		last := make(map[string]int)
		p.update(func() {
			for _, o := range p.reserved {
				last[o.Hall] = o.Servers
			}
		})
		must.Eq(t, map[string]int{"a": 0, "b": 0, "c": 0, "d": 0}, last)
	})
}
