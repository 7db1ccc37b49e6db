package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/violettally/violettally/estimate"
)

// addSamples adds n samples of a base and a rate to a regression, each with a
// relative error of up to maxError.
func addSamples(regression *estimate.Regression, r *rand.Rand, n int, base, rate, maxError float64) {
	for range n {
		size := 500 + 20000*r.Float64()
		regression.AddSample(size, (base+rate*size)*(1+maxError*(2*r.Float64()-1)), 1)
	}
}

// TestConverges checks that a regression converges from a wrong initial estimate,
// and again after the times change.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		regression := estimate.New(20, 0.05)
		for range 2 {
			base, rate := rapid.Float64Range(5, 100).Draw(t, "base"), rapid.Float64Range(0.005, 0.1).Draw(t, "rate")
			addSamples(regression, r, 200, base, rate, 0.2)
			for _, size := range []float64{2000, 10000, 20000} {
				want := base + rate*size
				must.Between(t, 0.8*want, regression.Predict(size), 1.25*want)
			}
			must.Less(t, 0.4, regression.Deviation())
		}
	})
}

// TestOutliersBounded checks that the prediction at most doubles if one sample in
// ten takes a hundred times as long, as from one hung server.
func TestOutliersBounded(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	regression := estimate.New(20, 0.05)
	addSamples(regression, r, 100, 20, 0.02, 0.1)
	want := regression.Predict(5000)
	for range 20 {
		addSamples(regression, r, 9, 20, 0.02, 0.1)
		regression.AddSample(5000, 100*want, 1)
	}
	must.Between(t, 0.8*want, regression.Predict(5000), 2*want)
}

// TestInvalidSamples checks that predictions stay finite and non-negative whatever
// samples are added.
func TestInvalidSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regression := estimate.New(0, 0)
		for range rapid.IntRange(0, 50).Draw(t, "n") {
			took := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, 1, math.Inf(1), math.NaN(), -1, 1e300}))
			size := rapid.OneOf(rapid.Just(7.0), rapid.Float64Range(0, 1e6), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1}))
			regression.AddSample(size.Draw(t, "size"), min(1e7, took.Draw(t, "took")), rapid.Float64Range(0, 1).Draw(t, "weight"))
			for _, at := range []float64{0, 1, 1e5} {
				got := regression.Predict(at)
				must.True(t, got >= 0 && !math.IsInf(got, 0) && !math.IsNaN(got), must.Sprintf("at %g: %g", at, got))
			}
		}
	})
}

func TestSamplesOfOneSize(t *testing.T) {
	regression := estimate.New(20, 0.05)
	for range 100 {
		regression.AddSample(1000, 30, 1)
	}
	must.Between(t, 28, regression.Predict(1000), 33)
}
