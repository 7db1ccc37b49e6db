package mirror

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/internal/progress"
)

const (
	// minPatience is how long a read of a snapshot may pause, also before its first bytes arrive.
	// At a node that starts it doubles, up to maxPatience, with each read that is given up, since
	// what fills the store's link may be reads that others begin anew. A node that has a copy stays
	// impatient, so that it notices soon when a silent store is back.
	minPatience = time.Second
	maxPatience = 8 * time.Second
	// readTotal bounds a snapshot that keeps arriving, page by page: of 20,000 servers it
	// takes some seconds over a link of 20 Mbit/s.
	readTotal = 30 * time.Second
)

// readStart reads the first keys of the store, and reports whether there are more.
func (m *Mirror) readStart(ctx context.Context) (more bool, err error) {
	m.partial, err = m.read(ctx, "start", func(ctx context.Context) (b Batch, err error) {
		go m.queryPeersAfterDelay(ctx)
		b, more, err = m.store.ReadStart(ctx)
		return b, err
	})
	if err == nil {
		m.markStoreReachable()
	}
	return more, err
}

// readWhole reads the keys that readStart has left. What a call that fails has read is kept.
func (m *Mirror) readWhole(ctx context.Context) error {
	start := m.partial
	rest, err := m.read(ctx, "rest", func(ctx context.Context) (Batch, error) { return m.store.ReadRest(ctx, start) })
	if len(rest.Items) >= len(start.Items) {
		m.partial = rest
	}
	if err != nil {
		return err
	}
	return m.takeRead(ctx)
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

// takeRead takes the snapshot that was read. The store's answers may be old, so the changes since
// follow before the snapshot counts.
func (m *Mirror) takeRead(ctx context.Context) error {
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

// readAll reads a snapshot, from which deletions follow as well.
func (m *Mirror) readAll(ctx context.Context) error {
	batch, took, err := m.callWithBounds(ctx, m.readBounds(), m.store.ReadAll)
	m.notePatience(err)
	if err != nil {
		return err
	}
	batch.Age = took
	m.markStoreReachable()
	m.accept(batch)
	return nil
}

// readBounds returns the bounds of reading a snapshot from the store.
func (m *Mirror) readBounds() progress.Timeouts {
	m.mu.Lock()
	defer m.mu.Unlock()
	patience := minPatience
	if m.revision == 0 {
		patience = m.patience
	}
	return progress.Timeouts{FirstByte: patience, Idle: patience, Total: readTotal}
}

// notePatience lets the next read take longer if this one has timed out.
func (m *Mirror) notePatience(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.patience = minPatience
	case errors.Is(err, context.DeadlineExceeded):
		m.patience = min(maxPatience, 2*m.patience)
	}
}
