// Package cascade decides which of several models answers a request: a cheaper
// one, or a costlier one if the cheaper one's answer is not good enough.
//
// A [Planner] tries the models in order of cost. Each answer is rated before it
// is released to the client, and the next model is asked if the rating is below
// the release threshold. A rejected answer costs time and money, so the planner
// skips a model that has recently failed for this class of request, and goes
// straight to the last model if the deadline does not allow two attempts. The
// threshold is adjusted so that the mean rating of the released answers stays
// at the configured target: a mean above the target lowers the threshold, a
// mean below it raises it.
//
// # Usage
//
//	for _, model := range planner.Plan(c, class, remaining) {
//		answer := run(model)
//		if planner.MayRelease(c, rating) { … }
//	}
//
// Without a rating service, a [ConfidencePolicy] decides by the confidence that
// the models report for their own answers:
//
//	step := policy.First(len(models), mayEscalate)
//	step, escalate := policy.Next(len(models), step, confidence, last)
package cascade

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/violettally/violettally/config"
)

const (
	// smoothingFactor is the weight of the latest answer in the exponential
	// moving averages.
	smoothingFactor = 0.05
	// minPassRate is the pass rate below which a model is skipped.
	minPassRate = 0.35
	// exploreProbability is how often a model with a low pass rate is tried all
	// the same, so that its recovery is noticed.
	exploreProbability = 0.03
	// minUnratedPassRate is the pass rate from which a model's answers may be
	// released unrated while the rating service is unavailable.
	minUnratedPassRate = 0.9
	// thresholdGain is the change of the threshold per released answer and unit
	// of distance between the mean rating and the target.
	thresholdGain = 0.05
	// maxThresholdShift limits how far the threshold may move from the
	// configured one.
	maxThresholdShift = 0.15
	// maxStats limits the number of modelStats; all are discarded when it is
	// reached.
	maxStats = 4096
)

// Planner holds one node's statistics on the models of its cascades. It is safe
// for concurrent use.
type Planner struct {
	mu          sync.Mutex
	stats       map[statsKey]*modelStats
	adjustments map[string]*adjustment
}

type statsKey struct{ cascade, class, model string }

// modelStats describes the recent answers of one model to one class of request.
type modelStats struct {
	// passRate is the share of answers whose rating reached the threshold.
	passRate float64
	// duration is the mean time that an answer took.
	duration time.Duration
}

// adjustment is the shift of one cascade's threshold from the configured one,
// and the mean rating of its released answers.
type adjustment struct {
	shift      float64
	meanRating float64
}

// New returns a planner without statistics.
func New() *Planner {
	return &Planner{stats: make(map[statsKey]*modelStats), adjustments: make(map[string]*adjustment)}
}

// Plan returns the models to try, in order. The last model is always among
// them. Remaining is the time until the deadline, zero for none.
func (p *Planner) Plan(c *config.Cascade, class string, remaining time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(c.Models) - 1
	var plan []string
	for _, model := range c.Models[:last] {
		s := p.statsFor(c.Name, class, model)
		lastStats := p.statsFor(c.Name, class, c.Models[last])
		skip := s.passRate < minPassRate && rand.Float64() >= exploreProbability
		if skip || (remaining > 0 && s.duration+lastStats.duration > remaining) {
			continue
		}
		plan = append(plan, model)
	}
	return append(plan, c.Models[last])
}

func (p *Planner) statsFor(cascade, class, model string) *modelStats {
	key := statsKey{cascade, class, model}
	s := p.stats[key]
	if s == nil {
		if len(p.stats) >= maxStats {
			clear(p.stats)
		}
		s = &modelStats{passRate: 1}
		p.stats[key] = s
	}
	return s
}

// RecordRating records the rating of a model's answer and the time that the
// answer took.
func (p *Planner) RecordRating(c *config.Cascade, class, model string, rating float64, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.statsFor(c.Name, class, model)
	passed := 0.0
	if rating >= p.threshold(c) {
		passed = 1
	}
	s.passRate += smoothingFactor * (passed - s.passRate)
	if s.duration == 0 {
		s.duration = duration
	}
	s.duration += time.Duration(smoothingFactor * float64(duration-s.duration))
}

// MayRelease reports whether an answer with this rating may be released.
func (p *Planner) MayRelease(c *config.Cascade, rating float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return rating >= p.threshold(c)
}

// MayReleaseUnrated reports whether a model's answer may be released while the
// rating service gives no rating.
func (p *Planner) MayReleaseUnrated(c *config.Cascade, class, model string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statsFor(c.Name, class, model).passRate >= minUnratedPassRate
}

// RecordReleased records the rating of a released answer and adjusts the
// threshold.
func (p *Planner) RecordReleased(c *config.Cascade, rating float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.adjustmentFor(c)
	a.meanRating += smoothingFactor * (rating - a.meanRating)
	a.shift -= thresholdGain * (a.meanRating - c.QualityTarget)
	a.shift = max(-maxThresholdShift, min(maxThresholdShift, a.shift))
}

// Threshold returns the current release threshold.
func (p *Planner) Threshold(c *config.Cascade) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.threshold(c)
}

func (p *Planner) threshold(c *config.Cascade) float64 {
	return max(0, min(1, c.MinRating+p.adjustmentFor(c).shift))
}

func (p *Planner) adjustmentFor(c *config.Cascade) *adjustment {
	a := p.adjustments[c.Name]
	if a == nil {
		a = &adjustment{meanRating: c.QualityTarget}
		p.adjustments[c.Name] = a
	}
	return a
}
