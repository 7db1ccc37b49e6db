package rollout

import (
	"math"
	"time"

	"github.com/violettally/violettally/config"
)

// IsBad judges one answer by the guards. A rating below zero stands for none;
// failed answers are always bad.
func IsBad(g config.Guards, failed bool, rating float64, firstToken time.Duration) bool {
	slow := g.MaxFirstTokenMillis > 0 && firstToken.Seconds()*1000 > g.MaxFirstTokenMillis
	return failed || slow || (rating >= 0 && rating < g.BadRating)
}

const (
	// defaultIncrease and defaultAlarm stand in for guards left at zero.
	defaultIncrease = 0.1
	defaultAlarm    = 0.01
)

// Test is a sequential test of "the candidate gives more bad answers than the
// version in service, by the tolerated increase or more" against "no more". It
// follows two sums of log likelihood ratios. The first runs from the start; it
// exceeds log(1/a) for a good version with probability a at most, however long
// it runs (Wald, 1945). The second never falls below zero, so that a version
// that turns bad late is found too (Page, 1954); it has a new chance of a false
// alarm with each answer, so its bound grows with the number of answers that
// the roll-out will see. Each has half of the accepted false alarms.
type Test struct {
	fromStart float64
	recent    float64
	seen      Count
}

// minPlanned is the least number of answers that the bound of the second sum
// allows for.
const minPlanned = 500

// Update takes the counts so far and reports whether the candidate is to be
// stopped. Planned is the number of answers that the whole roll-out needs.
func (t *Test) Update(g config.Guards, planned int, candidate, baseline Count) (stop bool) {
	answers, bad := candidate.Answers-t.seen.Answers, candidate.Bad-t.seen.Bad
	t.seen = candidate
	if answers < 0 || bad < 0 {
		// A node that counted is gone; go on from what is left.
		return false
	}
	increase, alarm := orDefault(g.MaxBadIncrease, defaultIncrease), orDefault(g.FalseAlarmRate, defaultAlarm)/2
	// Laplace's estimate keeps the rate off zero while there are few answers.
	usual := float64(baseline.Bad+1) / float64(baseline.Answers+2)
	usual = min(usual, 1-increase-minRate)
	worse := min(1-minRate, usual+increase)
	good := answers - bad
	step := float64(bad)*math.Log(worse/usual) + float64(good)*math.Log((1-worse)/(1-usual))
	t.fromStart += step
	t.recent = max(0, t.recent+step)
	bound := math.Log(1 / alarm)
	return t.fromStart >= bound || t.recent >= bound+math.Log(float64(max(planned, minPlanned)))
}

// minRate keeps the rates of the test within (0, 1).
const minRate = 0.001

// Score returns the present evidence against the candidate.
func (t *Test) Score() float64 { return max(t.fromStart, t.recent) }

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}
