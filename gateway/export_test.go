package gateway

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// Subscribe adds a subscriber to the changes of the store, after the gateway's own.
func (g *Gateway) Subscribe(prefix string, changed func(mirror.Change)) {
	g.mirror.Subscribe(prefix, changed)
}

// FollowStore follows the store until the context ends, without opening listeners.
func (g *Gateway) FollowStore(ctx context.Context) { g.mirror.Run(ctx) }

// IsReady reports the readiness that the platform probes.
func (g *Gateway) IsReady() bool { return g.ready() }

// Servers returns the servers of a service that may get requests.
func (g *Gateway) Servers(service string) []*registry.Server { return g.registry.Servers(service) }

// The addresses of MaintainEntry's gateway, for clients and for peers.
const (
	OwnCallerAddress = "127.0.0.1:1"
	ownPeerAddress   = "127.0.0.1:2"
)

// StoredEntry returns a stored entry of MaintainEntry's gateway.
func StoredEntry(leaving bool, caller string) mirror.Change {
	e := entry{Member: view.NewMember(view.Member{VM: "node", Caller: caller, Peer: ownPeerAddress}), Leaving: leaving}
	value, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return mirror.Change{Item: mirror.Item{Key: hallPrefix("") + "node", Value: value, Revision: 1, Lease: 1}}
}

// MaintainEntry maintains a gateway's entry in a store until the context ends. Held are
// the changes that the gateway receives from the store at its start.
func MaintainEntry(ctx context.Context, store entryStore, timers *timer.Service, held ...mirror.Change) {
	g := &Gateway{timers: timers, self: view.NewMember(view.Member{VM: "node", Caller: OwnCallerAddress, Peer: ownPeerAddress})}
	m := newMembership(g)
	m.store = store
	synced := make(chan struct{})
	m.synced = synced
	for _, c := range held {
		m.applyChange(c)
	}
	close(synced)
	m.run(ctx)
}

// ApplyServerEntry applies a server's stored entry; a nil value deletes it.
func (g *Gateway) ApplyServerEntry(id string, value []byte) {
	g.applyServer(mirror.Change{Item: mirror.Item{Key: platform.ServerPrefix + id, Value: value, Deleted: value == nil}})
}

// ApplyGatewayEntry applies another gateway's stored entry.
func (g *Gateway) ApplyGatewayEntry(vm string, value []byte) {
	g.membership.applyChange(mirror.Change{Item: mirror.Item{Key: hallPrefix("hall-1") + vm, Value: value}})
}

// Balancer returns the balancer that chooses among servers.
func (g *Gateway) Balancer() *route.Balancer { return g.balancer }

// ApplyCatalog applies a stored declaration with one service.
func (g *Gateway) ApplyCatalog(version int, service string) {
	value := fmt.Sprintf(`{"version":%d,"services":[%s]}`, version, service)
	g.applyCatalog(mirror.Change{Item: mirror.Item{Key: platform.CatalogKey, Value: []byte(value)}})
}

// LimitedLog is a log with a bounded rate.
type LimitedLog struct{ l *limitedLog }

// NewLimitedLog returns a log of up to burst lines at once.
func NewLimitedLog(burst int64) LimitedLog { return LimitedLog{newLimitedLog(burst)} }

// Info writes a line, unless there were too many.
func (l LimitedLog) Info(message string) { l.l.info(message) }

// Refill allows further lines.
func (l LimitedLog) Refill(lines int64) { l.l.refill(lines) }
