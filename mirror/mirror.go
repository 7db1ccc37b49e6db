// Package mirror keeps a node's copy of what the platform's store holds, so
// that no request has to ask the store.
//
// The store counts its revisions in one row, so what a node knows is named by
// one number: all changes up to that revision. A copy with a higher revision
// always replaces one with a lower, never the other way round.
//
// Every call to the store is paid for, so one node of each data hall follows
// it by waiting watches, and the others follow that node, by calls that wait
// in the same way. Each answer tells how long ago the store was last heard of.
// A node that gets none in time, or only old news, follows the store itself
// for a while; one that does not reach that either takes what any peer knows.
//
// # Usage
//
//	m := mirror.New(store, peers, timers)
//	m.Subscribe("servers/", func(c mirror.Change) { … })
//	go m.Run(ctx)
package mirror

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/timer"
)

var (
	namespace = errs.Namespace("mirror")

	// HistoryGone says that the changes since a revision are not kept any
	// more; the whole has to be read anew.
	HistoryGone = namespace.NewType("history_gone")
)

// Item is one key as it was last written.
type Item struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	// Deleted marks a key that is gone since Revision.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// Batch is a run of changes up to a revision, or the whole.
type Batch struct {
	Items []Item `cbor:"1,keyasint"`
	// Revision up to which nothing is missing.
	Revision int64 `cbor:"2,keyasint"`
	// Whole says that keys which are not among Items do not exist.
	Whole bool `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the sender last heard from the store.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// Change is one key's change as subscribers see it.
type Change struct {
	Item
}

// Store is what the package needs of the platform's store.
type Store interface {
	// ReadAll returns the whole.
	ReadAll(ctx context.Context) (Batch, error)
	// Follow returns the changes after a revision as soon as there are some,
	// none after wait, or HistoryGone.
	Follow(ctx context.Context, after int64, wait time.Duration) (Batch, error)
}

// Peers is what the package needs of the other nodes.
type Peers interface {
	// Addresses returns the peers to ask, in no order.
	Addresses() []string
	// Upstream returns the peers of this node's data hall that it follows, the
	// first one first; none if this node is to follow the store.
	Upstream() []string
	// Follow asks a peer for what it knows beyond a revision. The peer waits
	// that long for something to tell.
	Follow(ctx context.Context, address string, after int64, wait time.Duration) (Batch, error)
}

const (
	// followWait is how long a watch waits at the store. A path that is cut
	// in silence is noticed after it. Since few nodes watch, short waits cost
	// little.
	followWait = 600 * time.Millisecond
	// followSlack is how late the store may answer a watch that ran out; it
	// answers in 4 ms.
	followSlack = 300 * time.Millisecond
	// staleAge is how old the news of a peer may be for it to be followed: a
	// watch, the gathering after it, and some delay. A change must be in force
	// 2 s after it (the bound of the deployments of today), at a node whose
	// upstream is cut off in the moment of the change too.
	staleAge = 1300 * time.Millisecond
	// peerWait is how long a call to the upstream waits.
	peerWait = 500 * time.Millisecond
	// ownTime is how long a node without good upstream follows the store.
	ownTime = 3 * time.Second
	// retryPause lies between two tries at the store of a node that followed
	// a peer before: in an outage not all nodes should call at once.
	retryPause = time.Second
	// gatherTime lies between two watches. Changes that come close together
	// are then fetched by one call; 300 ms halved the calls in a trial.
	gatherTime = 250 * time.Millisecond
	// readTimeout bounds reading the whole.
	readTimeout = 2 * time.Second
	// peerInterval lies between two questions to peers while the store is
	// out of reach.
	peerInterval = 300 * time.Millisecond
	peerTimeout  = 300 * time.Millisecond
	// peersAsked at once, so that one silent peer costs no time.
	peersAsked = 2
	// kept is the number of changes that are kept for peers; it covers the
	// few seconds by which peers lie apart.
	kept = 2048
)

// Mirror is the copy. It is safe for concurrent use.
type Mirror struct {
	store  Store
	peers  Peers
	timers *timer.Service

	mu          sync.Mutex
	items       map[string]Item
	revision    int64
	recent      []Item
	recentFrom  int64
	changed     chan struct{}
	contact     time.Time
	away        bool
	subscribers []subscriber
	regained    []func()
	// delivery keeps changes in order for subscribers.
	delivery sync.Mutex
}

type subscriber struct {
	prefix  string
	changed func(Change)
}

// New returns an empty mirror.
func New(store Store, peers Peers, timers *timer.Service) *Mirror {
	return &Mirror{store: store, peers: peers, timers: timers, items: make(map[string]Item), changed: make(chan struct{})}
}

// Subscribe calls changed with each change of a key under the prefix, one at
// a time and in the order of revisions. It must be called before Run.
func (m *Mirror) Subscribe(prefix string, changed func(Change)) {
	m.subscribers = append(m.subscribers, subscriber{prefix, changed})
}

// OnRegained calls do whenever the store is reached again after an outage,
// before the changes that it then tells. It must be called before Run.
func (m *Mirror) OnRegained(do func()) { m.regained = append(m.regained, do) }

// Revision returns the revision up to which this node knows everything.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Get returns a key's item.
func (m *Mirror) Get(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	return item, ok
}

// Under returns the items whose keys begin with the prefix, sorted by key.
func (m *Mirror) Under(prefix string) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var under []Item
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) {
			under = append(under, item)
		}
	}
	slices.SortFunc(under, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return under
}

// Age returns how long ago the store, or a peer that had heard from it, last
// confirmed what this node knows.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.timers.Now().Sub(m.contact)
}

// After answers a peer: what this node knows beyond a revision.
func (m *Mirror) After(after int64) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Revision: m.revision, Age: m.timers.Now().Sub(m.contact)}
	switch {
	case after >= m.revision:
	case after >= m.recentFrom:
		for _, item := range m.recent {
			if item.Revision > after {
				b.Items = append(b.Items, item)
			}
		}
	default:
		b.Items, b.Whole = slices.Collect(maps.Values(m.items)), true
	}
	return b
}

// Await is After, but waits until there is something beyond the revision, or
// the time is over.
func (m *Mirror) Await(ctx context.Context, after int64, wait time.Duration) Batch {
	m.mu.Lock()
	known, changed := m.revision, m.changed
	m.mu.Unlock()
	if known <= after {
		timer := time.NewTimer(min(wait, peerWait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return m.After(after)
}

// Run follows the upstream, the store, or any peer, until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	var own time.Time
	for ctx.Err() == nil {
		if m.Revision() == 0 {
			// A node that starts during an outage need not wait for the store
			// to time out.
			go m.askPeers(ctx)
		}
		upstream := m.peers.Upstream()
		if m.Revision() > 0 && len(upstream) > 0 && m.timers.Now().After(own) {
			if m.followPeer(ctx, upstream) {
				continue
			}
			own = m.timers.Now().Add(ownTime)
		}
		err := m.step(ctx)
		if err == nil {
			m.pause(ctx, gatherTime)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		m.lost(err)
		m.askPeers(ctx)
		if len(upstream) > 0 {
			m.pause(ctx, retryPause)
		} else {
			m.pause(ctx, peerInterval)
		}
	}
}

// followPeer takes one answer of the first upstream that has good news. Only
// the first is waited for, so that the next one costs no time.
func (m *Mirror) followPeer(ctx context.Context, upstream []string) bool {
	wait := peerWait
	for _, address := range upstream {
		callCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
		batch, err := m.peers.Follow(callCtx, address, m.Revision(), wait)
		cancel()
		if err != nil {
			slog.Info("upstream did not answer", "peer", address, "error", err)
		} else if m.take(batch); batch.Age < staleAge && batch.Revision >= m.Revision() {
			m.gained()
			m.confirm(batch.Age)
			return true
		} else {
			slog.Info("upstream has old news", "peer", address, "age_ms", batch.Age.Milliseconds(), "its_revision", batch.Revision, "revision", m.Revision())
		}
		wait = 0
	}
	return false
}

// step does one round with the store.
func (m *Mirror) step(ctx context.Context) error {
	after := m.Revision()
	if after == 0 || m.isAway() {
		return m.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, followWait+followSlack)
	defer cancel()
	batch, err := m.store.Follow(ctx, after, followWait)
	if errorx.IsOfType(err, HistoryGone) {
		slog.Info("history of the store is gone; reading the whole", "after", after)
		return m.readAll(ctx)
	}
	if err != nil {
		return err
	}
	m.take(batch)
	m.confirm(0)
	return nil
}

func (m *Mirror) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := m.store.ReadAll(ctx)
	if err != nil {
		return err
	}
	m.gained()
	m.take(batch)
	m.confirm(0)
	return nil
}

// askPeers takes what a few random peers know.
func (m *Mirror) askPeers(ctx context.Context) {
	addresses := m.peers.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range addresses[:min(peersAsked, len(addresses))] {
		calls.Go(func() {
			batch, err := m.peers.Follow(ctx, address, m.Revision(), 0)
			if err != nil {
				slog.Debug("peer did not answer", "peer", address, "error", err)
				return
			}
			m.take(batch)
			m.confirm(batch.Age)
		})
	}
	calls.Wait()
}

// confirm notes that what this node knows was in force age ago.
func (m *Mirror) confirm(age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at := m.timers.Now().Add(-age); at.After(m.contact) {
		m.contact = at
	}
}

func (m *Mirror) isAway() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.away
}

func (m *Mirror) lost(err error) {
	m.mu.Lock()
	before := m.away
	m.away = true
	revision := m.revision
	m.mu.Unlock()
	if !before {
		slog.Warn("store is out of reach; following peers", "revision", revision, "error", err)
	}
}

func (m *Mirror) gained() {
	m.mu.Lock()
	before := m.away
	m.away = false
	m.mu.Unlock()
	if before {
		slog.Info("store is reached again", "away_ms", m.Age().Milliseconds())
		for _, do := range m.regained {
			do()
		}
	}
}

// take puts a batch in force if it brings anything new.
func (m *Mirror) take(b Batch) {
	m.delivery.Lock()
	defer m.delivery.Unlock()
	for _, change := range m.apply(b) {
		for _, s := range m.subscribers {
			if strings.HasPrefix(change.Key, s.prefix) {
				s.changed(change)
			}
		}
	}
}

// apply changes the copy and returns what changed.
func (m *Mirror) apply(b Batch) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.Revision <= m.revision && m.revision != 0 {
		return nil
	}
	items := b.Items
	if b.Whole {
		items = append(slices.Clone(items), m.missing(b)...)
	}
	slices.SortStableFunc(items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	var changes []Change
	for _, item := range items {
		known, ok := m.items[item.Key]
		if (ok && item.Revision <= known.Revision) || (!ok && item.Deleted) {
			continue
		}
		if item.Deleted {
			delete(m.items, item.Key)
		} else {
			m.items[item.Key] = item
		}
		m.recent = append(m.recent, item)
		changes = append(changes, Change{item})
	}
	m.revision = b.Revision
	close(m.changed)
	m.changed = make(chan struct{})
	m.trim(b.Whole)
	return changes
}

// missing returns the deletions that a whole implies.
func (m *Mirror) missing(b Batch) []Item {
	present := make(map[string]bool, len(b.Items))
	for _, item := range b.Items {
		present[item.Key] = true
	}
	var gone []Item
	for key := range m.items {
		if !present[key] {
			gone = append(gone, Item{Key: key, Revision: b.Revision, Deleted: true})
		}
	}
	return gone
}

// trim bounds the changes that are kept. After a whole the steps between are
// not known, so peers that lag behind it need the whole too.
func (m *Mirror) trim(whole bool) {
	if whole {
		m.recent, m.recentFrom = nil, m.revision
	}
	if surplus := len(m.recent) - kept; surplus > 0 {
		m.recentFrom = m.recent[surplus-1].Revision
		m.recent = slices.Clone(m.recent[surplus:])
	}
}

func (m *Mirror) pause(ctx context.Context, d time.Duration) {
	ticks := m.timers.Subscribe(d)
	defer ticks.Stop()
	select {
	case <-ctx.Done():
	case <-ticks.C():
	}
}
