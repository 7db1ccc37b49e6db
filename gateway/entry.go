package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"
)

const (
	// renewals is how often a gateway renews its entry within the life of its
	// lease, so that one that is lost does no harm.
	renewals = 3
	// entryLife is how long a gateway's entry outlives its last renewal. Each
	// renewal is paid for; clients pass over an address that does not answer.
	entryLife = 5 * time.Second
	// renewalAgain is how long after a first renewal that failed the next one
	// follows. One without an answer has taken a second already, and the
	// connection may only have gone silent while a new one works: with half of
	// the usual pause the entry has more than a second to live then.
	renewalAgain = entryLife / renewals / 2
	// renewalsSkippedMax is how many renewals are left out at most after
	// several that failed. The store's return ends the pause.
	renewalsSkippedMax = 4
	// earlierWait is how long a gateway that starts waits for the store to tell what
	// an earlier process of its VM left behind. The store answers in 4 ms; where
	// all of a deployment start at once, within half a second.
	earlierWait = 500 * time.Millisecond
	// leaveTime bounds the call by which a gateway tells that it leaves. A slow
	// store takes some hundred milliseconds.
	leaveTime = time.Second
	// removeTime bounds its last call, since the process is about to be killed.
	removeTime = 200 * time.Millisecond
)

// entryStore is what the list needs of the platform's store.
type entryStore interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	Put(ctx context.Context, key string, data []byte, lease int64) error
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	Revoke(ctx context.Context, lease int64) error
}

// earlierEntry is what an earlier process of this VM has left behind of its entry.
type earlierEntry struct {
	// lease that it was written under; zero for none.
	lease int64
	// same says that the entry would be written as it stands.
	same bool
}

// awaitEarlier waits until the store has told what is left of an earlier process.
func (n *nodes) awaitEarlier(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, earlierWait)
	defer cancel()
	select {
	case <-n.told:
	case <-ctx.Done():
	}
}

// run keeps this gateway's entry until the context ends. After a renewal that
// failed the next one is early; after several it leaves some out, until the store
// is known to be back.
func (n *nodes) run(ctx context.Context) {
	n.awaitEarlier(ctx)
	failed := 0
	for {
		if err := n.keep(ctx); err != nil {
			failed++
			slog.Debug("own entry not renewed", "failed", failed, "error", err)
		} else {
			failed = 0
		}
		pause := entryLife / renewals
		switch {
		case failed == 1:
			pause = renewalAgain
		case failed > 1:
			pause *= time.Duration(1 + min(failed, renewalsSkippedMax))
		}
		ticks := n.g.timers.Subscribe(pause)
		select {
		case <-ctx.Done():
		case <-ticks.C():
		case <-n.regained:
		}
		ticks.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// keep renews the entry's lease, or makes both anew; a gateway that leaves makes
// none.
func (n *nodes) keep(ctx context.Context) error {
	n.mu.Lock()
	id := n.lease
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
	return n.announce(ctx)
}

// announce makes this gateway's entry.
func (n *nodes) announce(ctx context.Context) error {
	id, written, err := n.takeLease(ctx)
	if err != nil {
		return err
	}
	if !written {
		if err := n.write(ctx, id); err != nil {
			return err
		}
	}
	n.mu.Lock()
	n.lease = id
	_, stands := n.known[n.key()]
	n.mu.Unlock()
	if n.g.leaving.Load() || written && !stands {
		// It may have begun to leave while this entry was being written, or the
		// earlier process's last call may have taken the entry back meanwhile.
		return n.write(ctx, id)
	}
	return nil
}

// takeLease returns a lease for this gateway's entry, and whether the entry stands
// under it as it should. A process that was killed leaves both behind: the one
// that takes its place renews them, which costs a twentieth of making them anew.
// When all processes of a deployment are killed at once, that is most of what
// their start asks of the store.
func (n *nodes) takeLease(ctx context.Context) (id int64, written bool, err error) {
	n.mu.Lock()
	earlier := n.earlier
	n.earlier = earlierEntry{}
	n.mu.Unlock()
	if earlier.lease != 0 {
		alive, err := n.store.KeepAlive(ctx, earlier.lease)
		if err != nil {
			return 0, false, err
		}
		if alive {
			slog.Info("entry of an earlier process taken over", "as_it_stands", earlier.same)
			return earlier.lease, earlier.same, nil
		}
	}
	id, err = n.store.Grant(ctx, entryLife)
	return id, false, err
}

// write writes this gateway's entry under a lease.
func (n *nodes) write(ctx context.Context, lease int64) error {
	data, err := json.Marshal(entry{Member: n.g.self, Leaving: n.g.leaving.Load()})
	if err != nil {
		return err
	}
	return n.store.Put(ctx, n.key(), data, lease)
}

// leave tells the others that this gateway leaves. Where the store does not
// answer, its entry is renewed no more and lapses.
func (n *nodes) leave() {
	n.mu.Lock()
	id := n.lease
	n.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	if err := n.write(ctx, id); err != nil {
		slog.Warn("others not told that this gateway leaves; its entry lapses", "error", err)
		n.forgetLease()
	}
}

// remove takes this gateway's entry back.
func (n *nodes) remove() {
	id := n.forgetLease()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), removeTime)
	defer cancel()
	if err := n.store.Revoke(ctx, id); err != nil {
		slog.Warn("own entry not taken back; it lapses with its lease", "error", err)
	}
}

// forgetLease returns the lease of this gateway's entry, zero for none, and
// renews it no more.
func (n *nodes) forgetLease() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.lease
	n.lease = 0
	return id
}
