package rollout

import (
	"sync"
	"time"
)

const (
	// slowFactor times the usual wait, and slowMargin more, is slow. Bad
	// versions are several times slower; waits of a good one scatter with the
	// length of the prompts and the load, and do so in both versions.
	slowFactor = 4
	slowMargin = 100 * time.Millisecond
	// waitSmoothing is the weight of one answer in the usual wait.
	waitSmoothing = 0.05
	// minBaselineSamples are needed before a wait is called slow.
	minBaselineSamples = 10
)

// waitBaseline follows how long the versions in service take until their answers
// begin, by kind of request. It is safe for concurrent use.
type waitBaseline struct {
	mu    sync.Mutex
	waits map[string]*meanWait
}

type meanWait struct {
	mean    time.Duration
	samples int
}

// isSlow reports whether an answer took several times as long as is usual, and as
// it would for its size: one long prompt in ten takes four times what is usual
// for its kind, and more of them at servers whose caches are empty yet. A node
// that started late in a roll-out may never learn what was usual before it; an
// answer beyond its objective is slow there.
func (u *waitBaseline) isSlow(a Answer) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.waits[a.Kind]
	if w == nil || w.samples < minBaselineSamples {
		return a.Objective > 0 && a.Wait > a.Objective
	}
	return a.Wait > slowFactor*max(w.mean, a.Expected)+slowMargin
}

func (u *waitBaseline) observe(kind string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.waits[kind]
	if w == nil {
		w = &meanWait{mean: took}
		u.waits[kind] = w
	}
	w.mean += time.Duration(waitSmoothing * float64(took-w.mean))
	w.samples++
}
