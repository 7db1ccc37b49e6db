package node

import (
	"context"
	"sync"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/control"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/docsync"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/view"
)

// operatorNode implements operators.Node.
type operatorNode struct{ n *Node }

func (o operatorNode) NotReadyReason() string {
	n := o.n
	switch {
	case n.prober.Leaving():
		return "leaving"
	case n.Config().Revision() == 0:
		return "no configuration is in force"
	case !n.viewManager.Current().Has(n.self.ID):
		return "not in the view"
	case !n.replica.Synced():
		return "claims are being taken over"
	case !n.replicator.ReceivesUpdates():
		return "cut off from the platform and most of the view"
	}
	return ""
}

func (o operatorNode) Config() *config.Snapshot { return o.n.Config() }

func (o operatorNode) Apply(ctx context.Context, c control.Change) (control.Result, error) {
	return control.Apply(ctx, o.n.replicator, docsync.Config, c, o.n.timers.Now())
}

// Explain looks up a decision record on this node, then on the request's holder if
// the account is known, and then on every node.
func (o operatorNode) Explain(ctx context.Context, account, id string) (decision.Summary, bool) {
	n := o.n
	if summary, ok := n.decisions.Find(id); ok {
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
	n.forEachMember(ctx, func(ctx context.Context, m view.Member) {
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

func (o operatorNode) View() *view.View { return o.n.viewManager.Current() }

func (o operatorNode) MemberStatus(id string) string {
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

func (o operatorNode) Journals(ctx context.Context) ([]ledger.Snapshot, error) {
	return o.n.store.Journals(ctx)
}

func (o operatorNode) NewID() string { return newID() }
