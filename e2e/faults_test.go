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
	stepsFlag = flag.Int("steps", 4, "faults in a randomised run")
)

var faultShape = shape{
	halls: 3, perHall: 2, engines: 2, plain: 1,
	engineArgs: []string{"--token-ms", "1", "--tokens", fmt.Sprint(answerSize), "--fencing"},
	plainArgs:  []string{"--delay-ms", "5"},
	declare:    rollingOut,
}

// rollingOut has a roll-out under way, whose stages move on while the workload
// runs, so that a session that is not pinned would change its version.
func rollingOut(c *config.Config) {
	c.Models[1].Versions[1].State = config.VersionRollingOut
	c.Models[1].Rollout = &config.Rollout{
		Version: "v2",
		Stages:  []config.Stage{{Share: 0.3, MinSamples: 15}, {Share: 0.7, MinSamples: 15}, {Share: 1, MinSamples: 100_000}},
		Guards:  config.Guards{BadRating: 0.1, MaxBadIncrease: 0.9, FalseAlarmRate: 0.001},
	}
}

// faultTime is how long a fault lasts while the workload goes on.
const faultTime = 1500 * time.Millisecond

// fault is one thing that goes wrong while callers go on, and its end.
type fault struct {
	name   string
	inject func(w *workload, random *rand.Rand)
}

// pick returns a random node.
func pick(w *workload, random *rand.Rand) *entry {
	return w.f.nodes[random.IntN(len(w.f.nodes))]
}

// replace gives a VM that has ended a new process, and waits for it.
func replace(w *workload, nodes ...*entry) {
	for _, n := range nodes {
		w.f.restart(n)
	}
	w.f.waitReady(nodes...)
}

// faults are the single faults; the randomised run draws from them, two at
// once too.
var faults = []fault{
	{"kill a node", func(w *workload, random *rand.Rand) {
		n := pick(w, random)
		w.note("kill %s", n.vm)
		n.kill()
		hold(faultTime)
		replace(w, n)
		w.note("%s is back with an empty memory", n.vm)
	}},
	{"freeze a node", func(w *workload, random *rand.Rand) {
		n := pick(w, random)
		w.note("freeze %s", n.vm)
		n.freeze()
		hold(2 * faultTime)
		n.thaw()
		w.note("thaw %s", n.vm)
		w.f.waitReady(n)
	}},
	{"cut a node off inward", func(w *workload, random *rand.Rand) {
		n := pick(w, random)
		w.note("peers do not reach %s", n.vm)
		n.peerProxy.Set(faultproxy.Reset)
		hold(2 * faultTime)
		n.peerProxy.Set(faultproxy.Pass)
		w.note("peers reach %s", n.vm)
	}},
	{"cut a data hall off from the platform", func(w *workload, random *rand.Rand) {
		hall := pick(w, random).hall
		w.note("%s does not reach the platform", hall)
		for _, n := range w.f.nodes {
			if n.hall == hall {
				n.platformProxy.Set(faultproxy.Reset)
			}
		}
		hold(2 * faultTime)
		for _, n := range w.f.nodes {
			n.platformProxy.Set(faultproxy.Pass)
		}
		w.note("%s reaches the platform", hall)
	}},
	{"platform down", func(w *workload, _ *rand.Rand) {
		w.note("platform down")
		w.f.fault(w.f.kv, standin.Fault{Down: true})
		hold(2 * faultTime)
		w.f.fault(w.f.kv, standin.Fault{})
		w.note("platform up")
	}},
	{"platform slow", func(w *workload, _ *rand.Rand) {
		w.note("platform slow")
		w.f.fault(w.f.kv, standin.Fault{SlowMillis: 400})
		hold(2 * faultTime)
		w.f.fault(w.f.kv, standin.Fault{})
		w.note("platform fast")
	}},
	{"platform loses answers", func(w *workload, _ *rand.Rand) {
		w.note("platform loses answers after the write")
		w.f.fault(w.f.kv, standin.Fault{DropResponses: true})
		hold(2 * faultTime)
		w.f.fault(w.f.kv, standin.Fault{})
		w.note("platform answers")
	}},
	{"rating service down", func(w *workload, _ *rand.Rand) {
		w.note("rating down")
		w.f.fault(w.f.rating, standin.Fault{Down: true})
		hold(faultTime)
		w.f.fault(w.f.rating, standin.Fault{})
		w.note("rating up")
	}},
	{"an engine breaks its streams", func(w *workload, random *rand.Rand) {
		engine := w.f.engines[random.IntN(len(w.f.engines))]
		w.note("engine %s breaks streams after 5 tokens", engine)
		w.f.behave(engine, map[string]any{"die_after": 5})
		hold(faultTime)
		w.f.behave(engine, map[string]any{"die_after": 0})
		w.note("engine %s is whole", engine)
	}},
	{"an engine fails", func(w *workload, random *rand.Rand) {
		engine := w.f.engines[random.IntN(len(w.f.engines))]
		w.note("engine %s answers 500", engine)
		w.f.behave(engine, map[string]any{"fail_share": 1})
		hold(faultTime)
		w.f.behave(engine, map[string]any{"fail_share": 0})
		w.note("engine %s is well", engine)
	}},
	{"planned stop of a node", func(w *workload, random *rand.Rand) {
		n := pick(w, random)
		w.note("stop %s", n.vm)
		n.stop()
		replace(w, n)
		w.note("%s is back", n.vm)
	}},
	{"a data hall is lost and replaced", func(w *workload, random *rand.Rand) {
		hall := pick(w, random).hall
		w.note("kill all of %s", hall)
		var lost []*entry
		for _, n := range w.f.nodes {
			if n.hall == hall {
				n.kill()
				lost = append(lost, n)
			}
		}
		hold(faultTime)
		replace(w, lost...)
		w.note("%s is back", hall)
	}},
}

// TestFaults runs the workload under each single fault and checks all ten
// points from the outside.
func TestFaults(t *testing.T) {
	for i, fault := range faults {
		t.Run(strings.ReplaceAll(fault.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			t.Log(runFault(t, fault, uint64(i)).summary())
		})
	}
}

// runFault runs the workload under one fault and checks it.
func runFault(t *testing.T, what fault, seed uint64) *workload {
	f := newFleet(t, faultShape)
	w := startWorkload(f, seed)
	w.flow()
	what.inject(w, rand.New(rand.NewPCG(seed, 0)))
	w.flow()
	w.stop()
	w.check(t)
	return w
}

// TestRandomFaults draws faults by a seed, some two at once. The run is
// repeated by `go test ./e2e -run TestRandomFaults -seed N -steps M`.
func TestRandomFaults(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d, %d steps", seed, *stepsFlag)
			random := rand.New(rand.NewPCG(seed, 99))
			f := newFleet(t, faultShape)
			w := startWorkload(f, seed)
			w.flow()
			for range *stepsFlag {
				w.step(random)
				w.flow()
			}
			w.stop()
			w.check(t)
			t.Log(w.summary())
		})
	}
}

// step injects one fault, or two at once if they do not act on the same part.
func (w *workload) step(random *rand.Rand) {
	first := faults[random.IntN(len(faults))]
	second := faults[random.IntN(len(faults))]
	seedA, seedB := random.Uint64(), random.Uint64()
	if random.IntN(2) == 0 || onNodes(first) && onNodes(second) || onPlatform(first) && onPlatform(second) {
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

func onNodes(f fault) bool {
	return strings.Contains(f.name, "node") || strings.Contains(f.name, "data hall is")
}

func onPlatform(f fault) bool { return strings.Contains(f.name, "platform") }
