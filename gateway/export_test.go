package gateway

import (
	"context"
	"encoding/json"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// Subscribe lets a test stand in the row of those whom the mirror tells.
func (g *Gateway) Subscribe(prefix string, changed func(mirror.Change)) {
	g.mirror.Subscribe(prefix, changed)
}

// FollowStore follows the store until the context ends, with all doors closed.
func (g *Gateway) FollowStore(ctx context.Context) { g.mirror.Run(ctx) }

// IsReady is what the platform is told.
func (g *Gateway) IsReady() bool { return g.ready() }

// Servers returns the servers that requests may go to.
func (g *Gateway) Servers(service string) []registry.Server { return g.registry.Servers(service) }

// OwnCallerAddress is where clients reach the gateway of KeepEntry, ownPeer where peers do.
const (
	OwnCallerAddress = "127.0.0.1:1"
	ownPeerAddress   = "127.0.0.1:2"
)

// StoredEntry is the entry that KeepEntry keeps, as it is stored.
func StoredEntry(leaving bool, caller string) mirror.Change {
	e := entry{Member: view.NewMember(view.Member{VM: "node", Caller: caller, Peer: ownPeerAddress}), Leaving: leaving}
	value, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return mirror.Change{Item: mirror.Item{Key: gatewayPrefix + "node", Value: value, Revision: 1, Lease: 1}}
}

// MaintainEntry keeps a gateway's entry at a store until the context ends. The store
// held what is told of it first.
func MaintainEntry(ctx context.Context, store entryStore, timers *timer.Service, held ...mirror.Change) {
	g := &Gateway{timers: timers, self: view.NewMember(view.Member{VM: "node", Caller: OwnCallerAddress, Peer: ownPeerAddress})}
	n := newMembership(g)
	n.store = store
	told := make(chan struct{})
	n.synced = told
	for _, c := range held {
		n.applyChange(c)
	}
	close(told)
	n.run(ctx)
}

// ApplyServerEntry takes what the store holds of a server; nil for no entry.
func (g *Gateway) ApplyServerEntry(id string, value []byte) {
	g.applyServer(mirror.Change{Item: mirror.Item{Key: platform.ServerPrefix + id, Value: value, Deleted: value == nil}})
}

// ApplyGatewayEntry takes what the store holds of another gateway.
func (g *Gateway) ApplyGatewayEntry(vm string, value []byte) {
	g.membership.applyChange(mirror.Change{Item: mirror.Item{Key: gatewayPrefix + vm, Value: value}})
}

// Balancer returns what chooses among servers.
func (g *Gateway) Balancer() *route.Balancer { return g.balancer }
