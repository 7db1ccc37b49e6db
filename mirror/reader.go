package mirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"
)

// HallReader is the node of a data hall that reads a large store, so that the others get their copies
// from it.
type HallReader struct {
	// Address is the node's address for peers, empty if there is no reader.
	Address string
	// Revision is the store's revision of the appointment, zero if there was none.
	Revision int64
}

// HallReaders is the store's record of the reader of this node's data hall. The record outlives its
// reader: nodes that start together find one another by it.
type HallReaders interface {
	// Self returns this node's address for peers.
	Self() string
	// Known returns the reader as of the local copy.
	Known() HallReader
	// Current returns the present reader. Unless it is to be fresh, the answer may be some seconds
	// old, and costs less.
	Current(ctx context.Context, fresh bool) (HallReader, error)
	// Appoint makes this node the reader in place of another, and reports whether that one was
	// still the reader.
	Appoint(ctx context.Context, instead HallReader) (bool, error)
}

// WithHallReaders sets the record of the data hall's reader. Without one, each node reads the store
// itself. A node that starts and finds no reader leaves others up to delay to become it.
func WithHallReaders(r HallReaders, delay time.Duration) Option {
	return func(m *Mirror) { m.readers, m.readerDelay = r, delay }
}

const (
	// maxFailedAppoints is how often a node that starts tries to become the reader. If the store
	// serves reads and no writes, it reads the store then all the same.
	maxFailedAppoints = 5
	// readerSettleTime is how long a node has followed the store, before it becomes the reader
	// in place of another.
	readerSettleTime = 5 * time.Second
)

// keepReader makes this node the reader of its data hall once it has followed a large store for
// some time, so that nodes that start find one that has a copy.
func (m *Mirror) keepReader(ctx context.Context) {
	if m.readers == nil || m.readers.Known().Address == m.readers.Self() || len(m.peers.Upstream()) > 0 || !m.isLarge() {
		m.readerDue = time.Time{}
		return
	}
	now := m.timers.Steady()
	if m.readerDue.IsZero() {
		m.readerDue = now.Add(readerSettleTime)
	}
	if now.Before(m.readerDue) {
		return
	}
	m.readerDue = now.Add(readerSettleTime)
	done, err := m.readers.Appoint(ctx, m.readers.Known())
	slog.Info("this node passes on the copy of the store to nodes that start", "appointed", done, "error", err)
}

// startLarge gets the first copy of a large store: from the reader of the data hall, or from
// those that have got it from there. If no reader helps, this node becomes it.
func (m *Mirror) startLarge(ctx context.Context, reader HallReader) error {
	var holders []string
	for ctx.Err() == nil && reader.Address != m.readers.Self() && m.failedAppoints < maxFailedAppoints {
		if reader.Address != "" {
			holders = addHolders(holders, reader.Address)
		}
		var copied bool
		if holders, copied = m.copyFrom(ctx, holders, peerWait); copied {
			return nil
		}
		next, err := m.replaceReader(ctx, reader)
		if err != nil {
			return err
		}
		reader = next
	}
	return m.readForHall(ctx)
}

// replaceReader replaces a reader that does not help, unless another node has done so, and returns
// the present one.
func (m *Mirror) replaceReader(ctx context.Context, useless HallReader) (HallReader, error) {
	m.pause(ctx, m.readerDelay/2+rand.N(m.readerDelay/2+1))
	now, err := m.readers.Current(ctx, true)
	if err != nil || now != useless {
		return now, err
	}
	done, err := m.readers.Appoint(ctx, now)
	if err != nil {
		m.failedAppoints++
		return HallReader{}, err
	}
	slog.Info("reader of the data hall does not help", "reader", useless.Address, "appointed_instead", done)
	if done {
		return HallReader{Address: m.readers.Self()}, nil
	}
	return m.readers.Current(ctx, true)
}

// readForHall gets the first copy for the nodes that wait for this one: from a node that has one
// already, or from the store.
func (m *Mirror) readForHall(ctx context.Context) error {
	m.reading.Store(true)
	defer m.reading.Store(false)
	if m.askSources(ctx, m.peers.Sources(ctx)) {
		return nil
	}
	return m.readWhole(ctx)
}
