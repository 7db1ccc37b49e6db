package suspect_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/timer"
)

// watchDelay is how long a change in the store takes to reach a node.
const watchDelay = time.Second

// fakeStore is a store with leases, and holds all nodes that watch it.
type fakeStore struct {
	mu          sync.Mutex
	unavailable bool
	items       map[string]mirror.Item
	expiry      map[int64]time.Time
	revision    int64
	calls       int
	nodes       []*node
}

type node struct {
	*suspect.Detector
	*suspect.Syncer
	s    *fakeStore
	stop context.CancelFunc

	mu    sync.Mutex
	local map[string]mirror.Item
}

func (n *node) Get(key string) (mirror.Item, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	item, ok := n.local[key]
	return item, ok
}

// handle schedules the writes that a change asks for.
func (n *node) handle(change suspect.Change) {
	for _, f := range slices.Concat(change.Refused, change.Withdrawn, change.Contested) {
		n.ScheduleWrite(f, n.HasOwnLoss(f) || !n.Refuses(f))
	}
}

// receive applies a change of the store to the node.
func (n *node) receive(item mirror.Item) {
	n.mu.Lock()
	if item.Deleted {
		delete(n.local, item.Key)
	} else {
		n.local[item.Key] = item
	}
	n.mu.Unlock()
	n.Apply(mirror.Change{Item: item})
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: make(map[string]mirror.Item), expiry: make(map[int64]time.Time)}
}

// start starts a node that has received all entries of the store.
func (s *fakeStore) start(ctx context.Context) *node {
	ctx, stop := context.WithCancel(ctx)
	timers := timer.New()
	n := &node{Detector: suspect.New(timers), s: s, stop: stop, local: make(map[string]mirror.Item)}
	n.Syncer = suspect.NewSyncer(n.Detector, s, n, s.nodeCount, timers, n.handle)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = append(s.nodes, n)
	for _, item := range s.items {
		n.receive(item)
	}
	go n.Run(ctx)
	return n
}

// put writes or deletes an entry, and sends the change to all nodes after watchDelay. The
// caller holds mu.
func (s *fakeStore) put(item mirror.Item) {
	s.revision++
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	for _, n := range s.nodes {
		time.AfterFunc(watchDelay, func() { n.receive(item) })
	}
}

var errUnavailable = errors.New("the store is unavailable")

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return 0, errUnavailable
	}
	lease := int64(len(s.expiry) + 1)
	s.expiry[lease] = time.Now().Add(ttl)
	time.AfterFunc(ttl, func() { s.expire(lease) })
	return lease, nil
}

// expire deletes the entries of a lease if it has expired.
func (s *fakeStore) expire(lease int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.expiry[lease]) {
		return
	}
	for key, item := range s.items {
		if item.Lease == lease {
			s.put(mirror.Item{Key: key, Deleted: true})
		}
	}
}

func (s *fakeStore) SwapLeased(_ context.Context, key string, data []byte, expected, lease int64) (int64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return 0, false, errUnavailable
	}
	if s.items[key].Revision != expected {
		return 0, false, nil
	}
	s.put(mirror.Item{Key: key, Value: data, Lease: lease})
	return s.revision, true, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, lease int64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiry[lease] = time.Now().Add(suspect.Retention)
	time.AfterFunc(suspect.Retention, func() { s.expire(lease) })
	return true, nil
}

// takeCalls returns the number of writing calls since it was last called.
func (s *fakeStore) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.calls = 0 }()
	return s.calls
}

func (s *fakeStore) nodeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.nodes)
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// crashUnder lets three servers crash under a request. One node observes the losses, and
// the others learn of them.
func (s *fakeStore) crashUnder(f suspect.Features, observer *node) {
	for range 3 {
		s.mu.Lock()
		s.revision++ // a new server hash
		server, nodes := uint64(s.revision), s.nodes
		s.mu.Unlock()
		for _, n := range nodes {
			change, _ := n.RecordLoss(suspect.Loss{Features: f, Server: server, Own: n == observer})
			n.handle(change)
		}
		time.Sleep(time.Second)
	}
}

// withNodes runs a test with a store and some nodes, in a time bubble of its own.
func withNodes(t *testing.T, nodes int, run func(ctx context.Context, s *fakeStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newFakeStore()
		for range nodes {
			s.start(ctx)
		}
		run(ctx, s)
		stop()
		time.Sleep(time.Hour) // whatever was to expire
		synctest.Wait()
	})
}

// TestVerdictIsWrittenOnce: when many nodes reach a verdict, the store gets one grant and one
// write, and a node that starts later refuses the request.
func TestVerdictIsWrittenOnce(t *testing.T) {
	withNodes(t, 100, func(ctx context.Context, s *fakeStore) {
		s.crashUnder(content(1), s.nodes[7])
		time.Sleep(time.Minute)
		must.Eq(t, 2, s.takeCalls())
		must.True(t, s.start(ctx).Refuses(1))
		must.False(t, s.start(ctx).Refuses(2))
	})
}

// TestVerdictAfterOutage: the store is unavailable when a verdict is reached, and the node
// that observed the last loss stops. The others write the verdict once the store is back,
// and call it at a bounded rate until then.
func TestVerdictAfterOutage(t *testing.T) {
	withNodes(t, 100, func(ctx context.Context, s *fakeStore) {
		s.setUnavailable(true)
		s.crashUnder(content(1), s.nodes[7])
		s.nodes[7].stop()
		s.takeCalls()
		time.Sleep(time.Minute)
		must.LessEq(t, 2*60, s.takeCalls(), must.Sprint("at most two calls a second from all nodes together"))
		s.setUnavailable(false)
		time.Sleep(20 * time.Second)
		must.True(t, s.start(ctx).Refuses(1))
		must.LessEq(t, 20, s.takeCalls(), must.Sprint("only few nodes write before they learn of the first entry"))
	})
}

// TestVerdictsAreBounded: a client that crashes servers with many different requests makes
// the nodes write a bounded number of entries.
func TestVerdictsAreBounded(t *testing.T) {
	withNodes(t, 3, func(_ context.Context, s *fakeStore) {
		for digest := range uint64(150) {
			s.crashUnder(content(digest+1), s.nodes[0])
		}
		must.MapLen(t, 48, s.items)
		must.LessEq(t, 2*48, s.takeCalls())
		must.True(t, s.nodes[0].Refuses(150))
	})
}

// TestVerdictsOnPartsAreStored: there is room for verdicts on prompt parts, though clients have
// crashed servers with many contents before, and it is bounded as well.
func TestVerdictsOnPartsAreStored(t *testing.T) {
	withNodes(t, 3, func(_ context.Context, s *fakeStore) {
		for digest := range uint64(60) {
			s.crashUnder(content(digest+1), s.nodes[0])
		}
		for part := range suspect.Feature(20) {
			for request := range suspect.Feature(2) {
				s.crashUnder(suspect.Features{1_000 + part, 2_000 + 2*part + request}, s.nodes[0])
			}
		}
		must.MapLen(t, 64, s.items)
		must.LessEq(t, 2*64, s.takeCalls())
		must.True(t, s.nodes[0].Refuses(1_019))
	})
}

// TestVerdictExpires: the request is no longer sent, so its verdict is dropped.
func TestVerdictExpires(t *testing.T) {
	withNodes(t, 3, func(ctx context.Context, s *fakeStore) {
		s.crashUnder(content(1), s.nodes[0])
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

// TestVerdictOutlivesLease: the entry expires during an outage of the store, and the nodes
// that still have the evidence write it again.
func TestVerdictOutlivesLease(t *testing.T) {
	withNodes(t, 3, func(ctx context.Context, s *fakeStore) {
		s.crashUnder(content(1), s.nodes[0])
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		clear(s.expiry)
		s.mu.Unlock()
		s.expire(1)
		time.Sleep(10 * time.Second)
		must.True(t, s.start(ctx).Refuses(1))
	})
}

// TestWithdrawnVerdict: a server turns out to be running, and all nodes withdraw the verdict,
// also those that have no evidence of their own.
func TestWithdrawnVerdict(t *testing.T) {
	withNodes(t, 3, func(ctx context.Context, s *fakeStore) {
		s.crashUnder(content(1), s.nodes[0])
		next := s.start(ctx)
		time.Sleep(5 * time.Second)
		must.True(t, next.Refuses(1))
		change := s.nodes[0].ServerResponded(1, 0, time.Hour)
		must.Eq(t, []suspect.Feature{1}, change.Withdrawn)
		s.nodes[0].handle(change)
		time.Sleep(5 * time.Second)
		for i, n := range s.nodes {
			must.False(t, n.Refuses(1), must.Sprint(i))
		}
	})
}

// TestInvalidEntriesIgnored: invalid keys and values change nothing, and unknown fields
// are ignored.
func TestInvalidEntriesIgnored(t *testing.T) {
	withNodes(t, 1, func(_ context.Context, s *fakeStore) {
		n := s.nodes[0]
		for _, key := range []string{"", "x", "00000000000000001", "-1", "1/2"} {
			n.receive(mirror.Item{Key: suspect.KeyPrefix + key, Value: []byte(`{"refused":true}`)})
		}
		for _, value := range []string{"", "[]", "1", `{"refused":1}`, `{"refused":true,"tests":"x"}`} {
			n.receive(mirror.Item{Key: suspect.KeyPrefix + suspect.Feature(1).String(), Value: []byte(value)})
		}
		must.False(t, n.Refuses(1))
		n.receive(mirror.Item{Key: suspect.KeyPrefix + suspect.Feature(1).String(), Value: []byte(`{"refused":true,"more":1}`)})
		must.True(t, n.Refuses(1))
	})
}

// TestWrongVerdictWithdrawnByProbe: one of all nodes sends a wrongly refused request again
// after a minute; when it is answered, no node refuses it any more.
func TestWrongVerdictWithdrawnByProbe(t *testing.T) {
	withNodes(t, 20, func(ctx context.Context, s *fakeStore) {
		s.crashUnder(content(1), s.nodes[0])
		time.Sleep(2 * time.Minute)
		probes := 0
		for i, n := range s.nodes {
			if n.Probe(ctx, 1) {
				probes++
				answer := n.RecordAnswer(content(1), 0)
				must.Eq(t, []suspect.Feature{1}, answer.Withdrawn, must.Sprint(i))
				n.handle(answer.Change)
			}
		}
		must.Eq(t, 1, probes)
		time.Sleep(5 * time.Second)
		for i, n := range s.nodes {
			must.False(t, n.Refuses(1), must.Sprint(i))
		}
	})
}

// TestVerdictKeptByFailedProbes: a request that keeps crashing its servers and is sent
// continually is probed more and more rarely, however often the nodes are replaced.
func TestVerdictKeptByFailedProbes(t *testing.T) {
	withNodes(t, 5, func(ctx context.Context, s *fakeStore) {
		s.crashUnder(content(1), s.nodes[0])
		crashes := []time.Duration{}
		start := time.Now()
		for second := range 3600 {
			time.Sleep(time.Second)
			n := s.nodes[second%len(s.nodes)]
			if n.Probe(ctx, 1) {
				crashes = append(crashes, time.Since(start).Round(time.Minute))
				n.RecordLoss(suspect.Loss{Features: content(1), Server: uint64(1_000_000 + second), Own: true})
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
		must.LessEq(t, 3, len(crashes), must.Sprint(fmt.Sprint(crashes)))
	})
}
