package node

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/settings"
	"github.com/violettally/violettally/view"
)

// bills connects the ledger with the claim replicas that remember bills.
type bills struct {
	n  *Node
	mu sync.Mutex
	// safe is how far each journal's bills are kept elsewhere, heardAt when
	// its node last spoke of it.
	safe        map[string]int64
	heardAt     map[string]time.Time
	checkpoints map[string]ledger.Account
}

func newBills(n *Node) *bills {
	return &bills{
		n:           n,
		safe:        make(map[string]int64),
		heardAt:     make(map[string]time.Time),
		checkpoints: make(map[string]ledger.Account),
	}
}

func (b *bills) heard(journal string, safe int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.safe[journal] = max(b.safe[journal], safe)
	b.heardAt[journal] = b.n.timers.Now()
}

// silentLife is how long bills of a silent journal are kept; its closing
// takes seconds, in an outage of the platform as long as that lasts.
const silentLife = 6 * time.Hour

// isFolded reports whether a bill need not be remembered any longer.
func (b *bills) isFolded(journal string, sequence int64) bool {
	if journal == b.n.journal.Name() {
		return sequence <= b.n.journal.Safe()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.n.timers.Now()
	if _, known := b.heardAt[journal]; !known {
		b.heardAt[journal] = now
	}
	return sequence <= b.safe[journal] || now.Sub(b.heardAt[journal]) > silentLife
}

// sweepInterval is how often what is known of silent journals is gone through.
const sweepInterval = time.Hour

// Run forgets the journals that have been silent for long, until the context
// ends.
func (b *bills) Run(ctx context.Context) {
	b.n.timers.Every(ctx, sweepInterval, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		now := b.n.timers.Now()
		for journal, at := range b.heardAt {
			if now.Sub(at) > 2*silentLife {
				delete(b.heardAt, journal)
				delete(b.safe, journal)
				delete(b.checkpoints, journal)
			}
		}
	})
}

// isMember reports whether a journal belongs to a member of the view.
func (b *bills) isMember(journal string) bool {
	return b.n.keeper.Current().Has(strings.TrimRight(journal, "+"))
}

// Gone lists the journals of nodes that have left the view: those of which this
// node remembers bills or sums, and those that the view's history names, since
// a node remembers the bills of some keys only.
func (b *bills) Gone() []string {
	known := b.n.replica.BillHolders()
	for _, m := range b.n.keeper.Current().Removed() {
		known[m.ID] = true
	}
	b.mu.Lock()
	for journal := range b.checkpoints {
		known[journal] = true
	}
	b.mu.Unlock()
	var gone []string
	for journal := range known {
		if !b.isMember(journal) {
			gone = append(gone, journal)
		}
	}
	return gone
}

// keep takes the sums of a journal.
func (b *bills) keep(a ledger.Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heardAt[a.Journal] = b.n.timers.Now()
	if a.Sequence > b.checkpoints[a.Journal].Sequence {
		b.checkpoints[a.Journal] = a
	}
}

// Checkpoint gives the sums of this node's journal to two other nodes of
// other data halls, as the view names them for the journal.
func (b *bills) Checkpoint(ctx context.Context, a ledger.Account) bool {
	took := 0
	for _, m := range b.n.keeper.Current().Replicas(b.n.self.Region, ledger.Key(a.Journal)) {
		if m.ID != b.n.self.ID && b.n.client.Checkpoint(ctx, m, a) == nil {
			took++
		}
	}
	return took >= 2
}

func (b *bills) recallLocal(journal string) peer.RecallReply {
	b.mu.Lock()
	checkpoint := b.checkpoints[journal]
	b.mu.Unlock()
	return peer.RecallReply{Checkpoint: checkpoint, Bills: b.n.replica.Bills(journal, checkpoint.Sequence)}
}

// Recall asks all nodes what they remember of a journal. It is complete if
// the nodes that did not answer all are of one data hall, since a bill is
// remembered in two.
func (b *bills) Recall(ctx context.Context, journal string) (ledger.Account, []ledger.Remembered, bool) {
	var mu sync.Mutex
	var replies []peer.RecallReply
	answered := make(map[string]bool)
	b.n.eachMember(ctx, func(ctx context.Context, m view.Member) {
		reply, err := b.n.client.Recall(ctx, m, journal)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		answered[m.ID] = true
		replies = append(replies, reply)
	})
	checkpoint, remembered := b.merge(replies)
	return checkpoint, remembered, b.enough(answered)
}

func (b *bills) enough(answered map[string]bool) bool {
	missing := make(map[string]bool)
	for _, m := range b.n.keeper.Current().Members() {
		if !answered[m.ID] {
			missing[m.DataHall] = true
		}
	}
	return len(missing) <= 1
}

// merge counts on how many replicas each bill stands.
func (b *bills) merge(replies []peer.RecallReply) (ledger.Account, []ledger.Remembered) {
	var checkpoint ledger.Account
	votes := make(map[string]int)
	entries := make(map[string]claim.Entry)
	for _, reply := range replies {
		if reply.Checkpoint.Sequence > checkpoint.Sequence {
			checkpoint = reply.Checkpoint
		}
		for _, e := range reply.Bills {
			votes[e.Token]++
			entries[e.Token] = e
		}
	}
	var remembered []ledger.Remembered
	for token, e := range entries {
		var bill ledger.Bill
		if e.Sequence <= checkpoint.Sequence || json.Unmarshal(e.Value, &bill) != nil {
			continue
		}
		replicas := b.n.keeper.Current().Replicas(e.Key.Region, e.Key.String())
		remembered = append(remembered, ledger.Remembered{
			Sequence: e.Sequence,
			Bill:     bill,
			Won:      votes[token] > len(replicas)/2,
		})
	}
	sort.Slice(remembered, func(i, j int) bool { return remembered[i].Sequence < remembered[j].Sequence })
	return checkpoint, remembered
}

// Rebill claims a bill of which it is not known whether it was won.
func (b *bills) Rebill(ctx context.Context, bill ledger.Bill) error {
	return b.n.dispatch.Rebill(ctx, bill)
}

// foldsPerSecond is how many journals the whole fleet writes per second, a
// tenth of what the platform takes.
const foldsPerSecond = 10

// foldInterval grows with the fleet.
func (n *Node) foldInterval() time.Duration {
	members := time.Duration(len(n.keeper.Current().Members()))
	return max(settings.Millis(n.settings.Times.FoldMillis), members*time.Second/foldsPerSecond)
}
