package e2e_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/faultproxy"
	"github.com/violettally/violettally/internal/standin"
)

// TestPlannedStopCutsNothing replaces every VM in turn while callers go on.
// None of them may see more than a refusal that says when to come back: no
// connection is refused or cut, and no request is left in doubt. Requests take
// longer than addresses are valid, so some are under way when the node would
// be done otherwise.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	slow := []string{"--token-ms", "120", "--tokens", fmt.Sprint(answerSize)}
	f := newFleet(t, shape{halls: 3, perHall: 1, engines: 2, plain: 1, engineArgs: slow, declare: rollingOut})
	w := startWorkload(f, 7)
	w.flow()
	for _, n := range f.nodes {
		w.note("stop %s", n.vm)
		n.stop()
		replace(w, n)
		w.flow()
	}
	w.stop()
	w.check(t)
	for _, e := range w.events {
		if !e.answered && e.kind != kindForbidden {
			t.Errorf("%s (%s) was not answered: %q", e.id, e.kind, e.tries)
		}
		for _, try := range e.tries {
			if strings.Contains(try, "http://") || strings.Contains(try, "unknown") {
				t.Errorf("%s (%s) was cut: %q", e.id, e.kind, e.tries)
			}
		}
	}
	if t.Failed() {
		w.print(t)
	}
}

// TestWithdrawn withdraws a version under load, with one node frozen over the
// change and the platform down after it: once the withdrawal is in force, no
// work starts on the version.
func TestWithdrawn(t *testing.T) {
	t.Parallel()
	f := newFleet(t, faultShape)
	w := startWorkload(f, 11)
	w.flow()
	f.nodes[5].freeze()
	f.apply(f.declaration(func(c *config.Config) {
		c.Models[1].Versions[0].State = config.VersionWithdrawn
		c.Models[1].Versions[1].State = config.VersionInService
	}))
	f.fault(f.kv, standin.Fault{Down: true})
	f.waitFor("the withdrawal everywhere", func() bool { return f.revisionEverywhere(2, f.nodes[:5]...) })
	inForce := time.Now()
	f.nodes[5].thaw()
	f.waitFor("the withdrawal at the node that was frozen", func() bool { return f.revisionEverywhere(2, f.nodes[5]) })
	late := time.Now()
	w.flow()
	f.fault(f.kv, standin.Fault{})
	w.stop()
	for id, runs := range f.ran(f.engines) {
		for _, run := range runs {
			if run.Model == "brief@v1" && run.Started.After(late) {
				t.Errorf("%s started on the withdrawn version %s after the withdrawal", id, run.Started.Sub(inForce))
			}
		}
	}
}

// revisionEverywhere reports whether nodes have a revision in force.
func (f *fleet) revisionEverywhere(revision int, nodes ...*entry) bool {
	for _, n := range nodes {
		if !strings.Contains(string(f.get(n.operator, "/metrics")), fmt.Sprintf("violettally_config_revision{otel_scope_name=\"violettally\",otel_scope_schema_url=\"\",otel_scope_version=\"\"} %d\n", revision)) {
			return false
		}
	}
	return true
}

// TestLeavingServer takes a backend server out by the VM list: a few seconds
// later it gets no new work.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, faultShape)
	w := startWorkload(f, 13)
	w.flow()
	f.setVM("e0", "leaving")
	hold(2 * time.Second)
	late := time.Now()
	w.flow()
	w.stop()
	w.check(t)
	for id, runs := range f.ran(f.engines[:1]) {
		for _, run := range runs {
			if run.Started.After(late) {
				t.Errorf("%s started on a server that has left", id)
			}
		}
	}
}

// TestOperatorsRace lets operators apply at once, with an expected revision,
// and with the platform losing answers.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	f := newFleet(t, usual)
	file := f.write(f.declaration(func(c *config.Config) { c.Accounts[0].Priority = config.PriorityStandard }))
	codes := make(chan int, 3)
	outs := make(chan string, 3)
	for _, n := range f.nodes {
		go func() {
			code, out := f.operator(n, "apply", file, "--expect", "1")
			codes <- code
			outs <- out
		}()
	}
	count := make(map[int]int)
	for range f.nodes {
		count[<-codes]++
		if out := <-outs; strings.Contains(out, "nothing was applied") {
			must.StrContains(t, out, "revision 2 by ops")
		}
	}
	must.Eq(t, map[int]int{0: 1, 3: 2}, count)

	f.fault(f.kv, standin.Fault{DropResponses: true})
	code, out := f.operator(f.nodes[0], "apply", f.write(f.declaration(nil)), "--change", "change-1")
	must.Eq(t, 4, code, must.Sprint(out))
	f.fault(f.kv, standin.Fault{})
	code, out = f.operator(f.nodes[1], "apply", f.write(f.declaration(nil)), "--change", "change-1")
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "revision 3 in force")
	f.waitFor("the change everywhere", func() bool { return f.revisionEverywhere(3, f.nodes...) })
}

// TestStartsDuringOutage starts a node while the platform is down: it takes
// configuration and view from its peers.
func TestStartsDuringOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, usual)
	f.fault(f.kv, standin.Fault{Down: true})
	n := f.startNode("n9", "hall-0", usual)
	f.waitFor("the configuration from peers", func() bool { return f.revisionEverywhere(1, n) })
	r := f.chat(n, "brief", "in the outage")
	must.True(t, r.whole(), must.Sprint(r.body))
	f.fault(f.kv, standin.Fault{})
	f.waitReady(n)
}

// TestPatientOutlivesItsNode kills the node that took patient work: another
// finishes it, and it is billed once.
func TestPatientOutlivesItsNode(t *testing.T) {
	t.Parallel()
	f := newFleet(t, shape{halls: 3, perHall: 1, engines: 1, plain: 1, engineArgs: []string{"--token-ms", "150", "--tokens", "16"}})
	r := f.chat(f.nodes[0], "brief", "slow digest", "Prefer", "respond-async", "Idempotency-Key", "slow")
	must.Eq(t, 202, r.status)
	f.waitFor("the run to start", func() bool { return len(f.ran(f.engines)["slow"]) == 1 })
	f.nodes[0].kill()
	f.setVM(f.nodes[0].vm, "")
	f.waitFor("the answer at another node", func() bool {
		r = f.call(t.Context(), f.nodes[1], "GET", "/v1/requests/slow", "")
		return r.whole()
	})
	must.Eq(t, standin.CompletionText("brief@v1", "slow digest", 16), textOf(r.body, false))
	f.waitFor("the bill", func() bool { return f.billed(f.nodes[1])["desk/brief@v1"].Requests == 1 })
}

// TestCutOffNodeStops cuts a node off from platform and peers: it must not
// start work that may have been withdrawn, and says so.
func TestCutOffNodeStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, usual)
	n := f.nodes[0]
	n.platformProxy.Set(faultproxy.Reset)
	for _, other := range f.nodes {
		other.peerProxy.Set(faultproxy.Reset)
	}
	f.waitFor("the refusal", func() bool { return f.chat(n, "brief", "x").code == "cut_off" })
	n.platformProxy.Set(faultproxy.Pass)
	for _, other := range f.nodes {
		other.peerProxy.Set(faultproxy.Pass)
	}
	f.waitFor("an answer", func() bool { return f.chat(n, "brief", "x").whole() })
}

// TestRolloutStops rolls out a bad version: it is stopped after few answers,
// also when the node that drives the roll-out is killed.
func TestRolloutStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, usual)
	for _, engine := range f.engines {
		f.behave(engine, map[string]any{"quality": map[string]float64{"brief@v1": 0.9, "brief@v2": 0.2}})
	}
	f.apply(f.declaration(func(c *config.Config) {
		c.Models[1].Versions[1].State = config.VersionRollingOut
		c.Models[1].Rollout = &config.Rollout{
			Version: "v2",
			Stages:  []config.Stage{{Share: 0.5, MinSamples: 1000}, {Share: 1, MinSamples: 1000}},
			Guards:  config.Guards{BadRating: 0.5, MaxBadIncrease: 0.2, FalseAlarmRate: 0.01},
		}
	}))
	bad := 0
	n := 0
	f.waitFor("the stop", func() bool {
		n++
		r := f.chat(f.nodes[1+n%2], "brief", fmt.Sprint("question ", n))
		if strings.HasSuffix(r.header.Get("X-Model-Version"), "v2") {
			bad++
		}
		if n == 8 {
			f.nodes[0].kill()
		}
		_, out := f.operator(f.nodes[1], "show", "rollouts")
		var progress map[string]struct{ Verdict string }
		_ = json.Unmarshal([]byte(out), &progress)
		return progress["brief"].Verdict == "stopped"
	})
	t.Logf("%d answers by the bad version, of %d", bad, n)
	must.Positive(t, bad)
	for i := range 20 {
		r := f.chat(f.nodes[1], "brief", fmt.Sprint("after ", i))
		must.Eq(t, "brief@v1", r.header.Get("X-Model-Version"))
	}
}

// TestSessionKeepsVersion moves a roll-out from its first stage to its last:
// sessions keep the version that they began with, on every node, also after a
// node was killed; new ones get the new version.
func TestSessionKeepsVersion(t *testing.T) {
	t.Parallel()
	s := usual
	s.declare = rollingOut
	f := newFleet(t, s)
	f.waitFor("the first stage", func() bool { return f.stage(f.nodes[1]) == 0 })
	session := func(n *entry, name string) string {
		r := f.chat(n, "brief", "in session "+name, "X-Session-Id", name)
		must.True(t, r.whole(), must.Sprint(r.body))
		return r.header.Get("X-Model-Version")
	}
	versions := make(map[string]string)
	for i := range 30 {
		name := fmt.Sprintf("s%d", i)
		versions[name] = session(f.nodes[i%3], name)
	}
	f.waitFor("the last stage", func() bool {
		for i := range 10 {
			f.chat(f.nodes[1], "brief", fmt.Sprint(time.Now(), i))
		}
		return f.stage(f.nodes[1]) == 2
	})
	f.nodes[0].kill()
	f.setVM(f.nodes[0].vm, "")
	kept := make(map[string]int)
	for name, version := range versions {
		for _, n := range f.nodes[1:] {
			must.Eq(t, version, session(n, name), must.Sprint("session "+name))
		}
		kept[version]++
	}
	must.Positive(t, kept["brief@v1"])
	must.Eq(t, "brief@v2", session(f.nodes[2], "new"))
}

// stage returns the stage of the roll-out that a node knows; -1 for none.
func (f *fleet) stage(n *entry) int {
	_, out := f.operator(n, "show", "rollouts")
	var progress map[string]struct{ Stage int }
	_ = json.Unmarshal([]byte(out), &progress)
	if p, ok := progress["brief"]; ok {
		return p.Stage
	}
	return -1
}

// TestRestartedHolder kills a node in the middle of a call that may not be
// repeated and starts it again at once: the new process knows nothing of the
// call, and that must not pass for "did not run".
func TestRestartedHolder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, shape{halls: 3, perHall: 1, plain: 1, engines: 1, plainArgs: []string{"--delay-ms", "1500"}})
	for i := range 4 {
		id := fmt.Sprint("restarted-", i)
		go f.proof(f.nodes[0], id)
		f.waitFor("the call to run", func() bool { return len(f.ran(f.plain)[id]) == 1 })
		f.nodes[0].kill()
		f.restart(f.nodes[0])
		f.waitFor("the new process", func() bool { return f.get(f.nodes[0].operator, "/health") != nil })
		var r reply
		f.waitFor("a final word", func() bool {
			r = f.proof(f.nodes[1], id)
			return r.code != "holder_unreachable" && r.code != "claim_unreachable" && r.code != "claim_busy"
		})
		must.Eq(t, "outcome_unknown", r.code, must.Sprint(r.body))
		must.Len(t, 1, f.ran(f.plain)[id])
		f.waitReady(f.nodes...)
	}
}

// orders lists what an engine was told to load and unload.
func (f *fleet) orders(engine string) []standin.Order {
	var in struct{ Orders []standin.Order }
	must.NoError(f.t, json.Unmarshal(f.get(engine, "/ran"), &in))
	return in.Orders
}

// TestLoadOrders rolls a version out to engines that do not hold it: one with
// room is told to load it and gets its work, others get none. When the version
// is withdrawn under another driver, the order to unload has a later token.
func TestLoadOrders(t *testing.T) {
	t.Parallel()
	f := newFleet(t, shape{halls: 3, perHall: 1, engines: 3, plain: 1, engineArgs: []string{"--token-ms", "1", "--fencing"}})
	held := [][]string{{"brief@v1", "small@v1"}, {"brief@v1"}, {"small@v1"}}
	for i, models := range held {
		f.behave(f.engines[i], map[string]any{"loaded": models})
	}
	f.apply(f.declaration(rollingOut))
	var first int64
	f.waitFor("the order to load", func() bool {
		for _, engine := range f.engines[1:] {
			for _, order := range f.orders(engine) {
				if order.Action == "load" && order.Model == "brief@v2" {
					first = order.Token
				}
			}
		}
		return first > 0
	})
	f.waitFor("an answer by the new version", func() bool {
		r := f.chat(f.nodes[1], "brief", fmt.Sprint(time.Now()))
		must.True(t, r.whole(), must.Sprint(r.body))
		return r.header.Get("X-Model-Version") == "brief@v2"
	})
	must.SliceEmpty(t, f.orders(f.engines[0]), must.Sprint("a full engine is left alone"))
	for _, runs := range f.ran(f.engines[:1]) {
		for _, run := range runs {
			must.NotEq(t, "brief@v2", run.Model)
		}
	}
	f.restartDriver(first)
	f.apply(f.declaration(func(c *config.Config) { c.Models[1].Versions[1].State = config.VersionWithdrawn }))
	f.waitFor("the order to unload", func() bool {
		for _, engine := range f.engines[1:] {
			for _, order := range f.orders(engine) {
				if order.Action == "unload" && order.Model == "brief@v2" {
					must.Greater(t, first, order.Token)
					return true
				}
			}
		}
		return false
	})
}

// restartDriver kills the node that holds the driver's lease and starts it
// again.
func (f *fleet) restartDriver(token int64) {
	f.t.Helper()
	for _, n := range f.nodes {
		log, _ := os.ReadFile(n.log)
		if strings.Contains(string(log), fmt.Sprintf(`"lease":"driver","token":%d}`, token)) {
			n.kill()
			f.restart(n)
			f.waitReady(f.nodes...)
			return
		}
	}
	f.t.Fatalf("no node logged the lease with token %d", token)
}
