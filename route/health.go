package route

import (
	"math"
	"time"
)

const (
	// serverMemory is the weight of one answer in what is known of a server's
	// speed: slow ones are seen after a few answers. Failures are rarer, and
	// some lie in the requests, so failureMemory is longer.
	serverMemory  = 0.2
	failureMemory = 0.05
	// usualSlowness is how much slower than usual a server may look by chance.
	usualSlowness = 1.5
	// usualFailures is the share of failures that may lie in the requests; the
	// sheets have 14 in 100 for one kind.
	usualFailures = 0.25
	// healthHalfLife is how soon what is known of a server that is not used is
	// forgotten, so that one that has recovered is tried again.
	healthHalfLife = 4 * time.Second
	// failureCost is the wait that a server which fails every request is put
	// behind, in milliseconds.
	failureCost = 800.0
)

// health is how a server has done lately against all servers.
type health struct {
	// slowness is how many times as long as usual its answers take to begin,
	// one if nothing is known.
	slowness float64
	// failures is the share of its answers that were failures.
	failures float64
	at       time.Time
}

// decayed returns the health as it counts now.
func (h health) decayed(now time.Time) health {
	if h.at.IsZero() {
		return health{slowness: 1, at: now}
	}
	weight := fresh(now.Sub(h.at), healthHalfLife)
	return health{
		slowness: 1 + weight*(h.slowness-1),
		failures: weight * h.failures,
		at:       now,
	}
}

// learnWait takes how many times as long as usual an answer took to begin.
func (h *health) learnWait(now time.Time, relative float64) {
	*h = h.decayed(now)
	h.slowness += serverMemory * (math.Min(slowest, relative) - h.slowness)
}

// cost is what a request pays at the server beside its queue, in milliseconds:
// for being slow, as a multiple of what the request takes otherwise, and for
// failing.
func (h health) cost(now time.Time, takes float64) float64 {
	if h.slowness <= usualSlowness && h.failures <= usualFailures {
		return 0 // and what is forgotten of it makes it no worse
	}
	h = h.decayed(now)
	return math.Max(0, h.slowness-usualSlowness)*takes + failureCost*math.Max(0, h.failures-usualFailures)
}

// learnFailure takes whether an answer was a failure.
func (h *health) learnFailure(now time.Time, failed bool) {
	*h = h.decayed(now)
	share := 0.0
	if failed {
		share = 1
	}
	h.failures += failureMemory * (share - h.failures)
}
