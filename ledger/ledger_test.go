package ledger_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/timer"
)

var errDown = errors.New("down")

// fakePlatform is a store that can be down, or lose the responses to the next
// loseResponses writes after they took effect.
type fakePlatform struct {
	mu            sync.Mutex
	data          map[string][]byte
	revision      map[string]int64
	down          bool
	loseResponses int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{data: make(map[string][]byte), revision: make(map[string]int64)}
}

func (p *fakePlatform) Get(_ context.Context, key string) ([]byte, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, 0, errDown
	}
	return p.data[key], p.revision[key], nil
}

func (p *fakePlatform) Swap(_ context.Context, key string, data []byte, expected int64) (int64, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return 0, false, errDown
	}
	if p.revision[key] != expected {
		return 0, false, nil
	}
	p.data[key] = data
	p.revision[key]++
	if p.loseResponses > 0 {
		p.loseResponses--
		return 0, false, errDown
	}
	return p.revision[key], true, nil
}

func (p *fakePlatform) Delete(_ context.Context, key string, expected int64) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.revision[key] != expected {
		return false, errDown
	}
	delete(p.data, key)
	delete(p.revision, key)
	return true, nil
}

func (p *fakePlatform) Journals(context.Context) ([]ledger.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []ledger.Snapshot
	for key, data := range p.data {
		a, err := ledger.Decode(data, key[len(ledger.KeyPrefix):])
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}

// total returns the number of requests stored under the totals key that most of
// these tests use.
func (p *fakePlatform) total(t *testing.T) int64 {
	journals, err := p.Journals(t.Context())
	must.NoError(t, err)
	return ledger.Total(journals)["desk/brief@v1"].Requests
}

// fakeReplicas holds bills and the latest checkpoint.
type fakeReplicas struct {
	checkpoint ledger.Snapshot
	bills      []ledger.ReplicatedBill
	complete   bool
	// lost lists the sequences whose claims another node has won, settled those
	// that Settle was called for.
	lost    []int64
	settled []int64
}

func (r *fakeReplicas) Checkpoint(_ context.Context, a ledger.Snapshot) bool {
	r.checkpoint = a
	return true
}

func (r *fakeReplicas) CollectRecords(context.Context, string) (ledger.Snapshot, []ledger.ReplicatedBill, bool) {
	return r.checkpoint, r.bills, r.complete
}

func (r *fakeReplicas) Orphaned() []string { return nil }

func (r *fakeReplicas) Settle(_ context.Context, _ string, b ledger.ReplicatedBill) (bool, error) {
	r.settled = append(r.settled, b.Sequence)
	return !slices.Contains(r.lost, b.Sequence), nil
}

var bill = ledger.Bill{Account: "desk", Model: "brief", Version: "v1", PromptTokens: 2, CompletionTokens: 3, Cost: 4}

// TestArchive archives closed journals after a day, with responses lost after the
// write at different points. The total must not change, and the journals must be
// deleted.
func TestArchive(t *testing.T) {
	for lose := range 4 {
		synctest.Test(t, func(t *testing.T) {
			p, r := newFakePlatform(), &fakeReplicas{complete: true}
			timers := timer.New()
			defer timers.Close()
			closer := ledger.NewCloser(p, r, func(string) bool { return true }, func() bool { return true }, timers)
			commitBills(newJournal(p, r), r, 5)
			must.NoError(t, closer.Close(t.Context(), "n#1"))
			must.NoError(t, closer.Close(t.Context(), "n#2"))
			ctx, cancel := context.WithCancel(t.Context())
			p.loseResponses = lose
			go closer.Run(ctx)
			for range 30 {
				time.Sleep(time.Hour)
				must.Eq(t, 10, p.total(t))
			}
			must.MapLen(t, 1, p.data)
			cancel()
			synctest.Wait()
		})
	}
}

func newJournal(p *fakePlatform, r *fakeReplicas) *ledger.Journal {
	return ledger.New("n#1", p, r, timer.New(), func() time.Duration { return time.Hour })
}

// commitBills commits n bills and adds each to the replicas.
func commitBills(j *ledger.Journal, r *fakeReplicas, n int) {
	for range n {
		sequence := j.Begin(bill)
		j.Commit(sequence)
		r.bills = append(r.bills, ledger.ReplicatedBill{Sequence: sequence, Bill: bill})
	}
}

// TestFold folds during each kind of platform fault. Every bill must count once.
func TestFold(t *testing.T) {
	tests := []struct {
		name  string
		fault func(p *fakePlatform)
		// durable is the durable sequence after a fold during the fault.
		durable int64
	}{
		{"platform available", func(*fakePlatform) {}, 5},
		{"a response lost after the write", func(p *fakePlatform) { p.loseResponses = 1 }, 5},
		{"all responses lost for a while", func(p *fakePlatform) { p.loseResponses = 5 }, 5},
		{"platform down, checkpoint at peers", func(p *fakePlatform) { p.down = true }, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, r := newFakePlatform(), &fakeReplicas{}
			j := newJournal(p, r)
			commitBills(j, r, 5)
			tt.fault(p)
			_ = j.Fold(t.Context())
			must.Eq(t, tt.durable, j.DurableSequence())
			p.down, p.loseResponses = false, 0
			must.NoError(t, j.Fold(t.Context()))
			must.Eq(t, 5, p.total(t), must.Sprint("folded without a new bill"))
			commitBills(j, r, 2)
			must.NoError(t, j.Fold(t.Context()))
			must.Eq(t, 7, p.total(t))
		})
	}
}

// TestOpenSequence checks that bills after an undecided sequence are not folded,
// and that a skipped sequence does not hold them back.
func TestOpenSequence(t *testing.T) {
	p, r := newFakePlatform(), &fakeReplicas{}
	j := newJournal(p, r)
	first := j.Begin(bill)
	commitBills(j, r, 3)
	must.NoError(t, j.Fold(t.Context()))
	must.Eq(t, 0, p.total(t))
	must.Eq(t, 0, j.DurableSequence(), must.Sprint("bills after an undecided sequence must stay at the replicas"))
	j.Skip(first)
	must.NoError(t, j.Fold(t.Context()))
	must.Eq(t, 3, p.total(t))
}

// TestClose closes a removed node's journal with the bills that replicas hold.
func TestClose(t *testing.T) {
	tests := []struct {
		name  string
		setup func(p *fakePlatform, r *fakeReplicas, j *ledger.Journal)
		want  int64
		// settled are the sequences whose claims the closer settles.
		settled []int64
	}{
		{"never folded", func(*fakePlatform, *fakeReplicas, *ledger.Journal) {}, 5, []int64{1, 2, 3, 4, 5}},
		{"partly folded", func(p *fakePlatform, r *fakeReplicas, j *ledger.Journal) {
			_ = j.Fold(context.Background())
			commitBills(j, r, 3)
		}, 8, []int64{6, 7, 8}},
		{"folded, replicas not informed yet", func(_ *fakePlatform, _ *fakeReplicas, j *ledger.Journal) {
			_ = j.Fold(context.Background())
		}, 5, nil},
		{"checkpoint at peers during an outage", func(p *fakePlatform, r *fakeReplicas, j *ledger.Journal) {
			p.down = true
			_ = j.Fold(context.Background())
			p.down = false
			commitBills(j, r, 3)
			r.bills = r.bills[5:]
		}, 8, []int64{6, 7, 8}},
		{"a bill that another claim has won", func(_ *fakePlatform, r *fakeReplicas, _ *ledger.Journal) {
			r.lost = []int64{5}
		}, 4, []int64{1, 2, 3, 4, 5}},
		{"the response lost after the write", func(p *fakePlatform, _ *fakeReplicas, _ *ledger.Journal) { p.loseResponses = 1 }, 5, []int64{1, 2, 3, 4, 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, r := newFakePlatform(), &fakeReplicas{complete: true}
			j := newJournal(p, r)
			commitBills(j, r, 5)
			tt.setup(p, r, j)
			closer := ledger.NewCloser(p, r, func(string) bool { return false }, func() bool { return true }, timer.New())
			must.NoError(t, closer.Close(t.Context(), "n#1"))
			must.Eq(t, tt.want, p.total(t))
			must.Eq(t, tt.settled, r.settled)
			must.NoError(t, closer.Close(t.Context(), "n#1"))
			must.Eq(t, tt.want, p.total(t), must.Sprint("closing twice must add nothing"))
		})
	}
}

// TestPausedOwner closes a journal whose owner was only paused. The bills that the
// closer did not find must go into a new journal, and none may count twice.
func TestPausedOwner(t *testing.T) {
	p, r := newFakePlatform(), &fakeReplicas{complete: true}
	j := newJournal(p, r)
	commitBills(j, r, 5)
	closer := ledger.NewCloser(p, r, func(string) bool { return false }, func() bool { return true }, timer.New())
	must.NoError(t, closer.Close(t.Context(), "n#1"))
	commitBills(j, r, 2)
	must.Error(t, j.Fold(t.Context()))
	must.NoError(t, j.Fold(t.Context()))
	must.Eq(t, "n#1+", j.Name())
	must.Eq(t, 7, p.total(t))
}

// TestPausedOwnerOpenBills closes a journal whose owner was paused with an
// undecided bill under a new totals key, and a committed bill after it that its
// totals do not contain yet. The closer counts both. Neither may count twice once
// the owner resumes, nor be missing if it ends before the bill is decided.
func TestPausedOwnerOpenBills(t *testing.T) {
	for _, ending := range []string{"committed", "skipped", "never decided"} {
		t.Run(ending, func(t *testing.T) {
			p, r := newFakePlatform(), &fakeReplicas{complete: true}
			j := newJournal(p, r)
			commitBills(j, r, 2)
			other := bill
			other.Version = "v2"
			open := j.Begin(other)
			commitBills(j, r, 1)
			r.bills = append(r.bills, ledger.ReplicatedBill{Sequence: open, Bill: other})
			closer := ledger.NewCloser(p, r, func(string) bool { return false }, func() bool { return true }, timer.New())
			must.NoError(t, closer.Close(t.Context(), "n#1"))
			must.Error(t, j.Fold(t.Context()))
			switch ending {
			case "committed":
				j.Commit(open)
			case "skipped":
				j.Skip(open)
			}
			commitBills(j, r, 2)
			must.NoError(t, j.Fold(t.Context()))
			journals, err := p.Journals(t.Context())
			must.NoError(t, err)
			total := ledger.Total(journals)
			must.Eq(t, 1, total["desk/brief@v2"].Requests)
			if ending != "never decided" {
				must.Eq(t, 5, total["desk/brief@v1"].Requests)
			} else {
				must.Eq(t, 3, total["desk/brief@v1"].Requests, must.Sprint("bills after the undecided one must wait for it"))
			}
		})
	}
}

// TestCloseWithMissingReplicas checks that a journal is not closed while replicas
// that may hold more bills do not respond.
func TestCloseWithMissingReplicas(t *testing.T) {
	p, r := newFakePlatform(), &fakeReplicas{}
	commitBills(newJournal(p, r), r, 5)
	closer := ledger.NewCloser(p, r, func(string) bool { return false }, func() bool { return true }, timer.New())
	must.NoError(t, closer.Close(t.Context(), "n#1"))
	must.MapEmpty(t, p.data)
}

// TestBillStatus checks the status of each sequence in a stored journal. A skipped
// sequence is below the folded one but must count as lost: the journal of a removed
// node that had lost a bill's claim was mistaken for proof that it had won, and the
// bill was in no journal.
func TestBillStatus(t *testing.T) {
	p, r := newFakePlatform(), &fakeReplicas{complete: true}
	j := newJournal(p, r)
	commitBills(j, r, 2)
	skipped := j.Begin(bill)
	j.Skip(skipped)
	commitBills(j, r, 1)
	must.NoError(t, j.Fold(t.Context()))
	open := j.Begin(bill)
	commitBills(j, r, 1)
	checkStatuses := func(want ...ledger.BillStatus) {
		stored, err := ledger.Read(t.Context(), p, "n#1")
		must.NoError(t, err)
		for i, status := range want {
			must.Eq(t, status, stored.BillStatus(int64(i+1)), must.Sprintf("sequence %d", i+1))
		}
	}
	must.Eq(t, 3, skipped)
	must.Eq(t, 5, open)
	checkStatuses(ledger.BillWon, ledger.BillWon, ledger.BillLost, ledger.BillWon, ledger.BillOpen, ledger.BillOpen)
	closer := ledger.NewCloser(p, r, func(string) bool { return false }, func() bool { return true }, timer.New())
	must.NoError(t, closer.Close(t.Context(), "n#1"))
	checkStatuses(ledger.BillWon, ledger.BillWon, ledger.BillLost, ledger.BillWon, ledger.BillLost, ledger.BillWon)
}
