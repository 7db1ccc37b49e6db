package route

import (
	"math"
	"sync"
	"time"

	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
)

// Assignment is one request at a server.
type Assignment struct {
	balancer *Balancer
	server   registry.Server
	state    *known
	kind     string
	prompt   prefix.Chain
	// tokens of the prompt, of which the server is believed to hold some.
	tokens, held int
	// wait is how long the request was expected to wait until the server turns
	// to it, takes how long the answer takes to begin from then on, occupies
	// how long it keeps others waiting, in milliseconds.
	wait, takes, occupies float64
	// late is when the answer is later than almost all of its kind; zero while
	// too little is known.
	late    time.Duration
	started time.Time
	// ready is when the answer is expected to begin, by all that is known since.
	ready time.Time
	begin sync.Once
	end   sync.Once
}

// Server returns the chosen server.
func (u *Assignment) Server() registry.Server { return u.server }

// RecordLoad takes the load that the server told on its answer.
func (u *Assignment) RecordLoad(l Load) { u.balancer.tell(u.state, l) }

// LateAfter returns how long after it was sent a request's answer is later than
// almost all of its kind; zero while too little is known.
func (u *Assignment) LateAfter() time.Duration { return u.late }

// ExpectedLatency returns how long after it was sent the answer was expected to begin.
func (u *Assignment) ExpectedLatency() time.Duration { return milliseconds(u.wait + u.takes) }

// ExpectedWait returns which part of Expected the request was expected to wait until
// the server turns to it.
func (u *Assignment) ExpectedWait() time.Duration { return milliseconds(u.wait) }

// ExpectedServiceTime returns which part of Expected is left after that.
func (u *Assignment) ExpectedServiceTime() time.Duration { return milliseconds(u.takes) }

// CachedTokens returns how many tokens of the prompt the server was believed to have.
func (u *Assignment) CachedTokens() int { return u.held }

// serial reports whether the server turns to one such request after the other.
func (u *Assignment) serial() bool { return u.tokens > 0 }

// RecordResponseStart tells that the server's answer has begun.
func (u *Assignment) RecordResponseStart() {
	u.begin.Do(func() { u.balancer.begin(u, true) })
}

// RecordProgress tells that the server has given a piece of some answer.
func (u *Assignment) RecordProgress() { u.balancer.progress(u.state) }

// RecordResult tells whether the server answered with a failure of its own.
func (u *Assignment) RecordResult(failed bool) { u.balancer.failed(u.state, failed) }

// EndStalled tells that the request was taken away since its answer, or the rest of
// it, was late. A server that has begun no other answer meanwhile has failed.
func (u *Assignment) EndStalled() {
	if u.balancer.stalled(u) {
		u.End(OutcomeFailed)
		return
	}
	u.End(OutcomeNeutral)
}

// End tells how the request ended, as far as the server is concerned.
func (u *Assignment) End(outcome Outcome) {
	u.begin.Do(func() { u.balancer.begin(u, false) })
	u.end.Do(func() { u.balancer.end(u, outcome) })
}

// tell takes a server's word on its load.
func (b *Balancer) tell(s *known, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.tell(l, time.Now())
}

// begin takes a request off those that wait at a server, and learns from an
// answer that has begun.
func (b *Balancer) begin(u *Assignment, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if answered {
		u.state.progress = now
		u.state.health.learnWait(now, b.learn(u, now))
	} else {
		u.state.cache.Remove(u.prompt)
	}
	u.state.begin(u, answered, now)
}

// learn takes how long an answer has taken to begin. It returns how many times
// longer than usual that is.
func (b *Balancer) learn(u *Assignment, now time.Time) float64 {
	line := b.lines[u.kind]
	took := math.Max(0, u.takes+inMilliseconds(now.Sub(u.ready)))
	size := float64(u.tokens - u.held)
	if whole := float64(u.tokens); u.held > 0 && math.Abs(took-line.Predict(whole)) < math.Abs(took-line.Predict(size)) {
		// It took as long as reading all of it: the server did not have it.
		size = whole
	}
	// Of a long wait little can be told about what came after it: its error
	// is larger than what is to be learned.
	total := inMilliseconds(now.Sub(u.started))
	share := u.takes / (u.takes + math.Max(u.wait, total-u.takes))
	line.AddSample(size, took, share*share)
	return b.waits.learn(u.kind, total/math.Max(1, u.wait+u.takes))
}

// progress takes a sign of life of a server.
func (b *Balancer) progress(s *known) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.progress = time.Now()
}

// failed takes whether an answer was a failure of the server's own.
func (b *Balancer) failed(s *known, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.health.learnFailure(time.Now(), failed)
}

// stalled counts a request whose answer was late against its server. It
// reports whether the server has given no piece of an answer since it was sent.
func (b *Balancer) stalled(u *Assignment) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.state.health.learnWait(time.Now(), slowest)
	return !u.state.progress.After(u.started)
}

// end takes a request off a server, and lets its breaker judge the outcome.
func (b *Balancer) end(u *Assignment, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := u.state
	s.inflight--
	switch outcome {
	case OutcomeOK:
		s.breaker.succeed()
	case OutcomeFailed:
		if s.breaker.fail(time.Now()) {
			b.opened(u.server.ID)
		}
	default:
		s.breaker.neutral()
	}
}
