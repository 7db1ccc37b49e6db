package node

import (
	"context"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/violettally/violettally/adapter/callers"
	"github.com/violettally/violettally/adapter/vmlist"
	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/billing"
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
	"github.com/violettally/violettally/view"
)

// seededMembers adds the peer addresses of the VM list to the reachable members.
type seededMembers struct {
	*member.Prober
	vms *vmlist.List
}

// Seeds returns peer addresses to use before a view is known.
func (s seededMembers) Seeds() []string { return s.vms.PeerAddresses() }

func (n *Node) fillHeartbeat(h *member.Heartbeat) {
	h.Revisions = n.replicator.Revisions()
	h.Journal, h.DurableSequence = n.journal.Name(), n.journal.DurableSequence()
}

func (n *Node) observeHeartbeat(h member.Heartbeat) {
	n.billTracker.RecordHeartbeat(h.Journal, h.DurableSequence)
	n.replicator.HandleRevisions(h.Peer, h.Revisions)
}

// viewNodes returns the members of the view, over which the backend servers are
// distributed, and its epoch.
func (n *Node) viewNodes() (epoch int64, ids []string) {
	v := n.viewManager.Current()
	for _, m := range v.Members() {
		ids = append(ids, m.ID)
	}
	return v.Epoch(), ids
}

// isFirstInRegion reports whether this node is the first reachable node of its
// region and its claim replica is synced. Nodes may disagree about which of them are
// reachable, so two may both be first, and the tasks of that node must be safe to run
// twice.
func (n *Node) isFirstInRegion() bool { return n.prober.RegionRank() == 0 && n.replica.Synced() }

// driverCandidates is how many nodes of a region compete for the driver's lease.
const driverCandidates = 3

func (n *Node) isDriverCandidate() bool {
	return n.prober.RegionRank() < driverCandidates && n.viewManager.Current().Has(n.self.ID) && !n.prober.Leaving()
}

// addresses returns the client addresses of the available nodes, those in the
// given data hall first, or in this node's if it is empty.
func (n *Node) addresses(dataHall string) []callers.Address {
	if dataHall == "" {
		dataHall = n.self.DataHall
	}
	list := []callers.Address{}
	for _, m := range n.viewManager.Current().Members() {
		if status, _ := n.prober.Status(m.ID); status == member.StatusAlive {
			list = append(list, callers.Address{Address: m.Caller, DataHall: m.DataHall, Weight: 1})
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].DataHall == dataHall && list[j].DataHall != dataHall
	})
	return list
}

// peerNode implements peer.Node.
type peerNode struct{ n *Node }

func (p peerNode) Probe(h member.Heartbeat) member.Heartbeat { return p.n.prober.Receive(h) }

func (p peerNode) NewerDocuments(known map[string]int64) map[string]document.Item {
	return p.n.replicator.Newer(known)
}

func (p peerNode) RecordRevisions(address string, revisions map[string]int64) {
	p.n.replicator.HandleRevisions(address, revisions)
}

func (p peerNode) Grant(r limit.LeaseRequest) limit.Grant { return p.n.grantor.Grant(r) }

func (p peerNode) Counts() (string, rollout.Counts) { return p.n.self.ID, p.n.picker.Counts() }

func (p peerNode) JournalRecords(journal string) billing.JournalRecords {
	return p.n.billTracker.LocalRecords(journal)
}

func (p peerNode) StoreCheckpoint(s ledger.Snapshot) { p.n.billTracker.StoreCheckpoint(s) }

func (p peerNode) FindResponse(attempt string) (*answer.Response, bool) {
	return p.n.responses.Find(attempt)
}

func (p peerNode) CancelAttempt(attempt string) bool { return p.n.dispatch.CancelAttempt(attempt) }

func (p peerNode) Explain(id string) (decision.Summary, bool) { return p.n.decisions.Find(id) }

// holders implements dispatch.Holders.
type holders struct{ n *Node }

func (h holders) Attach(ctx context.Context, holder claim.Holder, attempt string) (*answer.Response, bool, bool, error) {
	return h.n.client.Attach(ctx, holder, attempt)
}

func (h holders) Cancel(ctx context.Context, holder claim.Holder, attempt string) (bool, error) {
	return h.n.client.Cancel(ctx, holder, attempt)
}

func (h holders) Responsive(id string) bool { return h.n.prober.Responsive(id) }

func (h holders) Faulty(id string) bool {
	status, _ := h.n.prober.Status(id)
	return status == member.StatusFaulty
}

// grantorClient implements limit.GrantorClient.
type grantorClient struct{ n *Node }

func (g grantorClient) Members() int { return len(g.n.viewManager.Current().Members()) }

func (g grantorClient) RequestLease(ctx context.Context, request limit.LeaseRequest) (limit.Grant, error) {
	v := g.n.viewManager.Current()
	owner, ok := g.n.accountLimitOwner(v, request.Account)
	if !ok {
		return limit.Grant{Refused: true}, nil
	}
	request.Epoch, request.Node = v.Epoch(), g.n.self.ID
	return g.n.client.RequestLimitLease(ctx, owner, request)
}

func (n *Node) accountLimitOwner(v *view.View, account string) (view.Member, bool) {
	return v.Owner(n.accountRegion(account), "limit/"+account, nil)
}

// viewMembers implements billing.Members.
type viewMembers struct {
	*view.Manager
	*member.Prober
}

// accountRegion returns the home region of a client account; the default region
// if the current configuration has no such account.
func (n *Node) accountRegion(account string) string {
	if a := n.Config().Account(account); a != nil {
		return a.HomeRegion()
	}
	return config.DefaultRegion
}

func (n *Node) ownsAccountLimit(account string) bool {
	owner, ok := n.accountLimitOwner(n.viewManager.Current(), account)
	return ok && owner.ID == n.self.ID
}

func (n *Node) accountLimit(account string) float64 {
	if a := n.Config().Account(account); a != nil {
		return a.Limits.RequestsPerSecond
	}
	return 0
}

// collector implements rollout.Collector.
type collector struct{ n *Node }

func (c collector) Collect(ctx context.Context) map[string]rollout.Counts {
	var mu sync.Mutex
	all := make(map[string]rollout.Counts)
	c.n.forEachMember(ctx, func(ctx context.Context, m view.Member) {
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

// memberTimeout limits a call that goes to every member.
const memberTimeout = time.Second

// forEachMember runs call concurrently for each reachable member, including this
// node, and waits for all calls.
func (n *Node) forEachMember(ctx context.Context, call func(context.Context, view.Member)) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range append(n.prober.Alive(), n.self) {
		calls.Go(func() { call(ctx, m) })
	}
	calls.Wait()
}

// versionShare returns the share of a model's new sessions that a version gets.
func (n *Node) versionShare(m *config.Model, version string) float64 {
	progress, known := n.picker.Progress(m.Name)
	candidate := 0.0
	if known && m.Rollout != nil && progress.Concerns(m.Rollout) && progress.Verdict != rollout.VerdictStopped {
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

const orphanScanInterval = 2 * time.Second

// takeOverOrphans takes over asynchronous requests whose node has failed. The first
// reachable replica of the request's claim does so. If replicas disagree about which one
// that is, two may do so, and only the one whose attempt gets the claim runs the request.
func (n *Node) takeOverOrphans(ctx context.Context) {
	takenOver := make(map[string]time.Time)
	n.timers.Every(ctx, orphanScanInterval, func() {
		now := n.timers.Now()
		maps.DeleteFunc(takenOver, func(_ string, until time.Time) bool { return now.After(until) })
		for _, e := range n.replica.Orphans(func(id string) bool { return !(holders{n}).Faulty(id) }) {
			if _, seen := takenOver[e.Token]; !seen && n.isFirstLiveReplica(e.Key) {
				takenOver[e.Token] = e.Expires
				n.dispatch.TakeOver(ctx, e)
			}
		}
	})
}

func (n *Node) isFirstLiveReplica(key claim.Key) bool {
	for _, m := range n.viewManager.Current().Replicas(key.Region, key.String()) {
		if m.ID == n.self.ID {
			return true
		}
		if n.prober.Responsive(m.ID) {
			return false
		}
	}
	return false
}
