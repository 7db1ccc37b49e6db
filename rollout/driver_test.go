package rollout_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/timer"
)

// TestNodesGo: what nodes counted that have gone counts on, under the next
// driver too, and once only if a node was merely out of reach.
func TestNodesGo(t *testing.T) {
	s := services(t, `{}`)
	s.Take(rollout.Order{Service: "s", Target: "v2", Period: time.Minute})
	w := &driverWorld{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 1}}}`)}
	newDriver := func() *rollout.Driver { return rollout.NewDriver("rollouts", w, w, w, s.Models, timer.New()) }
	progress := func() rollout.Progress {
		var stages rollout.Stages
		must.NoError(t, json.Unmarshal(w.stored, &stages))
		return stages.Models["s"]
	}
	counted := func(answers, bad int64) rollout.Counts {
		return rollout.Counts{"s@v2": {Answers: answers, Bad: bad}, "s@in-service": {Answers: 5 * answers}}
	}
	steps := func(d *rollout.Driver, n int, counts map[string]rollout.Counts) {
		w.counts = counts
		for range n {
			d.Step(context.Background(), 1)
		}
	}
	first := newDriver()
	steps(first, 1, map[string]rollout.Counts{"a": counted(20, 2), "b": counted(20, 0)})
	steps(first, 5, map[string]rollout.Counts{"b": counted(20, 0)})
	must.Eq(t, rollout.Tally{Answers: 20, Bad: 2}, progress().Gone)
	must.Eq(t, rollout.Tally{Answers: 100}, progress().GoneInService)
	// The node answers again, and goes again.
	steps(first, 1, map[string]rollout.Counts{"a": counted(25, 2), "b": counted(20, 0)})
	steps(first, 5, map[string]rollout.Counts{"b": counted(20, 0)})
	must.Eq(t, rollout.Tally{Answers: 25, Bad: 2}, progress().Gone)
	must.Eq(t, rollout.VerdictRunning, progress().Verdict)
	// The next driver has the failures of all: seven of sixty-five.
	steps(newDriver(), 1, map[string]rollout.Counts{"c": counted(40, 5)})
	must.Eq(t, rollout.VerdictStopped, progress().Verdict)
}
