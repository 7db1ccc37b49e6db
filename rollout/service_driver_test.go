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

// TestServiceDriver follows an order through its stages: the share follows
// from the number of requests, and it is complete only when nothing runs on
// the old servers.
func TestServiceDriver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeCluster{token: 1, counts: map[string]rollout.Counts{}}
		s := newServicePicker(t, `{}`)
		d := rollout.NewDriver("rollouts", w, w, w, s.Models, timer.New())
		progress := func() rollout.Progress {
			var stages rollout.Stages
			must.NoError(t, json.Unmarshal(w.stored, &stages))
			return stages.Models["s"]
		}
		step := func(wait time.Duration, old, target rollout.Count) rollout.Progress {
			time.Sleep(wait)
			w.counts["n"] = rollout.Counts{"s@in-service": old, "s@v2": target}
			d.Step(context.Background(), 1)
			return progress()
		}
		must.Eq(t, 0, step(0, rollout.Count{}, rollout.Count{}).Share)
		must.Eq(t, 0, step(time.Second, rollout.Count{Answers: 50}, rollout.Count{}).Share)
		// 300 requests a second in the 8.4 s that are left of the stage.
		p := step(time.Second, rollout.Count{Answers: 540, Running: 60}, rollout.Count{})
		must.Between(t, 0.087, p.Share, 0.088)
		must.Eq(t, 0, step(4*time.Second, rollout.Count{Answers: 600}, rollout.Count{Answers: 20}).Stage)
		must.Eq(t, 1, step(5*time.Second, rollout.Count{Answers: 1000}, rollout.Count{Answers: 40}).Stage)
		must.Eq(t, 2, step(4*time.Second, rollout.Count{Answers: 1200}, rollout.Count{Answers: 100}).Stage)
		must.Eq(t, rollout.VerdictRunning, step(2*time.Second, rollout.Count{Answers: 1200, Running: 1}, rollout.Count{Answers: 300}).Verdict)
		writes := w.writes
		step(time.Second, rollout.Count{Answers: 1200, Running: 1}, rollout.Count{Answers: 400})
		must.Eq(t, writes, w.writes, must.Sprint("waiting for the old servers writes nothing"))
		must.Eq(t, rollout.VerdictComplete, step(time.Second, rollout.Count{Answers: 1201}, rollout.Count{Answers: 500}).Verdict)
	})
}

// stepWithCounts drives a roll-out in its second stage one step on by what a node has
// counted, and returns how it then stands.
func stepWithCounts(t *testing.T, count func(s *rollout.ServicePicker)) rollout.Progress {
	picker := rollout.NewPicker()
	s := rollout.NewServicePicker(picker, 0.1)
	s.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: time.Minute})
	w := &fakeCluster{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 1}}}`)}
	d := rollout.NewDriver("rollouts", w, w, w, s.Models, timer.New())
	count(s)
	w.counts = map[string]rollout.Counts{"n": picker.Counts()}
	d.Step(context.Background(), 1)
	stages, err := rollout.DecodeStages(w.stored)
	must.NoError(t, err)
	return stages.Models["s"]
}

// TestLateVersion: a version whose requests are taken to other servers before
// they could be slow is stopped all the same.
func TestLateAnswersStopVersion(t *testing.T) {
	p := stepWithCounts(t, func(s *rollout.ServicePicker) {
		for i := range 300 {
			s.Count("s", "in-service", rollout.Answer{Kind: "look", Wait: 60 * time.Millisecond})
			s.Count("s", "v2", rollout.Answer{Kind: "look", Wait: 160 * time.Millisecond, Late: i%2 == 0})
		}
	})
	must.Eq(t, rollout.VerdictStopped, p.Verdict)
}

// TestSlowVersion: answers that take several times as long as in service stop
// the target; answers that are long in both versions do not.
func TestSlowAnswersStopVersion(t *testing.T) {
	tests := []struct {
		name string
		// wait is the target's, as a multiple of the usual one, of each
		// second answer.
		wait time.Duration
		want rollout.Verdict
	}{
		{"eight times", 8, rollout.VerdictStopped},
		{"twice", 2, rollout.VerdictRunning},
		{"no prompts read yet", 1, rollout.VerdictRunning},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := stepWithCounts(t, func(s *rollout.ServicePicker) {
				for i := range 300 {
					usual := 100 * time.Millisecond
					if i%50 == 0 {
						usual *= 20
					}
					s.Count("s", "in-service", rollout.Answer{Kind: "k", Wait: usual})
					if i%2 == 0 {
						usual *= tt.wait
					}
					if tt.wait == 1 && i%8 == 0 {
						usual *= 8
					}
					if i%5 == 0 {
						s.Count("s", "v2", rollout.Answer{Kind: "k", Wait: usual})
					}
				}
			})
			must.Eq(t, tt.want, p.Verdict, must.Sprint(p.Reason))
		})
	}
}

// TestOftenBad: few failures in many answers stop a version that never fails
// in service, and do not stop one that fails as often in service.
func TestFineBadIncrease(t *testing.T) {
	for _, tt := range []struct {
		usual int64
		want  rollout.Verdict
	}{{0, rollout.VerdictStopped}, {30, rollout.VerdictRunning}} {
		w := &fakeCluster{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 1}}}`)}
		d := rollout.NewDriver("rollouts", w, w, w, newServicePicker(t, `{}`).Models, timer.New())
		w.counts = map[string]rollout.Counts{"n": {"s@in-service": {Answers: 3000, Bad: tt.usual}, "s@v2": {Answers: 500, Bad: 5}}}
		d.Step(context.Background(), 1)
		stages, err := rollout.DecodeStages(w.stored)
		must.NoError(t, err)
		must.Eq(t, tt.want, stages.Models["s"].Verdict)
	}
}

// TestServiceDriverStops: failures of the target stop it in each stage.
func TestServiceDriverStops(t *testing.T) {
	for stage, fields := range []string{`"stage": 0, "share": 0.05`, `"stage": 1`, `"stage": 2`} {
		w := &fakeCluster{token: 1, counts: map[string]rollout.Counts{}, stored: []byte(`{"models": {"s": {"version": "v2", ` + fields + `}}}`)}
		d := rollout.NewDriver("rollouts", w, w, w, newServicePicker(t, `{}`).Models, timer.New())
		w.counts["n"] = rollout.Counts{"s@in-service": {Answers: 500, Bad: 5}, "s@v2": {Answers: 30, Bad: 10}}
		d.Step(context.Background(), 1)
		var stages rollout.Stages
		must.NoError(t, json.Unmarshal(w.stored, &stages))
		must.Eq(t, rollout.VerdictStopped, stages.Models["s"].Verdict, must.Sprintf("stage %d", stage))
	}
}
