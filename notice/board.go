package notice

import (
	"sync"
	"sync/atomic"
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
)

// Option configures a Board in New.
type Option func(*Board)

// WithObserver sets a function that is called for each change. It must not call the board.
func WithObserver(onChange func(Change)) Option {
	return func(b *Board) { b.onChange = onChange }
}

// WithReporter sets a function that reports to the other nodes what a server says.
func WithReporter(report func(Report)) Option {
	return func(b *Board) { b.report = report }
}

// Board holds what one node knows of what servers say of themselves. It is safe for concurrent use.
type Board struct {
	roster   *owner.Roster
	timers   *timer.Service
	onChange func(Change)
	report   func(Report)
	tunnels  Tunnels

	mu sync.Mutex
	// records holds what is known, by the hash of what it is about.
	records map[uint64]*record
	// version changes with the records.
	version   uint64
	cleanedAt time.Time
	reports   *rate.Limiter

	// counts holds the number of servers of which a notice is known, by its kind.
	counts [kindCount]atomic.Int64
}

// New returns a board of the node with the given roster. It knows nothing of any server.
func New(roster *owner.Roster, timers *timer.Service, options ...Option) *Board {
	b := &Board{
		roster:   roster,
		timers:   timers,
		onChange: func(Change) {},
		report:   func(Report) {},
		tunnels:  noTunnels{},
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
	// RejectionLimitSince is since when, by [timer.Service.Steady], it is known that the server, or others
	// of its service, name a rejection limit; zero for none.
	RejectionLimitSince time.Time
	// Leaving means that the server is about to end.
	Leaving bool
	// RestUntil is until when, by [timer.Service.Steady], the server wants no requests of this node; it
	// stays set until the server has answered a request since. Zero for no rest.
	RestUntil time.Time
}

// unknown is the state of a server that has said nothing.
var unknown = State{RequestLimit: Unlimited, RejectionLimit: Unlimited}

// State returns what is known of a server.
func (b *Board) State(s *registry.Server) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := unknown
	if r := b.records[KindRequestLimit.subject(s)]; r != nil {
		state.RequestLimit = r.facts[KindRequestLimit].value
	}
	r := b.records[s.Hash()]
	if r != nil {
		state.Leaving = r.facts[KindLeaving].present(KindLeaving)
		state.RestUntil = r.restUntil
	}
	state.RejectionLimit, state.RejectionLimitSince = b.rejectionLimit(s, r)
	return state
}

// Count returns the number of servers of which a notice of a kind is known.
func (b *Board) Count(k Kind) int { return int(b.counts[k].Load()) }

// Version returns a number that changes when a state does.
func (b *Board) Version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Answer is one answer of a server.
type Answer struct {
	// Notices is what it says of the server.
	Notices []Notice
	// SentAgo is how long ago the request was sent.
	SentAgo time.Duration
	// Carrier is the peer address of the node through which the answer came; "" for none.
	Carrier string
	// Probe means that the request was none that the server runs, so that the answer does not show
	// whether it takes some again.
	Probe bool
}

// Observe records what an answer of a server says of it.
func (b *Board) Observe(s registry.Server, a Answer) {
	for _, n := range a.Notices {
		if a.Probe && n.Kind == KindRest && n.IsAbsent() {
			continue
		}
		if b.observe(n.Kind.subject(&s), s.ID, n, a.SentAgo) && n.concernsTunnels() {
			b.tellTunnels(s, n, a.Carrier)
		}
		b.observeService(s, n, a.SentAgo)
	}
}

// observe records what an answer says about a subject, and reports it to the other nodes if that is due. It returns
// whether what is known has changed.
func (b *Board) observe(subject uint64, id string, n Notice, sentAgo time.Duration) (changed bool) {
	changed, report := b.recordAnswer(subject, id, n, sentAgo)
	if report {
		b.report(Report{Server: subject, Kind: n.Kind, Value: n.Value, Doubt: sentAgo})
	}
	return changed
}

// recordAnswer records what an answer says, and reports whether what is known has changed, and
// whether it is to be reported to the other nodes.
func (b *Board) recordAnswer(subject uint64, id string, n Notice, sentAgo time.Duration) (changed, report bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timers.Steady()
	changed, admitted := b.set(subject, id, n, newSpan(now, 0, sentAgo), SourceAnswer)
	return changed, admitted && b.isReportDue(subject, n.Kind, changed, now)
}

// ObserveReport records a report of another node. Whether a server that leaves stays after all is known by its own
// answers alone.
func (b *Board) ObserveReport(r Report) {
	n := Notice{r.Kind, r.Value}
	if !n.Kind.isShared() || n.Kind == KindLeaving && n.IsAbsent() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(r.Server, "", n, newSpan(b.timers.Steady(), r.Age, r.Doubt), SourceReport)
}

// set stores a notice that a server said at the given time, unless it may be older than what is known. It reports
// whether what is known has changed, and whether the notice was admitted, though it may tell nothing new. The ID may
// be "". The caller holds mu.
func (b *Board) set(hash uint64, id string, n Notice, said span, source Source) (changed, admitted bool) {
	if n.Kind.isLimit() && n.Value >= maxPerSecond {
		n.Value = Unlimited
	}
	if b.records[hash] == nil && n.IsAbsent() {
		return false, false
	}
	r := b.record(hash)
	if id != "" {
		r.id = id
	}
	f := &r.facts[n.Kind]
	if !r.admits(n, said) || n.Kind == KindRest && !r.extendRest(n, said.to) {
		return false, false
	}
	if source != SourceAnswer {
		f.reportedAt = b.timers.Steady()
	}
	if n.IsAbsent() && !f.present(n.Kind) {
		return false, true
	}
	if !f.present(n.Kind) {
		f.since = said.to
	}
	if f.holds(n) {
		f.confirm(said)
		n.Value = f.value
	} else {
		f.said = said
	}
	c := Change{Server: r.id, Hash: hash, Kind: n.Kind, Before: f.value, Value: n.Value, Source: source, Age: b.timers.Steady().Sub(said.to), Doubt: said.doubt()}
	if n.Value != f.value || n.Kind == KindRest {
		b.replace(f, n.Kind, n.Value)
	}
	if changed = c.matters(); changed {
		b.onChange(c)
	}
	return changed, true
}

// record returns the record of a hash. The caller holds mu.
func (b *Board) record(hash uint64) *record {
	r := b.records[hash]
	if r == nil {
		r = newRecord(b.position(hash))
		b.records[hash] = r
	}
	return r
}

// differ reports whether two values differ by more than a factor.
func differ(a, b, factor float64) bool { return max(a, b) > factor*min(a, b) }

// replace sets the value of a fact. The caller holds mu.
func (b *Board) replace(f *fact, k Kind, value float64) {
	wasPresent := f.present(k)
	f.value = value
	b.version++
	switch isPresent := f.present(k); {
	case isPresent && !wasPresent:
		b.counts[k].Add(1)
	case wasPresent && !isPresent:
		b.counts[k].Add(-1)
	}
}
