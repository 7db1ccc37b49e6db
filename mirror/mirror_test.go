package mirror_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
)

// TestMirror makes the store fail in several ways between two changes, and checks which
// changes a mirror with a healthy peer then has.
func TestMirror(t *testing.T) {
	tests := []struct {
		name   string
		before func(*fakeStore)
		// snapshots is how often a snapshot is read from the store.
		snapshots int
		// late is how much later than usual the change is known.
		late time.Duration
	}{
		{"nothing", func(*fakeStore) {}, 1, 0},
		{"history gone", func(s *fakeStore) { s.set(nil, false, true) }, 2, 0},
		{"store fails", func(s *fakeStore) { s.set(errStore, false, false) }, 0, 0},
		{"store is silent", func(s *fakeStore) { s.set(nil, true, false) }, 1, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				good, own := newStore(), newStore()
				peer := mirror.New(good, &peers{}, timers)
				m := mirror.New(own, &peers{mirrors: []*mirror.Mirror{peer}}, timers)
				var seen []mirror.Change
				m.Subscribe("a/", func(c mirror.Change) { seen = append(seen, c) })
				for _, s := range []*fakeStore{good, own} {
					s.put("a/1", false)
					s.put("a/2", false)
					s.put("b/1", false)
				}
				go peer.Run(ctx)
				go m.Run(ctx)
				advance(time.Second)
				must.Len(t, 2, seen)
				reads := own.reads
				tt.before(own)
				for _, s := range []*fakeStore{good, own} {
					s.put("a/1", true)
					s.put("a/3", false)
				}
				advance(1500*time.Millisecond + tt.late)
				must.Len(t, 4, seen, must.Sprint(seen))
				// In a snapshot, deletions come last.
				must.SliceContainsAll(t, []string{"a/1 true", "a/3 false"}, []string{
					fmt.Sprint(seen[2].Key, " ", seen[2].Deleted), fmt.Sprint(seen[3].Key, " ", seen[3].Deleted),
				})
				must.Len(t, 2, under(m, "a/"))
				must.Eq(t, 5, m.Revision())
				if tt.snapshots > 0 && tt.late == 0 {
					must.Eq(t, tt.snapshots-1, own.reads-reads)
				}
				must.Less(t, 4*time.Second, m.Age())
			})
		})
	}
}

// TestOlderSnapshotIgnored: a peer that is behind must not remove what is known
// already.
func TestOlderSnapshotIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := newEnv(t)
		lagging, own := newStore(), newStore()
		peer := mirror.New(lagging, &peers{}, timers)
		m := mirror.New(own, &peers{mirrors: []*mirror.Mirror{peer}}, timers)
		lagging.put("a", false)
		own.put("a", false)
		own.put("b", false)
		go peer.Run(ctx)
		go m.Run(ctx)
		advance(time.Second)
		own.set(errStore, false, false)
		advance(5 * time.Second)
		_, ok := m.Get("b")
		must.True(t, ok)
		must.Eq(t, 2, m.Revision())
	})
}

// TestEmptyPeer: nodes that start while the store is silent query each other. A peer
// without data reports the greatest possible age. If the time of the call is added
// without a bound, the sum overflows into the future, and the node that asked never
// again finds its copy too old.
func TestEmptyPeer(t *testing.T) {
	for _, age := range []time.Duration{0, -time.Hour, math.MinInt64, math.MaxInt64 - 1, math.MaxInt64} {
		t.Run(fmt.Sprint("that reports ", age), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				store := newStore()
				store.put("a", false)
				store.set(errStore, false, false)
				p := &peers{mirrors: []*mirror.Mirror{mirror.New(newStore(), &peers{}, timers)}, reportedAge: &age}
				m := mirror.New(store, p, timers)
				go m.Run(ctx)
				advance(2 * time.Second)
				must.GreaterEq(t, 0, m.ChangesAfter(0).Age, must.Sprint("the age reported to others"))
				store.set(nil, false, false)
				advance(5 * time.Second)
				must.Between(t, 0, m.Age(), 2*time.Second)
				store.set(nil, true, false)
				advance(5 * time.Second)
				must.Between(t, 2*time.Second, m.Age(), time.Minute, must.Sprint("the age of a copy that is not confirmed"))
			})
		})
	}
}

// TestSuspended: the monotonic clock stands still while a machine is suspended, and the
// copy must not seem as young as before.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, _ := newEnv(t)
		suspended := time.Duration(0)
		timers := timer.New(timer.WithSuspendedTime(func() time.Duration { return suspended }))
		defer timers.Close()
		store := newStore()
		store.put("a", false)
		m := mirror.New(store, &peers{}, timers)
		go m.Run(ctx)
		advance(time.Second)
		must.False(t, m.NeedsRefresh())
		suspended = time.Minute
		must.True(t, m.NeedsRefresh())
		must.GreaterEq(t, time.Minute, m.Age())
		must.GreaterEq(t, time.Minute, m.ChangesAfter(0).Age, must.Sprint("the age reported to peers"))
		m.AwaitRefresh(ctx)
		must.False(t, m.NeedsRefresh())
		must.Less(t, 2*time.Second, m.Age())
	})
}

// TestUpstreamFailures lists how an upstream may fail while the store serves the node,
// and whether the node then calls the store.
func TestUpstreamFailures(t *testing.T) {
	tests := []struct {
		name string
		// fail breaks the upstream after a second.
		fail func(upstreamStore *fakeStore, p *peers)
		// follows says that the node goes on without the store.
		follows bool
	}{
		{"nothing", func(*fakeStore, *peers) {}, true},
		{"does not respond", func(_ *fakeStore, p *peers) { p.set(errStore) }, false},
		{"is cut off from the store", func(s *fakeStore, _ *peers) { s.set(errStore, false, false) }, false},
		{"gets no response from the store", func(s *fakeStore, _ *peers) { s.set(nil, true, false) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				stored, own := newStore(), newStore()
				upstream := mirror.New(stored, &peers{}, timers)
				p := &peers{mirrors: []*mirror.Mirror{upstream}, upstream: []string{"0"}}
				m := mirror.New(own, p, timers)
				for _, s := range []*fakeStore{stored, own} {
					s.put("a", false)
				}
				go upstream.Run(ctx)
				advance(100 * time.Millisecond)
				go m.Run(ctx)
				advance(time.Second)
				must.Eq(t, 1, own.reads)
				must.Eq(t, 1, own.follows, must.Sprint("the changes since the read, which may be old"))
				tt.fail(stored, p)
				for _, s := range []*fakeStore{stored, own} {
					s.put("b", false)
				}
				// The change must be known 2 s later.
				advance(2 * time.Second)
				_, ok := m.Get("b")
				must.True(t, ok)
				advance(time.Second)
				must.Eq(t, tt.follows, own.follows == 1)
				must.Less(t, 3*time.Second, m.Age())
				// Once the upstream works again, the node follows it.
				p.set(nil)
				stored.set(nil, false, false)
				advance(10 * time.Second)
				follows := own.follows
				advance(time.Minute)
				must.Eq(t, follows, own.follows)
			})
		})
	}
}

// TestSilentConnections: all open connections go silent for good, while new ones work.
// A change made at that moment must be known everywhere 2 s later.
func TestSilentConnections(t *testing.T) {
	atOffsets(t, 50*time.Millisecond, func(t *testing.T, after time.Duration) {
		ctx, timers := newEnv(t)
		// The first node follows the store, the others follow it.
		var stores [4]*fakeStore
		var links [4]*peers
		var nodes [4]*mirror.Mirror
		for i := range nodes {
			stores[i], links[i] = newStore(), &peers{}
			nodes[i] = mirror.New(stores[i], links[i], timers)
			stores[i].put("a", false)
		}
		for i, node := range nodes {
			links[i].mirrors = nodes[:3]
			for j := range min(i, 3) {
				links[i].upstream = append(links[i].upstream, fmt.Sprint(j))
			}
			go node.Run(ctx)
		}
		advance(5*time.Second + after)
		for i := range nodes {
			stores[i].conn.silence()
			for j := range links[i].conns {
				links[i].conns[j].silence()
			}
		}
		for _, s := range stores {
			s.put("b", false)
		}
		advance(2 * time.Second)
		for i, node := range nodes {
			_, ok := node.Get("b")
			must.True(t, ok, must.Sprint("node ", i))
		}
	})
}

// TestStartDuringOutage: a node that starts while the store is silent gets the data of
// its peers at once.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := newEnv(t)
		stored, own := newStore(), newStore()
		stored.put("a", false)
		peer := mirror.New(stored, &peers{}, timers)
		go peer.Run(ctx)
		advance(time.Second)
		own.set(nil, true, false)
		m := mirror.New(own, &peers{mirrors: []*mirror.Mirror{peer}}, timers)
		go m.Run(ctx)
		advance(100 * time.Millisecond)
		_, ok := m.Get("a")
		must.True(t, ok)
	})
}

// TestOnStoreRecovered: the callbacks for the recovery of the store run before the
// deletion of entries that expired in the outage is delivered, whether that comes from
// the store, the upstream or any peer. A short outage, in which no entry expires, does
// not count.
func TestOnStoreRecovered(t *testing.T) {
	tests := []struct {
		name string
		// restore lets data reach the node again.
		restore  func(own, stored *fakeStore, p *peers)
		upstream []string
		outage   time.Duration
		want     []string
	}{
		{"from the store", func(own, _ *fakeStore, _ *peers) { own.set(nil, false, false) }, nil, 4 * time.Second, []string{"afalse", "recovered", "atrue"}},
		{"from the upstream", func(_, stored *fakeStore, p *peers) { stored.set(nil, false, false); p.set(nil) }, []string{"0"}, 4 * time.Second, []string{"afalse", "recovered", "atrue"}},
		{"from a peer", func(_, stored *fakeStore, p *peers) { stored.set(nil, false, false); p.set(nil) }, nil, 4 * time.Second, []string{"afalse", "recovered", "atrue"}},
		{"short outage", func(own, _ *fakeStore, _ *peers) { own.set(nil, false, false) }, nil, time.Second, []string{"afalse", "atrue"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				own, stored := newStore(), newStore()
				peer := mirror.New(stored, &peers{}, timers)
				p := &peers{mirrors: []*mirror.Mirror{peer}, upstream: tt.upstream}
				p.set(errStore)
				m := mirror.New(own, p, timers)
				var order []string
				m.OnStoreRecovered(func() { order = append(order, "recovered") })
				m.Subscribe("", func(c mirror.Change) { order = append(order, fmt.Sprint(c.Key, c.Deleted)) })
				for _, s := range []*fakeStore{own, stored} {
					s.put("a", false)
				}
				go peer.Run(ctx)
				go m.Run(ctx)
				advance(time.Second)
				for _, s := range []*fakeStore{own, stored} {
					s.set(errStore, false, false)
					s.put("a", true)
				}
				advance(tt.outage)
				tt.restore(own, stored, p)
				advance(3 * time.Second)
				must.Eq(t, tt.want, order)
			})
		})
	}
}

// TestManyKeys: when thousands of servers register, a peer that is a little behind
// still gets changes and not a snapshot.
func TestManyKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := newEnv(t)
		own := newStore()
		m := mirror.New(own, &peers{}, timers)
		own.put("first", false)
		go m.Run(ctx)
		advance(time.Second)
		for i := range 5000 {
			own.put(fmt.Sprint("k", i), false)
		}
		advance(time.Second)
		must.False(t, m.ChangesAfter(1).Snapshot)
		must.Len(t, 5000, m.ChangesAfter(1).Items)
	})
}

// TestStartPrefersStore: a node that starts while the store responds does not query
// peers.
func TestStartPrefersStore(t *testing.T) {
	tests := []struct {
		name string
		// transferTime is how long the snapshot takes to arrive.
		transferTime time.Duration
	}{
		{"at once", 0},
		{"while a whole deployment starts", 400 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				stored, own := newStore(), newStore()
				stored.put("a", false)
				own.put("a", false)
				own.transferTime = tt.transferTime
				peer := mirror.New(stored, &peers{}, timers)
				go peer.Run(ctx)
				advance(time.Second)
				p := &peers{mirrors: []*mirror.Mirror{peer}}
				m := mirror.New(own, p, timers)
				go m.Run(ctx)
				advance(time.Second)
				must.Eq(t, 1, m.Revision())
				must.Eq(t, 0, p.callCount())
			})
		})
	}
}

// TestChangesAfter: a peer that is a little behind gets changes, one that is far behind
// a snapshot.
func TestChangesAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := newEnv(t)
		own := newStore()
		own.put("a", false)
		m := mirror.New(own, &peers{}, timers)
		go m.Run(ctx)
		advance(time.Second)
		for i := range 3000 {
			own.put(fmt.Sprint("k", i%10), false)
		}
		advance(time.Second)
		must.False(t, m.ChangesAfter(3000).Snapshot)
		must.Len(t, 1, m.ChangesAfter(3000).Items)
		must.True(t, m.ChangesAfter(1).Snapshot)
		must.Len(t, 11, m.ChangesAfter(1).Items)
		must.SliceEmpty(t, m.ChangesAfter(3001).Items)
	})
}
