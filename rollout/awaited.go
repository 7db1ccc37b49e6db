package rollout

import "time"

// awaited is a response that has not begun. Those of a slow version would be counted late, after the fast ones, so
// they are counted as soon as they are slow.
type awaited struct {
	service, name string
	sample        Sample
	began         time.Time
	counted       bool
}

// Await records that a response is awaited from now on, under a name that Choose returned. The sample tells what is
// known of it. The returned function ends that, and reports whether the response was counted as slow meanwhile.
func (s *ServicePicker) Await(service, name string, sample Sample) (stop func() (counted bool)) {
	if name == "" {
		return func() bool { return false }
	}
	a := &awaited{service: service, name: name, sample: sample, began: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaited[a] = struct{}{}
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.awaited, a)
		return a.counted
	}
}

// Counts returns all counts of this node. Responses that are slow already are counted, though they have not begun.
func (s *ServicePicker) Counts() Counts {
	s.countAwaited()
	return s.picker.Counts()
}

// countAwaited counts the awaited responses that are slow by now.
func (s *ServicePicker) countAwaited() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.awaited {
		sample := a.sample
		sample.Wait = time.Since(a.began)
		if !a.counted && s.baseline.isSlow(sample) {
			a.counted = true
			s.picker.count(a.service, a.name, false, true)
		}
	}
}
