package cascade

import (
	"math"
	"time"
)

// ConfidencePolicy decides between models by the confidence that a model tells of its
// own answer, where no rating service stands beside it. The cheapest model
// answers first; an answer that it has too little confidence in is dropped
// before the client has any of it, and a costlier model answers instead: the
// next one where the confidence was nearly enough, or else the costliest.
type ConfidencePolicy struct{ minRelease, minNextModel float64 }

const (
	// minReleaseConfidence is the least confidence, of 0 to 100, that releases an
	// answer whatever the load is: above it one answer in fifty is poor, below
	// it [ConfidencePolicy.Pays] decides.
	minReleaseConfidence = 65
	// minNextModelConfidence is the confidence from which the next model is tried in place
	// of the costliest; without the middle model worth fell from 0.707 to 0.698,
	// and with a bound of 42 to 0.705 (docs/DECISIONS.md).
	minNextModelConfidence = 35
)

// NewConfidencePolicy returns a ladder with the default bounds.
func NewConfidencePolicy() *ConfidencePolicy {
	return &ConfidencePolicy{minRelease: minReleaseConfidence, minNextModel: minNextModelConfidence}
}

// First returns the index of the model that answers first, of n. It is the
// cheapest, unless its answer could not be dropped for a better one: then it is
// the costliest, since a poor answer is worth little.
func (p *ConfidencePolicy) First(n int, mayEscalate bool) int {
	if mayEscalate {
		return 0
	}
	return n - 1
}

// Next returns the index of the model to ask in place of the one at step, whose
// answer has the given confidence; false to release its answer. Last says that
// nothing can follow the next answer.
func (p *ConfidencePolicy) Next(n, step int, confidence float64, last bool) (int, bool) {
	switch {
	case step >= n-1 || confidence >= p.minRelease:
		return 0, false
	case confidence >= p.minNextModel && !last:
		return step + 1, true
	}
	return n - 1, true
}

const (
	// evenOddsConfidence is the confidence at which an answer is as often poor as it
	// is good, sureness how far above it the odds are e to one. Answers that
	// models gave 20 to 35 were poor almost always, 35 to 50 three in five, 50
	// to 65 two in five, and above hardly ever.
	evenOddsConfidence = 50.0
	confidenceScale    = 6.0
	// minGain is the least gain, as a share of a good answer's worth, for which
	// a costlier model is asked where nothing waits: its own price, and the wait
	// of those who come next. At 0.15 worth at twice the load fell from 0.67 to
	// 0.62.
	minGain = 0.45
	// fullCostWait is the wait, as a share of the objective, that is worth as much as
	// a good answer: from about half of it on no costlier model is asked. At
	// twice that, worth at three times the load fell from 0.59 to 0.57.
	fullCostWait = 0.5
	// lateValue is what a good answer that comes late is worth of one in time:
	// the deployments' sheets say 0.3 for each kind of request.
	lateValue = 0.3
	// forecastError is by which share of what is expected answers are off: a quarter
	// with little load, a third or more under load.
	forecastError = 0.35
)

// Escalation is what a costlier model would take in place of an answer.
type Escalation struct {
	// Confidence of the answer that it would replace.
	Confidence float64
	// Wait is how long the request waits until a server turns to it, Takes how
	// long its answer takes to begin from then on.
	Wait, ServiceTime time.Duration
	// Remaining is what is left of the objective, zero or less if nothing is.
	Remaining, Objective time.Duration
}

// WorthEscalating reports whether a costlier model is worth asking: whether the chance that
// the answer was poor, and that the other one comes in time, is worth what the
// others wait for it.
func (p *ConfidencePolicy) WorthEscalating(e Escalation) bool {
	if e.Objective <= 0 {
		return true
	}
	poorProbability := 1 / (1 + math.Exp((e.Confidence-evenOddsConfidence)/confidenceScale))
	expected := float64(e.Wait + e.ServiceTime)
	inTimeProbability := 1 / (1 + math.Exp((expected-float64(e.Remaining))/(forecastError*expected+1)))
	value := inTimeProbability + lateValue*(1-inTimeProbability)
	gain := value - (1 - poorProbability)
	cost := minGain + float64(e.Wait)/(fullCostWait*float64(e.Objective))
	return gain > cost
}
