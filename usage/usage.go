// Package usage counts the requests that backend servers have begun to run, by client
// account and by window of time, and reports the sums of all nodes to the platform, once
// for each window.
//
// Each node counts its own requests in a [Meter]. The node that holds the lease collects
// the counts of all others in a [Tally] and makes the reports ([Reporter]). Counts only
// grow, so those of a process that has ended stay in the tally as last collected.
//
// A report whose response was lost may have been received, so it must not be sent with
// other figures. Its figures are therefore written to the platform's store before the first
// call. The next holder repeats what it finds there and goes on with the window after it.
//
// # Usage
//
//	meter := usage.NewMeter(process, windows, clock)
//	meter.Count(account)
//	tally := usage.NewTally()
//	tally.Add(started, snapshots) // from time to time, while this node holds the lease
//	go usage.NewReporter(usage.Options{…}).Run(ctx)
package usage

import (
	"maps"
	"sync"
	"time"

	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("usage")

	// Unreadable means that the last report in the store cannot be decoded.
	Unreadable = namespace.NewType("unreadable")
)

// Counts holds the number of requests by client account.
type Counts map[string]uint64

// Windows divides the time since 1970 into windows of equal length.
type Windows struct {
	// Length is the length of a window.
	Length time.Duration
	// Late is how long after the end of a window its report is due.
	Late time.Duration
}

// At returns the number of the window that contains a time.
func (w Windows) At(at time.Time) int64 { return at.UnixNano() / int64(w.Length) }

// End returns when a window ends.
func (w Windows) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(w.Length)) }

// expiry is how long after the end of a window its report is still of use: until it is
// twice as late as it may be.
func (w Windows) expiry() time.Duration { return 2 * w.Late }

// Oldest returns the oldest window whose report is still of use.
func (w Windows) Oldest(now time.Time) int64 { return w.At(now.Add(-w.expiry())) }

// Clock tells the time of day. After its start it advances with a steady clock, so a step
// of the system's clock does not move requests to other windows.
type Clock struct {
	start, steadyStart time.Time
	steady             func() time.Time
}

// NewClock returns a clock that is right now; steady returns a time that only advances.
func NewClock(now time.Time, steady func() time.Time) Clock {
	return Clock{start: now, steadyStart: steady(), steady: steady}
}

// Now returns the time of day.
func (c Clock) Now() time.Time { return c.start.Add(c.steady().Sub(c.steadyStart)) }

// Snapshot holds the counts of one process. The fields are exported for the codec.
type Snapshot struct {
	// Process identifies the process; one that restarts on the same VM has another name.
	Process string `cbor:"1,keyasint"`
	// Since is the window in which the process began to count.
	Since int64 `cbor:"2,keyasint"`
	// Windows holds the counts by window.
	Windows map[int64]Counts `cbor:"3,keyasint"`
}

// Meter counts the requests of one process. It is safe for concurrent use.
type Meter struct {
	process string
	windows Windows
	clock   Clock
	since   int64

	mu     sync.Mutex
	counts map[int64]Counts
}

// NewMeter returns a meter that has counted nothing.
func NewMeter(process string, windows Windows, clock Clock) *Meter {
	return &Meter{process: process, windows: windows, clock: clock, since: windows.At(clock.Now()), counts: make(map[int64]Counts)}
}

// Count counts a request that a server has begun to run.
func (m *Meter) Count(account string) {
	now := m.clock.Now()
	window := m.windows.At(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts[window]
	if counts == nil {
		counts = make(Counts)
		m.counts[window] = counts
		m.removeBefore(m.windows.Oldest(now))
	}
	counts[account]++
}

// removeBefore removes the counts that no report needs any more. The caller holds mu.
func (m *Meter) removeBefore(oldest int64) {
	maps.DeleteFunc(m.counts, func(window int64, _ Counts) bool { return window < oldest })
}

// Snapshot returns the counts of the windows from the given one on.
func (m *Meter) Snapshot(from int64) Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Snapshot{Process: m.process, Since: m.since, Windows: make(map[int64]Counts)}
	for window, counts := range m.counts {
		if window >= from {
			s.Windows[window] = maps.Clone(counts)
		}
	}
	return s
}

// Tally holds the collected counts of all processes. It is safe for concurrent use.
type Tally struct {
	mu sync.Mutex
	// counts is keyed by window and process, since by process.
	counts      map[int64]map[string]Counts
	since       map[string]int64
	collectedAt time.Time
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{counts: make(map[int64]map[string]Counts), since: make(map[string]int64)}
}

// Add adds the snapshots of a collection that started at the given time, and drops what was
// counted before the oldest window.
func (t *Tally) Add(started time.Time, oldest int64, snapshots []Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.collectedAt = started
	for _, s := range snapshots {
		t.since[s.Process] = s.Since
		for window, counts := range s.Windows {
			t.add(window, s.Process, counts)
		}
	}
	maps.DeleteFunc(t.counts, func(window int64, _ map[string]Counts) bool { return window < oldest })
}

// add stores a process's counts of a window, unless higher ones are known: collections may
// overtake each other. The caller holds mu.
func (t *Tally) add(window int64, process string, counts Counts) {
	byProcess := t.counts[window]
	if byProcess == nil {
		byProcess = make(map[string]Counts)
		t.counts[window] = byProcess
	}
	if counts.total() >= byProcess[process].total() {
		byProcess[process] = counts
	}
}

func (c Counts) total() uint64 {
	sum := uint64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// CollectedAt returns when the last collection started; zero if there was none.
func (t *Tally) CollectedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.collectedAt
}

// Sum returns the counts of a window over all processes. Known is false if no process is
// known that ran throughout the window, so that an empty sum says nothing.
func (t *Tally) Sum(window int64) (sum Counts, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum = make(Counts)
	for _, counts := range t.counts[window] {
		for account, n := range counts {
			sum[account] += n
		}
	}
	for _, since := range t.since {
		known = known || since < window
	}
	return sum, known || len(sum) > 0
}
