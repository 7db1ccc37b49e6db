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
	state    *balancerServer
	kind     string
	prompt   prefix.Chain
	// promptTokens of the prompt, of which the server is believed to hold some.
	promptTokens, cachedTokens int
	// wait is how long the request was expected to wait until the server turns
	// to it, takes how long the answer takes to begin from then on, occupies
	// how long it keeps others waiting, in milliseconds.
	wait, serviceTime, blockingTime float64
	// lateAfter is when the answer is later than almost all of its kind; zero while
	// too little is known.
	lateAfter time.Duration
	sentAt    time.Time
	// expectedStart is when the answer is expected to begin, by all that is known since.
	expectedStart time.Time
	startOnce     sync.Once
	endOnce       sync.Once
}

// Server returns the chosen server.
func (u *Assignment) Server() registry.Server { return u.server }

// RecordLoad takes the load that the server told on its answer.
func (u *Assignment) RecordLoad(l Load) { u.balancer.recordLoad(u.state, l) }

// LateAfter returns how long after it was sent a request's answer is later than
// almost all of its kind; zero while too little is known.
func (u *Assignment) LateAfter() time.Duration { return u.lateAfter }

// ExpectedLatency returns how long after it was sent the answer was expected to begin.
func (u *Assignment) ExpectedLatency() time.Duration { return durationFromMS(u.wait + u.serviceTime) }

// ExpectedWait returns which part of Expected the request was expected to wait until
// the server turns to it.
func (u *Assignment) ExpectedWait() time.Duration { return durationFromMS(u.wait) }

// ExpectedServiceTime returns which part of Expected is left after that.
func (u *Assignment) ExpectedServiceTime() time.Duration { return durationFromMS(u.serviceTime) }

// CachedTokens returns how many tokens of the prompt the server was believed to have.
func (u *Assignment) CachedTokens() int { return u.cachedTokens }

// serial reports whether the server turns to one such request after the other.
func (u *Assignment) serial() bool { return u.promptTokens > 0 }

// RecordResponseStart tells that the server's answer has begun.
func (u *Assignment) RecordResponseStart() {
	u.startOnce.Do(func() { u.balancer.recordResponseStart(u, true) })
}

// RecordProgress tells that the server has given a piece of some answer.
func (u *Assignment) RecordProgress() { u.balancer.recordProgress(u.state) }

// RecordResult tells whether the server answered with a failure of its own.
func (u *Assignment) RecordResult(failed bool) { u.balancer.recordResult(u.state, failed) }

// EndStalled tells that the request was taken away since its answer, or the rest of
// it, was late. A server that has begun no other answer meanwhile has failed.
func (u *Assignment) EndStalled() {
	if u.balancer.recordStall(u) {
		u.End(OutcomeFailed)
		return
	}
	u.End(OutcomeNeutral)
}

// End tells how the request ended, as far as the server is concerned.
func (u *Assignment) End(outcome Outcome) {
	u.startOnce.Do(func() { u.balancer.recordResponseStart(u, false) })
	u.endOnce.Do(func() { u.balancer.end(u, outcome) })
}

// recordLoad takes a server's word on its load.
func (b *Balancer) recordLoad(s *balancerServer, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.updateLoad(l, time.Now())
}

// recordResponseStart takes a request off those that wait at a server, and learns from an
// answer that has begun.
func (b *Balancer) recordResponseStart(u *Assignment, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if answered {
		u.state.lastProgress = now
		u.state.health.recordLatency(now, b.recordLatency(u, now))
	} else {
		u.state.cache.Remove(u.prompt)
	}
	u.state.removeWaiting(u, answered, now)
}

// recordLatency takes how long an answer has taken to begin. It returns how many times
// longer than usual that is.
func (b *Balancer) recordLatency(u *Assignment, now time.Time) float64 {
	line := b.regressions[u.kind]
	took := math.Max(0, u.serviceTime+durationToMS(now.Sub(u.expectedStart)))
	size := float64(u.promptTokens - u.cachedTokens)
	if whole := float64(u.promptTokens); u.cachedTokens > 0 && math.Abs(took-line.Predict(whole)) < math.Abs(took-line.Predict(size)) {
		// It took as long as reading all of it: the server did not have it.
		size = whole
	}
	// Of a long wait little can be told about what came after it: its error
	// is larger than what is to be learned.
	total := durationToMS(now.Sub(u.sentAt))
	share := u.serviceTime / (u.serviceTime + math.Max(u.wait, total-u.serviceTime))
	line.AddSample(size, took, share*share)
	return b.latencyRatios.record(u.kind, total/math.Max(1, u.wait+u.serviceTime))
}

// recordProgress takes a sign of life of a server.
func (b *Balancer) recordProgress(s *balancerServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.lastProgress = time.Now()
}

// recordResult takes whether an answer was a failure of the server's own.
func (b *Balancer) recordResult(s *balancerServer, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.health.recordResult(time.Now(), failed)
}

// recordStall counts a request whose answer was late against its server. It
// reports whether the server has given no piece of an answer since it was sent.
func (b *Balancer) recordStall(u *Assignment) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.state.health.recordLatency(time.Now(), maxLatencyRatio)
	return !u.state.lastProgress.After(u.sentAt)
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
			b.onBreakerOpen(u.server.ID)
		}
	default:
		s.breaker.neutral()
	}
}
