package mirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/violettally/violettally/internal/progress"
)

const (
	// sourcesAsked is how many sources the reader asks for a copy before it reads the store.
	sourcesAsked = 4
	// busyPause is the mean time between two calls to holders of a copy that are busy. A copy of
	// some hundred kilobytes takes about as long over a link of 20 Mbit/s.
	busyPause = 150 * time.Millisecond
	// copySlack is how late a node that sends its copy may respond, and how long it may pause. It
	// sends several at a time.
	copySlack = time.Second
	// startPeerTime is how long a node that starts waits for a copy from peers that are busy,
	// before it looks for another reader.
	startPeerTime = 6 * time.Second
	// holdersAsked bounds the holders of a copy that a node keeps in mind.
	holdersAsked = 16
)

// start gets the first snapshot. A small one is read from the store. Of a large one, one node of
// the data hall, the reader, reads the whole, and the others get it from that node or from each
// other: when a large deployment starts, its nodes would otherwise ask the store for the square
// of its size. What is asked of the store first is therefore who the reader is.
func (m *Mirror) start(ctx context.Context) error {
	reader, err := m.lookUpReader(ctx)
	switch {
	case err != nil:
		return err
	case reader.Address != "":
		return m.startLarge(ctx, reader)
	}
	more := m.partial.Revision != 0
	if !more {
		if more, err = m.readStart(ctx); err != nil {
			return err
		}
	}
	switch {
	case !more:
		return m.takeRead(ctx)
	case m.readers == nil:
		return m.readWhole(ctx)
	}
	return m.startLarge(ctx, reader)
}

// lookUpReader returns the reader of the data hall. A node that starts during an outage does not
// have to wait until the call to the store times out: peers are asked meanwhile.
func (m *Mirror) lookUpReader(ctx context.Context) (reader HallReader, err error) {
	if m.readers == nil {
		return HallReader{}, nil
	}
	_, _, err = m.callWithBounds(ctx, m.readBounds(), func(ctx context.Context) (Batch, error) {
		go m.queryPeersAfterDelay(ctx)
		reader, err = m.readers.Current(ctx, false)
		return Batch{}, err
	})
	if err == nil {
		m.markStoreReachable()
	}
	return reader, err
}

// copyFrom takes the copy of a peer, or of one that such a peer has given its copy to, and reports
// whether one had a copy. A peer without one may hold the call for wait. Peers that are busy, or that
// read the store at present, are asked again for some time, and returned if it is over.
func (m *Mirror) copyFrom(ctx context.Context, holders []string, wait time.Duration) (busy []string, copied bool) {
	begun := m.timers.Steady()
	for len(holders) > 0 && ctx.Err() == nil && m.timers.Steady().Sub(begun) < startPeerTime {
		address := holders[rand.N(len(holders))]
		batch, err := m.callPeerWithSlack(ctx, address, wait, copySlack)
		switch {
		case m.Revision() > 0:
			return nil, true // by another way meanwhile
		case err == nil && batch.Revision > 0:
			m.accept(batch)
			m.updateFrom(ctx, address)
			slog.Info("copy taken from a peer", "peer", address, "revision", m.Revision(), "took_ms", m.timers.Steady().Sub(begun).Milliseconds())
			return nil, true
		case err != nil || !batch.Busy:
			holders = slices.DeleteFunc(holders, func(h string) bool { return h == address })
			continue
		}
		holders = addHolders(holders, batch.Holders...)
		m.pause(ctx, busyPause/2+rand.N(busyPause))
	}
	return holders, false
}

// addHolders adds the addresses that are not in a list of bounded size.
func addHolders(holders []string, named ...string) []string {
	for _, address := range named {
		if len(holders) < holdersAsked && !slices.Contains(holders, address) {
			holders = append(holders, address)
		}
	}
	return holders
}

// updateFrom takes what has changed since the copy was made that a peer has sent.
func (m *Mirror) updateFrom(ctx context.Context, address string) {
	if batch, err := m.callPeer(ctx, address, 0); err == nil {
		m.accept(batch)
	}
}

// askSources asks some nodes that may have a copy for it, one after the other, and reports whether
// one gave it.
func (m *Mirror) askSources(ctx context.Context, sources []string) bool {
	for _, address := range sources[:min(sourcesAsked, len(sources))] {
		batch, err := m.callPeer(ctx, address, 0)
		if err == nil && batch.Revision > 0 {
			m.accept(batch)
			return true
		}
	}
	return m.Revision() > 0
}

// queryPeersAfterDelay queries peers unless a response of the store has begun by then
// in the current read of the snapshot. Many nodes that start at once share the link of
// the store, and snapshots from peers would also fill the links of the few peers whose
// addresses a node starts with.
func (m *Mirror) queryPeersAfterDelay(read context.Context) {
	m.pause(read, startupPeerDelay)
	if m.Revision() == 0 && read.Err() == nil && !progress.Started(read) {
		m.queryPeers(read)
	}
}
