package mirror_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/mirror"
)

// TestSnapshotsAtOnce checks that a node sends only a few snapshots at a time, and tells others
// that it is busy, and who has got one. A node whose 196 followers asked for one at once ran out
// of memory.
func TestSnapshotsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := newEnv(t)
		store := newStore()
		for i := range 200 {
			store.put(fmt.Sprint("key-", i), false)
		}
		m := mirror.New(store, &peers{}, timers, mirror.WithFanOut(8))
		go m.Run(ctx)
		advance(time.Second)
		give := func(peer string) (sent func(error)) {
			b, sent := m.Respond(ctx, peer, 0, 0)
			must.True(t, b.Snapshot)
			must.Len(t, 200, b.Items)
			return sent
		}
		first, second := give("first"), give("second")
		for range 20 {
			b, _ := m.Respond(ctx, "other", 0, 0)
			must.True(t, b.Busy)
			must.SliceEmpty(t, b.Items)
			must.SliceEmpty(t, b.Holders)
		}
		first(nil)
		second(errStore)
		give("third")
		give("fourth")
		b, _ := m.Respond(ctx, "other", 0, 0)
		must.True(t, b.Busy)
		must.Eq(t, []string{"first"}, b.Holders)
	})
}

// TestTurnOfLostPeerEnds: peers that lose power while they get a snapshot never end their
// connections. Their turns end all the same, so that others get snapshots.
func TestTurnOfLostPeerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := newEnv(t)
		store := newStore()
		store.put("a", false)
		m := mirror.New(store, &peers{}, timers, mirror.WithFanOut(8))
		go m.Run(ctx)
		advance(time.Second)
		for i := range 2 {
			b, _ := m.Respond(ctx, fmt.Sprint("lost-", i), 0, 0)
			must.True(t, b.Snapshot)
		}
		b, _ := m.Respond(ctx, "other", 0, time.Second)
		must.True(t, b.Busy)
		must.SliceEmpty(t, b.Holders)
		advance(6 * time.Second)
		b, sent := m.Respond(ctx, "other", 0, time.Second)
		must.True(t, b.Snapshot)
		sent(nil)
	})
}

// TestFirstNodeBecomesReader checks that the node that follows a large store names itself the
// reader of its data hall, and that nobody does so for a small one.
func TestFirstNodeBecomesReader(t *testing.T) {
	for name, tt := range map[string]struct {
		keys int
		want string
	}{"many keys": {1100, "first"}, "few keys": {50, ""}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				store := newStore()
				for i := range tt.keys {
					store.put(fmt.Sprint("key-", i), false)
				}
				record := &readerRecord{}
				first := mirror.New(store, &peers{}, timers, mirror.WithHallReaders(nodeReaders{record, "first"}, time.Second))
				go first.Run(ctx)
				follower := mirror.New(store, &peers{mirrors: []*mirror.Mirror{first}, upstream: []string{"0"}}, timers,
					mirror.WithHallReaders(nodeReaders{record, "follower"}, time.Second))
				go follower.Run(ctx)
				advance(10 * time.Second)
				must.Eq(t, tt.want, nodeReaders{record, ""}.Known().Address)
			})
		})
	}
}
