package route

import (
	"math"
	"slices"
	"time"

	"github.com/violettally/violettally/prefix"
)

const (
	// runningWork is what each request under way adds to the wait, in
	// milliseconds: an engine makes a token for each of them between two pieces
	// of a prompt.
	runningWork = 2.0
	// toldHalfLife is how soon a load that a server told is forgotten.
	toldHalfLife = 500 * time.Millisecond
	// usualSilence is how many times longer than expected a server that serves
	// requests side by side may be silent by chance.
	usualSilence = 5
	// typicalMemory is the weight of one request in what requests at a server
	// typically take.
	typicalMemory = 0.1
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

// known is what this node knows of one server. The server is taken to turn to
// one request after the other, in the order in which they were sent.
type known struct {
	// inflight are this node's own requests, waiting those of them whose answer
	// has not begun, in the order in which they were sent.
	inflight int
	waiting  []*Assignment
	// free is when the server will be through with all that it is known to
	// have got.
	free time.Time
	// typical is for how long a request that waits keeps those behind it waiting, in
	// milliseconds. Where requests are served side by side, each that waits counts
	// with all that its answer takes to begin: others that this node does not hear
	// of follow it.
	typical float64
	// othersRunning and othersWaiting are the requests of other nodes that ran
	// and waited when the server last told its load.
	othersRunning float64
	othersWaiting float64
	toldAt        time.Time
	// progress is when the server last gave this node a piece of an answer, or
	// a request was sent to a server that had none of this node waiting.
	progress time.Time

	cache   *prefix.CacheTracker
	health  health
	breaker breaker
}

// wait estimates how long a request waits until the server turns to it, in
// milliseconds. Where an answer of the server is overdue, all that follow it
// are, by as much.
func (s *known) wait(now time.Time) float64 {
	weight := 0.0
	if s.othersRunning+s.othersWaiting > 0 {
		weight = fresh(now.Sub(s.toldAt), toldHalfLife)
	}
	wait := (float64(s.inflight) + weight*s.othersRunning) * runningWork
	if len(s.waiting) > 0 {
		since := s.waiting[0].ready
		if !s.waiting[0].serial() {
			// One of those that are served side by side says little by itself.
			since = later(since, s.progress.Add(usualSilence*s.waiting[0].ExpectedLatency()))
		}
		wait += math.Max(0, inMilliseconds(now.Sub(since)))
	}
	// Where others wait, more follow them that this node does not hear of.
	told := weight * s.othersWaiting * s.typical
	return wait + math.Max(told, inMilliseconds(s.free.Sub(now)))
}

// send counts a request of this node.
func (s *known) send(u *Assignment, now time.Time) {
	if len(s.waiting) == 0 {
		s.progress = now
	}
	s.free = later(s.free, now).Add(milliseconds(u.occupies))
	blocks := u.takes
	if u.serial() {
		blocks = u.occupies
	}
	s.typical += typicalMemory * (blocks - s.typical)
	u.ready = now.Add(u.ExpectedLatency())
	s.inflight++
	s.waiting = append(s.waiting, u)
	s.cache.Insert(u.prompt)
}

// heard counts a request of another node.
func (s *known) heard(occupies float64, prompt prefix.Chain, sent time.Time) {
	s.free = later(s.free, sent).Add(milliseconds(occupies))
	s.cache.Insert(prompt)
}

// begin takes a request off those that wait. Those that were sent after it are
// ready as much later than expected as it was; one that has gone without an
// answer leaves its time to them.
func (s *known) begin(u *Assignment, answered bool, now time.Time) {
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
	shift := now.Sub(u.ready)
	if !answered {
		shift = -milliseconds(u.occupies)
	}
	for _, w := range s.waiting[at:] {
		w.ready = later(w.ready.Add(shift), now)
	}
	s.free = later(s.free.Add(shift), now)
}

// tell takes a server's word on its load, less this node's own part of it.
func (s *known) tell(l Load, now time.Time) {
	s.othersRunning = math.Max(0, float64(l.Running-(s.inflight-len(s.waiting))))
	s.toldAt = now
	own := 0.0
	for _, u := range s.waiting {
		own += u.occupies
	}
	// One more than those that wait may be being read.
	s.othersWaiting = math.Max(0, float64(l.Waiting-len(s.waiting)))
	least, most := own+s.othersWaiting*s.typical, own+(s.othersWaiting+1)*s.typical
	wait := math.Max(least, math.Min(most, inMilliseconds(s.free.Sub(now))))
	s.free = now.Add(milliseconds(wait))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// milliseconds makes a duration of a number of them, inMilliseconds a number of
// a duration.
func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
