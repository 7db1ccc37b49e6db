package share

import (
	"context"
	"log/slog"
	"time"

	"github.com/violettally/violettally/view"
)

const (
	// exchangeInterval is the time between two calls of a node. A record that arrives
	// after the prefill of its prompt has ended comes too late to keep other nodes from
	// choosing the server. In a data hall of 60 nodes a record passes through four calls,
	// and one more to another hall: 125 ms on average, 250 ms with twice the interval.
	exchangeInterval = 50 * time.Millisecond
	// maxExchangeInterval bounds the interval in large deployments, which have more than
	// smallDeployment nodes. Lost requests must be known before their clients have retried
	// several times.
	maxExchangeInterval = time.Second
	smallDeployment     = 300.0
	// callTimeout bounds one call. Peers respond within a few milliseconds.
	callTimeout = 300 * time.Millisecond
	// peerBackoff is how long a peer that did not respond is skipped.
	peerBackoff = 2 * time.Second
)

// Nodes returns the other nodes. The list must not be modified, and is the same one until it
// changes.
type Nodes interface {
	Others() []view.Member
}

// PeerClient calls other nodes.
type PeerClient interface {
	Exchange(ctx context.Context, address string, m Message) (Reply, error)
}

// Run exchanges records with other nodes until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	var l *layout
	for ctx.Err() == nil {
		if others := x.nodes.Others(); !l.describes(others) {
			l = newLayout(x.self, others)
		}
		ticks := x.timers.Subscribe(l.interval())
		select {
		case <-ctx.Done():
		case <-ticks.C():
			for _, address := range l.targets(x.skipped) {
				x.callPeer(ctx, address, l)
			}
		}
		ticks.Stop()
	}
}

// skipped reports whether a peer is skipped because it did not respond.
func (x *Exchange) skipped(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[address]
	return p != nil && !x.timers.Now().After(p.skippedUntil)
}

// callPeer makes one call, and skips the peer for a while if it fails.
func (x *Exchange) callPeer(ctx context.Context, address string, l *layout) {
	node, hall := l.hashes(address)
	message, upTo := x.nextMessage(address, node, hall)
	began := x.timers.Now()
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
	x.receive(reply.Batches, node, x.timers.Now().Sub(began))
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[address]
	p.logID, p.receivedUpTo, p.sentUpTo = reply.LogID, reply.UpTo, upTo
}

// nextMessage returns the message to a peer with the given hashes, and the position in the log
// that it reaches.
func (x *Exchange) nextMessage(address string, node, hall uint64) (m Message, upTo uint64) {
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
