// Package billing sees to it that each request is billed exactly once. It
// connects the ledger (package ledger) with the write-once memory (package
// claim): a bill is a won claim that its winner enters in its own journal, and
// until the journal's sums are kept elsewhere the claim's replicas remember it.
//
// A [Biller] claims bills. A [Tracker] keeps what this node knows of the bills
// of others, and asks all nodes for the bills of one that is gone.
//
// # Usage
//
//	won := biller.Bill(bill, life) // claimed, or claimed again until it is decided
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
	// billTimeout is how long an answer waits for its bill.
	billTimeout = 2 * time.Second
	// minRetryDelay lies between the first two tries to claim a bill, lastPause
	// between later ones: until enough replicas hold a bill it goes with its
	// node, and they may not answer for as long as a data hall is away.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Claims is the write-once memory.
type Claims interface {
	Settle(ctx context.Context, e claim.Entry) (claim.Outcome, error)
	Release(key claim.Key, token string)
}

// Statuses tells what has become of another node's bill.
type Statuses interface {
	BillStatus(ctx context.Context, bill claim.Entry) (ledger.BillStatus, error)
}

// Counters counts what operators want to see.
type Counters interface {
	Retried(reason string)
	Billed(b ledger.Bill)
}

// Config is what a Biller is made of.
type Config struct {
	Self     claim.Holder
	Claims   Claims
	Statuses Statuses
	Journal  *ledger.Journal
	Counters Counters
	Timers   *timer.Service
	NewID    func() string
	// Region returns the home region of a client account.
	Region func(account string) string
	// RecoveredBillTTL is how long the bill of a node that is gone is remembered.
	RecoveredBillTTL time.Duration
}

// Biller claims bills and enters those that it wins in this node's journal. It
// is safe for concurrent use.
type Biller struct {
	Config
	retries sync.WaitGroup
}

// New returns a biller.
func New(parts Config) *Biller { return &Biller{Config: parts} }

// Wait returns when no bill is being claimed any more.
func (b *Biller) Wait() { b.retries.Wait() }

// Bill claims a bill and enters it in the journal. It returns false if the
// request is billed already, or if its replicas do not answer; then it goes
// on trying beside the request until they do.
func (b *Biller) Bill(bill ledger.Bill, life time.Duration) bool {
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
		Expires:  b.Timers.Now().Add(life),
	}
	won, decided := b.trySettle(e, bill)
	if decided {
		return won
	}
	b.Counters.Retried("bill_claim")
	// A planned stop waits for the bill as for a request.
	b.retries.Go(func() {
		for pause := minRetryDelay; !decided; pause = min(2*pause, maxRetryDelay) {
			time.Sleep(pause)
			_, decided = b.trySettle(e, bill)
		}
	})
	return false
}

func (b *Biller) claimKey(bill ledger.Bill) claim.Key {
	return claim.Key{Region: b.Region(bill.Account), Account: bill.Account, Kind: claim.KindBill, ID: bill.RequestID}
}

// trySettle tries once to settle a bill's claim. A bill is one attempt at one
// sequence until it is decided. What replicas hold of it meanwhile stays there,
// so that the bill can be settled in this node's place.
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

// resolveConflict parts two claims of a bill of which the replicas do not tell who has
// won. Their holders know: who has lost is released, and if neither has
// decided, the second by name. It reports whether the first claim was released.
func (b *Biller) resolveConflict(ctx context.Context, e, rival *claim.Entry) bool {
	fate, err := b.Statuses.BillStatus(ctx, *rival)
	if err != nil {
		slog.Info("fate of a bill not known", "request_id", e.Key.ID, "journal", rival.Holder.ID, "sequence", rival.Sequence, "error", err)
		return false
	}
	switch {
	case fate == ledger.BillLost:
		b.Claims.Release(rival.Key, rival.Token)
		return false
	case fate == ledger.BillOpen && claim.AttemptOf(e.Token) < claim.AttemptOf(rival.Token):
		return false
	default:
		b.Claims.Release(e.Key, e.Token)
		return true
	}
}

// Settle ends the claim of a bill in the place of a node that is gone, and
// reports whether it is won.
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

// logUnsettled tells why a sequence of a journal is left without a bill, or is not
// decided yet, and whose claim has the key: a bill that is missing from the
// ledger is traced by these lines and those of the journals' closing.
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
