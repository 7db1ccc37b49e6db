package route

import "time"

const (
	// failureThreshold is how many failures in a row take a server out.
	failureThreshold = 3
	minOpenDuration  = 500 * time.Millisecond
	maxOpenDuration  = 15 * time.Second
)

// breaker takes a server out after failures in a row. After a pause it lets
// one request through at a time; a success closes it, a failure doubles the
// pause.
type breaker struct {
	failures     int
	openDuration time.Duration
	openUntil    time.Time
	probing      bool
}

func (b *breaker) open() bool { return b.failures >= failureThreshold }

func (b *breaker) allows(now time.Time) bool {
	return !b.open() || (now.After(b.openUntil) && !b.probing)
}

// begin counts an attempt as the probe of an open breaker.
func (b *breaker) begin(now time.Time) {
	if b.open() && now.After(b.openUntil) {
		b.probing = true
	}
}

func (b *breaker) succeed() { *b = breaker{} }

func (b *breaker) neutral() { b.probing = false }

// fail counts a failure. It returns true when it takes the server out.
func (b *breaker) fail(now time.Time) bool {
	b.failures++
	b.probing = false
	if !b.open() {
		return false
	}
	b.openDuration = min(maxOpenDuration, max(minOpenDuration, 2*b.openDuration))
	b.openUntil = now.Add(b.openDuration)
	return b.failures == failureThreshold
}
