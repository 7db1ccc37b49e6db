package route

import "time"

const (
	// breakAfter is how many failures in a row take a server out.
	breakAfter = 3
	firstBreak = 500 * time.Millisecond
	maxBreak   = 15 * time.Second
)

// breaker takes a server out after failures in a row. After a pause it lets
// one request through at a time; a success closes it, a failure doubles the
// pause.
type breaker struct {
	failures int
	pause    time.Duration
	until    time.Time
	probing  bool
}

func (b *breaker) open() bool { return b.failures >= breakAfter }

func (b *breaker) allows(now time.Time) bool {
	return !b.open() || (now.After(b.until) && !b.probing)
}

// begin counts an attempt as the probe of an open breaker.
func (b *breaker) begin(now time.Time) {
	if b.open() && now.After(b.until) {
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
	b.pause = min(maxBreak, max(firstBreak, 2*b.pause))
	b.until = now.Add(b.pause)
	return b.failures == breakAfter
}
