package suspect

import "time"

const (
	// firstTest is how long after its verdict a request is tried again, as one that
	// was wrongly refused is then served, and one that still ends its server ends
	// few: each test that fails doubles the pause.
	firstTest = time.Minute
	// lastTest bounds the pause, so that a test comes before the verdict is forgotten.
	lastTest = 8 * time.Minute
	// pardonTime is how long it may take until the store tells of a pardon.
	pardonTime = 10 * time.Second
)

// verdict is that a request is refused.
type verdict struct {
	// since is when this node learned of it, or of the last test.
	since time.Time
	// proved is when this node had evidence enough of its own; zero if it has not.
	proved time.Time
	// stored says that the store tells of it.
	stored bool
	// tests is how often the request was tried again since.
	tests int
}

// pause is how long after its beginning, or the last test, the next test may come.
func (v *verdict) pause() time.Duration {
	pause := firstTest
	for range v.tests {
		pause = min(2*pause, lastTest)
	}
	return pause
}

// Refuses reports whether a request is to be sent to no server any more.
func (l *Detector) Refuses(digest uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdicts[digest] != nil
}

// ProbeDue reports whether it is time to put a verdict to the test: to send the request
// once more. It does so to one caller, and not again before the next pause is over;
// tests is what to store, before the request is sent, as the number of tests.
func (l *Detector) ProbeDue(digest uint64) (tests int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.verdicts[digest]
	if v == nil || l.timers.Steady().Sub(v.since) < v.pause() {
		return 0, false
	}
	v.since = l.timers.Steady()
	return v.tests + 1, true
}

// pardon ends a verdict. The caller holds mu.
func (l *Detector) pardon(digest uint64) {
	delete(l.verdicts, digest)
	l.pardoned[digest] = l.timers.Steady()
}

// ApplyStored takes the word of the store, or of whoever has just written there, that a
// request is refused and was tested that often since. Just after a pardon here that is
// old news, or soon will be.
func (l *Detector) ApplyStored(digest uint64, tests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.verdicts[digest]
	if at, ok := l.pardoned[digest]; v == nil && ok && l.timers.Steady().Sub(at) < pardonTime {
		return
	}
	if v == nil {
		v = &verdict{since: l.timers.Steady()}
		l.verdicts[digest] = v
	}
	v.stored = true
	if tests > v.tests {
		v.tests, v.since = tests, l.timers.Steady()
	}
}

// ApplyWithdrawn takes the word of the store that a request has been answered since, or
// that its servers go on. It reports whether the request was refused here.
func (l *Detector) ApplyWithdrawn(digest uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clear(digest) == ClearedVerdict
}

// ApplyExpired takes the news that the store tells no more of a verdict. One that this node
// has evidence for stays, as long as that is remembered: verdicts lapse early while the
// store is away. It reports whether it stays.
func (l *Detector) ApplyExpired(digest uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetOld()
	v := l.verdicts[digest]
	if v == nil {
		return false
	}
	v.stored = false
	if v.proved.IsZero() {
		delete(l.verdicts, digest)
		return false
	}
	return true
}
