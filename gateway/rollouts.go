package gateway

import (
	"context"
	"log/slog"
	"slices"
	"strings"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/view"
)

// stagesKey holds the stages of all rollouts, so that the next driver can continue them.
const stagesKey = "rollouts"

// applyOrder applies a change of an operator's rollout order.
func (g *Gateway) applyOrder(c mirror.Change) {
	service := strings.TrimPrefix(c.Key, platform.OrderPrefix)
	if c.Deleted {
		g.servicePicker.RemoveOrder(service)
		return
	}
	order, err := platform.DecodeOrder(c.Key, c.Value)
	if err != nil {
		slog.Error("invalid rollout order", "service", service, "error", err)
		return
	}
	order.ID = c.Revision
	order.WarmUp = g.warmUpLimit(service).Duration
	g.servicePicker.SetOrder(order)
}

// applyStages applies the stages that the driver has stored.
func (g *Gateway) applyStages(c mirror.Change) {
	if c.Key != stagesKey || c.Deleted {
		return
	}
	if err := g.picker.Apply(document.Item{Data: c.Value, Revision: c.Revision}); err != nil {
		slog.Error("invalid rollout stages", "revision", c.Revision, "error", err)
		return
	}
	slog.Info("rollout stages updated", "stages", string(c.Value), "revision", c.Revision)
}

// rolloutActive reports whether any ordered rollout has not ended yet.
func (g *Gateway) rolloutActive() bool {
	return slices.ContainsFunc(g.servicePicker.Models(), g.isOngoing)
}

// inRollout reports whether a service has a rollout that has not ended yet.
func (g *Gateway) inRollout(service string) bool {
	return slices.ContainsFunc(g.servicePicker.Models(), func(m config.Model) bool { return m.Name == service && g.isOngoing(m) })
}

// isOngoing reports whether an ordered rollout has not ended yet.
func (g *Gateway) isOngoing(m config.Model) bool {
	p, known := g.picker.Progress(m.Name)
	return !known || !p.Concerns(m.Rollout) || p.Verdict == rollout.VerdictRunning
}

// stageUpdater updates the driver's document, which holds the stages of all rollouts.
type stageUpdater struct{ g *Gateway }

// Update changes the stages in the store, together with the status for operators.
func (s stageUpdater) Update(ctx context.Context, key string, change func([]byte) ([]byte, error)) (document.Item, error) {
	if !s.g.rolloutActive() {
		return document.Item{}, document.ErrUnchanged
	}
	return document.Update(ctx, stageStore{mirroredStore(s)}, key, change)
}

// stageStore reads the stages from the mirror, which needs no call, and writes them
// together with the status for operators. After a stale read the swap fails and the
// update is retried.
type stageStore struct{ mirroredStore }

// Swap writes the stages and the status of each rollout that has changed in one transaction, if the stages are
// still at the expected revision. The driver changes no more of them at once than a transaction takes.
func (s stageStore) Swap(ctx context.Context, key string, data []byte, expected int64) (int64, bool, error) {
	item, _ := s.g.mirror.Get(key)
	if item.Revision != expected {
		return 0, false, nil
	}
	before, _ := rollout.DecodeStages(item.Value) // none if they cannot be read
	after, err := rollout.DecodeStages(data)
	if err != nil {
		return 0, false, err
	}
	puts := []mirror.Item{{Key: key, Value: data}}
	for service, p := range after.Models {
		if was, known := before.Models[service]; known && was.SameStatus(p) {
			continue
		}
		statusKey, value, err := platform.EncodeStatus(service, p.Version, p.Verdict)
		if err != nil {
			return 0, false, err
		}
		puts = append(puts, mirror.Item{Key: statusKey, Value: value})
	}
	return s.g.store.SwapAll(ctx, key, expected, puts)
}

// countCollector collects the counts of all gateways.
type countCollector struct{ g *Gateway }

// Collect returns the counts of this gateway and of those that respond in time, by
// gateway ID.
//
// Without the counts of gateways that are leaving, a rollout could be considered complete and
// the old servers stopped while those gateways still serve streams.
func (c countCollector) Collect(ctx context.Context) map[string]rollout.Counts {
	type reply struct {
		id     string
		counts rollout.Counts
	}
	replies := collectFromPeers(ctx, c.g, func(ctx context.Context, m view.Member) (reply, error) {
		id, counts, err := c.g.peerClient.Counts(ctx, m)
		return reply{id, counts}, err
	})
	ownID, ownCounts := c.g.Counts()
	all := map[string]rollout.Counts{ownID: ownCounts}
	for _, r := range replies {
		all[r.id] = r.counts
	}
	return all
}
