// Package owner tells which nodes own a backend server that gets few requests.
//
// Some servers bear only a few requests a second from all nodes together, and no request can
// wait for an agreement between nodes. Such a server is therefore owned by one node or a few,
// and only its owners send it requests. All nodes rank the owners alike, by rendezvous hashing
// over the list of nodes, those of the server's data hall before all others.
//
// Nodes learn of a change of the list at different times, and a node counts on others for
// [Handover] after they have left it. Where a server must not have two owners in one place of
// the ranking at any time, only a [Roster.Confirmed] node may own it: one whose list may be out
// of date, or that has been listed for less than Handover, may not. Where that is borne for a
// moment, a [Roster.Listed] one may.
//
// # Usage
//
//	roster := owner.NewRoster(self, nodes, timers)
//	go roster.Run(ctx, hasLimitedServers)
//	if roster.Listed() && roster.Rank(server.DataHall, server.Hash()) < owners {
//		… this node is one of the server's owners …
//	}
package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

const (
	// Window is the time over which the owner of a server counts the requests that a server
	// bears in a second. It exceeds the second, since requests may take unequally long to arrive.
	Window = 1200 * time.Millisecond
	// Handover is the time for which no node may own a server that had another owner. The
	// last requests of the previous owner, which may learn of the change by news of
	// [mirror.MaxStaleness], must have left the window by then.
	Handover = mirror.MaxStaleness + Window + RefreshInterval
	// RefreshInterval is the least time between two reads of the list of nodes.
	RefreshInterval = 200 * time.Millisecond
	// IdleInterval is the time between two reads while no server has few requests to get. It
	// exceeds maxConfirmedGap, so that the list is not confirmed until it has been read often
	// for a while.
	IdleInterval = 2 * time.Second
	// maxConfirmedGap is the longest time between two reads after which the list still counts as
	// confirmed throughout. This process did not run if it is exceeded.
	maxConfirmedGap = time.Second
)

// Nodes lists the nodes that share the servers.
type Nodes interface {
	// Listed reports whether the other nodes can find this one in their lists.
	Listed() bool
	// Others returns the other nodes, the same list until it changes.
	Others() []view.Member
	// Age is the time since the list was last confirmed to be current.
	Age() time.Duration
}

// Roster is one node's view of the nodes that may own servers. It is safe for concurrent use.
type Roster struct {
	self   view.Member
	nodes  Nodes
	timers *timer.Service

	mu          sync.Mutex
	refreshedAt time.Time
	// listed means that this node is listed, as far as it knows.
	listed bool
	// confirmedSince is since when this node has been listed and its list up to date; zero if
	// it is not so.
	confirmedSince time.Time
	// confirmed means that this is long enough ago.
	confirmed bool
	// others holds the other nodes by VM, including those that left within Handover.
	others map[string]otherNode
	// listFirst and listCount identify the list that others was updated from, at listedAt last.
	listFirst *view.Member
	listCount int
	listedAt  time.Time
	// hasGone means that others may hold nodes that are not listed any more.
	hasGone    bool
	generation uint64
	// changedAt is when a node last came to the list or left it.
	changedAt time.Time
}

// otherNode is another node that may own servers.
type otherNode struct {
	hash     uint64
	dataHall string
	// listed means that the node is in the present list; else lastSeen is when it was last. WasListed
	// means that it was in the list before.
	listed, wasListed bool
	lastSeen          time.Time
}

// NewRoster returns the roster of a node.
func NewRoster(self view.Member, nodes Nodes, timers *timer.Service) *Roster {
	return &Roster{self: self, nodes: nodes, timers: timers, others: make(map[string]otherNode), generation: 1, changedAt: timers.Steady()}
}

// Run keeps the list of nodes up to date until the context ends. While busy returns false, the
// list is read more rarely.
func (r *Roster) Run(ctx context.Context, busy func() bool) {
	for ctx.Err() == nil {
		interval := RefreshInterval
		if !busy() {
			interval = IdleInterval
		}
		ticks := r.timers.Subscribe(interval)
		select {
		case <-ctx.Done():
		case <-ticks.C():
			r.Refresh()
		}
		ticks.Stop()
	}
}

// Refresh reads the list of nodes again, unless it was read within RefreshInterval.
func (r *Roster) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timers.Steady()
	if now.Sub(r.refreshedAt) < RefreshInterval {
		return
	}
	if now.Sub(r.refreshedAt) > maxConfirmedGap {
		r.confirmedSince = time.Time{}
	}
	r.refreshedAt = now
	listed := r.nodes.Listed()
	switch current := listed && r.nodes.Age() < mirror.MaxStaleness; {
	case !current:
		r.confirmedSince = time.Time{}
	case r.confirmedSince.IsZero():
		r.confirmedSince = now
	}
	confirmed := !r.confirmedSince.IsZero() && now.Sub(r.confirmedSince) >= Handover
	if r.updateOthers(now) || listed != r.listed || confirmed != r.confirmed {
		r.listed, r.confirmed = listed, confirmed
		r.generation++
	}
}

// updateOthers updates the list of other nodes, and reports whether it has changed. The
// caller holds mu.
func (r *Roster) updateOthers(now time.Time) (changed bool) {
	others := r.nodes.Others()
	if len(others) > 0 && r.listFirst == &others[0] && r.listCount == len(others) {
		r.listedAt = now
		return r.removeGone(now)
	}
	// Those that are not listed any more were listed until the last look.
	left := 0
	for vm, o := range r.others {
		o.wasListed = o.listed
		if o.listed {
			left++
			o.listed, o.lastSeen = false, r.listedAt
		}
		r.others[vm] = o
	}
	r.hasGone = true
	r.listFirst, r.listCount, r.listedAt = nil, len(others), now
	if len(others) > 0 {
		r.listFirst = &others[0]
	}
	for _, m := range others {
		known, ok := r.others[m.VM]
		if !ok || known.dataHall != m.DataHall {
			changed = true
			known = otherNode{hash: rendezvous.Hash(m.VM), dataHall: m.DataHall}
		}
		if known.wasListed {
			left--
		} else {
			r.changedAt = now
		}
		known.listed = true
		r.others[m.VM] = known
	}
	if left > 0 {
		r.changedAt = now
	}
	return r.removeGone(now) || changed
}

// removeGone removes the nodes that have not been listed for Handover, and reports whether there
// were any. The caller holds mu.
func (r *Roster) removeGone(now time.Time) (changed bool) {
	if !r.hasGone {
		return false
	}
	r.hasGone = false
	for vm, o := range r.others {
		switch {
		case o.listed:
		case now.Sub(o.lastSeen) > Handover:
			delete(r.others, vm)
			changed = true
		default:
			r.hasGone = true
		}
	}
	return changed
}

// Settled reports whether no node has come to the list or left it for a time, as far as this node knows.
func (r *Roster) Settled(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timers.Steady().Sub(r.changedAt) >= d
}

// Listed reports whether this node may own servers, as far as it knows.
func (r *Roster) Listed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// Confirmed reports whether this node surely may own servers: it has been listed for Handover,
// and its list has been up to date for as long.
func (r *Roster) Confirmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// Generation changes whenever the results of Listed, Confirmed, Count or Rank may have.
func (r *Roster) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation
}

// Count returns the number of nodes, this one included.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.others) + 1
}

// NodeHash returns the hash by which this node is ranked.
func (r *Roster) NodeHash() uint64 { return rendezvous.Hash(r.self.VM) }

// Rank returns the number of nodes that come before this one as owners of a server, which is in
// the given data hall and has the given hash.
func (r *Roster) Rank(dataHall string, hash uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := placeOf(r.self.DataHall, r.NodeHash(), dataHall, hash)
	rank := 0
	for _, o := range r.others {
		if placeOf(o.dataHall, o.hash, dataHall, hash).before(own) {
			rank++
		}
	}
	return rank
}

// place is what decides on a node's place in the ranking of a server's owners.
type place struct {
	// local means that the node is in the server's data hall.
	local bool
	score uint64
}

// placeOf returns the place of a node for a server, by their data halls and hashes.
func placeOf(nodeHall string, node uint64, serverHall string, server uint64) place {
	return place{nodeHall == serverHall, rendezvous.Score(server, node)}
}

// before reports whether a node comes before another one.
func (p place) before(other place) bool {
	if p.local != other.local {
		return p.local
	}
	return p.score > other.score
}

// Leading returns the nodes that come first as owners of a server, which is in the given data hall and has
// the given hash: up to count of them by the list of the given node and the others, that of rank 0 first.
func Leading(self view.Member, others []view.Member, dataHall string, hash uint64, count int) []view.Member {
	leading := make([]view.Member, 0, count+1)
	places := make([]place, 0, count+1)
	add := func(m view.Member) {
		p := placeOf(m.DataHall, rendezvous.Hash(m.VM), dataHall, hash)
		i := len(places)
		for i > 0 && p.before(places[i-1]) {
			i--
		}
		if i < count {
			leading, places = slices.Insert(leading, i, m), slices.Insert(places, i, p)
			leading, places = leading[:min(count, len(leading))], places[:min(count, len(places))]
		}
	}
	add(self)
	for _, m := range others {
		add(m)
	}
	return leading
}
