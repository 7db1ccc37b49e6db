package cascade

import (
	"math"
	"time"
)

// ConfidencePolicy decides between models by the confidence that a model
// reports for its own answer, for deployments without a rating service. The
// cheapest model answers first. If its confidence is too low, the answer is
// discarded before the client has received any of it and a costlier model is
// asked: the next one if the confidence was nearly high enough, otherwise the
// costliest.
type ConfidencePolicy struct{ minRelease, minNextModel float64 }

const (
	// minReleaseConfidence is the confidence, from 0 to 100, from which an
	// answer is released whatever the load is: one such answer in fifty is
	// poor. Below it, [ConfidencePolicy.WorthEscalating] decides.
	minReleaseConfidence = 65
	// minNextModelConfidence is the confidence from which the next model is
	// asked instead of the costliest.
	minNextModelConfidence = 35
)

// NewConfidencePolicy returns a policy with the default limits.
func NewConfidencePolicy() *ConfidencePolicy {
	return &ConfidencePolicy{minRelease: minReleaseConfidence, minNextModel: minNextModelConfidence}
}

// First returns the index of the model that answers first, of n. It is the
// cheapest if its answer may be discarded for a better one, otherwise the
// costliest, since a poor answer is worth little.
func (p *ConfidencePolicy) First(n int, mayEscalate bool) int {
	if mayEscalate {
		return 0
	}
	return n - 1
}

// Next returns the index of the model to ask instead of the one at step, whose
// answer has the given confidence. It returns false if that answer is to be
// released. Last means that no other model can be asked after the next one.
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
	// evenOddsConfidence is the confidence at which an answer is as likely poor
	// as good. At confidenceScale above it, the odds of a good answer are e to
	// one. Almost all answers with a confidence of 20 to 35 are poor, three in
	// five of those from 35 to 50, two in five from 50 to 65, and hardly any
	// above.
	evenOddsConfidence = 50.0
	confidenceScale    = 6.0
	// minGain is the least gain, as a share of a good answer's value, for which
	// a costlier model is asked when no requests are waiting. It covers the
	// model's price and the delay to the requests that come next.
	minGain = 0.45
	// fullCostWait is the wait, as a share of the objective, that costs as much
	// as a good answer is worth. Together with minGain, it rules out costlier
	// models from about half of this wait on.
	fullCostWait = 0.5
	// lateValue is the value of a good answer that is late, relative to one in
	// time. The deployments' specifications set 0.3 for each kind of request.
	lateValue = 0.3
	// forecastError is the relative error of forecast times: a quarter under
	// low load, a third or more under high load.
	forecastError = 0.35
)

// Escalation is a request to a costlier model, whose answer would replace the
// present one.
type Escalation struct {
	// Confidence is that of the answer to be replaced, from 0 to 100.
	Confidence float64
	// Wait is the expected time until a server starts on the request,
	// ServiceTime the expected time from then until its answer begins.
	Wait, ServiceTime time.Duration
	// Objective is the time within which the answer should begin, zero for
	// none. Remaining is what is left of it, negative if it has passed.
	Remaining, Objective time.Duration
}

// WorthEscalating reports whether the costlier model should be asked: whether
// the chance that the present answer is poor and that the new one is in time
// outweighs the cost of the wait to other requests. Without an objective, it
// always is.
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
