package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/violettally/violettally/estimate"
)

// teach gives a line samples of a base and a rate, each off by up to a share.
func teach(l *estimate.Regression, r *rand.Rand, n int, base, rate, off float64) {
	for range n {
		size := 500 + 20000*r.Float64()
		l.AddSample(size, (base+rate*size)*(1+off*(2*r.Float64()-1)), 1)
	}
}

// TestConverges: a line finds the time that work takes, from an assumption that
// is far off, and finds it anew after a change.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		l := estimate.New(20, 0.05)
		for range 2 {
			base, rate := rapid.Float64Range(5, 100).Draw(t, "base"), rapid.Float64Range(0.005, 0.1).Draw(t, "rate")
			teach(l, r, 200, base, rate, 0.2)
			for _, size := range []float64{2000, 10000, 20000} {
				want := base + rate*size
				must.Between(t, 0.8*want, l.Predict(size), 1.25*want)
			}
			must.Less(t, 0.4, l.Deviation())
		}
	})
}

// TestOneDeadServer: an answer in ten that takes a hundred times as long moves
// the line by less than its own size.
func TestOneDeadServer(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	l := estimate.New(20, 0.05)
	teach(l, r, 100, 20, 0.02, 0.1)
	want := l.Predict(5000)
	for range 20 {
		teach(l, r, 9, 20, 0.02, 0.1)
		l.AddSample(5000, 100*want, 1)
	}
	must.Between(t, 0.8*want, l.Predict(5000), 2*want)
}

// TestOddSamples: whatever is learned, the line stays a time.
func TestOddSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := estimate.New(0, 0)
		for range rapid.IntRange(0, 50).Draw(t, "n") {
			odd := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, 1, math.Inf(1), math.NaN(), -1, 1e300}))
			size := rapid.OneOf(rapid.Just(7.0), rapid.Float64Range(0, 1e6), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1}))
			l.AddSample(size.Draw(t, "size"), min(1e7, odd.Draw(t, "took")), rapid.Float64Range(0, 1).Draw(t, "weight"))
			for _, x := range []float64{0, 1, 1e5} {
				got := l.Predict(x)
				must.True(t, got >= 0 && !math.IsInf(got, 0) && !math.IsNaN(got), must.Sprintf("at %g: %g", x, got))
			}
		}
	})
}

func TestOneSize(t *testing.T) {
	l := estimate.New(20, 0.05)
	for range 100 {
		l.AddSample(1000, 30, 1)
	}
	must.Between(t, 28, l.Predict(1000), 33)
}
