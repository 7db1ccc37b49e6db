package gateway

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/suspect"
)

// subscribe connects the components to the changes of the store that they depend on.
func (g *Gateway) subscribe() {
	g.mirror.OnStoreRecovered(g.registry.StoreRecovered)
	g.mirror.OnStoreRecovered(g.membership.storeRecovered)
	g.mirror.Subscribe(platform.CatalogKey, g.applyCatalog)
	g.mirror.Subscribe(platform.ServerPrefix, g.applyServer)
	g.mirror.Subscribe(platform.OrderPrefix, g.applyOrder)
	g.mirror.Subscribe(platform.EvacuationPrefix, g.applyEvacuation)
	g.mirror.Subscribe(stagesKey, g.applyStages)
	g.mirror.Subscribe(gatewayPrefix, g.membership.applyChange)
	g.mirror.Subscribe(suspect.KeyPrefix, g.verdictSyncer.Apply)
}

// applyCatalog puts a declaration in force, unless its version is not newer than the
// current one.
func (g *Gateway) applyCatalog(c mirror.Change) {
	if c.Key != platform.CatalogKey {
		return
	}
	if c.Deleted {
		slog.Warn("declaration deleted from the store; keeping the current one", "version", g.Catalog().Version())
		return
	}
	next, err := platform.DecodeCatalog(c.Value)
	if err != nil {
		slog.Error("invalid declaration in the store; keeping the current one",
			"version", g.Catalog().Version(), "revision", c.Revision, "error", err)
		return
	}
	if next.Version() <= g.Catalog().Version() {
		return
	}
	if g.Catalog().Version() == 0 {
		g.registry.Synced() // the first read of the store brings the first declaration
	}
	g.catalog.Store(next)
	slog.Info("declaration in force", "version", next.Version(), "revision", c.Revision, "bytes", len(c.Value))
}

// applyServer applies a change of a server's entry.
func (g *Gateway) applyServer(c mirror.Change) {
	id := strings.TrimPrefix(c.Key, platform.ServerPrefix)
	if c.Deleted {
		kept := g.registry.Drop(id)
		g.serversGone.Store(true)
		g.serverEndLog.info("server is gone", "server", id, "revision", c.Revision, "kept_ms", kept.Milliseconds())
		return
	}
	server, err := platform.DecodeServer(c.Key, c.Value)
	if err != nil {
		g.invalidateServer(id, c.Revision, err)
		return
	}
	result := g.registry.Put(server)
	if result == registry.PutResultRestart {
		g.resetServer(server)
	}
	log := g.serverLog
	if server.Leaving || result != registry.PutResultUpdate {
		log = g.serverEndLog
	}
	log.info("server", "server", id, "born", server.Born, "news", result.String(), "service", server.Service, "address", server.Address,
		"version", server.Version, "leaving", server.Leaving, "warm_up_ms", server.WarmUp.Milliseconds(), "revision", c.Revision)
}

// invalidateServer takes a server with an invalid entry out of use. It logs only when
// the reason changes, however often such entries are written.
func (g *Gateway) invalidateServer(id string, revision int64, err error) {
	reason := errs.Kind(err)
	g.metrics.EntryUnusable(reason)
	if g.registry.MarkInvalid(id, reason) {
		slog.Error("invalid server entry", "server", id, "reason", reason, "revision", revision, "error", err)
	}
}

// resetServer discards the state of a restarted server's previous incarnation: its
// caches, queue and health belong to that incarnation, and idle connections to it are
// dead. Running requests are not aborted: their connections show better than the entry
// whether a response will still come.
func (g *Gateway) resetServer(server registry.Server) {
	g.serversGone.Store(true)
	g.backends.CloseIdle(server.Address)
}

const (
	// maintainInterval is the time between two rounds of work that need not follow each change.
	maintainInterval = 2 * time.Second
	// serverLogBurst and serverEndLogBurst are the most log lines at once about servers that
	// register, and about those that leave, restart or are gone.
	serverLogBurst    = 100
	serverEndLogBurst = 500
	// In each round as many log lines become possible again as this share of a burst.
	logRefillShare = 5
)

// maintain drops the state of servers that are gone, and allows log lines, at an interval until
// the context ends.
func (g *Gateway) maintain(ctx context.Context) {
	g.timers.Every(ctx, maintainInterval, func() {
		if g.serversGone.Swap(false) {
			g.balancer.Retain(g.registry.Incarnations())
		}
		for _, l := range []*limitedLog{g.serverLog, g.serverEndLog, g.noticeLog, g.pathLog, g.membership.log} {
			l.refill(l.burst / logRefillShare)
		}
	})
}
