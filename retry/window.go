package retry

import (
	"sync"
	"time"
)

// slicesPerWindow is the number of slices in a window. Counts expire one slice
// at a time; more slices would follow the window more closely, at a higher cost
// per request.
const slicesPerWindow = 20

// WindowBudgets limits, by service, how many retries one node sends: within any
// window, to a share of the requests in that window or in the previous one,
// whichever had more, plus a small allowance. It is for platforms that apply
// such a limit to all nodes together: if each node stays within its part, the
// sum stays within the limit. It is safe for concurrent use.
type WindowBudgets struct {
	ratio float64
	slack func() float64
	// sliceLength is the duration of one slice. Slices are numbered from
	// created on, by the monotonic clock, since the wall clock may be stepped.
	sliceLength time.Duration
	created     time.Time

	mu       sync.Mutex
	services map[string]*window
}

// window counts a service's requests and retries in slices. A slice's index is
// its number modulo the length of the array. Requests are kept for two windows,
// the current and the previous one.
type window struct {
	requests [2 * slicesPerWindow]int
	retries  [slicesPerWindow]int
	// newest is the number of the newest slice.
	newest int64
}

// NewWindowBudgets returns budgets for windows of the given length. Retries are
// limited to ratio times a window's requests, plus slack: this node's part of
// what the platform allows in addition to the ratio. Slack is called each time,
// since it depends on the number of nodes.
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

// Take counts one retry if the limit allows it. Reserve is the share of the
// limit that must be left for other uses.
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

// Allows reports whether Take would succeed now.
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

// currentWindow returns the service's window, advanced to the current slice.
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

// totalRetries returns the number of retries in the current window.
func (s *window) totalRetries() (sum int) {
	for _, n := range s.retries {
		sum += n
	}
	return sum
}

// maxRequests returns the number of requests in the current window or in the
// previous one, whichever had more.
func (s *window) maxRequests() int {
	current, previous := 0, 0
	for i := range int64(slicesPerWindow) {
		current += s.requests[(s.newest-i+2*slicesPerWindow)%int64(len(s.requests))]
		previous += s.requests[(s.newest-i+slicesPerWindow)%int64(len(s.requests))]
	}
	return max(current, previous)
}
