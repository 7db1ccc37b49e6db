// Package throttle keeps nodes to what backend servers say of the requests that they take (package
// notice): a server that leaves gets none, one that wants rest gets none of the node that it told so for
// that time, and one that names a limit no more than that allows.
//
// After a rest a node sends one request at first, and then a few a second until the server has
// answered one without wanting rest again: those that were held off don't all come at once.
//
// A server in need says in its answers how many requests a second it takes from all nodes
// together. The limit holds until an answer names another one or none. Each whole request a second is
// the share of one owner of the server (package owner): a limit of five is shared by the five nodes that
// come first, and all nodes share one that exceeds their number. Only owners send such a server requests,
// each as many as its share allows. No request waits for another node.
//
// The limit, its owners and what they have sent are the server's, not one incarnation's: a server that
// starts again gets no more requests than before until its first answer tells otherwise.
//
// A share holds while the list of nodes may be out of date, as in an outage of the platform's
// store: servers in need go on to get what they can take. As the list changes, two nodes may hold
// one share for a moment, and send a few requests more than the limit.
//
// # Usage
//
//	l := throttle.New(board, roster, timers)
//	servers = l.Filter(servers)
//	… choose one of them …
//	if !l.Take(server) {
//		… choose again …
//	}
//	… just before the first byte is sent: l.Withheld(server) …
//	board.Observe(server, answer)  // for each answer
package throttle

import (
	"math"
	"sync"
	"time"

	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
)

//go:generate go tool enumer -type=Cause -trimprefix=Cause -transform=snake -output=throttle_enumer.go

// Cause tells why a server gets no request now.
type Cause int

// The causes.
const (
	CauseNone Cause = iota
	// CauseLimit: this node has used up its share of the server's request limit, or has none.
	CauseLimit
	// CauseRest: the server wants rest, or has wanted it until just now and is being probed.
	CauseRest
	// CauseLeaving: the server is about to end.
	CauseLeaving
)

// forever is how long a server that leaves gets no request.
const forever = time.Duration(math.MaxInt64)

// minPerSecond is the least number of requests a second that a server gets: what it says of its
// limit is known by its answers only.
const minPerSecond = 0.2

// Option configures a Limiter in New.
type Option func(*Limiter)

// WithUsers sets a function that returns how many nodes send requests to each server of a service,
// those that come first in the ranking of owners. The default is all nodes.
func WithUsers(users func(service string) int) Option {
	return func(l *Limiter) { l.users = users }
}

// Limiter keeps one node to its shares of the limits that servers name. It is safe for
// concurrent use.
type Limiter struct {
	board  *notice.Board
	roster *owner.Roster
	timers *timer.Service
	users  func(service string) int

	mu sync.Mutex
	// usages holds how this node uses servers that name limits, by hash of the server's ID.
	usages map[uint64]*usage
	// version changes with what servers say and with the list of nodes; boardVersion and
	// rosterGeneration are what it was last changed for.
	version, boardVersion, rosterGeneration uint64
	refreshedAt, cleanedAt                  time.Time
	selections                              registry.Selections
}

// New returns a limiter of the node with the given roster, which knows what servers say from the
// board.
func New(board *notice.Board, roster *owner.Roster, timers *timer.Service, options ...Option) *Limiter {
	l := &Limiter{
		board:      board,
		roster:     roster,
		timers:     timers,
		users:      func(string) int { return roster.Count() },
		usages:     make(map[uint64]*usage),
		selections: make(registry.Selections),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Filter returns the servers that this node may send a request now. It does not modify the
// given list.
func (l *Limiter) Filter(servers []*registry.Server) []*registry.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idle() || len(servers) == 0 {
		return servers
	}
	now := l.timers.Steady()
	l.refresh(now)
	selection := l.selections.Get(servers, l.version, now, l.use)
	return selection.Servers(func(s *registry.Server) bool { return l.isFree(s, now) })
}

// idle reports whether every server may get any number of requests.
func (l *Limiter) idle() bool {
	return l.board.Count(notice.KindRequestLimit) == 0 && l.board.Count(notice.KindLeaving) == 0 && l.board.Count(notice.KindRest) == 0
}

// use returns how this node uses a server. The caller holds mu.
func (l *Limiter) use(s *registry.Server) (registry.Use, time.Time) {
	switch state := l.board.State(s); {
	case state.Leaving:
		return registry.UseNone, time.Time{}
	case !state.RestUntil.IsZero():
		return registry.UseRestricted, time.Time{}
	case state.RequestLimit == notice.Unlimited:
		return registry.UseFree, time.Time{}
	case l.shareOf(s, state).burst > 0:
		return registry.UseRestricted, time.Time{}
	default:
		return registry.UseNone, time.Time{}
	}
}

// Allows reports whether this node may send a server a request now.
func (l *Limiter) Allows(s registry.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allows(&s)
}

// Take counts one request to a server. It returns false, and counts nothing, if this node may
// not send it now.
func (l *Limiter) Take(s registry.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.allows(&s) {
		return false
	}
	if l.idle() {
		return true
	}
	state := l.board.State(&s)
	if state.RequestLimit != notice.Unlimited {
		u := l.usage(&s)
		u.sent = append(u.sent, l.refreshedAt)
	}
	if !state.RestUntil.IsZero() {
		l.usage(&s).probedAt = l.refreshedAt
	}
	return true
}

// allows reports whether this node may send a server a request now. The caller holds mu.
func (l *Limiter) allows(s *registry.Server) bool {
	if l.idle() {
		return true
	}
	now := l.timers.Steady()
	l.refresh(now)
	return l.isFree(s, now)
}

// Withheld reports whether a server wants no requests at all now. Unlike Allows, it does not count
// what this node has sent, so it also tells of a request that was taken and not sent yet.
func (l *Limiter) Withheld(s registry.Server) bool {
	if l.board.Count(notice.KindLeaving) == 0 && l.board.Count(notice.KindRest) == 0 {
		return false
	}
	state := l.board.State(&s)
	return state.Leaving || l.timers.Steady().Before(state.RestUntil)
}

// Wait returns the least time until one of the servers may get a request, from this node or another,
// and why it may not before: zero and CauseNone if one may get one from this node now, a time that
// never ends if there is none or all leave.
func (l *Limiter) Wait(servers []*registry.Server) (time.Duration, Cause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	l.refresh(now)
	least, cause := forever, CauseLeaving
	for _, s := range servers {
		if wait, c := l.wait(s, now); wait < least {
			least, cause = wait, c
		}
	}
	return least, cause
}

// Scarce reports whether all of the servers that stay name limits, and at least half of this node's
// shares of them are used up.
func (l *Limiter) Scarce(servers []*registry.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.board.Count(notice.KindRequestLimit) == 0 || l.board.Count(notice.KindRequestLimit)+l.board.Count(notice.KindLeaving) < len(servers) {
		return false
	}
	now := l.timers.Steady()
	l.refresh(now)
	shares, usedUp := 0, 0
	for _, s := range servers {
		state := l.board.State(s)
		if state.Leaving {
			continue
		}
		if state.RequestLimit == notice.Unlimited {
			return false
		}
		if l.shareOf(s, state).burst == 0 {
			continue
		}
		shares++
		if !l.isFree(s, now) {
			usedUp++
		}
	}
	return len(servers) > 0 && 2*usedUp >= shares
}

// refresh takes changes of the list of nodes and of what servers say into account. The caller holds
// mu.
func (l *Limiter) refresh(now time.Time) {
	l.refreshedAt = now
	l.roster.Refresh()
	l.board.Clean()
	if v, g := l.board.Version(), l.roster.Generation(); v != l.boardVersion || g != l.rosterGeneration {
		l.boardVersion, l.rosterGeneration = v, g
		l.version++
	}
	if now.Sub(l.cleanedAt) >= owner.RefreshInterval {
		l.cleanedAt = now
		l.dropUnused(now)
	}
}
