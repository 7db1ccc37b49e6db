// Package spread brings the shared documents (configuration, view, roll-out
// stages) from the platform's key-value service to every node.
//
// A waiting watch costs the platform a call, so only [watchersPerHall] nodes
// in each data hall hold one. Whoever learns of a newer document tells a few
// peers, which fetch it once and tell others; the revisions carried on
// heartbeats repair what that missed. Documents are compressed at the platform
// and between nodes, since a large configuration changes many times a day. A
// node moves only to higher revisions, so nothing ever reverts. A node that
// starts during an outage takes the highest from peers.
//
// # Usage
//
//	s := spread.New(store, peers, timers, self)
//	s.Subscribe("config", func(item document.Item) { … })
//	go s.Run(ctx)
//	item, err := s.Update(ctx, "config", change)
package spread

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

// KeyPrefix starts the keys of the shared documents at the platform, so that one
// watch covers them all.
const KeyPrefix = "shared/"

const (
	watchersPerHall = 2
	fanout          = 4
	repairInterval  = time.Second
	// platformContactTTL is how long a contact with the platform counts.
	platformContactTTL = 4 * time.Second
)

// Store is what the package needs of the key-value service.
type Store interface {
	document.Store
	ReadPrefix(ctx context.Context, prefix string) (map[string]document.Item, error)
	// ReadRevisions is Shared without the documents themselves.
	ReadRevisions(ctx context.Context, prefix string) (map[string]int64, error)
	WatchPrefix(ctx context.Context, prefix string, after int64, changed func(key string, item document.Item)) error
}

// Peers is what the package needs of the other nodes.
type Peers interface {
	// Fetch asks a peer for the documents that are newer than known.
	Fetch(ctx context.Context, address string, known map[string]int64) (map[string]document.Item, error)
	// Notify tells a peer which revisions this node has.
	Notify(ctx context.Context, address string, revisions map[string]int64) error
}

// Members tells which peers there are.
type Members interface {
	// Alive returns the members that answer, without this node.
	Alive() []view.Member
	// HasMajority reports whether more than half of the view answers.
	HasMajority() bool
	// Rank returns this node's place among the answering members of its
	// data hall.
	Rank() int
	// Seeds returns peer addresses to ask before there is a view.
	Seeds() []string
}

// Replicator keeps the newest known form of each shared document.
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
	fetching   map[string]int64
	deliveryMu sync.Mutex
}

// New returns a spreader without documents.
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

// SetMembers names the source of peers. It must be called before Run; the
// members follow from the view, which this package brings.
func (r *Replicator) SetMembers(m Members) { r.members = m }

// Subscribe calls changed with each newer form of a document, one call at a
// time, in the order of revisions. It must be called before Run.
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

// Newer returns the documents that are newer than known, compressed as they
// are stored.
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

// Apply takes a stored document if it is newer than the known one, tells the
// subscribers, and a few peers.
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
		slog.Error("stored document cannot be read", "document", name, "revision", item.Revision, "error", err)
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
				slog.Debug("notice failed", "peer", m.ID, "error", err)
			}
		})
	}
	calls.Wait()
}

// HandleRevisions compares the revisions that a peer has with its own and fetches what
// is newer, unless that is being fetched already.
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

// clearFetching lets another peer be asked for what a fetch did not bring.
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
		slog.Debug("fetch failed", "peer", address, "error", err)
		return
	}
	for name, item := range newer {
		r.Apply(name, item)
	}
}

// Update changes a shared document at the platform and puts it in force here.
// The change sees and makes the document as it is before compression.
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

// ReceivesUpdates reports whether this node can still learn of changes: it has lately
// reached the platform, or it hears more than half of the view. Without
// either, a withdrawal could pass it by, and it must start no new work.
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

// Run watches the platform where this node is one of its data hall's
// watchers, and reads it where the node hears too few peers.
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

// startWatchIf starts a watch if this node is to hold one. The function that it
// returns ends the watch.
func (r *Replicator) startWatchIf(ctx context.Context, watcher bool) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	if watcher {
		go r.watchPlatform(ctx)
	}
	return stop
}

// loadInitial takes the documents from the platform, or from peers if it is out.
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

// watchPlatform follows the platform until the context ends. Each new watch starts
// with a read, since the one before may have missed changes.
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

// followChanges holds one watch. The contact with the platform counts as long as the
// watch stands, which a slow read beside it confirms.
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
		slog.Warn("watch of the platform broke", "error", err)
	}
}

// checkRevisions asks the platform for the documents' revisions alone, and for the
// documents if one is newer. It returns false if the platform does not answer.
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

// monitorContact asks the platform now and then beside a watch, so that a watch
// whose connection died in silence is noticed and replaced.
func (r *Replicator) monitorContact(ctx context.Context, stopWatch context.CancelFunc) {
	r.timers.Every(ctx, platformContactTTL/2, func() {
		if !r.checkRevisions(ctx) {
			stopWatch()
		}
	})
}
