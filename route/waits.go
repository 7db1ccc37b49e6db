package route

import (
	"math"
	"time"
)

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
	// waitsHalfLife is how soon the usual wait of a kind that is not asked for
	// is forgotten, so that it is asked for again.
	waitsHalfLife = 4 * time.Second
)

// waits are by kind of request; the balancer's lock guards them.
type waits map[string]*waitRatio

// waitRatio is how long answers of one kind take to begin, as a multiple of
// what was expected of an idle server of the usual speed.
type waitRatio struct {
	mean      float64
	deviation float64
	samples   int
	at        time.Time
}

// learn takes one answer's multiple and returns it against the mean before.
func (w waits) learn(kind string, multiple float64, now time.Time) float64 {
	k := w[kind]
	if k == nil {
		w[kind] = &waitRatio{mean: multiple, deviation: multiple / 2, samples: 1, at: now}
		return 1
	}
	k.at = now
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

// mean returns the usual multiple of a kind, one while nothing is known.
func (w waits) mean(kind string) float64 {
	if k := w[kind]; k != nil {
		return k.mean
	}
	return 1
}

// lately returns the usual multiple of a kind as far as it may still hold: what
// is not asked for any more is taken for quick again after a while.
func (w waits) lately(kind string, now time.Time) float64 {
	k := w[kind]
	if k == nil {
		return 1
	}
	return 1 + fresh(now.Sub(k.at), waitsHalfLife)*math.Max(0, k.mean-1)
}
