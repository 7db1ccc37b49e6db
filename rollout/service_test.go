package rollout_test

import (
	"context"
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

var testServers = []*registry.Server{{ID: "old-1", Version: "v1"}, {ID: "old-2", Version: "v1"}, {ID: "new-1", Version: "v2"}}

func newServicePicker(t *testing.T, stages string) *rollout.ServicePicker {
	picker := rollout.NewPicker()
	must.NoError(t, picker.Apply(document.Item{Data: []byte(stages), Revision: 1}))
	s := rollout.NewServicePicker(picker, 0.1)
	s.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: 20 * time.Second})
	return s
}

// TestServicesChoose checks which share of requests goes to the target in each state,
// and that the chosen servers have the chosen version.
func TestServicesChoose(t *testing.T) {
	stage := func(fields string) string { return `{"models": {"s": {"version": "v2", ` + fields + `}}}` }
	tests := []struct {
		name    string
		stages  string
		servers []*registry.Server
		// share is the share of requests that go to the target.
		share float64
	}{
		{"not started", `{}`, testServers, 0},
		{"share not set yet", stage(`"stage": 0`), testServers, 0},
		{"first stage", stage(`"stage": 0, "share": 0.05`), testServers, 0.05},
		{"second stage", stage(`"stage": 1`), testServers, 0.3},
		{"last stage", stage(`"stage": 2`), testServers, 1},
		{"complete", stage(`"stage": 2, "verdict": "complete"`), testServers, 1},
		{"stopped", stage(`"stage": 1, "verdict": "stopped"`), testServers, 0},
		{"no target servers yet", stage(`"stage": 2`), testServers[:2], 0},
		{"only target servers left", stage(`"stage": 0, "share": 0.05`), testServers[2:], 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServicePicker(t, tt.stages)
			const keys = 2000
			target := 0
			for i := range keys {
				servers, version := s.Choose("s", fmt.Sprint(i), "", tt.servers)
				must.SliceNotEmpty(t, servers)
				if servers[0].Version == "v2" {
					target++
				}
				for _, chosen := range servers {
					must.Eq(t, servers[0].Version, chosen.Version)
				}
				counted := servers[0].Version == "v2" && tt.name != "complete"
				must.Eq(t, counted, version == "v2", must.Sprint(version))
				must.Eq(t, !counted, version == "in-service", must.Sprint(version))
			}
			must.Between(t, tt.share-0.03, float64(target)/keys, tt.share+0.03)
		})
	}
}

// TestStoppedVersionGetsNoRequests checks that a stopped version gets no requests even
// if there are no other servers.
func TestStoppedVersionGetsNoRequests(t *testing.T) {
	s := newServicePicker(t, `{"models": {"s": {"version": "v2", "verdict": "stopped"}}}`)
	servers, _ := s.Choose("s", "k", "", testServers[2:])
	must.SliceEmpty(t, servers)
}

// TestSessionsOnlyMoveToTarget checks that a session, once on the target, stays there
// in later stages, and that all sessions are on it in the last stage.
func TestSessionsOnlyMoveToTarget(t *testing.T) {
	stages := []string{`"stage": 0, "share": 0.05`, `"stage": 1`, `"stage": 2`}
	for i := range 500 {
		reached := false
		for _, fields := range stages {
			s := newServicePicker(t, `{"models": {"s": {"version": "v2", `+fields+`}}}`)
			_, version := s.Choose("s", fmt.Sprint(i), "", testServers)
			must.True(t, !reached || version == "v2")
			reached = version == "v2"
		}
		must.True(t, reached)
	}
}

// TestRetryKeepsVersion checks that a retried request stays on its version, unless the
// version was stopped or has no servers.
func TestRetryKeepsVersion(t *testing.T) {
	running := `{"models": {"s": {"version": "v2", "stage": 2}}}`
	stopped := `{"models": {"s": {"version": "v2", "verdict": "stopped"}}}`
	tests := []struct {
		stages, before string
		servers        []*registry.Server
		want           string
	}{
		{running, "in-service", testServers, "in-service"},
		{running, "v2", testServers, "v2"},
		{running, "in-service", testServers[2:], "v2"},
		{running, "v2", testServers[:2], "in-service"},
		{stopped, "v2", testServers, "in-service"},
	}
	for _, tt := range tests {
		_, version := newServicePicker(t, tt.stages).Choose("s", "k", tt.before, tt.servers)
		must.Eq(t, tt.want, version, must.Sprintf("%+v", tt))
	}
}

// TestActiveSessionsAreSticky checks that sessions with a request just before the first
// stage's share is set stay on the old version during that stage, also on nodes
// that have not seen them.
func TestActiveSessionsAreSticky(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pickerA, pickerB := rollout.NewPicker(), rollout.NewPicker()
		a, b := rollout.NewServicePicker(pickerA, 0.1), rollout.NewServicePicker(pickerB, 0.1)
		for _, s := range []*rollout.ServicePicker{a, b} {
			s.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: 20 * time.Second})
		}
		c := &fakeCluster{token: 1}
		d := rollout.NewDriver("rollouts", c, c, c, a.Models, timer.New())
		step := func() {
			c.counts = map[string]rollout.Counts{"a": pickerA.Counts(), "b": pickerB.Counts()}
			d.Step(context.Background(), 1)
			for _, p := range []*rollout.Picker{pickerA, pickerB} {
				must.NoError(t, p.Apply(document.Item{Data: c.stored, Revision: int64(c.writes)}))
			}
		}
		step()
		const sessions = 400
		request := func(session string) {
			_, version := a.Choose("s", session, "", testServers)
			a.Begin("s", version, session)
			a.End("s", version, session)
		}
		for i := range sessions / 2 {
			request(fmt.Sprint("gone", i))
		}
		time.Sleep(6 * time.Second)
		for i := range sessions {
			request(fmt.Sprint(i))
		}
		step()
		moved := func(name string) (moved int) {
			for i := range sessions {
				if _, version := b.Choose("s", fmt.Sprint(name, i), "", testServers); version == "v2" {
					moved++
				}
			}
			return moved
		}
		must.Eq(t, 0, moved(""), must.Sprint("active sessions"))
		must.Positive(t, moved("other"))
		must.Positive(t, moved("gone"))
	})
}

// TestNoOrder checks that a service without an order may use all servers.
func TestNoOrder(t *testing.T) {
	s := newServicePicker(t, `{}`)
	servers, version := s.Choose("other", "k", "", testServers)
	must.Eq(t, testServers, servers)
	must.Eq(t, "", version)
	s.RemoveOrder("s")
	servers, _ = s.Choose("s", "k", "", testServers)
	must.Eq(t, testServers, servers)
}

// TestShareIsConcentrated checks that a stage's share goes to so few of the target's
// servers that each carries more than its final load, and that all nodes choose
// the same servers.
func TestShareIsConcentrated(t *testing.T) {
	var many []*registry.Server
	for i := range 40 {
		many = append(many, &registry.Server{ID: fmt.Sprint("old", i), Version: "v1"}, &registry.Server{ID: fmt.Sprint("new", i), Version: "v2"})
	}
	stage := func(fields string) string { return `{"models": {"s": {"version": "v2", ` + fields + `}}}` }
	var last []string
	for _, tt := range []struct {
		stages string
		want   int
	}{{stage(`"stage": 0, "share": 0.01`), 2}, {stage(`"stage": 0, "share": 0.05`), 2}, {stage(`"stage": 1`), 7}, {stage(`"stage": 2`), 40}} {
		servers, _ := newServicePicker(t, tt.stages).Choose("s", "k", "v2", many)
		must.Len(t, tt.want, servers)
		must.SliceContainsSubset(t, serverIDs(servers), last)
		again, _ := newServicePicker(t, tt.stages).Choose("s", "other", "v2", many)
		must.SliceContainsAll(t, serverIDs(servers), serverIDs(again))
		last = serverIDs(servers)
	}
}

func serverIDs(servers []*registry.Server) []string {
	ids := make([]string, len(servers))
	for i, s := range servers {
		ids[i] = s.ID
	}
	return ids
}

// TestConcentrationOnFewServers checks that no server of a small service gets several
// times its final load.
func TestConcentrationOnFewServers(t *testing.T) {
	for _, tt := range []struct{ servers, want int }{{3, 1}, {9, 2}, {12, 2}, {18, 3}} {
		var all []*registry.Server
		for i := range tt.servers {
			all = append(all, &registry.Server{ID: fmt.Sprint("old", i), Version: "v1"}, &registry.Server{ID: fmt.Sprint("new", i), Version: "v2"})
		}
		servers, _ := newServicePicker(t, `{"models": {"s": {"version": "v2", "stage": 1}}}`).Choose("s", "k", "v2", all)
		must.Len(t, tt.want, servers)
	}
}

// TestSlowRelativeToExpectedWait checks that a response is compared with the wait
// expected for its size if that exceeds the baseline of its kind.
func TestSlowRelativeToExpectedWait(t *testing.T) {
	picker := rollout.NewPicker()
	s := rollout.NewServicePicker(picker, 0.1)
	for range 20 {
		s.Count("s", "in-service", rollout.Sample{Kind: "brief", Wait: 50 * time.Millisecond})
	}
	for _, a := range []rollout.Sample{
		{Wait: 700 * time.Millisecond, Expected: 250 * time.Millisecond},
		{Wait: 700 * time.Millisecond, Expected: 30 * time.Millisecond},
		{Wait: 1500 * time.Millisecond, Expected: 250 * time.Millisecond},
	} {
		a.Kind = "brief"
		s.Count("s", "v2", a)
	}
	must.Eq(t, 2, picker.Counts()["s@v2"].Slow)
}

// TestSlowWithoutBaseline checks that a node without a baseline compares responses with
// their objective.
func TestSlowWithoutBaseline(t *testing.T) {
	picker := rollout.NewPicker()
	s := rollout.NewServicePicker(picker, 0.1)
	for _, wait := range []time.Duration{60, 290, 310, 480} {
		s.Count("s", "v2", rollout.Sample{Kind: "look", Wait: wait * time.Millisecond, Objective: 300 * time.Millisecond})
	}
	s.Count("s", "v2", rollout.Sample{Kind: "look", Wait: time.Minute})
	must.Eq(t, 2, picker.Counts()["s@v2"].Slow)
}

// TestSessionOfRequestBeforeOrder checks that a session with a request from before the
// order stays active until some time after the end of that request.
func TestSessionOfRequestBeforeOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picker := rollout.NewPicker()
		s := rollout.NewServicePicker(picker, 1)
		recent := func() int { return len(picker.Counts()["s@in-service"].RecentSessions) }
		s.Begin("s", "", "session")
		time.Sleep(8 * time.Second)
		must.Eq(t, 1, recent())
		s.End("s", "", "session")
		time.Sleep(4 * time.Second)
		must.Eq(t, 1, recent())
		time.Sleep(2 * time.Second)
		must.Eq(t, 0, recent())
		s.Begin("s", "v2", "other")
		must.Eq(t, 0, recent(), must.Sprint("a session on the target is not tracked"))
	})
}
