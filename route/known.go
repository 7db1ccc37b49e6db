package route

import (
	"math"
	"time"
)

const (
	// waitingWork is assumed of a request by another node that waits.
	waitingWork = 60.0
	// runningWork is what each request under way adds to a step of an engine
	// while a prompt is read.
	runningWork = 2.0
	// toldHalfLife is how soon a load that a server told is forgotten; a
	// waiting request has begun about then.
	toldHalfLife = 500 * time.Millisecond
	// usualSilence is how many times longer than expected a server may be
	// silent by chance.
	usualSilence = 5
)

// Load is what a server told of itself on an answer. The fields are exported
// for the adapter that reads it.
type Load struct {
	// Running and Waiting are requests, of all nodes.
	Running int
	Waiting int
	// Slots is the number of requests that the server runs at once.
	Slots int
}

// known is what this node knows of one server.
type known struct {
	// inflight are this node's own requests, waiting those of them whose
	// answer has not begun, pending the work of these in milliseconds.
	inflight int
	waiting  int
	pending  float64
	// othersWaiting and othersRunning are the requests of other nodes when
	// the server last told its load.
	othersWaiting float64
	othersRunning float64
	toldAt        time.Time
	// progress is when an answer last began, or a request was sent to a server
	// that had none of this node waiting.
	progress time.Time
	// expected is how long the answer to the last request sent there usually
	// takes to begin.
	expected time.Duration

	health  health
	breaker breaker
}

// wait estimates how long a request waits at the server until it is read, in
// milliseconds: behind this node's own work, which it knows, and that of
// others, as far as the server's word is fresh.
func (s *known) wait(now time.Time) float64 {
	weight := fresh(now.Sub(s.toldAt), toldHalfLife)
	running := float64(s.inflight) + weight*s.othersRunning
	return s.pending + weight*s.othersWaiting*waitingWork + running*runningWork
}

// silence is how long requests of this node have been waiting at the server
// without an answer to any of them, beyond what may be by chance, in
// milliseconds.
func (s *known) silence(now time.Time) float64 {
	if s.waiting == 0 {
		return 0
	}
	return math.Max(0, float64(now.Sub(s.progress)-usualSilence*s.expected)/float64(time.Millisecond))
}
