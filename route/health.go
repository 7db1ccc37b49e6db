package route

import (
	"math"
	"time"
)

const (
	// latencySmoothing is the weight of one answer in what is known of a server's
	// speed: slow ones are seen after a few answers. Failures are rarer, and
	// some lie in the requests, so failureMemory is longer.
	latencySmoothing = 0.2
	failureSmoothing = 0.05
	// latencyRatioTolerance is how much slower than usual a server may look by chance.
	latencyRatioTolerance = 1.5
	// failureRateTolerance is the share of failures that may lie in the requests; the
	// sheets have 14 in 100 for one kind.
	failureRateTolerance = 0.25
	// healthHalfLife is how soon what is known of a server that is not used is
	// forgotten, so that one that has recovered is tried again.
	healthHalfLife = 4 * time.Second
	// failurePenaltyMS is the wait that a server which fails every request is put
	// behind, in milliseconds.
	failurePenaltyMS = 800.0
)

// health is how a server has done lately against all servers.
type health struct {
	// latencyRatio is how many times as long as usual its answers take to begin,
	// one if nothing is known.
	latencyRatio float64
	// failureRate is the share of its answers that were failures.
	failureRate float64
	updatedAt   time.Time
}

// decayed returns the health as it counts now.
func (h health) decayed(now time.Time) health {
	if h.updatedAt.IsZero() {
		return health{latencyRatio: 1, updatedAt: now}
	}
	weight := decayWeight(now.Sub(h.updatedAt), healthHalfLife)
	return health{
		latencyRatio: 1 + weight*(h.latencyRatio-1),
		failureRate:  weight * h.failureRate,
		updatedAt:    now,
	}
}

// recordLatency takes how many times as long as usual an answer took to begin.
func (h *health) recordLatency(now time.Time, relative float64) {
	*h = h.decayed(now)
	h.latencyRatio += latencySmoothing * (math.Min(maxLatencyRatio, relative) - h.latencyRatio)
}

// penalty is what a request pays at the server beside its queue, in milliseconds:
// for being slow, as a multiple of what the request takes otherwise, and for
// failing.
func (h health) penalty(now time.Time, takes float64) float64 {
	if h.latencyRatio <= latencyRatioTolerance && h.failureRate <= failureRateTolerance {
		return 0 // and what is forgotten of it makes it no worse
	}
	h = h.decayed(now)
	return math.Max(0, h.latencyRatio-latencyRatioTolerance)*takes + failurePenaltyMS*math.Max(0, h.failureRate-failureRateTolerance)
}

// recordResult takes whether an answer was a failure.
func (h *health) recordResult(now time.Time, failed bool) {
	*h = h.decayed(now)
	share := 0.0
	if failed {
		share = 1
	}
	h.failureRate += failureSmoothing * (share - h.failureRate)
}
