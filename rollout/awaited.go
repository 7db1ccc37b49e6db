package rollout

import (
	"sync"
	"time"
)

const (
	// paceEvents is the number of events of a stream whose time is compared with that of others, minPaceEvents
	// the least number from which it is extrapolated if the stream is shorter.
	paceEvents    = 8
	minPaceEvents = 3
)

// Awaited is a response that is being followed. It is counted for its version as it begins, and as slow by the finer
// measure as soon as it is, once: slow responses would otherwise be found out late, after the fast ones. The nil value
// follows nothing. It is safe for concurrent use.
type Awaited struct {
	services      *ServicePicker
	service, name string

	mu     sync.Mutex
	sample Sample
	// sentAt is when the request was sent, begunAt when the response began, zero before.
	sentAt, begunAt time.Time
	events          int
	// slow means that the response is counted as slow by the finer measure, paced that its pace is known.
	slow, paced bool
}

// Await follows the response to a request that is being sent, under a name that Choose returned. The sample tells what
// is known of the response.
func (s *ServicePicker) Await(service, name string, sample Sample) *Awaited {
	a := &Awaited{services: s, service: service, name: name, sample: sample, sentAt: time.Now()}
	if name != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.awaited[a] = struct{}{}
	}
	return a
}

// Begin records that the response has begun, that it is given up as late, or that the server itself has failed.
func (a *Awaited) Begin(late, failed bool) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begunAt = time.Now()
	a.sample.Wait, a.sample.Late, a.sample.Failed = a.begunAt.Sub(a.sentAt), late, failed
	a.markSlow(a.sample)
	a.services.count(a.service, a.name, a.sample)
}

// Event records that an event of a stream has come.
func (a *Awaited) Event() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.events++; a.events == paceEvents {
		a.setPace(time.Since(a.begunAt))
	}
}

// End ends the following of a response.
func (a *Awaited) End() {
	if a == nil {
		return
	}
	a.mu.Lock()
	if a.events >= minPaceEvents && !a.paced {
		a.setPace(time.Since(a.begunAt) * paceEvents / time.Duration(a.events))
	}
	a.mu.Unlock()
	if a.name != "" {
		a.services.mu.Lock()
		defer a.services.mu.Unlock()
		delete(a.services.awaited, a)
	}
}

// setPace records the time for paceEvents events. The caller holds mu.
func (a *Awaited) setPace(pace time.Duration) {
	a.paced = true
	sample := a.sample
	sample.Pace = pace
	a.markSlow(sample)
	if a.name == "" || isInService(a.name) {
		a.services.recentPaces.observe(sample.Kind, pace)
	}
}

// markSlow counts the response as slow by the finer measure if a sample shows that. The caller holds mu.
func (a *Awaited) markSlow(sample Sample) {
	if a.name != "" && !a.slow && a.services.isSlowFine(sample) {
		a.slow = true
		a.services.picker.countSlowFine(a.service, a.name)
	}
}

// check counts the response as slow by the finer measure if it is by now.
func (a *Awaited) check() {
	a.mu.Lock()
	defer a.mu.Unlock()
	sample := a.sample
	switch {
	case a.begunAt.IsZero():
		sample.Wait = time.Since(a.sentAt)
	case a.events > 0 && !a.paced:
		sample.Pace = time.Since(a.begunAt)
	}
	a.markSlow(sample)
}

// Counts returns all counts of this node. Responses that are slow already are counted as such, though they have not
// ended.
func (s *ServicePicker) Counts() Counts {
	s.mu.Lock()
	responses := make([]*Awaited, 0, len(s.awaited))
	for a := range s.awaited {
		responses = append(responses, a)
	}
	s.mu.Unlock()
	for _, a := range responses {
		a.check()
	}
	return s.picker.Counts()
}
