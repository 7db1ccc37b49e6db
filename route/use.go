package route

import (
	"math"
	"sync"
	"time"

	"github.com/violettally/violettally/registry"
)

// Use is one request at a server.
type Use struct {
	balancer *Balancer
	server   registry.Server
	// work is what it keeps the server busy with before its answer begins, in
	// milliseconds.
	work float64
	kind string
	// idle is how long the answer would take to begin if all requests of its
	// kind took as long as the task says, in milliseconds; expected is how long
	// it takes at a server of the usual speed.
	idle     float64
	expected time.Duration
	// late is when the answer is later than almost all of its kind; zero while
	// too little is known.
	late    time.Duration
	started time.Time
	begin   sync.Once
	end     sync.Once
}

// Server returns the chosen server.
func (u *Use) Server() registry.Server { return u.server }

// Tell takes the load that the server told on its answer.
func (u *Use) Tell(l Load) { u.balancer.tell(u.server.ID, l) }

// Late returns how long after it was sent a request's answer is later than
// almost all of its kind; zero while too little is known.
func (u *Use) Late() time.Duration { return u.late }

// Expected returns how long the answer usually takes to begin.
func (u *Use) Expected() time.Duration { return u.expected }

// Begin tells that the server's answer has begun.
func (u *Use) Begin() {
	u.begin.Do(func() { u.balancer.begin(u, true) })
}

// Failed tells whether the server answered with a failure of its own.
func (u *Use) Failed(failed bool) { u.balancer.failed(u.server.ID, failed) }

// Stall tells that the request was taken away since its answer, or the rest of
// it, was late. A server that has begun no other answer meanwhile has failed.
func (u *Use) Stall() {
	if u.balancer.stalled(u) {
		u.End(OutcomeFailed)
		return
	}
	u.End(OutcomeNeutral)
}

// End tells how the request ended, as far as the server is concerned.
func (u *Use) End(outcome Outcome) {
	u.begin.Do(func() { u.balancer.begin(u, false) })
	u.end.Do(func() { u.balancer.end(u.server.ID, outcome) })
}

// tell takes a server's word on its load, less this node's own part of it.
func (b *Balancer) tell(id string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.othersWaiting = math.Max(0, float64(l.Waiting-s.waiting))
	s.othersRunning = math.Max(0, float64(l.Running-(s.inflight-s.waiting)))
	s.toldAt = time.Now()
}

// begin takes a request's work off what this node has waiting at a server, and
// learns from an answer that has begun.
func (b *Balancer) begin(u *Use, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(u.server.ID)
	s.waiting--
	s.pending -= u.work
	if answered {
		now := time.Now()
		s.progress = now
		s.health.learnWait(now, b.learnWait(u, now))
	}
}

// learnWait takes how long a request has waited for its answer. It returns how
// many times longer than usual that is.
func (b *Balancer) learnWait(u *Use, now time.Time) float64 {
	if u.idle <= 0 {
		return 1
	}
	return b.waits.learn(u.kind, float64(now.Sub(u.started))/float64(time.Millisecond)/u.idle, now)
}

// failed takes whether an answer was a failure of the server's own.
func (b *Balancer) failed(id string, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).health.learnFailure(time.Now(), failed)
}

// stalled counts a request whose answer was late against its server. It
// reports whether the server has begun no other answer since that was sent.
func (b *Balancer) stalled(u *Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(u.server.ID)
	s.health.learnWait(time.Now(), slowest)
	return !s.progress.After(u.started)
}

// end takes a request off a server, and lets its breaker judge the outcome.
func (b *Balancer) end(id string, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.inflight--
	switch outcome {
	case OutcomeOK:
		s.breaker.succeed()
	case OutcomeFailed:
		if s.breaker.fail(time.Now()) {
			b.opened(id)
		}
	default:
		s.breaker.neutral()
	}
}

// milliseconds makes a duration of a number of them.
func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
