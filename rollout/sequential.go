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
	// defaultBadIncrease and defaultAlarm stand in for guards left at zero.
	defaultBadIncrease = 0.1
	defaultFalseAlarm  = 0.01
)

// SequentialTest is a sequential test of "the candidate gives more bad answers than the
// version in service, by the tolerated increase or more" against "no more". It
// follows two sums of log likelihood ratios. The first runs from the start; it
// exceeds log(1/a) for a good version with probability a at most, however long
// it runs (Wald, 1945). The second never falls below zero, so that a version
// that turns bad late is found too (Page, 1954); it has a new chance of a false
// alarm with each answer, so its bound grows with the number of answers that
// the roll-out will see. Each has half of the accepted false alarms.
type SequentialTest struct {
	sprt    float64
	cusum   float64
	counted Count
}

// minPlannedAnswers is the least number of answers that the bound of the second sum
// allows for.
const minPlannedAnswers = 500

// Update takes the counts so far and reports whether the candidate is to be
// stopped. Planned is the number of answers that the whole roll-out needs.
func (t *SequentialTest) Update(g config.Guards, planned int, candidate, baseline Count) (stop bool) {
	answers, bad := candidate.Answers-t.counted.Answers, candidate.Bad-t.counted.Bad
	t.counted = candidate
	if answers < 0 || bad < 0 {
		// A node that counted is gone; go on from what is left.
		return false
	}
	increase, alarm := orDefault(g.MaxBadIncrease, defaultBadIncrease), orDefault(g.FalseAlarm, defaultFalseAlarm)/2
	// Laplace's estimate keeps the rate off zero while there are few answers.
	usual := float64(baseline.Bad+1) / float64(baseline.Answers+2)
	usual = min(usual, 1-increase-minRate)
	worse := min(1-minRate, usual+increase)
	good := answers - bad
	step := float64(bad)*math.Log(worse/usual) + float64(good)*math.Log((1-worse)/(1-usual))
	t.sprt += step
	t.cusum = max(0, t.cusum+step)
	bound := math.Log(1 / alarm)
	return t.sprt >= bound || t.cusum >= bound+math.Log(float64(max(planned, minPlannedAnswers)))
}

// minRate keeps the rates of the test within (0, 1).
const minRate = 0.001

// Score returns the present evidence against the candidate.
func (t *SequentialTest) Score() float64 { return max(t.sprt, t.cusum) }

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}
