package gateway

import (
	"log/slog"
	"strings"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/suspect"
)

// subscribe joins what the store holds to the parts that go by it.
func (g *Gateway) subscribe() {
	g.mirror.OnRegained(g.registry.StoreReturned)
	g.mirror.OnRegained(g.nodes.storeRegained)
	g.mirror.Subscribe(platform.CatalogKey, g.takeCatalog)
	g.mirror.Subscribe(platform.ServerPrefix, g.takeServer)
	g.mirror.Subscribe(platform.OrderPrefix, g.takeOrder)
	g.mirror.Subscribe(stagesKey, g.takeStages)
	g.mirror.Subscribe(nodePrefix, g.nodes.take)
	g.mirror.Subscribe(suspect.Prefix, g.verdicts.Take)
}

// takeCatalog puts a declaration in force. Versions only rise.
func (g *Gateway) takeCatalog(c mirror.Change) {
	if c.Key != platform.CatalogKey {
		return
	}
	if c.Deleted {
		slog.Warn("declaration is gone from the store; the last one stays in force", "version", g.Catalog().Version())
		return
	}
	next, err := platform.DecodeCatalog(c.Value)
	if err != nil {
		slog.Error("stored declaration cannot be used; the last one stays in force",
			"version", g.Catalog().Version(), "revision", c.Revision, "error", err)
		return
	}
	if next.Version() <= g.Catalog().Version() {
		return
	}
	g.catalog.Store(next)
	slog.Info("declaration in force", "version", next.Version(), "revision", c.Revision, "bytes", len(c.Value))
}

// takeServer follows a server's entry.
func (g *Gateway) takeServer(c mirror.Change) {
	id := strings.TrimPrefix(c.Key, platform.ServerPrefix)
	if c.Deleted {
		kept := g.registry.Drop(id)
		g.balancer.Keep(g.registry.Incarnations())
		slog.Info("server is gone", "server", id, "revision", c.Revision, "kept_ms", kept.Milliseconds())
		return
	}
	server, err := platform.DecodeServer(c.Key, c.Value)
	if err != nil {
		g.withdrawServer(id, c.Revision, err)
		return
	}
	news := g.registry.Put(server)
	if news == registry.NewsRestart {
		g.restarted(server)
	}
	slog.Info("server", "server", id, "born", server.Born, "news", news.String(), "service", server.Service, "address", server.Address,
		"version", server.Version, "leaving", server.Leaving, "revision", c.Revision)
}

// withdrawServer takes a server out of use whose entry names none. However often
// such entries are written, one line tells of each change of reason.
func (g *Gateway) withdrawServer(id string, revision int64, err error) {
	reason := errs.Kind(err)
	g.metrics.EntryUnusable(reason)
	if g.registry.Withdraw(id, reason) {
		slog.Error("server entry names no server to use", "server", id, "reason", reason, "revision", revision, "error", err)
	}
}

// restarted forgets what was known of a server's earlier incarnation: whatever is
// believed of a server (its caches, what waits there, its health) belongs to one of
// them, and connections that are kept to the earlier one are dead. Requests under way
// there are left to their connections, which tell better than the entry whether their
// answers still come.
func (g *Gateway) restarted(server registry.Server) {
	g.balancer.Keep(g.registry.Incarnations())
	g.runners.CloseIdle(server.Address)
}
