// Package docsync distributes the shared documents (configuration, view,
// rollout stages) from the platform's key-value service to all nodes.
//
// Each open watch costs the platform a call, so only watchersPerHall nodes in
// each data hall hold one. A node that receives a newer document notifies a few
// random peers, which fetch it once and notify others. Heartbeats carry the
// documents' revisions, so that nodes which no notification reached catch up.
// Documents are compressed in the key-value service and between nodes, since a
// large configuration changes many times a day. A node accepts only higher
// revisions, so a document never reverts to an older state. A node that starts
// while the platform is unavailable takes the highest revisions from its peers.
//
// # Usage
//
//	r := docsync.New(store, peers, timers)
//	r.SetMembers(members)
//	r.Subscribe(docsync.Config, func(item document.Item) { … })
//	go r.Run(ctx)
//	item, err := r.Update(ctx, docsync.Config, change)
package docsync

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// Names of the shared documents.
const (
	Config   = "config"
	View     = "view"
	Rollouts = "rollouts"
)

// KeyPrefix is the prefix of the shared documents' keys in the key-value
// service, so that one watch covers them all.
const KeyPrefix = "shared/"

const (
	watchersPerHall = 2
	fanout          = 4
	repairInterval  = time.Second
	// platformContactTTL is how long a node counts as in contact with the
	// platform after its last successful call.
	platformContactTTL = 4 * time.Second
)

// Store is the part of the key-value service that this package uses.
type Store interface {
	document.Store
	// ReadPrefix returns the documents whose keys start with a prefix, by the
	// rest of their keys.
	ReadPrefix(ctx context.Context, prefix string) (map[string]document.Item, error)
	// ReadRevisions returns the revisions of the documents that ReadPrefix
	// would return.
	ReadRevisions(ctx context.Context, prefix string) (map[string]int64, error)
	// WatchPrefix calls changed for each write of such a key after the given
	// revision, until the context ends or the watch fails.
	WatchPrefix(ctx context.Context, prefix string, after int64, changed func(key string, item document.Item)) error
}

// Peers calls the other nodes.
type Peers interface {
	// Fetch returns a peer's documents that are newer than the known revisions.
	Fetch(ctx context.Context, address string, known map[string]int64) (map[string]document.Item, error)
	// Notify sends a peer the revisions of this node's documents.
	Notify(ctx context.Context, address string, revisions map[string]int64) error
}

// Members provides the state of the membership.
type Members interface {
	// Alive returns the members that respond, without this node.
	Alive() []view.Member
	// HasMajority reports whether more than half of the view's members respond.
	HasMajority() bool
	// Rank returns this node's position among the responding members of its
	// data hall; zero is the first.
	Rank() int
	// Seeds returns the addresses of peers to ask before a view is known.
	Seeds() []string
}

// Replicator keeps the newest known revision of each shared document.
type Replicator struct {
	store   Store
	peers   Peers
	members Members
	timers  *timer.Service

	mu          sync.Mutex
	items       map[string]document.Item
	subscribers map[string][]func(document.Item)
	lastContact time.Time
	// fetching is the highest revision of each document that is being fetched.
	fetching map[string]int64
	// deliveryMu is held while subscribers are called, so that they see
	// revisions in order.
	deliveryMu sync.Mutex
}

// New returns a replicator without documents.
func New(store Store, peers Peers, timers *timer.Service) *Replicator {
	return &Replicator{
		store:       store,
		peers:       peers,
		timers:      timers,
		items:       make(map[string]document.Item),
		subscribers: make(map[string][]func(document.Item)),
		fetching:    make(map[string]int64),
	}
}

// SetMembers sets the source of members. It must be called before Run. The
// members come from the view, which is itself a shared document, so they are
// not known to New.
func (r *Replicator) SetMembers(m Members) { r.members = m }

// Subscribe registers a function that is called with each newer revision of a
// document, one call at a time and in the order of revisions. It must be called
// before Run.
func (r *Replicator) Subscribe(name string, changed func(document.Item)) {
	r.subscribers[name] = append(r.subscribers[name], changed)
}

// Revisions returns the revision of each known document.
func (r *Replicator) Revisions() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	revisions := make(map[string]int64, len(r.items))
	for name, item := range r.items {
		revisions[name] = item.Revision
	}
	return revisions
}

// Newer returns the documents that are newer than the known revisions,
// compressed as stored.
func (r *Replicator) Newer(known map[string]int64) map[string]document.Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	newer := make(map[string]document.Item)
	for name, item := range r.items {
		if item.Revision > known[name] {
			newer[name] = item
		}
	}
	return newer
}

// Apply takes a document, compressed as stored, if it is newer than the known
// one, passes it to the subscribers and notifies a few peers.
func (r *Replicator) Apply(name string, item document.Item) {
	if r.deliver(name, item) {
		go r.notifyPeers()
	}
}

func (r *Replicator) deliver(name string, item document.Item) bool {
	r.deliveryMu.Lock()
	defer r.deliveryMu.Unlock()
	r.mu.Lock()
	if item.Revision <= r.items[name].Revision {
		r.mu.Unlock()
		return false
	}
	r.items[name] = item
	r.mu.Unlock()
	plain, err := decompress(item.Data)
	if err != nil {
		slog.Error("stored document cannot be decompressed", "document", name, "revision", item.Revision, "error", err)
		return true
	}
	for _, changed := range r.subscribers[name] {
		changed(document.Item{Data: plain, Revision: item.Revision})
	}
	return true
}

func (r *Replicator) notifyPeers() {
	revisions := r.Revisions()
	alive := r.members.Alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	ctx, cancel := context.WithTimeout(context.Background(), repairInterval)
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range alive[:min(fanout, len(alive))] {
		calls.Go(func() {
			if err := r.peers.Notify(ctx, m.Peer, revisions); err != nil {
				slog.Debug("notifying peer failed", "peer", m.ID, "error", err)
			}
		})
	}
	calls.Wait()
}

// HandleRevisions compares a peer's revisions with this node's and fetches what
// is newer, unless it is being fetched already.
func (r *Replicator) HandleRevisions(address string, revisions map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	newer := make(map[string]int64)
	for name, revision := range revisions {
		if revision > max(r.items[name].Revision, r.fetching[name]) {
			newer[name] = revision
			r.fetching[name] = revision
		}
	}
	if len(newer) > 0 {
		go func() {
			r.fetchFrom(address)
			r.clearFetching(newer)
		}()
	}
}

// clearFetching marks the fetch of these revisions as finished, so that another
// peer can be asked for what it did not return.
func (r *Replicator) clearFetching(revisions map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, revision := range revisions {
		if r.fetching[name] == revision {
			delete(r.fetching, name)
		}
	}
}

func (r *Replicator) fetchFrom(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), repairInterval)
	defer cancel()
	newer, err := r.peers.Fetch(ctx, address, r.Revisions())
	if err != nil {
		slog.Debug("fetching documents from peer failed", "peer", address, "error", err)
		return
	}
	for name, item := range newer {
		r.Apply(name, item)
	}
}

// Update changes a shared document in the key-value service and applies it on
// this node. Change gets and returns the uncompressed document.
func (r *Replicator) Update(ctx context.Context, name string, change func(old []byte) ([]byte, error)) (document.Item, error) {
	item, err := document.Update(ctx, r.store, KeyPrefix+name, func(old []byte) ([]byte, error) {
		plain, err := decompress(old)
		if err != nil {
			return nil, err
		}
		changed, err := change(plain)
		if err != nil {
			return nil, err
		}
		return compress(changed)
	})
	if err == nil || err == document.ErrUnchanged {
		r.recordContact()
		r.Apply(name, item)
	}
	return item, err
}

// ReceivesUpdates reports whether this node can still learn of changes: it has
// recently reached the platform, or more than half of the view responds.
// Otherwise it could miss the withdrawal of a version, so it must start no new
// work.
func (r *Replicator) ReceivesUpdates() bool {
	r.mu.Lock()
	inContact := r.timers.Now().Sub(r.lastContact) < platformContactTTL
	r.mu.Unlock()
	return inContact || r.members.HasMajority()
}

func (r *Replicator) recordContact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = r.timers.Now()
}

// Run keeps the documents up to date until the context ends. It watches the
// platform while this node is one of its data hall's watchers; otherwise it
// polls the platform while too few peers respond.
func (r *Replicator) Run(ctx context.Context) {
	ticks := r.timers.Subscribe(repairInterval)
	defer ticks.Stop()
	r.loadInitial(ctx)
	stopWatch := func() {}
	watching := false
	defer func() { stopWatch() }()
	for {
		watcher := r.members.Rank() < watchersPerHall
		if watcher != watching {
			stopWatch()
			stopWatch = r.startWatchIf(ctx, watcher)
			watching = watcher
		}
		if !watcher && !r.members.HasMajority() {
			r.readPlatform(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// startWatchIf starts a watch if this node is a watcher. The returned function
// ends the watch.
func (r *Replicator) startWatchIf(ctx context.Context, watcher bool) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	if watcher {
		go r.watchPlatform(ctx)
	}
	return stop
}

// loadInitial reads the documents from the platform, or from peers if the
// platform is unavailable.
func (r *Replicator) loadInitial(ctx context.Context) {
	if r.readPlatform(ctx) {
		return
	}
	for _, address := range r.members.Seeds() {
		r.fetchFrom(address)
	}
}

func (r *Replicator) readPlatform(ctx context.Context) bool {
	items, err := r.store.ReadPrefix(ctx, KeyPrefix)
	if err != nil {
		return false
	}
	r.recordContact()
	for name, item := range items {
		r.Apply(name, item)
	}
	return true
}

// watchPlatform watches the platform until the context ends. Each new watch
// starts with a read, since the previous one may have missed changes.
func (r *Replicator) watchPlatform(ctx context.Context) {
	ticks := r.timers.Subscribe(repairInterval)
	defer ticks.Stop()
	for ctx.Err() == nil {
		if r.readPlatform(ctx) {
			r.followChanges(ctx)
		} else {
			r.loadInitial(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticks.C():
		}
	}
}

// followChanges runs one watch until it fails. Meanwhile monitorContact
// confirms the contact with the platform.
func (r *Replicator) followChanges(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.monitorContact(ctx, cancel)
	var after int64
	for _, revision := range r.Revisions() {
		after = max(after, revision)
	}
	err := r.store.WatchPrefix(ctx, KeyPrefix, after, func(key string, item document.Item) {
		r.recordContact()
		r.Apply(strings.TrimPrefix(key, KeyPrefix), item)
	})
	if err != nil && ctx.Err() == nil {
		slog.Warn("platform watch failed", "error", err)
	}
}

// checkRevisions reads only the documents' revisions from the platform, and the
// documents if any is newer. It returns false if the platform does not respond.
func (r *Replicator) checkRevisions(ctx context.Context) bool {
	stored, err := r.store.ReadRevisions(ctx, KeyPrefix)
	if err != nil {
		return false
	}
	r.recordContact()
	known := r.Revisions()
	for name, revision := range stored {
		if revision > known[name] {
			return r.readPlatform(ctx)
		}
	}
	return true
}

// monitorContact polls the revisions at the platform while a watch runs, and
// stops the watch if the platform does not respond. This detects a watch whose
// connection was lost without an error.
func (r *Replicator) monitorContact(ctx context.Context, stopWatch context.CancelFunc) {
	r.timers.Every(ctx, platformContactTTL/2, func() {
		if !r.checkRevisions(ctx) {
			stopWatch()
		}
	})
}
