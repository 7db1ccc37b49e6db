package autoscale

import (
	"sync"
	"time"
)

// Work is what one node has sent to the servers of a service. The fields are exported for the
// codec.
type Work struct {
	// BusyMillis is the time for which all requests so far kept servers busy with prompts, in
	// milliseconds.
	BusyMillis float64 `cbor:"1,keyasint"`
	// Running is the number of requests that run now.
	Running int `cbor:"2,keyasint"`
}

// Demand is the load of a service from all nodes.
type Demand struct {
	// Busy is the number of servers that prompts alone would keep busy all the time.
	Busy float64
	// Running is the number of requests that run at once.
	Running float64
}

// demandSmoothing is the weight of one interval in the moving averages of a demand.
const demandSmoothing = 0.25

// DemandMeter derives the demand of each service from the work of all nodes. It is safe for
// concurrent use.
type DemandMeter struct {
	mu sync.Mutex
	// last is the last known work by process and service.
	last     map[string]map[string]Work
	services map[string]Demand
	updated  time.Time
}

// NewDemandMeter returns a meter without demand.
func NewDemandMeter() *DemandMeter {
	return &DemandMeter{last: make(map[string]map[string]Work), services: make(map[string]Demand)}
}

// Add adds the work of all processes that responded at a time, by process and service.
func (m *DemandMeter) Add(now time.Time, work map[string]map[string]Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.updated)
	observed := make(map[string]Demand)
	for process, services := range work {
		for service, w := range services {
			d := observed[service]
			d.Running += float64(w.Running)
			if before, known := m.last[process][service]; known && elapsed > 0 {
				d.Busy += max(0, w.BusyMillis-before.BusyMillis) / float64(elapsed.Milliseconds())
			}
			observed[service] = d
		}
		m.last[process] = services
	}
	first := m.updated.IsZero()
	m.updated = now
	if first {
		return
	}
	for service, d := range observed {
		average := m.services[service]
		average.Busy += demandSmoothing * (d.Busy - average.Busy)
		average.Running += demandSmoothing * (d.Running - average.Running)
		m.services[service] = average
	}
}

// Demand returns the demand of a service.
func (m *DemandMeter) Demand(service string) Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.services[service]
}
