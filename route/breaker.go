package route

import "time"

const (
	// failureThreshold is how many consecutive failures open the breaker.
	failureThreshold = 3
	minOpenDuration  = 500 * time.Millisecond
	maxOpenDuration  = 15 * time.Second
)

// breaker is a circuit breaker for one server. It opens after consecutive
// failures. After openDuration it admits one probe request at a time; a success
// closes it, a failed probe doubles openDuration up to maxOpenDuration. Other
// failures while it is open are of requests sent before, whose number says nothing.
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

// begin marks an attempt as the probe if the breaker is open.
func (b *breaker) begin(now time.Time) {
	if b.open() && now.After(b.openUntil) {
		b.probing = true
	}
}

func (b *breaker) succeed() { *b = breaker{} }

func (b *breaker) neutral() { b.probing = false }

// fail records the failure of a request sent at the given time. It reports whether
// that opened a closed breaker.
func (b *breaker) fail(now, sentAt time.Time) bool {
	if b.open() && !sentAt.After(b.openUntil) {
		return false
	}
	b.failures++
	b.probing = false
	if !b.open() {
		return false
	}
	b.openDuration = min(maxOpenDuration, max(minOpenDuration, 2*b.openDuration))
	b.openUntil = now.Add(b.openDuration)
	return b.failures == failureThreshold
}
