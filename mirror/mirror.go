// Package mirror keeps a local copy of the platform store on each node, so that no
// request has to wait for a call to the store.
//
// The store counts its changes with a single revision number, so one number describes
// the state of a copy: it contains all changes up to that revision. A batch with a
// lower revision never replaces a copy with a higher one.
//
// Every call to the store costs money. In each data hall, therefore, one node follows
// the store with long polls, and the other nodes follow that node, their upstream, in
// the same way. Each response carries its age: the time since the store confirmed it.
// An upstream that does not respond, or whose data is stale while the node's own is
// not, is skipped for a while and the next one is followed. A node without any upstream
// follows the store.
//
// Independently of that, a node polls the store itself as soon as its copy is older
// than [pollAge]. A node that can reach the store therefore learns of a change within
// that time and the time of one call. During an outage of the store, polls become rarer
// and nodes take newer data from any peer.
//
// A node that starts asks the store first, and peers soon after. A small store is read in
// full. Of a large one, only one node of a data hall, the reader, does that. The others get
// their copies from the reader and from each other, since hundreds of nodes may start at
// once.
//
// # Usage
//
//	m := mirror.New(store, peers, timers)
//	m.OnStoreRecovered(func() { … })
//	m.Subscribe("servers/", func(c mirror.Change) { … })
//	go m.Run(ctx)
//	…
//	item, ok := m.Get("rollouts")            // from the local copy
//	batch, sent := m.Respond(ctx, peer, revision, wait) // the response to a peer
package mirror

import (
	"cmp"
	"context"
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

	// HistoryGone says that the changes since a revision are no longer kept, so that a
	// full snapshot has to be read.
	HistoryGone = namespace.NewType("history_gone")
	// Stalled says that this process did not run during a call, so that the failure of
	// the call says nothing about whoever was called.
	Stalled = namespace.NewType("stalled")
)

// Item is the last write of a key. The fields are exported for the codec by which peers
// exchange items.
type Item struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	// Deleted marks a key that was deleted at Revision.
	Deleted bool `cbor:"4,keyasint,omitempty"`
	// Lease is the lease with which the key expires; zero if it has none, or if the
	// item came from a peer of an earlier version.
	Lease int64 `cbor:"6,keyasint,omitempty"`
}

// Batch is a list of changes up to a revision, or a full snapshot. The fields are
// exported for the codec by which peers exchange batches.
type Batch struct {
	Items []Item `cbor:"1,keyasint"`
	// Revision is the revision up to which the batch is complete.
	Revision int64 `cbor:"2,keyasint"`
	// Snapshot says that keys which are not among Items do not exist.
	Snapshot bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the store confirmed the batch: as reported by the sender,
	// or, once it has been received, the smallest upper bound that the receiver can
	// prove.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Waited is how long the sender held the call before it responded.
	Waited time.Duration `cbor:"5,keyasint,omitempty"`
	// Busy says that the sender passes its copy on to as many others as it can at present, or
	// reads the store. The batch is empty then.
	Busy bool `cbor:"6,keyasint,omitempty"`
	// Holders are the addresses of some peers that have got a copy from a busy sender.
	Holders []string `cbor:"7,keyasint,omitempty"`
}

// Change is a changed key as subscribers see it: the current item, or one that is
// marked as deleted.
type Change struct {
	Item
}

// Store is the part of the platform store that this package uses.
type Store interface {
	// ReadAll returns a full snapshot.
	ReadAll(ctx context.Context) (Batch, error)
	// ReadStart returns the beginning of a snapshot, of bounded size, and whether there is
	// more. It may be some seconds old, and costs less than ReadAll.
	ReadStart(ctx context.Context) (start Batch, more bool, err error)
	// ReadRest returns the whole snapshot of which an earlier call has returned the beginning,
	// which may be empty. If it fails, it returns what has been read by then.
	ReadRest(ctx context.Context, start Batch) (Batch, error)
	// Follow returns the changes after a revision as soon as there are any, an empty
	// batch after wait, or HistoryGone.
	Follow(ctx context.Context, after int64, wait time.Duration) (Batch, error)
}

// Peers gives access to the other nodes.
type Peers interface {
	// Addresses returns the peers to query, in the order in which to query them.
	Addresses() []string
	// Upstream returns the peers of this node's data hall that it may follow, the
	// preferred one first; none if this node has to follow the store.
	Upstream() []string
	// Sources returns nodes of this node's data hall that may have a copy, in the order in which
	// to ask them.
	Sources(ctx context.Context) []string
	// Follow asks a peer for the changes after a revision. The peer holds the call for
	// up to wait until there are any.
	Follow(ctx context.Context, address string, after int64, wait time.Duration) (Batch, error)
}

// minRecentChanges is the least number of changes that are kept for peers. It covers
// the few seconds by which peers are behind each other.
const minRecentChanges = 2048

// LargeValueBytes is the size from which a value counts as large: declarations are
// large, entries are not. Smaller values fit into a few packets, so compressing them or
// sending only a difference is not worthwhile.
const LargeValueBytes = 8 << 10

// SmallSnapshotBytes is the size of the values up to which a node that starts reads the store in
// full: some hundreds of keys. Of a larger store, one node of the data hall does.
const SmallSnapshotBytes = 128 << 10

// Mirror is the local copy of the store. It is safe for concurrent use.
type Mirror struct {
	store  Store
	peers  Peers
	timers *timer.Service
	count  func(Event)
	giver  giver
	// readers is nil if there is no record of the data hall's reader.
	readers     HallReaders
	readerDelay time.Duration

	// subscribers and onStoreRecovered do not change after Run has begun.
	subscribers      []subscriber
	onStoreRecovered []func()

	// delivery serialises the delivery of changes to subscribers. It is locked before
	// mu.
	delivery sync.Mutex

	mu    sync.Mutex
	items map[string]Item
	// previous holds the large values that keys had before their last change.
	previous map[string]Item
	revision int64
	// delivered is the revision up to which changes were delivered to subscribers.
	delivered int64
	// snapshot is the last snapshot made for peers, for those that ask for one soon after.
	snapshot Batch
	// recent holds the last changes: all those after revision recentFrom.
	recent     []Item
	recentFrom int64
	// synced is closed once the first snapshot was delivered to subscribers.
	synced chan struct{}
	// changed is closed and replaced when waiting peers are to get a response: the
	// revision has risen, or the store has confirmed it again.
	changed chan struct{}
	// asOf is when the store confirmed the copy, directly or by way of a peer;
	// deliveredAsOf is the same for what was delivered to subscribers.
	asOf, deliveredAsOf time.Time
	// snapshotAsOf is when the store confirmed the snapshot for peers.
	snapshotAsOf time.Time
	// notifiedAsOf is the value of asOf when waiting peers last got a response.
	notifiedAsOf time.Time
	// unreachable says that the store did not respond, and that since then neither the
	// store nor an upstream that reaches it has responded.
	unreachable      bool
	unreachableSince time.Time
	// patience is how long a read of a snapshot from the store may pause.
	patience time.Duration
	// lastFailure is when a call to the store last failed. Without a later failure, an
	// old copy does not mean that the store is down. nextPoll is the earliest time of
	// the poll after a failed one.
	lastFailure, nextPoll time.Time

	// refreshed is closed and replaced when a confirmed copy was delivered to
	// subscribers, or a call to the store failed. pollNow requests a poll at once.
	refreshed chan struct{}
	pollNow   chan struct{}

	// followsStore says that the goroutine of Run follows the store, reading that it gets its
	// first copy for other nodes, too, and startFailed that its last try to get it failed.
	followsStore, reading, startFailed atomic.Bool
	// The following fields are used by the goroutine of Run only. lastUpstream is the
	// upstream that responded last; skippedUntil holds by address until when an upstream is
	// skipped.
	lastUpstream string
	skippedUntil map[string]time.Time
	// partial is what was read of the first snapshot. failedStarts and failedAppoints count
	// the starts that failed, and the calls to become the reader of the data hall.
	partial                      Batch
	failedStarts, failedAppoints int
	// readerDue is when this node becomes the reader, zero if it need not.
	readerDue time.Time
}

// subscriber receives the changes under a prefix.
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
		patience:     minPatience,
	}
	WithFanOut(0)(m)
	for _, option := range options {
		option(m)
	}
	return m
}

// Subscribe calls changed with each change of a key under the prefix, one at a time and
// in the order of revisions. It must be called before Run.
func (m *Mirror) Subscribe(prefix string, changed func(Change)) {
	m.subscribers = append(m.subscribers, subscriber{prefix, changed})
}

// OnStoreRecovered calls do when fresh data arrives after an outage of the store, from
// the store or from a peer, before the changes in that data are delivered. It must be
// called before Run.
func (m *Mirror) OnStoreRecovered(do func()) { m.onStoreRecovered = append(m.onStoreRecovered, do) }

// Revision returns the revision up to which this node has all changes.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Delivered returns the revision up to which all changes were delivered to all
// subscribers; zero until the first snapshot was. It lags behind Revision during a
// delivery.
func (m *Mirror) Delivered() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delivered
}

// Synced returns a channel that is closed once the first snapshot was delivered to all
// subscribers.
func (m *Mirror) Synced() <-chan struct{} { return m.synced }

// StartFailed reports whether there is no copy, and neither the store nor a peer gave one when this
// node last tried.
func (m *Mirror) StartFailed() bool { return m.startFailed.Load() && m.Revision() == 0 }

// Get returns a key's item.
func (m *Mirror) Get(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	return item, ok
}

// Previous returns the item that a key had before its last change, if its value was
// large.
func (m *Mirror) Previous(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.previous[key]
	return item, ok
}

// Age returns the time since the store, directly or by way of a peer, last confirmed
// what was delivered to subscribers.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.timers.Steady().Sub(m.deliveredAsOf)
}

// isLarge reports whether the copy is of a store that nodes do not read in full when they start.
func (m *Mirror) isLarge() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	bytes := 0
	for _, item := range m.items {
		if bytes += len(item.Value); bytes >= SmallSnapshotBytes {
			return true
		}
	}
	return len(m.items) >= largeSnapshot
}

// deliver applies a batch that the store confirmed at the given time, and delivers what
// changed to subscribers.
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

// apply applies a batch to the copy and returns what changed.
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
			// This includes items that are known already, from a later page of a
			// snapshot: peers at the revision of its first page may lack them.
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
	large := m.revision != 0 && len(m.items) >= largeSnapshot
	m.revision = b.Revision
	m.dropOldSnapshot()
	m.notifyPeers()
	m.trimRecent(b.Snapshot && !large)
	return changes
}

// impliedDeletions returns deletions for the keys that a snapshot lacks.
func (m *Mirror) impliedDeletions(b Batch) []Item {
	present := make(map[string]bool, len(b.Items))
	for _, item := range b.Items {
		present[item.Key] = true
	}
	var deletions []Item
	for key := range m.items {
		if !present[key] {
			deletions = append(deletions, Item{Key: key, Revision: b.Revision, Deleted: true})
		}
	}
	return deletions
}

// trimRecent bounds the changes that are kept. The changes that led to a snapshot are
// not known, so peers that are behind it need a snapshot, too. A large snapshot would be passed
// on to all peers; they get what it has changed instead, which leads to the same copy.
func (m *Mirror) trimRecent(snapshot bool) {
	if snapshot {
		m.recent, m.recentFrom = nil, m.revision
	}
	// A change is kept for each key: when all servers of a large deployment register at once,
	// peers must not need a snapshot for every few of them. Changes are dropped many at a time,
	// since the rest is copied.
	kept := max(minRecentChanges, len(m.items))
	if len(m.recent) < kept+kept/4 {
		return
	}
	surplus := len(m.recent) - kept
	for _, dropped := range m.recent[:surplus] {
		m.recentFrom = max(m.recentFrom, dropped.Revision)
	}
	m.recent = slices.Clone(m.recent[surplus:])
}
