package billing

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

var (
	namespace = errs.Namespace("billing")

	// NotOwner says that a member does not know a journal as its own.
	NotOwner = namespace.NewType("not_owner")
)

// JournalRecords is what one node remembers of a journal. Its fields are
// exported for the codec.
type JournalRecords struct {
	Checkpoint ledger.Snapshot `cbor:"1,keyasint"`
	Bills      []claim.Entry   `cbor:"2,keyasint"`
	// IsOwner says that the journal is the node's own. Open and Lost list its
	// sequences that are not decided and those whose bill another has won.
	IsOwner bool    `cbor:"3,keyasint,omitempty"`
	Open    []int64 `cbor:"4,keyasint,omitempty"`
	Lost    []int64 `cbor:"5,keyasint,omitempty"`
}

// Peers reaches the memories of the nodes, this one included.
type Peers interface {
	FetchRecords(ctx context.Context, to view.Member, journal string) (JournalRecords, error)
	Checkpoint(ctx context.Context, to view.Member, a ledger.Snapshot) error
}

// Members tells who belongs to the system.
type Members interface {
	// Current returns the view in force.
	Current() *view.View
	// Alive returns the other nodes that answer.
	Alive() []view.Member
}

// Replica is this node's part of the write-once memory.
type Replica interface {
	Bills(holder string, after int64) []claim.Entry
	BillHolders() map[string]bool
}

// Settler ends the claims of nodes that are gone.
type Settler interface {
	Settle(ctx context.Context, journal string, r ledger.ReplicatedBill) (won bool, err error)
}

// Tracker is what this node remembers of the journals of all nodes. It is safe
// for concurrent use.
type Tracker struct {
	self    view.Member
	members Members
	peers   Peers
	store   document.Store
	timers  *timer.Service

	journal *ledger.Journal
	replica Replica
	settler Settler

	mu sync.Mutex
	// durable is how far each journal's bills are kept elsewhere, heardAt when
	// its node last spoke of it.
	durable     map[string]int64
	lastHeard   map[string]time.Time
	checkpoints map[string]ledger.Snapshot
}

// NewTracker returns an empty memory. Before its use [Tracker.Attach] gives it
// the parts that need it themselves.
func NewTracker(self view.Member, members Members, peers Peers, store document.Store, timers *timer.Service) *Tracker {
	return &Tracker{
		self:        self,
		members:     members,
		peers:       peers,
		store:       store,
		timers:      timers,
		durable:     make(map[string]int64),
		lastHeard:   make(map[string]time.Time),
		checkpoints: make(map[string]ledger.Snapshot),
	}
}

// Attach names this node's journal, its replica and its biller.
func (m *Tracker) Attach(journal *ledger.Journal, replica Replica, settler Settler) {
	m.journal, m.replica, m.settler = journal, replica, settler
}

// RecordHeartbeat takes a node's word on how far its journal's bills are kept elsewhere.
func (m *Tracker) RecordHeartbeat(journal string, safe int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durable[journal] = max(m.durable[journal], safe)
	m.lastHeard[journal] = m.timers.Now()
}

// silentJournalTTL is how long bills of a silent journal are kept; its closing
// takes seconds, in an outage of the platform as long as that lasts.
const silentJournalTTL = 6 * time.Hour

// CanDiscard reports whether a bill need not be remembered any longer.
func (m *Tracker) CanDiscard(journal string, sequence int64) bool {
	if journal == m.journal.Name() {
		return sequence <= m.journal.DurableSequence()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timers.Now()
	if _, known := m.lastHeard[journal]; !known {
		m.lastHeard[journal] = now
	}
	return sequence <= m.durable[journal] || now.Sub(m.lastHeard[journal]) > silentJournalTTL
}

// sweepInterval is how often what is known of silent journals is gone through.
const sweepInterval = time.Hour

// Run forgets the journals that have been silent for long, until the context
// ends.
func (m *Tracker) Run(ctx context.Context) {
	m.timers.Every(ctx, sweepInterval, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		now := m.timers.Now()
		for journal, at := range m.lastHeard {
			if now.Sub(at) > 2*silentJournalTTL {
				delete(m.lastHeard, journal)
				delete(m.durable, journal)
				delete(m.checkpoints, journal)
			}
		}
	})
}

// OwnerInView reports whether a journal belongs to a member of the view.
func (m *Tracker) OwnerInView(journal string) bool {
	return m.members.Current().Has(ownerOf(journal))
}

// Orphaned lists the journals of nodes that have left the view: those of which this
// node remembers bills or sums, and those that the view's history names, since
// a node remembers the bills of some keys only.
func (m *Tracker) Orphaned() []string {
	known := m.replica.BillHolders()
	for _, removed := range m.members.Current().Removed() {
		known[removed.ID] = true
	}
	m.mu.Lock()
	for journal := range m.checkpoints {
		known[journal] = true
	}
	m.mu.Unlock()
	var gone []string
	for journal := range known {
		if !m.OwnerInView(journal) {
			gone = append(gone, journal)
		}
	}
	return gone
}

// StoreCheckpoint takes the sums of a journal.
func (m *Tracker) StoreCheckpoint(a ledger.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeard[a.Journal] = m.timers.Now()
	if a.Sequence > m.checkpoints[a.Journal].Sequence {
		m.checkpoints[a.Journal] = a
	}
}

// Checkpoint gives the sums of this node's journal to two other nodes of
// other data halls, as the view names them for the journal.
func (m *Tracker) Checkpoint(ctx context.Context, a ledger.Snapshot) bool {
	took := 0
	for _, to := range m.members.Current().Replicas(m.self.Region, ledger.Key(a.Journal)) {
		if to.ID != m.self.ID && m.peers.Checkpoint(ctx, to, a) == nil {
			took++
		}
	}
	return took >= 2
}

// LocalRecords returns what this node remembers of a journal.
func (m *Tracker) LocalRecords(journal string) JournalRecords {
	m.mu.Lock()
	checkpoint := m.checkpoints[journal]
	m.mu.Unlock()
	reply := JournalRecords{Checkpoint: checkpoint, Bills: m.replica.Bills(journal, checkpoint.Sequence)}
	if ownerOf(journal) == m.self.ID {
		reply.IsOwner = true
		reply.Open, reply.Lost = m.journal.Undecided()
	}
	return reply
}

// ownerOf returns the member that a journal belongs to. A journal that goes on
// after another was closed has its name with a mark, and its sequences.
func ownerOf(journal string) string { return strings.TrimRight(journal, "+") }

// BillStatus returns what has become of a bill: by the word of its journal's owner
// or, if that is gone, by the journal as the platform has it.
func (m *Tracker) BillStatus(ctx context.Context, bill claim.Entry) (ledger.BillStatus, error) {
	journal := bill.Holder.ID
	owner, present := m.members.Current().Member(ownerOf(journal))
	if !present {
		stored, err := ledger.Read(ctx, m.store, journal)
		return stored.BillStatus(bill.Sequence), err
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	reply, err := m.peers.FetchRecords(ctx, owner, journal)
	switch {
	case err != nil:
		return ledger.BillOpen, err
	case !reply.IsOwner:
		return ledger.BillOpen, errs.New(NotOwner, "fate", "journal %s", journal)
	case slices.Contains(reply.Open, bill.Sequence):
		return ledger.BillOpen, nil
	case slices.Contains(reply.Lost, bill.Sequence):
		return ledger.BillLost, nil
	default:
		return ledger.BillWon, nil
	}
}

// collectTimeout bounds asking all nodes for what they remember.
const collectTimeout = time.Second

// CollectRecords asks all nodes what they remember of a journal. It is complete if all
// members of the view have answered: a bill stands at two replicas, and the node
// that is gone may have been one of them.
func (m *Tracker) CollectRecords(ctx context.Context, journal string) (ledger.Snapshot, []ledger.ReplicatedBill, bool) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var mu sync.Mutex
	var replies []JournalRecords
	var calls sync.WaitGroup
	answered := make(map[string]bool)
	for _, to := range m.nodesToQuery() {
		calls.Go(func() {
			reply, err := m.peers.FetchRecords(ctx, to, journal)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered[to.ID] = true
			replies = append(replies, reply)
		})
	}
	calls.Wait()
	checkpoint, remembered := mergeRecords(replies)
	complete := !slices.ContainsFunc(m.members.Current().Members(), func(member view.Member) bool { return !answered[member.ID] })
	return checkpoint, remembered, complete
}

// nodesToQuery returns all who may remember something: the members of the view, also
// those that leave or are suspected, and other nodes that answer.
func (m *Tracker) nodesToQuery() map[string]view.Member {
	asked := map[string]view.Member{m.self.ID: m.self}
	for _, member := range m.members.Current().Members() {
		asked[member.ID] = member
	}
	for _, member := range m.members.Alive() {
		asked[member.ID] = member
	}
	return asked
}

// mergeRecords returns the highest checkpoint, and each bill beyond it with the token
// of its claim's last round.
func mergeRecords(replies []JournalRecords) (ledger.Snapshot, []ledger.ReplicatedBill) {
	var checkpoint ledger.Snapshot
	entries := make(map[string]claim.Entry)
	for _, reply := range replies {
		if reply.Checkpoint.Sequence > checkpoint.Sequence {
			checkpoint = reply.Checkpoint
		}
		for _, e := range reply.Bills {
			attempt := claim.AttemptOf(e.Token)
			if known, ok := entries[attempt]; !ok || claim.Supersedes(e.Token, known.Token) {
				entries[attempt] = e
			}
		}
	}
	var remembered []ledger.ReplicatedBill
	for _, e := range entries {
		var bill ledger.Bill
		if e.Sequence <= checkpoint.Sequence || json.Unmarshal(e.Value, &bill) != nil {
			continue
		}
		remembered = append(remembered, ledger.ReplicatedBill{Sequence: e.Sequence, Bill: bill, Token: e.Token})
	}
	sort.Slice(remembered, func(i, j int) bool { return remembered[i].Sequence < remembered[j].Sequence })
	return checkpoint, remembered
}

// Settle ends the claim of a bill of a node that is gone.
func (m *Tracker) Settle(ctx context.Context, journal string, r ledger.ReplicatedBill) (bool, error) {
	return m.settler.Settle(ctx, journal, r)
}
