package view

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/timer"
)

// Shared changes the view at the platform and puts it in force.
type Shared interface {
	Update(ctx context.Context, name string, change func(old []byte) ([]byte, error)) (document.Item, error)
}

// Opinions tells what the probes found.
type Opinions interface {
	// FaultySince returns since when a member is confirmed not to answer.
	FaultySince(id string) (time.Time, bool)
	// Alive returns the peers that answer.
	Alive() []Member
	// Hears reports whether more than half of the view answers.
	Hears() bool
	// RegionRank returns this node's place among the answering members of its
	// region.
	RegionRank() int
	// ReachableFrom reports whether a peer reaches this node.
	ReachableFrom(ctx context.Context, via Member) bool
}

// VMList is the platform's list, which lags.
type VMList interface {
	// Listed reports whether a VM is on the list, and false for ok while the
	// list has not been read.
	Listed(vm string) (listed, ok bool)
}

const (
	keepInterval = time.Second
	// evictAfter is how long a confirmed member that is still on the VM list
	// keeps its place. It covers short freezes.
	evictAfter = 10 * time.Second
	// listLag is the age below which a member may be missing from the VM list
	// only because the list lags.
	listLag = 60 * time.Second
	// proposers is how many members of a region may propose removals.
	proposers = 2
)

// Keeper holds the view in force, brings this node into it and proposes the
// removal of members that are gone.
type Keeper struct {
	name     string
	self     Member
	shared   Shared
	opinions Opinions
	vms      VMList
	timers   *timer.Service

	mu          sync.RWMutex
	current     *View
	changed     chan struct{}
	subscribers []func(*View)
	leaving     bool
}

// NewKeeper returns a keeper that holds the empty view. The name is that of
// the shared document.
func NewKeeper(name string, self Member, shared Shared, opinions Opinions, vms VMList, timers *timer.Service) *Keeper {
	return &Keeper{
		name:     name,
		self:     self,
		shared:   shared,
		opinions: opinions,
		vms:      vms,
		timers:   timers,
		current:  Empty(),
		changed:  make(chan struct{}),
	}
}

// Subscribe calls changed with each later view, one call at a time. It must
// be called before the first Take.
func (k *Keeper) Subscribe(changed func(*View)) { k.subscribers = append(k.subscribers, changed) }

// Current returns the view in force.
func (k *Keeper) Current() *View {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.current
}

// Changed returns a channel that is closed when the view next changes.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.changed
}

// Take puts a stored view in force if its epoch is higher.
func (k *Keeper) Take(item document.Item) {
	v, err := Decode(item.Data)
	if err != nil {
		slog.Error("stored view is malformed", "error", err)
		return
	}
	k.mu.Lock()
	if v.Epoch() <= k.current.Epoch() {
		k.mu.Unlock()
		return
	}
	k.current = v
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
	slog.Info("view changed", "epoch", v.Epoch(), "members", len(v.Members()))
	for _, changed := range k.subscribers {
		changed(v)
	}
}

// Dead reports whether a member is gone for good: its VM has left the
// platform's list or runs a later incarnation.
func (k *Keeper) Dead(m Member) bool {
	for _, other := range k.Current().Members() {
		if other.VM == m.VM && other.ID != m.ID && other.Joined >= m.Joined {
			return true
		}
	}
	listed, ok := k.vms.Listed(m.VM)
	age := k.timers.Now().Sub(time.Unix(m.Joined, 0))
	return ok && !listed && age > listLag
}

// Run keeps this node in the view until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	ticks := k.timers.Subscribe(keepInterval)
	defer ticks.Stop()
	for {
		k.keep(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

func (k *Keeper) keep(ctx context.Context) {
	if !k.Current().Has(k.self.ID) && !k.isLeaving() && k.reachable(ctx) {
		k.change(ctx, "join", []Member{k.joining()}, nil)
	}
	if gone := k.gone(); len(gone) > 0 && k.proposes() {
		k.change(ctx, "remove", nil, gone)
	}
}

func (k *Keeper) joining() Member {
	m := k.self
	m.Joined = k.timers.Now().Unix()
	return m
}

// reachable asks the peers whether they reach this node. One that can only
// speak and not be spoken to would be removed again and again.
func (k *Keeper) reachable(ctx context.Context) bool {
	alive := k.opinions.Alive()
	if len(alive) == 0 {
		return true
	}
	for _, m := range alive {
		if k.opinions.ReachableFrom(ctx, m) {
			return true
		}
	}
	return false
}

// gone returns the members that have to leave the view. A node that hears
// only a minority may be the one that is cut off, so it goes by the VM list
// alone.
func (k *Keeper) gone() []string {
	var gone []string
	now := k.timers.Now()
	hears := k.opinions.Hears()
	for _, m := range k.Current().Members() {
		since, faulty := k.opinions.FaultySince(m.ID)
		if !faulty {
			continue
		}
		if k.Dead(m) || (hears && now.Sub(since) > evictAfter) {
			gone = append(gone, m.ID)
		}
	}
	return gone
}

// proposes reports whether this node is one of the few that propose removals.
func (k *Keeper) proposes() bool { return k.opinions.RegionRank() < proposers }

func (k *Keeper) change(ctx context.Context, why string, add []Member, remove []string) {
	_, err := k.shared.Update(ctx, k.name, func(old []byte) ([]byte, error) {
		present, err := Decode(old)
		if err != nil {
			return nil, err
		}
		next := present.Change(add, remove)
		if next == nil {
			return nil, document.ErrUnchanged
		}
		return next.Encode()
	})
	if err != nil && err != document.ErrUnchanged {
		slog.Warn("view not changed", "why", why, "error", err)
	}
}

// Leave takes this node out of the view and keeps it out.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.change(ctx, "leave", nil, []string{k.self.ID})
}

func (k *Keeper) isLeaving() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.leaving
}
