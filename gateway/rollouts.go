package gateway

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/lease"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/rollout"
)

const (
	// stagesKey holds the stages of all roll-outs, so that the next driver
	// goes on where the last one was.
	stagesKey = "rollouts"
	// collectTimeout bounds asking a peer for its counts.
	collectTimeout = 400 * time.Millisecond
)

// applyOrder puts an operator's order in force, or takes it back.
func (g *Gateway) applyOrder(c mirror.Change) {
	service := strings.TrimPrefix(c.Key, platform.OrderPrefix)
	if c.Deleted {
		g.services.Drop(service)
		return
	}
	order, err := platform.DecodeOrder(c.Value)
	if err != nil {
		slog.Error("roll-out order cannot be read", "service", service, "error", err)
		return
	}
	order.Service = service
	g.services.Take(order)
}

// applyStages puts the driver's stages in force.
func (g *Gateway) applyStages(c mirror.Change) {
	if c.Key != stagesKey || c.Deleted {
		return
	}
	if err := g.picker.Take(document.Item{Data: c.Value, Revision: c.Revision}); err != nil {
		slog.Error("stored stages cannot be read", "revision", c.Revision, "error", err)
		return
	}
	slog.Info("roll-out stages", "stages", string(c.Value), "revision", c.Revision)
}

// mayDrive lets a gateway compete for the driver's lease while there is
// something to drive and nobody is known to hold it.
func (g *Gateway) mayDrive() bool {
	_, held := g.mirror.Get(lease.Prefix + driverLeaseName)
	return !held && !g.leaving.Load() && g.rolloutActive()
}

// rolloutActive reports whether some ordered roll-out is not at its end.
func (g *Gateway) rolloutActive() bool {
	for _, m := range g.services.Models() {
		p, known := g.picker.Progress(m.Name)
		if !known || p.Version != m.Rollout.Version || p.Verdict == rollout.VerdictRunning {
			return true
		}
	}
	return false
}

// stageUpdater writes the drivers' document.
type stageUpdater struct{ g *Gateway }

// Update changes the stages at the store, together with what operators see.
func (s stageUpdater) Update(ctx context.Context, key string, change func([]byte) ([]byte, error)) (document.Item, error) {
	if !s.g.rolloutActive() {
		return document.Item{}, document.ErrUnchanged
	}
	return document.Update(ctx, stageStore(s), key, change)
}

// stageStore reads the stages from the mirror, which costs no call, and
// writes them along with the operators' status. A stale read loses the swap
// and is made again.
type stageStore struct{ g *Gateway }

// Get reads the stages from the mirror.
func (s stageStore) Get(_ context.Context, key string) ([]byte, int64, error) {
	item, _ := s.g.mirror.Get(key)
	return item.Value, item.Revision, nil
}

// Swap writes the stages and the status of each roll-out together.
func (s stageStore) Swap(ctx context.Context, key string, data []byte, expected int64) (int64, bool, error) {
	decoded, err := rollout.DecodeStages(data)
	if err != nil {
		return 0, false, err
	}
	puts := []mirror.Item{{Key: key, Value: data}}
	for service, p := range decoded.Models {
		statusKey, value, err := platform.EncodeStatus(service, p.Version, p.Verdict)
		if err != nil {
			return 0, false, err
		}
		puts = append(puts, mirror.Item{Key: statusKey, Value: value})
	}
	return s.g.store.SwapAll(ctx, key, expected, puts)
}

// countCollector asks all gateways for their counts.
type countCollector struct{ g *Gateway }

// Collect returns the counts of this gateway and of those that answer in time,
// by their IDs.
func (c countCollector) Collect(ctx context.Context) map[string]rollout.Counts {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	name, own := c.g.Counts()
	all := map[string]rollout.Counts{name: own}
	var mu sync.Mutex
	var calls sync.WaitGroup
	// Gateways that leave have streams under way for seconds: were they not
	// asked, a roll-out could be complete, and the old servers stopped, under
	// these.
	for _, m := range c.g.membership.allPeers() {
		calls.Go(func() {
			node, counts, err := c.g.client.Counts(ctx, m)
			if err != nil {
				slog.Debug("gateway gave no counts", "id", m.ID, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all[node] = counts
		})
	}
	calls.Wait()
	return all
}
