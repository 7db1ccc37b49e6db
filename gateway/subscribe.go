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
		g.serverEndLog.info(g.timers.Now(), "server is gone", "server", id, "revision", c.Revision, "kept_ms", kept.Milliseconds())
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
	log.info(g.timers.Now(), "server", "server", id, "born", server.Born, "news", result.String(), "service", server.Service, "address", server.Address,
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

// stateDropInterval is the time between two looks for state of servers that are gone. It takes a
// look at all servers, so it does not follow each of them.
const stateDropInterval = 2 * time.Second

// dropServerState periodically drops the state of servers that are gone, until the context ends.
func (g *Gateway) dropServerState(ctx context.Context) {
	g.timers.Every(ctx, stateDropInterval, func() {
		if g.serversGone.Swap(false) {
			g.balancer.Retain(g.registry.Incarnations())
		}
	})
}

const (
	// serverLogsPerSecond and serverLogBurst limit the log lines about servers that register,
	// serverEndLogsPerSecond and serverEndLogBurst those about servers that leave, restart or
	// are gone.
	serverLogsPerSecond    = 10
	serverLogBurst         = 100
	serverEndLogsPerSecond = 100
	serverEndLogBurst      = 500
)
