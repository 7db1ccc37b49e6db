package claim

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/violettally/violettally/view"
)

// A change of the view.
//
// A replica that has seen epoch e refuses claims of every other epoch. For a
// key whose replicas changed it grants no claim until it has read two of the
// three replicas of the epoch before, itself included, or as many as are not
// dead. Two of three reads meet two of three votes, so it sees every claim
// that has been won. Each node that answers a read has itself seen epoch e,
// so no vote of an earlier epoch can come after it.
//
// A node that was read may have missed epochs, or still be taking over. It
// lists the epochs at which it held all won claims of its ranges ("settled").
// One node among those read that had settled at an epoch is enough for
// everything before that epoch, since it has read the replicas before it;
// without one, the replicas of one epoch further back are read as well. The
// view carries the history for this.
//
// Where two of three replicas died at once, claims may be lost. The range
// gets a [LossRecord], and claims of ids older than the gap are answered with "lost"
// instead of a vote that may be wrong.

const (
	// pageSize is the number of entries in one page of a transfer.
	pageSize = 256
	// lossRetention covers the longest life of a claim.
	lossRetention = 24 * time.Hour
	// transferTimeout bounds one page.
	transferTimeout = 2 * time.Second
)

// LossRecord says that claims made before At may be lost if two of the replicas of a
// key, or all of them, were among the missing members of a view.
type LossRecord struct {
	At      time.Time `cbor:"1,keyasint"`
	View    []byte    `cbor:"2,keyasint"`
	Missing []string  `cbor:"3,keyasint"`

	decoded *view.View
}

func (g *LossRecord) mayAffect(region, key string) bool {
	if g.decoded == nil {
		g.decoded, _ = view.Decode(g.View)
	}
	if g.decoded == nil {
		return true
	}
	replicas := g.decoded.Replicas(region, key)
	missing := 0
	for _, m := range replicas {
		for _, id := range g.Missing {
			if id == m.ID {
				missing++
			}
		}
	}
	return missing > 0 && len(replicas)-missing < readQuorum(len(replicas))
}

func unexpiredLosses(gaps []LossRecord, now time.Time) []LossRecord {
	kept := gaps[:0]
	for _, g := range gaps {
		if now.Sub(g.At) < lossRetention {
			kept = append(kept, g)
		}
	}
	return kept
}

// maxSyncedEpochs bounds how many epochs a replica remembers having settled at.
const maxSyncedEpochs = 64

// SetView starts the taking over for a new epoch. A member that was removed
// keeps its claims for those who take them over. If it joins again, it forgets
// them: others have decided since, and it no longer knows which were won.
func (r *Replica) SetView(v *view.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Has(r.self) && !r.transfer.current.Has(r.self) && r.wasMember {
		clear(r.entries)
		r.bytes = 0
		r.coverage = coverage{firstEpoch: v.Epoch()}
	}
	r.wasMember = r.wasMember || v.Has(r.self)
	r.transfer = newTransfer(r.self, v, r.coverage)
	if len(r.transfer.earlier) == 0 && v.Has(r.self) {
		r.markSynced(r.transfer)
	}
}

func (r *Replica) markSynced(t *transfer) {
	t.synced = true
	settled := append(slices.Clone(r.coverage.syncedEpochs), t.current.Epoch())
	r.coverage.syncedEpochs = settled[max(0, len(settled)-maxSyncedEpochs):]
}

// Synced reports whether this replica answers for all its ranges.
func (r *Replica) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.transfer.synced
}

// lostBefore returns the time before which claims for a key may be lost.
func (r *Replica) lostBefore(region, key string) time.Time {
	var latest time.Time
	for i := range r.losses {
		if r.losses[i].At.After(latest) && r.losses[i].mayAffect(region, key) {
			latest = r.losses[i].At
		}
	}
	return latest
}

// Transfer answers an asker with the entries that it takes over.
func (r *Replica) Transfer(in TransferRequest) TransferReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.transfer
	if in.Source != r.self || t.current.Epoch() < in.Epoch {
		return TransferReply{}
	}
	if t.outgoing == nil {
		t.outgoing = r.outgoing(t)
	}
	reply := TransferReply{Ready: true, SyncedEpochs: r.coverage.syncedEpochs, FirstEpoch: r.coverage.firstEpoch}
	if in.After == "" {
		reply.Losses = append(reply.Losses, r.losses...)
	}
	for _, key := range t.outgoing[in.Requester] {
		e := r.entries[key]
		if key <= in.After || e == nil {
			continue
		}
		if len(reply.Entries) == pageSize {
			reply.Next = reply.Entries[pageSize-1].Key.String()
			break
		}
		reply.Entries = append(reply.Entries, *clone(e))
	}
	return reply
}

// outgoing sorts the keys by the members that answer for them now. It is made
// once per epoch: entries granted later need no transfer.
func (r *Replica) outgoing(t *transfer) map[string][]string {
	out := make(map[string][]string)
	for key, e := range r.entries {
		for _, m := range t.current.Replicas(e.Key.Region, key) {
			if m.ID != r.self {
				out[m.ID] = append(out[m.ID], key)
			}
		}
	}
	for _, keys := range out {
		sort.Strings(keys)
	}
	return out
}

// pull reads the earlier replicas, all at once, and settles if that was
// enough. What is missing is tried again at the next tick.
func (r *Replica) pull(ctx context.Context) {
	r.mu.Lock()
	t := r.transfer
	done := t.synced || !t.current.Has(r.self)
	unread := r.unread(t)
	r.mu.Unlock()
	if done {
		return
	}
	var reads sync.WaitGroup
	for _, m := range unread {
		reads.Go(func() { r.readFrom(ctx, t, m) })
	}
	reads.Wait()
	r.finishTransfer(t, unread)
}

func (r *Replica) unread(t *transfer) []view.Member {
	var unread []view.Member
	seen := make(map[string]bool)
	for _, v := range t.earlier {
		for _, m := range v.Members() {
			_, answered := t.read[m.ID]
			if !answered && !seen[m.ID] {
				seen[m.ID] = true
				unread = append(unread, m)
			}
		}
	}
	return unread
}

func (r *Replica) readFrom(ctx context.Context, t *transfer, m view.Member) {
	in := TransferRequest{Epoch: t.current.Epoch(), Requester: r.self, Source: m.ID}
	var entries []Entry
	var gaps []LossRecord
	for {
		pageCtx, cancel := context.WithTimeout(ctx, transferTimeout)
		reply, err := r.peers.Transfer(pageCtx, m, in)
		cancel()
		if err != nil || !reply.Ready {
			return
		}
		entries = append(entries, reply.Entries...)
		gaps = append(gaps, reply.Losses...)
		if reply.Next == "" {
			r.merge(t, m.ID, coverage{syncedEpochs: reply.SyncedEpochs, firstEpoch: reply.FirstEpoch}, entries, gaps)
			return
		}
		in.After = reply.Next
	}
}

// merge takes in what one member had. A claim seen at one replica counts as
// perhaps won; those of two attempts leave the key unknown.
func (r *Replica) merge(t *transfer, from string, got coverage, entries []Entry, gaps []LossRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transfer != t {
		return
	}
	for _, e := range entries {
		r.mergeEntry(e)
	}
	for _, g := range gaps {
		r.addLoss(g)
	}
	t.read[from] = got
}

func (r *Replica) mergeEntry(e Entry) {
	key := e.Key.String()
	held := r.entries[key]
	switch {
	case held == nil:
		r.put(key, e)
	case held.Token == e.Token:
		if e.State > held.State {
			r.put(key, e)
		}
	case held.State == StateFailed:
		e.Reached = true
		r.put(key, e)
	case e.State == StateFailed:
		held.Reached = true
	case sameAttempt(held, &e):
		// The claimer has given up the earlier round. Two rounds taken for
		// rivals leave a key that nobody can win, its claimer neither.
		if Supersedes(e.Token, held.Token) {
			e.Reached = e.Reached || held.Reached
			r.put(key, e)
		}
	case e.Key.Kind == KindBill:
		r.put(key, mergeBillClaims(append(held.bills(), e.bills()...)))
	default:
		held.State = StateUnknown
	}
}

// sameAttempt reports whether two claims are rounds of one attempt, and neither
// was ever left unknown.
func sameAttempt(a, b *Entry) bool {
	return AttemptOf(a.Token) == AttemptOf(b.Token) && a.State != StateUnknown && b.State != StateUnknown
}

func (r *Replica) addLoss(g LossRecord) {
	for _, known := range r.losses {
		if known.At.Equal(g.At) {
			return
		}
	}
	r.losses = append(r.losses, g)
}

// finishTransfer ends the taking over if every key is ready.
func (r *Replica) finishTransfer(t *transfer, unread []view.Member) {
	dead := make(map[string]bool)
	for _, m := range unread {
		dead[m.ID] = r.views.Dead(m)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transfer != t {
		return
	}
	for id, isDead := range dead {
		t.dead[id] = isDead
	}
	losses, ok := t.allReady()
	if !ok {
		return
	}
	for _, l := range losses {
		r.recordLoss(l)
	}
	r.markSynced(t)
	slog.Info("claims settled", "epoch", t.current.Epoch(), "read", len(t.read), "losses", len(losses))
}

// recordLoss remembers which members died unread. Whether a key is concerned is
// found out when it is claimed.
func (r *Replica) recordLoss(l lostMembers) {
	encoded, err := l.view.Encode()
	if err != nil {
		slog.Error("gap not kept", "error", err)
		return
	}
	r.addLoss(LossRecord{At: r.timers.Now(), View: encoded, Missing: l.members})
}
