// Package cascade decides when a cheaper model may answer before a costlier
// one.
//
// A cascade tries its models from the cheapest on; an answer is rated before
// it is released, and the next model is asked if the rating is too low. A
// failed try costs time and money, so the planner skips a model that has
// lately failed for this class of request, and goes straight to the last one
// if the deadline leaves no room for two. The bound for release moves so that
// the mean rating of what is released stays at the declared target: above it,
// cheaper answers pass more easily; below it, fewer do.
//
// # Usage
//
//	for _, model := range planner.Plan(c, class, left) {
//		answer := run(model)
//		if planner.Releases(c, rating) { … }
//	}
//
// Where no rating service stands beside the models, a [ConfidencePolicy] goes by the
// models' own confidence:
//
//	step := ladder.First(len(models), mayEscalate)
//	step, escalate := ladder.Next(len(models), step, confidence, last)
package cascade

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/violettally/violettally/config"
)

const (
	// smoothingFactor is the weight of one answer in the running means.
	smoothingFactor = 0.05
	// minPassRate is the chance of release below which a model is skipped.
	minPassRate = 0.35
	// exploreProbability is how often a skipped model is tried all the same, so that its
	// recovery is noticed.
	exploreProbability = 0.03
	// minUnratedPassRate is the chance of release above which an answer may go out
	// unrated while the rating service is out.
	minUnratedPassRate = 0.9
	// thresholdGain is how far the bound moves per released answer and unit
	// of distance from the target.
	thresholdGain = 0.05
	// maxThresholdShift is how far the bound may move from the declared one.
	maxThresholdShift = 0.15
	// maxStats bounds the classes remembered.
	maxStats = 4096
)

// Planner holds what one node has learned of its cascades. It is safe for
// concurrent use.
type Planner struct {
	mu          sync.Mutex
	stats       map[statsKey]*modelStats
	adjustments map[string]*adjustment
}

type statsKey struct{ cascade, class, model string }

type modelStats struct {
	passRate float64
	duration time.Duration
}

// adjustment is the release bound of one cascade and the mean of what it released.
type adjustment struct {
	shift      float64
	meanRating float64
}

// New returns a planner that has learned nothing.
func New() *Planner {
	return &Planner{stats: make(map[statsKey]*modelStats), adjustments: make(map[string]*adjustment)}
}

// Plan returns the models to try in order, at least the last one. Left is the
// time until the deadline, zero for none.
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

// RecordRating takes the rating of one answer of a model and the time it took.
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

// MayRelease reports whether an answer of this rating may go out.
func (p *Planner) MayRelease(c *config.Cascade, rating float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return rating >= p.threshold(c)
}

// MayReleaseUnrated reports whether a model's answer may go out while the
// rating service gives no rating.
func (p *Planner) MayReleaseUnrated(c *config.Cascade, class, model string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statsFor(c.Name, class, model).passRate >= minUnratedPassRate
}

// RecordReleased takes the rating of an answer that went out and moves the bound.
func (p *Planner) RecordReleased(c *config.Cascade, rating float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.adjustmentFor(c)
	a.meanRating += smoothingFactor * (rating - a.meanRating)
	a.shift -= thresholdGain * (a.meanRating - c.QualityTarget)
	a.shift = max(-maxThresholdShift, min(maxThresholdShift, a.shift))
}

// Threshold returns the present bound for release.
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
