package rollout_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/timer"
)

// TestNodesGo: what nodes counted that have gone counts on, under the next
// driver too, and once only if a node was merely out of reach.
func TestDepartedNodesKeepCounts(t *testing.T) {
	s := newServicePicker(t, `{}`)
	s.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: time.Minute})
	w := &fakeCluster{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 1}}}`)}
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
	must.Eq(t, rollout.StoredCount{Answers: 20, Bad: 2}, progress().DepartedCandidate)
	must.Eq(t, rollout.StoredCount{Answers: 100}, progress().DepartedBaseline)
	// The node answers again, and goes again.
	steps(first, 1, map[string]rollout.Counts{"a": counted(25, 2), "b": counted(20, 0)})
	steps(first, 5, map[string]rollout.Counts{"b": counted(20, 0)})
	must.Eq(t, rollout.StoredCount{Answers: 25, Bad: 2}, progress().DepartedCandidate)
	must.Eq(t, rollout.VerdictRunning, progress().Verdict)
	// The next driver has the failures of all: seven of sixty-five.
	steps(newDriver(), 1, map[string]rollout.Counts{"c": counted(40, 5)})
	must.Eq(t, rollout.VerdictStopped, progress().Verdict)
}

// The driver summed up what runs on the old version over the nodes that had
// answered its last question. One that was late once, with a stream under way,
// counted as running nothing: the roll-out was complete, and the old servers could
// be stopped at once.

// TestRunningAtSilentNode: a roll-out waits for what ran on the old version at a
// node that does not answer, until the node is taken for gone.
func TestWaitsForRequestsOfUnresponsiveNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServicePicker(t, `{}`)
		s.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: 10 * time.Second})
		since, err := json.Marshal(time.Now().UTC())
		must.NoError(t, err)
		w := &fakeCluster{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 2, "since": ` + string(since) + `}}}`)}
		d := rollout.NewDriver("rollouts", w, w, w, s.Models, timer.New())
		step := func(counts map[string]rollout.Counts) rollout.Verdict {
			w.counts = counts
			d.Step(t.Context(), 1)
			stages, err := rollout.DecodeStages(w.stored)
			must.NoError(t, err)
			return stages.Models["s"].Verdict
		}
		counted := func(running int64) rollout.Counts {
			return rollout.Counts{"s@v2": {Answers: 500}, "s@in-service": {Answers: 500, Running: running}}
		}
		time.Sleep(time.Minute) // the last stage has lasted long enough
		both := map[string]rollout.Counts{"a": counted(0), "b": counted(3)}
		one := map[string]rollout.Counts{"a": counted(0)}
		must.Eq(t, rollout.VerdictRunning, step(both))
		must.Eq(t, rollout.VerdictRunning, step(one), must.Sprint("missed one question"))
		must.Eq(t, rollout.VerdictRunning, step(one), must.Sprint("missed two"))
		must.Eq(t, rollout.VerdictRunning, step(both), must.Sprint("answers again"))
		must.Eq(t, rollout.VerdictRunning, step(one), must.Sprint("one more"))
		must.Eq(t, rollout.VerdictRunning, step(one), must.Sprint("two more"))
		must.Eq(t, rollout.VerdictComplete, step(one), must.Sprint("gone"))
	})
}

// TestSessionsAtSilentNode: sessions under way at a node that does not answer as
// the first stage's share is set are held too.
func TestStickySessionsOfUnresponsiveNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picker := rollout.NewPicker()
		s := rollout.NewServicePicker(picker, 1)
		s.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: 20 * time.Second})
		w := &fakeCluster{token: 1}
		d := rollout.NewDriver("rollouts", w, w, w, s.Models, timer.New())
		step := func(counts map[string]rollout.Counts) rollout.Progress {
			w.counts = counts
			d.Step(t.Context(), 1)
			stages, err := rollout.DecodeStages(w.stored)
			must.NoError(t, err)
			return stages.Models["s"]
		}
		s.Begin("s", "in-service", "session")
		must.Zero(t, step(map[string]rollout.Counts{"a": picker.Counts()}).Share)
		time.Sleep(2 * time.Second) // long enough for the requests to be counted
		p := step(map[string]rollout.Counts{})
		must.Positive(t, p.Share)
		must.NotEq(t, "", p.StickySessions)
	})
}

// What a node had sent before it knew of an order was counted under no version. A
// roll-out with a short period was complete, and the old servers could be stopped,
// under streams from before the order.

// preOrderNode is a node with requests under way from before the order, and the driver
// of a roll-out.
type preOrderNode struct {
	*rollout.ServicePicker
	picker  *rollout.Picker
	cluster *fakeCluster
	driver  *rollout.Driver
}

func newPreOrderNode(requests int) *preOrderNode {
	e := &preOrderNode{picker: rollout.NewPicker(), cluster: &fakeCluster{token: 1}}
	e.ServicePicker = rollout.NewServicePicker(e.picker, 1)
	for i := range requests {
		_, version := e.Choose("s", fmt.Sprint(i), "", testServers)
		e.Begin("s", version, fmt.Sprint(i))
	}
	e.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: 20 * time.Second})
	e.driver = rollout.NewDriver("rollouts", e.cluster, e.cluster, e.cluster, e.Models, timer.New())
	return e
}

// step makes a step of the driver with the node's counts and those of another one.
func (e *preOrderNode) step(t *testing.T, other rollout.Counts) rollout.Progress {
	e.cluster.counts = map[string]rollout.Counts{"a": e.picker.Counts(), "b": other}
	e.driver.Step(t.Context(), 1)
	stages, err := rollout.DecodeStages(e.cluster.stored)
	must.NoError(t, err)
	return stages.Models["s"]
}

// TestRunningBeforeOrder: a roll-out is not complete while requests from before the
// order run on the old version.
func TestWaitsForRequestsBeforeOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newPreOrderNode(1)
		since, err := json.Marshal(time.Now().UTC())
		must.NoError(t, err)
		e.cluster.stored = []byte(`{"models": {"s": {"version": "v2", "stage": 2, "since": ` + string(since) + `}}}`)
		answered := rollout.Counts{"s@v2": {Answers: 500}, "s@in-service": {Answers: 500}}
		time.Sleep(time.Minute) // the last stage has lasted long enough
		must.Eq(t, rollout.VerdictRunning, e.step(t, answered).Verdict)
		e.End("s", "", "0")
		must.Eq(t, rollout.VerdictComplete, e.step(t, answered).Verdict)
	})
}

// TestShareWithoutEarlier: the first stage's share goes by the requests since the
// order, whatever runs from before it.
func TestShareIgnoresRequestsBeforeOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		share := func(requests int) float64 {
			e := newPreOrderNode(requests)
			must.Zero(t, e.step(t, nil).Share)
			time.Sleep(2 * time.Second) // long enough for the requests to be counted
			return e.step(t, rollout.Counts{"s@in-service": {Answers: 100, Running: 20}}).Share
		}
		must.Between(t, 0.01, share(0), 0.99)
		must.Eq(t, share(0), share(500))
	})
}

// TestNothingKept: services without an order leave nothing behind in the counts.
func TestNoCountsWithoutOrder(t *testing.T) {
	picker := rollout.NewPicker()
	s := rollout.NewServicePicker(picker, 0)
	for i := range 100 {
		s.Begin(fmt.Sprint(i), "", "k")
		s.End(fmt.Sprint(i), "", "k")
	}
	must.MapEmpty(t, picker.Counts())
}
