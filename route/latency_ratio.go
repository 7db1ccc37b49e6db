package route

import "math"

// How quickly servers begin their answers is measured against what they were
// expected to take, in the manner of TCP's retransmission timer (RFC 6298): a
// running mean and a running deviation.
const (
	// meanSmoothing is the weight of one answer in the mean of its kind, and
	// deviationMemory in the deviation, as in RFC 6298.
	meanSmoothing      = 1.0 / 8
	deviationSmoothing = 1.0 / 4
	// lateDeviations above the mean an answer is called late (RFC 6298, K).
	lateDeviations = 4
	// minLateSamples are needed before an answer is called late.
	minLateSamples = 10
	// maxLatencyRatio bounds how many times slower than usual one answer counts.
	maxLatencyRatio = 12.0
)

// latencyRatios are by kind of request; the balancer's lock guards them.
type latencyRatios map[string]*ratioStats

// ratioStats is how long answers of one kind take to begin, as a multiple of
// what was expected of an idle server of the usual speed.
type ratioStats struct {
	mean      float64
	deviation float64
	samples   int
}

// record takes one answer's multiple and returns it against the mean before.
func (w latencyRatios) record(kind string, multiple float64) float64 {
	k := w[kind]
	if k == nil {
		w[kind] = &ratioStats{mean: multiple, deviation: multiple / 2, samples: 1}
		return 1
	}
	relative := multiple / math.Max(k.mean, math.SmallestNonzeroFloat64)
	// One answer of a dead server must not make all others look quick.
	multiple = math.Min(multiple, maxLatencyRatio*k.mean)
	k.deviation += deviationSmoothing * (math.Abs(multiple-k.mean) - k.deviation)
	k.mean += meanSmoothing * (multiple - k.mean)
	k.samples++
	return relative
}

// lateRatio returns the multiple beyond which an answer of a kind is late; zero
// while too little is known.
func (w latencyRatios) lateRatio(kind string) float64 {
	k := w[kind]
	if k == nil || k.samples < minLateSamples {
		return 0
	}
	return k.mean + lateDeviations*k.deviation
}
