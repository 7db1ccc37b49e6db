package mirror

import (
	"context"
	"time"
)

const (
	// pollAge is the age of the copy from which a node polls the store itself, whatever
	// its upstream does. In normal operation, data from an upstream is younger than the
	// sum of the wait of the upstream's watch, the pause after it, and pollSlack.
	pollAge = watchWait + coalesceTime + pollSlack
	// pollSlack is the delay in transit and processing that pollAge allows for.
	pollSlack = 250 * time.Millisecond
	// pollRetry is the time between two polls while the store does not respond. It is
	// multiplied by the number of upstreams, which poll as well, since in an outage
	// each call costs money and is of no use, up to pollRetryMax: a node that is the
	// only one to reach the store again must have caught up within the 3 s after which
	// it is expected to be up to date, and the 2 s that a change may take.
	pollRetry    = 1500 * time.Millisecond
	pollRetryMax = 4 * time.Second
	// staleAge is the age from which a node does not use its copy for decisions, unless
	// the store did not respond. A poll has had its response by then, even over a dead
	// connection, unless this process did not run.
	staleAge = pollAge + 2*watchSlack
)

// MaxStaleness is the greatest age of the copy that is used for decisions on requests
// while the store responds. At a node that reaches the store, a change takes effect at
// most that long after the store accepted it, plus the time of one call.
const MaxStaleness = staleAge

// keepFresh polls the store whenever the copy has grown old, until the context ends.
// This is what bounds the age of the data that a node uses; what Run does only makes
// polls rare.
func (m *Mirror) keepFresh(ctx context.Context) {
	for ctx.Err() == nil {
		if left := m.untilPoll(); left > 0 && !m.pollRequested(ctx, left) {
			continue
		}
		m.count(EventPoll)
		err := m.fetchChanges(ctx, 0)
		switch {
		case err == nil:
			m.markStoreReachable()
		case ctx.Err() == nil && !m.stalled(err):
			m.notePollFailure(err)
		}
	}
}

// pollRequested waits for d and reports whether a poll was requested meanwhile.
func (m *Mirror) pollRequested(ctx context.Context, d time.Duration) bool {
	ticks := m.timers.Subscribe(d)
	defer ticks.Stop()
	select {
	case <-ctx.Done():
	case <-ticks.C():
	case <-m.pollNow:
		return ctx.Err() == nil
	}
	return false
}

// NeedsRefresh reports whether the copy is too old to use although the store may have
// newer data. It is false while the store does not respond: no node has better data
// then, and the old copy is used. It is also false before the first data.
func (m *Mirror) NeedsRefresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.needsRefresh()
}

// needsRefresh is NeedsRefresh for a caller that holds mu.
func (m *Mirror) needsRefresh() bool {
	known := !m.deliveredAsOf.IsZero()
	return known && m.timers.Steady().Sub(m.deliveredAsOf) > staleAge && !m.lastFailure.After(m.asOf)
}

// AwaitRefresh requests a poll of the store and returns once NeedsRefresh is false. It
// returns at once if no refresh is needed, and waits no longer than a poll may take.
func (m *Mirror) AwaitRefresh(ctx context.Context) {
	if !m.NeedsRefresh() {
		return
	}
	select {
	case m.pollNow <- struct{}{}:
	default: // a poll is requested already
	}
	ctx, cancel := context.WithTimeout(ctx, 2*watchSlack)
	defer cancel()
	for {
		m.mu.Lock()
		stale, refreshed := m.needsRefresh(), m.refreshed
		m.mu.Unlock()
		if !stale {
			return
		}
		select {
		case <-refreshed:
		case <-ctx.Done():
			return
		}
	}
}

// signalRefresh wakes those that wait in AwaitRefresh. The caller holds mu.
func (m *Mirror) signalRefresh() {
	close(m.refreshed)
	m.refreshed = make(chan struct{})
}

// untilPoll returns how long to wait until the next poll, or until this function is to
// be called again, since the time of the poll changes meanwhile.
func (m *Mirror) untilPoll() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision == 0 || m.followsStore.Load() {
		return pollSlack // Run calls the store itself, and learns as much as soon
	}
	due := m.asOf.Add(pollAge)
	if m.lastFailure.After(m.asOf) && m.nextPoll.After(due) {
		due = m.nextPoll
	}
	return min(pollAge, due.Sub(m.timers.Steady()))
}

// notePollFailure records that the store did not respond to a poll, and schedules the
// next one.
func (m *Mirror) notePollFailure(err error) {
	m.count(EventPollFailed)
	upstreams := len(m.peers.Upstream())
	m.markStoreUnreachable(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextPoll = m.timers.Steady().Add(min(pollRetryMax, time.Duration(max(1, upstreams))*pollRetry))
}
