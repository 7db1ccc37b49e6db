package mirror

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// A node sends one snapshot at a time for each fanOutPerSnapshot nodes that it can pass
	// changes on to, and minSnapshots at least. Snapshots of a large deployment take some
	// hundred kilobytes each; too many at once fill its link and its memory.
	fanOutPerSnapshot = 4
	minSnapshots      = 2
	// snapshotWait is how long a peer waits for its turn before it is told that this node is busy.
	snapshotWait = 200 * time.Millisecond
	// snapshotSendTime is the time after which a snapshot counts as sent, since a peer that has
	// lost power does not end its connection.
	snapshotSendTime = 5 * time.Second
	// holdersKept is how many peers that got a snapshot are remembered, for holderTime.
	// holdersNamed is how many of them are named to a peer.
	holdersKept  = 16
	holdersNamed = 4
	holderTime   = 10 * time.Second
)

// giver hands out this node's copy to others, a few at a time.
type giver struct {
	// turns holds a value for each snapshot that is being sent.
	turns chan struct{}

	mu sync.Mutex
	// holders are the peers that got a snapshot last, the latest one last.
	holders []holder
}

// holder is a peer that got a snapshot.
type holder struct {
	address string
	at      time.Time
}

// WithFanOut sets the number of nodes that this one can pass its copy on to.
func WithFanOut(nodes int) Option {
	return func(m *Mirror) { m.giver.turns = make(chan struct{}, max(minSnapshots, nodes/fanOutPerSnapshot)) }
}

// Respond returns the response to a peer that has all changes up to a revision: the changes since,
// for which it waits like Await, or a snapshot. Few snapshots are sent at a time; a peer for which
// there is no turn within some time is told that this node is busy, and who else may have a copy.
// The caller calls sent once the response was sent.
func (m *Mirror) Respond(ctx context.Context, peer string, after int64, wait time.Duration) (b Batch, sent func(error)) {
	begun := m.timers.Steady()
	if m.Knows(after) {
		b = m.Await(ctx, after, wait)
		if b.Revision == 0 {
			b.Busy = m.reading.Load()
		}
		if !b.Snapshot {
			return b, func(error) {}
		}
		// The first copy has arrived meanwhile; others that wait for it wait for their turns.
	}
	if !m.giver.awaitTurn(ctx, min(wait, snapshotWait)) {
		return Batch{Busy: true, Holders: m.giver.holdersFor(peer, m.timers.Steady())}, func(error) {}
	}
	b = m.ChangesAfter(after)
	b.Waited = m.timers.Steady().Sub(begun)
	return b, m.giver.endTurn(peer, m.timers.Steady)
}

// Knows reports whether this node has all changes after a revision, so that ChangesAfter
// returns no snapshot.
func (m *Mirror) Knows(after int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return after >= m.revision || after >= m.recentFrom
}

// Await is ChangesAfter, but first waits until there are changes after the revision,
// the store has confirmed that there are none, or the time is over. It waits no longer
// than this package's own calls ask for, so that no peer can hold a call open for as
// long as it likes.
func (m *Mirror) Await(ctx context.Context, after int64, wait time.Duration) Batch {
	begun := m.timers.Steady()
	m.mu.Lock()
	known, changed := m.revision, m.changed
	m.mu.Unlock()
	if known <= after && wait > 0 {
		expiry := time.NewTimer(min(wait, peerWait))
		defer expiry.Stop()
		select {
		case <-changed:
		case <-expiry.C:
		case <-ctx.Done():
		}
	}
	b := m.ChangesAfter(after)
	b.Waited = m.timers.Steady().Sub(begun)
	return b
}

// ChangesAfter returns the changes after a revision, or a snapshot, as the response to
// a peer.
func (m *Mirror) ChangesAfter(after int64) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Revision: m.revision, Age: m.timers.Steady().Sub(m.asOf)}
	switch {
	case after >= m.revision:
	case after >= m.recentFrom:
		for _, item := range m.recent {
			if item.Revision > after {
				b.Items = append(b.Items, item)
			}
		}
	default:
		return m.snapshotForPeers()
	}
	return b
}

const (
	// snapshotReuse is how long a large snapshot is given to further peers, which get the later
	// changes with their next call. When many nodes start at once, it is made and encoded once.
	snapshotReuse = 2 * time.Second
	// largeSnapshot is the number of items from which a snapshot is large.
	largeSnapshot = 1000
)

// snapshotForPeers returns a snapshot of the copy, which may be up to snapshotReuse old. The
// caller holds mu.
func (m *Mirror) snapshotForPeers() Batch {
	now := m.timers.Steady()
	reusable := len(m.items) >= largeSnapshot && m.snapshot.Revision >= m.recentFrom && now.Sub(m.snapshotAsOf) <= snapshotReuse
	if m.revision != m.snapshot.Revision && !reusable {
		m.snapshot = Batch{Items: slices.Collect(maps.Values(m.items)), Revision: m.revision, Snapshot: true}
	}
	if m.revision == m.snapshot.Revision {
		m.snapshotAsOf = m.asOf
	}
	b := m.snapshot
	b.Age = now.Sub(m.snapshotAsOf)
	return b
}

// dropOldSnapshot frees the snapshot for peers if it is not given out any more. The caller holds
// mu.
func (m *Mirror) dropOldSnapshot() {
	if m.timers.Steady().Sub(m.snapshotAsOf) > snapshotReuse {
		m.snapshot = Batch{}
	}
}

// notifyStep is how much more recent a confirmation without changes must be than the
// last one for waiting peers to get a response.
const notifyStep = 100 * time.Millisecond

// notifyPeers lets the waiting calls of peers return. The caller holds mu.
func (m *Mirror) notifyPeers() {
	m.notifiedAsOf = m.asOf
	close(m.changed)
	m.changed = make(chan struct{})
}

// awaitTurn waits for a turn to send a snapshot.
func (g *giver) awaitTurn(ctx context.Context, wait time.Duration) bool {
	select {
	case g.turns <- struct{}{}:
		return true
	default:
	}
	if wait <= 0 {
		return false
	}
	expiry := time.NewTimer(wait)
	defer expiry.Stop()
	select {
	case g.turns <- struct{}{}:
		return true
	case <-expiry.C:
	case <-ctx.Done():
	}
	return false
}

// endTurn returns what ends a turn once the snapshot was sent. The turn ends by itself if that
// takes too long.
func (g *giver) endTurn(peer string, now func() time.Time) func(error) {
	end := sync.OnceFunc(func() { <-g.turns })
	expiry := time.AfterFunc(snapshotSendTime, end)
	return func(err error) {
		expiry.Stop()
		if err == nil && peer != "" {
			g.addHolder(holder{peer, now()})
		}
		end()
	}
}

// addHolder remembers a peer that got a snapshot.
func (g *giver) addHolder(h holder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holders = append(slices.DeleteFunc(g.holders, func(known holder) bool { return known.address == h.address }), h)
	if len(g.holders) > holdersKept {
		g.holders = g.holders[1:]
	}
}

// holdersFor returns some of the peers that got a snapshot lately, other than the given one.
func (g *giver) holdersFor(peer string, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, i := range rand.Perm(len(g.holders)) {
		h := g.holders[i]
		if h.address != peer && now.Sub(h.at) <= holderTime && len(addresses) < holdersNamed {
			addresses = append(addresses, h.address)
		}
	}
	return addresses
}
