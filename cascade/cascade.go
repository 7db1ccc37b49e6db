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
	// memory is the weight of one answer in the running means.
	memory = 0.05
	// minPass is the chance of release below which a model is skipped.
	minPass = 0.35
	// explore is how often a skipped model is tried all the same, so that its
	// recovery is noticed.
	explore = 0.03
	// unratedPass is the chance of release above which an answer may go out
	// unrated while the rating service is out.
	unratedPass = 0.9
	// thresholdStep is how far the bound moves per released answer and unit
	// of distance from the target.
	thresholdStep = 0.05
	// thresholdSlack is how far the bound may move from the declared one.
	thresholdSlack = 0.15
	// classMax bounds the classes remembered.
	classMax = 4096
)

// Planner holds what one node has learned of its cascades. It is safe for
// concurrent use.
type Planner struct {
	mu      sync.Mutex
	learned map[learnedKey]*learned
	bounds  map[string]*bound
}

type learnedKey struct{ cascade, class, model string }

type learned struct {
	pass float64
	took time.Duration
}

// bound is the release bound of one cascade and the mean of what it released.
type bound struct {
	shift float64
	mean  float64
}

// New returns a planner that has learned nothing.
func New() *Planner {
	return &Planner{learned: make(map[learnedKey]*learned), bounds: make(map[string]*bound)}
}

// Plan returns the models to try in order, at least the last one. Left is the
// time until the deadline, zero for none.
func (p *Planner) Plan(c *config.Cascade, class string, left time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(c.Models) - 1
	var plan []string
	for _, model := range c.Models[:last] {
		l := p.lookup(c.Name, class, model)
		costlier := p.lookup(c.Name, class, c.Models[last])
		skip := l.pass < minPass && rand.Float64() >= explore
		if skip || (left > 0 && l.took+costlier.took > left) {
			continue
		}
		plan = append(plan, model)
	}
	return append(plan, c.Models[last])
}

func (p *Planner) lookup(cascade, class, model string) *learned {
	key := learnedKey{cascade, class, model}
	l := p.learned[key]
	if l == nil {
		if len(p.learned) >= classMax {
			clear(p.learned)
		}
		l = &learned{pass: 1}
		p.learned[key] = l
	}
	return l
}

// RecordRating takes the rating of one answer of a model and the time it took.
func (p *Planner) RecordRating(c *config.Cascade, class, model string, rating float64, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lookup(c.Name, class, model)
	passed := 0.0
	if rating >= p.threshold(c) {
		passed = 1
	}
	l.pass += memory * (passed - l.pass)
	if l.took == 0 {
		l.took = took
	}
	l.took += time.Duration(memory * float64(took-l.took))
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
	return p.lookup(c.Name, class, model).pass >= unratedPass
}

// RecordReleased takes the rating of an answer that went out and moves the bound.
func (p *Planner) RecordReleased(c *config.Cascade, rating float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bound(c)
	b.mean += memory * (rating - b.mean)
	b.shift -= thresholdStep * (b.mean - c.QualityTarget)
	b.shift = max(-thresholdSlack, min(thresholdSlack, b.shift))
}

// Threshold returns the present bound for release.
func (p *Planner) Threshold(c *config.Cascade) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.threshold(c)
}

func (p *Planner) threshold(c *config.Cascade) float64 {
	return max(0, min(1, c.MinRating+p.bound(c).shift))
}

func (p *Planner) bound(c *config.Cascade) *bound {
	b := p.bounds[c.Name]
	if b == nil {
		b = &bound{mean: c.QualityTarget}
		p.bounds[c.Name] = b
	}
	return b
}
