// Package estimate predicts how long work of a given size takes, by a linear
// regression over recent samples.
//
// A [Regression] models the time as a base plus a rate for each unit of size, such
// as the time until a response starts by the number of prompt tokens. It is fitted
// by weighted least squares: older samples count for less, so that it follows
// changes in a pool, and outliers are bounded, so that one hung server does not
// make all work look slow. It starts from an assumed base and rate, which together
// weigh no more than one sample.
//
// # Usage
//
//	regression := estimate.New(20, 0.05) // initially 20 ms and 0.05 ms for each token
//	regression.AddSample(4000, 180, 1)
//	expected := regression.Predict(2500)
package estimate

import "math"

const (
	// decaySamples is the number of samples after which a sample's weight has
	// decayed to 1/e. A node of a small deployment sees that many of one model in
	// ten seconds.
	decaySamples = 40.0
	// priorWeight is the weight of each of the two points, at sizes zero and
	// priorSize, that stand for the assumed base and rate.
	priorWeight = 0.5
	priorSize   = 4000.0
	// halfWeightSize is the size at which a sample has half the weight of one of
	// size zero: the absolute error grows with the size.
	halfWeightSize = 1000.0
	// maxDeviations is how many mean deviations a sample may differ from the
	// prediction; larger differences are clamped.
	maxDeviations = 4.0
	// deviationSmoothing is the weight of one sample in the mean deviation (RFC
	// 6298, beta).
	deviationSmoothing = 0.25
	// minOutlierSamples is the number of samples before outliers are clamped.
	minOutlierSamples = 6
)

// Regression predicts a time in milliseconds as a linear function of a size. Use
// [New] to create one; the zero value is not usable. It is not safe for concurrent
// use.
type Regression struct {
	base, rate float64
	deviation  float64 // mean absolute error, relative to the prediction
	samples    int
	// w, x, y, xx and xy are weighted sums over the samples: of 1, the size, the
	// time, the size squared, and size times time.
	w, x, y, xx, xy float64
}

// New returns a regression that starts from an assumed base in milliseconds and
// rate in milliseconds for each unit of size.
func New(base, rate float64) *Regression {
	r := &Regression{base: base, rate: rate, deviation: 1}
	r.add(0, base, priorWeight)
	r.add(priorSize, base+rate*priorSize, priorWeight)
	return r
}

// Predict returns the expected time in milliseconds for work of the given size.
func (r *Regression) Predict(size float64) float64 { return r.base + r.rate*size }

// Rate returns the expected time in milliseconds for each unit of size.
func (r *Regression) Rate() float64 { return r.rate }

// Deviation returns the moving average of the prediction error, relative to the
// prediction; one before the first sample.
func (r *Regression) Deviation() float64 { return r.deviation }

// AddSample records that work of the given size took so many milliseconds. Weight
// is the reliability of the sample, between 0 and 1. Samples with a negative,
// infinite or NaN size or time, or without weight, are ignored.
func (r *Regression) AddSample(size, took, weight float64) {
	if !(size >= 0 && took >= 0 && weight > 0) || math.IsInf(size, 0) || math.IsInf(took, 0) {
		return
	}
	expected := math.Max(1, r.Predict(size))
	deviation := (took - expected) / expected
	if r.samples >= minOutlierSamples {
		bound := maxDeviations * r.deviation
		deviation = math.Max(-bound, math.Min(bound, deviation))
		took = expected + deviation*expected
	}
	r.samples++
	r.deviation += deviationSmoothing * weight * (math.Min(1, math.Abs(deviation)) - r.deviation)
	decay := math.Exp(-weight / decaySamples)
	for _, sum := range []*float64{&r.w, &r.x, &r.y, &r.xx, &r.xy} {
		*sum *= decay
	}
	r.add(size, took, weight)
	r.fit()
}

// add adds one sample to the sums.
func (r *Regression) add(size, took, weight float64) {
	weight /= 1 + size/halfWeightSize
	r.w += weight
	r.x += weight * size
	r.y += weight * took
	r.xx += weight * size * size
	r.xy += weight * size * took
}

// fit solves for base and rate. If one of them would be negative, it is set to
// zero and the other is fitted alone.
func (r *Regression) fit() {
	determinant := r.w*r.xx - r.x*r.x
	if determinant <= 1e-9*r.w*r.xx {
		// All samples are of one size: keep the rate and fit the base.
		r.base = math.Max(0, (r.y-r.rate*r.x)/r.w)
		return
	}
	r.rate = (r.w*r.xy - r.x*r.y) / determinant
	r.base = (r.y - r.rate*r.x) / r.w
	switch {
	case r.rate < 0:
		r.rate, r.base = 0, r.y/r.w
	case r.base < 0:
		r.rate, r.base = r.xy/r.xx, 0
	}
}
