package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"
)

const (
	// renewalsPerTTL is how often an entry is renewed within entryTTL, so that it
	// survives a failed renewal.
	renewalsPerTTL = 3
	// entryTTL is the TTL of the lease of a gateway's entry. Renewals are billed, and
	// clients skip an address that does not respond, so it need not be shorter.
	entryTTL = 5 * time.Second
	// renewalRetryDelay is the delay after a first failed renewal: half of the usual
	// one, so that the entry has more than a second left when the retry starts. A
	// renewal that times out has taken a second already, and often only its connection
	// is dead while a new one works.
	renewalRetryDelay = entryTTL / renewalsPerTTL / 2
	// maxSkippedRenewals limits how many renewals are skipped after consecutive
	// failures. When the store recovers, the entry is renewed at once.
	maxSkippedRenewals = 4
	// syncTimeout is how long a starting gateway waits for its copy of the store before it
	// registers. Without it, it could serve neither clients nor peers, and would not know
	// which entry a previous process of its VM has left.
	syncTimeout = 5 * time.Second
	// leaveTimeout limits the call that marks the entry as leaving. A slow store takes
	// some hundred milliseconds.
	leaveTimeout = time.Second
	// deregisterTimeout is short, since the process is about to be killed.
	deregisterTimeout = 200 * time.Millisecond
)

// entryStore is the part of the platform's store that membership uses.
type entryStore interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	Put(ctx context.Context, key string, data []byte, lease int64) error
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	Revoke(ctx context.Context, lease int64) error
}

// previousEntry describes the entry that a previous process of this VM has left in
// the store.
type previousEntry struct {
	// leaseID is the lease that the entry is attached to; zero for none.
	leaseID int64
	// current reports whether the stored value is what this process would write.
	current bool
}

// awaitSync waits until the entries that the store holds are known, or for
// syncTimeout.
func (m *membership) awaitSync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	select {
	case <-m.synced:
	case <-ctx.Done():
	}
}

// run registers this gateway and renews its entry until the context ends. The retry
// after one failed renewal comes early; after several failures renewals are skipped
// until the store has recovered.
func (m *membership) run(ctx context.Context) {
	m.awaitSync(ctx)
	failures := 0
	for {
		if err := m.renewOrRegister(ctx); err != nil {
			failures++
			slog.Debug("renewing own entry failed", "failed", failures, "error", err)
		} else {
			failures = 0
		}
		pause := entryTTL / renewalsPerTTL
		switch {
		case failures == 1:
			pause = renewalRetryDelay
		case failures > 1:
			pause *= time.Duration(1 + min(failures, maxSkippedRenewals))
		}
		ticks := m.g.timers.Subscribe(pause)
		select {
		case <-ctx.Done():
		case <-ticks.C():
		case <-m.renewRequests:
		}
		ticks.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// renewOrRegister renews the entry's lease, or registers the gateway if there is no
// lease or it has expired. A gateway that is leaving does not register without a
// lease.
func (m *membership) renewOrRegister(ctx context.Context) error {
	m.mu.Lock()
	id := m.leaseID
	m.mu.Unlock()
	if id == 0 && m.g.leaving.Load() {
		return nil
	}
	if id != 0 {
		alive, err := m.store.KeepAlive(ctx, id)
		if alive || err != nil {
			return err
		}
		slog.Warn("lease of own entry expired; registering again")
	}
	return m.register(ctx)
}

// register writes this gateway's entry under a lease, unless a previous process has
// left one that can be reused.
func (m *membership) register(ctx context.Context) error {
	id, written, err := m.acquireLease(ctx)
	if err != nil {
		return err
	}
	if !written {
		if err := m.writeEntry(ctx, id); err != nil {
			return err
		}
	}
	m.mu.Lock()
	m.leaseID = id
	_, present := m.entries[m.ownKey()]
	m.mu.Unlock()
	if m.g.leaving.Load() || written && !present {
		// The gateway may have started to leave while the entry was being written, or
		// the last call of the previous process may have deleted the reused entry.
		return m.writeEntry(ctx, id)
	}
	return nil
}

// acquireLease returns a lease for this gateway's entry, and whether the right entry is
// already written under it. A process that was killed leaves both behind, and its
// successor renews them, which costs a twentieth of creating them. When all processes
// of a deployment are killed at once, registration is most of the store's load at
// their restart.
func (m *membership) acquireLease(ctx context.Context) (id int64, written bool, err error) {
	m.mu.Lock()
	previous := m.previous
	m.previous = previousEntry{}
	m.mu.Unlock()
	if previous.leaseID != 0 {
		alive, err := m.store.KeepAlive(ctx, previous.leaseID)
		if err != nil {
			return 0, false, err
		}
		if alive {
			slog.Info("reusing the entry of a previous process", "as_it_stands", previous.current)
			return previous.leaseID, previous.current, nil
		}
	}
	id, err = m.store.Grant(ctx, entryTTL)
	return id, false, err
}

// writeEntry writes this gateway's entry under a lease.
func (m *membership) writeEntry(ctx context.Context, leaseID int64) error {
	data, err := json.Marshal(entry{Member: m.g.self, Leaving: m.g.leaving.Load()})
	if err != nil {
		return err
	}
	return m.store.Put(ctx, m.ownKey(), data, leaseID)
}

// announceLeaving marks this gateway's entry as leaving. If that fails, the entry is no
// longer renewed and expires.
func (m *membership) announceLeaving() {
	m.mu.Lock()
	id := m.leaseID
	m.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := m.writeEntry(ctx, id); err != nil {
		slog.Warn("marking own entry as leaving failed; it expires with its lease", "error", err)
		m.clearLease()
	}
}

// deregister revokes the lease of this gateway's entry, which deletes the entry.
func (m *membership) deregister() {
	id := m.clearLease()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := m.store.Revoke(ctx, id); err != nil {
		slog.Warn("deleting own entry failed; it expires with its lease", "error", err)
	}
}

// clearLease returns the lease of this gateway's entry, zero for none, and stops its
// renewal.
func (m *membership) clearLease() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.leaseID
	m.leaseID = 0
	return id
}
