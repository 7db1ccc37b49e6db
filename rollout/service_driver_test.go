package rollout_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/timer"
)

// TestServiceDriver runs an order through its stages. The first stage's share follows
// from the request rate, and the rollout completes only when no request runs on
// the old servers.
func TestServiceDriver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeCluster{token: 1, counts: map[string]rollout.Counts{}}
		s := newServicePicker(t, `{}`)
		d := rollout.NewDriver("rollouts", c, c, c, s.Models, timer.New())
		progress := func() rollout.Progress {
			var stages rollout.Stages
			must.NoError(t, json.Unmarshal(c.stored, &stages))
			return stages.Models["s"]
		}
		step := func(wait time.Duration, old, target rollout.Count) rollout.Progress {
			time.Sleep(wait)
			c.counts["n"] = rollout.Counts{"s@in-service": old, "s@v2": target}
			d.Step(context.Background(), 1)
			return progress()
		}
		must.Eq(t, 0, step(0, rollout.Count{}, rollout.Count{}).Share)
		must.Eq(t, 0, step(time.Second, rollout.Count{Answers: 50}, rollout.Count{}).Share)
		// 300 requests per second in the remaining 8.4 s of the stage.
		p := step(time.Second, rollout.Count{Answers: 540, Running: 60}, rollout.Count{})
		must.Between(t, 0.087, p.Share, 0.088)
		must.Eq(t, 0, step(4*time.Second, rollout.Count{Answers: 600}, rollout.Count{Answers: 20}).Stage)
		must.Eq(t, 1, step(5*time.Second, rollout.Count{Answers: 1000}, rollout.Count{Answers: 40}).Stage)
		must.Eq(t, 2, step(4*time.Second, rollout.Count{Answers: 1200}, rollout.Count{Answers: 100}).Stage)
		must.Eq(t, rollout.VerdictRunning, step(2*time.Second, rollout.Count{Answers: 1200, Running: 1}, rollout.Count{Answers: 300}).Verdict)
		writes := c.writes
		step(time.Second, rollout.Count{Answers: 1200, Running: 1}, rollout.Count{Answers: 400})
		must.Eq(t, writes, c.writes, must.Sprint("nothing is written while waiting for the old servers"))
		must.Eq(t, rollout.VerdictComplete, step(time.Second, rollout.Count{Answers: 1201}, rollout.Count{Answers: 500}).Verdict)
	})
}

// stepWithCounts takes one step of a rollout in its second stage with the counts that
// count records on a node, and returns the resulting progress.
func stepWithCounts(t *testing.T, count func(s *rollout.ServicePicker)) rollout.Progress {
	picker := rollout.NewPicker()
	s := rollout.NewServicePicker(picker, 0.1)
	s.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: time.Minute})
	c := &fakeCluster{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 1}}}`)}
	d := rollout.NewDriver("rollouts", c, c, c, s.Models, timer.New())
	count(s)
	c.counts = map[string]rollout.Counts{"n": picker.Counts()}
	d.Step(context.Background(), 1)
	stages, err := rollout.DecodeStages(c.stored)
	must.NoError(t, err)
	return stages.Models["s"]
}

// TestLateAnswersStopVersion checks that a version is stopped if its requests are
// moved to other servers before their responses could be counted as slow.
func TestLateAnswersStopVersion(t *testing.T) {
	p := stepWithCounts(t, func(s *rollout.ServicePicker) {
		for i := range 300 {
			s.Count("s", "in-service", rollout.Sample{Kind: "look", Wait: 60 * time.Millisecond})
			s.Count("s", "v2", rollout.Sample{Kind: "look", Wait: 160 * time.Millisecond, Late: i%2 == 0})
		}
	})
	must.Eq(t, rollout.VerdictStopped, p.Verdict)
}

// TestSlowAnswersStopVersion checks that responses that take several times as long as
// in service stop the target, and that responses that are slow in both versions do
// not.
func TestSlowAnswersStopVersion(t *testing.T) {
	tests := []struct {
		name string
		// wait is the wait of every second response of the target, as a multiple of
		// that in service.
		wait time.Duration
		want rollout.Verdict
	}{
		{"eight times", 8, rollout.VerdictStopped},
		{"twice", 2, rollout.VerdictRunning},
		{"empty prompt caches", 1, rollout.VerdictRunning},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := stepWithCounts(t, func(s *rollout.ServicePicker) {
				for i := range 300 {
					wait := 100 * time.Millisecond
					if i%50 == 0 {
						wait *= 20
					}
					s.Count("s", "in-service", rollout.Sample{Kind: "k", Wait: wait})
					if i%2 == 0 {
						wait *= tt.wait
					}
					if tt.wait == 1 && i%8 == 0 {
						wait *= 8
					}
					if i%5 == 0 {
						s.Count("s", "v2", rollout.Sample{Kind: "k", Wait: wait})
					}
				}
			})
			must.Eq(t, tt.want, p.Verdict, must.Sprint(p.Reason))
		})
	}
}

// TestFineBadIncrease checks that a few failures in many responses stop the target if
// the version in service never fails, but not if it fails as often.
func TestFineBadIncrease(t *testing.T) {
	for _, tt := range []struct {
		baselineBad int64
		want        rollout.Verdict
	}{{0, rollout.VerdictStopped}, {30, rollout.VerdictRunning}} {
		c := &fakeCluster{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 1}}}`)}
		d := rollout.NewDriver("rollouts", c, c, c, newServicePicker(t, `{}`).Models, timer.New())
		c.counts = map[string]rollout.Counts{"n": {"s@in-service": {Answers: 3000, Bad: tt.baselineBad}, "s@v2": {Answers: 500, Bad: 5}}}
		d.Step(context.Background(), 1)
		stages, err := rollout.DecodeStages(c.stored)
		must.NoError(t, err)
		must.Eq(t, tt.want, stages.Models["s"].Verdict)
	}
}

// TestServiceDriverStops checks that failures of the target stop it in every stage.
func TestServiceDriverStops(t *testing.T) {
	for stage, fields := range []string{`"stage": 0, "share": 0.05`, `"stage": 1`, `"stage": 2`} {
		c := &fakeCluster{token: 1, counts: map[string]rollout.Counts{}, stored: []byte(`{"models": {"s": {"version": "v2", ` + fields + `}}}`)}
		d := rollout.NewDriver("rollouts", c, c, c, newServicePicker(t, `{}`).Models, timer.New())
		c.counts["n"] = rollout.Counts{"s@in-service": {Answers: 500, Bad: 5}, "s@v2": {Answers: 30, Bad: 10}}
		d.Step(context.Background(), 1)
		var stages rollout.Stages
		must.NoError(t, json.Unmarshal(c.stored, &stages))
		must.Eq(t, rollout.VerdictStopped, stages.Models["s"].Verdict, must.Sprintf("stage %d", stage))
	}
}
