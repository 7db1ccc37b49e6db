package retry

import (
	"sync"
	"time"
)

// slices is the number of parts of a window; what is older than the window
// goes slice by slice. More of them would follow the window more closely, and
// cost more at each request.
const slices = 20

// WindowBudgets bound by service how many requests one node sends once more: within
// any window, to a share of the requests of that window or of the one before,
// and a few more. They are for platforms that hold the system to such a bound
// over all nodes: if each node keeps to its part, the sum keeps to the whole.
// They are safe for concurrent use.
type WindowBudgets struct {
	ratio float64
	slack func() float64
	// slice is how long each part of a window lasts. Slices are counted from
	// made on, by the steady clock: the time of day may be stepped.
	slice time.Duration
	made  time.Time

	mu       sync.Mutex
	services map[string]*window
}

// window counts requests and repeats of a service in slices of time, each at
// the remainder of its number. There is room for the requests of two windows,
// this one and the one before.
type window struct {
	requests [2 * slices]int
	repeats  [slices]int
	// at is the number of the newest slice.
	at int64
}

// NewWindowBudgets returns windows of that length, without requests. Repeats are
// bound to the ratio of a window's requests and to slack more, which is this
// node's part of what the platform allows beside the ratio. Slack is asked for
// anew each time, since it depends on the number of nodes.
func NewWindowBudgets(ratio float64, slack func() float64, length time.Duration) *WindowBudgets {
	return &WindowBudgets{ratio: ratio, slack: slack, slice: length / slices, made: time.Now(), services: make(map[string]*window)}
}

// RecordRequest counts one request to a service.
func (w *WindowBudgets) RecordRequest(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.current(service)
	s.requests[s.at%int64(len(s.requests))]++
}

// Take counts one repeat if the bound allows it and still leaves a share of the
// bound, spare, for others.
func (w *WindowBudgets) Take(service string, spare float64) bool {
	slack := w.slack()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.current(service)
	if !w.allows(s, slack, spare) {
		return false
	}
	s.repeats[s.at%slices]++
	return true
}

// Allows reports whether Take would count a repeat now.
func (w *WindowBudgets) Allows(service string, spare float64) bool {
	slack := w.slack()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allows(w.current(service), slack, spare)
}

func (w *WindowBudgets) allows(s *window, slack, spare float64) bool {
	bound := w.ratio*float64(s.most()) + slack
	return float64(s.repeated()+1) <= bound*(1-spare)
}

// current returns the service's window, moved on to the present slice.
func (w *WindowBudgets) current(service string) *window {
	now := int64(time.Since(w.made) / w.slice)
	s := w.services[service]
	if s == nil {
		s = &window{at: now}
		w.services[service] = s
	}
	if now-s.at > int64(len(s.requests)) {
		*s = window{at: now}
	}
	for s.at < now {
		s.at++
		s.requests[s.at%int64(len(s.requests))] = 0
		s.repeats[s.at%slices] = 0
	}
	return s
}

// repeated returns the repeats of this window.
func (s *window) repeated() (sum int) {
	for _, n := range s.repeats {
		sum += n
	}
	return sum
}

// most returns the requests of this window or of the one before, whichever
// had more.
func (s *window) most() int {
	this, before := 0, 0
	for i := range int64(slices) {
		this += s.requests[(s.at-i+2*slices)%int64(len(s.requests))]
		before += s.requests[(s.at-i+slices)%int64(len(s.requests))]
	}
	return max(this, before)
}
