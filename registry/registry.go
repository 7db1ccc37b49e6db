// Package registry keeps the backend servers that have registered at the platform, and
// which of them may get new requests.
//
// Servers write their entries at the platform; the code that follows the platform calls
// Put and Drop. A server whose entry is marked as leaving, or has been deleted, gets no
// new requests from then on. There is one exception: while the platform's store is
// down, entries expire because no server can renew them, and they are written again
// within [recoveryGrace] by servers that are alive. A server whose entry is deleted
// just after the store has recovered is therefore kept until the end of that time. An
// entry that cannot be used takes its server out of use at once, until the next valid
// entry. While a data hall is evacuated, by order of an operator, none of its servers
// gets new requests.
//
// # Usage
//
//	r := registry.New(timers)
//	r.Put(server)
//	for _, s := range r.Servers("summaries") { … }
package registry

import (
	"sync"
	"time"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/timer"
)

// recoveryGrace is how long after the recovery of the store an entry that expired in
// the outage may take to be written again. The platform specifies "about two seconds".
const recoveryGrace = 2 * time.Second

// Server is a backend server as its entry describes it. The fields are exported for the
// adapters.
type Server struct {
	ID string
	// Born is the start time that identifies the incarnation (see [Incarnation]).
	Born     int64
	Service  string
	Address  string
	DataHall string
	// Version is the version of the server's software, which rollouts replace.
	Version string
	// Slots is the number of requests that the server runs at once.
	Slots   int
	Leaving bool
	// Spot means that the server is a cheap one that may be taken away at any time.
	Spot bool
	// WarmUp is how much longer the server was going to warm up when the entry was written.
	WarmUp time.Duration

	// Updated is when the entry of a server that warms up arrived, and Restored when the
	// evacuation of the server's data hall last ended, zero for never. The registry sets both,
	// by [timer.Service.Steady].
	Updated, Restored time.Time

	// idHash and hash are the hashes of the ID and of the incarnation; zero if not computed.
	idHash, hash uint64
}

// IDHash returns the hash of the server's ID.
func (s *Server) IDHash() uint64 {
	if s.idHash == 0 {
		return rendezvous.Hash(s.ID)
	}
	return s.idHash
}

// Hash returns the hash of the server's incarnation.
func (s *Server) Hash() uint64 {
	if s.hash == 0 {
		return s.Incarnation().Hash()
	}
	return s.hash
}

// Registry is one node's view of the servers. It is safe for concurrent use.
type Registry struct {
	timers *timer.Service

	mu sync.Mutex
	// servers holds the known servers by ID.
	servers map[string]Server
	// graceUntil holds by ID until when a server without an entry is kept.
	graceUntil map[string]time.Time
	// invalid holds by ID why the last entry cannot be used.
	invalid map[string]string
	// evacuated holds the evacuated data halls, restored when the evacuation of others
	// last ended.
	evacuated map[string]Evacuation
	restored  map[string]time.Time
	// storeRecovered is when the store last recovered from an outage, synced when this process
	// had read it for the first time.
	storeRecovered, synced time.Time
	// lists holds the servers that may get new requests, by service.
	lists map[string]*list
}

// New returns an empty registry.
func New(timers *timer.Service) *Registry {
	return &Registry{
		timers:     timers,
		servers:    make(map[string]Server),
		graceUntil: make(map[string]time.Time),
		invalid:    make(map[string]string),
		evacuated:  make(map[string]Evacuation),
		restored:   make(map[string]time.Time),
		lists:      make(map[string]*list),
	}
}

// Put stores the entry of a server, unless it is of an earlier incarnation than the
// known one.
func (r *Registry) Put(s Server) PutResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.servers[s.ID]
	if ok && s.Incarnation().before(known.Incarnation()) {
		return PutResultOld
	}
	if s.WarmUp > 0 {
		s.Updated = r.timers.Steady()
	}
	s.idHash, s.hash = rendezvous.Hash(s.ID), s.Incarnation().Hash()
	if ok {
		r.markChanged(known)
	}
	r.servers[s.ID] = s
	delete(r.graceUntil, s.ID)
	delete(r.invalid, s.ID)
	r.markChanged(s)
	if ok && s.Incarnation() != known.Incarnation() {
		return PutResultRestart
	}
	return PutResultUpdate
}

// MarkInvalid takes a server out of use until its next valid entry, because its last
// entry cannot be used for the given reason. The registry keeps what it knows of the
// server, and requests that run there go on, since the server itself may be healthy. It
// reports whether the reason is new.
func (r *Registry) MarkInvalid(id, reason string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, ok := r.invalid[id]
	r.invalid[id] = reason
	if s, known := r.servers[id]; known {
		r.markChanged(s)
	}
	return !ok || previous != reason
}

// Drop handles the deletion of a server's entry. It returns for how long the server may
// still get requests.
func (r *Registry) Drop(id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.servers[id]
	_, invalid := r.invalid[id]
	delete(r.invalid, id)
	if !known {
		return 0
	}
	r.markChanged(s)
	if left := recoveryGrace - r.timers.Steady().Sub(r.storeRecovered); left > 0 && !invalid {
		r.graceUntil[id] = r.timers.Steady().Add(left)
		return left
	}
	delete(r.servers, id)
	delete(r.graceUntil, id)
	return 0
}

// StoreRecovered records that the platform's store has just recovered from an outage.
func (r *Registry) StoreRecovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRecovered = r.timers.Steady()
}

// Synced records that this process has just read the store for the first time.
func (r *Registry) Synced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.synced = r.timers.Steady()
}

// Recovering reports whether entries of running servers may still be missing: they expire in
// an outage of the store and are written again within recoveryGrace. This process may have
// started in the outage.
func (r *Registry) Recovering() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timers.Steady()
	return now.Sub(r.storeRecovered) < recoveryGrace || now.Sub(r.synced) < recoveryGrace
}

// Incarnations returns the incarnations of all known servers, including those that are
// leaving.
func (r *Registry) Incarnations() map[Incarnation]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	incarnations := make(map[Incarnation]bool, len(r.servers))
	for _, s := range r.servers {
		incarnations[s.Incarnation()] = true
	}
	return incarnations
}

// AtAddress returns the known servers with the given address, whether or not they may get new
// requests.
func (r *Registry) AtAddress(address string) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var servers []Server
	for _, s := range r.servers {
		if s.Address == address {
			servers = append(servers, s)
		}
	}
	return servers
}

// Known returns the servers of a service whose entries are valid, including those that are
// leaving and those in evacuated data halls.
func (r *Registry) Known(service string) []*Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var known []*Server
	for _, s := range r.servers {
		if _, invalid := r.invalid[s.ID]; s.Service == service && !invalid {
			known = append(known, &s)
		}
	}
	return known
}

// Servers returns the servers of a service that may get new requests, sorted by ID. The
// list must not be modified.
func (r *Registry) Servers(service string) []*Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired()
	l := r.lists[service]
	if l == nil {
		return nil
	}
	l.update(r.listed)
	return l.servers
}

// listed returns a server as it appears in the list of a service; false if it gets no new
// requests.
func (r *Registry) listed(id string) (*Server, bool) {
	s, known := r.servers[id]
	if !known || !r.usable(s) {
		return nil, false
	}
	s.Restored = r.restored[s.DataHall]
	return &s, true
}

// markChanged makes the list of a server's service be updated. The caller holds mu.
func (r *Registry) markChanged(s Server) {
	l := r.lists[s.Service]
	if l == nil {
		l = &list{service: s.Service, changed: make(map[string]bool)}
		r.lists[s.Service] = l
	}
	l.changed[s.ID] = true
}

// Usable reports whether an incarnation of a server may still get new requests.
func (r *Registry) Usable(i Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired()
	s, known := r.servers[i.ID]
	return known && s.Incarnation() == i && r.usable(s)
}

// usable reports whether a known server may get new requests.
func (r *Registry) usable(s Server) bool { return r.inService(s) && !r.inEvacuatedHall(s) }

// inService reports whether a known server may get new requests unless its data hall is
// evacuated.
func (r *Registry) inService(s Server) bool {
	_, invalid := r.invalid[s.ID]
	return !s.Leaving && !invalid
}

func (r *Registry) inEvacuatedHall(s Server) bool {
	_, evacuated := r.evacuated[s.DataHall]
	return evacuated
}

// removeExpired removes servers whose entries were not written again in time.
func (r *Registry) removeExpired() {
	if len(r.graceUntil) == 0 {
		return
	}
	now := r.timers.Steady()
	for id, until := range r.graceUntil {
		if now.After(until) {
			r.markChanged(r.servers[id])
			delete(r.graceUntil, id)
			delete(r.servers, id)
		}
	}
}
