package suspect_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/timer"
)

// learnTime is how late a node hears what the store holds.
const learnTime = time.Second

// fakeStore is a store with leases, and all nodes that follow it.
type fakeStore struct {
	mu       sync.Mutex
	away     bool
	items    map[string]mirror.Item
	lapses   map[int64]time.Time
	revision int64
	calls    int
	nodes    []*node
}

// node is one node.
type node struct {
	*suspect.Detector
	*suspect.Syncer
	s    *fakeStore
	stop context.CancelFunc

	mu    sync.Mutex
	known map[string]mirror.Item
}

func (n *node) Get(key string) (mirror.Item, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	item, ok := n.known[key]
	return item, ok
}

// take hears of a change.
func (n *node) take(item mirror.Item) {
	n.mu.Lock()
	if item.Deleted {
		delete(n.known, item.Key)
	} else {
		n.known[item.Key] = item
	}
	n.mu.Unlock()
	n.Apply(mirror.Change{Item: item})
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: make(map[string]mirror.Item), lapses: make(map[int64]time.Time)}
}

// start starts a node, which knows at once what the store holds.
func (s *fakeStore) start(ctx context.Context) *node {
	ctx, stop := context.WithCancel(ctx)
	timers := timer.New()
	n := &node{Detector: suspect.New(timers), s: s, stop: stop, known: make(map[string]mirror.Item)}
	n.Syncer = suspect.NewSyncer(n.Detector, s, n, s.size, timers)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = append(s.nodes, n)
	for _, item := range s.items {
		n.take(item)
	}
	go n.Run(ctx)
	return n
}

// tell lets all nodes hear of a change, later. The caller holds mu.
func (s *fakeStore) tell(item mirror.Item) {
	s.revision++
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	for _, n := range s.nodes {
		time.AfterFunc(learnTime, func() { n.take(item) })
	}
}

var errAway = errors.New("the store is away")

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return 0, errAway
	}
	lease := int64(len(s.lapses) + 1)
	s.lapses[lease] = time.Now().Add(ttl)
	time.AfterFunc(ttl, func() { s.lapse(lease) })
	return lease, nil
}

// lapse ends a lease whose time is over.
func (s *fakeStore) lapse(lease int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.lapses[lease]) {
		return
	}
	for key, item := range s.items {
		if item.Lease == lease {
			s.tell(mirror.Item{Key: key, Deleted: true})
		}
	}
}

func (s *fakeStore) SwapLeased(_ context.Context, key string, data []byte, expected, lease int64) (int64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return 0, false, errAway
	}
	if s.items[key].Revision != expected {
		return 0, false, nil
	}
	s.tell(mirror.Item{Key: key, Value: data, Lease: lease})
	return s.revision, true, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, lease int64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapses[lease] = time.Now().Add(suspect.Retention)
	time.AfterFunc(suspect.Retention, func() { s.lapse(lease) })
	return true, nil
}

// called returns how many writing calls there were since the last time.
func (s *fakeStore) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.calls = 0 }()
	return s.calls
}

func (s *fakeStore) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.nodes)
}

func (s *fakeStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// endUnder lets three servers end under a request; the losses are seen by one node
// and heard of by the others.
func (s *fakeStore) endUnder(digest uint64, seen *node) {
	for range 3 {
		s.mu.Lock()
		s.revision++ // names the server
		server, nodes := uint64(s.revision), s.nodes
		s.mu.Unlock()
		for _, n := range nodes {
			if finding, _ := n.RecordLoss(digest, server, 0); finding == suspect.FindingVerdict {
				n.ScheduleWrite(digest, n == seen)
			}
		}
		time.Sleep(time.Second)
	}
}

// withNodes runs a test with a store and some nodes, in its own time.
func withNodes(t *testing.T, nodes int, play func(ctx context.Context, s *fakeStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newFakeStore()
		for range nodes {
			s.start(ctx)
		}
		play(ctx, s)
		stop()
		time.Sleep(time.Hour) // whatever was to lapse
		synctest.Wait()
	})
}

// TestVerdictIsWrittenOnce: of many nodes that reach a verdict one tells the store, a
// grant and a write, and a node that starts goes by it.
func TestVerdictIsWrittenOnce(t *testing.T) {
	withNodes(t, 100, func(ctx context.Context, s *fakeStore) {
		s.endUnder(1, s.nodes[7])
		time.Sleep(time.Minute)
		must.Eq(t, 2, s.called())
		must.True(t, s.start(ctx).Refuses(1))
		must.False(t, s.start(ctx).Refuses(2))
	})
}

// TestVerdictAfterOutage: the store is away when a verdict is reached, and the node that
// has seen the last loss ends; the others tell the store once it is back. They don't
// press it meanwhile.
func TestVerdictAfterOutage(t *testing.T) {
	withNodes(t, 100, func(ctx context.Context, s *fakeStore) {
		s.setAway(true)
		s.endUnder(1, s.nodes[7])
		s.nodes[7].stop()
		s.called()
		time.Sleep(time.Minute)
		must.LessEq(t, 2*60, s.called(), must.Sprint("two calls a second, however many nodes"))
		s.setAway(false)
		time.Sleep(20 * time.Second)
		must.True(t, s.start(ctx).Refuses(1))
		must.LessEq(t, 20, s.called(), must.Sprint("some write at once, before they hear of each other"))
	})
}

// TestVerdictsAreBounded: a client that ends servers under ever different requests makes
// the nodes write a bounded number of entries.
func TestVerdictsAreBounded(t *testing.T) {
	withNodes(t, 3, func(_ context.Context, s *fakeStore) {
		for digest := range uint64(150) {
			s.endUnder(digest+1, s.nodes[0])
		}
		must.MapLen(t, 64, s.items)
		must.LessEq(t, 2*64, s.called())
		must.True(t, s.nodes[0].Refuses(150))
	})
}

// TestVerdictLapses: nobody sends the request any more, and it is forgotten.
func TestVerdictLapses(t *testing.T) {
	withNodes(t, 3, func(ctx context.Context, s *fakeStore) {
		s.endUnder(1, s.nodes[0])
		next := s.start(ctx)
		time.Sleep(5 * time.Second)
		must.True(t, next.Refuses(1))
		for range 12 {
			time.Sleep(time.Minute)
			for _, n := range s.nodes {
				n.Review(nil)
			}
		}
		must.MapEmpty(t, s.items)
		for _, n := range s.nodes {
			must.False(t, n.Refuses(1))
		}
	})
}

// TestVerdictOutlivesLease: the entry lapses while the store is away, and the nodes that
// still have the evidence tell of it anew.
func TestVerdictOutlivesLease(t *testing.T) {
	withNodes(t, 3, func(ctx context.Context, s *fakeStore) {
		s.endUnder(1, s.nodes[0])
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		clear(s.lapses)
		s.mu.Unlock()
		s.lapse(1)
		time.Sleep(10 * time.Second)
		must.True(t, s.start(ctx).Refuses(1))
	})
}

// TestWithdrawnVerdict: a server turns out to go on, and all nodes hear of it, also those
// that have no evidence of their own.
func TestWithdrawnVerdict(t *testing.T) {
	withNodes(t, 3, func(ctx context.Context, s *fakeStore) {
		s.endUnder(1, s.nodes[0])
		next := s.start(ctx)
		time.Sleep(5 * time.Second)
		must.True(t, next.Refuses(1))
		withdrawn := s.nodes[0].ServerResponded(1, 0, time.Hour)
		must.Eq(t, []uint64{1}, withdrawn)
		s.nodes[0].ScheduleWrite(1, true)
		time.Sleep(5 * time.Second)
		for i, n := range s.nodes {
			must.False(t, n.Refuses(1), must.Sprint(i))
		}
	})
}

// TestForeignEntry: keys and values of other writers change nothing.
func TestForeignEntry(t *testing.T) {
	withNodes(t, 1, func(_ context.Context, s *fakeStore) {
		n := s.nodes[0]
		for _, key := range []string{"", "x", "00000000000000001", "-1", "1/2"} {
			n.take(mirror.Item{Key: suspect.KeyPrefix + key, Value: []byte(`{"refused":true}`)})
		}
		for _, value := range []string{"", "[]", "1", `{"refused":1}`, `{"refused":true,"tests":"x"}`} {
			n.take(mirror.Item{Key: suspect.KeyPrefix + suspect.FormatDigest(1), Value: []byte(value)})
		}
		must.False(t, n.Refuses(1))
		n.take(mirror.Item{Key: suspect.KeyPrefix + suspect.FormatDigest(1), Value: []byte(`{"refused":true,"more":1}`)})
		must.True(t, n.Refuses(1))
	})
}

// TestWrongVerdictIsFoundOut: a request that is refused wrongly is sent once more after a
// minute, by one node of all; its answer lets all have it.
func TestWrongVerdictIsFoundOut(t *testing.T) {
	withNodes(t, 20, func(ctx context.Context, s *fakeStore) {
		s.endUnder(1, s.nodes[0])
		time.Sleep(2 * time.Minute)
		tests := 0
		for i, n := range s.nodes {
			if n.Probe(ctx, 1) {
				tests++
				must.Eq(t, suspect.ClearedVerdict, n.RecordAnswer(1), must.Sprint(i))
				n.ScheduleWrite(1, true)
			}
		}
		must.Eq(t, 1, tests)
		time.Sleep(5 * time.Second)
		for i, n := range s.nodes {
			must.False(t, n.Refuses(1), must.Sprint(i))
		}
	})
}

// TestRightVerdictStands: a request that goes on to end its servers and comes all the time
// is sent more and more rarely, however often all processes are replaced.
func TestRightVerdictStands(t *testing.T) {
	withNodes(t, 5, func(ctx context.Context, s *fakeStore) {
		s.endUnder(1, s.nodes[0])
		ends := []time.Duration{}
		begun := time.Now()
		for second := range 3600 {
			time.Sleep(time.Second)
			n := s.nodes[second%len(s.nodes)]
			if n.Probe(ctx, 1) {
				ends = append(ends, time.Since(begun).Round(time.Minute))
				n.RecordLoss(1, uint64(1_000_000+second), 0)
			}
			must.True(t, n.Refuses(1), must.Sprint(second))
			if second%300 == 0 {
				s.nodes[0].stop()
				s.mu.Lock()
				s.nodes = s.nodes[1:]
				s.mu.Unlock()
				s.start(ctx)
			}
		}
		must.LessEq(t, 9, len(ends), must.Sprint(fmt.Sprint(ends)))
	})
}
