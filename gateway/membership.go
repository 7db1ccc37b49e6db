package gateway

import (
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/hostport"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/tree"
	"github.com/violettally/violettally/view"
)

const (
	// gatewayPrefix is the prefix of the keys of gateway entries.
	gatewayPrefix = "nodes/"
	// expiryGracePeriod is how long entries that expired during an outage of the store
	// are kept after its recovery: a gateway notices the recovery within a second or
	// two, and then writes its entry again at once.
	expiryGracePeriod = 3 * time.Second
	// minLocalAddresses is how many gateways of a client's data hall must be known for
	// the client to be sent to these alone. The same holds for its region.
	minLocalAddresses = 2
	// entryLogBurst is the most log lines about other gateways' entries at once.
	entryLogBurst = 50
)

// entry is a gateway's entry in the store. Its fields are exported for the codec.
type entry struct {
	view.Member
	// Leaving reports whether the gateway is draining: it gets no new clients, but still
	// serves requests and reports its counts until its entry is deleted.
	Leaving bool `json:"leaving,omitempty"`
}

// maxEntryFanOut is the largest fan-out of another gateway that is plausible.
const maxEntryFanOut = 1024

// decodeEntry decodes an entry and checks the gateway's names, addresses and fan-out.
func decodeEntry(value []byte) (entry, error) {
	var e entry
	if err := json.Unmarshal(value, &e); err != nil {
		return entry{}, errs.Wrap(InvalidEntry, "decode", err, "malformed gateway entry")
	}
	if e.ID == "" || e.VM == "" {
		return entry{}, errs.New(InvalidEntry, "decode", "gateway %q of VM %q: a name is missing", e.ID, e.VM)
	}
	for _, address := range []string{e.Caller, e.Peer} {
		if !hostport.Valid(address) {
			return entry{}, errs.New(InvalidEntry, "decode", "gateway %q of VM %q: invalid address %q", e.ID, e.VM, address)
		}
	}
	if e.FanOut < 0 || e.FanOut > maxEntryFanOut {
		return entry{}, errs.New(InvalidEntry, "decode", "gateway %q of VM %q: invalid fan-out %d", e.ID, e.VM, e.FanOut)
	}
	return e, nil
}

// membership is the list of gateways. Each gateway has an entry in the store that is
// deleted when its lease expires. It is safe for concurrent use.
type membership struct {
	g     *Gateway
	store entryStore

	mu sync.Mutex
	// entries holds the known entries by key, this gateway's own included.
	entries map[string]entry
	// keptUntil holds, by key, until when an entry that was deleted from the store is
	// still used: an entry that expired during an outage is written again if its gateway
	// is running.
	keptUntil map[string]time.Time
	// current is computed from entries when it is needed; nil after a change.
	current *roster
	// recoveredAt is when the store last recovered from an outage.
	recoveredAt time.Time
	// leaseID is the lease of this gateway's entry; zero for none.
	leaseID int64
	// previous is the entry that a previous process of this VM has left in the store.
	previous previousEntry

	// log is for the lines about entries.
	log *limitedLog

	// synced is closed once the entries that the store held at the start are known.
	synced <-chan struct{}
	// renewRequests makes run renew or rewrite this gateway's entry at once.
	renewRequests chan struct{}
}

func newMembership(g *Gateway) *membership {
	return &membership{
		g: g, store: g.store, entries: make(map[string]entry), keptUntil: make(map[string]time.Time),
		log: newLimitedLog(entryLogBurst), renewRequests: make(chan struct{}, 1),
	}
}

// storeRecovered records that an outage of the store is over, and requests a renewal.
func (m *membership) storeRecovered() {
	m.mu.Lock()
	m.recoveredAt = m.g.timers.Steady()
	m.mu.Unlock()
	m.requestRenewal()
}

// requestRenewal makes run renew the entry at once.
func (m *membership) requestRenewal() {
	select {
	case m.renewRequests <- struct{}{}:
	default:
	}
}

// applyChange applies a change of an entry in the store.
func (m *membership) applyChange(c mirror.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Deleted {
		keptFor := max(0, expiryGracePeriod-m.g.timers.Steady().Sub(m.recoveredAt))
		m.removeEntry(c.Key, keptFor)
		m.log.info("gateway entry deleted", "key", c.Key, "revision", c.Revision, "kept_ms", keptFor.Milliseconds())
		return
	}
	e, err := decodeEntry(c.Value)
	if err != nil {
		m.removeEntry(c.Key, 0)
		slog.Error("invalid gateway entry", "key", c.Key, "revision", c.Revision, "error", err)
		return
	}
	m.entries[c.Key] = e
	m.current = nil
	delete(m.keptUntil, c.Key)
	if c.Key == m.ownKey() && m.leaseID == 0 {
		m.previous = previousEntry{leaseID: c.Lease, current: !e.Leaving && m.g.self.SameLocation(e.Member) && m.g.self.FanOut == e.FanOut}
	}
	m.log.info("gateway entry updated", "id", e.ID, "caller", e.Caller, "data_hall", e.DataHall, "leaving", e.Leaving, "revision", c.Revision)
}

// removeEntry removes an entry from the list after the given time. If it is this
// gateway's own and the gateway holds a lease, it is written again. The caller holds mu.
func (m *membership) removeEntry(key string, keptFor time.Duration) {
	if keptFor > 0 {
		m.keptUntil[key] = m.g.timers.Steady().Add(keptFor)
	} else {
		delete(m.entries, key)
		delete(m.keptUntil, key)
		m.current = nil
	}
	if key != m.ownKey() {
		return
	}
	m.previous = previousEntry{}
	if m.leaseID != 0 {
		// The lease may still be valid: a delayed write of the entry under an older
		// lease may have taken effect last, and the entry was deleted with that lease.
		m.leaseID = 0
		m.requestRenewal()
	}
}

// listed reports whether this gateway's own entry is known to be in the store.
func (m *membership) listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.entries[m.ownKey()]
	_, expired := m.keptUntil[m.ownKey()]
	return known && !expired
}

// peers returns the other gateways that are not leaving. The list must not be modified.
func (m *membership) peers() []view.Member { return m.roster().peers }

// allPeers returns the other gateways, including those that are leaving, which may
// still be serving requests. The list must not be modified.
func (m *membership) allPeers() []view.Member { return m.roster().all }

// countAllPeers returns the number of gateways that allPeers returns.
func (m *membership) countAllPeers() int { return len(m.roster().all) }

// roster is the list of the other gateways as of the last change. It is not modified.
type roster struct {
	// peers holds those that are not leaving, all also those that are.
	peers, all []view.Member
	// parents are those that this gateway may follow, the preferred one first.
	parents []view.Member
}

// roster returns the present list of gateways.
func (m *membership) roster() *roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpired()
	if m.current != nil {
		return m.current
	}
	r := &roster{}
	hall := []view.Member{m.g.self}
	for _, e := range m.entries {
		if e.VM == m.g.self.VM {
			continue
		}
		r.all = append(r.all, e.Member)
		if e.Leaving {
			continue
		}
		r.peers = append(r.peers, e.Member)
		if e.DataHall == m.g.self.DataHall {
			hall = append(hall, e.Member)
		}
	}
	r.parents = tree.Parents(m.g.self, hall)
	m.current = r
	return r
}

// removeExpired removes the entries that expired during an outage of the store and were
// not written again in time. The caller holds mu.
func (m *membership) removeExpired() {
	if len(m.keptUntil) == 0 {
		return
	}
	now := m.g.timers.Steady()
	for key, until := range m.keptUntil {
		if now.After(until) {
			delete(m.entries, key)
			delete(m.keptUntil, key)
			m.current = nil
		}
	}
}

// hallPrefix is the prefix of the keys of a data hall's entries, so that a gateway that starts
// can read those of its own hall alone.
func hallPrefix(dataHall string) string { return gatewayPrefix + dataHall + "/" }

// ownKey returns the key of this gateway's entry. It is named after the VM, so that a
// restarted process overwrites the entry of the previous one.
func (m *membership) ownKey() string { return hallPrefix(m.g.self.DataHall) + m.g.self.VM }

// clientAddresses returns the addresses of the gateways that a client should use: those
// of its data hall, those of its region if the hall has too few, or else all.
func (m *membership) clientAddresses(region, dataHall string) []string {
	members := slices.Clone(m.peers())
	if !m.g.leaving.Load() {
		members = append(members, m.g.self)
	}
	var inHall, inRegion, all []string
	for _, member := range members {
		all = append(all, member.Caller)
		if member.Region == region {
			inRegion = append(inRegion, member.Caller)
		}
		if member.DataHall == dataHall {
			inHall = append(inHall, member.Caller)
		}
	}
	for _, local := range [][]string{inHall, inRegion} {
		if len(local) >= minLocalAddresses {
			slices.Sort(local)
			return local
		}
	}
	slices.Sort(all)
	return all
}
