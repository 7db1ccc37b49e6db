package mirror

import (
	"context"
	"time"
)

const (
	// lookAge is the age of news at which a node looks at the store itself, whatever
	// those do that it follows. News that comes by an upstream is younger if all is
	// well: the wait of the upstream's watch, the gathering after it, and some delay.
	lookAge = followWait + gatherTime + lookSlack
	// lookSlack is that delay.
	lookSlack = 250 * time.Millisecond
	// lookPause lies between two looks while the store does not answer. It grows with
	// the number of nodes that are to look before this one, since in an outage a call is
	// paid for and tells nothing, up to lookPauseMax: a node that reaches the store again,
	// and nobody else, must have caught up within the 3 s after which its knowledge
	// counts and the 2 s that a change may take.
	lookPause    = 1500 * time.Millisecond
	lookPauseMax = 4 * time.Second
	// doubtAge is the age from which a node does not go by its news any more, unless
	// the store did not answer it: a look has told by then, also on a connection that
	// is silent, but for a process that did not run.
	doubtAge = lookAge + 2*followSlack
)

// MaxStaleness is the age of news from which requests don't go by it. A change that the
// store has taken is in force that much later at the latest, at a node that reaches the
// store, but for the time of one call.
const MaxStaleness = doubtAge

// keepFresh looks at the store whenever the news of this node has grown old, until
// the context ends. It is what bounds the age of the news that a node goes by; what
// Run does only makes looks rare.
func (m *Mirror) keepFresh(ctx context.Context) {
	for ctx.Err() == nil {
		if left := m.untilLook(); left > 0 && !m.urged(ctx, left) {
			continue
		}
		m.count(EventPoll)
		err := m.ask(ctx, 0)
		switch {
		case err == nil:
			m.gained()
		case ctx.Err() == nil && !m.stalled(err):
			m.lookedInVain(err)
		}
	}
}

// urged waits that long and reports whether a look was asked for meanwhile.
func (m *Mirror) urged(ctx context.Context, d time.Duration) bool {
	ticks := m.timers.Subscribe(d)
	defer ticks.Stop()
	select {
	case <-ctx.Done():
	case <-ticks.C():
	case <-m.urgent:
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
	return m.inDoubt()
}

// inDoubt is InDoubt for a caller that holds mu.
func (m *Mirror) inDoubt() bool {
	known := !m.inForce.IsZero()
	return known && m.timers.Steady().Sub(m.inForce) > doubtAge && !m.vain.After(m.contact)
}

// AwaitRefresh returns once the news is in doubt no more. It returns at once if it is not,
// and waits no longer than a look takes.
func (m *Mirror) AwaitRefresh(ctx context.Context) {
	if !m.NeedsRefresh() {
		return
	}
	select {
	case m.urgent <- struct{}{}:
	default: // one is due already
	}
	ctx, cancel := context.WithTimeout(ctx, 2*followSlack)
	defer cancel()
	for {
		m.mu.Lock()
		doubt, settled := m.inDoubt(), m.settled
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

// settle lets those look again who wait in Settle. The caller holds mu.
func (m *Mirror) settle() {
	close(m.settled)
	m.settled = make(chan struct{})
}

// untilLook returns how long no look is due. It is asked for again by then, since what
// it goes by changes meanwhile.
func (m *Mirror) untilLook() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision == 0 || m.reads.Load() {
		return lookSlack // Run's own calls tell as soon
	}
	due := m.contact.Add(lookAge)
	if m.vain.After(m.contact) && m.nextLook.After(due) {
		due = m.nextLook
	}
	return min(lookAge, due.Sub(m.timers.Steady()))
}

// lookedInVain notes that the store did not answer a look.
func (m *Mirror) lookedInVain(err error) {
	m.count(EventPollFailed)
	before := len(m.peers.Upstream())
	m.lost(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextLook = m.timers.Steady().Add(min(lookPauseMax, time.Duration(max(1, before))*lookPause))
}
