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

// TestDepartedNodesKeepCounts checks that the counts of departed nodes stay in the
// totals, also for the next driver, and that they are not added twice if a node
// was only unreachable for a while.
func TestDepartedNodesKeepCounts(t *testing.T) {
	s := newServicePicker(t, `{}`)
	s.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: time.Minute})
	c := &fakeCluster{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 1}}}`)}
	newDriver := func() *rollout.Driver { return rollout.NewDriver("rollouts", c, c, c, s.Models, timer.New()) }
	progress := func() rollout.Progress {
		var stages rollout.Stages
		must.NoError(t, json.Unmarshal(c.stored, &stages))
		return stages.Models["s"]
	}
	counted := func(answers, bad int64) rollout.Counts {
		return rollout.Counts{"s@v2": {Answers: answers, Bad: bad}, "s@in-service": {Answers: 5 * answers}}
	}
	steps := func(d *rollout.Driver, n int, counts map[string]rollout.Counts) {
		c.counts = counts
		for range n {
			d.Step(context.Background(), 1)
		}
	}
	first := newDriver()
	steps(first, 1, map[string]rollout.Counts{"a": counted(20, 2), "b": counted(20, 0)})
	steps(first, 5, map[string]rollout.Counts{"b": counted(20, 0)})
	must.Eq(t, rollout.StoredCount{Answers: 20, Bad: 2}, progress().DepartedCandidate)
	must.Eq(t, rollout.StoredCount{Answers: 100}, progress().DepartedBaseline)
	// The node responds again, then departs again.
	steps(first, 1, map[string]rollout.Counts{"a": counted(25, 2), "b": counted(20, 0)})
	steps(first, 5, map[string]rollout.Counts{"b": counted(20, 0)})
	must.Eq(t, rollout.StoredCount{Answers: 25, Bad: 2}, progress().DepartedCandidate)
	must.Eq(t, rollout.VerdictRunning, progress().Verdict)
	// The next driver has the failures of all nodes: 7 of 65.
	steps(newDriver(), 1, map[string]rollout.Counts{"c": counted(40, 5)})
	must.Eq(t, rollout.VerdictStopped, progress().Verdict)
}

// TestWaitsForRequestsOfUnresponsiveNode checks that a rollout does not complete while
// requests ran on the old version at a node that does not respond, until the node
// counts as departed. It guards against counting only the nodes that responded to the
// last collection: if one was late once with a stream running, the rollout completed
// and the old servers could be stopped under the stream.
func TestWaitsForRequestsOfUnresponsiveNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServicePicker(t, `{}`)
		s.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: 10 * time.Second})
		since, err := json.Marshal(time.Now().UTC())
		must.NoError(t, err)
		c := &fakeCluster{token: 1, stored: []byte(`{"models": {"s": {"version": "v2", "stage": 2, "since": ` + string(since) + `}}}`)}
		d := rollout.NewDriver("rollouts", c, c, c, s.Models, timer.New())
		step := func(counts map[string]rollout.Counts) rollout.Verdict {
			c.counts = counts
			d.Step(t.Context(), 1)
			stages, err := rollout.DecodeStages(c.stored)
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
		must.Eq(t, rollout.VerdictRunning, step(one), must.Sprint("one step missed"))
		must.Eq(t, rollout.VerdictRunning, step(one), must.Sprint("two steps missed"))
		must.Eq(t, rollout.VerdictRunning, step(both), must.Sprint("responds again"))
		must.Eq(t, rollout.VerdictRunning, step(one), must.Sprint("one step missed again"))
		must.Eq(t, rollout.VerdictRunning, step(one), must.Sprint("two steps missed again"))
		must.Eq(t, rollout.VerdictComplete, step(one), must.Sprint("departed"))
	})
}

// TestStickySessionsOfUnresponsiveNode checks that active sessions are sticky even if
// their node does not respond in the step that sets the first stage's share.
func TestStickySessionsOfUnresponsiveNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picker := rollout.NewPicker()
		s := rollout.NewServicePicker(picker, 1)
		s.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: 20 * time.Second})
		c := &fakeCluster{token: 1}
		d := rollout.NewDriver("rollouts", c, c, c, s.Models, timer.New())
		step := func(counts map[string]rollout.Counts) rollout.Progress {
			c.counts = counts
			d.Step(t.Context(), 1)
			stages, err := rollout.DecodeStages(c.stored)
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

// preOrderNode is a node with running requests from before the order, together with
// the driver of the rollout.
type preOrderNode struct {
	*rollout.ServicePicker
	picker  *rollout.Picker
	cluster *fakeCluster
	driver  *rollout.Driver
}

func newPreOrderNode(requests int) *preOrderNode {
	n := &preOrderNode{picker: rollout.NewPicker(), cluster: &fakeCluster{token: 1}}
	n.ServicePicker = rollout.NewServicePicker(n.picker, 1)
	for i := range requests {
		_, version := n.Choose("s", fmt.Sprint(i), "", testServers)
		n.Begin("s", version, fmt.Sprint(i))
	}
	n.SetOrder(rollout.Order{Service: "s", Target: "v2", Period: 20 * time.Second})
	n.driver = rollout.NewDriver("rollouts", n.cluster, n.cluster, n.cluster, n.Models, timer.New())
	return n
}

// step takes a step of the driver with the counts of this node and of another one.
func (n *preOrderNode) step(t *testing.T, other rollout.Counts) rollout.Progress {
	n.cluster.counts = map[string]rollout.Counts{"a": n.picker.Counts(), "b": other}
	n.driver.Step(t.Context(), 1)
	stages, err := rollout.DecodeStages(n.cluster.stored)
	must.NoError(t, err)
	return stages.Models["s"]
}

// TestWaitsForRequestsBeforeOrder checks that a rollout does not complete while
// requests from before the order run on the old version. It guards against
// counting such requests under no version: a rollout with a short period then
// completed, and the old servers could be stopped under running streams.
func TestWaitsForRequestsBeforeOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPreOrderNode(1)
		since, err := json.Marshal(time.Now().UTC())
		must.NoError(t, err)
		n.cluster.stored = []byte(`{"models": {"s": {"version": "v2", "stage": 2, "since": ` + string(since) + `}}}`)
		answered := rollout.Counts{"s@v2": {Answers: 500}, "s@in-service": {Answers: 500}}
		time.Sleep(time.Minute) // the last stage has lasted long enough
		must.Eq(t, rollout.VerdictRunning, n.step(t, answered).Verdict)
		n.End("s", "", "0")
		must.Eq(t, rollout.VerdictComplete, n.step(t, answered).Verdict)
	})
}

// TestShareIgnoresRequestsBeforeOrder checks that the first stage's share depends only
// on the requests since the order.
func TestShareIgnoresRequestsBeforeOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		share := func(requests int) float64 {
			n := newPreOrderNode(requests)
			must.Zero(t, n.step(t, nil).Share)
			time.Sleep(2 * time.Second) // long enough for the requests to be counted
			return n.step(t, rollout.Counts{"s@in-service": {Answers: 100, Running: 20}}).Share
		}
		must.Between(t, 0.01, share(0), 0.99)
		must.Eq(t, share(0), share(500))
	})
}

// TestNoCountsWithoutOrder checks that services without an order leave no counts
// behind once their requests have ended.
func TestNoCountsWithoutOrder(t *testing.T) {
	picker := rollout.NewPicker()
	s := rollout.NewServicePicker(picker, 0)
	for i := range 100 {
		s.Begin(fmt.Sprint(i), "", "k")
		s.End(fmt.Sprint(i), "", "k")
	}
	must.MapEmpty(t, picker.Counts())
}
