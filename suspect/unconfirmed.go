package suspect

import (
	"slices"
	"time"
)

// Ending is the end of an attempt at a server that may have crashed, or may still be running.
type Ending struct {
	Features Features
	// Answered means that the attempt has an answer that is whole unless the server has crashed.
	Answered bool
	// Begun is how long ago that answer had begun, Ended how long ago the attempt ended.
	Begun, Ended time.Duration
}

// unconfirmed is an ending with the time at which it was recorded.
type unconfirmed struct {
	ending Ending
	at     time.Time
}

// AddUnconfirmed records the end of an attempt at a server. It returns true if the caller must now
// find out whether that server still runs, and false if it is doing so.
func (d *Detector) AddUnconfirmed(server uint64, e Ending) (start bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unconfirmed[server] = append(d.unconfirmed[server], unconfirmed{ending: e, at: d.timers.Steady()})
	return len(d.unconfirmed[server]) == 1
}

// CountUnconfirmed returns the number of recorded ends of attempts at a server.
func (d *Detector) CountUnconfirmed(server uint64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.unconfirmed[server])
}

// TakeUnconfirmed removes and returns the given number of the oldest recorded ends of attempts at a
// server, and the number of those that remain. If none does, the next one starts anew.
func (d *Detector) TakeUnconfirmed(server uint64, count int) (taken []Ending, remaining int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timers.Steady()
	for _, u := range d.unconfirmed[server][:count] {
		age := now.Sub(u.at)
		u.ending.Begun += age
		u.ending.Ended += age
		taken = append(taken, u.ending)
	}
	d.unconfirmed[server] = d.unconfirmed[server][count:]
	remaining = len(d.unconfirmed[server])
	if remaining == 0 {
		delete(d.unconfirmed, server)
	}
	return taken, remaining
}

// AwaitsVerdict reports whether a request may soon be refused: requests with one of its features
// were lost, among them some at servers of which it is not known yet whether they still run.
func (d *Detector) AwaitsVerdict(features Features) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unconfirmed) == 0 {
		return false
	}
	return slices.ContainsFunc(features, d.awaitsVerdict)
}

// awaitsVerdict is AwaitsVerdict for one feature. The caller holds mu.
func (d *Detector) awaitsVerdict(f Feature) bool {
	pending := 0
	for _, endings := range d.unconfirmed {
		lost := func(u unconfirmed) bool { return !u.ending.Answered && slices.Contains(u.ending.Features, f) }
		if slices.ContainsFunc(endings, lost) {
			pending++
		}
	}
	return pending > 0 && pending+countIncidents(f, d.evidence.against[f]) >= incidentsToRefuse
}
