package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
)

// largeStore is a store whose snapshot is too large for ReadStart.
type largeStore struct {
	*fakeStore
	// readTime is how long the rest of a snapshot takes to arrive.
	readTime time.Duration

	mu    sync.Mutex
	rests int
}

func (s *largeStore) ReadStart(ctx context.Context) (mirror.Batch, bool, error) {
	b, err := s.ReadAll(ctx)
	b.Items = b.Items[:min(1, len(b.Items))]
	return b, true, err
}

func (s *largeStore) ReadRest(ctx context.Context, _ mirror.Batch) (mirror.Batch, error) {
	s.mu.Lock()
	s.rests++
	s.mu.Unlock()
	for end := time.Now().Add(s.readTime); time.Now().Before(end); {
		time.Sleep(chunkTime)
	}
	return s.ReadAll(ctx)
}

func (s *largeStore) restCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rests
}

// readerRecord is a store's record of the reader of a data hall.
type readerRecord struct {
	mu      sync.Mutex
	current mirror.HallReader
}

// nodeReaders is the record as one node reaches it.
type nodeReaders struct {
	*readerRecord
	self string
}

func (r nodeReaders) Self() string { return r.self }

func (r nodeReaders) Known() mirror.HallReader {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r nodeReaders) Current(context.Context, bool) (mirror.HallReader, error) { return r.Known(), nil }

func (r nodeReaders) Appoint(_ context.Context, instead mirror.HallReader) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Revision != instead.Revision {
		return false, nil
	}
	r.current = mirror.HallReader{Address: r.self, Revision: r.current.Revision + 1}
	return true, nil
}

// startingHall is a data hall whose nodes start together. Nodes that have a copy are listed.
type startingHall struct {
	store   *largeStore
	readers readerRecord
	// A snapshot takes transferTime. A node sends up to two at a time.
	transferTime time.Duration

	mu    sync.Mutex
	nodes []*mirror.Mirror
}

// startingPeers are the other nodes as node i reaches them.
type startingPeers struct {
	h *startingHall
	i int
}

func (p startingPeers) Addresses() []string { return nil }
func (p startingPeers) Upstream() []string  { return nil }

func (p startingPeers) Sources(context.Context) []string {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	var sources []string
	for i, m := range p.h.nodes {
		if i != p.i && m != nil && m.Revision() > 0 {
			sources = append(sources, fmt.Sprint(i))
		}
	}
	rand.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	return sources
}

func (p startingPeers) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	var i int
	if _, err := fmt.Sscan(address, &i); err != nil {
		return mirror.Batch{}, err
	}
	b, sent := p.h.nodes[i].Respond(ctx, fmt.Sprint(p.i), after, wait)
	if b.Snapshot {
		time.Sleep(p.h.transferTime)
	}
	sent(nil)
	return b, nil
}

// newStartingHall returns a data hall before a store with some keys, none of whose nodes runs.
func newStartingHall(size int) *startingHall {
	store := &largeStore{fakeStore: newStore(), readTime: 600 * time.Millisecond}
	for i := range 50 {
		store.put(fmt.Sprint("key-", i), false)
	}
	return &startingHall{store: store, transferTime: 120 * time.Millisecond, nodes: make([]*mirror.Mirror, size)}
}

// start starts a node.
func (h *startingHall) start(ctx context.Context, i int, timers *timer.Service) {
	m := mirror.New(h.store, startingPeers{h, i}, timers, mirror.WithHallReaders(nodeReaders{&h.readers, fmt.Sprint(i)}, 300*time.Millisecond))
	h.mu.Lock()
	h.nodes[i] = m
	h.mu.Unlock()
	go m.Run(ctx)
}

// TestStartTogether replays the start of a whole data hall before a large store: few nodes read
// it, however many start, and all have a copy within seconds. When each node read it, the store
// sent the square of the size of the deployment.
func TestStartTogether(t *testing.T) {
	for _, size := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				h := newStartingHall(size)
				for i := range size {
					h.start(ctx, i, timers)
				}
				advance(time.Duration(size)*30*time.Millisecond + 4*time.Second)
				for i, m := range h.nodes {
					must.Positive(t, m.Revision(), must.Sprintf("node %d", i))
				}
				must.LessEq(t, 60, h.store.restCount())
			})
		})
	}
}

// TestStartBesideOthers checks that a node that starts in a running data hall takes its copy from
// another node, and that it has all changes since.
func TestStartBesideOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timers := newEnv(t)
		h := newStartingHall(3)
		h.start(ctx, 0, timers)
		advance(2 * time.Second)
		rests := h.store.restCount()
		h.store.put("late", false)
		h.start(ctx, 1, timers)
		advance(500 * time.Millisecond)
		must.Eq(t, rests, h.store.restCount())
		_, ok := h.nodes[1].Get("late")
		must.True(t, ok)
		must.Less(t, time.Second, h.nodes[1].Age())
	})
}

// TestStartWithBadSources checks that a node whose sources have nothing to give, or give nothing
// in time, reads the store.
func TestStartWithBadSources(t *testing.T) {
	for name, follow := range map[string]func() (mirror.Batch, error){
		"no response":    func() (mirror.Batch, error) { return mirror.Batch{}, errors.New("unreachable") },
		"no copy either": func() (mirror.Batch, error) { return mirror.Batch{}, nil },
		"always busy":    func() (mirror.Batch, error) { return mirror.Batch{Busy: true}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				store := newStartingHall(1).store
				readers := nodeReaders{&readerRecord{current: mirror.HallReader{Address: "a", Revision: 1}}, "self"}
				m := mirror.New(store, badSources{follow}, timers, mirror.WithHallReaders(readers, 300*time.Millisecond))
				go m.Run(ctx)
				advance(10 * time.Second)
				must.Eq(t, store.revision, m.Revision())
				must.Eq(t, 1, store.restCount())
			})
		})
	}
}

// badSources are peers of which none helps.
type badSources struct {
	follow func() (mirror.Batch, error)
}

func (badSources) Addresses() []string { return nil }
func (badSources) Upstream() []string  { return nil }

func (badSources) Sources(context.Context) []string { return []string{"a", "b", "c", "d", "e"} }

func (s badSources) Follow(context.Context, string, int64, time.Duration) (mirror.Batch, error) {
	return s.follow()
}
