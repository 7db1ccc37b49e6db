package mirror_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/mirror"
)

// TestChangeBetweenPages: a snapshot is read in pages and has the revision of the first
// one, so a later page may contain a change after that revision, or lack a key that was
// deleted after it. The watch then returns that change again. If the node ignores it as
// known and does not pass it on, a peer that is at the revision of the first page moves
// on to the next revision without the change and never learns of it.
func TestChangeBetweenPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := newEnv(t)
		const first = 5
		before := mirror.Batch{Revision: first, Snapshot: true, Items: []mirror.Item{
			{Key: "declaration", Value: []byte("old"), Revision: 2},
			{Key: "server", Value: []byte("here"), Revision: 3},
		}}
		between := []mirror.Item{
			{Key: "declaration", Value: []byte("new"), Revision: first + 1},
			{Key: "server", Revision: first + 2, Deleted: true},
		}
		reader := &pagedStore{
			snapshot: mirror.Batch{Revision: first, Snapshot: true, Items: between[:1]},
			changes:  mirror.Batch{Revision: first + 2, Items: between},
		}
		upstream := mirror.New(reader, &peers{}, timers)
		follower := mirror.New(&pagedStore{snapshot: before}, &peers{mirrors: []*mirror.Mirror{upstream}, upstream: []string{"0"}}, timers)
		go follower.Run(ctx)
		advance(100 * time.Millisecond)
		must.Eq(t, first, follower.Revision())

		go upstream.Run(ctx)
		advance(time.Second)
		reader.release()
		advance(time.Second)

		must.Eq(t, first+2, follower.Revision())
		item, _ := follower.Get("declaration")
		must.Eq(t, "new", string(item.Value))
		_, ok := follower.Get("server")
		must.False(t, ok)
	})
}

// pagedStore responds with a snapshot and, once released, one watch with changes.
type pagedStore struct {
	snapshot, changes mirror.Batch

	mu       sync.Mutex
	released bool
}

func (s *pagedStore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = true
}

func (s *pagedStore) ReadAll(context.Context) (mirror.Batch, error) { return s.snapshot, nil }

func (s *pagedStore) ReadStart(ctx context.Context) (mirror.Batch, bool, error) {
	b, err := s.ReadAll(ctx)
	return b, false, err
}

func (s *pagedStore) ReadRest(_ context.Context, start mirror.Batch) (mirror.Batch, error) {
	return start, nil
}

func (s *pagedStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	s.mu.Lock()
	released := s.released
	s.mu.Unlock()
	if released && after < s.changes.Revision {
		return s.changes, nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return mirror.Batch{Revision: after}, ctx.Err()
}
