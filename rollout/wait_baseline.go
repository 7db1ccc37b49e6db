package rollout

import (
	"sync"
	"time"
)

const (
	// A response is slow if its wait exceeds slowFactor times the baseline plus
	// slowMargin. Bad versions are several times slower. The waits of a good one
	// vary with prompt length and load, as do those of the version in service.
	slowFactor = 4
	slowMargin = 100 * time.Millisecond
	// waitSmoothing is the weight of one response in the moving average.
	waitSmoothing = 0.05
	// minBaselineSamples is the number of responses needed before the baseline is
	// used.
	minBaselineSamples = 10
)

// waitBaseline averages the time until responses of the version in service begin,
// by kind of request. It is safe for concurrent use.
type waitBaseline struct {
	mu    sync.Mutex
	waits map[string]*meanWait
}

type meanWait struct {
	mean    time.Duration
	samples int
}

// isSlow reports whether the wait for a response is several times both the
// baseline of its kind and the wait expected for its size. The expected wait
// matters because one long prompt in ten takes four times the baseline, and more
// do on servers whose caches are still empty. Without a baseline, as on a node
// that started late in a rollout, a response is slow if it misses its objective.
func (b *waitBaseline) isSlow(s Sample) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.waits[s.Kind]
	if w == nil || w.samples < minBaselineSamples {
		return s.Objective > 0 && s.Wait > s.Objective
	}
	return s.Wait > slowFactor*max(w.mean, s.Expected)+slowMargin
}

func (b *waitBaseline) observe(kind string, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.waits[kind]
	if w == nil {
		w = &meanWait{mean: wait}
		b.waits[kind] = w
	}
	w.mean += time.Duration(waitSmoothing * float64(wait-w.mean))
	w.samples++
}
