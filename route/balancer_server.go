package route

import (
	"math"
	"slices"
	"time"

	"github.com/violettally/violettally/prefix"
)

const (
	// runningRequestDelayMS is what each request under way adds to the wait, in
	// milliseconds: an engine makes a token for each of them between two pieces
	// of a prompt.
	runningRequestDelayMS = 2.0
	// loadHalfLife is how soon a load that a server told is forgotten.
	loadHalfLife = 500 * time.Millisecond
	// silenceTolerance is how many times longer than expected a server that serves
	// requests side by side may be silent by chance.
	silenceTolerance = 5
	// blockingTimeSmoothing is the weight of one request in what requests at a server
	// typically take.
	blockingTimeSmoothing = 0.1
)

// Load is what a server told of itself on an answer. The fields are exported
// for the adapter that reads it.
type Load struct {
	// Running and Waiting are requests, of all nodes. The prompt that is being
	// read counts as running.
	Running int
	Waiting int
	// Slots is the number of requests that the server runs at once.
	Slots int
}

// balancerServer is what this node knows of one server. The server is taken to turn to
// one request after the other, in the order in which they were sent.
type balancerServer struct {
	// inflight are this node's own requests, waiting those of them whose answer
	// has not begun, in the order in which they were sent.
	inflight int
	waiting  []*Assignment
	// freeAt is when the server will be through with all that it is known to
	// have got.
	freeAt time.Time
	// typicalBlockingTime is for how long a request that waits keeps those behind it waiting, in
	// milliseconds. Where requests are served side by side, each that waits counts
	// with all that its answer takes to begin: others that this node does not hear
	// of follow it.
	typicalBlockingTime float64
	// othersRunning and othersWaiting are the requests of other nodes that ran
	// and waited when the server last told its load.
	othersRunning float64
	othersWaiting float64
	reportedAt    time.Time
	// lastProgress is when the server last gave this node a piece of an answer, or
	// a request was sent to a server that had none of this node waiting.
	lastProgress time.Time

	cache   *prefix.CacheTracker
	health  health
	breaker breaker
}

// queueWait estimates how long a request waits until the server turns to it, in
// milliseconds. Where an answer of the server is overdue, all that follow it
// are, by as much.
func (s *balancerServer) queueWait(now time.Time) float64 {
	weight := 0.0
	if s.othersRunning+s.othersWaiting > 0 {
		weight = decayWeight(now.Sub(s.reportedAt), loadHalfLife)
	}
	wait := (float64(s.inflight) + weight*s.othersRunning) * runningRequestDelayMS
	if len(s.waiting) > 0 {
		since := s.waiting[0].expectedStart
		if !s.waiting[0].serial() {
			// One of those that are served side by side says little by itself.
			since = later(since, s.lastProgress.Add(silenceTolerance*s.waiting[0].ExpectedLatency()))
		}
		wait += math.Max(0, durationToMS(now.Sub(since)))
	}
	// Where others wait, more follow them that this node does not hear of.
	told := weight * s.othersWaiting * s.typicalBlockingTime
	return wait + math.Max(told, durationToMS(s.freeAt.Sub(now)))
}

// addRequest counts a request of this node.
func (s *balancerServer) addRequest(u *Assignment, now time.Time) {
	if len(s.waiting) == 0 {
		s.lastProgress = now
	}
	s.freeAt = later(s.freeAt, now).Add(durationFromMS(u.blockingTime))
	blocks := u.serviceTime
	if u.serial() {
		blocks = u.blockingTime
	}
	s.typicalBlockingTime += blockingTimeSmoothing * (blocks - s.typicalBlockingTime)
	u.expectedStart = now.Add(u.ExpectedLatency())
	s.inflight++
	s.waiting = append(s.waiting, u)
	s.cache.Insert(u.prompt)
}

// addRemoteRequest counts a request of another node.
func (s *balancerServer) addRemoteRequest(occupies float64, prompt prefix.Chain, sent time.Time) {
	s.freeAt = later(s.freeAt, sent).Add(durationFromMS(occupies))
	s.cache.Insert(prompt)
}

// removeWaiting takes a request off those that wait. Those that were sent after it are
// ready as much later than expected as it was; one that has gone without an
// answer leaves its time to them.
func (s *balancerServer) removeWaiting(u *Assignment, answered bool, now time.Time) {
	at := slices.Index(s.waiting, u)
	if at < 0 {
		return
	}
	if !u.serial() {
		s.waiting = slices.Delete(s.waiting, at, at+1)
		return
	}
	if answered {
		// Whatever came before it has been passed over: its answer is lost, and
		// it holds up nobody.
		s.waiting = slices.Delete(s.waiting, 0, at+1)
		at = 0
	} else {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
	shift := now.Sub(u.expectedStart)
	if !answered {
		shift = -durationFromMS(u.blockingTime)
	}
	for _, w := range s.waiting[at:] {
		w.expectedStart = later(w.expectedStart.Add(shift), now)
	}
	s.freeAt = later(s.freeAt.Add(shift), now)
}

// updateLoad takes a server's word on its load, less this node's own part of it.
func (s *balancerServer) updateLoad(l Load, now time.Time) {
	s.othersRunning = math.Max(0, float64(l.Running-(s.inflight-len(s.waiting))))
	s.reportedAt = now
	own := 0.0
	for _, u := range s.waiting {
		own += u.blockingTime
	}
	// One more than those that wait may be being read.
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

// durationFromMS makes a duration of a number of them, inMilliseconds a number of
// a duration.
func durationFromMS(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func durationToMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
