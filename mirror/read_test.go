package mirror_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/progress"
	"github.com/violettally/violettally/mirror"
)

// slowPages is a store whose pages come one by one after a pause each. A read is cut off after
// some pages.
type slowPages struct {
	*fakeStore
	keys, pagesPerRead int
	pause              time.Duration
}

func (s *slowPages) ReadStart(ctx context.Context) (mirror.Batch, bool, error) {
	b, err := s.readPages(ctx, mirror.Batch{}, 1)
	return b, true, err
}

func (s *slowPages) ReadRest(ctx context.Context, start mirror.Batch) (mirror.Batch, error) {
	return s.readPages(ctx, start, s.pagesPerRead)
}

// readPages reads so many pages of one key each.
func (s *slowPages) readPages(ctx context.Context, b mirror.Batch, pages int) (mirror.Batch, error) {
	b.Snapshot, b.Revision = true, int64(s.keys)
	for range pages {
		select {
		case <-time.After(s.pause):
			progress.Report(ctx)
		case <-ctx.Done():
			return b, context.Cause(ctx)
		}
		key := fmt.Sprintf("key-%02d", len(b.Items))
		b.Items = append(b.Items, mirror.Item{Key: key, Revision: int64(len(b.Items) + 1)})
		if len(b.Items) == s.keys {
			return b, nil
		}
	}
	if pages == 1 {
		return b, nil // the start
	}
	<-ctx.Done()
	return b, context.Cause(ctx)
}

// TestReadGoesOn: a store over a full link sends pages that come more than 0.3 s apart, and some
// reads get only a few of them. A read that began anew each time never ended.
func TestReadGoesOn(t *testing.T) {
	for name, store := range map[string]*slowPages{
		"pages far apart": {keys: 10, pagesPerRead: 10, pause: 700 * time.Millisecond},
		"few pages":       {keys: 10, pagesPerRead: 3, pause: 100 * time.Millisecond},
		"very late pages": {keys: 3, pagesPerRead: 3, pause: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				store.fakeStore = newStore()
				store.revision = int64(store.keys)
				m := mirror.New(store, &peers{}, timers)
				go m.Run(ctx)
				advance(30 * time.Second)
				must.Eq(t, int64(store.keys), m.Revision())
				must.Len(t, store.keys, under(m, "key-"))
			})
		})
	}
}

// TestStoreBackAfterSilence: the first node of a data hall has asked a silent store for long. It
// must not have become so patient that it learns of the store's return only seconds later.
func TestStoreBackAfterSilence(t *testing.T) {
	atOffsets(t, 100*time.Millisecond, func(t *testing.T, after time.Duration) {
		ctx, timers := newEnv(t)
		store := newStore()
		store.put("a", false)
		m := mirror.New(store, &peers{}, timers)
		go m.Run(ctx)
		advance(time.Second)
		store.set(nil, true, false)
		advance(20*time.Second + after)
		store.set(nil, false, false)
		store.put("b", false)
		advance(propagationLimit)
		_, ok := m.Get("b")
		must.True(t, ok)
	})
}
