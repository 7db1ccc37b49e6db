package route

import "math"

// How quickly servers begin their answers is measured against what they were
// expected to take, in the manner of TCP's retransmission timer (RFC 6298): a
// running mean and a running deviation.
const (
	// meanMemory is the weight of one answer in the mean of its kind, and
	// deviationMemory in the deviation, as in RFC 6298.
	meanMemory      = 1.0 / 8
	deviationMemory = 1.0 / 4
	// deviations above the mean an answer is called late (RFC 6298, K).
	deviations = 4
	// lateSamples are needed before an answer is called late.
	lateSamples = 10
	// slowest bounds how many times slower than usual one answer counts.
	slowest = 12.0
)

// waits are by kind of request; the balancer's lock guards them.
type waits map[string]*waitRatio

// waitRatio is how long answers of one kind take to begin, as a multiple of
// what was expected of an idle server of the usual speed.
type waitRatio struct {
	mean      float64
	deviation float64
	samples   int
}

// learn takes one answer's multiple and returns it against the mean before.
func (w waits) learn(kind string, multiple float64) float64 {
	k := w[kind]
	if k == nil {
		w[kind] = &waitRatio{mean: multiple, deviation: multiple / 2, samples: 1}
		return 1
	}
	relative := multiple / math.Max(k.mean, math.SmallestNonzeroFloat64)
	// One answer of a dead server must not make all others look quick.
	multiple = math.Min(multiple, slowest*k.mean)
	k.deviation += deviationMemory * (math.Abs(multiple-k.mean) - k.deviation)
	k.mean += meanMemory * (multiple - k.mean)
	k.samples++
	return relative
}

// late returns the multiple beyond which an answer of a kind is late; zero
// while too little is known.
func (w waits) late(kind string) float64 {
	k := w[kind]
	if k == nil || k.samples < lateSamples {
		return 0
	}
	return k.mean + deviations*k.deviation
}
