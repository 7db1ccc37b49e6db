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

// fakePlatform records orders of spot servers. Spot servers are refused while dry is set.
type fakePlatform struct {
	dry    bool
	orders []autoscale.Order
}

func (p *fakePlatform) OrderServers(_ context.Context, _ int64, o autoscale.Order) error {
	switch {
	case o.Spot && p.dry:
		return autoscale.NoneAvailable.New("none")
	case o.Spot:
		p.orders = append(p.orders, o)
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
