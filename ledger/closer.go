package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"time"

	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/timer"
)

// ReplicatedBill is a bill of a removed node as held by the claim replicas.
type ReplicatedBill struct {
	Sequence int64
	Bill     Bill
	// Token is the token of the bill's claim.
	Token string
}

// Replicas gives access to what all nodes hold about the journals of removed
// nodes.
type Replicas interface {
	// CollectRecords returns a journal's highest checkpoint and the bills beyond
	// it. Complete is false while replicas that may hold more do not respond.
	CollectRecords(ctx context.Context, journal string) (checkpoint Snapshot, bills []ReplicatedBill, complete bool)
	// Orphaned lists the journals known to this node whose owners are not in the
	// view.
	Orphaned() []string
	// Settle settles the claim of a bill on behalf of a removed node and reports
	// whether it is won. The result is the same for every node that settles the
	// claim, and each time.
	Settle(ctx context.Context, journal string, r ReplicatedBill) (won bool, err error)
}

// JournalStore stores the journals at the platform.
type JournalStore interface {
	document.Store
	Journals(ctx context.Context) ([]Snapshot, error)
	Delete(ctx context.Context, key string, expected int64) (bool, error)
}

const (
	closeInterval = 5 * time.Second
	// roundsPerListing is the number of rounds between two listings of the
	// journals at the platform.
	roundsPerListing = 12
)

// Closer closes the journals of removed nodes, so that no bill is lost with its
// node.
type Closer struct {
	store       JournalStore
	replicas    Replicas
	ownerInView func(journal string) bool
	isActive    func() bool
	timers      *timer.Service
	closed      map[string]bool
}

// NewCloser returns a closer. It works only while isActive returns true, and
// skips the journals for which ownerInView returns true.
func NewCloser(store JournalStore, replicas Replicas, ownerInView func(journal string) bool, isActive func() bool, timers *timer.Service) *Closer {
	return &Closer{
		store:       store,
		replicas:    replicas,
		ownerInView: ownerInView,
		isActive:    isActive,
		timers:      timers,
		closed:      make(map[string]bool),
	}
}

// Run closes journals until the context ends.
func (c *Closer) Run(ctx context.Context) {
	round := 0
	c.timers.Every(ctx, closeInterval, func() {
		if c.isActive() {
			c.closeAll(ctx, round%roundsPerListing == 0)
		}
		round++
	})
}

func (c *Closer) closeAll(ctx context.Context, list bool) {
	for _, journal := range c.candidates(ctx, list) {
		if err := c.Close(ctx, journal); err != nil {
			slog.Warn("journal not closed", "journal", journal, "error", err)
		}
	}
}

func (c *Closer) candidates(ctx context.Context, list bool) []string {
	names := c.replicas.Orphaned()
	if list {
		stored, err := c.store.Journals(ctx)
		if err != nil {
			return nil
		}
		if err := c.archiveClosed(ctx, stored); err != nil {
			slog.Warn("closed journals not archived", "error", err)
		}
		for _, a := range stored {
			switch {
			case a.Closed:
				c.closed[a.Journal] = true
			case !a.Unreadable:
				names = append(names, a.Journal)
			}
		}
	}
	var open []string
	for _, name := range names {
		if !c.closed[name] && !c.ownerInView(name) {
			open = append(open, name)
		}
	}
	return open
}

// Close adds the bills that the replicas hold for a removed node to its journal
// and marks the journal closed. A bill counts if its claim is won or can still
// be won on its behalf. The closer makes no claims of its own: the node's claim
// would block them, or they would count again a bill that the node has folded.
func (c *Closer) Close(ctx context.Context, journal string) error {
	checkpoint, bills, complete := c.replicas.CollectRecords(ctx, journal)
	if !complete {
		slog.Info("journal not closed yet: some members did not report their records of it", "journal", journal)
		return nil
	}
	stored, err := Read(ctx, c.store, journal)
	if err != nil {
		return err
	}
	won, err := c.settleBills(ctx, journal, bills, max(stored.Sequence, checkpoint.Sequence))
	if err != nil {
		return err
	}
	var last Snapshot
	_, err = document.Update(ctx, c.store, Key(journal), func(old []byte) ([]byte, error) {
		var err error
		if stored, err = Decode(old, journal); err != nil {
			return nil, err
		}
		if stored.Closed {
			return nil, document.ErrUnchanged
		}
		last = closedSnapshot(stored, checkpoint, won)
		last.ClosedAt = c.timers.Now().UTC()
		return json.Marshal(last)
	})
	if err != nil && !errors.Is(err, document.ErrUnchanged) {
		return err
	}
	c.closed[journal] = true
	slog.Info("journal closed", "journal", journal, "by_another", stored.Closed, "remembered", len(bills), "folded", stored.Sequence,
		"checkpoint", checkpoint.Sequence, "sequence", last.Sequence, "swept", last.Recovered)
	return nil
}

// settleBills settles the claims of the bills beyond a sequence and returns the
// bills whose claims are won.
func (c *Closer) settleBills(ctx context.Context, journal string, bills []ReplicatedBill, after int64) ([]ReplicatedBill, error) {
	var won []ReplicatedBill
	for _, b := range bills {
		if b.Sequence <= after {
			continue
		}
		ok, err := c.replicas.Settle(ctx, journal, b)
		if err != nil {
			return nil, err
		}
		if ok {
			won = append(won, b)
		}
	}
	return won, nil
}

// closedSnapshot returns the final snapshot of a journal: the later one of the
// stored snapshot and the checkpoint, with the won bills beyond it added.
func closedSnapshot(stored, checkpoint Snapshot, won []ReplicatedBill) Snapshot {
	last := stored
	if checkpoint.Sequence > last.Sequence {
		last.Sequence, last.Totals, last.Skipped = checkpoint.Sequence, maps.Clone(checkpoint.Totals), checkpoint.Skipped
	}
	for _, b := range won {
		if b.Sequence > last.Sequence {
			last.add(b.Bill.TotalsKey(), b.Bill.Sum())
			last.Recovered = append(last.Recovered, b.Sequence)
		}
	}
	last.Closed = true
	return last
}

// Total adds up the totals of all journals by [Bill.TotalsKey]. It skips the
// journals that the archive already includes. `violettally show ledger` prints
// the result.
func Total(journals []Snapshot) map[string]Sum {
	archived := make(map[string]bool)
	for _, a := range journals {
		for _, name := range a.Archived {
			archived[name] = true
		}
	}
	total := make(map[string]Sum)
	for _, a := range journals {
		if archived[a.Journal] {
			continue
		}
		for key, sum := range a.Totals {
			total[key] = total[key].Add(sum)
		}
	}
	return total
}
