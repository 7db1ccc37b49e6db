package cascade_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/cascade"
)

func TestLadder(t *testing.T) {
	tests := []struct {
		name       string
		n, step    int
		confidence float64
		last       bool
		next       int
		escalates  bool
	}{
		{"sure", 3, 0, 90, false, 0, false},
		{"just sure", 3, 0, 50, false, 0, false},
		{"nearly sure", 3, 0, 49, false, 1, true},
		{"nearly sure, one answer left", 3, 0, 49, true, 2, true},
		{"unsure", 3, 0, 20, false, 2, true},
		{"the next one is nearly sure", 3, 1, 40, false, 2, true},
		{"the costliest is unsure", 3, 2, 5, false, 0, false},
		{"two models", 2, 0, 49, false, 1, true},
		{"one model", 1, 0, 5, false, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, escalates := cascade.NewLadder().Next(tt.n, tt.step, tt.confidence, tt.last)
			must.Eq(t, tt.escalates, escalates)
			must.Eq(t, tt.next, next)
		})
	}
}

// TestLadderFirst: an answer that could not be dropped comes from the costliest
// model.
func TestLadderFirst(t *testing.T) {
	l := cascade.NewLadder()
	must.Eq(t, 0, l.First(3, true))
	must.Eq(t, 2, l.First(3, false))
	must.Eq(t, 0, l.First(1, false))
}
