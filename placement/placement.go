// Package placement decides which backend servers hold which model versions,
// and sends the engines orders to load and unload them.
//
// The number of copies of a version follows from its state and its rollout
// share. Loads are ordered one at a time, since the weight store is
// rate-limited. The last copy of a version that is in use is never unloaded.
//
// Only the node that holds the driver's lease sends orders, and each order
// carries the lease's fencing token. An order is sent only while the lease is
// certain to outlast it. If the backend server does not check the token, a new
// holder also waits until the longest order of the previous holder must have
// ended.
//
// # Usage
//
//	order, ok := placement.Next(servers, targets)
package placement

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/timer"
)

//go:generate go tool enumer -type=Action -trimprefix=Action -transform=snake -text -output=placement_enumer.go

// Action is what an order tells an engine to do.
type Action int

// Actions of an order.
const (
	ActionLoad Action = iota
	ActionUnload
)

// Order is one order to one engine.
type Order struct {
	Server config.Server
	Action Action
	Model  string
}

// ServerModels is a backend server and the models that it reports as loaded. A
// server that reports none gets no orders.
type ServerModels struct {
	Server config.Server
	Models []string
}

// ModelTarget is how many copies of an engine model a pool should hold.
type ModelTarget struct {
	Model  string
	Copies int
	// InUse keeps the last copy loaded, whatever Copies is.
	InUse bool
}

// Engines sends orders to engines and reads which models they have loaded.
type Engines interface {
	Order(ctx context.Context, o Order, token int64) error
	LoadedModels(pool string) []ServerModels
}

// Lease tells whether this node may send orders.
type Lease interface {
	// Held returns the fencing token if the lease is certain to last for
	// another d.
	Held(d time.Duration) (token int64, ok bool)
	// HeldFor returns how long the lease has been held without a gap.
	HeldFor() time.Duration
}

const (
	planInterval = 2 * time.Second
	// orderTimeout is the longest that an order may take.
	orderTimeout = 2 * time.Second
	// maxModelsPerServer is how many versions an engine holds at the same time.
	maxModelsPerServer = 2
)

// Next returns the order that brings a pool closest to its targets. Loads come
// before unloads; a surplus copy on a full server is unloaded only if no copy
// can be loaded.
func Next(servers []ServerModels, targets []ModelTarget) (Order, bool) {
	copies := make(map[string]int)
	for _, s := range servers {
		for _, m := range s.Models {
			copies[m]++
		}
	}
	for _, t := range sortByShortfall(targets, copies) {
		if copies[t.Model] >= t.Copies {
			continue
		}
		if index := serverWithRoom(servers, t.Model); index >= 0 {
			return Order{Server: servers[index].Server, Action: ActionLoad, Model: t.Model}, true
		}
	}
	return surplusOrder(servers, targets, copies)
}

// sortByShortfall sorts the targets by their relative shortfall, largest first.
// A version without any copy comes before all others.
func sortByShortfall(targets []ModelTarget, copies map[string]int) []ModelTarget {
	sorted := append([]ModelTarget(nil), targets...)
	sort.SliceStable(sorted, func(i, j int) bool {
		return shortfall(sorted[i], copies) > shortfall(sorted[j], copies)
	})
	return sorted
}

func shortfall(t ModelTarget, copies map[string]int) float64 {
	if copies[t.Model] == 0 && t.Copies > 0 {
		return math.Inf(1)
	}
	return float64(t.Copies-copies[t.Model]) / math.Max(1, float64(t.Copies))
}

// serverWithRoom returns the index of the server with the fewest models that
// has room for this one and has not loaded it, or -1.
func serverWithRoom(servers []ServerModels, model string) int {
	best := -1
	for i, s := range servers {
		if len(s.Models) == 0 || len(s.Models) >= maxModelsPerServer || slices.Contains(s.Models, model) {
			continue
		}
		if best < 0 || len(s.Models) < len(servers[best].Models) {
			best = i
		}
	}
	return best
}

// surplusOrder returns an order to unload a copy beyond its target from the
// full server with the most models.
func surplusOrder(servers []ServerModels, targets []ModelTarget, copies map[string]int) (Order, bool) {
	byModel := make(map[string]ModelTarget, len(targets))
	for _, t := range targets {
		byModel[t.Model] = t
	}
	best, bestModel := -1, ""
	for i, s := range servers {
		for _, model := range s.Models {
			t := byModel[model]
			lastInUse := t.InUse && copies[model] <= 1
			if copies[model] <= t.Copies || lastInUse || len(s.Models) < maxModelsPerServer {
				continue
			}
			if best < 0 || len(s.Models) > len(servers[best].Models) {
				best, bestModel = i, model
			}
		}
	}
	if best < 0 {
		return Order{}, false
	}
	return Order{Server: servers[best].Server, Action: ActionUnload, Model: bestModel}, true
}

// ModelTargets returns the targets of a pool with a number of servers, given
// the share of its model's new sessions that each version gets.
func ModelTargets(s *config.Snapshot, pool string, servers int, share func(m *config.Model, version string) float64) []ModelTarget {
	var targets []ModelTarget
	models := s.Models()
	for i := range models {
		m := &models[i]
		for j := range m.Versions {
			v := &m.Versions[j]
			if v.Pool != pool {
				continue
			}
			t := ModelTarget{Model: v.EngineName(m.Name), InUse: v.State != config.VersionWithdrawn}
			if t.InUse {
				t.Copies = max(1, int(math.Ceil(share(m, v.Name)*float64(servers))))
			}
			targets = append(targets, t)
		}
	}
	return targets
}

// Planner sends orders while this node holds the lease.
type Planner struct {
	engines  Engines
	lease    Lease
	timers   *timer.Service
	snapshot func() *config.Snapshot
	share    func(m *config.Model, version string) float64
}

// New returns a planner. Share returns the part of its model's new sessions
// that a version gets.
func New(engines Engines, lease Lease, snapshot func() *config.Snapshot, share func(m *config.Model, version string) float64, timers *timer.Service) *Planner {
	return &Planner{engines: engines, lease: lease, timers: timers, snapshot: snapshot, share: share}
}

// Run sends orders until the context ends.
func (p *Planner) Run(ctx context.Context) {
	p.timers.Every(ctx, planInterval, func() { p.Step(ctx) })
}

// Step sends at most one order to each pool.
func (p *Planner) Step(ctx context.Context) {
	s := p.snapshot()
	for _, pool := range s.Pools() {
		servers := p.engines.LoadedModels(pool.Name)
		if order, ok := Next(servers, ModelTargets(s, pool.Name, len(servers), p.share)); ok {
			p.send(ctx, order)
		}
	}
}

// send sends an order if the lease allows it.
func (p *Planner) send(ctx context.Context, o Order) {
	token, ok := p.lease.Held(orderTimeout)
	if !ok {
		return
	}
	if !o.Server.ChecksFencing && p.lease.HeldFor() < 2*orderTimeout {
		// The previous holder may have an order in progress that the server
		// would not reject.
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := p.engines.Order(ctx, o, token); err != nil {
		slog.Warn("placement order failed", "server", o.Server.Name, "action", o.Action.String(), "model", o.Model, "error", err)
		return
	}
	slog.Info("placement order sent", "server", o.Server.Name, "action", o.Action.String(), "model", o.Model, "token", token)
}
