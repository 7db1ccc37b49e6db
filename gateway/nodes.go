package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/view"
)

const (
	// nodePrefix starts the keys of the gateways' own entries.
	nodePrefix = "nodes/"
	// renewals is how often a gateway renews its entry within the life of its
	// lease, so that one that is lost does no harm.
	renewals = 3
	// leastInHall is how many gateways of a client's data hall, or else of its
	// region, must be known for it to be told of these alone.
	leastInHall = 2
	// revokeTime bounds the last call of a gateway that leaves.
	revokeTime = time.Second
)

// nodes is the list of gateways: each keeps an entry in the store that goes
// with its lease.
type nodes struct {
	g *Gateway

	mu sync.Mutex
	// known are the entries by their keys, this gateway's own included.
	known map[string]view.Member
	// lease is that of this gateway's entry; zero for none.
	lease int64
}

func newNodes(g *Gateway) *nodes { return &nodes{g: g, known: make(map[string]view.Member)} }

// take follows the entries in the store.
func (n *nodes) take(c mirror.Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Deleted {
		delete(n.known, c.Key)
		slog.Info("gateway is gone", "key", c.Key, "revision", c.Revision)
		return
	}
	var m view.Member
	if err := json.Unmarshal(c.Value, &m); err != nil {
		slog.Error("gateway's entry cannot be read", "key", c.Key, "error", err)
		return
	}
	n.known[c.Key] = m
	slog.Info("gateway", "id", m.ID, "caller", m.Caller, "data_hall", m.DataHall, "revision", c.Revision)
}

// others returns the known gateways without this one.
func (n *nodes) others() []view.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var others []view.Member
	for key, m := range n.known {
		if key != n.key() {
			others = append(others, m)
		}
	}
	return others
}

// key is that of this gateway's entry. It is the VM's, so that a process
// started anew takes the place of the one before.
func (n *nodes) key() string { return nodePrefix + n.g.self.VM }

// addresses returns where a client should go: the gateways of its data hall,
// those of its region if the hall has too few, or all if the region has too.
func (n *nodes) addresses(region, dataHall string) []string {
	members := n.others()
	if !n.g.leaving.Load() {
		members = append(members, n.g.self)
	}
	var inHall, inRegion, all []string
	for _, m := range members {
		all = append(all, m.Caller)
		if m.Region == region {
			inRegion = append(inRegion, m.Caller)
		}
		if m.DataHall == dataHall {
			inHall = append(inHall, m.Caller)
		}
	}
	for _, found := range [][]string{inHall, inRegion} {
		if len(found) >= leastInHall {
			slices.Sort(found)
			return found
		}
	}
	slices.Sort(all)
	return all
}

// run keeps this gateway's entry until the context ends.
func (n *nodes) run(ctx context.Context) {
	ticks := n.g.timers.Subscribe(leaseTime / renewals)
	defer ticks.Stop()
	for {
		if !n.g.leaving.Load() {
			n.keep(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// keep renews the entry's lease, or makes both anew.
func (n *nodes) keep(ctx context.Context) {
	n.mu.Lock()
	id := n.lease
	n.mu.Unlock()
	if id != 0 {
		alive, err := n.g.store.KeepAlive(ctx, id)
		if err != nil {
			slog.Debug("own entry not renewed", "error", err)
			return
		}
		if alive {
			return
		}
		slog.Warn("own entry has lapsed; writing it anew")
	}
	if err := n.announce(ctx); err != nil {
		slog.Debug("own entry not written", "error", err)
	}
}

// announce takes out a lease and writes this gateway's entry with it.
func (n *nodes) announce(ctx context.Context) error {
	entry, err := json.Marshal(n.g.self)
	if err != nil {
		return err
	}
	id, err := n.g.store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.lease = id
	n.mu.Unlock()
	return n.g.store.Put(ctx, n.key(), entry, id)
}

// leave ends this gateway's entry.
func (n *nodes) leave() {
	n.mu.Lock()
	id := n.lease
	n.lease = 0
	n.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTime)
	defer cancel()
	if err := n.g.store.Revoke(ctx, id); err != nil {
		slog.Warn("own entry not taken back; it lapses with its lease", "error", err)
	}
}

// mirrorPeers lets the mirror follow other gateways.
type mirrorPeers struct{ g *Gateway }

// Addresses returns the other known gateways', or the seeds' before any is known.
func (p mirrorPeers) Addresses() []string {
	var addresses []string
	for _, m := range p.g.nodes.others() {
		addresses = append(addresses, m.Peer)
	}
	if len(addresses) > 0 {
		return addresses
	}
	return slices.DeleteFunc(slices.Clone(p.g.settings.Seeds), func(a string) bool { return a == p.g.self.Peer })
}

// upstreamTried is how many gateways a node asks before it goes to the store.
const upstreamTried = 3

// Upstream returns the first gateways of the own data hall, by the VM's name,
// unless this one is the first.
func (p mirrorPeers) Upstream() []string {
	var inHall []view.Member
	for _, m := range p.g.nodes.others() {
		if m.DataHall == p.g.self.DataHall {
			inHall = append(inHall, m)
		}
	}
	slices.SortFunc(inHall, func(a, b view.Member) int { return cmp.Compare(a.VM, b.VM) })
	if len(inHall) == 0 || p.g.self.VM < inHall[0].VM {
		return nil
	}
	var addresses []string
	for _, m := range inHall[:min(upstreamTried, len(inHall))] {
		addresses = append(addresses, m.Peer)
	}
	return addresses
}

// Follow asks a gateway for what it knows beyond a revision.
func (p mirrorPeers) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	return p.g.client.Follow(ctx, address, after, wait)
}
