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

// TestRollingRestartBreaksNoRequest shuts down and restarts every node in turn under
// load. Clients may see at most a refusal that says when to retry: no connection is
// refused or broken, and no request ends with an unknown outcome. Requests take longer
// than the address TTL, so that some are still running when the drain would otherwise
// be over.
func TestRollingRestartBreaksNoRequest(t *testing.T) {
	t.Parallel()
	slow := []string{"--token-ms", "120", "--tokens", fmt.Sprint(responseTokens)}
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, engines: 2, plainServices: 1, engineArgs: slow, editConfig: startRollout})
	w := startWorkload(f, 7)
	w.waitForResponses()
	for _, n := range f.nodes {
		w.note("shut down %s", n.vm)
		n.shutdown()
		replaceNodes(w, n)
		w.waitForResponses()
	}
	w.stop()
	w.check(t)
	for _, e := range w.requests {
		if !e.completed && e.kind != kindForbidden {
			t.Errorf("%s (%s) did not complete: %q", e.id, e.kind, e.attempts)
		}
		for _, attempt := range e.attempts {
			if strings.Contains(attempt, "http://") || strings.Contains(attempt, "unknown") {
				t.Errorf("%s (%s): broken connection or unknown outcome: %q", e.id, e.kind, e.attempts)
			}
		}
	}
	if t.Failed() {
		w.printHistory(t)
	}
}

// TestWithdrawnVersion withdraws a version under load. One node is frozen during the
// change, and the platform goes down after it: once the withdrawal is in force on all
// nodes, no request starts on the version.
func TestWithdrawnVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t, faultSpec)
	w := startWorkload(f, 11)
	w.waitForResponses()
	f.nodes[5].freeze()
	f.apply(f.newConfig(func(c *config.Config) {
		c.Models[1].Versions[0].State = config.VersionWithdrawn
		c.Models[1].Versions[1].State = config.VersionInService
	}))
	f.setFault(f.kvAddr, standin.Fault{Down: true})
	f.waitFor("the withdrawal on the other nodes", func() bool { return f.revisionInForce(2, f.nodes[:5]...) })
	inForce := time.Now()
	f.nodes[5].thaw()
	f.waitFor("the withdrawal on the node that was frozen", func() bool { return f.revisionInForce(2, f.nodes[5]) })
	cutoff := time.Now()
	w.waitForResponses()
	f.setFault(f.kvAddr, standin.Fault{})
	w.stop()
	for id, runs := range f.runsByRequestID(f.engineAddrs) {
		for _, run := range runs {
			if run.Model == "brief@v1" && run.Started.After(cutoff) {
				t.Errorf("%s started on the withdrawn version %s after the withdrawal", id, run.Started.Sub(inForce))
			}
		}
	}
}

// revisionInForce reports whether all given nodes have a configuration revision in
// force.
func (f *fleet) revisionInForce(revision int, nodes ...*node) bool {
	for _, n := range nodes {
		if !strings.Contains(string(f.get(n.operatorAddr, "/metrics")), fmt.Sprintf("violettally_config_revision{otel_scope_name=\"violettally\",otel_scope_schema_url=\"\",otel_scope_version=\"\"} %d\n", revision)) {
			return false
		}
	}
	return true
}

// TestDrainingBackendServer marks a backend server as leaving on the VM list: after 2 s
// it gets no new requests.
func TestDrainingBackendServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, faultSpec)
	w := startWorkload(f, 13)
	w.waitForResponses()
	f.setVMState("e0", "leaving")
	runFor(2 * time.Second)
	cutoff := time.Now()
	w.waitForResponses()
	w.stop()
	w.check(t)
	for id, runs := range f.runsByRequestID(f.engineAddrs[:1]) {
		for _, run := range runs {
			if run.Started.After(cutoff) {
				t.Errorf("%s started on a draining backend server", id)
			}
		}
	}
}

// TestConcurrentApply applies configurations concurrently with an expected revision:
// one succeeds. It then retries an apply whose outcome is unknown, as the platform
// dropped the response, under the same change ID.
func TestConcurrentApply(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultSpec)
	file := f.writeConfig(f.newConfig(func(c *config.Config) { c.Accounts[0].Priority = config.PriorityStandard }))
	codes := make(chan int, 3)
	outs := make(chan string, 3)
	for _, n := range f.nodes {
		go func() {
			code, out := f.runOperatorCommand(n, "apply", file, "--expect", "1")
			codes <- code
			outs <- out
		}()
	}
	exitCodes := make(map[int]int)
	for range f.nodes {
		exitCodes[<-codes]++
		if out := <-outs; strings.Contains(out, "nothing was applied") {
			must.StrContains(t, out, "revision 2 by ops")
		}
	}
	must.Eq(t, map[int]int{0: 1, 3: 2}, exitCodes)

	f.setFault(f.kvAddr, standin.Fault{DropResponses: true})
	code, out := f.runOperatorCommand(f.nodes[0], "apply", f.writeConfig(f.newConfig(nil)), "--change", "change-1")
	must.Eq(t, 4, code, must.Sprint(out))
	f.setFault(f.kvAddr, standin.Fault{})
	code, out = f.runOperatorCommand(f.nodes[1], "apply", f.writeConfig(f.newConfig(nil)), "--change", "change-1")
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "revision 3 in force")
	f.waitFor("the change on all nodes", func() bool { return f.revisionInForce(3, f.nodes...) })
}

// TestNodeStartDuringOutage starts a node while the platform is down: the node gets
// configuration and membership view from its peers.
func TestNodeStartDuringOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultSpec)
	f.setFault(f.kvAddr, standin.Fault{Down: true})
	n := f.startNode("n9", "hall-0", defaultSpec)
	f.waitFor("the configuration from peers", func() bool { return f.revisionInForce(1, n) })
	r := f.chat(n, "brief", "in the outage")
	must.True(t, r.complete(), must.Sprint(r.body))
	f.setFault(f.kvAddr, standin.Fault{})
	f.waitReady(n)
}

// TestAsyncRequestSurvivesNode kills the node that accepted an async request: another
// node completes it, and it is billed once.
func TestAsyncRequestSurvivesNode(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, engines: 1, plainServices: 1, engineArgs: []string{"--token-ms", "150", "--tokens", "16"}})
	r := f.chat(f.nodes[0], "brief", "slow digest", "Prefer", "respond-async", "Idempotency-Key", "slow")
	must.Eq(t, 202, r.status)
	f.waitFor("the run to start", func() bool { return len(f.runsByRequestID(f.engineAddrs)["slow"]) == 1 })
	f.nodes[0].kill()
	f.setVMState(f.nodes[0].vm, "")
	f.waitFor("the response on another node", func() bool {
		r = f.call(t.Context(), f.nodes[1], "GET", "/v1/requests/slow", "")
		return r.complete()
	})
	must.Eq(t, standin.CompletionText("brief@v1", "slow digest", 16), completionText(r.body, false))
	f.waitFor("the bill", func() bool { return f.ledgerTotals(f.nodes[1])["desk/brief@v1"].Requests == 1 })
}

// TestIsolatedNodeRefuses cuts a node off from platform and peers: it refuses requests
// with cut_off, as their version may have been withdrawn.
func TestIsolatedNodeRefuses(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultSpec)
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
	f.waitFor("a response", func() bool { return f.chat(n, "brief", "x").complete() })
}

// TestRolloutStopsBadVersion rolls out a version of poor quality: the rollout stops
// after few responses, also when the node that drives it is killed, and the version
// gets no further requests.
func TestRolloutStopsBadVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultSpec)
	for _, engine := range f.engineAddrs {
		f.setBehaviour(engine, map[string]any{"quality": map[string]float64{"brief@v1": 0.9, "brief@v2": 0.2}})
	}
	f.apply(f.newConfig(func(c *config.Config) {
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
		_, out := f.runOperatorCommand(f.nodes[1], "show", "rollouts")
		var progress map[string]struct{ Verdict string }
		_ = json.Unmarshal([]byte(out), &progress)
		return progress["brief"].Verdict == "stopped"
	})
	t.Logf("%d of %d responses came from the bad version", bad, n)
	must.Positive(t, bad)
	for i := range 20 {
		r := f.chat(f.nodes[1], "brief", fmt.Sprint("after ", i))
		must.Eq(t, "brief@v1", r.header.Get("X-Model-Version"))
	}
}

// TestSessionKeepsVersion advances a rollout from its first stage to its last: sessions
// keep the version that they began with on every node, also after a node is killed.
// New sessions get the new version.
func TestSessionKeepsVersion(t *testing.T) {
	t.Parallel()
	spec := defaultSpec
	spec.editConfig = startRollout
	f := newFleet(t, spec)
	f.waitFor("the first stage", func() bool { return f.rolloutStage(f.nodes[1]) == 0 })
	versionInSession := func(n *node, name string) string {
		r := f.chat(n, "brief", "in session "+name, "X-Session-Id", name)
		must.True(t, r.complete(), must.Sprint(r.body))
		return r.header.Get("X-Model-Version")
	}
	versions := make(map[string]string)
	for i := range 30 {
		name := fmt.Sprintf("s%d", i)
		versions[name] = versionInSession(f.nodes[i%3], name)
	}
	f.waitFor("the last stage", func() bool {
		for i := range 10 {
			f.chat(f.nodes[1], "brief", fmt.Sprint(time.Now(), i))
		}
		return f.rolloutStage(f.nodes[1]) == 2
	})
	f.nodes[0].kill()
	f.setVMState(f.nodes[0].vm, "")
	sessionsByVersion := make(map[string]int)
	for name, version := range versions {
		for _, n := range f.nodes[1:] {
			must.Eq(t, version, versionInSession(n, name), must.Sprint("session "+name))
		}
		sessionsByVersion[version]++
	}
	must.Positive(t, sessionsByVersion["brief@v1"])
	must.Eq(t, "brief@v2", versionInSession(f.nodes[2], "new"))
}

// rolloutStage returns the rollout stage that a node reports; -1 without a rollout.
func (f *fleet) rolloutStage(n *node) int {
	_, out := f.runOperatorCommand(n, "show", "rollouts")
	var progress map[string]struct{ Stage int }
	_ = json.Unmarshal([]byte(out), &progress)
	if p, ok := progress["brief"]; ok {
		return p.Stage
	}
	return -1
}

// TestRestartedClaimHolder kills a node during a non-idempotent call and restarts it at
// once. The new process has no record of the call, and must not report it as not run.
func TestRestartedClaimHolder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, plainServices: 1, engines: 1, plainArgs: []string{"--delay-ms", "1500"}})
	for i := range 4 {
		id := fmt.Sprint("restarted-", i)
		go f.postProof(f.nodes[0], id)
		f.waitFor("the call to run", func() bool { return len(f.runsByRequestID(f.plainAddrs)[id]) == 1 })
		f.nodes[0].kill()
		f.restartNode(f.nodes[0])
		f.waitFor("the new process", func() bool { return f.get(f.nodes[0].operatorAddr, "/health") != nil })
		var r clientResponse
		f.waitFor("a final outcome", func() bool {
			r = f.postProof(f.nodes[1], id)
			return r.code != "holder_unreachable" && r.code != "claim_unreachable" && r.code != "claim_busy"
		})
		must.Eq(t, "outcome_unknown", r.code, must.Sprint(r.body))
		must.Len(t, 1, f.runsByRequestID(f.plainAddrs)[id])
		f.waitReady(f.nodes...)
	}
}

// loadOrders returns the load and unload orders that an engine received.
func (f *fleet) loadOrders(engine string) []standin.Order {
	var in struct{ Orders []standin.Order }
	must.NoError(f.t, json.Unmarshal(f.get(engine, "/ran"), &in))
	return in.Orders
}

// TestLoadOrders rolls out a version that no engine has loaded: an engine with room is
// ordered to load it and gets its requests, and a full engine gets neither. When the
// version is withdrawn under a new lease holder, the order to unload carries a higher
// fencing token.
func TestLoadOrders(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, engines: 3, plainServices: 1, engineArgs: []string{"--token-ms", "1", "--fencing"}})
	loaded := [][]string{{"brief@v1", "small@v1"}, {"brief@v1"}, {"small@v1"}}
	for i, models := range loaded {
		f.setBehaviour(f.engineAddrs[i], map[string]any{"loaded": models})
	}
	f.apply(f.newConfig(startRollout))
	var loadToken int64
	f.waitFor("the order to load", func() bool {
		for _, engine := range f.engineAddrs[1:] {
			for _, order := range f.loadOrders(engine) {
				if order.Action == "load" && order.Model == "brief@v2" {
					loadToken = order.Token
				}
			}
		}
		return loadToken > 0
	})
	f.waitFor("a response from the new version", func() bool {
		r := f.chat(f.nodes[1], "brief", fmt.Sprint(time.Now()))
		must.True(t, r.complete(), must.Sprint(r.body))
		return r.header.Get("X-Model-Version") == "brief@v2"
	})
	must.SliceEmpty(t, f.loadOrders(f.engineAddrs[0]), must.Sprint("a full engine gets no orders"))
	for _, runs := range f.runsByRequestID(f.engineAddrs[:1]) {
		for _, run := range runs {
			must.NotEq(t, "brief@v2", run.Model)
		}
	}
	f.restartDriver(loadToken)
	f.apply(f.newConfig(func(c *config.Config) { c.Models[1].Versions[1].State = config.VersionWithdrawn }))
	f.waitFor("the order to unload", func() bool {
		for _, engine := range f.engineAddrs[1:] {
			for _, order := range f.loadOrders(engine) {
				if order.Action == "unload" && order.Model == "brief@v2" {
					must.Greater(t, loadToken, order.Token)
					return true
				}
			}
		}
		return false
	})
}

// restartDriver kills and restarts the node that acquired the driver lease with the
// given fencing token.
func (f *fleet) restartDriver(token int64) {
	f.t.Helper()
	for _, n := range f.nodes {
		log, _ := os.ReadFile(n.logPath)
		if strings.Contains(string(log), fmt.Sprintf(`"lease":"driver","token":%d}`, token)) {
			n.kill()
			f.restartNode(n)
			f.waitReady(f.nodes...)
			return
		}
	}
	f.t.Fatalf("no node logged the lease with token %d", token)
}
