package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/progress"
)

const (
	// watchWait is how long the store holds a watch without changes. A connection that
	// has silently broken is noticed after it. Only few nodes watch, so a short wait
	// costs little.
	watchWait = 600 * time.Millisecond
	// watchSlack is how late the store may respond to a watch whose wait is over, and
	// how long a response that has begun may pause; the store responds in 4 ms.
	watchSlack = 300 * time.Millisecond
	// peerWait is how long the upstream holds a call without changes: a little longer than the
	// time after which the store confirms that there are none.
	peerWait = watchWait + coalesceTime + 50*time.Millisecond
	// skipTime is how long an upstream is skipped. The entry of one that has lost power
	// is removed by then, or soon after.
	skipTime = 3 * time.Second
	// retryPause is the time between two calls to a failing store by a node that has an
	// upstream, so that not all nodes call at once in an outage.
	retryPause = time.Second
	// coalesceTime is the time between two watches, so that one call fetches changes
	// that come close together.
	coalesceTime = 250 * time.Millisecond
	// coalesceTimePerKey is added for each key of the store, up to coalesceTimeMax.
	coalesceTimePerKey = 25 * time.Microsecond
	coalesceTimeMax    = 500 * time.Millisecond
	// transferTimeout bounds a response that keeps arriving. A large declaration takes
	// longer than a call without changes may, and an aborted transfer would be repeated
	// over the same link. After this time the next upstream is the better choice, since
	// a change has to be in force within 2 to 4 s.
	transferTimeout = 2 * time.Second
	// startupPeerDelay is how long a node that starts waits for the store before it
	// queries peers, too. The store responds with a page in 4 ms.
	startupPeerDelay = 60 * time.Millisecond
	// peerInterval is the time between two queries of peers while the store is
	// unreachable. For a node that starts, it doubles up to maxStartPause, since a whole
	// deployment may do the same.
	peerInterval  = 300 * time.Millisecond
	maxStartPause = 1200 * time.Millisecond
	// peerTimeout is how late a peer may respond, beyond the time that it was asked to
	// wait, and how long a response that has begun may pause.
	peerTimeout = 300 * time.Millisecond
	// peersQueried is the number of peers that are queried at once, so that a silent
	// one causes no delay.
	peersQueried = 2
)

// Run keeps the copy current from the upstream, the store, or any peer, until the
// context ends.
func (m *Mirror) Run(ctx context.Context) {
	var polling sync.WaitGroup
	polling.Go(func() { m.keepFresh(ctx) })
	defer polling.Wait()
	for ctx.Err() == nil {
		upstream, ok := m.upstream()
		m.followsStore.Store(!ok || m.Revision() == 0)
		if m.followsStore.Load() {
			m.followStore(ctx)
		} else {
			m.followPeer(ctx, upstream)
		}
	}
}

// upstream returns the first upstream that is not skipped.
func (m *Mirror) upstream() (address string, ok bool) {
	now := m.timers.Steady()
	for _, address := range m.peers.Upstream() {
		if now.After(m.skippedUntil[address]) {
			delete(m.skippedUntil, address)
			return address, true
		}
	}
	return "", false
}

// skipUpstream excludes an upstream for skipTime, so that the next one is followed.
func (m *Mirror) skipUpstream(address string) {
	m.skippedUntil[address] = m.timers.Steady().Add(skipTime)
	m.lastUpstream = ""
}

// followStore makes one round of calls to the store. If it does not respond, peers are
// queried, which may have newer data.
func (m *Mirror) followStore(ctx context.Context) {
	starts := m.Revision() == 0
	err := m.fetchNext(ctx)
	if err == nil {
		m.failedStarts, m.partial = 0, Batch{}
		m.startFailed.Store(false)
		m.keepReader(ctx)
		m.pause(ctx, m.coalesce())
		return
	}
	if ctx.Err() != nil || m.stalled(err) {
		return
	}
	m.markStoreUnreachable(err)
	m.queryPeers(ctx)
	switch {
	case starts:
		m.pause(ctx, m.startPause())
	case len(m.peers.Upstream()) > 0:
		m.pause(ctx, retryPause)
	default:
		m.pause(ctx, peerInterval)
	}
}

// startPause returns how long a node that starts waits after a failure: longer with each, and
// not the same for nodes that start together.
func (m *Mirror) startPause() time.Duration {
	m.startFailed.Store(true)
	pause := min(maxStartPause, peerInterval<<m.failedStarts)
	if pause < maxStartPause {
		m.failedStarts++
	}
	return pause/2 + rand.N(pause)
}

// followPeer takes one response of an upstream. If a long poll runs out of time, it is
// repeated once without waiting: the open connection may be dead while a new one works.
func (m *Mirror) followPeer(ctx context.Context, address string) {
	wait := peerWait
	if m.lastUpstream != address {
		wait = 0 // shows at once whether a new upstream responds at all
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
		slog.Info("upstream did not respond; skipping it", "peer", address, "age_ms", m.Age().Milliseconds(), "error", err)
		m.skipUpstream(address)
		if m.Age() > pollAge {
			m.queryPeers(ctx) // several upstreams may be down, each found out in turn
		}
		return
	}
	if batch.Busy {
		m.pause(ctx, busyPause)
		return
	}
	m.accept(batch)
	switch {
	case batch.Age <= pollAge:
		m.lastUpstream = address
		m.markStoreReachable()
	case m.Age() <= pollAge:
		m.count(EventUpstreamStale)
		slog.Info("upstream has stale data; skipping it", "peer", address, "its_age_ms", batch.Age.Milliseconds(), "its_revision", batch.Revision,
			"age_ms", m.Age().Milliseconds(), "revision", m.Revision())
		m.skipUpstream(address)
	default:
		// The store may be down, so that no node has fresher data.
		m.lastUpstream = address
		m.queryPeers(ctx)
	}
}

// callPeer asks a peer for changes and lets it wait that long for some. The age of the
// returned batch is an upper bound: the reported age, plus the time of the call without
// the time that the peer says it waited.
func (m *Mirror) callPeer(ctx context.Context, address string, wait time.Duration) (Batch, error) {
	return m.callPeerWithSlack(ctx, address, wait, peerTimeout)
}

// callPeerWithSlack is callPeer for a peer that may respond late, or pause, by the slack.
func (m *Mirror) callPeerWithSlack(ctx context.Context, address string, wait, slack time.Duration) (Batch, error) {
	batch, took, err := m.callWithBounds(ctx, longPollBounds(wait, slack), func(ctx context.Context) (Batch, error) {
		return m.peers.Follow(ctx, address, m.Revision(), wait)
	})
	batch.Age = min(max(0, batch.Age), maxReportedAge) + max(0, took-batch.Waited)
	return batch, err
}

// maxReportedAge bounds the age that a peer reports; any age from which data is stale
// has the same effect. A peer without data reports an age without bound.
const maxReportedAge = 24 * time.Hour

// longPollBounds returns the bounds of a call that the other side may hold for wait,
// and whose response may be late or pause by the slack.
func longPollBounds(wait, slack time.Duration) progress.Timeouts {
	return progress.Timeouts{FirstByte: wait + slack, Idle: slack, Total: wait + transferTimeout}
}

// stallSlack is how far a call may exceed its bounds before the delay is attributed to
// this process.
const stallSlack = 250 * time.Millisecond

// callWithBounds makes a call and returns how long it took. A call that runs out of
// time fails with the context's cause, or with Stalled if this process did not run.
func (m *Mirror) callWithBounds(ctx context.Context, b progress.Timeouts, call func(context.Context) (Batch, error)) (batch Batch, took time.Duration, err error) {
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

// stalled reports whether a call failed because this process did not run.
func (m *Mirror) stalled(err error) bool {
	if !errorx.IsOfType(err, Stalled) {
		return false
	}
	m.count(EventStalled)
	return true
}

// fetchNext waits for the next changes from the store. It reads a snapshot if this node
// has no data or the store was unreachable.
func (m *Mirror) fetchNext(ctx context.Context) error {
	switch {
	case m.Revision() == 0:
		return m.start(ctx)
	case m.isUnreachable():
		return m.readAll(ctx)
	}
	return m.fetchChanges(ctx, watchWait+coalesceTime-m.coalesce())
}

// coalesce returns the time between two watches. The more keys there are, the more changes come
// together, and each batch of them is a call for every node. A watch waits shorter by as much, so
// that the age of the copy stays the same.
func (m *Mirror) coalesce() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(coalesceTimeMax, coalesceTime+time.Duration(len(m.items))*coalesceTimePerKey)
}

// fetchChanges takes the changes after the known revision from the store, which may
// hold the call for wait.
func (m *Mirror) fetchChanges(ctx context.Context, wait time.Duration) error {
	after := m.Revision()
	batch, err := m.watch(ctx, after, wait)
	if errors.Is(err, context.DeadlineExceeded) {
		// The open connection may be dead while a new one works.
		batch, err = m.watch(ctx, after, 0)
	}
	if errorx.IsOfType(err, HistoryGone) {
		if m.awaitUpstream(ctx, after) {
			return nil
		}
		slog.Info("store no longer keeps the changes after this revision; reading a snapshot", "after", after)
		return m.readAll(ctx)
	}
	if err != nil {
		return err
	}
	m.accept(batch)
	return nil
}

// snapshotSpreadPerKey is the time, for each key of a large store, within which the nodes that
// follow others read a snapshot when the changes are gone.
const snapshotSpreadPerKey = 200 * time.Microsecond

// awaitUpstream gives the upstream of a node some time to pass on what the store does not keep any
// more, and reports whether it has. When a large store loses its history, all nodes find that at
// once, and it could not serve a snapshot to each. The node's own goroutine of Run follows the
// upstream meanwhile.
func (m *Mirror) awaitUpstream(ctx context.Context, after int64) bool {
	m.mu.Lock()
	keys := len(m.items)
	m.mu.Unlock()
	if keys < largeSnapshot || m.followsStore.Load() || len(m.peers.Upstream()) == 0 {
		return false
	}
	spread := time.Duration(keys) * snapshotSpreadPerKey
	m.pause(ctx, spread/2+rand.N(spread/2))
	return m.Revision() > after || m.Age() <= pollAge
}

// watch asks the store for changes and lets it wait that long for some. A response that
// took longer than that was in transit, or waited unread in this process, so the time
// beyond the wait counts as its age.
func (m *Mirror) watch(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	batch, took, err := m.callWithBounds(ctx, longPollBounds(wait, watchSlack), func(ctx context.Context) (Batch, error) {
		return m.store.Follow(ctx, after, wait)
	})
	batch.Age = max(0, took-wait)
	return batch, err
}

// queryPeers fetches newer data from the first peers.
func (m *Mirror) queryPeers(ctx context.Context) {
	addresses := m.peers.Addresses()
	ctx, cancel := progress.WithTimeout(ctx, progress.Timeouts{FirstByte: peerTimeout, Idle: peerTimeout, Total: transferTimeout})
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range addresses[:min(peersQueried, len(addresses))] {
		calls.Go(func() {
			if m.Revision() == 0 {
				m.copyFrom(ctx, []string{address}, 0)
				return
			}
			batch, err := m.callPeer(ctx, address, 0)
			if err != nil {
				slog.Debug("peer did not respond", "peer", address, "error", err)
				return
			}
			m.accept(batch)
		})
	}
	calls.Wait()
}

// minOutage is the time without fresh data from which an outage of the store is
// assumed, if a call to the store also failed in that time. Entries expire in an
// outage, after three heartbeats of a second or more. If no call to the store failed,
// an upstream was down or this process did not run, and entries that are missing from
// the store have really been deleted.
const minOutage = 2 * time.Second

// accept takes a batch. If it is the first fresh one after an outage, the callbacks of
// OnStoreRecovered run first, since the batch contains the deletions of entries that
// expired in the outage.
func (m *Mirror) accept(b Batch) {
	if b.Revision == 0 {
		return // a sender without data confirms nothing
	}
	now := m.timers.Steady()
	m.mu.Lock()
	outage := now.Sub(m.asOf) > minOutage && m.lastFailure.After(m.asOf)
	m.mu.Unlock()
	if outage && b.Age <= pollAge {
		m.count(EventOutage)
		for _, do := range m.onStoreRecovered {
			do()
		}
	}
	m.deliver(b, now.Add(-b.Age))
}

// isUnreachable reports whether a call to the store failed, and neither the store nor
// an upstream that reaches it has responded since.
func (m *Mirror) isUnreachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable
}

// markStoreUnreachable records that the store did not respond.
func (m *Mirror) markStoreUnreachable(err error) {
	m.mu.Lock()
	before := m.unreachable
	m.unreachable, m.lastFailure = true, m.timers.Steady()
	if !before {
		m.unreachableSince = m.lastFailure
	}
	m.signalRefresh()
	revision := m.revision
	m.mu.Unlock()
	if !before {
		m.count(EventStoreLost)
		slog.Warn("store is unreachable; following peers", "revision", revision, "error", err)
	}
}

// markStoreReachable records that the store, or an upstream that reaches it, has
// responded.
func (m *Mirror) markStoreReachable() {
	m.mu.Lock()
	before, away := m.unreachable, m.timers.Steady().Sub(m.unreachableSince)
	m.unreachable = false
	m.mu.Unlock()
	if before {
		m.count(EventStoreBack)
		slog.Info("store is reachable again", "away_ms", away.Milliseconds())
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
