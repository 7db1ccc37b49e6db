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
type ConfidencePolicy struct{ bound, near float64 }

const (
	// defaultBound is the least confidence, of 0 to 100, that releases an
	// answer whatever the load is: above it one answer in fifty is poor, below
	// it [ConfidencePolicy.Pays] decides.
	defaultBound = 65
	// nearBound is the confidence from which the next model is tried in place
	// of the costliest; without the middle model worth fell from 0.707 to 0.698,
	// and with a bound of 42 to 0.705 (docs/DECISIONS.md).
	nearBound = 35
)

// NewConfidencePolicy returns a ladder with the default bounds.
func NewConfidencePolicy() *ConfidencePolicy {
	return &ConfidencePolicy{bound: defaultBound, near: nearBound}
}

// First returns the index of the model that answers first, of n. It is the
// cheapest, unless its answer could not be dropped for a better one: then it is
// the costliest, since a poor answer is worth little.
func (l *ConfidencePolicy) First(n int, mayEscalate bool) int {
	if mayEscalate {
		return 0
	}
	return n - 1
}

// Next returns the index of the model to ask in place of the one at step, whose
// answer has the given confidence; false to release its answer. Last says that
// nothing can follow the next answer.
func (l *ConfidencePolicy) Next(n, step int, confidence float64, last bool) (int, bool) {
	switch {
	case step >= n-1 || confidence >= l.bound:
		return 0, false
	case confidence >= l.near && !last:
		return step + 1, true
	}
	return n - 1, true
}

const (
	// evenConfidence is the confidence at which an answer is as often poor as it
	// is good, sureness how far above it the odds are e to one. Answers that
	// models gave 20 to 35 were poor almost always, 35 to 50 three in five, 50
	// to 65 two in five, and above hardly ever.
	evenConfidence = 50.0
	sureness       = 6.0
	// leastGain is the least gain, as a share of a good answer's worth, for which
	// a costlier model is asked where nothing waits: its own price, and the wait
	// of those who come next. At 0.15 worth at twice the load fell from 0.67 to
	// 0.62.
	leastGain = 0.45
	// fullWait is the wait, as a share of the objective, that is worth as much as
	// a good answer: from about half of it on no costlier model is asked. At
	// twice that, worth at three times the load fell from 0.59 to 0.57.
	fullWait = 0.5
	// lateWorth is what a good answer that comes late is worth of one in time:
	// the deployments' sheets say 0.3 for each kind of request.
	lateWorth = 0.3
	// spread is by which share of what is expected answers are off: a quarter
	// with little load, a third or more under load.
	spread = 0.35
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
func (l *ConfidencePolicy) WorthEscalating(o Escalation) bool {
	if o.Objective <= 0 {
		return true
	}
	poor := 1 / (1 + math.Exp((o.Confidence-evenConfidence)/sureness))
	expected := float64(o.Wait + o.ServiceTime)
	inTime := 1 / (1 + math.Exp((expected-float64(o.Remaining))/(spread*expected+1)))
	worth := inTime + lateWorth*(1-inTime)
	gain := worth - (1 - poor)
	price := leastGain + float64(o.Wait)/(fullWait*float64(o.Objective))
	return gain > price
}
