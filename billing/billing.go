// Package billing bills each request exactly once. It connects the ledger
// (package ledger) with replicated write-once claims (package claim): a node
// that wins the claim for a bill commits the bill to its own journal. The
// claim's replicas keep the bill until the journal's totals are durable, that
// is, stored at the platform or checkpointed at peers.
//
// A [Biller] claims bills. A [Tracker] records which bills of all nodes' journals
// are durable, and collects the bills of a removed node from the others.
//
// # Usage
//
//	won := biller.Bill(bill, ttl) // false: billed elsewhere, or retried in the background
//	…
//	biller.Wait() // before the last fold
package billing

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/timer"
)

const (
	// billTimeout bounds one attempt to settle a bill's claim. A response waits
	// for the first attempt.
	billTimeout = 2 * time.Second
	// The delay between attempts doubles from minRetryDelay to maxRetryDelay.
	// The first retries are quick because a bill is lost with its node until
	// enough replicas hold it; later ones are slower because replicas stay
	// unreachable for the whole outage of a data hall.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Claims settles and releases write-once claims.
type Claims interface {
	Settle(ctx context.Context, e claim.Entry) (claim.Outcome, error)
	Release(key claim.Key, token string)
}

// Statuses looks up the status of a bill in any node's journal.
type Statuses interface {
	BillStatus(ctx context.Context, bill claim.Entry) (ledger.BillStatus, error)
}

// Counters receives the metrics of billing.
type Counters interface {
	Retried(reason string)
	Billed(b ledger.Bill)
}

// Options holds the dependencies and settings of a Biller.
type Options struct {
	Self     claim.Holder
	Claims   Claims
	Statuses Statuses
	Journal  *ledger.Journal
	Counters Counters
	Timers   *timer.Service
	NewID    func() string
	// Region returns the home region of a client account.
	Region func(account string) string
	// RecoveredBillTTL is how long replicas keep the claim of a bill that was
	// settled on behalf of a removed node.
	RecoveredBillTTL time.Duration
}

// Biller claims bills and commits those that it wins to this node's journal. It
// is safe for concurrent use.
type Biller struct {
	Options
	retries sync.WaitGroup
}

// New returns a biller.
func New(options Options) *Biller { return &Biller{Options: options} }

// Wait blocks until no bill is being retried in the background.
func (b *Biller) Wait() { b.retries.Wait() }

// Bill claims a bill, commits it to the journal and returns true. It returns
// false if another claim has billed the request, or if the claim cannot be
// settled yet, for instance because too few replicas respond; then it retries
// in the background until the claim is settled. Replicas keep the claim for at
// least ttl.
func (b *Biller) Bill(bill ledger.Bill, ttl time.Duration) bool {
	value, err := json.Marshal(bill)
	if err != nil {
		slog.Error("bill cannot be encoded", "request_id", bill.RequestID, "error", err)
		return false
	}
	e := &claim.Entry{
		Key:      b.claimKey(bill),
		Token:    claim.RoundToken(b.NewID(), 0),
		Holder:   claim.Holder{ID: b.Journal.Name(), Peer: b.Self.Peer},
		State:    claim.StateDone,
		Value:    value,
		Sequence: b.Journal.Begin(bill),
		Expires:  b.Timers.Now().Add(ttl),
	}
	won, decided := b.trySettle(e, bill)
	if decided {
		return won
	}
	b.Counters.Retried("bill_claim")
	// A planned stop waits for these retries as it does for requests.
	b.retries.Go(func() {
		for delay := minRetryDelay; !decided; delay = min(2*delay, maxRetryDelay) {
			time.Sleep(delay)
			_, decided = b.trySettle(e, bill)
		}
	})
	return false
}

func (b *Biller) claimKey(bill ledger.Bill) claim.Key {
	return claim.Key{Region: b.Region(bill.Account), Account: bill.Account, Kind: claim.KindBill, ID: bill.RequestID}
}

// trySettle tries once to settle a bill's claim. All tries for a bill use the
// same attempt and the same sequence. Replicas keep the votes of an undecided
// claim, so that another node can settle it if this one is removed.
func (b *Biller) trySettle(e *claim.Entry, bill ledger.Bill) (won, decided bool) {
	ctx, cancel := context.WithTimeout(context.Background(), billTimeout)
	defer cancel()
	outcome, err := b.Claims.Settle(ctx, *e)
	switch {
	case err != nil:
		logUnsettled(e, outcome, err)
		if outcome.Other != nil && b.resolveConflict(ctx, e, outcome.Other) {
			e.Token = claim.NextToken(e.Token)
		}
		return false, false
	case outcome.Won:
		b.Journal.Commit(e.Sequence)
		b.Counters.Billed(bill)
		return true, true
	default:
		logUnsettled(e, outcome, nil)
		b.Claims.Release(e.Key, e.Token)
		b.Journal.Skip(e.Sequence)
		return false, true
	}
}

// resolveConflict resolves a conflict between two claims of one bill when the
// replicas cannot tell which has won. It looks up the rival's bill in its
// journal: if the rival has lost, its claim is released; if it has won, e is.
// If neither is decided, e is released unless it has the smaller attempt token.
// It reports whether e was released.
func (b *Biller) resolveConflict(ctx context.Context, e, rival *claim.Entry) bool {
	status, err := b.Statuses.BillStatus(ctx, *rival)
	if err != nil {
		slog.Info("status of a rival bill unknown", "request_id", e.Key.ID, "journal", rival.Holder.ID, "sequence", rival.Sequence, "error", err)
		return false
	}
	switch {
	case status == ledger.BillLost:
		b.Claims.Release(rival.Key, rival.Token)
		return false
	case status == ledger.BillOpen && claim.AttemptOf(e.Token) < claim.AttemptOf(rival.Token):
		return false
	default:
		b.Claims.Release(e.Key, e.Token)
		return true
	}
}

// Settle settles the claim of a bill on behalf of a removed node, and reports
// whether the claim is won.
func (b *Biller) Settle(ctx context.Context, journal string, r ledger.ReplicatedBill) (bool, error) {
	value, err := json.Marshal(r.Bill)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, billTimeout)
	defer cancel()
	e := claim.Entry{
		Key:      b.claimKey(r.Bill),
		Token:    r.Token,
		Holder:   claim.Holder{ID: journal},
		State:    claim.StateDone,
		Value:    value,
		Sequence: r.Sequence,
		Expires:  b.Timers.Now().Add(b.RecoveredBillTTL),
	}
	outcome, err := b.Claims.Settle(ctx, e)
	if err != nil || !outcome.Won {
		logUnsettled(&e, outcome, err)
	}
	if err != nil && outcome.Other != nil {
		b.resolveConflict(ctx, &e, outcome.Other)
	}
	return outcome.Won, err
}

// logUnsettled logs why a sequence of a journal has no bill or is not decided
// yet, and which claim holds the key. A bill missing from the ledger can be traced
// by these lines and those about the closing of journals.
func logUnsettled(e *claim.Entry, outcome claim.Outcome, err error) {
	attributes := []any{"request_id", e.Key.ID, "account", e.Key.Account, "journal", e.Holder.ID, "sequence", e.Sequence, "attempt", e.Token}
	if err != nil {
		slog.Info("bill not decided", append(attributes, "error", err)...)
		return
	}
	other := outcome.Other
	slog.Info("bill won by another claim", append(attributes, "held_by", other.Holder.ID, "held_as", other.Token,
		"held_sequence", other.Sequence, "state", other.State)...)
}
