package mirror

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/progress"
)

const (
	// followWait is how long a watch waits at the store. A path that is cut
	// in silence is noticed after it. Since few nodes watch, short waits cost
	// little.
	followWait = 600 * time.Millisecond
	// followSlack is how late the store may answer a watch that ran out, and how
	// long nothing may come of an answer that has begun; it answers in 4 ms.
	followSlack = 300 * time.Millisecond
	// peerWait is how long a call to the upstream waits.
	peerWait = 500 * time.Millisecond
	// passTime is how long an upstream is passed over: the entry of one that has
	// lost power is gone by then, or soon after.
	passTime = 3 * time.Second
	// retryPause lies between two tries at the store of a node that followed
	// a peer before: in an outage not all nodes should call at once.
	retryPause = time.Second
	// gatherTime lies between two watches. Changes that come close together
	// are then fetched by one call; 300 ms halved the calls in a trial.
	gatherTime = 250 * time.Millisecond
	// readTimeout bounds reading the whole until something of it comes.
	readTimeout = 2 * time.Second
	// fetchTime bounds what keeps coming: a large declaration needs longer than
	// a call that brings nothing may take, and given up half-way it would be sent
	// again over the same link. Past this time the next upstream is the better
	// choice, since a change must be in force 2 to 4 s after it.
	fetchTime = 2 * time.Second
	// firstPatience is how long a node that starts waits for the store before
	// it asks peers too. The store answers a page in 4 ms.
	firstPatience = 60 * time.Millisecond
	// peerInterval lies between two questions to peers while the store is
	// out of reach.
	peerInterval = 300 * time.Millisecond
	// peerTimeout is how late a peer may answer, beyond the time that it was
	// told to wait, and how long nothing may come of an answer that has begun.
	peerTimeout = 300 * time.Millisecond
	// peersAsked at once, so that one silent peer costs no time.
	peersAsked = 2
)

// Run follows the upstream, the store, or any peer, until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	var fresh sync.WaitGroup
	fresh.Go(func() { m.keepFresh(ctx) })
	defer fresh.Wait()
	for ctx.Err() == nil {
		upstream, ok := m.upstream()
		m.reads.Store(!ok || m.Revision() == 0)
		if m.reads.Load() {
			m.followStore(ctx)
		} else {
			m.followPeer(ctx, upstream)
		}
	}
}

// upstream returns the first upstream that is not passed over.
func (m *Mirror) upstream() (address string, ok bool) {
	now := m.timers.Steady()
	for _, address := range m.peers.Upstream() {
		if now.After(m.passed[address]) {
			delete(m.passed, address)
			return address, true
		}
	}
	return "", false
}

// passOver lets the next upstream be followed for a while.
func (m *Mirror) passOver(address string) {
	m.passed[address] = m.timers.Steady().Add(passTime)
	m.followed = ""
}

// followStore does one round with the store. If it does not answer, peers may know
// more.
func (m *Mirror) followStore(ctx context.Context) {
	err := m.step(ctx)
	if err == nil {
		m.pause(ctx, gatherTime)
		return
	}
	if ctx.Err() != nil || m.stalled(err) {
		return
	}
	m.lost(err)
	m.askPeers(ctx)
	if len(m.peers.Upstream()) > 0 {
		m.pause(ctx, retryPause)
	} else {
		m.pause(ctx, peerInterval)
	}
}

// followPeer takes one answer of an upstream. One that gave none in time is asked
// once more: a connection that was open may be silent for good while a new one works.
func (m *Mirror) followPeer(ctx context.Context, address string) {
	wait := peerWait
	if m.followed != address {
		wait = 0 // whether it answers at all should show at once
	}
	batch, err := m.callPeer(ctx, address, wait)
	if wait > 0 && errors.Is(err, context.DeadlineExceeded) {
		batch, err = m.callPeer(ctx, address, 0)
	}
	if ctx.Err() != nil || m.stalled(err) {
		return
	}
	if err != nil {
		m.count(EventUpstreamSilent)
		slog.Info("upstream did not answer; passed over", "peer", address, "age_ms", m.Age().Milliseconds(), "error", err)
		m.passOver(address)
		if m.Age() > lookAge {
			m.askPeers(ctx) // many upstreams may be lost, one after the other
		}
		return
	}
	m.accept(batch)
	switch {
	case batch.Age <= lookAge:
		m.followed = address
		m.gained()
	case m.Age() <= lookAge:
		m.count(EventUpstreamOld)
		slog.Info("upstream has old news; passed over", "peer", address, "its_age_ms", batch.Age.Milliseconds(), "its_revision", batch.Revision,
			"age_ms", m.Age().Milliseconds(), "revision", m.Revision())
		m.passOver(address)
	default:
		// The store may be away, so that nobody knows better.
		m.followed = address
		m.askPeers(ctx)
	}
}

// callPeer asks a peer that may wait that long.
func (m *Mirror) callPeer(ctx context.Context, address string, wait time.Duration) (Batch, error) {
	batch, took, err := m.bounded(ctx, waiting(wait, peerTimeout), func(ctx context.Context) (Batch, error) {
		return m.peers.Follow(ctx, address, m.Revision(), wait)
	})
	batch.Age = min(max(0, batch.Age), oldestTold) + max(0, took-batch.Held)
	return batch, err
}

// oldestTold bounds the age that a peer is believed to tell, which counts as any age from
// which nothing is gone by. A peer that has heard nothing yet tells of no beginning.
const oldestTold = 24 * time.Hour

// waiting returns the bounds of a call that may wait that long, and may be silent for
// the slack beside it.
func waiting(wait, slack time.Duration) progress.Timeouts {
	return progress.Timeouts{FirstByte: wait + slack, Idle: slack, Total: wait + fetchTime}
}

// stallSlack is by how much a call may outlast its bounds before that is this
// process's doing.
const stallSlack = 250 * time.Millisecond

// bounded makes a call and tells how long it took. An error of one that ran out of
// time is a context's, or Stalled.
func (m *Mirror) bounded(ctx context.Context, b progress.Timeouts, call func(context.Context) (Batch, error)) (batch Batch, took time.Duration, err error) {
	ctx, cancel := progress.WithTimeout(ctx, b)
	defer cancel()
	begun := m.timers.Steady()
	batch, err = call(ctx)
	took = m.timers.Steady().Sub(begun)
	if err == nil {
		return batch, took, nil
	}
	allowed := b.FirstByte
	if progress.Started(ctx) {
		allowed = b.Total
	}
	if took > allowed+stallSlack {
		return batch, took, errs.Wrap(Stalled, "call", err, "the process did not run: %d ms in place of %d", took.Milliseconds(), allowed.Milliseconds())
	}
	if ctx.Err() != nil {
		return batch, took, context.Cause(ctx)
	}
	return batch, took, err
}

// stalled reports whether a call failed since this process did not run.
func (m *Mirror) stalled(err error) bool {
	if !errorx.IsOfType(err, Stalled) {
		return false
	}
	m.count(EventStalled)
	return true
}

// step waits for what the store tells next.
func (m *Mirror) step(ctx context.Context) error {
	if m.Revision() == 0 || m.isAway() {
		return m.readAll(ctx)
	}
	return m.ask(ctx, followWait)
}

// ask takes the changes since what this node knows, for which the store may wait.
func (m *Mirror) ask(ctx context.Context, wait time.Duration) error {
	after := m.Revision()
	batch, err := m.watch(ctx, after, wait)
	if errors.Is(err, context.DeadlineExceeded) {
		// The connection may be silent for good while a new one works.
		batch, err = m.watch(ctx, after, 0)
	}
	if errorx.IsOfType(err, HistoryGone) {
		slog.Info("history of the store is gone; reading the whole", "after", after)
		return m.readAll(ctx)
	}
	if err != nil {
		return err
	}
	m.accept(batch)
	return nil
}

// watch asks the store for changes, which may wait that long. An answer that came
// later than that was on its way, or lay unread.
func (m *Mirror) watch(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	batch, took, err := m.bounded(ctx, waiting(wait, followSlack), func(ctx context.Context) (Batch, error) {
		return m.store.Follow(ctx, after, wait)
	})
	batch.Age = max(0, took-wait)
	return batch, err
}

// readAll reads the whole, which also tells what was removed meanwhile.
func (m *Mirror) readAll(ctx context.Context) error {
	bounds := progress.Timeouts{FirstByte: readTimeout, Idle: followSlack, Total: readTimeout + fetchTime}
	batch, took, err := m.bounded(ctx, bounds, func(ctx context.Context) (Batch, error) {
		if m.Revision() == 0 {
			// A node that starts during an outage need not wait for the store to time
			// out.
			go m.askPeersLater(ctx)
		}
		return m.store.ReadAll(ctx)
	})
	if err != nil {
		return err
	}
	batch.Age = took
	m.gained()
	m.accept(batch)
	return nil
}

// askPeersLater asks peers unless the store has told something by then in a read of
// the whole that is under way. Many nodes that start at once share its link, and
// the whole from peers as well would fill theirs: those of the few whose addresses
// a node starts with.
func (m *Mirror) askPeersLater(read context.Context) {
	m.pause(read, firstPatience)
	if m.Revision() == 0 && read.Err() == nil && !progress.Started(read) {
		m.askPeers(read)
	}
}

// askPeers takes what the first of the peers know.
func (m *Mirror) askPeers(ctx context.Context) {
	addresses := m.peers.Addresses()
	ctx, cancel := progress.WithTimeout(ctx, progress.Timeouts{FirstByte: peerTimeout, Idle: peerTimeout, Total: fetchTime})
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range addresses[:min(peersAsked, len(addresses))] {
		calls.Go(func() {
			batch, err := m.callPeer(ctx, address, 0)
			if err != nil {
				slog.Debug("peer did not answer", "peer", address, "error", err)
				return
			}
			m.accept(batch)
		})
	}
	calls.Wait()
}

// outageAge without fresh news is an outage of the store if the store was asked
// meanwhile, in vain: entries lapse in it, which takes three heartbeats of a second
// and more. Without that an upstream was lost, or this process did not run, and
// what is gone from the store is gone.
const outageAge = 2 * time.Second

// accept takes news. Fresh news after an outage is told to those who asked for that
// first, since what lapsed meanwhile stands in it.
func (m *Mirror) accept(b Batch) {
	if b.Revision == 0 {
		return // who knows nothing confirms nothing
	}
	now := m.timers.Steady()
	m.mu.Lock()
	outage := now.Sub(m.contact) > outageAge && m.vain.After(m.contact)
	m.mu.Unlock()
	if outage && b.Age <= lookAge {
		m.count(EventOutage)
		for _, do := range m.regained {
			do()
		}
	}
	m.take(b, now.Add(-b.Age))
}

// isAway reports whether the store is out of reach as far as is known.
func (m *Mirror) isAway() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.away
}

// lost notes that the store did not answer.
func (m *Mirror) lost(err error) {
	m.mu.Lock()
	before := m.away
	m.away, m.vain = true, m.timers.Steady()
	m.settle()
	revision := m.revision
	m.mu.Unlock()
	if !before {
		m.count(EventStoreLost)
		slog.Warn("store is out of reach; following peers", "revision", revision, "error", err)
	}
}

// gained notes that the store, or an upstream that reaches it, has answered.
func (m *Mirror) gained() {
	m.mu.Lock()
	before := m.away
	m.away = false
	m.mu.Unlock()
	if before {
		m.count(EventStoreBack)
		slog.Info("store is reached again", "away_ms", m.Age().Milliseconds())
	}
}

// pause returns after d, or when the context ends.
func (m *Mirror) pause(ctx context.Context, d time.Duration) {
	ticks := m.timers.Subscribe(d)
	defer ticks.Stop()
	select {
	case <-ctx.Done():
	case <-ticks.C():
	}
}
