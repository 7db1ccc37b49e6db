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
		{"sure", 3, 0, 90, false, 0, false},
		{"just sure", 3, 0, 65, false, 0, false},
		{"nearly sure", 3, 0, 64, false, 1, true},
		{"even", 3, 0, 49, false, 1, true},
		{"nearly sure, one answer left", 3, 0, 49, true, 2, true},
		{"unsure", 3, 0, 20, false, 2, true},
		{"the next one is nearly sure", 3, 1, 40, false, 2, true},
		{"the costliest is unsure", 3, 2, 5, false, 0, false},
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

// TestLadderFirst: an answer that could not be dropped comes from the costliest
// model.
func TestConfidencePolicyFirst(t *testing.T) {
	p := cascade.NewConfidencePolicy()
	must.Eq(t, 0, p.First(3, true))
	must.Eq(t, 2, p.First(3, false))
	must.Eq(t, 0, p.First(1, false))
}

// TestLadderPays: a costlier model is asked where a poor answer is likely and
// its own comes in time; the more there is to wait for it, the surer that must
// be.
func TestConfidencePolicyWorthEscalating(t *testing.T) {
	const objective = 4 * time.Second
	tests := []struct {
		name                         string
		confidence                   float64
		wait, serviceTime, remaining time.Duration
		want                         bool
	}{
		{"poor, and idle", 10, 0, time.Second, objective, true},
		{"as likely good", 50, 0, time.Second, objective, true},
		{"likely good", 55, 0, time.Second, objective, false},
		{"as likely good, and others wait", 50, 500 * time.Millisecond, time.Second, objective, false},
		{"poor, and others wait", 10, 500 * time.Millisecond, time.Second, objective, true},
		{"poor, and very many wait", 10, 2500 * time.Millisecond, time.Second, objective, false},
		{"poor, but late", 10, 0, time.Second, 500 * time.Millisecond, false},
		{"nothing is left", 10, 0, time.Second, -time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := cascade.Escalation{Confidence: tt.confidence, Wait: tt.wait, ServiceTime: tt.serviceTime, Remaining: tt.remaining, Objective: objective}
			must.Eq(t, tt.want, cascade.NewConfidencePolicy().WorthEscalating(e))
		})
	}
	must.True(t, cascade.NewConfidencePolicy().WorthEscalating(cascade.Escalation{Wait: time.Hour}), must.Sprint("no objective"))
}
