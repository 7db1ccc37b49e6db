package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"
)

const (
	// renewalsPerTTL is how often a gateway renews its entry within the life of its
	// lease, so that one that is lost does no harm.
	renewalsPerTTL = 3
	// entryTTL is how long a gateway's entry outlives its last renewal. Each
	// renewal is paid for; clients pass over an address that does not answer.
	entryTTL = 5 * time.Second
	// renewalRetryDelay is how long after a first renewal that failed the next one
	// follows. One without an answer has taken a second already, and the
	// connection may only have gone silent while a new one works: with half of
	// the usual pause the entry has more than a second to live then.
	renewalRetryDelay = entryTTL / renewalsPerTTL / 2
	// maxSkippedRenewals is how many renewals are left out at most after
	// several that failed. The store's return ends the pause.
	maxSkippedRenewals = 4
	// syncTimeout is how long a gateway that starts waits for the store to tell what
	// an earlier process of its VM left behind. The store answers in 4 ms; where
	// all of a deployment start at once, within half a second.
	syncTimeout = 500 * time.Millisecond
	// leaveTimeout bounds the call by which a gateway tells that it leaves. A slow
	// store takes some hundred milliseconds.
	leaveTimeout = time.Second
	// deregisterTimeout bounds its last call, since the process is about to be killed.
	deregisterTimeout = 200 * time.Millisecond
)

// entryStore is what the list needs of the platform's store.
type entryStore interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	Put(ctx context.Context, key string, data []byte, lease int64) error
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	Revoke(ctx context.Context, lease int64) error
}

// previousEntry is what an earlier process of this VM has left behind of its entry.
type previousEntry struct {
	// leaseID that it was written under; zero for none.
	leaseID int64
	// current says that the entry would be written as it stands.
	current bool
}

// awaitSync waits until the store has told what is left of an earlier process.
func (n *membership) awaitSync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	select {
	case <-n.synced:
	case <-ctx.Done():
	}
}

// run keeps this gateway's entry until the context ends. After a renewal that
// failed the next one is early; after several it leaves some out, until the store
// is known to be back.
func (n *membership) run(ctx context.Context) {
	n.awaitSync(ctx)
	failed := 0
	for {
		if err := n.renewOrRegister(ctx); err != nil {
			failed++
			slog.Debug("own entry not renewed", "failed", failed, "error", err)
		} else {
			failed = 0
		}
		pause := entryTTL / renewalsPerTTL
		switch {
		case failed == 1:
			pause = renewalRetryDelay
		case failed > 1:
			pause *= time.Duration(1 + min(failed, maxSkippedRenewals))
		}
		ticks := n.g.timers.Subscribe(pause)
		select {
		case <-ctx.Done():
		case <-ticks.C():
		case <-n.renewRequests:
		}
		ticks.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// renewOrRegister renews the entry's lease, or makes both anew; a gateway that leaves makes
// none.
func (n *membership) renewOrRegister(ctx context.Context) error {
	n.mu.Lock()
	id := n.leaseID
	n.mu.Unlock()
	if id == 0 && n.g.leaving.Load() {
		return nil
	}
	if id != 0 {
		alive, err := n.store.KeepAlive(ctx, id)
		if alive || err != nil {
			return err
		}
		slog.Warn("own entry has lapsed; writing it anew")
	}
	return n.register(ctx)
}

// register makes this gateway's entry.
func (n *membership) register(ctx context.Context) error {
	id, written, err := n.acquireLease(ctx)
	if err != nil {
		return err
	}
	if !written {
		if err := n.writeEntry(ctx, id); err != nil {
			return err
		}
	}
	n.mu.Lock()
	n.leaseID = id
	_, stands := n.entries[n.ownKey()]
	n.mu.Unlock()
	if n.g.leaving.Load() || written && !stands {
		// It may have begun to leave while this entry was being written, or the
		// earlier process's last call may have taken the entry back meanwhile.
		return n.writeEntry(ctx, id)
	}
	return nil
}

// acquireLease returns a lease for this gateway's entry, and whether the entry stands
// under it as it should. A process that was killed leaves both behind: the one
// that takes its place renews them, which costs a twentieth of making them anew.
// When all processes of a deployment are killed at once, that is most of what
// their start asks of the store.
func (n *membership) acquireLease(ctx context.Context) (id int64, written bool, err error) {
	n.mu.Lock()
	earlier := n.previous
	n.previous = previousEntry{}
	n.mu.Unlock()
	if earlier.leaseID != 0 {
		alive, err := n.store.KeepAlive(ctx, earlier.leaseID)
		if err != nil {
			return 0, false, err
		}
		if alive {
			slog.Info("entry of an earlier process taken over", "as_it_stands", earlier.current)
			return earlier.leaseID, earlier.current, nil
		}
	}
	id, err = n.store.Grant(ctx, entryTTL)
	return id, false, err
}

// writeEntry writes this gateway's entry under a lease.
func (n *membership) writeEntry(ctx context.Context, lease int64) error {
	data, err := json.Marshal(entry{Member: n.g.self, Leaving: n.g.leaving.Load()})
	if err != nil {
		return err
	}
	return n.store.Put(ctx, n.ownKey(), data, lease)
}

// announceLeaving tells the others that this gateway leaves. Where the store does not
// answer, its entry is renewed no more and lapses.
func (n *membership) announceLeaving() {
	n.mu.Lock()
	id := n.leaseID
	n.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.writeEntry(ctx, id); err != nil {
		slog.Warn("others not told that this gateway leaves; its entry lapses", "error", err)
		n.clearLease()
	}
}

// deregister takes this gateway's entry back.
func (n *membership) deregister() {
	id := n.clearLease()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := n.store.Revoke(ctx, id); err != nil {
		slog.Warn("own entry not taken back; it lapses with its lease", "error", err)
	}
}

// clearLease returns the lease of this gateway's entry, zero for none, and
// renews it no more.
func (n *membership) clearLease() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.leaseID
	n.leaseID = 0
	return id
}
