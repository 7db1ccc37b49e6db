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

// What happens when the view changes:
//
// A replica that has seen epoch e refuses claims of every other epoch. For a
// key whose replicas changed, it grants no claim until it has read two of the
// three replicas of the previous epoch, itself included, or as many as are not
// dead. Two of three reads overlap two of three votes, so it sees every claim
// that has been won. Each node that replies to a read has itself seen epoch e,
// so it grants no vote of an earlier epoch afterwards.
//
// A node that was read may have missed epochs, or may still be taking over
// ranges. It lists the epochs at which it held all won claims of its ranges
// ("synced"). One node among those read that was synced at an epoch is enough
// for everything before that epoch, since it has read the replicas before it.
// Without one, the replicas of the epoch before that are read as well. The
// view carries its history for this.
//
// If two of three replicas died at once, claims may be lost. The replica keeps
// a [LossRecord] of the time, and its replies for the keys affected carry it as
// LostBefore. For an older request ID, the outcome is then unknown: its claim may
// have been among those lost.

const (
	// pageSize is the number of entries in one page of a transfer.
	pageSize = 256
	// lossRetention is at least the longest lifetime of a claim.
	lossRetention = 24 * time.Hour
	// transferTimeout bounds the transfer of one page.
	transferTimeout = 2 * time.Second
)

// LossRecord says that claims made before At may be lost if two of the replicas
// of a key, or all of them, were among the missing members of a view.
type LossRecord struct {
	At      time.Time `cbor:"1,keyasint"`
	View    []byte    `cbor:"2,keyasint"`
	Missing []string  `cbor:"3,keyasint"`

	decoded *view.View
}

// mayAffect reports whether claims of a key may be lost.
func (l *LossRecord) mayAffect(region, key string) bool {
	if l.decoded == nil {
		l.decoded, _ = view.Decode(l.View)
	}
	if l.decoded == nil {
		return true
	}
	replicas := l.decoded.Replicas(region, key)
	missing := 0
	for _, m := range replicas {
		for _, id := range l.Missing {
			if id == m.ID {
				missing++
			}
		}
	}
	return missing > 0 && len(replicas)-missing < readQuorum(len(replicas))
}

func unexpiredLosses(losses []LossRecord, now time.Time) []LossRecord {
	kept := losses[:0]
	for _, l := range losses {
		if now.Sub(l.At) < lossRetention {
			kept = append(kept, l)
		}
	}
	return kept
}

// maxSyncedEpochs bounds how many epochs a replica lists as synced.
const maxSyncedEpochs = 64

// SetView starts taking over key ranges for a new epoch. A member that was
// removed keeps its claims for the members that take them over. If it joins
// again, it drops them: other members have voted since, so its claims may be out
// of date.
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
	epochs := append(slices.Clone(r.coverage.syncedEpochs), t.current.Epoch())
	r.coverage.syncedEpochs = epochs[max(0, len(epochs)-maxSyncedEpochs):]
}

// Synced reports whether this replica has taken over all its ranges.
func (r *Replica) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.transfer.synced
}

// lostBefore returns the time before which claims for a key may have been lost,
// or zero.
func (r *Replica) lostBefore(region, key string) time.Time {
	var latest time.Time
	for i := range r.losses {
		if r.losses[i].At.After(latest) && r.losses[i].mayAffect(region, key) {
			latest = r.losses[i].At
		}
	}
	return latest
}

// Transfer returns one page of the entries that the requester takes over.
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

// outgoing returns the sorted keys that each other member is a replica of in
// the current epoch. It is called once per epoch: entries granted later need no
// transfer.
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

// pull reads the earlier replicas in parallel and finishes the transfer if enough
// of them replied. The others are tried again at the next tick.
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

// unread returns the members of earlier epochs that were not read yet.
func (r *Replica) unread(t *transfer) []view.Member {
	var unread []view.Member
	seen := make(map[string]bool)
	for _, v := range t.earlier {
		for _, m := range v.Members() {
			_, wasRead := t.read[m.ID]
			if !wasRead && !seen[m.ID] {
				seen[m.ID] = true
				unread = append(unread, m)
			}
		}
	}
	return unread
}

// readFrom reads all pages of one member. If a page fails, nothing is merged.
func (r *Replica) readFrom(ctx context.Context, t *transfer, m view.Member) {
	in := TransferRequest{Epoch: t.current.Epoch(), Requester: r.self, Source: m.ID}
	var entries []Entry
	var losses []LossRecord
	for {
		pageCtx, cancel := context.WithTimeout(ctx, transferTimeout)
		reply, err := r.peers.Transfer(pageCtx, m, in)
		cancel()
		if err != nil || !reply.Ready {
			return
		}
		entries = append(entries, reply.Entries...)
		losses = append(losses, reply.Losses...)
		if reply.Next == "" {
			r.merge(t, m.ID, coverage{syncedEpochs: reply.SyncedEpochs, firstEpoch: reply.FirstEpoch}, entries, losses)
			return
		}
		in.After = reply.Next
	}
}

// merge adds the entries and losses of one member. A claim seen at one replica
// may have won, so claims of two attempts leave the key in StateUnknown.
func (r *Replica) merge(t *transfer, from string, got coverage, entries []Entry, losses []LossRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transfer != t {
		return
	}
	for _, e := range entries {
		r.mergeEntry(e)
	}
	for _, l := range losses {
		r.addLoss(l)
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
		e.MayHaveRun = true
		r.put(key, e)
	case e.State == StateFailed:
		held.MayHaveRun = true
	case sameAttempt(held, &e):
		// The claimer has given up the earlier round. If the two rounds were
		// treated as rivals, nobody could win the key, not even their claimer.
		if Supersedes(e.Token, held.Token) {
			e.MayHaveRun = e.MayHaveRun || held.MayHaveRun
			r.put(key, e)
		}
	case e.Key.Kind == KindBill:
		r.put(key, mergeBillClaims(append(held.bills(), e.bills()...)))
	default:
		held.State = StateUnknown
	}
}

// sameAttempt reports whether two claims are rounds of one attempt and neither is
// in StateUnknown.
func sameAttempt(a, b *Entry) bool {
	return AttemptOf(a.Token) == AttemptOf(b.Token) && a.State != StateUnknown && b.State != StateUnknown
}

func (r *Replica) addLoss(l LossRecord) {
	for _, known := range r.losses {
		if known.At.Equal(l.At) {
			return
		}
	}
	r.losses = append(r.losses, l)
}

// finishTransfer ends the transfer if every key is ready.
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
	slog.Info("claims synced", "epoch", t.current.Epoch(), "read", len(t.read), "losses", len(losses))
}

// recordLoss records which members ended before they were read. Whether a key is
// affected is determined when it is claimed.
func (r *Replica) recordLoss(l lostMembers) {
	encoded, err := l.view.Encode()
	if err != nil {
		slog.Error("cannot record the possible loss of claims", "error", err)
		return
	}
	r.addLoss(LossRecord{At: r.timers.Now(), View: encoded, Missing: l.members})
}
