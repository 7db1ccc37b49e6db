package mirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// sourcesAsked is how many sources are asked for a copy in one round.
	sourcesAsked = 4
	// busyPause is the time between two rounds while sources have copies to give but are busy.
	// A copy of some hundred kilobytes takes about as long over a link of 20 Mbit/s.
	busyPause = 150 * time.Millisecond
	// startPeerTime is how long a node that starts waits for a copy from busy sources, before it
	// reads the store after all.
	startPeerTime = 6 * time.Second
)

// start gets the first snapshot. A small one is read from the store. Of a large one only the
// beginning is, and the whole comes from another node of the data hall, if one has a copy: when
// a large deployment starts, its nodes would otherwise ask the store for the square of its size.
// The store's answers may be old, so the changes since follow before the snapshot counts.
func (m *Mirror) start(ctx context.Context) error {
	more := m.partial.Revision != 0
	if !more {
		var err error
		if more, err = m.readStart(ctx); err != nil {
			return err
		}
	}
	m.markStoreReachable()
	if more {
		if m.copyFromSource(ctx) {
			return nil
		}
		if err := m.readRest(ctx); err != nil {
			return err
		}
	}
	batch := m.partial
	m.partial = Batch{}
	changes, err := m.watch(ctx, batch.Revision, 0)
	if errorx.IsOfType(err, HistoryGone) {
		return m.readAll(ctx)
	}
	if err != nil {
		// Without the changes since, the snapshot is as old as any peer's in an outage.
		batch.Age = maxReportedAge
		m.accept(batch)
		return err
	}
	batch.Items = append(batch.Items, changes.Items...)
	batch.Revision, batch.Age = changes.Revision, changes.Age
	m.accept(batch)
	return nil
}

// readStart reads the first keys of the store, and reports whether there are more.
func (m *Mirror) readStart(ctx context.Context) (more bool, err error) {
	m.partial, err = m.read(ctx, "start", func(ctx context.Context) (b Batch, err error) {
		// A node that starts during an outage does not have to wait until the call to the
		// store times out.
		go m.queryPeersAfterDelay(ctx)
		b, more, err = m.store.ReadStart(ctx)
		return b, err
	})
	return more || m.partial.Revision != 0 && err != nil, err
}

// readRest reads the keys that readStart has left. What a call that fails has read is kept.
func (m *Mirror) readRest(ctx context.Context) error {
	start := m.partial
	rest, err := m.read(ctx, "rest", func(ctx context.Context) (Batch, error) { return m.store.ReadRest(ctx, start) })
	if len(rest.Items) >= len(start.Items) {
		m.partial = rest
	}
	return err
}

// read makes a call that reads the store, and logs how far it came.
func (m *Mirror) read(ctx context.Context, part string, call func(context.Context) (Batch, error)) (Batch, error) {
	batch, took, err := m.callWithBounds(ctx, m.readBounds(), call)
	m.notePatience(err)
	bytes := 0
	for _, item := range batch.Items {
		bytes += len(item.Value)
	}
	result := slog.Any("error", err)
	if err == nil {
		result = slog.Int64("revision", batch.Revision)
	} else {
		m.count(EventReadFailed)
	}
	slog.Info("read of the store", "part", part, "keys", len(batch.Items), "bytes", bytes, "took_ms", took.Milliseconds(), result)
	return batch, err
}

// copyFromSource takes the copy of another node of the data hall, and reports whether there was
// one. If no source has a copy, the node waits for a random part of the spread and looks once
// more, so that of nodes that start together only a few read the store.
func (m *Mirror) copyFromSource(ctx context.Context) bool {
	begun := m.timers.Steady()
	sources, spread := m.peers.Sources(ctx)
	listed := m.timers.Steady()
	slog.Info("sources of a copy listed", "count", len(sources), "took_ms", listed.Sub(begun).Milliseconds(), "spread_ms", spread.Milliseconds())
	for waited := false; ctx.Err() == nil; {
		known, busy := m.askSources(ctx, sources)
		switch {
		case known || m.Revision() > 0:
			slog.Info("copy taken from a source", "revision", m.Revision(), "took_ms", m.timers.Steady().Sub(listed).Milliseconds())
			return true
		case busy && m.timers.Steady().Sub(begun) < startPeerTime:
			m.pause(ctx, busyPause)
			next := min(sourcesAsked, len(sources))
			sources = append(sources[next:], sources[:next]...)
		case waited || busy:
			return false
		default:
			waited = true
			m.pause(ctx, max(time.Millisecond, spread/2+rand.N(spread/2+1)))
			sources, _ = m.peers.Sources(ctx)
		}
	}
	return false
}

// askSources asks some sources for a copy, one after the other. It reports whether one gave its
// copy, and whether one has a copy but is busy.
func (m *Mirror) askSources(ctx context.Context, sources []string) (known, busy bool) {
	for _, address := range sources[:min(sourcesAsked, len(sources))] {
		batch, err := m.callPeer(ctx, address, 0)
		switch {
		case err != nil || batch.Revision == 0 && !batch.Busy:
		case batch.Busy:
			busy = true
		default:
			m.accept(batch)
			return true, false
		}
	}
	return false, busy
}
