package claim

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

const (
	sweepInterval = time.Second
	// pullInterval is how soon a read of an earlier replica is tried again.
	pullInterval = 100 * time.Millisecond
	// releasedTTL is how long a released token is kept, so that its claim is
	// not granted when it arrives late. It is longer than every timeout of a
	// claim message.
	releasedTTL = time.Minute
	// entryOverhead estimates the bytes of an entry besides its payload.
	entryOverhead = 512
)

// ReplicaOption configures a Replica in NewReplica.
type ReplicaOption func(*Replica)

// WithMemoryLimit bounds the bytes that a replica's entries take, estimated.
func WithMemoryLimit(bytes int64) ReplicaOption { return func(r *Replica) { r.maxBytes = bytes } }

// WithDiscardCheck sets the function that reports whether a bill, given by its
// holder and sequence, may be discarded. Other bills are kept past their expiry.
func WithDiscardCheck(canDiscard func(holder string, sequence int64) bool) ReplicaOption {
	return func(r *Replica) { r.canDiscard = canDiscard }
}

const defaultMemoryLimit = 48 << 20

// Replica is one node's bounded, in-memory table of the claims that it replicates.
type Replica struct {
	self       string
	views      ViewSource
	peers      Transport
	timers     *timer.Service
	maxBytes   int64
	canDiscard func(holder string, sequence int64) bool

	mu       sync.Mutex
	entries  map[string]*Entry
	bytes    int64
	released map[string]time.Time
	transfer *transfer
	// coverage says for which epochs this replica's table is complete.
	coverage coverage
	// wasMember is set once this replica was a member of a view.
	wasMember bool
	losses    []LossRecord
}

// NewReplica returns an empty replica of the member with the ID self.
func NewReplica(self string, views ViewSource, peers Transport, timers *timer.Service, options ...ReplicaOption) *Replica {
	r := &Replica{
		self:       self,
		views:      views,
		peers:      peers,
		timers:     timers,
		maxBytes:   defaultMemoryLimit,
		canDiscard: func(string, int64) bool { return true },
		entries:    make(map[string]*Entry),
		released:   make(map[string]time.Time),
		transfer:   newTransfer(self, view.Empty(), coverage{}),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Claim grants or refuses this replica's vote.
func (r *Replica) Claim(in Request) Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.transfer.current
	reply := Reply{Epoch: current.Epoch()}
	key := in.Entry.Key.String()
	replicas := current.Replicas(in.Entry.Key.Region, key)
	switch {
	case in.Replica != r.self:
		reply.Verdict = VerdictNotMine
		return reply
	case in.Epoch != current.Epoch() || !contains(replicas, r.self):
		reply.Verdict = VerdictEpoch
		return reply
	case !r.transfer.ready(in.Entry.Key.Region, key, replicas):
		reply.Verdict = VerdictNotReady
		return reply
	}
	reply.LostBefore = r.lostBefore(in.Entry.Key.Region, key)
	held := r.unexpired(key)
	if held != nil && !replaceable(held, &in.Entry) {
		if held.Token != in.Entry.Token || held.State == StateUnknown {
			reply.Verdict, reply.Entry = VerdictTaken, clone(held)
		}
		reply.MayHaveRun = held.MayHaveRun
		return reply
	}
	if held != nil {
		in.Entry.MayHaveRun = held.MayHaveRun || held.State == StateFailed
	}
	reply.MayHaveRun = in.Entry.MayHaveRun
	if _, released := r.released[in.Entry.Token]; released {
		// The claimer has given up this attempt; the message is late.
		reply.Verdict = VerdictNotReady
		return reply
	}
	if r.exceedsMemory(&in.Entry) {
		reply.Verdict = VerdictFull
		return reply
	}
	r.put(key, in.Entry)
	return reply
}

// replaceable reports whether a new claim may replace the one held: it may if the
// work failed, or if the new claim is of a later round of the same attempt. A key in StateUnknown
// stays taken, even for the attempts that claimed it.
func replaceable(held, by *Entry) bool {
	return held.State == StateFailed || held.State == by.State && Supersedes(by.Token, held.Token)
}

func (r *Replica) exceedsMemory(e *Entry) bool {
	limit := r.maxBytes
	if e.BestEffort {
		limit /= 2
	}
	return r.bytes+entrySize(e) > limit
}

// Lookup returns the entry that holds a key, if any, and grants no vote.
func (r *Replica) Lookup(in Request) Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := in.Entry.Key.String()
	reply := Reply{
		Epoch:      r.transfer.current.Epoch(),
		LostBefore: r.lostBefore(in.Entry.Key.Region, key),
	}
	if held := r.unexpired(key); held != nil {
		reply.Verdict, reply.Entry = VerdictTaken, clone(held)
		return reply
	}
	replicas := r.transfer.current.Replicas(in.Entry.Key.Region, key)
	if !contains(replicas, r.self) || !r.transfer.ready(in.Entry.Key.Region, key, replicas) {
		reply.Verdict = VerdictNotReady
	}
	return reply
}

// Advance moves a claim that this replica has granted or taken over to a later
// state, or extends its expiry. A claim never returns to an earlier state.
func (r *Replica) Advance(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.unexpired(e.Key.String())
	if held == nil || held.Token != e.Token || held.State > e.State {
		return
	}
	if e.Expires.After(held.Expires) {
		held.Expires = e.Expires
	}
	if held.State == e.State {
		return
	}
	r.bytes -= entrySize(held)
	held.State, held.Response = e.State, e.Response
	if e.State == StateDone {
		// The request is no longer needed for a takeover.
		held.Value = nil
	}
	r.bytes += entrySize(held)
}

// Release removes the claim of one attempt and refuses it if it arrives late,
// unless its work has come further than upTo.
func (r *Replica) Release(key Key, token string, upTo State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := key.String()
	held := r.entries[name]
	if held != nil && held.Rival != nil {
		r.releaseRival(name, held, token)
		return
	}
	matches := held != nil && held.Token == token
	if matches && held.State > upTo {
		return
	}
	r.released[token] = r.timers.Now().Add(releasedTTL)
	if matches {
		r.drop(name)
	}
}

// releaseRival removes one of the two claims of a bill, so that the other one
// holds it.
func (r *Replica) releaseRival(name string, held *Entry, token string) {
	r.released[token] = r.timers.Now().Add(releasedTTL)
	remaining := *held.Rival
	switch AttemptOf(token) {
	case AttemptOf(held.Token):
	case AttemptOf(held.Rival.Token):
		remaining = *held
		remaining.State, remaining.Rival = StateDone, nil
	default:
		return
	}
	r.put(name, remaining)
}

// Bills returns the bills of one holder after a sequence number, in order.
func (r *Replica) Bills(holder string, after int64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var bills []Entry
	for _, e := range r.entries {
		for _, b := range e.bills() {
			if b.Holder.ID == holder && b.Sequence > after {
				bills = append(bills, *clone(b))
			}
		}
	}
	sort.Slice(bills, func(i, j int) bool { return bills[i].Sequence < bills[j].Sequence })
	return bills
}

// BillHolders returns the holders of the bills in this replica's table, each the
// name of a journal.
func (r *Replica) BillHolders() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders := make(map[string]bool)
	for _, e := range r.entries {
		for _, b := range e.bills() {
			holders[b.Holder.ID] = true
		}
	}
	return holders
}

// Orphans returns the claims of unfinished asynchronous work whose holder does
// not respond.
func (r *Replica) Orphans(responds func(holder string) bool) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var orphans []Entry
	now := r.timers.Now()
	for _, e := range r.entries {
		if e.Async && e.State < StateFailed && now.Before(e.Expires) && !responds(e.Holder.ID) {
			orphans = append(orphans, *clone(e))
		}
	}
	return orphans
}

// Usage returns the number of entries and the bytes that they take, estimated.
func (r *Replica) Usage() (entries int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries), r.bytes
}

// Run removes expired entries and takes over key ranges after a change of the
// view, until the context ends.
func (r *Replica) Run(ctx context.Context) {
	sweeps := r.timers.Subscribe(sweepInterval)
	defer sweeps.Stop()
	pulls := r.timers.Subscribe(pullInterval)
	defer pulls.Stop()
	for {
		changed := r.views.Changed()
		r.pull(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-pulls.C():
		case <-sweeps.C():
			r.sweep()
		}
	}
}

func (r *Replica) sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timers.Now()
	for key, e := range r.entries {
		if now.After(e.Expires) && !r.mustKeep(e) {
			r.drop(key)
		}
	}
	for token, until := range r.released {
		if now.After(until) {
			delete(r.released, token)
		}
	}
	r.losses = unexpiredLosses(r.losses, now)
}

// mustKeep reports whether an entry is of a bill that may not be discarded yet.
// Such an entry is kept past its expiry.
func (r *Replica) mustKeep(e *Entry) bool {
	return slices.ContainsFunc(e.bills(), func(b *Entry) bool { return !r.canDiscard(b.Holder.ID, b.Sequence) })
}

// unexpired returns the entry of a key, or nil if there is none or it has
// expired.
func (r *Replica) unexpired(key string) *Entry {
	e := r.entries[key]
	if e == nil || (r.timers.Now().After(e.Expires) && !r.mustKeep(e)) {
		return nil
	}
	return e
}

func (r *Replica) put(key string, e Entry) {
	if r.entries[key] != nil {
		r.drop(key)
	}
	r.entries[key] = &e
	r.bytes += entrySize(&e)
}

func (r *Replica) drop(key string) {
	r.bytes -= entrySize(r.entries[key])
	delete(r.entries, key)
}

func entrySize(e *Entry) int64 {
	bytes := int64(entryOverhead + len(e.Key.ID) + len(e.Value) + len(e.Response))
	if e.Rival != nil {
		bytes += entrySize(e.Rival)
	}
	return bytes
}

func clone(e *Entry) *Entry {
	copied := *e
	return &copied
}

func contains(members []view.Member, id string) bool {
	for _, m := range members {
		if m.ID == id {
			return true
		}
	}
	return false
}
