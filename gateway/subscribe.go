package gateway

import (
	"log/slog"
	"strings"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
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
		g.balancer.Keep(g.registry.IDs())
		slog.Info("server is gone", "server", id, "revision", c.Revision, "kept_ms", kept.Milliseconds())
		return
	}
	server, err := platform.DecodeServer(c.Key, c.Value)
	if err != nil {
		slog.Error("server entry cannot be read", "server", id, "revision", c.Revision, "error", err)
		return
	}
	g.registry.Put(server)
	slog.Info("server", "server", id, "service", server.Service, "address", server.Address,
		"version", server.Version, "leaving", server.Leaving, "revision", c.Revision)
}
