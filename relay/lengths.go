package relay

import (
	"sync"
	"time"

	"github.com/violettally/violettally/estimate"
)

const (
	// assumedLength is the time in milliseconds of a token that is made, while
	// no answer has been seen. It is told apart from what is known, so that it
	// only has to be of the right order.
	assumedLength = 5.0
	// lengthSamples are needed before a length counts as known.
	lengthSamples = 3
	// lengthDeviations is how many mean deviations above what is expected a
	// length is bounded. With one, 168 of 1,273 requests that leaving nodes
	// took under load were broken off, with two 95 of 1,122, and refusing the
	// others cost callers nothing that shows.
	lengthDeviations = 2
	// maxKinds bounds the kinds of request that are remembered; declarations
	// come with some hundred routes.
	maxKinds = 2048
)

// lengths learns how long answers of each kind take from their heads to their
// ends, by the most tokens that they may have. It is safe for concurrent use.
type lengths struct {
	mu    sync.Mutex
	kinds map[string]*lengthLine
}

// lengthLine is what is known of one kind.
type lengthLine struct {
	line    *estimate.Regression
	samples int
}

func newLengths() *lengths { return &lengths{kinds: make(map[string]*lengthLine)} }

// learn takes the length of one whole answer.
func (l *lengths) learn(kind string, tokens int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind(kind).learn(tokens, took)
}

// learnCut takes how long an answer had taken when it was cut off. Were only whole
// ones learned, the shortest would speak for all.
func (l *lengths) learnCut(kind string, tokens int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.kind(kind); inMilliseconds(took) > k.line.Predict(float64(tokens)) {
		k.learn(tokens, took)
	}
}

// kind returns what is known of a kind, which may be nothing yet. The caller
// holds mu.
func (l *lengths) kind(name string) *lengthLine {
	k := l.kinds[name]
	if k == nil {
		if len(l.kinds) >= maxKinds {
			clear(l.kinds)
		}
		k = &lengthLine{line: estimate.New(0, assumedLength)}
		l.kinds[name] = k
	}
	return k
}

func (k *lengthLine) learn(tokens int, took time.Duration) {
	k.samples++
	k.line.AddSample(float64(tokens), inMilliseconds(took), 1)
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// bound returns a length that answers hardly exceed; false while too little is
// known.
func (l *lengths) bound(kind string, tokens int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[kind]
	if k == nil || k.samples < lengthSamples {
		return 0, false
	}
	millis := k.line.Predict(float64(tokens)) * (1 + lengthDeviations*k.line.Deviation())
	return time.Duration(millis * float64(time.Millisecond)), true
}
