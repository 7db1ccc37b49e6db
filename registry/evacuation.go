package registry

import (
	"maps"
	"time"
)

// Evacuation is an operator's order to send nothing more to the servers of a data hall.
type Evacuation struct {
	// Revision is the store's revision of the order.
	Revision int64
	// Since is when the order arrived, by [timer.Service.Steady].
	Since time.Time
}

// Evacuate takes the servers of a data hall out of use, including those that register
// later, until Restore. Requests that run there go on. It returns the evacuation, and
// false if the data hall was evacuated before.
func (r *Registry) Evacuate(dataHall string, revision int64) (Evacuation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.evacuated[dataHall]; ok {
		return e, false
	}
	e := Evacuation{Revision: revision, Since: r.timers.Steady()}
	r.evacuated[dataHall] = e
	r.markHallChanged(dataHall)
	return e, true
}

// Restore ends the evacuation of a data hall. It returns the evacuation, and false if there
// was none.
func (r *Registry) Restore(dataHall string) (Evacuation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.evacuated[dataHall]
	if !ok {
		return Evacuation{}, false
	}
	delete(r.evacuated, dataHall)
	r.restored[dataHall] = r.timers.Steady()
	r.markHallChanged(dataHall)
	return e, true
}

// markHallChanged makes the lists with servers of a data hall be updated. The caller holds mu.
func (r *Registry) markHallChanged(dataHall string) {
	for _, s := range r.servers {
		if s.DataHall == dataHall {
			r.markChanged(s)
		}
	}
}

// Evacuations returns the evacuated data halls.
func (r *Registry) Evacuations() map[string]Evacuation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.evacuated)
}

// Evacuated returns the incarnations of the servers in a data hall, if it is evacuated.
func (r *Registry) Evacuated(dataHall string) []Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.evacuated[dataHall]; !ok {
		return nil
	}
	var all []Incarnation
	for _, s := range r.servers {
		if s.DataHall == dataHall {
			all = append(all, s.Incarnation())
		}
	}
	return all
}

// HasEvacuated reports whether servers of a service get no requests only because their
// data hall is evacuated.
func (r *Registry) HasEvacuated(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.Service == service && r.inService(s) && r.inEvacuatedHall(s) {
			return true
		}
	}
	return false
}
