package route

import (
	"math"
	"time"
)

const (
	// latencySmoothing is the weight of one response in a server's latency ratio,
	// so that a slow server is detected after a few responses. Failures are rarer,
	// and some are caused by the requests, so failureSmoothing is lower.
	latencySmoothing = 0.2
	failureSmoothing = 0.05
	// latencyRatioTolerance is the latency ratio up to which there is no penalty,
	// since it can occur by chance.
	latencyRatioTolerance = 1.5
	// failureRateTolerance is the failure rate up to which there is no penalty,
	// since the requests may cause it: the deployments' specifications state 14 in
	// 100 for one kind of request.
	failureRateTolerance = 0.25
	// healthHalfLife is the half-life of the statistics of an unused server, so
	// that one that has recovered is tried again.
	healthHalfLife = 4 * time.Second
	// failurePenaltyMS is multiplied by the failure rate above the tolerance.
	failurePenaltyMS = 800.0
)

// health holds moving averages of one server's recent performance.
type health struct {
	// latencyRatio is the ratio of its latency to what is usual for all servers;
	// one if nothing is known.
	latencyRatio float64
	// failureRate is the share of its responses that were failures.
	failureRate float64
	updatedAt   time.Time
}

// decayed returns the health with the averages decayed until now.
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

// recordLatency adds the ratio of one response's latency to the usual latency.
func (h *health) recordLatency(now time.Time, ratio float64) {
	*h = h.decayed(now)
	h.latencyRatio += latencySmoothing * (math.Min(maxLatencyRatio, ratio) - h.latencyRatio)
}

// penalty returns the cost of the server's slowness and failures for a request of
// the given expected latency, in milliseconds. Slowness costs a multiple of the
// latency.
func (h health) penalty(now time.Time, latency float64) float64 {
	if h.latencyRatio <= latencyRatioTolerance && h.failureRate <= failureRateTolerance {
		return 0 // decaying would only improve it
	}
	h = h.decayed(now)
	return math.Max(0, h.latencyRatio-latencyRatioTolerance)*latency + failurePenaltyMS*math.Max(0, h.failureRate-failureRateTolerance)
}

// recordResult adds whether one response was a failure.
func (h *health) recordResult(now time.Time, failed bool) {
	*h = h.decayed(now)
	failure := 0.0
	if failed {
		failure = 1
	}
	h.failureRate += failureSmoothing * (failure - h.failureRate)
}
