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

// TestMirror lists what happens to the store between two changes, and looks
// at what a mirror beside a healthy peer then knows.
func TestMirror(t *testing.T) {
	tests := []struct {
		name   string
		before func(*fakeStore)
		// wholes is how often the whole is read.
		wholes int
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
				ctx, timers := run(t)
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
				settle(time.Second)
				must.Len(t, 2, seen)
				reads := own.reads
				tt.before(own)
				for _, s := range []*fakeStore{good, own} {
					s.put("a/1", true)
					s.put("a/3", false)
				}
				settle(1500*time.Millisecond + tt.late)
				must.Len(t, 4, seen, must.Sprint(seen))
				// Out of a whole, deletions come last.
				must.SliceContainsAll(t, []string{"a/1 true", "a/3 false"}, []string{
					fmt.Sprint(seen[2].Key, " ", seen[2].Deleted), fmt.Sprint(seen[3].Key, " ", seen[3].Deleted),
				})
				must.Len(t, 2, under(m, "a/"))
				must.Eq(t, 5, m.Revision())
				if tt.wholes > 0 && tt.late == 0 {
					must.Eq(t, tt.wholes-1, own.reads-reads)
				}
				must.Less(t, 4*time.Second, m.Age())
			})
		})
	}
}

// TestOlderWholeChangesNothing: a peer that lags behind must not take away
// what is known already.
func TestOlderWholeChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := run(t)
		lagging, own := newStore(), newStore()
		peer := mirror.New(lagging, &peers{}, timers)
		m := mirror.New(own, &peers{mirrors: []*mirror.Mirror{peer}}, timers)
		lagging.put("a", false)
		own.put("a", false)
		own.put("b", false)
		go peer.Run(ctx)
		go m.Run(ctx)
		settle(time.Second)
		own.set(errStore, false, false)
		settle(5 * time.Second)
		_, ok := m.Get("b")
		must.True(t, ok)
		must.Eq(t, 2, m.Revision())
	})
}

// TestPeerThatKnowsNothing: nodes that start while the store is silent ask each other. One
// that had heard nothing yet told of the greatest age there is; the time that the call took
// was added to it, and the sum was a time to come: whoever had asked was never in doubt
// of its news again.
func TestPeerThatKnowsNothing(t *testing.T) {
	for _, age := range []time.Duration{0, -time.Hour, math.MinInt64, math.MaxInt64 - 1, math.MaxInt64} {
		t.Run(fmt.Sprint("that tells ", age), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := run(t)
				store := newStore()
				store.put("a", false)
				store.set(errStore, false, false)
				p := &peers{mirrors: []*mirror.Mirror{mirror.New(newStore(), &peers{}, timers)}, tells: &age}
				m := mirror.New(store, p, timers)
				go m.Run(ctx)
				settle(2 * time.Second)
				must.GreaterEq(t, 0, m.After(0).Age, must.Sprint("what it tells others"))
				store.set(nil, false, false)
				settle(5 * time.Second)
				must.Between(t, 0, m.Age(), 2*time.Second)
				store.set(nil, true, false)
				settle(5 * time.Second)
				must.Between(t, 2*time.Second, m.Age(), time.Minute, must.Sprint("of news that grows old"))
			})
		})
	}
}

// TestSuspended: a machine was suspended, the steady clock had stood still, and its news
// seemed as young as before.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, _ := run(t)
		asleep := time.Duration(0)
		timers := timer.New(timer.WithSuspendedTime(func() time.Duration { return asleep }))
		defer timers.Close()
		store := newStore()
		store.put("a", false)
		m := mirror.New(store, &peers{}, timers)
		go m.Run(ctx)
		settle(time.Second)
		must.False(t, m.InDoubt())
		asleep = time.Minute
		must.True(t, m.InDoubt())
		must.GreaterEq(t, time.Minute, m.Age())
		must.GreaterEq(t, time.Minute, m.After(0).Age, must.Sprint("what peers are told"))
		m.Settle(ctx)
		must.False(t, m.InDoubt())
		must.Less(t, 2*time.Second, m.Age())
	})
}

// TestUpstream lists how a node's upstream may fail while the store serves the
// node, and what the node then calls.
func TestUpstream(t *testing.T) {
	tests := []struct {
		name string
		// fail makes the upstream useless after a second.
		fail func(upstreamStore *fakeStore, p *peers)
		// follows says that the node goes on without the store.
		follows bool
	}{
		{"nothing", func(*fakeStore, *peers) {}, true},
		{"does not answer", func(_ *fakeStore, p *peers) { p.set(errStore) }, false},
		{"is cut from the store", func(s *fakeStore, _ *peers) { s.set(errStore, false, false) }, false},
		{"is cut in silence", func(s *fakeStore, _ *peers) { s.set(nil, true, false) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := run(t)
				stored, own := newStore(), newStore()
				upstream := mirror.New(stored, &peers{}, timers)
				p := &peers{mirrors: []*mirror.Mirror{upstream}, upstream: []string{"0"}}
				m := mirror.New(own, p, timers)
				for _, s := range []*fakeStore{stored, own} {
					s.put("a", false)
				}
				go upstream.Run(ctx)
				settle(100 * time.Millisecond)
				go m.Run(ctx)
				settle(time.Second)
				must.Eq(t, 1, own.reads)
				must.Eq(t, 0, own.follows)
				tt.fail(stored, p)
				for _, s := range []*fakeStore{stored, own} {
					s.put("b", false)
				}
				// The change must be known 2 s later.
				settle(2 * time.Second)
				_, ok := m.Get("b")
				must.True(t, ok)
				settle(time.Second)
				must.Eq(t, tt.follows, own.follows == 0)
				must.Less(t, 3*time.Second, m.Age())
				// With the upstream back, the node follows it again.
				p.set(nil)
				stored.set(nil, false, false)
				settle(10 * time.Second)
				follows := own.follows
				settle(time.Minute)
				must.Eq(t, follows, own.follows)
			})
		})
	}
}

// TestSilentConnections: when every connection open now goes silent for good,
// while new ones work, a change made then is known everywhere 2 s later.
func TestSilentConnections(t *testing.T) {
	atMoments(t, 50*time.Millisecond, func(t *testing.T, after time.Duration) {
		ctx, timers := run(t)
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
		settle(5*time.Second + after)
		for i := range nodes {
			stores[i].line.silence()
			for j := range links[i].lines {
				links[i].lines[j].silence()
			}
		}
		for _, s := range stores {
			s.put("b", false)
		}
		settle(2 * time.Second)
		for i, node := range nodes {
			_, ok := node.Get("b")
			must.True(t, ok, must.Sprint("node ", i))
		}
	})
}

// TestStart: a node that starts while the store is silent has what its peers
// know at once.
func TestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := run(t)
		stored, own := newStore(), newStore()
		stored.put("a", false)
		peer := mirror.New(stored, &peers{}, timers)
		go peer.Run(ctx)
		settle(time.Second)
		own.set(nil, true, false)
		m := mirror.New(own, &peers{mirrors: []*mirror.Mirror{peer}}, timers)
		go m.Run(ctx)
		settle(100 * time.Millisecond)
		_, ok := m.Get("a")
		must.True(t, ok)
	})
}

// TestRegained: subscribers of the store's return are told before what lapsed
// in the outage, whether the store itself, the upstream, or any peer tells it;
// a short outage, in which nothing lapses, is none.
func TestRegained(t *testing.T) {
	tests := []struct {
		name string
		// back makes the news reach the node again.
		back     func(own, stored *fakeStore, p *peers)
		upstream []string
		outage   time.Duration
		want     []string
	}{
		{"by the store", func(own, _ *fakeStore, _ *peers) { own.set(nil, false, false) }, nil, 4 * time.Second, []string{"afalse", "regained", "atrue"}},
		{"by the upstream", func(_, stored *fakeStore, p *peers) { stored.set(nil, false, false); p.set(nil) }, []string{"0"}, 4 * time.Second, []string{"afalse", "regained", "atrue"}},
		{"by a peer", func(_, stored *fakeStore, p *peers) { stored.set(nil, false, false); p.set(nil) }, nil, 4 * time.Second, []string{"afalse", "regained", "atrue"}},
		{"short", func(own, _ *fakeStore, _ *peers) { own.set(nil, false, false) }, nil, time.Second, []string{"afalse", "atrue"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := run(t)
				own, stored := newStore(), newStore()
				peer := mirror.New(stored, &peers{}, timers)
				p := &peers{mirrors: []*mirror.Mirror{peer}, upstream: tt.upstream}
				p.set(errStore)
				m := mirror.New(own, p, timers)
				var order []string
				m.OnRegained(func() { order = append(order, "regained") })
				m.Subscribe("", func(c mirror.Change) { order = append(order, fmt.Sprint(c.Key, c.Deleted)) })
				for _, s := range []*fakeStore{own, stored} {
					s.put("a", false)
				}
				go peer.Run(ctx)
				go m.Run(ctx)
				settle(time.Second)
				for _, s := range []*fakeStore{own, stored} {
					s.set(errStore, false, false)
					s.put("a", true)
				}
				settle(tt.outage)
				tt.back(own, stored, p)
				settle(3 * time.Second)
				must.Eq(t, tt.want, order)
			})
		})
	}
}

// TestManyKeys: when thousands of servers announce themselves, a peer that is a
// little behind still gets changes, and not the whole.
func TestManyKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := run(t)
		own := newStore()
		m := mirror.New(own, &peers{}, timers)
		own.put("first", false)
		go m.Run(ctx)
		settle(time.Second)
		for i := range 5000 {
			own.put(fmt.Sprint("k", i), false)
		}
		settle(time.Second)
		must.False(t, m.After(1).Whole)
		must.Len(t, 5000, m.After(1).Items)
	})
}

// TestStartAsksTheStore: a node that starts while the store answers asks no
// peer for what the store tells.
func TestStartAsksTheStore(t *testing.T) {
	tests := []struct {
		name string
		// comes is how long the whole takes to come.
		comes time.Duration
	}{
		{"at once", 0},
		{"among the starts of a whole deployment", 400 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := run(t)
				stored, own := newStore(), newStore()
				stored.put("a", false)
				own.put("a", false)
				own.comes = tt.comes
				peer := mirror.New(stored, &peers{}, timers)
				go peer.Run(ctx)
				settle(time.Second)
				p := &peers{mirrors: []*mirror.Mirror{peer}}
				m := mirror.New(own, p, timers)
				go m.Run(ctx)
				settle(time.Second)
				must.Eq(t, 1, m.Revision())
				must.Eq(t, 0, p.asked())
			})
		})
	}
}

// TestAfter: a peer that is a little behind gets changes, one that is far
// behind the whole.
func TestAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := run(t)
		own := newStore()
		own.put("a", false)
		m := mirror.New(own, &peers{}, timers)
		go m.Run(ctx)
		settle(time.Second)
		for i := range 3000 {
			own.put(fmt.Sprint("k", i%10), false)
		}
		settle(time.Second)
		must.False(t, m.After(3000).Whole)
		must.Len(t, 1, m.After(3000).Items)
		must.True(t, m.After(1).Whole)
		must.Len(t, 11, m.After(1).Items)
		must.SliceEmpty(t, m.After(3001).Items)
	})
}
