package cascade_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/cascade"
)

func TestConfidencePolicyNext(t *testing.T) {
	tests := []struct {
		name       string
		n, step    int
		confidence float64
		last       bool
		next       int
		escalates  bool
	}{
		{"high confidence", 3, 0, 90, false, 0, false},
		{"at the release limit", 3, 0, 65, false, 0, false},
		{"below the release limit", 3, 0, 64, false, 1, true},
		{"medium confidence", 3, 0, 49, false, 1, true},
		{"medium confidence, one answer left", 3, 0, 49, true, 2, true},
		{"low confidence", 3, 0, 20, false, 2, true},
		{"second model, medium confidence", 3, 1, 40, false, 2, true},
		{"costliest model, low confidence", 3, 2, 5, false, 0, false},
		{"two models", 2, 0, 49, false, 1, true},
		{"one model", 1, 0, 5, false, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, escalates := cascade.NewConfidencePolicy().Next(tt.n, tt.step, tt.confidence, tt.last)
			must.Eq(t, tt.escalates, escalates)
			must.Eq(t, tt.next, next)
		})
	}
}

// TestConfidencePolicyFirst checks that the costliest model answers first if an
// answer could not be discarded.
func TestConfidencePolicyFirst(t *testing.T) {
	p := cascade.NewConfidencePolicy()
	must.Eq(t, 0, p.First(3, true))
	must.Eq(t, 2, p.First(3, false))
	must.Eq(t, 0, p.First(1, false))
}

// TestConfidencePolicyWorthEscalating checks that a costlier model is asked if
// the present answer is likely poor and the new one comes in time, and that a
// longer queue requires a higher probability.
func TestConfidencePolicyWorthEscalating(t *testing.T) {
	const objective = 4 * time.Second
	tests := []struct {
		name                         string
		confidence                   float64
		wait, serviceTime, remaining time.Duration
		want                         bool
	}{
		{"poor, no queue", 10, 0, time.Second, objective, true},
		{"even odds, no queue", 50, 0, time.Second, objective, true},
		{"probably good, no queue", 55, 0, time.Second, objective, false},
		{"even odds, short queue", 50, 500 * time.Millisecond, time.Second, objective, false},
		{"poor, short queue", 10, 500 * time.Millisecond, time.Second, objective, true},
		{"poor, long queue", 10, 2500 * time.Millisecond, time.Second, objective, false},
		{"poor, but the new answer is late", 10, 0, time.Second, 500 * time.Millisecond, false},
		{"poor, but the objective has passed", 10, 0, time.Second, -time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := cascade.Escalation{Confidence: tt.confidence, Wait: tt.wait, ServiceTime: tt.serviceTime, Remaining: tt.remaining, Objective: objective}
			must.Eq(t, tt.want, cascade.NewConfidencePolicy().WorthEscalating(e))
		})
	}
	must.True(t, cascade.NewConfidencePolicy().WorthEscalating(cascade.Escalation{Wait: time.Hour}), must.Sprint("no objective"))
}
