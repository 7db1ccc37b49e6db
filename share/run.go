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
	// interval lies between two calls of a node. What is told later than a
	// prompt takes to be read comes too late to keep others from its server. In a
	// data hall of 60 news passes four calls and one to another hall: 125 ms on
	// average, 250 ms with twice the interval.
	interval = 50 * time.Millisecond
	// fanOut is how many nodes call the same one in a data hall: halls of up to
	// 73 have two levels below their top.
	fanOut = 8
	// callTime bounds one call. Peers answer in some milliseconds.
	callTime = 300 * time.Millisecond
	// downTime is how long a peer that did not answer is passed over.
	downTime = 2 * time.Second
)

// Nodes knows the other nodes.
type Nodes interface {
	Others() []view.Member
}

// Caller calls other nodes.
type Caller interface {
	Exchange(ctx context.Context, address string, m Message) (Reply, error)
}

// Run exchanges with other nodes until the context ends.
func (b *Exchange) Run(ctx context.Context) {
	for ctx.Err() == nil {
		halls := b.halls()
		ticks := b.timers.Subscribe(interval)
		select {
		case <-ctx.Done():
		case <-ticks.C():
			for _, address := range b.targets(halls) {
				b.exchange(ctx, address)
			}
		}
		ticks.Stop()
	}
}

// halls returns all nodes that are not passed over, this one included, by data
// hall and in order.
func (b *Exchange) halls() map[string][]view.Member {
	members := append(b.nodes.Others(), b.self)
	now := b.timers.Now()
	halls := make(map[string][]view.Member)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range members {
		if p := b.peers[m.Peer]; p == nil || now.After(p.down) {
			halls[m.DataHall] = append(halls[m.DataHall], m)
		}
	}
	for _, hall := range halls {
		slices.SortFunc(hall, func(x, y view.Member) int { return cmp.Compare(x.VM, y.VM) })
	}
	return halls
}

// targets returns whom this node calls: the one above it in the tree of its data
// hall, or, if it is the top, that of each data hall which comes after its own.
func (b *Exchange) targets(halls map[string][]view.Member) []string {
	own := halls[b.self.DataHall]
	at := slices.IndexFunc(own, func(m view.Member) bool { return m.VM == b.self.VM })
	if at > 0 {
		return []string{own[(at-1)/fanOut].Peer}
	}
	var addresses []string
	for hall, members := range halls {
		if hall > b.self.DataHall {
			addresses = append(addresses, members[0].Peer)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// exchange makes one call.
func (b *Exchange) exchange(ctx context.Context, address string) {
	message, upTo := b.message(address)
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	reply, err := b.caller.Exchange(ctx, address, message)
	if err != nil {
		slog.Debug("peer did not take what was sent to servers", "peer", address, "error", err)
		b.mu.Lock()
		b.peers[address].down = b.timers.Now().Add(downTime)
		b.mu.Unlock()
		return
	}
	from, _ := b.peerAt(address)
	b.take(reply.Batches, from)
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[address]
	p.board, p.after, p.told = reply.LogID, reply.UpTo, upTo
}

// message returns what a peer is to be told, and up to which entry that is all.
func (b *Exchange) message(address string) (m Message, upTo uint64) {
	node, hall := b.peerAt(address)
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[address]
	if p == nil {
		p = &peer{}
		b.peers[address] = p
	}
	news := b.since(p.told, func(e entry) bool {
		if hall == b.hall {
			return e.from != node
		}
		return e.hall == b.hall
	})
	return Message{Node: b.node, Hall: b.hall, LogID: p.board, After: p.after, Batches: news}, b.count
}

// peerAt returns the hashes of a peer's ID and of its data hall.
func (b *Exchange) peerAt(address string) (node, hall uint64) {
	for _, m := range b.nodes.Others() {
		if m.Peer == address {
			return rendezvous.Hash(m.ID), rendezvous.Hash(m.DataHall)
		}
	}
	return 0, 0
}
