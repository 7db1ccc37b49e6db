package rollout

import (
	"math"
	"time"

	"github.com/violettally/violettally/config"
)

// IsBad reports whether the guards count an answer as bad: it failed, its first
// token came too late, or its rating is too low. A negative rating means none.
func IsBad(g config.Guards, failed bool, rating float64, firstToken time.Duration) bool {
	slow := g.MaxFirstTokenMillis > 0 && firstToken.Seconds()*1000 > g.MaxFirstTokenMillis
	return failed || slow || (rating >= 0 && rating < g.BadRating)
}

const (
	// defaultBadIncrease and defaultFalseAlarm replace guards that are zero.
	defaultBadIncrease = 0.1
	defaultFalseAlarm  = 0.01
)

// SequentialTest tests whether the candidate's rate of bad answers exceeds that of
// the version in service by the tolerated increase. It keeps two sums of log
// likelihood ratios:
//
//   - The sequential probability ratio test (Wald, 1945) sums from the start. For
//     a good version it exceeds log(1/a) with a probability of at most a,
//     however long it runs.
//   - The CUSUM test (Page, 1954) never falls below zero and so also detects a
//     version that turns bad late. Each answer is another chance of a false
//     alarm, so its threshold grows with the number of answers in the rollout.
//
// Each sum is allowed half of the accepted false alarms.
type SequentialTest struct {
	sprt    float64
	cusum   float64
	counted Count
}

// minPlannedAnswers is the least number of answers that the CUSUM threshold is
// set for.
const minPlannedAnswers = 500

// Update adds the answers since the last call, given all counts so far, and reports
// whether the candidate must be stopped. planned is the number of answers that
// the whole rollout needs.
func (t *SequentialTest) Update(g config.Guards, planned int, candidate, baseline Count) (stop bool) {
	answers, bad := candidate.Answers-t.counted.Answers, candidate.Bad-t.counted.Bad
	t.counted = candidate
	if answers < 0 || bad < 0 {
		// The sum has lost the counts of a node; continue from the rest.
		return false
	}
	increase, falseAlarm := orDefault(g.MaxBadIncrease, defaultBadIncrease), acceptedFalseAlarms(g)
	// The Laplace estimate is above zero even without bad answers.
	baselineRate := float64(baseline.Bad+1) / float64(baseline.Answers+2)
	baselineRate = min(baselineRate, 1-increase-minRate)
	candidateRate := min(1-minRate, baselineRate+increase)
	good := answers - bad
	increment := float64(bad)*math.Log(candidateRate/baselineRate) + float64(good)*math.Log((1-candidateRate)/(1-baselineRate))
	t.sprt += increment
	t.cusum = max(0, t.cusum+increment)
	threshold := math.Log(1 / falseAlarm)
	return t.sprt >= threshold || t.cusum >= threshold+math.Log(float64(max(planned, minPlannedAnswers)))
}

// SpeaksFor reports whether all answers together make it at least ten times as likely that the version is not
// worse than tolerated.
func (t *SequentialTest) SpeaksFor() bool { return t.sprt <= -math.Log(10) }

// SpeaksAgainst reports whether the answers so far, or the latest ones alone, rather show that the version is worse
// than tolerated. Of the latest ones that takes half of what stops a version: a few bad ones in a row may be chance.
func (t *SequentialTest) SpeaksAgainst(g config.Guards) bool {
	return t.sprt > 0 || t.cusum > math.Log(1/acceptedFalseAlarms(g))/2
}

// acceptedFalseAlarms returns the accepted rate of false alarms of each of the two sums.
func acceptedFalseAlarms(g config.Guards) float64 {
	return orDefault(g.FalseAlarmRate, defaultFalseAlarm) / 2
}

// minRate keeps the rates of the test inside (0, 1).
const minRate = 0.001

// Score returns the evidence against the candidate: the larger of the two sums.
func (t *SequentialTest) Score() float64 { return max(t.sprt, t.cusum) }

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}
