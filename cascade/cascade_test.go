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

var declared = &config.Cascade{Name: "auto", Models: []string{"cheap", "costly"}, MinRating: 0.75, QualityTarget: 0.82}

// world makes answers: for easy classes the cheap model is nearly as good as
// the costly one, for hard ones it mostly fails.
type world struct {
	random *rand.Rand
	drift  float64
	out    bool
}

const (
	cheapCost, costlyCost = 1.0, 8.0
	answerTime            = 100 * time.Millisecond
)

func (w *world) quality(class int, model string) float64 {
	mean := 0.9
	if model == "cheap" {
		mean = []float64{0.88, 0.8, 0.45}[class]
	}
	return max(0, min(1, mean+0.08*w.random.NormFloat64()))
}

// total is what a policy cost and how good it was.
type total struct{ cost, quality float64 }

// policy answers one request of a class.
type policy func(w *world, class int) (cost, quality float64)

func always(model string, cost float64) policy {
	return func(w *world, class int) (float64, float64) { return cost, w.quality(class, model) }
}

// fixed tries the cheap model first each time, with the declared bound.
func fixed(w *world, class int) (float64, float64) {
	if q := w.quality(class, "cheap"); q >= declared.MinRating {
		return cheapCost, q
	}
	return cheapCost + costlyCost, w.quality(class, "costly")
}

func planned(p *cascade.Planner) policy {
	return func(w *world, class int) (cost, quality float64) {
		name := fmt.Sprint(class)
		plan := p.Plan(declared, name, 0)
		for i, model := range plan {
			q := w.quality(class, model)
			cost += map[string]float64{"cheap": cheapCost, "costly": costlyCost}[model]
			last := i == len(plan)-1
			if w.out {
				if last || p.MayReleaseUnrated(declared, name, model) {
					return cost, q
				}
				continue
			}
			rated := q + w.drift
			p.RecordRating(declared, name, model, rated, answerTime)
			if last || p.MayRelease(declared, rated) {
				p.RecordReleased(declared, rated)
				return cost, q
			}
		}
		return cost, 0
	}
}

func run(w *world, answer policy) total {
	const requests = 4000
	var t total
	for i := range requests {
		cost, quality := answer(w, []int{0, 0, 0, 1, 1, 2}[i%6])
		t.cost += cost / requests
		t.quality += quality / requests
	}
	return t
}

// TestCost compares the planner with the plain policies on the same requests.
func TestCost(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5}
	mean := make(map[string]total)
	for _, seed := range seeds {
		for name, answer := range map[string]policy{
			"always cheap":  always("cheap", cheapCost),
			"always costly": always("costly", costlyCost),
			"fixed cascade": fixed,
			"planner":       planned(cascade.New()),
		} {
			got := run(&world{random: rand.New(rand.NewPCG(seed, 0))}, answer)
			m := mean[name]
			m.cost += got.cost / float64(len(seeds))
			m.quality += got.quality / float64(len(seeds))
			mean[name] = m
		}
	}
	for name, m := range mean {
		t.Logf("%-14s cost %.2f quality %.3f", name, m.cost, m.quality)
	}
	must.GreaterEq(t, declared.QualityTarget-0.01, mean["planner"].quality)
	must.Less(t, mean["fixed cascade"].cost, mean["planner"].cost)
	must.Less(t, mean["always costly"].cost/2, mean["planner"].cost)
}

// TestRatingTrouble lets the rating service go out or drift after the planner
// has learned.
func TestRatingTrouble(t *testing.T) {
	for _, tt := range []struct {
		name    string
		drift   float64
		out     bool
		quality float64
	}{{"out", 0, true, 0.8}, {"drifts up", 0.1, false, 0.7}, {"drifts down", -0.1, false, 0.82}} {
		t.Run(tt.name, func(t *testing.T) {
			p := cascade.New()
			w := &world{random: rand.New(rand.NewPCG(1, 0))}
			run(w, planned(p))
			w.drift, w.out = tt.drift, tt.out
			got := run(w, planned(p))
			t.Logf("cost %.2f quality %.3f", got.cost, got.quality)
			must.GreaterEq(t, tt.quality, got.quality)
		})
	}
}

// TestDeadline leaves no room for two models.
func TestDeadline(t *testing.T) {
	p := cascade.New()
	p.RecordRating(declared, "c", "cheap", 0.9, answerTime)
	p.RecordRating(declared, "c", "costly", 0.9, answerTime)
	must.Eq(t, []string{"cheap", "costly"}, p.Plan(declared, "c", 3*answerTime))
	must.Eq(t, []string{"costly"}, p.Plan(declared, "c", 3*answerTime/2))
}
