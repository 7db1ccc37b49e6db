// Package registry knows the backend servers that have announced themselves,
// and which of them may get new work.
//
// Servers announce themselves at the platform; whoever follows the platform
// calls Put and Drop. A server whose entry says that it is leaving, or whose
// entry is gone, gets no new work from then on. There is one exception:
// entries lapse while the platform's store is away, because nobody can renew
// them, and come back within [recoveryGrace] if their server lives. What is
// dropped just after the store has come back is therefore kept that long. An entry
// that names no server to use takes the server out of use at once, until the next.
//
// # Usage
//
//	r := registry.New(timers)
//	r.Put(server)
//	for _, s := range r.Servers("summaries") { … }
package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
)

// recoveryGrace is how long an entry that lapsed while the store was away may
// take to come back. The platform's word is "about two seconds".
const recoveryGrace = 2 * time.Second

// Server is one backend server as it announced itself. The fields are exported for
// the adapters.
type Server struct {
	ID string
	// Born tells this incarnation of the server from others (see [Incarnation]).
	Born     int64
	Service  string
	Address  string
	DataHall string
	// Version is that of the server's software, which roll-outs replace.
	Version string
	// Slots is the number of requests that it runs at once.
	Slots   int
	Leaving bool
}

// Registry is one node's knowledge of the servers. It is safe for concurrent
// use.
type Registry struct {
	timers *timer.Service

	mu sync.Mutex
	// servers are by ID.
	servers map[string]Server
	// graceUntil holds by ID until when servers without an entry are kept.
	graceUntil map[string]time.Time
	// invalid holds by ID why the last entry names no server to use.
	invalid map[string]string
	// storeRecovered is when the store last came back.
	storeRecovered time.Time
	// byService is rebuilt after a change; the lists are never written to.
	byService map[string][]Server
}

// New returns an empty registry.
func New(timers *timer.Service) *Registry {
	return &Registry{
		timers:     timers,
		servers:    make(map[string]Server),
		graceUntil: make(map[string]time.Time),
		invalid:    make(map[string]string),
	}
}

// Put takes a server's entry, unless it is of an earlier incarnation than the known one.
func (r *Registry) Put(s Server) PutResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.servers[s.ID]
	if ok && s.Incarnation().before(known.Incarnation()) {
		return PutResultOld
	}
	r.servers[s.ID] = s
	delete(r.graceUntil, s.ID)
	delete(r.invalid, s.ID)
	r.byService = nil
	if ok && s.Incarnation() != known.Incarnation() {
		return PutResultRestart
	}
	return PutResultUpdate
}

// MarkInvalid takes a server out of use until its next entry, since its last one names
// none, for the reason given. What is known of the server is kept meanwhile, and
// what it runs goes on: the server itself may be well. It reports whether the
// reason is new.
func (r *Registry) MarkInvalid(id, reason string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, ok := r.invalid[id]
	r.invalid[id] = reason
	r.byService = nil
	return !ok || before != reason
}

// Drop takes the news that a server's entry is gone. It returns how long the
// server may still get work.
func (r *Registry) Drop(id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.servers[id]
	_, withdrawn := r.invalid[id]
	delete(r.invalid, id)
	if !known {
		return 0
	}
	r.byService = nil
	if left := recoveryGrace - r.timers.Steady().Sub(r.storeRecovered); left > 0 && !withdrawn {
		r.graceUntil[id] = r.timers.Steady().Add(left)
		return left
	}
	delete(r.servers, id)
	delete(r.graceUntil, id)
	return 0
}

// StoreRecovered marks the moment at which the platform's store came back.
func (r *Registry) StoreRecovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRecovered = r.timers.Steady()
}

// Incarnations returns those of all servers that are known, leaving ones too.
func (r *Registry) Incarnations() map[Incarnation]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	incarnations := make(map[Incarnation]bool, len(r.servers))
	for _, s := range r.servers {
		incarnations[s.Incarnation()] = true
	}
	return incarnations
}

// Servers returns the servers of a service that may get new work, by ID. The
// list must not be changed.
func (r *Registry) Servers(service string) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired()
	if r.byService == nil {
		r.index()
	}
	return r.byService[service]
}

// Usable reports whether an incarnation of a server may still get new work.
func (r *Registry) Usable(i Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired()
	s, known := r.servers[i.ID]
	_, withdrawn := r.invalid[i.ID]
	return known && s.Incarnation() == i && !s.Leaving && !withdrawn
}

// removeExpired removes entries that did not come back.
func (r *Registry) removeExpired() {
	now := r.timers.Steady()
	for id, until := range r.graceUntil {
		if now.After(until) {
			delete(r.graceUntil, id)
			delete(r.servers, id)
			r.byService = nil
		}
	}
}

// index makes the lists by service anew.
func (r *Registry) index() {
	r.byService = make(map[string][]Server)
	for _, s := range slices.SortedFunc(maps.Values(r.servers), func(a, b Server) int { return cmp.Compare(a.ID, b.ID) }) {
		if _, withdrawn := r.invalid[s.ID]; !withdrawn && !s.Leaving {
			r.byService[s.Service] = append(r.byService[s.Service], s)
		}
	}
}
