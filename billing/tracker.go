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

	// NotOwner says that the member that a journal is named after does not own
	// it.
	NotOwner = namespace.NewType("not_owner")
)

// JournalRecords is what one node holds about a journal: the latest checkpoint,
// and the claims of bills beyond it. Its fields are exported for the codec.
type JournalRecords struct {
	Checkpoint ledger.Snapshot `cbor:"1,keyasint"`
	Bills      []claim.Entry   `cbor:"2,keyasint"`
	// IsOwner says that the journal is the node's own. Only then are Open and
	// Lost set: the undecided sequences, and the latest of those whose bill
	// another claim has won.
	IsOwner bool    `cbor:"3,keyasint,omitempty"`
	Open    []int64 `cbor:"4,keyasint,omitempty"`
	Lost    []int64 `cbor:"5,keyasint,omitempty"`
}

// Peers calls the trackers of all nodes, including this one.
type Peers interface {
	FetchRecords(ctx context.Context, to view.Member, journal string) (JournalRecords, error)
	Checkpoint(ctx context.Context, to view.Member, a ledger.Snapshot) error
}

// Members provides the cluster's membership.
type Members interface {
	// Current returns the view in force.
	Current() *view.View
	// Alive returns the other nodes that respond.
	Alive() []view.Member
}

// Replica is this node's claim replica.
type Replica interface {
	Bills(holder string, after int64) []claim.Entry
	BillHolders() map[string]bool
}

// Settler settles claims on behalf of removed nodes.
type Settler interface {
	Settle(ctx context.Context, journal string, r ledger.ReplicatedBill) (won bool, err error)
}

// Tracker keeps the durable sequences and the checkpoints of all nodes' journals,
// as far as they were reported to this node. It is safe for concurrent use.
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
	// durable holds each journal's durable sequence, lastReport the time of the
	// last message about it from its node.
	durable     map[string]int64
	lastReport  map[string]time.Time
	checkpoints map[string]ledger.Snapshot
}

// NewTracker returns an empty tracker. [Tracker.Attach] must be called before
// its use; the dependencies set there need the tracker themselves.
func NewTracker(self view.Member, members Members, peers Peers, store document.Store, timers *timer.Service) *Tracker {
	return &Tracker{
		self:        self,
		members:     members,
		peers:       peers,
		store:       store,
		timers:      timers,
		durable:     make(map[string]int64),
		lastReport:  make(map[string]time.Time),
		checkpoints: make(map[string]ledger.Snapshot),
	}
}

// Attach sets this node's journal, its claim replica and its biller.
func (t *Tracker) Attach(journal *ledger.Journal, replica Replica, settler Settler) {
	t.journal, t.replica, t.settler = journal, replica, settler
}

// RecordHeartbeat records the durable sequence of a journal as its node reports
// it in heartbeats.
func (t *Tracker) RecordHeartbeat(journal string, durable int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.durable[journal] = max(t.durable[journal], durable)
	t.lastReport[journal] = t.timers.Now()
}

// silentJournalTTL is how long bills are kept whose journal is no longer
// reported. Closing such a journal takes seconds, or until the platform is back
// after an outage.
const silentJournalTTL = 6 * time.Hour

// CanDiscard reports whether replicas may discard a bill: it is durable, or its
// journal has not been reported for longer than silentJournalTTL.
func (t *Tracker) CanDiscard(journal string, sequence int64) bool {
	if journal == t.journal.Name() {
		return sequence <= t.journal.DurableSequence()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timers.Now()
	if _, known := t.lastReport[journal]; !known {
		t.lastReport[journal] = now
	}
	return sequence <= t.durable[journal] || now.Sub(t.lastReport[journal]) > silentJournalTTL
}

// sweepInterval is how often silent journals are looked for.
const sweepInterval = time.Hour

// Run discards the data of journals that have not been reported for
// twice silentJournalTTL. It returns when the context ends.
func (t *Tracker) Run(ctx context.Context) {
	t.timers.Every(ctx, sweepInterval, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		now := t.timers.Now()
		for journal, at := range t.lastReport {
			if now.Sub(at) > 2*silentJournalTTL {
				delete(t.lastReport, journal)
				delete(t.durable, journal)
				delete(t.checkpoints, journal)
			}
		}
	})
}

// OwnerInView reports whether a journal's owner is a member of the view.
func (t *Tracker) OwnerInView(journal string) bool {
	return t.members.Current().Has(ownerOf(journal))
}

// Orphaned lists the journals whose owners are not in the view: those of which
// this node holds bills or checkpoints, and those of the members that the view's
// history lists as removed. The history is needed because a node is the replica
// of some keys only.
func (t *Tracker) Orphaned() []string {
	known := t.replica.BillHolders()
	for _, removed := range t.members.Current().Removed() {
		known[removed.ID] = true
	}
	t.mu.Lock()
	for journal := range t.checkpoints {
		known[journal] = true
	}
	t.mu.Unlock()
	var orphaned []string
	for journal := range known {
		if !t.OwnerInView(journal) {
			orphaned = append(orphaned, journal)
		}
	}
	return orphaned
}

// StoreCheckpoint keeps a journal's checkpoint if it is newer than the one held.
func (t *Tracker) StoreCheckpoint(a ledger.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastReport[a.Journal] = t.timers.Now()
	if a.Sequence > t.checkpoints[a.Journal].Sequence {
		t.checkpoints[a.Journal] = a
	}
}

// Checkpoint sends a checkpoint of this node's journal to the other nodes among
// the journal's replicas in the view, which are in different data halls. It
// reports whether at least two have stored it.
func (t *Tracker) Checkpoint(ctx context.Context, a ledger.Snapshot) bool {
	stored := 0
	for _, to := range t.members.Current().Replicas(t.self.Region, ledger.Key(a.Journal)) {
		if to.ID != t.self.ID && t.peers.Checkpoint(ctx, to, a) == nil {
			stored++
		}
	}
	return stored >= 2
}

// LocalRecords returns what this node holds about a journal.
func (t *Tracker) LocalRecords(journal string) JournalRecords {
	t.mu.Lock()
	checkpoint := t.checkpoints[journal]
	t.mu.Unlock()
	records := JournalRecords{Checkpoint: checkpoint, Bills: t.replica.Bills(journal, checkpoint.Sequence)}
	if ownerOf(journal) == t.self.ID {
		records.IsOwner = true
		records.Open, records.Lost = t.journal.Undecided()
	}
	return records
}

// ownerOf returns the ID of the member that owns a journal. A journal that
// continues a closed one has its name with an appended "+", and continues its
// sequences.
func ownerOf(journal string) string { return strings.TrimRight(journal, "+") }

// BillStatus returns the status of a bill. It asks the owner of the bill's
// journal or, if the owner is not in the view, reads the journal that is stored
// at the platform.
func (t *Tracker) BillStatus(ctx context.Context, bill claim.Entry) (ledger.BillStatus, error) {
	journal := bill.Holder.ID
	owner, present := t.members.Current().Member(ownerOf(journal))
	if !present {
		stored, err := ledger.Read(ctx, t.store, journal)
		return stored.BillStatus(bill.Sequence), err
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	records, err := t.peers.FetchRecords(ctx, owner, journal)
	switch {
	case err != nil:
		return ledger.BillOpen, err
	case !records.IsOwner:
		return ledger.BillOpen, errs.New(NotOwner, "fate", "journal %s", journal)
	case slices.Contains(records.Open, bill.Sequence):
		return ledger.BillOpen, nil
	case slices.Contains(records.Lost, bill.Sequence):
		return ledger.BillLost, nil
	default:
		return ledger.BillWon, nil
	}
}

// collectTimeout bounds the calls for records to one or all nodes.
const collectTimeout = time.Second

// CollectRecords asks all nodes for their records of a journal. The result is
// complete only if all members of the view have responded: a bill may be held by
// no more than two replicas, and the removed node may have been one of them.
func (t *Tracker) CollectRecords(ctx context.Context, journal string) (ledger.Snapshot, []ledger.ReplicatedBill, bool) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var mu sync.Mutex
	var collected []JournalRecords
	var calls sync.WaitGroup
	responded := make(map[string]bool)
	for _, to := range t.nodesToQuery() {
		calls.Go(func() {
			records, err := t.peers.FetchRecords(ctx, to, journal)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responded[to.ID] = true
			collected = append(collected, records)
		})
	}
	calls.Wait()
	checkpoint, bills := mergeRecords(collected)
	complete := !slices.ContainsFunc(t.members.Current().Members(), func(member view.Member) bool { return !responded[member.ID] })
	return checkpoint, bills, complete
}

// nodesToQuery returns all nodes that may hold records, by their IDs: the
// members of the view, including those that are leaving or suspected, and other
// nodes that respond.
func (t *Tracker) nodesToQuery() map[string]view.Member {
	nodes := map[string]view.Member{t.self.ID: t.self}
	for _, member := range t.members.Current().Members() {
		nodes[member.ID] = member
	}
	for _, member := range t.members.Alive() {
		nodes[member.ID] = member
	}
	return nodes
}

// mergeRecords returns the highest checkpoint, and each bill beyond it with the
// token of the last round of its claim, in the order of their sequences.
func mergeRecords(collected []JournalRecords) (ledger.Snapshot, []ledger.ReplicatedBill) {
	var checkpoint ledger.Snapshot
	entries := make(map[string]claim.Entry)
	for _, records := range collected {
		if records.Checkpoint.Sequence > checkpoint.Sequence {
			checkpoint = records.Checkpoint
		}
		for _, e := range records.Bills {
			attempt := claim.AttemptOf(e.Token)
			if known, ok := entries[attempt]; !ok || claim.Supersedes(e.Token, known.Token) {
				entries[attempt] = e
			}
		}
	}
	var bills []ledger.ReplicatedBill
	for _, e := range entries {
		var bill ledger.Bill
		if e.Sequence <= checkpoint.Sequence || json.Unmarshal(e.Value, &bill) != nil {
			continue
		}
		bills = append(bills, ledger.ReplicatedBill{Sequence: e.Sequence, Bill: bill, Token: e.Token})
	}
	sort.Slice(bills, func(i, j int) bool { return bills[i].Sequence < bills[j].Sequence })
	return checkpoint, bills
}

// Settle settles the claim of a bill on behalf of a removed node, and reports
// whether the claim is won.
func (t *Tracker) Settle(ctx context.Context, journal string, r ledger.ReplicatedBill) (bool, error) {
	return t.settler.Settle(ctx, journal, r)
}
