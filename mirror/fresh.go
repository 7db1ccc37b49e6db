package mirror

import (
	"context"
	"time"
)

const (
	// pollAge is the age of news at which a node looks at the store itself, whatever
	// those do that it follows. News that comes by an upstream is younger if all is
	// well: the wait of the upstream's watch, the gathering after it, and some delay.
	pollAge = watchWait + coalesceTime + pollSlack
	// pollSlack is that delay.
	pollSlack = 250 * time.Millisecond
	// pollRetry lies between two looks while the store does not answer. It grows with
	// the number of nodes that are to look before this one, since in an outage a call is
	// paid for and tells nothing, up to lookPauseMax: a node that reaches the store again,
	// and nobody else, must have caught up within the 3 s after which its knowledge
	// counts and the 2 s that a change may take.
	pollRetry    = 1500 * time.Millisecond
	pollRetryMax = 4 * time.Second
	// staleAge is the age from which a node does not go by its news any more, unless
	// the store did not answer it: a look has told by then, also on a connection that
	// is silent, but for a process that did not run.
	staleAge = pollAge + 2*watchSlack
)

// MaxStaleness is the age of news from which requests don't go by it. A change that the
// store has taken is in force that much later at the latest, at a node that reaches the
// store, but for the time of one call.
const MaxStaleness = staleAge

// keepFresh looks at the store whenever the news of this node has grown old, until
// the context ends. It is what bounds the age of the news that a node goes by; what
// Run does only makes looks rare.
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

// pollRequested waits that long and reports whether a look was asked for meanwhile.
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

// NeedsRefresh reports whether the news is too old to go by, though the store might tell
// what is new. While the store does not answer nobody knows better, and old news is
// gone by. Where nothing is known there is nothing to doubt.
func (m *Mirror) NeedsRefresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.needsRefresh()
}

// needsRefresh is InDoubt for a caller that holds mu.
func (m *Mirror) needsRefresh() bool {
	known := !m.deliveredAsOf.IsZero()
	return known && m.timers.Steady().Sub(m.deliveredAsOf) > staleAge && !m.lastFailure.After(m.asOf)
}

// AwaitRefresh returns once the news is in doubt no more. It returns at once if it is not,
// and waits no longer than a look takes.
func (m *Mirror) AwaitRefresh(ctx context.Context) {
	if !m.NeedsRefresh() {
		return
	}
	select {
	case m.pollNow <- struct{}{}:
	default: // one is due already
	}
	ctx, cancel := context.WithTimeout(ctx, 2*watchSlack)
	defer cancel()
	for {
		m.mu.Lock()
		doubt, settled := m.needsRefresh(), m.refreshed
		m.mu.Unlock()
		if !doubt {
			return
		}
		select {
		case <-settled:
		case <-ctx.Done():
			return
		}
	}
}

// signalRefresh lets those look again who wait in Settle. The caller holds mu.
func (m *Mirror) signalRefresh() {
	close(m.refreshed)
	m.refreshed = make(chan struct{})
}

// untilPoll returns how long no look is due. It is asked for again by then, since what
// it goes by changes meanwhile.
func (m *Mirror) untilPoll() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision == 0 || m.followsStore.Load() {
		return pollSlack // Run's own calls tell as soon
	}
	due := m.asOf.Add(pollAge)
	if m.lastFailure.After(m.asOf) && m.nextPoll.After(due) {
		due = m.nextPoll
	}
	return min(pollAge, due.Sub(m.timers.Steady()))
}

// notePollFailure notes that the store did not answer a look.
func (m *Mirror) notePollFailure(err error) {
	m.count(EventPollFailed)
	before := len(m.peers.Upstream())
	m.markStoreUnreachable(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextPoll = m.timers.Steady().Add(min(pollRetryMax, time.Duration(max(1, before))*pollRetry))
}
