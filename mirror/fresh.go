package mirror

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// lookAge is the age of news at which a node looks at the store itself, whatever
	// those do that it follows. News that comes by an upstream is younger if all is
	// well: the wait of the upstream's watch, the gathering after it, and some delay.
	lookAge = followWait + gatherTime + lookSlack
	// lookSlack is that delay.
	lookSlack = 250 * time.Millisecond
	// lookPause lies between two looks while the store does not answer. It grows with
	// the number of nodes that are to look before this one, up to lookPauseMax: in an
	// outage a call is paid for and tells nothing.
	lookPause    = time.Second
	lookPauseMax = 10 * time.Second
)

// keepFresh looks at the store whenever the news of this node has grown old, until
// the context ends. It is what bounds the age of the news that a node goes by; what
// Run does only makes looks rare.
func (m *Mirror) keepFresh(ctx context.Context) {
	for ctx.Err() == nil {
		if left := m.untilLook(); left > 0 {
			m.pause(ctx, left)
			continue
		}
		err := m.ask(ctx, 0)
		switch {
		case err == nil:
			m.gained()
		case ctx.Err() == nil && !errorx.IsOfType(err, Stalled):
			m.lookedInVain(err)
		}
	}
}

// untilLook returns how long the news is fresh enough.
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
	return due.Sub(m.timers.Now())
}

// lookedInVain notes that the store did not answer a look.
func (m *Mirror) lookedInVain(err error) {
	before := len(m.peers.Upstream())
	m.lost(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextLook = m.timers.Now().Add(min(lookPauseMax, time.Duration(max(1, before))*lookPause))
}
