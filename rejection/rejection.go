// Package rejection keeps nodes from sending servers more requests than these have room for.
//
// Some servers end under overload: they say in their answers how many requests a second they can
// reject for want of room, from all nodes together, and end if they must reject more (package
// notice). All that runs there is then lost.
//
// From then on a request needs a place at such a server, one for each that it runs at once. The
// places of a server are kept by two nodes, its first two owners (package owner), in memory: a
// node asks them for a place before it sends a request, gives it back afterwards, and tells from time to
// time how many it uses. So the places are used wherever the demand is, and all nodes together do
// not exceed them, however many they are.
//
// A place is one that both owners give. Where nodes know different lists of nodes, those that ask
// different first owners mostly share one of the two. An owner that may not know yet what others use, since
// it has just started or the list has just changed, says so, and the other one's word goes alone; if neither
// knows, they wait until the nodes have told them. A node that gets no answer may have one request at a
// server, if that has a slot for each node.
//
// A request that gets no place is sent to another server. A request that was given up keeps its place for
// as long as the server may still run it. What servers can reject is left for what places don't cover, such
// as requests of nodes that have not heard of a limit yet. The place of a request that was rejected is not
// used for a while, so that each of these causes few rejections.
//
// # Usage
//
//	l := rejection.New(board, roster, timers, coordinators)
//	go l.Run(ctx)
//	servers = l.Filter(servers)
//	… choose one of them …
//	if l.Take(ctx, server) == rejection.BasisNone {
//		… choose again …
//	}
//	defer l.Release(server) // or l.Reject(server), l.Abandon(server, …)
//	board.Observe(server, notices) // for each answer
//	l.ObserveSlots(server, slots)  // for each answer that tells them
//
// For the requests of other nodes:
//
//	grant := places.Ask(ask)
package rejection

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
)

// Coordinators asks the nodes that keep the places of servers.
type Coordinators interface {
	// Ask asks the owner of a server that has the given rank, from 0.
	Ask(ctx context.Context, s registry.Server, rank int, a Ask) (Grant, error)
}

// Limiter keeps one node to its places at servers. It is safe for concurrent use.
type Limiter struct {
	board        *notice.Board
	coordinators Coordinators
	roster       *owner.Roster
	timers       *timer.Service

	mu sync.Mutex
	// rooms holds this node's room at servers, by hash of the ID: a server keeps its places through
	// restarts, of which nodes learn at different times.
	rooms map[uint64]*room
	// denied holds until when servers that had no place are not asked for one again.
	denied map[uint64]time.Time
	// sequence numbers the requests for places. It begins with the time of day in microseconds, so that
	// it is above those of this node's earlier processes.
	sequence uint64
}

// New returns a limiter of the node with the given roster, which knows the limits of servers from the
// board.
func New(board *notice.Board, roster *owner.Roster, timers *timer.Service, coordinators Coordinators) *Limiter {
	return &Limiter{
		board: board, timers: timers, coordinators: coordinators, roster: roster,
		rooms: make(map[uint64]*room), denied: make(map[uint64]time.Time), sequence: uint64(timers.Now().UnixMicro()),
	}
}

// ObserveSlots records how many requests a server says that it runs at once.
func (l *Limiter) ObserveSlots(s registry.Server, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room(s).slots = slots
}

// limited reports whether a server is known to name a rejection limit.
func (l *Limiter) limited(s *registry.Server) bool {
	return l.board.NamesRejectionLimits() && l.board.State(s).RejectionLimit != notice.Unlimited
}

// Filter returns the servers that may have a place for a request of this node. It does not modify
// the given list.
func (l *Limiter) Filter(servers []*registry.Server) []*registry.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.denied) == 0 {
		return servers
	}
	now := l.timers.Steady()
	maps.DeleteFunc(l.denied, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	allowed := make([]*registry.Server, 0, len(servers))
	for _, s := range servers {
		if _, denied := l.denied[s.IDHash()]; !denied {
			allowed = append(allowed, s)
		}
	}
	return allowed
}

// Allows reports whether a server may have a place for a request of this node.
func (l *Limiter) Allows(s registry.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, denied := l.denied[s.IDHash()]
	return !denied || !l.timers.Steady().Before(until)
}

// Take takes a place for a request, until Release, and asks for one if this node has none. It
// returns BasisNone, and takes nothing, if there is none. Requests to servers without a limit count as
// well, since a server may name one while they run.
func (l *Limiter) Take(ctx context.Context, s registry.Server) Basis {
	if !l.limited(&s) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.room(s).inflight++
		return BasisUnlimited
	}
	if l.takeGranted(s) {
		return BasisHeld
	}
	basis := l.ask(ctx, s, 1)
	if !l.takeGranted(s) {
		return BasisNone
	}
	return basis
}

// takeGranted takes a place that this node has. It returns false if it has none.
func (l *Limiter) takeGranted(s registry.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.room(s)
	if !r.hasPlace(l.timers.Steady()) {
		return false
	}
	r.inflight++
	return true
}

// Release gives back the place of a request that is not at the server any more.
func (l *Limiter) Release(s registry.Server) {
	l.mu.Lock()
	r := l.room(s)
	r.inflight = max(0, r.inflight-1)
	giveBack := r.granted > r.inflight // also if the server names no limit any more: others may not know
	r.granted = min(r.granted, r.inflight)
	l.mu.Unlock()
	if giveBack {
		go l.ask(context.Background(), s, 0)
	}
}

// Reject is Release for a request that the server has rejected. The place is not used for a while:
// another request has it, of which the nodes that keep the places do not know.
func (l *Limiter) Reject(s registry.Server) {
	time.AfterFunc(rejectedTime, func() { l.Release(s) })
}

// Abandon is Release for a request that was given up, which the server may run for so long still.
func (l *Limiter) Abandon(s registry.Server, stillRuns time.Duration) {
	time.AfterFunc(min(stillRuns, maxAbandonedTime), func() { l.Release(s) })
}

// Run asks for the places that are in use again and again until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	l.timers.Every(ctx, renewInterval/2, func() {
		for _, s := range l.due() {
			go l.ask(ctx, s, 0)
		}
	})
}

// due returns the limited servers whose places are to be asked for again, and drops what is not
// used.
func (l *Limiter) due() []registry.Server {
	l.board.Clean()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	var due []registry.Server
	for hash, r := range l.rooms {
		switch {
		case r.inflight == 0 && time.Since(r.usedAt) >= roomMemory:
			delete(l.rooms, hash)
		case r.isDue(now) && l.limited(&r.server):
			due = append(due, r.server)
		}
	}
	return due
}

// room returns this node's room at a server. The caller holds mu.
func (l *Limiter) room(s registry.Server) *room {
	hash := s.IDHash()
	r := l.rooms[hash]
	if r == nil {
		r = &room{}
		l.rooms[hash] = r
	}
	if r.server.Incarnation() != s.Incarnation() && r.server.Born <= s.Born {
		r.server, r.slots = s, s.Slots
	}
	r.usedAt = time.Now()
	return r
}
