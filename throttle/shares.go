package throttle

import (
	"math"
	"slices"
	"time"

	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/registry"
)

const (
	// burstTime is the time whose requests an owner may send at once.
	burstTime = 500 * time.Millisecond
	// usageMemory is how long it is known what this node has sent a server, which exceeds the
	// window of every share.
	usageMemory = 10 * time.Second
	// probeInterval is the time between two requests to a server whose rest is over, until it has
	// answered one of them.
	probeInterval = 500 * time.Millisecond
)

// usage is how this node uses one server that names a limit.
type usage struct {
	// share is this node's part of a limit of perSecond by the list of nodes of a generation.
	share      share
	perSecond  float64
	generation uint64
	// sent holds the times of the requests that this node has sent within the share's window.
	sent []time.Time
	// probedAt is when the last request was sent after a rest that the server has not answered yet.
	probedAt time.Time
	usedAt   time.Time
}

// share is a node's part of a limit: burst requests in each window; none if burst is zero.
type share struct {
	burst  int
	window time.Duration
}

// usage returns how this node uses a server. The caller holds mu.
func (l *Limiter) usage(s *registry.Server) *usage {
	hash := s.IDHash()
	u := l.usages[hash]
	if u == nil {
		u = &usage{}
		l.usages[hash] = u
	}
	u.usedAt = l.refreshedAt
	return u
}

// dropUnused forgets what was not used for a while. The caller holds mu.
func (l *Limiter) dropUnused(now time.Time) {
	for hash, u := range l.usages {
		if now.Sub(u.usedAt) >= usageMemory {
			delete(l.usages, hash)
		}
	}
}

// isFree reports whether this node may send a server a request now. The caller holds mu.
func (l *Limiter) isFree(s *registry.Server, now time.Time) bool {
	wait, _ := l.wait(s, now)
	return wait == 0
}

// wait returns the time until a server may get a request, and why it may not before. The caller
// holds mu.
func (l *Limiter) wait(s *registry.Server, now time.Time) (time.Duration, Cause) {
	state := l.board.State(s)
	if state.Leaving {
		return forever, CauseLeaving
	}
	rest, share := l.waitForRest(s, state, now), l.waitForShare(s, state, now)
	switch {
	case rest > 0 && rest >= share:
		return rest, CauseRest
	case share > 0:
		return share, CauseLimit
	default:
		return 0, CauseNone
	}
}

// waitForRest returns the time until a server that has wanted rest may get a request from this node.
// The caller holds mu.
func (l *Limiter) waitForRest(s *registry.Server, state notice.State, now time.Time) time.Duration {
	if state.RestUntil.IsZero() {
		return 0
	}
	if rest := state.RestUntil.Sub(now); rest > 0 {
		return rest
	}
	return max(0, l.usage(s).probedAt.Add(probeInterval).Sub(now))
}

// waitForShare returns the time until a server that names a limit may get a request from this node,
// or, if this node has no share of the limit, in which the server takes one from another node. The
// caller holds mu.
func (l *Limiter) waitForShare(s *registry.Server, state notice.State, now time.Time) time.Duration {
	if state.RequestLimit == notice.Unlimited {
		return 0
	}
	share := l.shareOf(s, state)
	if share.burst == 0 {
		return time.Duration(float64(time.Second) / servedRate(state))
	}
	u := l.usage(s)
	u.sent = slices.DeleteFunc(u.sent, func(at time.Time) bool { return now.Sub(at) >= share.window })
	if len(u.sent) < share.burst {
		return 0
	}
	return u.sent[len(u.sent)-share.burst].Add(share.window).Sub(now)
}

// servedRate returns the number of requests a second that a server gets which names a limit.
func servedRate(state notice.State) float64 { return max(state.RequestLimit, minPerSecond) }

// shareOf returns this node's share of the limit that a server names. The caller holds mu.
func (l *Limiter) shareOf(s *registry.Server, state notice.State) share {
	u := l.usage(s)
	if perSecond := servedRate(state); u.perSecond != perSecond || u.generation != l.rosterGeneration {
		u.share, u.perSecond, u.generation = l.newShare(perSecond, s), perSecond, l.rosterGeneration
	}
	return u.share
}

// newShare computes this node's share of a number of requests a second.
func (l *Limiter) newShare(perSecond float64, s *registry.Server) share {
	owners := max(1, min(math.Floor(perSecond), float64(l.users(s.Service))))
	if !l.roster.Listed() || float64(l.roster.Rank(s.DataHall, s.IDHash())) >= owners {
		return share{}
	}
	ownPerSecond := perSecond / owners
	burst := max(1, math.Floor(ownPerSecond*burstTime.Seconds()))
	return share{burst: int(burst), window: time.Duration(burst / ownPerSecond * float64(time.Second))}
}
