package relay

import (
	"sync"
	"time"

	"github.com/violettally/violettally/estimate"
)

const (
	// assumedMillisPerOutputToken is the assumed time in milliseconds to generate a token
	// before any response has been seen. Estimates from it are marked as unknown, so the order
	// of magnitude is enough.
	assumedMillisPerOutputToken = 5.0
	// minDurationSamples is how many samples make a duration known.
	minDurationSamples = 3
	// boundDeviations is how many mean deviations the upper bound is above the expected
	// duration. A draining node that admits what fits on average truncates many responses.
	boundDeviations = 2
	// maxKinds bounds the kinds of request that are tracked; declarations have a few hundred
	// routes.
	maxKinds = 2048
)

// durations estimates how long responses take from header to end, per kind of request, as a
// function of the maximum number of output tokens. It is safe for concurrent use.
type durations struct {
	mu    sync.Mutex
	kinds map[string]*durationEstimate
}

// durationEstimate is the estimate for one kind.
type durationEstimate struct {
	regression *estimate.Regression
	samples    int
}

func newDurations() *durations { return &durations{kinds: make(map[string]*durationEstimate)} }

// learn records the duration of a whole response.
func (l *durations) learn(kind string, tokens int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind(kind).learn(tokens, took)
}

// learnTruncated records how long a response had taken when it was cut off. Learning from whole
// responses alone would bias the estimate towards short ones.
func (l *durations) learnTruncated(kind string, tokens int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.kind(kind); toMillis(took) > k.regression.Predict(float64(tokens)) {
		k.learn(tokens, took)
	}
}

// kind returns the estimate for a kind, creating it if needed. The caller holds mu.
func (l *durations) kind(name string) *durationEstimate {
	k := l.kinds[name]
	if k == nil {
		if len(l.kinds) >= maxKinds {
			clear(l.kinds)
		}
		k = &durationEstimate{regression: estimate.New(0, assumedMillisPerOutputToken)}
		l.kinds[name] = k
	}
	return k
}

func (k *durationEstimate) learn(tokens int, took time.Duration) {
	k.samples++
	k.regression.AddSample(float64(tokens), toMillis(took), 1)
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// upperBound returns a duration that responses of the kind rarely exceed; false if there are
// too few samples.
func (l *durations) upperBound(kind string, tokens int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[kind]
	if k == nil || k.samples < minDurationSamples {
		return 0, false
	}
	millis := k.regression.Predict(float64(tokens)) * (1 + boundDeviations*k.regression.Deviation())
	return time.Duration(millis * float64(time.Millisecond)), true
}
