// Package estimate learns how long a piece of work takes from how long such
// work has taken lately.
//
// A [Regression] is the time of a work as a base and a rate for each unit of its
// size: reading a prompt takes so long to begin, and so much for each token.
// It is fitted by least squares in which older samples count for less, so that
// it follows a pool that changes, and with a bound on what one sample can do,
// so that one dead server does not make all work look slow. A line begins with
// what is assumed, which counts for no more than one sample.
//
// # Usage
//
//	line := estimate.New(20, 0.05) // 20 ms and 0.05 ms a token, to begin with
//	line.Learn(4000, 180, 1)
//	expected := line.At(2500)
package estimate

import "math"

const (
	// decaySamples is the number of samples after which an older one counts for 1/e.
	// A node of a small deployment sees that many of one model in ten seconds.
	decaySamples = 40.0
	// priorWeight is what the assumed line counts for, in samples.
	priorWeight = 0.5
	// priorSize is the second point at which the assumed line is laid down,
	// beside zero.
	priorSize = 4000.0
	// halfWeightSize is the size at which a sample counts for half of an empty one:
	// larger work is further off in absolute terms.
	halfWeightSize = 1000.0
	// maxDeviations is how many mean deviations from the line a sample may lie;
	// beyond, it is taken as if it lay there.
	maxDeviations = 4.0
	// deviationSmoothing is the weight of one sample in the mean deviation, as in
	// RFC 6298.
	deviationSmoothing = 0.25
	// minOutlierSamples are needed before outliers are bounded.
	minOutlierSamples = 6
)

// Regression is a time in milliseconds as a linear function of a size. Its zero
// value is not ready; use [New]. It is not safe for concurrent use.
type Regression struct {
	base, rate float64
	deviation  float64 // mean, as a share of what was expected
	samples    int
	// sums over the samples, by weight: of one, the size, the time, the size
	// squared, and size times time.
	w, x, y, xx, xy float64
}

// New returns a line that assumes a base in milliseconds and a rate in
// milliseconds for each unit of size.
func New(base, rate float64) *Regression {
	l := &Regression{base: base, rate: rate, deviation: 1}
	l.add(0, base, priorWeight)
	l.add(priorSize, base+rate*priorSize, priorWeight)
	return l
}

// Predict returns the time in milliseconds that work of a size is expected to take.
func (l *Regression) Predict(size float64) float64 { return l.base + l.rate*size }

// Rate returns the time in milliseconds for each unit of size.
func (l *Regression) Rate() float64 { return l.rate }

// Deviation returns by which share of what was expected work is off, on
// average; one while nothing is known.
func (l *Regression) Deviation() float64 { return l.deviation }

// AddSample takes that work of a size took so many milliseconds. Weight is between
// 0 and 1, for how far the sample can be relied on; what is not a time is left
// out.
func (l *Regression) AddSample(size, took, weight float64) {
	if !(size >= 0 && took >= 0 && weight > 0) || math.IsInf(size, 0) || math.IsInf(took, 0) {
		return
	}
	expected := math.Max(1, l.Predict(size))
	off := (took - expected) / expected
	if l.samples >= minOutlierSamples {
		bound := maxDeviations * l.deviation
		off = math.Max(-bound, math.Min(bound, off))
		took = expected + off*expected
	}
	l.samples++
	l.deviation += deviationSmoothing * weight * (math.Min(1, math.Abs(off)) - l.deviation)
	decay := math.Exp(-weight / decaySamples)
	for _, sum := range []*float64{&l.w, &l.x, &l.y, &l.xx, &l.xy} {
		*sum *= decay
	}
	l.add(size, took, weight)
	l.fit()
}

// add counts one sample.
func (l *Regression) add(size, took, weight float64) {
	weight /= 1 + size/halfWeightSize
	l.w += weight
	l.x += weight * size
	l.y += weight * took
	l.xx += weight * size * size
	l.xy += weight * size * took
}

// fit solves for base and rate. Neither is below zero: where the best line has
// one there, the best line without it is taken.
func (l *Regression) fit() {
	determinant := l.w*l.xx - l.x*l.x
	if determinant <= 1e-9*l.w*l.xx {
		// All samples are of one size: the rate stays, the base moves.
		l.base = math.Max(0, (l.y-l.rate*l.x)/l.w)
		return
	}
	l.rate = (l.w*l.xy - l.x*l.y) / determinant
	l.base = (l.y - l.rate*l.x) / l.w
	switch {
	case l.rate < 0:
		l.rate, l.base = 0, l.y/l.w
	case l.base < 0:
		l.rate, l.base = l.xy/l.xx, 0
	}
}
