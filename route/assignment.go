package route

import (
	"math"
	"sync"
	"time"

	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
)

// Assignment is one request sent to a server that a Balancer chose.
type Assignment struct {
	balancer *Balancer
	server   registry.Server
	state    *balancerServer
	kind     string
	prompt   prefix.Chain
	// promptTokens is the size of the prompt; cachedTokens of them were expected
	// in the server's cache.
	promptTokens, cachedTokens int
	// wait is the expected time in the server's queue, serviceTime the expected
	// time from then until the response starts, blockingTime the time for which
	// the request delays those behind it, all in milliseconds.
	wait, serviceTime, blockingTime float64
	// lateAfter is the latency beyond which the response is late; zero while too
	// few responses have been observed.
	lateAfter time.Duration
	sentAt    time.Time
	// expectedStart is when the response is expected to start, updated as earlier
	// requests leave the queue.
	expectedStart time.Time
	startOnce     sync.Once
	endOnce       sync.Once
}

// Server returns the chosen server.
func (a *Assignment) Server() registry.Server { return a.server }

// RecordLoad records the load that the server reported with its response.
func (a *Assignment) RecordLoad(l Load) { a.balancer.recordLoad(a.state, l) }

// LateAfter returns the latency beyond which the response is later than almost
// all of its kind; zero while too few responses have been observed.
func (a *Assignment) LateAfter() time.Duration { return a.lateAfter }

// ExpectedLatency returns the expected time from sending the request until the
// response starts: the sum of ExpectedWait and ExpectedServiceTime.
func (a *Assignment) ExpectedLatency() time.Duration { return durationFromMS(a.wait + a.serviceTime) }

// ExpectedWait returns the expected time in the server's queue.
func (a *Assignment) ExpectedWait() time.Duration { return durationFromMS(a.wait) }

// ExpectedServiceTime returns the expected time from leaving the server's queue
// until the response starts.
func (a *Assignment) ExpectedServiceTime() time.Duration { return durationFromMS(a.serviceTime) }

// CachedTokens returns the number of prompt tokens that were expected in the
// server's cache.
func (a *Assignment) CachedTokens() int { return a.cachedTokens }

// serial reports whether the server handles such requests one at a time, as
// engines prefill prompts.
func (a *Assignment) serial() bool { return a.promptTokens > 0 }

// RecordResponseStart records that the server's response has started. Only the
// first call counts.
func (a *Assignment) RecordResponseStart() {
	a.startOnce.Do(func() { a.balancer.recordResponseStart(a, true) })
}

// RecordProgress records that the server has sent part of a response.
func (a *Assignment) RecordProgress() { a.balancer.recordProgress(a.state) }

// RecordResult records whether the response was a failure of the server.
func (a *Assignment) RecordResult(failed bool) { a.balancer.recordResult(a.state, failed) }

// EndStalled ends a request that was cancelled because its response, or the rest
// of it, was late. It counts as a failure of the server if that has sent no part
// of any response since the request was sent.
func (a *Assignment) EndStalled() {
	if a.balancer.recordStall(a) {
		a.End(OutcomeFailed)
		return
	}
	a.End(OutcomeNeutral)
}

// End records the outcome of the request. Only the first call counts.
func (a *Assignment) End(outcome Outcome) {
	a.startOnce.Do(func() { a.balancer.recordResponseStart(a, false) })
	a.endOnce.Do(func() { a.balancer.end(a, outcome) })
}

// recordLoad records the load that a server reported.
func (b *Balancer) recordLoad(s *balancerServer, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.updateLoad(l, time.Now())
}

// recordResponseStart removes a request from its server's queue. If its response
// has started, the latency is recorded; otherwise the prompt is no longer expected
// in the server's cache.
func (b *Balancer) recordResponseStart(a *Assignment, responded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if responded {
		a.state.lastProgress = now
		a.state.health.recordLatency(now, b.recordLatency(a, now))
	} else {
		a.state.cache.Remove(a.prompt)
	}
	a.state.removeWaiting(a, responded, now)
}

// recordLatency adds the time until a response started to the estimates for its
// kind. It returns the ratio of the latency to what is usual for the kind.
func (b *Balancer) recordLatency(a *Assignment, now time.Time) float64 {
	regression := b.regressions[a.kind]
	took := math.Max(0, a.serviceTime+durationToMS(now.Sub(a.expectedStart)))
	size := float64(a.promptTokens - a.cachedTokens)
	if whole := float64(a.promptTokens); a.cachedTokens > 0 && math.Abs(took-regression.Predict(whole)) < math.Abs(took-regression.Predict(size)) {
		// It took as long as a prefill of the whole prompt: nothing was cached.
		size = whole
	}
	// After a long wait the sample counts for little: the error in the wait is
	// larger than the service time to be estimated.
	total := durationToMS(now.Sub(a.sentAt))
	share := a.serviceTime / (a.serviceTime + math.Max(a.wait, total-a.serviceTime))
	regression.AddSample(size, took, share*share)
	return b.latencyRatios.record(a.kind, total/math.Max(1, a.wait+a.serviceTime))
}

// recordProgress records that a server has sent part of a response.
func (b *Balancer) recordProgress(s *balancerServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.lastProgress = time.Now()
}

// recordResult records whether a response was a failure of the server.
func (b *Balancer) recordResult(s *balancerServer, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.health.recordResult(time.Now(), failed)
}

// recordStall records a late response in its server's health. It reports whether
// the server has sent no part of any response since the request was sent.
func (b *Balancer) recordStall(a *Assignment) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.state.health.recordLatency(time.Now(), maxLatencyRatio)
	return !a.state.lastProgress.After(a.sentAt)
}

// end removes a request from those in flight and passes its outcome to the
// server's circuit breaker.
func (b *Balancer) end(a *Assignment, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := a.state
	s.inflight--
	b.serviceWork(a.server.Service).Running--
	switch outcome {
	case OutcomeOK:
		s.breaker.succeed()
	case OutcomeFailed:
		if s.breaker.fail(time.Now(), a.sentAt) {
			b.onBreakerOpen(a.server.ID)
		}
	default:
		s.breaker.neutral()
	}
}
