package cascade_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/config"
)

var testCascade = &config.Cascade{Name: "auto", Models: []string{"cheap", "costly"}, MinRating: 0.75, QualityTarget: 0.82}

// workload generates answers. For easy classes the cheap model is nearly as
// good as the costly one; for hard classes it mostly fails.
type workload struct {
	rng         *rand.Rand
	ratingDrift float64
	ratingDown  bool
}

const (
	cheapCost, costlyCost = 1.0, 8.0
	answerTime            = 100 * time.Millisecond
)

func (w *workload) quality(class int, model string) float64 {
	mean := 0.9
	if model == "cheap" {
		mean = []float64{0.88, 0.8, 0.45}[class]
	}
	return max(0, min(1, mean+0.08*w.rng.NormFloat64()))
}

// averages holds the mean cost and quality of a policy's answers.
type averages struct{ cost, quality float64 }

// policy answers one request of a class.
type policy func(w *workload, class int) (cost, quality float64)

func alwaysModel(model string, cost float64) policy {
	return func(w *workload, class int) (float64, float64) { return cost, w.quality(class, model) }
}

// fixedThreshold tries the cheap model first for each request, with the
// configured threshold.
func fixedThreshold(w *workload, class int) (float64, float64) {
	if q := w.quality(class, "cheap"); q >= testCascade.MinRating {
		return cheapCost, q
	}
	return cheapCost + costlyCost, w.quality(class, "costly")
}

func withPlanner(p *cascade.Planner) policy {
	return func(w *workload, class int) (cost, quality float64) {
		className := fmt.Sprint(class)
		plan := p.Plan(testCascade, className, 0)
		for i, model := range plan {
			q := w.quality(class, model)
			cost += map[string]float64{"cheap": cheapCost, "costly": costlyCost}[model]
			last := i == len(plan)-1
			if w.ratingDown {
				if last || p.MayReleaseUnrated(testCascade, className, model) {
					return cost, q
				}
				continue
			}
			rated := q + w.ratingDrift
			p.RecordRating(testCascade, className, model, rated, answerTime)
			if last || p.MayRelease(testCascade, rated) {
				p.RecordReleased(testCascade, rated)
				return cost, q
			}
		}
		return cost, 0
	}
}

func simulate(w *workload, answer policy) averages {
	const requests = 4000
	var avg averages
	for i := range requests {
		cost, quality := answer(w, []int{0, 0, 0, 1, 1, 2}[i%6])
		avg.cost += cost / requests
		avg.quality += quality / requests
	}
	return avg
}

// TestPlannerCostAndQuality compares the planner with simpler policies on the
// same requests.
func TestPlannerCostAndQuality(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5}
	mean := make(map[string]averages)
	for _, seed := range seeds {
		for name, answer := range map[string]policy{
			"always cheap":  alwaysModel("cheap", cheapCost),
			"always costly": alwaysModel("costly", costlyCost),
			"fixed cascade": fixedThreshold,
			"planner":       withPlanner(cascade.New()),
		} {
			got := simulate(&workload{rng: rand.New(rand.NewPCG(seed, 0))}, answer)
			m := mean[name]
			m.cost += got.cost / float64(len(seeds))
			m.quality += got.quality / float64(len(seeds))
			mean[name] = m
		}
	}
	for name, m := range mean {
		t.Logf("%-14s cost %.2f quality %.3f", name, m.cost, m.quality)
	}
	must.GreaterEq(t, testCascade.QualityTarget-0.01, mean["planner"].quality)
	must.Less(t, mean["fixed cascade"].cost, mean["planner"].cost)
	must.Less(t, mean["always costly"].cost/2, mean["planner"].cost)
}

// TestUnreliableRatings makes the rating service unavailable, or lets its
// ratings drift, after the planner has collected statistics.
func TestUnreliableRatings(t *testing.T) {
	for _, tt := range []struct {
		name        string
		ratingDrift float64
		ratingDown  bool
		minQuality  float64
	}{{"unavailable", 0, true, 0.8}, {"ratings drift up", 0.1, false, 0.7}, {"ratings drift down", -0.1, false, 0.82}} {
		t.Run(tt.name, func(t *testing.T) {
			p := cascade.New()
			w := &workload{rng: rand.New(rand.NewPCG(1, 0))}
			simulate(w, withPlanner(p))
			w.ratingDrift, w.ratingDown = tt.ratingDrift, tt.ratingDown
			got := simulate(w, withPlanner(p))
			t.Logf("cost %.2f quality %.3f", got.cost, got.quality)
			must.GreaterEq(t, tt.minQuality, got.quality)
		})
	}
}

// TestPlanFitsDeadline checks that only the last model is planned if the
// deadline does not allow two attempts.
func TestPlanFitsDeadline(t *testing.T) {
	p := cascade.New()
	p.RecordRating(testCascade, "c", "cheap", 0.9, answerTime)
	p.RecordRating(testCascade, "c", "costly", 0.9, answerTime)
	must.Eq(t, []string{"cheap", "costly"}, p.Plan(testCascade, "c", 3*answerTime))
	must.Eq(t, []string{"costly"}, p.Plan(testCascade, "c", 3*answerTime/2))
}
