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
	seedFlag  = flag.Uint64("seed", 0, "seed of one schedule; 0 plays -seeds of them")
	seedsFlag = flag.Int("seeds", 12, "number of schedules; some hundreds by hand before a landing")
)

// regressionSeeds are schedules beyond the first that found a fault. 1323 and 1538: a
// node had left a bill to another one that was killed, and was gone itself; its
// folded journal passed for the bill's own, and the bill was in neither.
var regressionSeeds = []uint64{1323, 1538}

// TestSchedules plays drawn schedules of kills, stops, freezes, cuts and
// outages over six nodes in three data halls, and asks of each: when all is
// whole again, has every request that was answered been billed once?
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

// recoveryTime is how long after the last fault the ledger has to be right: two
// listings of the journals at the platform.
const recoveryTime = 130 * time.Second

func runSchedule(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newFleet(ctx, seed)
	random := rand.New(rand.NewPCG(seed, 2))
	sleep(ctx, time.Second)
	working, stop := context.WithCancel(ctx)
	go f.generateRequests(working)
	for range 4 {
		sleep(ctx, time.Duration(random.IntN(2000))*time.Millisecond)
		f.injectFaults(random)
	}
	sleep(ctx, time.Second)
	stop()
	f.withLock(func() { f.maxDelay, f.lossRate = 2*time.Millisecond, 0 })
	sleep(ctx, recoveryTime)
	if wrong := f.billingErrors(); len(wrong) > 0 {
		t.Errorf("of %d requests: %q", len(f.responses), wrong)
		for _, line := range f.events {
			t.Log(line)
		}
	}
	cancel()
	for _, p := range f.nodes {
		p.timers.Close()
	}
	// Tasks of processes that were killed end by themselves.
	time.Sleep(time.Minute)
}

// injectFaults injects one fault of nodes and perhaps one of the platform or of the
// network beside it.
func (f *fleet) injectFaults(random *rand.Rand) {
	nodes := []func(*rand.Rand){f.killOne, f.killHall, f.stopOne, f.pauseOne, f.partitionOne}
	beside := []func(*rand.Rand){f.platformOutage, f.losePlatformResponses, f.disconnectHall, f.slowNetwork, func(*rand.Rand) {}}
	first, second := nodes[random.IntN(len(nodes))], beside[random.IntN(len(beside))]
	a, b := rand.New(rand.NewPCG(random.Uint64(), 0)), rand.New(rand.NewPCG(random.Uint64(), 0))
	done := make(chan struct{})
	go func() {
		defer close(done)
		second(b)
	}()
	first(a)
	<-done
	sleep(f.ctx, time.Duration(1000+random.IntN(3000))*time.Millisecond)
}

func randomUpTo(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d)))
}

// waitForPlatform waits for the platform, which a change of the view needs.
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
	f.logf("peers do not reach %s", p.member.ID)
	f.withLock(func() { p.partitioned = true })
	time.AfterFunc(detectionDelay, func() { f.withLock(func() { p.detectedDown = p.partitioned }) })
	sleep(f.ctx, randomUpTo(random, 4*time.Second))
	f.withLock(func() { p.partitioned, p.detectedDown = false, false })
	f.logf("peers reach %s", p.member.ID)
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
	f.logf("platform loses answers")
	f.withLock(func() { f.losingResponses = true })
	sleep(f.ctx, randomUpTo(random, 4*time.Second))
	f.withLock(func() { f.losingResponses = false })
	f.logf("platform answers")
}

func (f *fleet) disconnectHall(random *rand.Rand) {
	all := f.running()
	hall := all[random.IntN(len(all))].member.DataHall
	f.logf("%s does not reach the platform", hall)
	of := func(cut bool) {
		for _, p := range all {
			if p.member.DataHall == hall {
				f.withLock(func() { p.platformUnreachable = cut })
			}
		}
	}
	of(true)
	sleep(f.ctx, randomUpTo(random, 6*time.Second))
	of(false)
	f.logf("%s reaches the platform", hall)
}

// slowNetwork makes messages as slow as those of processes that get little of
// a processor, and loses some.
func (f *fleet) slowNetwork(random *rand.Rand) {
	f.logf("slow network")
	f.withLock(func() { f.maxDelay, f.lossRate = 400*time.Millisecond, 0.02 })
	sleep(f.ctx, randomUpTo(random, 6*time.Second))
	f.withLock(func() { f.maxDelay, f.lossRate = 2*time.Millisecond, 0 })
	f.logf("quick network")
}
