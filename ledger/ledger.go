// Package ledger records bills in one journal per node.
//
// A bill is a won claim (package claim) that holds the amount, so of all nodes
// that finish a request only one bills it. The winner commits the bill to its
// own journal, which adds it to running totals. Folding writes the totals to one
// document per journal at the platform, `ledger/<journal>`, by compare-and-swap,
// once per node and interval. Until a bill is folded, its claim's replicas hold
// it.
//
// While the platform is unavailable, the totals are sent to a few peers instead
// ([Checkpointer]). After that the replicas can discard the single bills, so
// that memory grows with accounts and versions, not with requests.
//
// The journal of a removed node is closed by another node, see [Closer].
//
// # Usage
//
//	sequence := journal.Begin(bill)
//	… claim the bill …
//	journal.Commit(sequence) // or journal.Skip(sequence)
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
	// Malformed says that a stored journal cannot be decoded.
	Malformed = namespace.NewType("malformed")
)

// Bill is the usage and cost of one request.
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

// TotalsKey returns the key in [Snapshot.Totals] under which the bill is added
// up: account, model and version.
func (b Bill) TotalsKey() string { return b.Account + "/" + b.Model + "@" + b.Version }

// Sum is the total of several bills.
type Sum struct {
	Requests         int64 `json:"requests"`
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Cost             int64 `json:"cost"`
}

// Add returns the sum of s and other.
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

// Snapshot is the totals of a journal's bills up to a sequence, as stored at the
// platform and as checkpointed at peers.
type Snapshot struct {
	Journal  string         `json:"journal"`
	Sequence int64          `json:"sequence"`
	Totals   map[string]Sum `json:"totals"`
	// Closed journals accept no more bills. Recovered lists the sequences beyond
	// Sequence whose bills the closer collected from replicas and added.
	Closed    bool      `json:"closed"`
	ClosedAt  time.Time `json:"closed_at,omitzero"`
	Recovered []int64   `json:"swept,omitempty"`
	// Skipped lists the latest sequences whose bill another claim has won. They
	// are not counted in Totals.
	Skipped []int64 `json:"skipped,omitempty"`
	// Unreadable means that what is stored under the journal's name cannot be decoded. It is not stored itself.
	Unreadable bool `json:"unreadable,omitempty"`
	// Archived is set only in the archive. It lists the journals whose totals are
	// included but which may still exist separately.
	Archived []string `json:"absorbed,omitempty"`
}

func (a *Snapshot) add(key string, sum Sum) {
	if a.Totals == nil {
		a.Totals = make(map[string]Sum)
	}
	a.Totals[key] = a.Totals[key].Add(sum)
}

// BillStatus says whether a sequence's bill counts in its journal.
type BillStatus int

// The statuses of a bill.
const (
	// BillOpen means that the bill's claim is not decided.
	BillOpen BillStatus = iota
	// BillWon means that the bill counts in its journal.
	BillWon
	// BillLost means that the bill does not count in its journal, because another
	// claim has won it or the journal was closed without it.
	BillLost
)

// BillStatus returns the status of a sequence's bill according to the snapshot.
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

// Key returns the key of a journal's document at the platform.
func Key(journal string) string { return KeyPrefix + journal }

// KeyPrefix is the prefix of all journals' keys.
const KeyPrefix = "ledger/"

// Decode decodes a stored journal. Empty data decodes to an empty journal. It
// returns [Malformed] for data that cannot be decoded.
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

// Read returns a journal as stored at the platform.
func Read(ctx context.Context, store document.Store, journal string) (Snapshot, error) {
	data, _, err := store.Get(ctx, Key(journal))
	if err != nil {
		return Snapshot{Journal: journal}, err
	}
	return Decode(data, journal)
}

// Checkpointer stores totals at peers while the platform is unavailable.
type Checkpointer interface {
	// Checkpoint sends the snapshot to the journal's replicas and reports whether
	// enough of them have stored it.
	Checkpoint(ctx context.Context, a Snapshot) bool
}

// Journal holds the bills of one node. It is safe for concurrent use.
type Journal struct {
	store        document.Store
	checkpointer Checkpointer
	timers       *timer.Service
	interval     func() time.Duration

	mu           sync.Mutex
	name         string
	lastSequence int64
	summed       int64
	// bills are those not in the totals yet, by sequence. Those in open are not
	// decided.
	bills     map[int64]Bill
	open      map[int64]bool
	committed Snapshot
	// folded is the sequence stored at the platform, durable the one stored at
	// the platform or checkpointed at peers.
	folded  int64
	durable int64
}

// New returns an empty journal. It calls interval before each fold, because the
// interval grows with the number of nodes.
func New(name string, store document.Store, checkpointer Checkpointer, timers *timer.Service, interval func() time.Duration) *Journal {
	return &Journal{
		store:        store,
		checkpointer: checkpointer,
		timers:       timers,
		interval:     interval,
		name:         name,
		bills:        make(map[int64]Bill),
		open:         make(map[int64]bool),
		committed:    Snapshot{Journal: name},
	}
}

// Name returns the journal's name: the node's member ID, with a "+" appended each
// time that another node has closed the journal.
func (j *Journal) Name() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.name
}

// Begin assigns the next sequence to a bill that is about to be claimed. Until
// the bill is decided, neither it nor a later bill is folded: replicas discard
// the bills up to the folded sequence, and if the node is lost only they still
// hold the undecided one.
func (j *Journal) Begin(b Bill) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastSequence++
	j.bills[j.lastSequence] = b
	j.open[j.lastSequence] = true
	return j.lastSequence
}

// Commit counts the bill of a sequence, whose claim this node has won.
func (j *Journal) Commit(sequence int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.open, sequence)
	j.advance()
}

// Skip drops the bill of a sequence, whose claim this node has lost.
func (j *Journal) Skip(sequence int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.bills, sequence)
	delete(j.open, sequence)
	skipped := append(slices.Clone(j.committed.Skipped), sequence)
	j.committed.Skipped = skipped[max(0, len(skipped)-maxSkipped):]
	j.advance()
}

// maxSkipped bounds the skipped sequences that are kept and stored. Each belongs
// to a request that two nodes responded to, which is rare, and its status is
// queried within minutes, if ever.
const maxSkipped = 256

// Undecided returns the sequences whose bill is not decided, and the latest of
// those whose bill another claim has won.
func (j *Journal) Undecided() (open, lost []int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Sorted(maps.Keys(j.open)), j.committed.Skipped
}

// advance adds the bills up to the first undecided sequence to the totals.
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

// DurableSequence returns the sequence up to which the totals are stored at the
// platform or checkpointed at peers.
func (j *Journal) DurableSequence() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.durable
}

// Pending returns the number of sequences that are not durable yet.
func (j *Journal) Pending() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastSequence - j.durable
}

// Run folds at each interval until the context ends.
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
				// Fold has started a new journal. Write it at once: only this
				// process knows the bills that the closer did not find.
				err = j.Fold(ctx)
			}
			if err != nil {
				slog.Warn("bills not folded", "error", err, "pending", j.Pending())
			}
		}
	}
}

// Fold writes the totals to the platform or, if that fails, sends them to peers.
// It returns the platform's error also if the peers have stored the totals. It
// returns [Closed] if another node has closed the journal; the journal then
// continues under a new name, which the next Fold writes.
func (j *Journal) Fold(ctx context.Context) error {
	totals := j.snapshot()
	if totals.Sequence == j.foldedSequence() {
		return nil
	}
	var stored Snapshot
	_, err := document.Update(ctx, j.store, Key(totals.Journal), func(old []byte) ([]byte, error) {
		var err error
		if stored, err = Decode(old, totals.Journal); err != nil {
			return nil, err
		}
		if stored.Closed {
			return nil, errs.New(Closed, "fold", "journal %s", totals.Journal)
		}
		return json.Marshal(totals)
	})
	switch {
	case err == nil:
		j.markFolded(totals)
	case stored.Closed:
		j.reopen(stored)
	case j.checkpointer.Checkpoint(ctx, totals):
		j.markDurable(totals)
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

func (j *Journal) markFolded(totals Snapshot) {
	j.markDurable(totals)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.name == totals.Journal {
		j.folded = max(j.folded, totals.Sequence)
	}
}

func (j *Journal) markDurable(totals Snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.name == totals.Journal {
		j.durable = max(j.durable, totals.Sequence)
	}
}

// reopen starts a new journal after another node has closed this one while this
// process was paused. The new journal holds the bills that the closer did not
// find.
func (j *Journal) reopen(closed Snapshot) {
	j.mu.Lock()
	defer j.mu.Unlock()
	missed := Snapshot{}
	for key, sum := range j.committed.Totals {
		missed.add(key, sum)
	}
	for key, sum := range closed.Totals {
		missed.add(key, Sum{}.minus(sum))
	}
	for _, sequence := range closed.Recovered {
		// The closer has counted this bill, but the totals here do not contain
		// it yet. Offset the subtraction above and drop the bill, so that it is
		// not counted again when it is decided here.
		if b, ok := j.bills[sequence]; ok {
			missed.add(b.TotalsKey(), b.Sum())
			delete(j.bills, sequence)
		}
	}
	maps.DeleteFunc(missed.Totals, func(_ string, s Sum) bool { return s == Sum{} })
	j.name += "+"
	j.committed = Snapshot{Journal: j.name, Sequence: j.summed, Totals: missed.Totals, Skipped: j.committed.Skipped}
	j.folded, j.durable = 0, 0
	slog.Warn("journal was closed by another node; continuing in a new journal", "journal", j.name)
}

func (s Sum) minus(other Sum) Sum {
	return Sum{
		Requests:         s.Requests - other.Requests,
		PromptTokens:     s.PromptTokens - other.PromptTokens,
		CompletionTokens: s.CompletionTokens - other.CompletionTokens,
		Cost:             s.Cost - other.Cost,
	}
}
