package notice

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
)

const (
	// maxPerSecond is the limit from which on a server counts as unlimited.
	maxPerSecond = 1e5
	// sameFactor is the ratio up to which two values count as the same: reports are rounded.
	sameFactor = 1.0001
	// cleanInterval is the time between two looks for what has expired.
	cleanInterval = owner.RefreshInterval
)

// Option configures a Board in New.
type Option func(*Board)

// WithObserver sets a function that is called for each change. It must not call the board.
func WithObserver(onChange func(Change)) Option {
	return func(b *Board) { b.onChange = onChange }
}

// WithReporter sets a function that reports to the other nodes what a server says of itself. Server
// is the hash of its incarnation.
func WithReporter(report func(server uint64, n Notice)) Option {
	return func(b *Board) { b.report = report }
}

// Board holds what one node knows of what servers say of themselves. It is safe for concurrent use.
type Board struct {
	roster   *owner.Roster
	timers   *timer.Service
	onChange func(Change)
	report   func(server uint64, n Notice)

	mu sync.Mutex
	// records holds what is known, by hash of the server's incarnation.
	records map[uint64]*record
	// counts holds the number of servers of which a notice is known, by its kind.
	counts [kindCount]int
	// version changes with the records.
	version   uint64
	cleanedAt time.Time
	reports   *rate.Limiter
}

// New returns a board of the node with the given roster. It knows nothing of any server.
func New(roster *owner.Roster, timers *timer.Service, options ...Option) *Board {
	b := &Board{
		roster:   roster,
		timers:   timers,
		onChange: func(Change) {},
		report:   func(uint64, Notice) {},
		records:  make(map[uint64]*record),
		reports:  rate.NewLimiter(0, reportBurst),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// State is what a server says of itself, as far as it is known.
type State struct {
	// RequestLimit and RejectionLimit are in requests a second; Unlimited for none.
	RequestLimit, RejectionLimit float64
}

// unknown is the state of a server that has said nothing.
var unknown = State{RequestLimit: Unlimited, RejectionLimit: Unlimited}

// State returns what is known of a server.
func (b *Board) State(s *registry.Server) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[s.Hash()]
	if r == nil {
		return unknown
	}
	return State{RequestLimit: r.facts[KindRequestLimit].value, RejectionLimit: r.facts[KindRejectionLimit].value}
}

// Count returns the number of servers of which a notice of a kind is known.
func (b *Board) Count(k Kind) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[k]
}

// Version returns a number that changes when a state does.
func (b *Board) Version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Observe records what an answer of a server says of it.
func (b *Board) Observe(s registry.Server, notices []Notice) {
	for _, n := range notices {
		if hash := s.Hash(); b.recordAnswer(hash, s.ID, n) {
			b.report(hash, n)
		}
	}
}

// recordAnswer records what an answer says, and reports whether that is to be reported to the other
// nodes.
func (b *Board) recordAnswer(hash uint64, id string, n Notice) (report bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.IsAbsent() && b.records[hash] == nil {
		return false
	}
	now := b.timers.Steady()
	changed := b.set(hash, id, n, now, SourceAnswer)
	return b.isReportDue(hash, n.Kind, changed, now)
}

// ObserveReport records a report of another node, which has heard the server with the given hash say
// so long ago what the notice tells.
func (b *Board) ObserveReport(hash uint64, n Notice, age time.Duration) {
	if !n.Kind.isShared() {
		return // of a later version
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(hash, "", n, b.timers.Steady().Add(-age), SourceReport)
}

// set stores a notice that was heard at the given time, unless a later one is known. It reports
// whether what is known has changed. The ID may be "". The caller holds mu.
func (b *Board) set(hash uint64, id string, n Notice, heardAt time.Time, source Source) (changed bool) {
	if n.Kind.isLimit() && n.Value >= maxPerSecond {
		n.Value = Unlimited
	}
	r := b.records[hash]
	if r == nil {
		if n.IsAbsent() {
			return false
		}
		r = newRecord(b.position(hash))
		b.records[hash] = r
	}
	if id != "" {
		r.id = id
	}
	f := &r.facts[n.Kind]
	if heardAt.Before(f.heardAt) {
		return false
	}
	if source == SourceReport {
		f.reportedAt = b.timers.Steady()
	}
	if n.IsAbsent() && !f.present(n.Kind) {
		return false
	}
	f.heardAt = heardAt
	c := Change{Server: r.id, Hash: hash, Kind: n.Kind, Before: f.value, Value: n.Value, Source: source, Age: b.timers.Steady().Sub(heardAt)}
	if differ(n.Value, f.value, sameFactor) {
		f.value = n.Value
		b.version++
		b.count()
	}
	if changed = c.matters(); changed {
		b.onChange(c)
	}
	return changed
}

// differ reports whether two values differ by more than a factor.
func differ(a, b, factor float64) bool { return max(a, b) > factor*min(a, b) }

// Clean drops what nobody has confirmed for a while. What uses the board calls it from time to time.
func (b *Board) Clean() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timers.Steady()
	if now.Sub(b.cleanedAt) < cleanInterval {
		return
	}
	b.cleanedAt = now
	for hash, r := range b.records {
		b.expire(hash, r, now)
		if r.isEmpty() {
			delete(b.records, hash)
		}
	}
	b.count()
}

// expire forgets the facts of a record that have expired. The caller holds mu.
func (b *Board) expire(hash uint64, r *record, now time.Time) {
	for k := range r.facts {
		kind, f := Kind(k), &r.facts[k]
		if f.heardAt.IsZero() || now.Sub(f.heardAt) < r.trust(kind) {
			continue
		}
		before := *f
		*f = fact{value: kind.Absent()}
		b.version++
		if before.present(kind) {
			b.onChange(Change{Server: r.id, Hash: hash, Kind: kind, Before: before.value, Value: kind.Absent(), Source: SourceExpiry, Age: now.Sub(before.heardAt)})
		}
	}
}

// count updates the numbers of servers of which notices are known. The caller holds mu.
func (b *Board) count() {
	b.counts = [kindCount]int{}
	for _, r := range b.records {
		for k := range r.facts {
			if kind := Kind(k); r.facts[k].present(kind) {
				b.counts[kind]++
			}
		}
	}
}
