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

// ReplicatedBill is a bill of a gone node as the claim replicas remember it.
type ReplicatedBill struct {
	Sequence int64
	Bill     Bill
	// Token is that of the claim.
	Token string
}

// Replicas asks all replicas what they remember of a journal.
type Replicas interface {
	// CollectRecords returns the highest checkpoint and the bills beyond it. Complete
	// is false while replicas are missing that may know more.
	CollectRecords(ctx context.Context, journal string) (checkpoint Snapshot, bills []ReplicatedBill, complete bool)
	// Orphaned lists journals of nodes that are no longer in the view, as far as
	// this node knows of them.
	Orphaned() []string
	// Settle ends the claim of a gone node's bill in its place and reports
	// whether it is won. Whoever settles a claim, and however often, gets the
	// same result.
	Settle(ctx context.Context, journal string, r ReplicatedBill) (won bool, err error)
}

// JournalStore lists the journals at the platform.
type JournalStore interface {
	document.Store
	Journals(ctx context.Context) ([]Snapshot, error)
	Delete(ctx context.Context, key string, expected int64) (bool, error)
}

const (
	closeInterval = 5 * time.Second
	// roundsPerListing is the number of rounds between two listings at the platform.
	roundsPerListing = 12
)

// Closer closes the journals of nodes that are gone, so that no bill is lost
// with its node.
type Closer struct {
	store       JournalStore
	replicas    Replicas
	ownerInView func(journal string) bool
	isActive    func() bool
	timers      *timer.Service
	closed      map[string]bool
}

// NewCloser returns a closer. It works while duty reports true, and leaves
// alone the journals of present members.
func NewCloser(store JournalStore, memory Replicas, member func(journal string) bool, duty func() bool, timers *timer.Service) *Closer {
	return &Closer{
		store:       store,
		replicas:    memory,
		ownerInView: member,
		isActive:    duty,
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
			if a.Closed {
				c.closed[a.Journal] = true
			} else {
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

// Close folds what the replicas remember of a gone node's bills and marks its
// journal closed. A bill counts if its claim is won, or can still be won in the
// place of the node: a claim of one's own would find the old one in its way, or
// count a bill again that the node has folded.
func (c *Closer) Close(ctx context.Context, journal string) error {
	checkpoint, bills, complete := c.replicas.CollectRecords(ctx, journal)
	if !complete {
		slog.Info("journal not closed yet: not all members tell what they remember of it", "journal", journal)
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

// settleBills returns the bills beyond a sequence whose claims are won.
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

// closedSnapshot returns the last form of a journal.
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

// Total sums up journals by line, for `violettally show ledger`.
func Total(journals []Snapshot) map[string]Sum {
	absorbed := make(map[string]bool)
	for _, a := range journals {
		for _, name := range a.Archived {
			absorbed[name] = true
		}
	}
	total := make(map[string]Sum)
	for _, a := range journals {
		if absorbed[a.Journal] {
			continue
		}
		for line, sum := range a.Totals {
			total[line] = total[line].Add(sum)
		}
	}
	return total
}
