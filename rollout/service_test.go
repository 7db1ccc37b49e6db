package rollout_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/timer"
)

var runners = []registry.Server{{ID: "old-1", Version: "v1"}, {ID: "old-2", Version: "v1"}, {ID: "new-1", Version: "v2"}}

func services(t *testing.T, stages string) *rollout.Services {
	picker := rollout.NewPicker()
	must.NoError(t, picker.Take(document.Item{Data: []byte(stages), Revision: 1}))
	s := rollout.NewServices(picker, 0.1)
	s.Take(rollout.Order{Service: "s", Target: "v2", Period: 20 * time.Second})
	return s
}

// TestServicesChoose lists which servers get a request at each stage.
func TestServicesChoose(t *testing.T) {
	stage := func(fields string) string { return `{"models": {"s": {"version": "v2", ` + fields + `}}}` }
	tests := []struct {
		name    string
		stages  string
		servers []registry.Server
		// share of the requests that go to the target.
		share float64
	}{
		{"not begun", `{}`, runners, 0},
		{"share not known yet", stage(`"stage": 0`), runners, 0},
		{"first stage", stage(`"stage": 0, "share": 0.05`), runners, 0.05},
		{"second stage", stage(`"stage": 1`), runners, 0.3},
		{"last stage", stage(`"stage": 2`), runners, 1},
		{"complete", stage(`"stage": 2, "verdict": "complete"`), runners, 1},
		{"stopped", stage(`"stage": 1, "verdict": "stopped"`), runners, 0},
		{"target not there yet", stage(`"stage": 2`), runners[:2], 0},
		{"old ones gone", stage(`"stage": 0, "share": 0.05`), runners[2:], 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := services(t, tt.stages)
			const keys = 2000
			target := 0
			for i := range keys {
				servers, version := s.Choose("s", fmt.Sprint(i), "", tt.servers)
				must.SliceNotEmpty(t, servers)
				if version == "v2" {
					target++
				}
				for _, chosen := range servers {
					must.Eq(t, version == "v2", chosen.Version == "v2")
				}
			}
			must.Between(t, tt.share-0.03, float64(target)/keys, tt.share+0.03)
		})
	}
}

// TestStoppedGetsNothing: with no other server left, a stopped version still
// gets nothing.
func TestStoppedGetsNothing(t *testing.T) {
	s := services(t, `{"models": {"s": {"version": "v2", "verdict": "stopped"}}}`)
	servers, _ := s.Choose("s", "k", "", runners[2:])
	must.SliceEmpty(t, servers)
}

// TestShareStaysStill: within a stage a session stays on its side, and from
// stage to stage it only moves to the target.
func TestShareStaysStill(t *testing.T) {
	stages := []string{`"stage": 0, "share": 0.05`, `"stage": 1`, `"stage": 2`}
	for i := range 500 {
		reached := false
		for _, fields := range stages {
			s := services(t, `{"models": {"s": {"version": "v2", `+fields+`}}}`)
			_, version := s.Choose("s", fmt.Sprint(i), "", runners)
			must.True(t, !reached || version == "v2")
			reached = version == "v2"
		}
		must.True(t, reached)
	}
}

// TestRequestStays: a request that is sent once more stays on its version,
// except when that is stopped or has no servers.
func TestRequestStays(t *testing.T) {
	running := `{"models": {"s": {"version": "v2", "stage": 2}}}`
	stopped := `{"models": {"s": {"version": "v2", "verdict": "stopped"}}}`
	tests := []struct {
		stages, before string
		servers        []registry.Server
		want           string
	}{
		{running, "in-service", runners, "in-service"},
		{running, "v2", runners, "v2"},
		{running, "in-service", runners[2:], "v2"},
		{running, "v2", runners[:2], "in-service"},
		{stopped, "v2", runners, "in-service"},
	}
	for _, tt := range tests {
		_, version := services(t, tt.stages).Choose("s", "k", tt.before, tt.servers)
		must.Eq(t, tt.want, version, must.Sprintf("%+v", tt))
	}
}

// TestSessionsUnderWay: sessions that had a request just before the first
// stage's share is set stay on the old version during that stage, also at
// nodes that have not seen them.
func TestSessionsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seenAt, elsewhere := rollout.NewPicker(), rollout.NewPicker()
		a, b := rollout.NewServices(seenAt, 0.1), rollout.NewServices(elsewhere, 0.1)
		for _, s := range []*rollout.Services{a, b} {
			s.Take(rollout.Order{Service: "s", Target: "v2", Period: 20 * time.Second})
		}
		w := &driverWorld{token: 1}
		d := rollout.NewDriver("rollouts", w, w, w, a.Models, timer.New())
		step := func() {
			w.counts = map[string]rollout.Counts{"a": seenAt.Counts(), "b": elsewhere.Counts()}
			d.Step(context.Background(), 1)
			for _, p := range []*rollout.Picker{seenAt, elsewhere} {
				must.NoError(t, p.Take(document.Item{Data: w.stored, Revision: int64(w.writes)}))
			}
		}
		step()
		const sessions = 400
		for i := range sessions / 2 {
			a.Choose("s", fmt.Sprint("gone", i), "", runners)
		}
		time.Sleep(6 * time.Second)
		for i := range sessions {
			a.Choose("s", fmt.Sprint(i), "", runners)
		}
		step()
		moved := func(name string) (moved int) {
			for i := range sessions {
				if _, version := b.Choose("s", fmt.Sprint(name, i), "", runners); version == "v2" {
					moved++
				}
			}
			return moved
		}
		must.Eq(t, 0, moved(""), must.Sprint("under way"))
		must.Positive(t, moved("other"))
		must.Positive(t, moved("gone"))
	})
}

// TestNoOrder: without an order all servers are one.
func TestNoOrder(t *testing.T) {
	s := services(t, `{}`)
	servers, version := s.Choose("other", "k", "", runners)
	must.Eq(t, runners, servers)
	must.Eq(t, "", version)
	s.Drop("s")
	servers, _ = s.Choose("s", "k", "", runners)
	must.Eq(t, runners, servers)
}

// TestServiceDriver follows an order through its stages: the share follows
// from the number of requests, and it is complete only when nothing runs on
// the old servers.
func TestServiceDriver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &driverWorld{token: 1, counts: map[string]rollout.Counts{}}
		s := services(t, `{}`)
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

// TestLoaded: a stage's share falls on so few of the target's servers that
// each carries more than it will carry in the end; all nodes take the same ones.
func TestLoaded(t *testing.T) {
	var many []registry.Server
	for i := range 40 {
		many = append(many, registry.Server{ID: fmt.Sprint("old", i), Version: "v1"}, registry.Server{ID: fmt.Sprint("new", i), Version: "v2"})
	}
	stage := func(fields string) string { return `{"models": {"s": {"version": "v2", ` + fields + `}}}` }
	var last []registry.Server
	for _, tt := range []struct {
		stages string
		want   int
	}{{stage(`"stage": 0, "share": 0.01`), 2}, {stage(`"stage": 0, "share": 0.05`), 2}, {stage(`"stage": 1`), 7}, {stage(`"stage": 2`), 40}} {
		servers, _ := services(t, tt.stages).Choose("s", "k", "v2", many)
		must.Len(t, tt.want, servers)
		must.SliceContainsSubset(t, servers, last)
		again, _ := services(t, tt.stages).Choose("s", "other", "v2", many)
		must.SliceContainsAll(t, servers, again)
		last = servers
	}
}

// TestSlowWithoutUsual: a node that never saw the version in service goes by
// the objective.
func TestSlowWithoutUsual(t *testing.T) {
	picker := rollout.NewPicker()
	s := rollout.NewServices(picker, 0.1)
	for _, wait := range []time.Duration{60, 290, 310, 480} {
		s.Count("s", "v2", rollout.Answer{Kind: "look", Wait: wait * time.Millisecond, Objective: 300 * time.Millisecond})
	}
	s.Count("s", "v2", rollout.Answer{Kind: "look", Wait: time.Minute})
	must.Eq(t, 2, picker.Counts()["s@v2"].Slow)
}

// judged drives a roll-out in its second stage one step on by what a node has
// counted, and returns how it then stands.
func judged(t *testing.T, count func(s *rollout.Services)) rollout.Progress {
	picker := rollout.NewPicker()
	s := rollout.NewServices(picker, 0.1)
	s.Take(rollout.Order{Service: "s", Target: "v2", Period: time.Minute})
	w := &driverWorld{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 1}}}`)}
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
func TestLateVersion(t *testing.T) {
	p := judged(t, func(s *rollout.Services) {
		for i := range 300 {
			s.Count("s", "in-service", rollout.Answer{Kind: "look", Wait: 60 * time.Millisecond})
			s.Count("s", "v2", rollout.Answer{Kind: "look", Wait: 160 * time.Millisecond, Late: i%2 == 0})
		}
	})
	must.Eq(t, rollout.VerdictStopped, p.Verdict)
}

// TestSlowVersion: answers that take several times as long as in service stop
// the target; answers that are long in both versions do not.
func TestSlowVersion(t *testing.T) {
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
			p := judged(t, func(s *rollout.Services) {
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
func TestOftenBad(t *testing.T) {
	for _, tt := range []struct {
		usual int64
		want  rollout.Verdict
	}{{0, rollout.VerdictStopped}, {30, rollout.VerdictRunning}} {
		w := &driverWorld{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 1}}}`)}
		d := rollout.NewDriver("rollouts", w, w, w, services(t, `{}`).Models, timer.New())
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
		w := &driverWorld{token: 1, counts: map[string]rollout.Counts{}, stored: []byte(`{"models": {"s": {"version": "v2", ` + fields + `}}}`)}
		d := rollout.NewDriver("rollouts", w, w, w, services(t, `{}`).Models, timer.New())
		w.counts["n"] = rollout.Counts{"s@in-service": {Answers: 500, Bad: 5}, "s@v2": {Answers: 30, Bad: 10}}
		d.Step(context.Background(), 1)
		var stages rollout.Stages
		must.NoError(t, json.Unmarshal(w.stored, &stages))
		must.Eq(t, rollout.VerdictStopped, stages.Models["s"].Verdict, must.Sprintf("stage %d", stage))
	}
}
