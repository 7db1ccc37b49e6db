// Package warmup limits the requests to servers that are warming up.
//
// A server that has just started bears only a few requests a second, and crashes well
// above that. It may begin to warm up again at any moment. All nodes share its limit, but
// no request can wait for an agreement. Each such server is therefore owned by one node,
// and only its owner sends it requests. All nodes compute the owner by rendezvous hashing
// over the list of nodes, preferably among those of the server's data hall.
//
// Nodes learn of a change of the list at different times. Two rules keep two of them from
// being the owner within one window:
//
//   - a node counts on others for [handover] after they have left the list, and claims no
//     server before it has been listed for as long itself;
//   - a node whose list may be out of date claims nothing.
//
// A server whose owner is gone gets nothing meanwhile. It warms up for seconds only, and
// the others take its requests.
//
// # Usage
//
//	l := warmup.New(self, nodes, limits, timers)
//	go l.Run(ctx)
//	servers = l.Filter(servers)
//	… choose one of them …
//	if !l.Take(server) {
//		… choose again …
//	}
package warmup

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

const (
	// window is the time in which an owner counts its requests. It exceeds the second for
	// which limits are declared, since requests may take unequally long to arrive.
	window = 1200 * time.Millisecond
	// handover is the time for which no node may own a server that had another owner. The
	// last requests of the previous owner, which may learn of the change by news of
	// [mirror.MaxStaleness], must have left the window by then.
	handover = mirror.MaxStaleness + window + refreshInterval
	// refreshInterval is the time between two reads of the list of nodes.
	refreshInterval = 200 * time.Millisecond
	// idleInterval is the same while no service has a limit. It exceeds maxRefreshGap, so that
	// a node owns nothing until it has kept its list up to date for a while.
	idleInterval = 2 * time.Second
	// maxRefreshGap is the longest time between two reads after which the list still counts
	// as known throughout. This process did not run if it is exceeded.
	maxRefreshGap = time.Second
	// listValidity is the longest time for which a filtered list is used again: a new
	// declaration may change the limits.
	listValidity = time.Second
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

// Nodes lists the nodes that share the servers.
type Nodes interface {
	// Listed reports whether the other nodes can find this one in their lists.
	Listed() bool
	// Others returns the other nodes, the same list until it changes.
	Others() []view.Member
	// Age is the time since the list was last confirmed to be current.
	Age() time.Duration
}

// Limiter admits one node's requests to servers that are warming up. It is safe for
// concurrent use.
type Limiter struct {
	self   view.Member
	nodes  Nodes
	limits func(service string) Limit
	timers *timer.Service

	mu          sync.Mutex
	refreshedAt time.Time
	// listedSince is since when this node has been listed and its list up to date; zero if
	// it is not.
	listedSince time.Time
	// mayOwn is whether that is long enough for this node to own servers.
	mayOwn bool
	// others holds the other nodes by VM, including those that left within handover.
	others map[string]otherNode
	// listFirst and listCount identify the list that others was updated from, at listedAt last.
	listFirst *view.Member
	listCount int
	listedAt  time.Time
	// hasGone means that others may hold nodes that are not listed any more.
	hasGone bool
	// servers holds the servers that are warming up, by hash of the incarnation.
	servers map[uint64]*server
	// last is the last result of withoutUnowned.
	last ownedList
}

// ownedList is a list of servers without those that are warming up and that another node owns.
// Lists of servers are filtered several times a request and change a few times a second.
type ownedList struct {
	// first and length identify the list that was filtered.
	first  **registry.Server
	length int
	// validUntil is when one of the servers left out will be warm, and listValidity from the
	// filtering at the latest.
	validUntil time.Time
	servers    []*registry.Server
	// warming holds the indices of the servers that are warming up, which this node owns.
	warming []int
}

// server is the state of one server that is warming up.
type server struct {
	// owned reports whether this node is the owner by the present list.
	owned, ownerKnown bool
	// sent holds the times of the requests within the window.
	sent   []time.Time
	warmAt time.Time
}

// New returns the limiter of a node. Limits returns what the servers of a service bear.
func New(self view.Member, nodes Nodes, limits func(service string) Limit, timers *timer.Service) *Limiter {
	return &Limiter{
		self:    self,
		nodes:   nodes,
		limits:  limits,
		timers:  timers,
		others:  make(map[string]otherNode),
		servers: make(map[uint64]*server),
	}
}

// Run keeps the list of nodes up to date until the context ends, as long as limited reports that
// the servers of some service have a limit while they warm up.
func (l *Limiter) Run(ctx context.Context, limited func() bool) {
	for ctx.Err() == nil {
		interval := refreshInterval
		if !limited() {
			interval = idleInterval
		}
		ticks := l.timers.Subscribe(interval)
		select {
		case <-ctx.Done():
		case <-ticks.C():
			l.mu.Lock()
			l.refresh(l.timers.Steady())
			l.mu.Unlock()
		}
		ticks.Stop()
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
	owned := l.withoutUnowned(servers, now)
	exhausted := func(i int) bool { return !l.allows(owned.servers[i], now) }
	if !slices.ContainsFunc(owned.warming, exhausted) {
		return owned.servers
	}
	allowed := make([]*registry.Server, 0, len(owned.servers))
	from := 0
	for _, i := range owned.warming {
		if exhausted(i) {
			allowed = append(allowed, owned.servers[from:i]...)
			from = i + 1
		}
	}
	return append(allowed, owned.servers[from:]...)
}

// withoutUnowned returns the list without the servers that are warming up and that another
// node owns. The caller holds mu.
func (l *Limiter) withoutUnowned(servers []*registry.Server, now time.Time) ownedList {
	l.refresh(now)
	if l.last.first == &servers[0] && l.last.length == len(servers) && now.Before(l.last.validUntil) {
		return l.last
	}
	list := ownedList{first: &servers[0], length: len(servers), validUntil: now.Add(listValidity), servers: make([]*registry.Server, 0, len(servers))}
	for _, s := range servers {
		warmAt := l.warmAt(s)
		switch {
		case !now.Before(warmAt):
		case l.state(s, warmAt).owned:
			list.warming = append(list.warming, len(list.servers))
		default:
			if warmAt.Before(list.validUntil) {
				list.validUntil = warmAt
			}
			continue
		}
		list.servers = append(list.servers, s)
	}
	l.last = list
	return list
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
		state.owned, state.ownerKnown = l.mayOwn && l.owns(s.DataHall, hash), true
	}
	return state
}
