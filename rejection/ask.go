package rejection

import (
	"context"
	"sync"
	"time"

	"github.com/violettally/violettally/registry"
)

const (
	// askTimeout bounds a request for a place to one node.
	askTimeout = 100 * time.Millisecond
	// unansweredTime is how long the second owner is asked at the same time as a first one that did not
	// answer.
	unansweredTime = 2 * time.Second
)

// answer is what one of the nodes that keep the places of a server has said.
type answer struct {
	grant Grant
	// answered is false if the node was not asked or did not answer.
	answered bool
}

// isBinding reports whether the node has answered and knows what others use.
func (a answer) isBinding() bool { return a.answered && !a.grant.Unsettled }

// gives reports whether the node gives more places than the given number.
func (a answer) gives(places int) bool { return a.isBinding() && a.grant.Places > places }

// ask asks for as many places as this node uses, and more, and gives back what it does not use. If
// another request for places of the same server is under way, it waits for it first. It returns the
// basis of a place that this node has then.
func (l *Limiter) ask(ctx context.Context, s registry.Server, want int) Basis {
	l.mu.Lock()
	r := l.room(s)
	l.mu.Unlock()
	r.asking.Lock()
	defer r.asking.Unlock()
	ask, ok := l.nextAsk(r, want)
	if !ok {
		return BasisHeld
	}
	first, second := l.askOwners(ctx, s, r, ask)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	basis := BasisGranted
	switch places, answered := combine(ask, first, second); {
	case answered:
		r.granted, r.grantedUntil, r.told = places, r.askedAt.Add(holdTime), places // owners count from when they were asked
		if first.gives(places) || second.gives(places) {
			r.told = max(first.grant.Places, second.grant.Places)
			go l.ask(context.Background(), s, 0) // gives back what only one of them gives
		}
	case want > 0 && l.roster.Count() <= r.slots:
		basis = BasisUnanswered
		r.granted, r.grantedUntil = max(r.granted, 1), now.Add(holdTime)
	}
	if want > 0 && !r.hasPlace(now) {
		l.denied[ask.Server] = now.Add(denialTime)
	}
	return basis
}

// nextAsk returns what to ask for; false if nothing is to be asked any more.
func (l *Limiter) nextAsk(r *room, want int) (Ask, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	settled := r.told == r.inflight && now.Sub(r.askedAt) < renewInterval
	if want > 0 {
		settled = r.hasPlace(now) || now.Before(l.denied[r.server.IDHash()])
	}
	if settled {
		return Ask{}, false // by the request that this one waited for
	}
	r.askedAt = now
	l.sequence++
	r.granted = r.inflight // what is not in use is given back
	since := l.board.State(&r.server).RejectionLimitSince
	return Ask{
		Server: r.server.IDHash(), Node: l.roster.NodeHash(), DataHall: r.server.DataHall,
		Slots: r.slots, InUse: r.inflight, Want: want, New: now.Sub(since) < settleTime,
		Sequence: l.sequence,
	}, true
}

// askOwners asks the two nodes that keep the places of a server. The second one is asked for what the first
// one gives, so that requests for the last place don't take it from each other; if the first one did not
// answer lately, both are asked at once.
func (l *Limiter) askOwners(ctx context.Context, s registry.Server, r *room, a Ask) (first, second answer) {
	l.mu.Lock()
	together := a.Want == 0 || l.timers.Steady().Sub(r.unansweredAt) < unansweredTime
	l.mu.Unlock()
	if together {
		var asking sync.WaitGroup
		asking.Go(func() { first = l.askOwner(ctx, s, 0, a) })
		second = l.askOwner(ctx, s, 1, a)
		asking.Wait()
	} else {
		first = l.askOwner(ctx, s, 0, a)
		if first.isBinding() {
			a.Want = first.grant.Places - a.InUse
		}
		if a.Want > 0 {
			second = l.askOwner(ctx, s, 1, a)
		}
	}
	if !first.answered {
		l.mu.Lock()
		r.unansweredAt = l.timers.Steady()
		l.mu.Unlock()
	}
	return first, second
}

// askOwner asks one of the nodes that keep the places of a server.
func (l *Limiter) askOwner(ctx context.Context, s registry.Server, rank int, a Ask) answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	grant, err := l.coordinators.Ask(ctx, s, rank, a)
	return answer{grant, err == nil}
}

// combine returns the number of places that a node has by the answers of both owners: those that both
// give, or, if only one answer is binding, those that it gives. It returns false if nobody answered.
func combine(a Ask, first, second answer) (places int, answered bool) {
	switch {
	case first.isBinding() && second.isBinding():
		return min(first.grant.Places, second.grant.Places), true
	case first.isBinding():
		return first.grant.Places, true
	case second.isBinding():
		return second.grant.Places, true
	default:
		return a.InUse, first.answered || second.answered
	}
}
