package e2e_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/faultproxy"
	"github.com/violettally/violettally/internal/standin"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "seed of one randomised fault run; 0 runs the fixed seeds")
	stepsFlag = flag.Int("steps", 4, "steps of a randomised run, each of one or two faults")
)

var faultSpec = fleetSpec{
	halls: 3, nodesPerHall: 2, engines: 2, plainServices: 1,
	engineArgs: []string{"--token-ms", "1", "--tokens", fmt.Sprint(responseTokens), "--fencing"},
	plainArgs:  []string{"--delay-ms", "5"},
	editConfig: startRollout,
}

// startRollout configures a rollout whose stages advance while the workload runs, so
// that a session that is not pinned to its version would change it.
func startRollout(c *config.Config) {
	c.Models[1].Versions[1].State = config.VersionRollingOut
	c.Models[1].Rollout = &config.Rollout{
		Version: "v2",
		Stages:  []config.Stage{{Share: 0.3, MinSamples: 15}, {Share: 0.7, MinSamples: 15}, {Share: 1, MinSamples: 100_000}},
		Guards:  config.Guards{BadRating: 0.1, MaxBadIncrease: 0.9, FalseAlarmRate: 0.001},
	}
}

// faultDuration is how long a fault lasts; the workload runs meanwhile.
const faultDuration = 1500 * time.Millisecond

// fault is a fault that is injected while clients send requests. The function
// inject starts it and returns once it is over.
type fault struct {
	name   string
	inject func(w *workload, rng *rand.Rand)
}

// randomNode returns a random node.
func randomNode(w *workload, rng *rand.Rand) *node {
	return w.f.nodes[rng.IntN(len(w.f.nodes))]
}

// replaceNodes starts a new process on the VM of each node and waits until all are
// ready.
func replaceNodes(w *workload, nodes ...*node) {
	for _, n := range nodes {
		w.f.restartNode(n)
	}
	w.f.waitReady(nodes...)
}

// faults are the faults of TestFaults, one each; TestRandomFaults draws from them.
// The names decide which of them may be injected together: see affectsNodes and
// affectsPlatform.
var faults = []fault{
	{"kill a node", func(w *workload, rng *rand.Rand) {
		n := randomNode(w, rng)
		w.note("kill %s", n.vm)
		n.kill()
		runFor(faultDuration)
		replaceNodes(w, n)
		w.note("%s is ready, with empty memory", n.vm)
	}},
	{"freeze a node", func(w *workload, rng *rand.Rand) {
		n := randomNode(w, rng)
		w.note("freeze %s", n.vm)
		n.freeze()
		runFor(2 * faultDuration)
		n.thaw()
		w.note("thaw %s", n.vm)
		w.f.waitReady(n)
	}},
	{"block peer connections to a node", func(w *workload, rng *rand.Rand) {
		n := randomNode(w, rng)
		w.note("peers cannot reach %s", n.vm)
		n.peerProxy.Set(faultproxy.Reset)
		runFor(2 * faultDuration)
		n.peerProxy.Set(faultproxy.Pass)
		w.note("peers can reach %s again", n.vm)
	}},
	{"cut a data hall off from the platform", func(w *workload, rng *rand.Rand) {
		hall := randomNode(w, rng).hall
		w.note("%s cannot reach the platform", hall)
		for _, n := range w.f.nodes {
			if n.hall == hall {
				n.platformProxy.Set(faultproxy.Reset)
			}
		}
		runFor(2 * faultDuration)
		for _, n := range w.f.nodes {
			n.platformProxy.Set(faultproxy.Pass)
		}
		w.note("%s can reach the platform again", hall)
	}},
	{"platform down", func(w *workload, _ *rand.Rand) {
		w.note("platform down")
		w.f.setFault(w.f.kvAddr, standin.Fault{Down: true})
		runFor(2 * faultDuration)
		w.f.setFault(w.f.kvAddr, standin.Fault{})
		w.note("platform up")
	}},
	{"platform slow", func(w *workload, _ *rand.Rand) {
		w.note("platform slow")
		w.f.setFault(w.f.kvAddr, standin.Fault{SlowMillis: 400})
		runFor(2 * faultDuration)
		w.f.setFault(w.f.kvAddr, standin.Fault{})
		w.note("platform no longer slow")
	}},
	{"platform loses responses", func(w *workload, _ *rand.Rand) {
		w.note("platform drops responses after the write")
		w.f.setFault(w.f.kvAddr, standin.Fault{DropResponses: true})
		runFor(2 * faultDuration)
		w.f.setFault(w.f.kvAddr, standin.Fault{})
		w.note("platform sends responses again")
	}},
	{"rating service down", func(w *workload, _ *rand.Rand) {
		w.note("rating service down")
		w.f.setFault(w.f.ratingAddr, standin.Fault{Down: true})
		runFor(faultDuration)
		w.f.setFault(w.f.ratingAddr, standin.Fault{})
		w.note("rating service up")
	}},
	{"an engine breaks its streams", func(w *workload, rng *rand.Rand) {
		engine := w.f.engineAddrs[rng.IntN(len(w.f.engineAddrs))]
		w.note("engine %s breaks streams after 5 tokens", engine)
		w.f.setBehaviour(engine, map[string]any{"die_after": 5})
		runFor(faultDuration)
		w.f.setBehaviour(engine, map[string]any{"die_after": 0})
		w.note("engine %s no longer breaks streams", engine)
	}},
	{"an engine fails", func(w *workload, rng *rand.Rand) {
		engine := w.f.engineAddrs[rng.IntN(len(w.f.engineAddrs))]
		w.note("engine %s responds with status 500", engine)
		w.f.setBehaviour(engine, map[string]any{"fail_share": 1})
		runFor(faultDuration)
		w.f.setBehaviour(engine, map[string]any{"fail_share": 0})
		w.note("engine %s no longer fails", engine)
	}},
	{"graceful shutdown of a node", func(w *workload, rng *rand.Rand) {
		n := randomNode(w, rng)
		w.note("shut down %s", n.vm)
		n.shutdown()
		replaceNodes(w, n)
		w.note("%s is ready", n.vm)
	}},
	{"a data hall is lost and replaced", func(w *workload, rng *rand.Rand) {
		hall := randomNode(w, rng).hall
		w.note("kill all nodes of %s", hall)
		var killed []*node
		for _, n := range w.f.nodes {
			if n.hall == hall {
				n.kill()
				killed = append(killed, n)
			}
		}
		runFor(faultDuration)
		replaceNodes(w, killed...)
		w.note("nodes of %s are ready", hall)
	}},
}

// TestFaults runs the workload under each single fault and checks the guarantees
// (see workload.check).
func TestFaults(t *testing.T) {
	for i, fault := range faults {
		t.Run(strings.ReplaceAll(fault.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			t.Log(runFault(t, fault, uint64(i)).summary())
		})
	}
}

// runFault runs the workload, injects one fault and checks the guarantees.
func runFault(t *testing.T, injected fault, seed uint64) *workload {
	f := newFleet(t, faultSpec)
	w := startWorkload(f, seed)
	w.waitForResponses()
	injected.inject(w, rand.New(rand.NewPCG(seed, 0)))
	w.waitForResponses()
	w.stop()
	w.check(t)
	return w
}

// TestRandomFaults injects faults drawn by a seed, some of them two at once. A run is
// repeated with `go test ./e2e -run TestRandomFaults -seed N -steps M`.
func TestRandomFaults(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d, %d steps", seed, *stepsFlag)
			rng := rand.New(rand.NewPCG(seed, 99))
			f := newFleet(t, faultSpec)
			w := startWorkload(f, seed)
			w.waitForResponses()
			for range *stepsFlag {
				w.injectRandomFaults(rng)
				w.waitForResponses()
			}
			w.stop()
			w.check(t)
			t.Log(w.summary())
		})
	}
}

// injectRandomFaults injects one fault, or two at once unless both affect nodes or
// both affect the platform.
func (w *workload) injectRandomFaults(rng *rand.Rand) {
	first := faults[rng.IntN(len(faults))]
	second := faults[rng.IntN(len(faults))]
	seedA, seedB := rng.Uint64(), rng.Uint64()
	if rng.IntN(2) == 0 || affectsNodes(first) && affectsNodes(second) || affectsPlatform(first) && affectsPlatform(second) {
		first.inject(w, rand.New(rand.NewPCG(seedA, 0)))
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		second.inject(w, rand.New(rand.NewPCG(seedB, 0)))
	}()
	first.inject(w, rand.New(rand.NewPCG(seedA, 0)))
	<-done
}

func affectsNodes(f fault) bool {
	return strings.Contains(f.name, "node") || strings.Contains(f.name, "data hall is")
}

func affectsPlatform(f fault) bool { return strings.Contains(f.name, "platform") }
