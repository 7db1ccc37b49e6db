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

// TestChangeBetweenPages: the whole is read in pages, and its revision is that of
// the first, so a later page may hold a change that came after this revision, or
// lack a key that went after it. The watch then tells of that change a second time.
// A node passed over what it had already and told its peers nothing of it: one that
// knew all up to the first page's revision went on to the next revision without the
// change, and never heard of it again.
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
		_, there := follower.Get("server")
		must.False(t, there)
	})
}

// pagedStore answers the whole and, once it has been told to, one watch with
// changes.
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

func (s *pagedStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	s.mu.Lock()
	told := s.released
	s.mu.Unlock()
	if told && after < s.changes.Revision {
		return s.changes, nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return mirror.Batch{Revision: after}, ctx.Err()
}
