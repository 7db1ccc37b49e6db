package node

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/violettally/violettally/adapter/callers"
	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/adapter/vmlist"
	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/control"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/limit"
	"github.com/violettally/violettally/member"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/settings"
	"github.com/violettally/violettally/spread"
	"github.com/violettally/violettally/view"
)

// seeds adds to the members that answer the addresses of the VM list.
type seeds struct {
	*member.Prober
	vms *vmlist.List
}

// Seeds returns peer addresses to ask before there is a view.
func (s seeds) Seeds() []string { return s.vms.Peers() }

func (n *Node) fillHeartbeat(h *member.Heartbeat) {
	h.Revisions = n.spreader.Revisions()
	h.Journal, h.Folded = n.journal.Name(), n.journal.Safe()
}

func (n *Node) heard(h member.Heartbeat) {
	n.bills.heard(h.Journal, h.Folded)
	n.spreader.Heard(h.Peer, h.Revisions)
}

// sharers returns the nodes among which the backend servers are shared out.
func (n *Node) sharers() (epoch int64, ids []string) {
	v := n.keeper.Current()
	for _, m := range v.Members() {
		ids = append(ids, m.ID)
	}
	return v.Epoch(), ids
}

// onDuty reports whether this node is the first of its region that answers.
// What such a node does is safe when two believe to be it.
func (n *Node) onDuty() bool { return n.rank() == 0 && n.replica.Settled() }

// driverCandidates is how many nodes compete for the driver's lease.
const driverCandidates = 3

func (n *Node) mayDrive() bool {
	return n.rank() < driverCandidates && n.keeper.Current().Has(n.self.ID) && !n.prober.Leaving()
}

func (n *Node) rank() int {
	rank := 0
	for _, m := range n.prober.Alive() {
		if m.Region == n.self.Region && m.ID < n.self.ID {
			rank++
		}
	}
	return rank
}

// addresses returns the nodes for callers, those of a data hall first.
func (n *Node) addresses(dataHall string) []callers.Address {
	if dataHall == "" {
		dataHall = n.self.DataHall
	}
	list := []callers.Address{}
	for _, m := range n.keeper.Current().Members() {
		if status, _ := n.prober.Status(m.ID); status == member.StatusAlive {
			list = append(list, callers.Address{Address: m.Caller, DataHall: m.DataHall, Weight: 1})
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].DataHall == dataHall && list[j].DataHall != dataHall
	})
	return list
}

// peerNode answers other nodes.
type peerNode struct{ n *Node }

func (p peerNode) Probe(h member.Heartbeat) member.Heartbeat { return p.n.prober.Receive(h) }

func (p peerNode) Newer(known map[string]int64) map[string]document.Item {
	return p.n.spreader.Newer(known)
}

func (p peerNode) Heard(address string, revisions map[string]int64) {
	p.n.spreader.Heard(address, revisions)
}

func (p peerNode) Grant(ask limit.Ask) limit.Grant { return p.n.grantor.Grant(ask) }

func (p peerNode) Counts() (string, rollout.Counts) { return p.n.self.ID, p.n.picker.Counts() }

func (p peerNode) Recall(journal string) peer.RecallReply { return p.n.bills.recallLocal(journal) }

func (p peerNode) KeepCheckpoint(a ledger.Account) { p.n.bills.keep(a) }

func (p peerNode) FindAnswer(attempt string) (*answer.Exchange, bool) {
	return p.n.answers.Find(attempt)
}

func (p peerNode) CancelAnswer(attempt string) bool { return p.n.dispatch.CancelAttempt(attempt) }

func (p peerNode) Explain(id string) (decision.Summary, bool) { return p.n.records.Find(id) }

// holders reaches the nodes that hold claims.
type holders struct{ n *Node }

func (h holders) Attach(ctx context.Context, holder claim.Holder, attempt string) (*answer.Exchange, bool, bool, error) {
	return h.n.client.Attach(ctx, holder, attempt)
}

func (h holders) Cancel(ctx context.Context, holder claim.Holder, attempt string) (bool, error) {
	return h.n.client.Cancel(ctx, holder, attempt)
}

func (h holders) Answers(id string) bool { return h.n.prober.Answers(id) }

func (h holders) Gone(id string) bool {
	status, _ := h.n.prober.Status(id)
	return status == member.StatusFaulty
}

// grantors finds the node that leases out shares of an account's limit.
type grantors struct{ n *Node }

func (g grantors) Members() int { return len(g.n.keeper.Current().Members()) }

func (g grantors) Ask(ctx context.Context, ask limit.Ask) (limit.Grant, error) {
	v := g.n.keeper.Current()
	owner, ok := g.n.limitOwner(v, ask.Account)
	if !ok {
		return limit.Grant{Refused: true}, nil
	}
	ask.Epoch, ask.Node = v.Epoch(), g.n.self.ID
	return g.n.client.AskLimit(ctx, owner, ask)
}

func (n *Node) limitOwner(v *view.View, account string) (view.Member, bool) {
	region := config.DefaultRegion
	if a := n.Config().Account(account); a != nil {
		region = a.HomeRegion()
	}
	return v.Owner(region, "limit/"+account, nil)
}

func (n *Node) ownsLimit(account string) bool {
	owner, ok := n.limitOwner(n.keeper.Current(), account)
	return ok && owner.ID == n.self.ID
}

func (n *Node) limitOf(account string) float64 {
	if a := n.Config().Account(account); a != nil {
		return a.Limits.RequestsPerSecond
	}
	return 0
}

// collector asks all nodes for their counts of answers.
type collector struct{ n *Node }

func (c collector) Collect(ctx context.Context) map[string]rollout.Counts {
	var mu sync.Mutex
	all := make(map[string]rollout.Counts)
	c.n.eachMember(ctx, func(ctx context.Context, m view.Member) {
		name, counts, err := c.n.client.Counts(ctx, m)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		all[name] = counts
	})
	return all
}

// memberTimeout bounds a call that goes to every member.
const memberTimeout = time.Second

// eachMember calls ask for each member that answers, this node included, all
// at once.
func (n *Node) eachMember(ctx context.Context, ask func(context.Context, view.Member)) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range append(n.prober.Alive(), n.self) {
		calls.Go(func() { ask(ctx, m) })
	}
	calls.Wait()
}

// shareOf returns the part of a model's new sessions that a version gets.
func (n *Node) shareOf(m *config.Model, version string) float64 {
	progress, known := n.picker.Progress(m.Name)
	candidate := 0.0
	if known && m.Rollout != nil && progress.Version == m.Rollout.Version && progress.Verdict != rollout.VerdictStopped {
		candidate = m.Rollout.Stages[min(progress.Stage, len(m.Rollout.Stages)-1)].Share
	}
	switch v := m.InService(); {
	case m.Rollout != nil && version == m.Rollout.Version:
		return candidate
	case v != nil && v.Name == version:
		return 1 - candidate
	default:
		return 0
	}
}

func decodeConfig(item document.Item) (*config.Snapshot, error) {
	stored, err := control.Decode(item.Data)
	if err != nil {
		return nil, err
	}
	snapshot, faults := config.NewSnapshot(stored)
	if len(faults) > 0 {
		return nil, errs.New(control.Malformed, "decode", "%s", faults[0].String())
	}
	return snapshot, nil
}

const orphanInterval = 2 * time.Second

// adoptOrphans takes over patient work whose node is gone. Of the replicas
// that remember it, the first that answers does; if two believe to be it, the
// claim of the next attempt decides.
func (n *Node) adoptOrphans(ctx context.Context) {
	ticks := n.timers.Subscribe(orphanInterval)
	defer ticks.Stop()
	adopted := make(map[string]time.Time)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		now := n.timers.Now()
		for token, until := range adopted {
			if now.After(until) {
				delete(adopted, token)
			}
		}
		for _, e := range n.replica.Orphans(func(id string) bool { return !(holders{n}).Gone(id) }) {
			if _, seen := adopted[e.Token]; !seen && n.firstReplica(e.Key) {
				adopted[e.Token] = e.Expires
				n.dispatch.TakeOver(ctx, e)
			}
		}
	}
}

func (n *Node) firstReplica(key claim.Key) bool {
	for _, m := range n.keeper.Current().Replicas(key.Region, key.String()) {
		if m.ID == n.self.ID {
			return true
		}
		if n.prober.Answers(m.ID) {
			return false
		}
	}
	return false
}

// operatorNode answers operators.
type operatorNode struct{ n *Node }

func (o operatorNode) Ready() string {
	n := o.n
	switch {
	case n.prober.Leaving():
		return "leaving"
	case n.Config().Revision() == 0:
		return "no configuration is in force"
	case !n.keeper.Current().Has(n.self.ID):
		return "not in the view"
	case !n.replica.Settled():
		return "claims are being taken over"
	case !n.spreader.Current():
		return "cut off from the platform and most of the view"
	}
	return ""
}

func (o operatorNode) Config() *config.Snapshot { return o.n.Config() }

func (o operatorNode) Apply(ctx context.Context, c control.Change) (control.Result, error) {
	return control.Apply(ctx, o.n.spreader, spread.Config, c, o.n.timers.Now())
}

// Explain looks for a decision record here, then at the request's holder, and
// for an unknown account at every node.
func (o operatorNode) Explain(ctx context.Context, account, id string) (decision.Summary, bool) {
	n := o.n
	if summary, ok := n.records.Find(id); ok {
		return summary, true
	}
	if a := n.Config().Account(account); a != nil {
		if h, refusal := n.dispatch.Holder(ctx, a, id); refusal == nil {
			if summary, err := n.client.Explain(ctx, h, id); err == nil && summary.RequestID != "" {
				return summary, true
			}
		}
	}
	var mu sync.Mutex
	var found decision.Summary
	n.eachMember(ctx, func(ctx context.Context, m view.Member) {
		summary, err := n.client.Explain(ctx, claim.Holder{ID: m.ID, Peer: m.Peer}, id)
		if err != nil || summary.RequestID == "" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		found = summary
	})
	return found, found.RequestID != ""
}

func (o operatorNode) View() *view.View { return o.n.keeper.Current() }

func (o operatorNode) Status(id string) string {
	status, _ := o.n.prober.Status(id)
	return status.String()
}

func (o operatorNode) Rollouts() map[string]rollout.Progress {
	progress := make(map[string]rollout.Progress)
	for _, m := range o.n.Config().Models() {
		if p, ok := o.n.picker.Progress(m.Name); ok {
			progress[m.Name] = p
		}
	}
	return progress
}

func (o operatorNode) Journals(ctx context.Context) ([]ledger.Account, error) {
	return o.n.store.Journals(ctx)
}

func (o operatorNode) NewID() string { return newID() }

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
