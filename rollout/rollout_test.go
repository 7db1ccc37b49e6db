package rollout_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/timer"
)

var guards = config.Guards{BadRating: 0.5, MaxBadIncrease: 0.1, FalseAlarmRate: 0.01}

// baselineBadRate is the rate of bad answers of the version in service.
const baselineBadRate = 0.05

// answersUntilStopped runs the sequential test on answers of a version whose bad rate
// is higher by increase after turnsBadAt answers. It returns the number of answers
// from then until the version is stopped, or until limit if it is not stopped.
func answersUntilStopped(random *rand.Rand, increase float64, turnsBadAt, limit int) int {
	test := &rollout.SequentialTest{}
	candidate, baseline := rollout.Count{}, rollout.Count{Answers: 2000, Bad: 100}
	for n := 1; n <= limit; n++ {
		rate := baselineBadRate
		if n > turnsBadAt {
			rate += increase
		}
		candidate.Answers++
		if random.Float64() < rate {
			candidate.Bad++
		}
		if test.Update(guards, limit, candidate, baseline) {
			return n - turnsBadAt
		}
	}
	return limit - turnsBadAt
}

// judgeFixedStage is the alternative for comparison: it judges a version once, at
// the end of a stage of 500 answers.
func judgeFixedStage(random *rand.Rand, increase float64) (answers int, stopped bool) {
	const stage = 500
	bad := 0
	for range stage {
		if random.Float64() < baselineBadRate+increase {
			bad++
		}
	}
	return stage, float64(bad)/stage > baselineBadRate+guards.MaxBadIncrease/2
}

// TestExposure measures the sequential test over many random runs: how many answers a
// bad version gives before it is stopped, and how often a good version is stopped.
// It logs the results of a stage of fixed size for comparison.
func TestExposure(t *testing.T) {
	const runs, limit = 200, 2000
	mean := make(map[float64]float64)
	for _, increase := range []float64{0, 0.1, 0.2, 0.5, 0.9} {
		random := rand.New(rand.NewPCG(1, uint64(increase*100)))
		total, stopped, lateTotal, fixedStopped := 0, 0, 0, 0
		for range runs {
			n := answersUntilStopped(random, increase, 0, limit)
			total += n
			if n < limit {
				stopped++
			}
			lateTotal += answersUntilStopped(random, increase, 500, limit+500)
			if _, stops := judgeFixedStage(random, increase); stops {
				fixedStopped++
			}
		}
		mean[increase] = float64(total) / runs
		t.Logf("worse by %.1f: stopped in %d of %d runs, after %.0f answers on average; %.0f if it turns bad after 500; a fixed stage: 500 answers, stopped in %d",
			increase, stopped, runs, mean[increase], float64(lateTotal)/runs, fixedStopped)
		if increase == 0 {
			must.LessEq(t, runs/20, stopped, must.Sprint("false alarms within 2000 answers"))
		} else {
			must.Eq(t, runs, stopped)
		}
	}
	must.Less(t, 20, mean[0.5])
	must.Less(t, 10, mean[0.9])
}

// fakeCluster provides a driver with an in-memory store, the counts of nodes and a
// lease that is always held.
type fakeCluster struct {
	stored []byte
	counts map[string]rollout.Counts
	token  int64
	writes int
}

func (c *fakeCluster) Update(_ context.Context, _ string, change func([]byte) ([]byte, error)) (document.Item, error) {
	data, err := change(c.stored)
	if err != nil {
		return document.Item{}, err
	}
	c.stored = data
	c.writes++
	return document.Item{Data: data, Revision: int64(c.writes)}, nil
}

func (c *fakeCluster) Collect(context.Context) map[string]rollout.Counts { return c.counts }

func (c *fakeCluster) Held(time.Duration) (int64, bool) { return c.token, true }

func snapshot(t *testing.T) *config.Snapshot {
	c := config.Config{
		Pools: []config.Pool{{Name: "p", Servers: []config.Server{{Name: "s", URL: "http://127.0.0.1:1", Slots: 1}}}},
		Models: []config.Model{{
			Name:     "m",
			Versions: []config.Version{{Name: "v1", Pool: "p"}, {Name: "v2", State: config.VersionRollingOut, Pool: "p"}},
			Rollout:  &config.Rollout{Version: "v2", Stages: []config.Stage{{Share: 0.1, MinSamples: 10}, {Share: 1, MinSamples: 10}}, Guards: guards},
		}},
	}
	source, err := json.Marshal(c)
	must.NoError(t, err)
	s, faults := config.NewSnapshot(config.Document{Revision: 1, Source: string(source)})
	must.SliceEmpty(t, faults)
	return s
}

// TestDriver advances a rollout, continues it with another driver, and checks that a
// driver with an outdated fencing token cannot write.
func TestDriver(t *testing.T) {
	c := &fakeCluster{token: 5, counts: map[string]rollout.Counts{}}
	s := snapshot(t)
	newDriver := func() *rollout.Driver {
		return rollout.NewDriver("rollouts", c, c, c, s.Models, timer.New())
	}
	progress := func() rollout.Progress {
		stages, err := rollout.DecodeStages(c.stored)
		must.NoError(t, err)
		return stages.Models["m"]
	}
	m := &s.Models()[0]
	step := func(d *rollout.Driver, token int64, answers, bad int64) {
		c.counts["n1"] = rollout.Counts{rollout.CountKey(m, "v2"): {Answers: answers, Bad: bad}, rollout.CountKey(m, "v1"): {Answers: 1000, Bad: 50}}
		d.Step(t.Context(), token)
	}
	first, second := newDriver(), newDriver()
	step(first, 5, 0, 0)
	must.Eq(t, rollout.Progress{Version: "v2", Order: progress().Order, Stage: 0, StageSince: progress().StageSince, Reason: "started", Requests: 1000}, progress())
	step(first, 5, 10, 0)
	must.Eq(t, 1, progress().Stage)
	step(second, 7, 12, 0)
	must.Eq(t, 1, progress().Stage, must.Sprint("the new driver resumes the rollout"))
	step(second, 7, 20, 0)
	must.Eq(t, rollout.VerdictComplete, progress().Verdict)

	c.stored = []byte(`{"token": 9, "models": {"m": {"version": "v2"}}}`)
	before := string(c.stored)
	step(first, 5, 50, 50)
	must.Eq(t, before, string(c.stored), must.Sprint("a driver with an older token must not write"))
	step(newDriver(), 9, 100, 60)
	must.Eq(t, rollout.VerdictStopped, progress().Verdict)
}

// TestPick checks the share of sessions that get the candidate in each state.
func TestPick(t *testing.T) {
	m := snapshot(t).Model("m")
	all := func(string) bool { return true }
	tests := []struct {
		name    string
		stages  string
		allowed func(string) bool
		want    float64
	}{
		{"no stage yet", `{}`, all, 0},
		{"first stage", `{"models": {"m": {"version": "v2"}}}`, all, 0.1},
		{"complete", `{"models": {"m": {"version": "v2", "stage": 1, "verdict": "complete"}}}`, all, 1},
		{"stopped", `{"models": {"m": {"version": "v2", "verdict": "stopped"}}}`, all, 0},
		{"stage of another version", `{"models": {"m": {"version": "v0", "verdict": "complete"}}}`, all, 0},
		{"only the candidate allowed", `{"models": {"m": {"version": "v2"}}}`, func(v string) bool { return v == "v2" }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := rollout.NewPicker()
			must.NoError(t, p.Apply(document.Item{Data: []byte(tt.stages), Revision: 1}))
			got := 0
			const keys = 2000
			for i := range keys {
				v, err := p.Pick(m, fmt.Sprint(i), tt.allowed)
				must.NoError(t, err)
				if v.Name == "v2" {
					got++
				}
			}
			must.Between(t, tt.want-0.03, float64(got)/keys, tt.want+0.03)
		})
	}
}
