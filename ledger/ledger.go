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
//	sequence := journal.Begin()
//	… claim the bill …
//	journal.Enter(sequence, bill) // or journal.Skip(sequence)
package ledger

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/timer"
)

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

// Line names what bills are summed up by.
func (b Bill) Line() string { return b.Account + "/" + b.Model + "@" + b.Version }

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

// Account is a journal as stored at the platform, and as checkpointed at
// peers: the totals of all bills up to a sequence.
type Account struct {
	Journal  string         `json:"journal"`
	Sequence int64          `json:"sequence"`
	Totals   map[string]Sum `json:"totals"`
	// Closed journals take no more bills. Swept lists the sequences beyond
	// Sequence that the closer has found and added.
	Closed   bool      `json:"closed"`
	ClosedAt time.Time `json:"closed_at,omitzero"`
	Swept    []int64   `json:"swept,omitempty"`
	// Absorbed lists, in the archive, journals that are in it and may still
	// stand beside it.
	Absorbed []string `json:"absorbed,omitempty"`
}

func (a *Account) add(line string, sum Sum) {
	if a.Totals == nil {
		a.Totals = make(map[string]Sum)
	}
	a.Totals[line] = a.Totals[line].Add(sum)
}

// Key returns the key of a journal at the platform.
func Key(journal string) string { return Prefix + journal }

// Prefix starts the keys of all journals.
const Prefix = "ledger/"

// Decode reads a stored journal; no data stands for an empty one.
func Decode(data []byte, journal string) (Account, error) {
	a := Account{Journal: journal}
	if len(data) == 0 {
		return a, nil
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, errs.Wrap(Malformed, "decode", err, "journal %s", journal)
	}
	return a, nil
}

// Checkpoints keeps sums at peers while the platform is out.
type Checkpoints interface {
	// Checkpoint gives the account to the journal's replicas and reports
	// whether enough of them took it.
	Checkpoint(ctx context.Context, a Account) bool
}

// Journal is one node's bills. It is safe for concurrent use.
type Journal struct {
	store       document.Store
	checkpoints Checkpoints
	timers      *timer.Service
	interval    func() time.Duration

	mu      sync.Mutex
	name    string
	next    int64
	done    int64
	open    map[int64]bool
	entries map[int64]Bill
	sums    Account
	// folded is the sequence that stands at the platform, safe the one that
	// stands there or at peers.
	folded int64
	safe   int64
	// skipped lists sequences whose bill this node has given up, latest last.
	skipped []int64
}

// New returns an empty journal. The interval between two folds is asked for
// anew each time, since it grows with the fleet.
func New(name string, store document.Store, checkpoints Checkpoints, timers *timer.Service, interval func() time.Duration) *Journal {
	return &Journal{
		store:       store,
		checkpoints: checkpoints,
		timers:      timers,
		interval:    interval,
		name:        name,
		open:        make(map[int64]bool),
		entries:     make(map[int64]Bill),
		sums:        Account{Journal: name},
	}
}

// Name returns the journal's name, which is the node's member ID.
func (j *Journal) Name() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.name
}

// Begin takes the next sequence, for a bill that is about to be claimed.
func (j *Journal) Begin() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next++
	j.open[j.next] = true
	return j.next
}

// Enter puts a bill that was won under its sequence.
func (j *Journal) Enter(sequence int64, b Bill) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries[sequence] = b
	j.resolve(sequence)
}

// Skip gives up a sequence whose bill was not won.
func (j *Journal) Skip(sequence int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.skipped = append(j.skipped, sequence)
	j.skipped = j.skipped[max(0, len(j.skipped)-maxSkipped):]
	j.resolve(sequence)
}

// maxSkipped bounds the sequences remembered as given up; each stands for a
// bill whose claim found too few replicas.
const maxSkipped = 4096

// GaveUp reports whether this node has given up the bill of a sequence. A
// claim of it that turns up again, carried over by a change of the view, was
// not won.
func (j *Journal) GaveUp(sequence int64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Contains(j.skipped, sequence)
}

// resolve moves the contiguous part of the journal into the sums.
func (j *Journal) resolve(sequence int64) {
	delete(j.open, sequence)
	for j.done < j.next && !j.open[j.done+1] {
		j.done++
		if b, ok := j.entries[j.done]; ok {
			j.sums.add(b.Line(), b.Sum())
			delete(j.entries, j.done)
		}
	}
	j.sums.Sequence = j.done
}

// Safe returns the sequence up to which the bills are kept elsewhere, at the
// platform or summed up at peers.
func (j *Journal) Safe() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.safe
}

// Pending returns how many bills wait for their fold.
func (j *Journal) Pending() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.next - j.safe
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
			if err := j.Fold(ctx); err != nil {
				slog.Warn("bills not folded", "error", err, "pending", j.Pending())
			}
		}
	}
}

// Fold writes the sums to the platform, or to peers if it is out.
func (j *Journal) Fold(ctx context.Context) error {
	sums := j.snapshot()
	if sums.Sequence == j.atPlatform() {
		return nil
	}
	var stored Account
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
	case j.checkpoints.Checkpoint(ctx, sums):
		j.markSafe(sums)
	}
	return err
}

func (j *Journal) snapshot() Account {
	j.mu.Lock()
	defer j.mu.Unlock()
	copied := j.sums
	copied.Totals = maps.Clone(j.sums.Totals)
	return copied
}

func (j *Journal) atPlatform() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.folded
}

func (j *Journal) markFolded(sums Account) {
	j.markSafe(sums)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.name == sums.Journal {
		j.folded = max(j.folded, sums.Sequence)
	}
}

func (j *Journal) markSafe(sums Account) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.name == sums.Journal {
		j.safe = max(j.safe, sums.Sequence)
	}
}

// reopen starts a new journal after another node has closed this one while it
// was paused. What the closer did not find goes into the new one.
func (j *Journal) reopen(closed Account) {
	j.mu.Lock()
	defer j.mu.Unlock()
	missed := Account{}
	for line, sum := range j.sums.Totals {
		missed.add(line, sum.minus(closed.Totals[line]))
	}
	for sequence, b := range j.entries {
		if slices.Contains(closed.Swept, sequence) {
			// It is in the closed totals already and will be added to the
			// sums once the sequence is contiguous.
			missed.add(b.Line(), Sum{}.minus(b.Sum()))
		}
	}
	j.name += "+"
	j.sums = Account{Journal: j.name, Sequence: j.done, Totals: missed.Totals}
	j.folded, j.safe = 0, 0
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
