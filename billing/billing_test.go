package billing_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "seed of the only schedule to run; 0 runs the regression seeds and the first -seeds ones")
	seedsFlag = flag.Int("seeds", 12, "number of schedules; run some hundreds by hand before a merge")
)

// regressionSeeds are seeds beyond the default ones whose schedules have failed.
// 1323 and 1538: a node lost a bill's claim to a node that was then killed, and
// was itself removed. Its folded journal was mistaken for proof that it had won
// the bill, so the bill was in neither journal.
var regressionSeeds = []uint64{1323, 1538}

// TestSchedules runs random schedules of kills, planned stops, pauses, network
// partitions and platform outages on six nodes in three data halls. It checks
// that after recovery every request with a response has been billed exactly once,
// unless its bill was lost with its node (see unreplicated).
func TestSchedules(t *testing.T) {
	slog.SetLogLoggerLevel(slog.LevelError)
	if *seedFlag != 0 {
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	}
	seeds := slices.Clone(regressionSeeds)
	for seed := range uint64(*seedsFlag) {
		seeds = append(seeds, seed+1)
	}
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSchedule(t, seed) })
		})
	}
}

// recoveryTime is how long after the last fault the ledger must be correct. It
// spans two listings of the journals at the platform.
const recoveryTime = 130 * time.Second

func runSchedule(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newFleet(ctx, seed)
	random := rand.New(rand.NewPCG(seed, 2))
	sleep(ctx, time.Second)
	load, stop := context.WithCancel(ctx)
	go f.generateRequests(load)
	for range 4 {
		sleep(ctx, time.Duration(random.IntN(2000))*time.Millisecond)
		f.injectFaults(random)
	}
	sleep(ctx, time.Second)
	stop()
	f.withLock(func() { f.maxDelay, f.lossRate = 2*time.Millisecond, 0 })
	sleep(ctx, recoveryTime)
	if wrong := f.billingErrors(); len(wrong) > 0 {
		t.Errorf("billing errors among %d requests: %q", len(f.responses), wrong)
		for _, event := range f.events {
			t.Log(event)
		}
	}
	cancel()
	for _, p := range f.nodes {
		p.timers.Close()
	}
	// Let the goroutines of killed processes end.
	time.Sleep(time.Minute)
}

// injectFaults injects one node fault and, at the same time, possibly a fault of
// the platform or the network.
func (f *fleet) injectFaults(random *rand.Rand) {
	nodeFaults := []func(*rand.Rand){f.killOne, f.killHall, f.stopOne, f.pauseOne, f.partitionOne}
	otherFaults := []func(*rand.Rand){f.platformOutage, f.losePlatformResponses, f.disconnectHall, f.slowNetwork, func(*rand.Rand) {}}
	nodeFault, otherFault := nodeFaults[random.IntN(len(nodeFaults))], otherFaults[random.IntN(len(otherFaults))]
	a, b := rand.New(rand.NewPCG(random.Uint64(), 0)), rand.New(rand.NewPCG(random.Uint64(), 0))
	done := make(chan struct{})
	go func() {
		defer close(done)
		otherFault(b)
	}()
	nodeFault(a)
	<-done
	sleep(f.ctx, time.Duration(1000+random.IntN(3000))*time.Millisecond)
}

func randomUpTo(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d)))
}

// waitForPlatform waits until the platform is up, since a change of the view is
// written there.
func (f *fleet) waitForPlatform() {
	for {
		var down bool
		f.withLock(func() { down = f.platformDown })
		if !down || !sleep(f.ctx, 50*time.Millisecond) {
			return
		}
	}
}

func (f *fleet) killOne(random *rand.Rand) {
	all := f.running()
	p := all[random.IntN(len(all))]
	p.kill()
	sleep(f.ctx, randomUpTo(random, 3*time.Second))
	f.waitForPlatform()
	f.replace(p)
}

func (f *fleet) killHall(random *rand.Rand) {
	all := f.running()
	hall := all[random.IntN(len(all))].member.DataHall
	for _, p := range all {
		if p.member.DataHall == hall {
			p.kill()
		}
	}
	sleep(f.ctx, randomUpTo(random, 3*time.Second))
	f.waitForPlatform()
	for _, p := range all {
		if p.member.DataHall == hall {
			f.replace(p)
			sleep(f.ctx, randomUpTo(random, 200*time.Millisecond))
		}
	}
}

func (f *fleet) stopOne(random *rand.Rand) {
	all := f.running()
	p := all[random.IntN(len(all))]
	f.waitForPlatform()
	p.stop()
	f.replace(p)
}

func (f *fleet) pauseOne(random *rand.Rand) {
	all := f.running()
	p := all[random.IntN(len(all))]
	p.pauseFor(randomUpTo(random, 4*time.Second))
}

func (f *fleet) partitionOne(random *rand.Rand) {
	all := f.running()
	p := all[random.IntN(len(all))]
	f.logf("%s is partitioned from its peers", p.member.ID)
	f.withLock(func() { p.partitioned = true })
	time.AfterFunc(detectionDelay, func() { f.withLock(func() { p.detectedDown = p.partitioned }) })
	sleep(f.ctx, randomUpTo(random, 4*time.Second))
	f.withLock(func() { p.partitioned, p.detectedDown = false, false })
	f.logf("%s is connected to its peers again", p.member.ID)
}

func (f *fleet) platformOutage(random *rand.Rand) {
	sleep(f.ctx, randomUpTo(random, time.Second))
	f.logf("platform down")
	f.withLock(func() { f.platformDown = true })
	sleep(f.ctx, randomUpTo(random, 8*time.Second))
	f.withLock(func() { f.platformDown = false })
	f.logf("platform up")
}

func (f *fleet) losePlatformResponses(random *rand.Rand) {
	f.logf("platform starts losing responses")
	f.withLock(func() { f.losingResponses = true })
	sleep(f.ctx, randomUpTo(random, 4*time.Second))
	f.withLock(func() { f.losingResponses = false })
	f.logf("platform stops losing responses")
}

func (f *fleet) disconnectHall(random *rand.Rand) {
	all := f.running()
	hall := all[random.IntN(len(all))].member.DataHall
	f.logf("%s is disconnected from the platform", hall)
	setUnreachable := func(unreachable bool) {
		for _, p := range all {
			if p.member.DataHall == hall {
				f.withLock(func() { p.platformUnreachable = unreachable })
			}
		}
	}
	setUnreachable(true)
	sleep(f.ctx, randomUpTo(random, 6*time.Second))
	setUnreachable(false)
	f.logf("%s is connected to the platform again", hall)
}

// slowNetwork delays messages as much as processes short of CPU time do, and
// loses some of them.
func (f *fleet) slowNetwork(random *rand.Rand) {
	f.logf("network slow and lossy")
	f.withLock(func() { f.maxDelay, f.lossRate = 400*time.Millisecond, 0.02 })
	sleep(f.ctx, randomUpTo(random, 6*time.Second))
	f.withLock(func() { f.maxDelay, f.lossRate = 2*time.Millisecond, 0 })
	f.logf("network normal")
}
