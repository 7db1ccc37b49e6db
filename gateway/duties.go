package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/autoscale"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/lease"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/settings"
	"github.com/violettally/violettally/usage"
	"github.com/violettally/violettally/view"
)

const (
	// usageKey holds the last usage report, so that the next holder of the lease can repeat
	// it.
	usageKey = "usage"
	// collectInterval is the time between two collections of all gateways' activity. What a
	// gateway has counted since the last one is lost if it is killed.
	collectInterval = 500 * time.Millisecond
	// settlingMargin is added to the time that a holder waits before its first call, for
	// clocks that run unequally fast.
	settlingMargin = 100 * time.Millisecond
)

// duties are the calls to the platform that only the holder of the lease makes: usage
// reports and orders of servers.
type duties struct {
	g      *Gateway
	clock  usage.Clock
	window usage.Windows
	meter  *usage.Meter
	tally  *usage.Tally
	demand *autoscale.DemandMeter

	reporter   *usage.Reporter
	controller *autoscale.Controller
}

// newDuties returns the duties that the settings ask for, or nil if there are none.
func newDuties(g *Gateway) *duties {
	cloud := g.settings.Cloud
	if !cloud.Has(settings.DutyUsage) && !cloud.Has(settings.DutyScale) {
		return nil
	}
	d := &duties{
		g:      g,
		clock:  usage.NewClock(g.timers.Now(), g.timers.Steady),
		window: usage.Windows{Length: max(time.Second, g.settings.UsageWindow()), Late: g.settings.UsageLate()},
		tally:  usage.NewTally(),
		demand: autoscale.NewDemandMeter(),
	}
	d.meter = usage.NewMeter(g.self.ID, d.window, d.clock)
	client := platform.NewCloud(cloud.Address, g.self.VM)
	// Half of the time is enough: between two turns of one holder lies the turn of another,
	// and each waits.
	settled := g.leaseHolder.Settled(g.settings.HolderChange()/2 + settlingMargin)
	if cloud.Has(settings.DutyUsage) {
		d.reporter = usage.NewReporter(usage.Options{
			Key: usageKey, Windows: d.window, Clock: d.clock, Tally: d.tally, Platform: client,
			Store: mirroredStore{g}, Lease: settled, Timers: g.timers, Count: g.metrics.UsageReport,
		})
	}
	if cloud.Has(settings.DutyScale) {
		d.controller = autoscale.NewController(autoscale.Options{
			Services: d.services, Pools: d.pools, Demand: d.demand, Platform: client,
			Lease: settled, Timers: g.timers, Count: g.metrics.ServersOrdered,
		})
	}
	return d
}

// run carries the duties out until the context ends.
func (d *duties) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { d.g.timers.Every(ctx, collectInterval, func() { d.collect(ctx) }) })
	if d.reporter != nil {
		running.Go(func() { d.reporter.Run(ctx) })
	}
	if d.controller != nil {
		running.Go(func() { d.controller.Run(ctx) })
	}
	running.Wait()
}

// collect collects the activity of all gateways while this one holds the lease.
func (d *duties) collect(ctx context.Context) {
	if _, held := d.g.leaseHolder.Held(0); !held {
		return
	}
	started := d.clock.Now()
	oldest := d.window.Oldest(started)
	from := max(oldest, d.window.At(started)-1)
	activities := collectFromPeers(ctx, d.g, func(ctx context.Context, m view.Member) (peer.Activity, error) {
		return d.g.peerClient.Activity(ctx, m.Peer, from)
	})
	activities = append(activities, d.g.Activity(from))
	snapshots := make([]usage.Snapshot, 0, len(activities))
	work := make(map[string]map[string]autoscale.Work, len(activities))
	for _, a := range activities {
		snapshots = append(snapshots, a.Usage)
		work[a.Usage.Process] = a.Work
	}
	d.tally.Add(started, oldest, snapshots)
	d.demand.Add(started, work)
}

// Activity returns what this gateway has sent to backend servers, with the usage counts of
// the windows from the given one on.
func (g *Gateway) Activity(fromWindow int64) peer.Activity {
	if g.duties == nil {
		return peer.Activity{}
	}
	a := peer.Activity{Usage: g.duties.meter.Snapshot(fromWindow), Work: make(map[string]autoscale.Work)}
	for service, w := range g.balancer.Work() {
		a.Work[service] = autoscale.Work(w)
	}
	return a
}

// services returns the declared services whose servers are ordered.
func (d *duties) services() []autoscale.Service {
	var services []autoscale.Service
	for _, s := range d.g.Catalog().Services() {
		if s.Autoscale == nil {
			continue
		}
		service := autoscale.Service{
			Name: s.Name, Min: s.Autoscale.Min, Max: s.Autoscale.Max, StartUp: s.Autoscale.StartUp, WarmUp: s.WarmUp,
			SpotPrice: s.Autoscale.SpotPrice, HallPrices: s.Autoscale.HallPrices, InRollout: d.g.inRollout(s.Name),
		}
		if s.Engine != nil {
			service.Slots = s.Engine.Slots
		}
		services = append(services, service)
	}
	return services
}

// pools counts the servers of a service by data hall. It reports false while the entries of
// running servers may be missing.
func (d *duties) pools(service string) (map[string]autoscale.Pool, bool) {
	if d.g.mirror.Age() > mirror.MaxStaleness || d.g.registry.Recovering() {
		return nil, false
	}
	now := d.g.timers.Steady()
	pools := make(map[string]autoscale.Pool)
	for _, s := range d.g.registry.Known(service) {
		if s.Leaving {
			continue
		}
		pool := pools[s.DataHall]
		addServer(&pool, s, now)
		pools[s.DataHall] = pool
	}
	return pools, true
}

// addServer counts a server in its pool.
func addServer(pool *autoscale.Pool, s *registry.Server, now time.Time) {
	count, cold := &pool.Reserved, &pool.ColdReserved
	if s.Spot {
		count, cold = &pool.Spot, &pool.ColdSpot
	}
	*count++
	if now.Sub(s.Updated) < s.WarmUp {
		*cold++
	}
}

// mirroredStore reads from the mirror, which needs no call, and writes to the store. After a
// stale read the swap fails.
type mirroredStore struct{ g *Gateway }

var _ document.Store = mirroredStore{}

// Get reads a key from the mirror.
func (s mirroredStore) Get(_ context.Context, key string) ([]byte, int64, error) {
	item, _ := s.g.mirror.Get(key)
	return item.Value, item.Revision, nil
}

// Swap writes a key to the store, if it is still at the expected revision.
func (s mirroredStore) Swap(ctx context.Context, key string, data []byte, expected int64) (int64, bool, error) {
	return s.g.store.Swap(ctx, key, data, expected)
}

// mayHoldLease reports whether this gateway competes for the lease: there is work for its
// holder, no gateway is known to hold it, and gateways that come before this one have had
// time to take it.
func (g *Gateway) mayHoldLease() bool {
	_, held := g.mirror.Get(lease.Prefix + driverLeaseName)
	needed := g.duties != nil || g.rolloutActive()
	vacant := !held && needed && !g.leaving.Load() && g.membership.listed()
	return g.vacancy.Observe(vacant, g.timers.Steady(), g.leaseRank)
}

// leaseRank returns this gateway's place among the candidates for the lease.
func (g *Gateway) leaseRank() int {
	var others []string
	for _, m := range g.membership.peers() {
		others = append(others, m.VM)
	}
	return lease.Rank(driverLeaseName, g.self.VM, others)
}

// collectTimeout limits a collection from all peers.
const collectTimeout = 400 * time.Millisecond

// collectFromPeers calls all other gateways at once and returns the replies of those that
// respond in time. Gateways that are leaving are included, since their streams run on for
// seconds.
func collectFromPeers[T any](ctx context.Context, g *Gateway, call func(context.Context, view.Member) (T, error)) []T {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var mu sync.Mutex
	var replies []T
	var calls sync.WaitGroup
	for _, m := range g.membership.allPeers() {
		calls.Go(func() {
			reply, err := call(ctx, m)
			if err != nil {
				slog.Debug("collecting from a gateway failed", "id", m.ID, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	calls.Wait()
	return replies
}
