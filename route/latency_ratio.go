package route

import "math"

// The ratio of observed to expected latency is tracked as TCP's retransmission
// timer tracks the round-trip time (RFC 6298): by a moving mean and a moving mean
// deviation.
const (
	// meanSmoothing is the weight of one response in the mean, deviationSmoothing
	// its weight in the deviation (RFC 6298, alpha and beta).
	meanSmoothing      = 1.0 / 8
	deviationSmoothing = 1.0 / 4
	// lateDeviations is how many deviations above the mean a response counts as
	// late (RFC 6298, K).
	lateDeviations = 4
	// minLateSamples is the number of samples before a response can count as late.
	minLateSamples = 10
	// maxLatencyRatio bounds the effect of one response.
	maxLatencyRatio = 12.0
)

// latencyRatios is keyed by the kind of request and guarded by Balancer.mu.
type latencyRatios map[string]*ratioStats

// ratioStats holds statistics of the ratio of observed to expected latency for one
// kind of request.
type ratioStats struct {
	mean      float64
	deviation float64
	samples   int
}

// record adds the ratio of one response and returns it relative to the mean
// before.
func (l latencyRatios) record(kind string, ratio float64) float64 {
	s := l[kind]
	if s == nil {
		l[kind] = &ratioStats{mean: ratio, deviation: ratio / 2, samples: 1}
		return 1
	}
	relative := ratio / math.Max(s.mean, math.SmallestNonzeroFloat64)
	// One response of a hung server must not make all others look fast.
	ratio = math.Min(ratio, maxLatencyRatio*s.mean)
	s.deviation += deviationSmoothing * (math.Abs(ratio-s.mean) - s.deviation)
	s.mean += meanSmoothing * (ratio - s.mean)
	s.samples++
	return relative
}

// lateRatio returns the ratio beyond which a response of a kind is late; zero
// before minLateSamples.
func (l latencyRatios) lateRatio(kind string) float64 {
	s := l[kind]
	if s == nil || s.samples < minLateSamples {
		return 0
	}
	return s.mean + lateDeviations*s.deviation
}
