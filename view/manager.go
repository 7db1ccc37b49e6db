package view

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/timer"
)

// DocumentStore changes a shared document at the platform and has the result
// applied at this node.
type DocumentStore interface {
	Update(ctx context.Context, name string, change func(old []byte) ([]byte, error)) (document.Item, error)
}

// FailureDetector reports what the probes found about the members.
type FailureDetector interface {
	// FaultySince returns since when a member is confirmed not to respond.
	FaultySince(id string) (time.Time, bool)
	// Alive returns the peers that respond.
	Alive() []Member
	// HasMajority reports whether more than half of the view responds.
	HasMajority() bool
	// RegionRank returns this node's rank, from 0, among the responding members
	// of its region.
	RegionRank() int
	// ReachableFrom reports whether the peer via reaches this node.
	ReachableFrom(ctx context.Context, via Member) bool
}

// VMList is the platform's list of VMs, which lags behind.
type VMList interface {
	// Listed reports whether a VM is on the list; ok is false until the list
	// has been read.
	Listed(vm string) (listed, ok bool)
}

const (
	reconcileInterval = time.Second
	// evictAfter is how long a member that is confirmed faulty but still on the
	// VM list stays in the view. It covers short freezes.
	evictAfter = 10 * time.Second
	// vmListLag is how long after its join a member may be missing from the VM
	// list only because the list lags behind.
	vmListLag = 60 * time.Second
	// maxProposers is how many members of a region propose removals.
	maxProposers = 2
)

// Manager holds the view in force, adds this node to it and removes members that
// have failed.
type Manager struct {
	name     string
	self     Member
	store    DocumentStore
	detector FailureDetector
	vms      VMList
	timers   *timer.Service

	mu          sync.RWMutex
	current     *View
	changed     chan struct{}
	subscribers []func(*View)
	leaving     bool
}

// NewManager returns a manager that holds the empty view. The name is that of
// the shared document.
func NewManager(name string, self Member, store DocumentStore, detector FailureDetector, vms VMList, timers *timer.Service) *Manager {
	return &Manager{
		name:     name,
		self:     self,
		store:    store,
		detector: detector,
		vms:      vms,
		timers:   timers,
		current:  Empty(),
		changed:  make(chan struct{}),
	}
}

// Subscribe registers changed to be called with each later view, one call at a
// time. It must be called before the first Apply.
func (mgr *Manager) Subscribe(changed func(*View)) {
	mgr.subscribers = append(mgr.subscribers, changed)
}

// Current returns the view in force.
func (mgr *Manager) Current() *View {
	mgr.mu.RLock()
	defer mgr.mu.RUnlock()
	return mgr.current
}

// Changed returns a channel that is closed when the view next changes.
func (mgr *Manager) Changed() <-chan struct{} {
	mgr.mu.RLock()
	defer mgr.mu.RUnlock()
	return mgr.changed
}

// Apply puts a stored view in force if its epoch is higher.
func (mgr *Manager) Apply(item document.Item) {
	v, err := Decode(item.Data)
	if err != nil {
		slog.Error("stored view is malformed", "error", err)
		return
	}
	mgr.mu.Lock()
	if v.Epoch() <= mgr.current.Epoch() {
		mgr.mu.Unlock()
		return
	}
	mgr.current = v
	close(mgr.changed)
	mgr.changed = make(chan struct{})
	mgr.mu.Unlock()
	slog.Info("view changed", "epoch", v.Epoch(), "members", len(v.Members()))
	for _, changed := range mgr.subscribers {
		changed(v)
	}
}

// Dead reports whether a member's process is known to have ended for good: its VM
// is no longer on the platform's list or runs a later incarnation.
func (mgr *Manager) Dead(m Member) bool {
	for _, other := range mgr.Current().Members() {
		if other.VM == m.VM && other.ID != m.ID && other.Joined >= m.Joined {
			return true
		}
	}
	listed, ok := mgr.vms.Listed(m.VM)
	age := mgr.timers.Now().Sub(time.Unix(m.Joined, 0))
	return ok && !listed && age > vmListLag
}

// Run keeps this node in the view until the context ends.
func (mgr *Manager) Run(ctx context.Context) {
	ticks := mgr.timers.Subscribe(reconcileInterval)
	defer ticks.Stop()
	for {
		mgr.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// reconcile adds this node to the view if it is missing, reachable and not
// leaving, and removes failed members if this node is one that proposes removals.
func (mgr *Manager) reconcile(ctx context.Context) {
	if !mgr.Current().Has(mgr.self.ID) && !mgr.isLeaving() && mgr.reachable(ctx) {
		mgr.update(ctx, "join", []Member{mgr.selfJoining()}, nil)
	}
	if failed := mgr.membersToRemove(); len(failed) > 0 && mgr.mayPropose() {
		mgr.update(ctx, "remove", nil, failed)
	}
}

func (mgr *Manager) selfJoining() Member {
	m := mgr.self
	m.Joined = mgr.timers.Now().Unix()
	return m
}

// reachable reports whether any peer reaches this node; it is assumed if no peer
// responds. A node that can only send would be removed and join again and again.
func (mgr *Manager) reachable(ctx context.Context) bool {
	alive := mgr.detector.Alive()
	if len(alive) == 0 {
		return true
	}
	for _, m := range alive {
		if mgr.detector.ReachableFrom(ctx, m) {
			return true
		}
	}
	return false
}

// membersToRemove returns the IDs of the faulty members that should be removed. A
// node to which only a minority responds may itself be cut off, so it removes only
// those for which Dead is true.
func (mgr *Manager) membersToRemove() []string {
	var failed []string
	now := mgr.timers.Now()
	hasMajority := mgr.detector.HasMajority()
	for _, m := range mgr.Current().Members() {
		since, faulty := mgr.detector.FaultySince(m.ID)
		if !faulty {
			continue
		}
		if mgr.Dead(m) || (hasMajority && now.Sub(since) > evictAfter) {
			failed = append(failed, m.ID)
		}
	}
	return failed
}

// mayPropose reports whether this node is one of those that propose removals.
func (mgr *Manager) mayPropose() bool { return mgr.detector.RegionRank() < maxProposers }

// update changes the stored view by compare-and-swap.
func (mgr *Manager) update(ctx context.Context, why string, add []Member, remove []string) {
	_, err := mgr.store.Update(ctx, mgr.name, func(old []byte) ([]byte, error) {
		latest, err := Decode(old)
		if err != nil {
			return nil, err
		}
		next := latest.Change(add, remove)
		if next == nil {
			return nil, document.ErrUnchanged
		}
		return next.Encode()
	})
	if err != nil && err != document.ErrUnchanged {
		slog.Warn("cannot change the view", "why", why, "error", err)
	}
}

// Leave removes this node from the view and stops it from joining again.
func (mgr *Manager) Leave(ctx context.Context) {
	mgr.mu.Lock()
	mgr.leaving = true
	mgr.mu.Unlock()
	mgr.update(ctx, "leave", nil, []string{mgr.self.ID})
}

func (mgr *Manager) isLeaving() bool {
	mgr.mu.RLock()
	defer mgr.mu.RUnlock()
	return mgr.leaving
}
