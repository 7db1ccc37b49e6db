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
// An upstream that does not answer, or knows less than the store tells, is
// passed over for a while: the next one is followed, and a node without any
// follows the store.
//
// However that goes, news is not to be older than [pollAge]: a node whose news
// would be looks at the store itself, whatever its upstream does. So a node that
// reaches the store knows of a change within that time and one call. In an outage
// of the store looks get rarer, and nodes take what any peer knows. A node that
// starts asks the store first, and peers soon after.
//
// # Usage
//
//	m := mirror.New(store, peers, timers)
//	m.OnRegained(func() { … })
//	m.Subscribe("servers/", func(c mirror.Change) { … })
//	go m.Run(ctx)
//	…
//	item, ok := m.Get("rollouts")            // what this node knows
//	batch := m.Await(ctx, revision, wait)    // what it tells a peer
package mirror

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/timer"
)

var (
	namespace = errs.Namespace("mirror")

	// HistoryGone says that the changes since a revision are not kept any
	// more; the whole has to be read anew.
	HistoryGone = namespace.NewType("history_gone")
	// Stalled says that this process did not run while a call was under way, so that
	// its failure tells nothing of whoever was called.
	Stalled = namespace.NewType("stalled")
)

// Item is one key as it was last written. The fields are exported for the
// codec by which peers exchange it.
type Item struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	// Deleted marks a key that is gone since Revision.
	Deleted bool `cbor:"4,keyasint,omitempty"`
	// Lease is the one that the key goes with; zero for none, or if a peer of an
	// earlier version told of the key.
	Lease int64 `cbor:"6,keyasint,omitempty"`
}

// Batch is a run of changes up to a revision, or the whole. The fields are
// exported for the codec by which peers exchange it.
type Batch struct {
	Items []Item `cbor:"1,keyasint"`
	// Revision up to which nothing is missing.
	Revision int64 `cbor:"2,keyasint"`
	// Snapshot says that keys which are not among Items do not exist.
	Snapshot bool `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the store confirmed this: as the sender knew it, or once
	// it has come, at the least that the receiver can prove.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Waited is for how long the sender let the call wait.
	Waited time.Duration `cbor:"5,keyasint,omitempty"`
}

// Change is one key's change as subscribers see it: the item as it now is, or
// marked as deleted.
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
	// Addresses returns the peers to ask, in the order in which they should be.
	Addresses() []string
	// Upstream returns the peers of this node's data hall that it may follow, the
	// one to follow if all is well first; none if this node is to follow the store.
	Upstream() []string
	// Follow asks a peer for what it knows beyond a revision. The peer waits
	// that long for something to tell.
	Follow(ctx context.Context, address string, after int64, wait time.Duration) (Batch, error)
}

// minRecentChanges is the least number of changes that are kept for peers; it covers the few
// seconds by which peers lie apart.
const minRecentChanges = 2048

// LargeValueBytes is the size in bytes from which a value counts as large: declarations
// are, entries are not. What is smaller fits into a few packets, and is not worth
// telling in fewer.
const LargeValueBytes = 8 << 10

// Mirror is the copy. It is safe for concurrent use.
type Mirror struct {
	store  Store
	peers  Peers
	timers *timer.Service
	count  func(Event)

	// subscribers and regained do not change any more once Run has begun.
	subscribers    []subscriber
	storeRecovered []func()

	// delivery keeps changes in order for subscribers. It is taken before mu.
	delivery sync.Mutex

	mu    sync.Mutex
	items map[string]Item
	// previous are the large values that keys held before their last change.
	previous map[string]Item
	revision int64
	// delivered is the revision up to which subscribers have been told.
	delivered int64
	// recent are the last changes, all of those after revision recentFrom.
	recent     []Item
	recentFrom int64
	// synced is closed once subscribers have been told the first whole.
	synced chan struct{}
	// changed is closed, and made anew, when there is something to tell a peer: the
	// revision rises, or the store has confirmed it anew.
	changed chan struct{}
	// asOf is when the store confirmed what this node knows, by its own
	// word or a peer's, and inForce the same of what subscribers have been told.
	asOf, deliveredAsOf time.Time
	// notifiedAsOf is the contact when peers were last told.
	notifiedAsOf time.Time
	// unreachable says that the store did not answer, and that neither it nor an
	// upstream that reaches it has since.
	unreachable bool
	// lastFailure is when a call to the store last failed: without one, silence is not the
	// store's. nextLook is when another look may follow one that failed.
	lastFailure, nextPoll time.Time

	// refreshed is closed, and made anew, when subscribers have been told what the store
	// confirmed, or the store did not answer; urgent asks for a look at once.
	refreshed chan struct{}
	pollNow   chan struct{}

	// followsStore says that Run's task follows the store.
	followsStore atomic.Bool
	// Only Run's task uses these. followed is the upstream that answered last; passed
	// holds until when upstreams are passed over.
	lastUpstream string
	skippedUntil map[string]time.Time
}

// subscriber is told of the changes under a prefix.
type subscriber struct {
	prefix  string
	changed func(Change)
}

// New returns an empty mirror.
func New(store Store, peers Peers, timers *timer.Service, options ...Option) *Mirror {
	m := &Mirror{
		count:        func(Event) {},
		store:        store,
		peers:        peers,
		timers:       timers,
		items:        make(map[string]Item),
		previous:     make(map[string]Item),
		synced:       make(chan struct{}),
		changed:      make(chan struct{}),
		refreshed:    make(chan struct{}),
		pollNow:      make(chan struct{}, 1),
		skippedUntil: make(map[string]time.Time),
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Subscribe calls changed with each change of a key under the prefix, one at
// a time and in the order of revisions. It must be called before Run.
func (m *Mirror) Subscribe(prefix string, changed func(Change)) {
	m.subscribers = append(m.subscribers, subscriber{prefix, changed})
}

// OnStoreRecovered calls do when there is fresh news after an outage of the store,
// from the store itself or from a peer, before the changes that it tells. It
// must be called before Run.
func (m *Mirror) OnStoreRecovered(do func()) { m.storeRecovered = append(m.storeRecovered, do) }

// Revision returns the revision up to which this node knows everything.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Delivered returns the revision up to which all subscribers have been told
// everything; zero until they have been told the first whole. It lags behind
// Revision while they are being told.
func (m *Mirror) Delivered() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delivered
}

// Synced is closed once all subscribers have been told the first whole.
func (m *Mirror) Synced() <-chan struct{} { return m.synced }

// Get returns a key's item.
func (m *Mirror) Get(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	return item, ok
}

// Previous returns what a key held before its last change, if that was large.
func (m *Mirror) Previous(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.previous[key]
	return item, ok
}

// Age returns how long ago the store, or a peer that had heard from it, last
// confirmed what subscribers have been told.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.timers.Steady().Sub(m.deliveredAsOf)
}

// ChangesAfter answers a peer: what this node knows beyond a revision.
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
		b.Items, b.Snapshot = slices.Collect(maps.Values(m.items)), true
	}
	return b
}

// Await is After, but waits until there is something beyond the revision, the
// store has confirmed that there is nothing, or the time is over. It waits no longer
// than this package's own callers ask, so that no peer can hold a call for as long
// as it likes.
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

// deliver puts a batch in force that the store confirmed at a time, if it brings
// anything new.
func (m *Mirror) deliver(b Batch, at time.Time) {
	m.delivery.Lock()
	defer m.delivery.Unlock()
	for _, change := range m.apply(b, at) {
		for _, s := range m.subscribers {
			if strings.HasPrefix(change.Key, s.prefix) {
				s.changed(change)
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.delivered == 0 && m.revision > 0 {
		close(m.synced)
	}
	m.delivered, m.deliveredAsOf = m.revision, m.asOf
	m.signalRefresh()
}

// apply changes the copy and returns what changed.
func (m *Mirror) apply(b Batch, at time.Time) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.Revision < m.revision {
		return nil
	}
	if at.After(m.asOf) {
		m.asOf = at
	}
	if b.Revision == m.revision && m.revision != 0 {
		if m.asOf.Sub(m.notifiedAsOf) >= notifyStep {
			m.notifyPeers()
		}
		return nil
	}
	items := b.Items
	if b.Snapshot {
		items = append(slices.Clone(items), m.impliedDeletions(b)...)
	}
	slices.SortStableFunc(items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	var changes []Change
	for _, item := range items {
		if item.Revision > m.revision {
			// Also what is known already, from a later page of a whole: peers at
			// the revision of its first page may not know it.
			m.recent = append(m.recent, item)
		}
		known, ok := m.items[item.Key]
		if (ok && item.Revision <= known.Revision) || (!ok && item.Deleted) {
			continue
		}
		if len(known.Value) >= LargeValueBytes {
			m.previous[item.Key] = known
		} else {
			delete(m.previous, item.Key)
		}
		if item.Deleted {
			delete(m.items, item.Key)
		} else {
			m.items[item.Key] = item
		}
		changes = append(changes, Change{item})
	}
	m.revision = b.Revision
	m.notifyPeers()
	m.trimRecent(b.Snapshot)
	return changes
}

// notifyStep is by how much news must be fresher for peers to be told that
// nothing has changed.
const notifyStep = 100 * time.Millisecond

// notifyPeers lets the calls of peers that wait return. The caller holds mu.
func (m *Mirror) notifyPeers() {
	m.notifiedAsOf = m.asOf
	close(m.changed)
	m.changed = make(chan struct{})
}

// impliedDeletions returns the deletions that a whole implies.
func (m *Mirror) impliedDeletions(b Batch) []Item {
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

// trimRecent bounds the changes that are kept. After a whole the steps between are
// not known, so peers that lag behind it need the whole too.
func (m *Mirror) trimRecent(whole bool) {
	if whole {
		m.recent, m.recentFrom = nil, m.revision
	}
	// Two for each key: when all servers of a large deployment announce
	// themselves, peers must not need the whole for every few of them.
	if surplus := len(m.recent) - max(minRecentChanges, 2*len(m.items)); surplus > 0 {
		m.recentFrom = m.recent[surplus-1].Revision
		m.recent = slices.Clone(m.recent[surplus:])
	}
}
