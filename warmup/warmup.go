// Package warmup limits the requests to servers that are warming up.
//
// A server that has just started bears only a few requests a second, and crashes well
// above that. It may begin to warm up again at any moment. All nodes share its limit, but
// no request can wait for an agreement. Each such server is therefore owned by one node
// (package owner), and only its owner sends it requests. A node whose list of nodes may be
// out of date owns nothing.
//
// A server whose owner is gone gets nothing meanwhile. It warms up for seconds only, and
// the others take its requests.
//
// # Usage
//
//	l := warmup.New(roster, limits, timers)
//	servers = l.Filter(servers)
//	… choose one of them …
//	if !l.Take(server) {
//		… choose again …
//	}
package warmup

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
)

const (
	// window is the time in which an owner counts its requests.
	window = owner.Window
	// maxWarmUp is the longest time for which a server is taken to warm up if its service
	// declares none.
	maxWarmUp = time.Minute
)

// Limit is what a server bears while it warms up.
type Limit struct {
	// Duration is how long a server warms up after its start; zero if unknown.
	Duration time.Duration
	// PerSecond is the number of requests a second from all nodes together; zero for no limit.
	PerSecond float64
}

// Limiter admits one node's requests to servers that are warming up. It is safe for
// concurrent use.
type Limiter struct {
	roster *owner.Roster
	limits func(service string) Limit
	timers *timer.Service

	mu sync.Mutex
	// generation is that of the roster by which the owners in servers were computed.
	generation uint64
	// servers holds the servers that are warming up, by hash of the incarnation, as of
	// cleanedAt also some that are warm.
	servers   map[uint64]*server
	cleanedAt time.Time
	// selections holds lists without the servers that are warming up and that another node owns.
	selections registry.Selections
}

// server is the state of one server that is warming up.
type server struct {
	// owned reports whether this node is the owner by the present list.
	owned, ownerKnown bool
	// sent holds the times of the requests within the window.
	sent   []time.Time
	warmAt time.Time
}

// New returns the limiter of the node with the given roster. Limits returns what the servers of
// a service bear.
func New(roster *owner.Roster, limits func(service string) Limit, timers *timer.Service) *Limiter {
	return &Limiter{
		roster:     roster,
		limits:     limits,
		timers:     timers,
		servers:    make(map[uint64]*server),
		selections: make(registry.Selections),
	}
}

// Filter returns the servers that this node may send a request now. It does not modify the
// given list.
func (l *Limiter) Filter(servers []*registry.Server) []*registry.Server {
	if !slices.ContainsFunc(servers, mayWarmUp) {
		return servers
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	l.refresh(now)
	selection := l.selections.Get(servers, l.generation, now, func(s *registry.Server) (registry.Use, time.Time) { return l.use(s, now) })
	return selection.Servers(func(s *registry.Server) bool { return l.allows(s, now) })
}

// use returns how this node uses a server, and until when if it owns it not. The caller holds mu.
func (l *Limiter) use(s *registry.Server, now time.Time) (registry.Use, time.Time) {
	warmAt := l.warmAt(s)
	switch {
	case !now.Before(warmAt):
		return registry.UseFree, time.Time{}
	case l.state(s, warmAt).owned:
		return registry.UseRestricted, time.Time{}
	default:
		return registry.UseNone, warmAt
	}
}

// refresh updates the list of nodes, and drops what depends on it if it has changed. It also
// drops the state of servers that have been warm for a while. The caller holds mu.
func (l *Limiter) refresh(now time.Time) {
	l.roster.Refresh()
	if g := l.roster.Generation(); g != l.generation {
		l.generation = g
		for _, s := range l.servers {
			s.ownerKnown = false
		}
	}
	if now.Sub(l.cleanedAt) < window {
		return
	}
	l.cleanedAt = now
	maps.DeleteFunc(l.servers, func(_ uint64, s *server) bool { return now.Sub(s.warmAt) >= window })
}

// Take counts one request to a server. It returns false, and counts nothing, if this node
// may not send it now.
func (l *Limiter) Take(s registry.Server) bool {
	if !mayWarmUp(&s) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	if !l.allows(&s, now) {
		return false
	}
	if state := l.servers[s.Incarnation().Hash()]; state != nil {
		state.sent = append(state.sent, now)
	}
	return true
}

// UntilWarm returns the time until the first of the given servers is warm; zero if one is.
func (l *Limiter) UntilWarm(servers []*registry.Server) time.Duration {
	now := l.timers.Steady()
	least := maxWarmUp
	for _, s := range servers {
		least = min(least, max(0, l.warmAt(s).Sub(now)))
	}
	return least
}

// CountWarmingUp returns the number of servers that are warming up and that this node has
// considered for a request.
func (l *Limiter) CountWarmingUp() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	count := 0
	for _, s := range l.servers {
		if now.Before(s.warmAt) {
			count++
		}
	}
	return count
}

// mayWarmUp reports whether a server may still be warming up.
func mayWarmUp(s *registry.Server) bool { return s.WarmUp > 0 || !s.Restored.IsZero() }

// warmAt returns when a server is warm. The servers of a data hall may have cooled down
// while it was evacuated.
func (l *Limiter) warmAt(s *registry.Server) time.Time {
	limit := l.limits(s.Service)
	if limit.PerSecond <= 0 {
		return time.Time{}
	}
	longest := limit.Duration
	if longest <= 0 {
		longest = maxWarmUp
	}
	warmAt := s.Updated.Add(min(s.WarmUp, longest))
	if !s.Restored.IsZero() {
		if restored := s.Restored.Add(limit.Duration); restored.After(warmAt) {
			warmAt = restored
		}
	}
	return warmAt
}

// allows reports whether this node may send a server a request now. The caller holds mu.
func (l *Limiter) allows(s *registry.Server, now time.Time) bool {
	warmAt := l.warmAt(s)
	if !now.Before(warmAt) {
		return true
	}
	l.refresh(now)
	state := l.state(s, warmAt)
	state.sent = slices.DeleteFunc(state.sent, func(at time.Time) bool { return now.Sub(at) >= window })
	return state.owned && float64(len(state.sent)+1) <= l.limits(s.Service).PerSecond
}

// state returns the state of a server that is warming up. The caller holds mu.
func (l *Limiter) state(s *registry.Server, warmAt time.Time) *server {
	hash := s.Incarnation().Hash()
	state := l.servers[hash]
	if state == nil {
		state = &server{}
		l.servers[hash] = state
	}
	state.warmAt = warmAt
	if !state.ownerKnown {
		state.owned, state.ownerKnown = l.roster.Confirmed() && l.roster.Rank(s.DataHall, hash) == 0, true
	}
	return state
}
