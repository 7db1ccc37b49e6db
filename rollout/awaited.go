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

// Awaited is a response that is being followed until it is counted for its version, once: as slow as soon as it is,
// or else when its pace is known or it ends. Slow responses would otherwise be counted late, after the fast ones.
// The nil value follows nothing. It is safe for concurrent use.
type Awaited struct {
	services      *ServicePicker
	service, name string

	mu     sync.Mutex
	sample Sample
	// sentAt is when the request was sent, begunAt when the response began, zero before.
	sentAt, begunAt time.Time
	events          int
	// done means that the response is counted, or is not to be.
	done bool
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
	if late || failed || a.services.isSlow(a.sample) {
		a.count()
	}
}

// Event records that an event of a stream has come.
func (a *Awaited) Event() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.events++; a.events == paceEvents {
		a.sample.Pace = time.Since(a.begunAt)
		a.count()
	}
}

// End ends a response. One that has begun is counted, unless it is already.
func (a *Awaited) End() {
	if a == nil {
		return
	}
	a.mu.Lock()
	if !a.begunAt.IsZero() {
		if a.events >= minPaceEvents && a.events < paceEvents {
			a.sample.Pace = time.Since(a.begunAt) * paceEvents / time.Duration(a.events)
		}
		a.count()
	}
	a.done = true
	a.mu.Unlock()
	if a.name != "" {
		a.services.mu.Lock()
		defer a.services.mu.Unlock()
		delete(a.services.awaited, a)
	}
}

// count counts the response, once. The caller holds mu.
func (a *Awaited) count() {
	if !a.done {
		a.done = true
		a.services.Count(a.service, a.name, a.sample)
	}
}

// countIfSlow counts the response if it is slow by now.
func (a *Awaited) countIfSlow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	sample := a.sample
	if a.begunAt.IsZero() {
		sample.Wait = time.Since(a.sentAt)
	} else if a.events > 0 {
		sample.Pace = time.Since(a.begunAt)
	}
	if a.services.isSlow(sample) {
		a.sample = sample
		a.count()
	}
}

// Counts returns all counts of this node. Responses that are slow already are counted, though they have not ended.
func (s *ServicePicker) Counts() Counts {
	s.mu.Lock()
	responses := make([]*Awaited, 0, len(s.awaited))
	for a := range s.awaited {
		responses = append(responses, a)
	}
	s.mu.Unlock()
	for _, a := range responses {
		a.countIfSlow()
	}
	return s.picker.Counts()
}
