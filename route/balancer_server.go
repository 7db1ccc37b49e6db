package route

import (
	"math"
	"slices"
	"time"

	"github.com/violettally/violettally/prefix"
)

const (
	// runningRequestDelayMS is added to the wait for each running request: between
	// two chunks of a prefill the engine decodes one token for each of them.
	runningRequestDelayMS = 2.0
	// loadHalfLife is the half-life of a reported load.
	loadHalfLife = 500 * time.Millisecond
	// silenceTolerance is for how many times the expected latency a server that
	// serves requests concurrently may send nothing before its requests count as
	// overdue.
	silenceTolerance = 5
	// blockingTimeSmoothing is the weight of one request in typicalBlockingTime.
	blockingTimeSmoothing = 0.1
)

// Load is the load that a server reported with a response. The fields are
// exported for the adapter that decodes it.
type Load struct {
	// Running and Waiting are numbers of requests of all nodes. The request in
	// prefill counts as running.
	Running int
	Waiting int
	// Slots is the number of requests that the server runs at once.
	Slots int
}

// balancerServer is a Balancer's state of one server. The server is modelled as a
// FIFO queue that handles one request at a time.
type balancerServer struct {
	// inflight is the number of this node's requests, waiting are those of them
	// whose response has not started, in the order in which they were sent.
	inflight int
	waiting  []*Assignment
	// freeAt is when the server is expected to have finished all requests of which
	// this node has a record.
	freeAt time.Time
	// typicalBlockingTime is the moving average of the time for which a waiting
	// request delays those behind it, in milliseconds. Where requests are served
	// concurrently, the whole service time counts: other requests follow that are not
	// reported to this node.
	typicalBlockingTime float64
	// othersRunning and othersWaiting are the numbers of other nodes' requests
	// that ran and waited when the server last reported its load.
	othersRunning float64
	othersWaiting float64
	reportedAt    time.Time
	// lastProgress is when the server last sent this node part of any response, or
	// when this node sent a request while it had none waiting there.
	lastProgress time.Time

	cache   *prefix.CacheTracker
	health  health
	breaker breaker
	// usedAt is when a request was last sent there, by any node.
	usedAt time.Time
}

func newBalancerServer() *balancerServer {
	return &balancerServer{cache: prefix.NewCacheTracker()}
}

// queueWait estimates how long a new request waits in the server's queue, in
// milliseconds. If a response is overdue, the wait grows by as much.
func (s *balancerServer) queueWait(now time.Time) float64 {
	weight := 0.0
	if s.othersRunning+s.othersWaiting > 0 {
		weight = decayWeight(now.Sub(s.reportedAt), loadHalfLife)
	}
	wait := (float64(s.inflight) + weight*s.othersRunning) * runningRequestDelayMS
	if len(s.waiting) > 0 {
		since := s.waiting[0].expectedStart
		if !s.waiting[0].serial() {
			// One overdue response says little where requests are served concurrently.
			since = later(since, s.lastProgress.Add(silenceTolerance*s.waiting[0].ExpectedLatency()))
		}
		wait += math.Max(0, durationToMS(now.Sub(since)))
	}
	// Where other nodes' requests wait, more follow that are not reported to this
	// node.
	reported := weight * s.othersWaiting * s.typicalBlockingTime
	return wait + math.Max(reported, durationToMS(s.freeAt.Sub(now)))
}

// addRequest adds a request of this node to the queue.
func (s *balancerServer) addRequest(a *Assignment, now time.Time) {
	if len(s.waiting) == 0 {
		s.lastProgress = now
	}
	s.freeAt = later(s.freeAt, now).Add(durationFromMS(a.blockingTime))
	blockingTime := a.serviceTime
	if a.serial() {
		blockingTime = a.blockingTime
	}
	s.typicalBlockingTime += blockingTimeSmoothing * (blockingTime - s.typicalBlockingTime)
	a.expectedStart = now.Add(a.ExpectedLatency())
	s.inflight++
	s.usedAt = now
	s.waiting = append(s.waiting, a)
	s.cache.Insert(a.prompt)
}

// addRemoteRequest adds a request of another node to the queue; blockingTime is in
// milliseconds.
func (s *balancerServer) addRemoteRequest(blockingTime float64, prompt prefix.Chain, sent time.Time) {
	s.freeAt = later(s.freeAt, sent).Add(durationFromMS(blockingTime))
	s.cache.Insert(prompt)
	s.usedAt = later(s.usedAt, sent)
}

// removeWaiting removes a request from the queue, because its response started or
// because it ended without one. In the first case the requests behind it are
// expected to be as late as it was; in the second they move up by its blocking
// time.
func (s *balancerServer) removeWaiting(a *Assignment, responded bool, now time.Time) {
	at := slices.Index(s.waiting, a)
	if at < 0 {
		return
	}
	if !a.serial() {
		s.waiting = slices.Delete(s.waiting, at, at+1)
		return
	}
	if responded {
		// The server handles requests in order, so the responses to the earlier ones
		// are lost, and those requests no longer block others.
		s.waiting = slices.Delete(s.waiting, 0, at+1)
		at = 0
	} else {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
	shift := now.Sub(a.expectedStart)
	if !responded {
		shift = -durationFromMS(a.blockingTime)
	}
	for _, w := range s.waiting[at:] {
		w.expectedStart = later(w.expectedStart.Add(shift), now)
	}
	s.freeAt = later(s.freeAt.Add(shift), now)
}

// updateLoad stores the load that a server reported, less this node's part, and
// corrects freeAt by it.
func (s *balancerServer) updateLoad(l Load, now time.Time) {
	s.othersRunning = math.Max(0, float64(l.Running-(s.inflight-len(s.waiting))))
	s.reportedAt = now
	own := 0.0
	for _, a := range s.waiting {
		own += a.blockingTime
	}
	// One more request than those that wait may be in prefill.
	s.othersWaiting = math.Max(0, float64(l.Waiting-len(s.waiting)))
	least, most := own+s.othersWaiting*s.typicalBlockingTime, own+(s.othersWaiting+1)*s.typicalBlockingTime
	wait := math.Max(least, math.Min(most, durationToMS(s.freeAt.Sub(now))))
	s.freeAt = now.Add(durationFromMS(wait))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// durationFromMS converts a number of milliseconds to a duration.
func durationFromMS(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// durationToMS converts a duration to a number of milliseconds.
func durationToMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
