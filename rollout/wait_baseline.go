package rollout

import (
	"sync"
	"time"
)

const (
	// A response is slow if its wait exceeds slowFactor times the baseline plus
	// slowMargin, or fineMargin by the finer measure. Bad versions are several times slower. The waits of a good one
	// vary with prompt length and load, as do those of the version in service.
	slowFactor = 4
	slowMargin = 100 * time.Millisecond
	fineMargin = 50 * time.Millisecond
	// waitSmoothing is the weight of one response in the moving average.
	waitSmoothing = 0.05
	// minBaselineSamples is the number of responses needed before the baseline is
	// used.
	minBaselineSamples = 10
)

// waitBaseline averages a time that responses of the version in service take, until they begin or for their
// events, by kind of request. It is safe for concurrent use.
type waitBaseline struct {
	mu    sync.Mutex
	waits map[string]*meanWait
}

type meanWait struct {
	mean    time.Duration
	samples int
}

func newWaitBaseline() waitBaseline { return waitBaseline{waits: make(map[string]*meanWait)} }

// isSlow reports whether a time is several times both the
// baseline of its kind and the one expected for its size. The expected wait
// matters because one long prompt in ten takes four times the baseline, and more
// do on servers whose caches are still empty. Without a baseline, as on a node
// that started late in a rollout, a response is slow if it misses its objective.
func (b *waitBaseline) isSlow(kind string, wait, expected, objective, margin time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.waits[kind]
	if w == nil || w.samples < minBaselineSamples {
		return objective > 0 && wait > objective
	}
	return wait > slowFactor*max(w.mean, expected)+margin
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
