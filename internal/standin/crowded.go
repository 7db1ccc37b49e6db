package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Crowded is a stand-in for a backend server of the users' platform with few places, which ends
// for a while if it must reject too many requests.
type Crowded struct {
	spec CrowdedSpec

	startedAt time.Time

	mu               sync.Mutex
	running, waiting int
	// freed is closed and replaced when a place becomes free or the server ends.
	freed chan struct{}
	// ended is closed and replaced when the server ends; it is back at downUntil.
	ended      chan struct{}
	downUntil  time.Time
	rejections []time.Time
	served     int
	crashes    int
}

// CrowdedSpec describes a Crowded server.
type CrowdedSpec struct {
	ID string
	// Slots is the number of requests that run at once, Queue that of those that may wait from
	// AdaptTime after the start; before, any number may.
	Slots, Queue int
	AdaptTime    time.Duration
	// Work is how long a request runs.
	Work time.Duration
	// RejectionLimit is the number of requests that the server can reject in a second.
	RejectionLimit float64
	// DownTime is how long it is down if it rejects more.
	DownTime time.Duration
	// Restarted is called as the server comes back, as its next incarnation.
	Restarted func()
}

// NewCrowded returns a server.
func NewCrowded(spec CrowdedSpec) *Crowded {
	return &Crowded{spec: spec, startedAt: time.Now(), freed: make(chan struct{}), ended: make(chan struct{})}
}

// Counts returns how many requests were served, and how often the server ended, so far.
func (c *Crowded) Counts() (served, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served, c.crashes
}

// ServeHTTP runs one request, or rejects it if there is no place.
func (c *Crowded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if r.Header.Get("X-Expect-Runner") != c.spec.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ended, ok := c.enter(r)
	if !ok {
		c.setHeaders(w.Header())
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer c.leave()
	select {
	case <-time.After(c.spec.Work):
	case <-ended:
		panic(http.ErrAbortHandler)
	}
	c.setHeaders(w.Header())
	_, _ = io.WriteString(w, "record")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served++
}

// enter takes a place, and waits for one if it may. It returns false if there is none, and the
// channel that is closed if the server ends.
func (c *Crowded) enter(r *http.Request) (ended <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.downUntil) {
		panic(http.ErrAbortHandler)
	}
	adapted := time.Since(c.startedAt) >= c.spec.AdaptTime
	if c.running >= c.spec.Slots && c.waiting >= c.spec.Queue && adapted {
		c.reject()
		return nil, false
	}
	for c.running >= c.spec.Slots {
		c.wait(r)
	}
	c.running++
	return c.ended, true
}

// wait waits until a place may be free. The caller holds mu.
func (c *Crowded) wait(r *http.Request) {
	c.waiting++
	freed, ended := c.freed, c.ended
	c.mu.Unlock()
	gone := false
	select {
	case <-freed:
	case <-ended:
		gone = true
	case <-r.Context().Done():
		gone = true
	}
	c.mu.Lock()
	c.waiting--
	if gone {
		panic(http.ErrAbortHandler)
	}
}

// leave frees a place.
func (c *Crowded) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	close(c.freed)
	c.freed = make(chan struct{})
}

// reject counts a rejected request, and ends the server if these are too many. The caller holds mu.
func (c *Crowded) reject() {
	now := time.Now()
	c.rejections = slices.DeleteFunc(c.rejections, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	c.rejections = append(c.rejections, now)
	if float64(len(c.rejections)) <= c.spec.RejectionLimit {
		return
	}
	c.crashes++
	c.end()
}

// Kill ends the server for a while, which Counts does not count.
func (c *Crowded) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// end ends the server until it comes back as its next incarnation. The caller holds mu.
func (c *Crowded) end() {
	c.rejections = nil
	c.downUntil = time.Now().Add(c.spec.DownTime)
	close(c.ended)
	c.ended = make(chan struct{})
	time.AfterFunc(c.spec.DownTime, c.spec.Restarted)
}

// setHeaders sets what the server says of itself in each response.
func (c *Crowded) setHeaders(h http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.Set("X-Stamp", "stamp-"+c.spec.ID)
	h.Set("X-Runner-Load", fmt.Sprintf("%d,%d,%d", c.running, c.waiting, c.spec.Slots))
	h.Set("Server-Brittle", strconv.FormatFloat(c.spec.RejectionLimit, 'f', -1, 64))
}
