package autoscale_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/autoscale"
	"github.com/violettally/violettally/timer"
)

// fakePlatform records orders. Spot servers are refused while dry is set.
type fakePlatform struct {
	dry bool
	// orders are those of spot servers, reserved those of the others.
	orders, reserved []autoscale.Order
}

func (p *fakePlatform) OrderServers(_ context.Context, _ int64, o autoscale.Order) error {
	switch {
	case o.Spot && p.dry:
		return autoscale.NoneAvailable.New("none")
	case o.Spot:
		p.orders = append(p.orders, o)
	default:
		p.reserved = append(p.reserved, o)
	}
	return nil
}

type fakeLease struct{ held bool }

func (l *fakeLease) Held(time.Duration) (int64, bool) { return 7, l.held }

// TestController checks that orders are sent only while the lease is held, once unless they
// have no effect, and that refused spot servers are ordered again.
func TestController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		platform, lease := &fakePlatform{dry: true}, &fakeLease{}
		pools := map[string]autoscale.Pool{"a": {Reserved: 20}, "b": {Reserved: 20}, "c": {Reserved: 20}, "d": {Reserved: 20}}
		c := autoscale.NewController(autoscale.Options{
			Services: func() []autoscale.Service { return []autoscale.Service{declared} },
			Pools:    func(string) (map[string]autoscale.Pool, bool) { return pools, true },
			Demand:   autoscale.NewDemandMeter(), Platform: platform, Lease: lease, Timers: timers, Count: func(error) {},
		})
		go c.Run(t.Context())
		time.Sleep(5 * time.Second)
		must.SliceEmpty(t, platform.orders, must.Sprint("ordered without the lease"))
		lease.held = true
		time.Sleep(5 * time.Second)
		must.SliceEmpty(t, platform.orders, must.Sprint("refused, and nothing else to order"))
		platform.dry = false
		time.Sleep(5 * time.Second)
		must.SliceLen(t, 4, platform.orders)
		time.Sleep(60 * time.Second)
		must.Greater(t, 4, len(platform.orders), must.Sprint("orders without effect are repeated"))
		must.Less(t, 40, len(platform.orders))
	})
}

// TestRollout checks that nothing is removed while a rollout starts servers of its own, and that
// those which it leaves behind are replaced by spot servers afterwards. Ordered servers of the
// new version were stopped in the middle of its rollout, or paid for in vain after it.
func TestRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		platform := &fakePlatform{}
		service := declared
		spot := autoscale.Pool{Spot: 30}
		pools := map[string]autoscale.Pool{"a": spot, "b": spot, "c": spot, "d": spot}
		c := autoscale.NewController(autoscale.Options{
			Services: func() []autoscale.Service { return []autoscale.Service{service} },
			Pools:    func(string) (map[string]autoscale.Pool, bool) { return pools, true },
			Demand:   autoscale.NewDemandMeter(), Platform: platform, Lease: &fakeLease{held: true}, Timers: timers, Count: func(error) {},
		})
		go c.Run(t.Context())
		time.Sleep(20 * time.Second)
		service.InRollout = true
		platform.orders, platform.reserved = nil, nil
		for hall := range pools {
			pools[hall] = autoscale.Pool{Reserved: 30, Spot: 30}
		}
		time.Sleep(20 * time.Second)
		must.SliceEmpty(t, platform.orders)
		must.SliceEmpty(t, platform.reserved)
		service.InRollout = false
		time.Sleep(20 * time.Second)
		last := make(map[string]int)
		for _, o := range platform.reserved {
			last[o.Hall] = o.Servers
		}
		must.Eq(t, map[string]int{"a": 0, "b": 0, "c": 0, "d": 0}, last)
	})
}
