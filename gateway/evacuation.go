package gateway

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/registry"
)

// applyEvacuation applies a change of an operator's order to evacuate a data hall.
func (g *Gateway) applyEvacuation(c mirror.Change) {
	hall := strings.TrimPrefix(c.Key, platform.EvacuationPrefix)
	if hall == "" {
		slog.Error("evacuation order names no data hall", "key", c.Key, "revision", c.Revision)
		return
	}
	if c.Deleted {
		if e, ok := g.registry.Restore(hall); ok {
			slog.Info("evacuation of data hall has ended", "data_hall", hall, "revision", c.Revision, "ordered_by_revision", e.Revision,
				"evacuated_ms", g.timers.Steady().Sub(e.Since).Milliseconds())
		}
		return
	}
	if err := platform.CheckEvacuation(c.Value); err != nil {
		slog.Error("evacuation order is unreadable; its key alone names the data hall, so it holds", "data_hall", hall, "revision", c.Revision, "error", err)
	}
	if _, known := g.settings.DataHallRegions[hall]; !known {
		slog.Warn("evacuation order for a data hall that is not among the settings", "data_hall", hall, "revision", c.Revision)
	}
	if _, isNew := g.registry.Evacuate(hall, c.Revision); isNew {
		servers := g.registry.Evacuated(hall)
		select {
		case g.evacuationOrders <- struct{}{}:
		default: // there is one already
		}
		slog.Info("data hall evacuated", "data_hall", hall, "revision", c.Revision, "servers", len(servers),
			"requests_running", g.balancer.InFlight(servers))
	}
}

// evacuationCheckInterval is the time between two checks of whether requests still run in
// an evacuated data hall.
const evacuationCheckInterval = 500 * time.Millisecond

// watchEvacuations logs when the last request of this gateway in an evacuated data hall has
// ended.
func (g *Gateway) watchEvacuations(ctx context.Context) {
	empty := make(map[string]registry.Evacuation)
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.evacuationOrders:
		}
		ticks := g.timers.Subscribe(evacuationCheckInterval)
		for g.checkEvacuations(empty) {
			select {
			case <-ctx.Done():
				ticks.Stop()
				return
			case <-ticks.C():
			}
		}
		ticks.Stop()
	}
}

// checkEvacuations logs the evacuated data halls in which no request of this gateway runs any
// more, each once, and adds them to empty. It reports whether any data hall is evacuated.
func (g *Gateway) checkEvacuations(empty map[string]registry.Evacuation) bool {
	evacuations := g.registry.Evacuations()
	for hall, e := range evacuations {
		if empty[hall] == e || g.balancer.InFlight(g.registry.Evacuated(hall)) > 0 {
			continue
		}
		empty[hall] = e
		slog.Info("no request of this gateway runs in the evacuated data hall any more", "data_hall", hall,
			"revision", e.Revision, "after_ms", g.timers.Steady().Sub(e.Since).Milliseconds())
	}
	return len(evacuations) > 0
}

// countEvacuatedRequests returns the number of this gateway's requests that run in evacuated
// data halls.
func (g *Gateway) countEvacuatedRequests() int {
	count := 0
	for hall := range g.registry.Evacuations() {
		count += g.balancer.InFlight(g.registry.Evacuated(hall))
	}
	return count
}
