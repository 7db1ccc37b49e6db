package retry

import (
	"sync"
	"time"
)

// slicesPerWindow is the number of parts of a window; what is older than the window
// goes slice by slice. More of them would follow the window more closely, and
// cost more at each request.
const slicesPerWindow = 20

// WindowBudgets bound by service how many requests one node sends once more: within
// any window, to a share of the requests of that window or of the one before,
// and a few more. They are for platforms that hold the system to such a bound
// over all nodes: if each node keeps to its part, the sum keeps to the whole.
// They are safe for concurrent use.
type WindowBudgets struct {
	ratio float64
	slack func() float64
	// sliceLength is how long each part of a window lasts. Slices are counted from
	// made on, by the steady clock: the time of day may be stepped.
	sliceLength time.Duration
	created     time.Time

	mu       sync.Mutex
	services map[string]*window
}

// window counts requests and repeats of a service in slices of time, each at
// the remainder of its number. There is room for the requests of two windows,
// this one and the one before.
type window struct {
	requests [2 * slicesPerWindow]int
	retries  [slicesPerWindow]int
	// newest is the number of the newest slice.
	newest int64
}

// NewWindowBudgets returns windows of that length, without requests. Repeats are
// bound to the ratio of a window's requests and to slack more, which is this
// node's part of what the platform allows beside the ratio. Slack is asked for
// anew each time, since it depends on the number of nodes.
func NewWindowBudgets(ratio float64, slack func() float64, length time.Duration) *WindowBudgets {
	return &WindowBudgets{ratio: ratio, slack: slack, sliceLength: length / slicesPerWindow, created: time.Now(), services: make(map[string]*window)}
}

// RecordRequest counts one request to a service.
func (w *WindowBudgets) RecordRequest(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.currentWindow(service)
	s.requests[s.newest%int64(len(s.requests))]++
}

// Take counts one repeat if the bound allows it and still leaves a share of the
// bound, spare, for others.
func (w *WindowBudgets) Take(service string, reserve float64) bool {
	slack := w.slack()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.currentWindow(service)
	if !w.allows(s, slack, reserve) {
		return false
	}
	s.retries[s.newest%slicesPerWindow]++
	return true
}

// Allows reports whether Take would count a repeat now.
func (w *WindowBudgets) Allows(service string, reserve float64) bool {
	slack := w.slack()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allows(w.currentWindow(service), slack, reserve)
}

func (w *WindowBudgets) allows(s *window, slack, reserve float64) bool {
	limit := w.ratio*float64(s.maxRequests()) + slack
	return float64(s.totalRetries()+1) <= limit*(1-reserve)
}

// currentWindow returns the service's window, moved on to the present slice.
func (w *WindowBudgets) currentWindow(service string) *window {
	now := int64(time.Since(w.created) / w.sliceLength)
	s := w.services[service]
	if s == nil {
		s = &window{newest: now}
		w.services[service] = s
	}
	if now-s.newest > int64(len(s.requests)) {
		*s = window{newest: now}
	}
	for s.newest < now {
		s.newest++
		s.requests[s.newest%int64(len(s.requests))] = 0
		s.retries[s.newest%slicesPerWindow] = 0
	}
	return s
}

// totalRetries returns the repeats of this window.
func (s *window) totalRetries() (sum int) {
	for _, n := range s.retries {
		sum += n
	}
	return sum
}

// maxRequests returns the requests of this window or of the one before, whichever
// had more.
func (s *window) maxRequests() int {
	current, previous := 0, 0
	for i := range int64(slicesPerWindow) {
		current += s.requests[(s.newest-i+2*slicesPerWindow)%int64(len(s.requests))]
		previous += s.requests[(s.newest-i+slicesPerWindow)%int64(len(s.requests))]
	}
	return max(current, previous)
}
