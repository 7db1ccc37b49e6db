package share

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/view"
)

const (
	// exchangeInterval is the time between two calls of a node. A record that arrives
	// after the prefill of its prompt has ended comes too late to keep other nodes from
	// choosing the server. In a data hall of 60 nodes a record passes through four calls,
	// and one more to another hall: 125 ms on average, 250 ms with twice the interval.
	exchangeInterval = 50 * time.Millisecond
	// fanOut is the number of children of a node in the tree of a data hall: halls of up
	// to 73 nodes have two levels below the root.
	fanOut = 8
	// callTimeout bounds one call. Peers respond within a few milliseconds.
	callTimeout = 300 * time.Millisecond
	// peerBackoff is how long a peer that did not respond is skipped.
	peerBackoff = 2 * time.Second
)

// Nodes returns the other nodes.
type Nodes interface {
	Others() []view.Member
}

// PeerClient calls other nodes.
type PeerClient interface {
	Exchange(ctx context.Context, address string, m Message) (Reply, error)
}

// Run exchanges records with other nodes until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	for ctx.Err() == nil {
		halls := x.membersByHall()
		ticks := x.timers.Subscribe(exchangeInterval)
		select {
		case <-ctx.Done():
		case <-ticks.C():
			for _, address := range x.targets(halls) {
				x.callPeer(ctx, address)
			}
		}
		ticks.Stop()
	}
}

// membersByHall returns all nodes that are not skipped, including this one, by data hall
// and sorted by VM.
func (x *Exchange) membersByHall() map[string][]view.Member {
	members := append(x.nodes.Others(), x.self)
	now := x.timers.Now()
	halls := make(map[string][]view.Member)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range members {
		if p := x.peers[m.Peer]; p == nil || now.After(p.skippedUntil) {
			halls[m.DataHall] = append(halls[m.DataHall], m)
		}
	}
	for _, hall := range halls {
		slices.SortFunc(hall, func(a, b view.Member) int { return cmp.Compare(a.VM, b.VM) })
	}
	return halls
}

// targets returns the addresses that this node calls: its parent in the tree of its data
// hall or, if it is the root, the roots of the data halls whose names sort after its own.
func (x *Exchange) targets(halls map[string][]view.Member) []string {
	own := halls[x.self.DataHall]
	index := slices.IndexFunc(own, func(m view.Member) bool { return m.VM == x.self.VM })
	if index > 0 {
		return []string{own[(index-1)/fanOut].Peer}
	}
	var addresses []string
	for hall, members := range halls {
		if hall > x.self.DataHall {
			addresses = append(addresses, members[0].Peer)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// callPeer makes one call, and skips the peer for a while if it fails.
func (x *Exchange) callPeer(ctx context.Context, address string) {
	message, upTo := x.nextMessage(address)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := x.client.Exchange(ctx, address, message)
	if err != nil {
		slog.Debug("exchange with peer failed; skipping it for a while", "peer", address, "error", err)
		x.mu.Lock()
		x.peers[address].skippedUntil = x.timers.Now().Add(peerBackoff)
		x.mu.Unlock()
		return
	}
	from, _ := x.peerHashes(address)
	x.receive(reply.Batches, from)
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[address]
	p.logID, p.receivedUpTo, p.sentUpTo = reply.LogID, reply.UpTo, upTo
}

// nextMessage returns the message to a peer, and the position in the log that it reaches.
func (x *Exchange) nextMessage(address string) (m Message, upTo uint64) {
	node, hall := x.peerHashes(address)
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[address]
	if p == nil {
		p = &peer{}
		x.peers[address] = p
	}
	batches := x.entriesAfter(p.sentUpTo, func(e entry) bool {
		if hall == x.hall {
			return e.receivedFrom != node
		}
		return e.hall == x.hall
	})
	return Message{Node: x.node, Hall: x.hall, LogID: p.logID, After: p.receivedUpTo, Batches: batches}, x.count
}

// peerHashes returns the hashes of a peer's ID and of its data hall.
func (x *Exchange) peerHashes(address string) (node, hall uint64) {
	for _, m := range x.nodes.Others() {
		if m.Peer == address {
			return rendezvous.Hash(m.ID), rendezvous.Hash(m.DataHall)
		}
	}
	return 0, 0
}
