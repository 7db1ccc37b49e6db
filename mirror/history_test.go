package mirror_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/mirror"
)

// forgetfulStore is a store that keeps no changes up to a revision.
type forgetfulStore struct {
	*fakeStore
	keptAfter atomic.Int64
}

func (s *forgetfulStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	if after < s.keptAfter.Load() {
		return mirror.Batch{}, errs.New(mirror.HistoryGone, "follow", "gone")
	}
	return s.fakeStore.Follow(ctx, after, wait)
}

// TestHistoryOfLargeStoreGone replays a large store that loses its history while its first
// follower is slow: the nodes behind that one wait for it instead of each reading a snapshot, and
// get what has changed and not a snapshot. With 984 nodes each read 55 pages at once, and the store
// answered nobody.
func TestHistoryOfLargeStoreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := newEnv(t)
		store := &forgetfulStore{fakeStore: newStore()}
		for i := range 10_000 {
			store.put(fmt.Sprint("key-", i), false)
		}
		root := mirror.New(store, &peers{}, timers)
		go root.Run(ctx)
		advance(time.Second)
		p := &peers{mirrors: []*mirror.Mirror{root}, upstream: []string{"0"}}
		const followers = 20
		var nodes []*mirror.Mirror
		for range followers {
			m := mirror.New(store, p, timers)
			go m.Run(ctx)
			nodes = append(nodes, m)
		}
		advance(2 * time.Second)
		reads := store.reads
		before := root.Revision()
		store.put("new", false)
		store.put("key-7", true)
		store.transferTime = 1200 * time.Millisecond
		store.keptAfter.Store(before + 2)
		advance(5 * time.Second)
		for i, m := range nodes {
			_, known := m.Get("new")
			must.True(t, known, must.Sprintf("node %d", i))
			_, deleted := m.Get("key-7")
			must.False(t, deleted)
		}
		must.False(t, root.ChangesAfter(before).Snapshot)
		must.LessEq(t, 2, store.reads-reads)
	})
}
