// Package ledger keeps the bills.
//
// A bill is a won claim (package claim) that holds the amount, so of all who
// finish a request only one bills it. The winner enters the bill in its own
// journal and sums it up; the sums are folded into one document per journal at
// the platform, `ledger/<journal>`, by compare-and-swap, one write per node
// and interval. Between a bill and its fold the claim's replicas remember it.
//
// In a long outage of the platform the sums go to a few peers instead
// ([Checkpoint]), after which the single bills need not be remembered: memory
// grows with accounts and versions, not with requests.
//
// A node that is gone is closed by another: see closer.go.
//
// # Usage
//
//	sequence := journal.Begin(bill)
//	… claim the bill …
//	journal.Enter(sequence) // or journal.Skip(sequence)
package ledger

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/timer"
)

//go:generate go tool enumer -type=BillStatus -trimprefix=Bill -transform=snake -output=ledger_enumer.go

var (
	namespace = errs.Namespace("ledger")

	// Closed says that another node has closed the journal.
	Closed = namespace.NewType("closed")
	// Malformed says that a stored journal cannot be read.
	Malformed = namespace.NewType("malformed")
)

// Bill is what one request cost.
type Bill struct {
	Account          string `json:"account"`
	Model            string `json:"model"`
	Version          string `json:"version"`
	RequestID        string `json:"request_id"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
	// Cost is in millionths of the operators' currency unit.
	Cost int64 `json:"cost"`
}

// TotalsKey names what bills are summed up by.
func (b Bill) TotalsKey() string { return b.Account + "/" + b.Model + "@" + b.Version }

// Sum is the total of some bills.
type Sum struct {
	Requests         int64 `json:"requests"`
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Cost             int64 `json:"cost"`
}

// Add returns the sum of both.
func (s Sum) Add(other Sum) Sum {
	return Sum{
		Requests:         s.Requests + other.Requests,
		PromptTokens:     s.PromptTokens + other.PromptTokens,
		CompletionTokens: s.CompletionTokens + other.CompletionTokens,
		Cost:             s.Cost + other.Cost,
	}
}

// Sum returns the bill as a sum of one request.
func (b Bill) Sum() Sum {
	return Sum{Requests: 1, PromptTokens: b.PromptTokens, CompletionTokens: b.CompletionTokens, Cost: b.Cost}
}

// Snapshot is a journal as stored at the platform, and as checkpointed at
// peers: the totals of all bills up to a sequence.
type Snapshot struct {
	Journal  string         `json:"journal"`
	Sequence int64          `json:"sequence"`
	Totals   map[string]Sum `json:"totals"`
	// Closed journals take no more bills. Swept lists the sequences beyond
	// Sequence that the closer has found and added.
	Closed    bool      `json:"closed"`
	ClosedAt  time.Time `json:"closed_at,omitzero"`
	Recovered []int64   `json:"swept,omitempty"`
	// Skipped lists the latest sequences up to Sequence whose bill another has
	// won.
	Skipped []int64 `json:"skipped,omitempty"`
	// Archived lists, in the archive, journals that are in it and may still
	// stand beside it.
	Archived []string `json:"absorbed,omitempty"`
}

func (a *Snapshot) add(line string, sum Sum) {
	if a.Totals == nil {
		a.Totals = make(map[string]Sum)
	}
	a.Totals[line] = a.Totals[line].Add(sum)
}

// BillStatus is what has become of the bill of a sequence.
type BillStatus int

// The fates of a bill.
const (
	// BillOpen is that of a bill which is not decided.
	BillOpen BillStatus = iota
	// BillWon bills are in their journal.
	BillWon
	// BillLost bills are in the journal of another.
	BillLost
)

// BillStatus returns what has become of a bill as far as the stored journal tells.
func (a Snapshot) BillStatus(sequence int64) BillStatus {
	switch {
	case slices.Contains(a.Skipped, sequence):
		return BillLost
	case sequence <= a.Sequence || slices.Contains(a.Recovered, sequence):
		return BillWon
	case a.Closed:
		return BillLost
	default:
		return BillOpen
	}
}

// Key returns the key of a journal at the platform.
func Key(journal string) string { return KeyPrefix + journal }

// KeyPrefix starts the keys of all journals.
const KeyPrefix = "ledger/"

// Decode reads a stored journal; no data stands for an empty one.
func Decode(data []byte, journal string) (Snapshot, error) {
	a := Snapshot{Journal: journal}
	if len(data) == 0 {
		return a, nil
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, errs.Wrap(Malformed, "decode", err, "journal %s", journal)
	}
	return a, nil
}

// Read returns a journal as it is stored.
func Read(ctx context.Context, store document.Store, journal string) (Snapshot, error) {
	data, _, err := store.Get(ctx, Key(journal))
	if err != nil {
		return Snapshot{Journal: journal}, err
	}
	return Decode(data, journal)
}

// Checkpointer keeps sums at peers while the platform is out.
type Checkpointer interface {
	// Checkpoint gives the account to the journal's replicas and reports
	// whether enough of them took it.
	Checkpoint(ctx context.Context, a Snapshot) bool
}

// Journal is one node's bills. It is safe for concurrent use.
type Journal struct {
	store        document.Store
	checkpointer Checkpointer
	timers       *timer.Service
	interval     func() time.Duration

	mu           sync.Mutex
	name         string
	lastSequence int64
	summed       int64
	// bills are those that are not in the sums yet; the open ones among them
	// are not decided.
	bills     map[int64]Bill
	open      map[int64]bool
	committed Snapshot
	// folded is the sequence that stands at the platform, safe the one that
	// stands there or at peers.
	folded  int64
	durable int64
}

// New returns an empty journal. The interval between two folds is asked for
// anew each time, since it grows with the fleet.
func New(name string, store document.Store, checkpoints Checkpointer, timers *timer.Service, interval func() time.Duration) *Journal {
	return &Journal{
		store:        store,
		checkpointer: checkpoints,
		timers:       timers,
		interval:     interval,
		name:         name,
		bills:        make(map[int64]Bill),
		open:         make(map[int64]bool),
		committed:    Snapshot{Journal: name},
	}
}

// Name returns the journal's name, which is the node's member ID.
func (j *Journal) Name() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.name
}

// Begin takes the next sequence for a bill that is about to be claimed. Until
// the bill is decided, neither it nor a later one is folded: replicas forget
// what is folded, and only they can tell of it if the node goes.
func (j *Journal) Begin(b Bill) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastSequence++
	j.bills[j.lastSequence] = b
	j.open[j.lastSequence] = true
	return j.lastSequence
}

// Commit counts the bill of a sequence, which was won.
func (j *Journal) Commit(sequence int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.open, sequence)
	j.advance()
}

// Skip leaves out the bill of a sequence, which somebody else has won.
func (j *Journal) Skip(sequence int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.bills, sequence)
	delete(j.open, sequence)
	skipped := append(slices.Clone(j.committed.Skipped), sequence)
	j.committed.Skipped = skipped[max(0, len(skipped)-maxSkipped):]
	j.advance()
}

// maxSkipped bounds the sequences that are told as skipped, also in what is
// stored. Each stands for a request that two nodes answered, which is rare, and is
// asked for within minutes if at all.
const maxSkipped = 256

// Undecided returns the sequences whose bill is not decided, and the latest of
// those whose bill another has won.
func (j *Journal) Undecided() (open, lost []int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Sorted(maps.Keys(j.open)), j.committed.Skipped
}

// advance moves the contiguous part of the journal into the sums.
func (j *Journal) advance() {
	for j.summed < j.lastSequence && !j.open[j.summed+1] {
		j.summed++
		if b, ok := j.bills[j.summed]; ok {
			j.committed.add(b.TotalsKey(), b.Sum())
			delete(j.bills, j.summed)
		}
	}
	j.committed.Sequence = j.summed
}

// DurableSequence returns the sequence up to which the bills are kept elsewhere, at the
// platform or summed up at peers.
func (j *Journal) DurableSequence() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.durable
}

// Pending returns how many bills wait for their fold.
func (j *Journal) Pending() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastSequence - j.durable
}

// Run folds until the context ends.
func (j *Journal) Run(ctx context.Context) {
	for {
		ticks := j.timers.Subscribe(j.interval())
		select {
		case <-ctx.Done():
			ticks.Stop()
			return
		case <-ticks.C():
			ticks.Stop()
			err := j.Fold(ctx)
			if errorx.IsOfType(err, Closed) {
				// Only this process knows what the closer did not find.
				err = j.Fold(ctx)
			}
			if err != nil {
				slog.Warn("bills not folded", "error", err, "pending", j.Pending())
			}
		}
	}
}

// Fold writes the sums to the platform, or to peers if it is out.
func (j *Journal) Fold(ctx context.Context) error {
	sums := j.snapshot()
	if sums.Sequence == j.foldedSequence() {
		return nil
	}
	var stored Snapshot
	_, err := document.Update(ctx, j.store, Key(sums.Journal), func(old []byte) ([]byte, error) {
		var err error
		if stored, err = Decode(old, sums.Journal); err != nil {
			return nil, err
		}
		if stored.Closed {
			return nil, errs.New(Closed, "fold", "journal %s", sums.Journal)
		}
		return json.Marshal(sums)
	})
	switch {
	case err == nil:
		j.markFolded(sums)
	case stored.Closed:
		j.reopen(stored)
	case j.checkpointer.Checkpoint(ctx, sums):
		j.markDurable(sums)
	}
	return err
}

func (j *Journal) snapshot() Snapshot {
	j.mu.Lock()
	defer j.mu.Unlock()
	copied := j.committed
	copied.Totals = maps.Clone(j.committed.Totals)
	return copied
}

func (j *Journal) foldedSequence() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.folded
}

func (j *Journal) markFolded(sums Snapshot) {
	j.markDurable(sums)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.name == sums.Journal {
		j.folded = max(j.folded, sums.Sequence)
	}
}

func (j *Journal) markDurable(sums Snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.name == sums.Journal {
		j.durable = max(j.durable, sums.Sequence)
	}
}

// reopen starts a new journal after another node has closed this one while it
// was paused. What the closer did not find goes into the new one.
func (j *Journal) reopen(closed Snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	missed := Snapshot{}
	for line, sum := range j.committed.Totals {
		missed.add(line, sum)
	}
	for line, sum := range closed.Totals {
		missed.add(line, Sum{}.minus(sum))
	}
	for _, sequence := range closed.Recovered {
		// What the closer has counted and the sums have not is not to be
		// counted again, whenever it is decided here.
		if b, ok := j.bills[sequence]; ok {
			missed.add(b.TotalsKey(), b.Sum())
			delete(j.bills, sequence)
		}
	}
	maps.DeleteFunc(missed.Totals, func(_ string, s Sum) bool { return s == Sum{} })
	j.name += "+"
	j.committed = Snapshot{Journal: j.name, Sequence: j.summed, Totals: missed.Totals, Skipped: j.committed.Skipped}
	j.folded, j.durable = 0, 0
	slog.Warn("journal was closed meanwhile; going on in a new one", "journal", j.name)
}

func (s Sum) minus(other Sum) Sum {
	return Sum{
		Requests:         s.Requests - other.Requests,
		PromptTokens:     s.PromptTokens - other.PromptTokens,
		CompletionTokens: s.CompletionTokens - other.CompletionTokens,
		Cost:             s.Cost - other.Cost,
	}
}
