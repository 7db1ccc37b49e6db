package mirror_test

import (
	"context"
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

// propagationLimit is the time within which a node must know a change that the store
// has taken: the shortest such limit that deployments agree on.
const propagationLimit = 2 * time.Second

// TestUpstreamsGone: all upstreams of a data hall lose power at once, and the nodes
// that still reach the store must learn in time of a change made at that moment. If
// only each step has a limit and the age of the copy has none, the steps add up:
// upstreams tried one after the other took 1.7 s, the store was asked in one round out
// of four after that, and data of an age of 1.3 s was good enough to wait for more.
// Nodes then learned of the change after 2.6 s, and sent requests to servers that had
// left. A node whose copy grows old must therefore poll the store, whatever it is
// waiting for.
func TestUpstreamsGone(t *testing.T) {
	atOffsets(t, 100*time.Millisecond, func(t *testing.T, after time.Duration) {
		h := newHall(t, 12)
		advance(5*time.Second + after)
		h.powerOff(0, 1, 2)
		h.store.put("b", false)
		advance(propagationLimit)
		must.SliceEmpty(t, h.missing("b", 3))
	})
}

// TestLostUpstreamIsNoOutage: nodes lose their upstreams while the store works. A node
// that takes this for an outage of the store, in which servers cannot renew their
// entries, keeps servers that have really ended for another 2 s and sends requests to
// them. Only an interval in which the node's own call to the store failed counts as an
// outage.
func TestLostUpstreamIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, 12)
		advance(5 * time.Second)
		h.powerOff(0, 1, 2)
		advance(20 * time.Second)
		must.Eq(t, 0, h.outages(3))
	})
}

// TestStalledProcess: a process does not run for 3 s while the store works, and then
// finds that its calls have timed out. If it takes this for an outage of the store, it
// keeps servers that have really ended for another 2 s. A call that exceeds its bounds is
// attributed to this process and says nothing about the store.
func TestStalledProcess(t *testing.T) {
	const stalled = 5
	atOffsets(t, 50*time.Millisecond, func(t *testing.T, after time.Duration) {
		h := newHall(t, 12)
		advance(5*time.Second + after)
		thaw := h.freeze(stalled)
		advance(3 * time.Second)
		h.store.put("b", false)
		thaw()
		advance(time.Second)
		must.SliceEmpty(t, h.missing("b", stalled))
		must.Eq(t, 0, h.outages(stalled))
	})
}

// TestAwaitRefresh: a process that runs again after 3 s must not use its old copy, and
// has a fresh one as soon as the store has responded. While the store does not respond,
// an old copy is no reason to wait.
func TestAwaitRefresh(t *testing.T) {
	const stalled = 5
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, 12)
		advance(5 * time.Second)
		m := h.nodes[stalled]
		must.False(t, m.NeedsRefresh())
		thaw := h.freeze(stalled)
		advance(time.Second)
		h.store.put("b", false)
		advance(2 * time.Second)
		must.True(t, m.NeedsRefresh())
		thaw()
		m.AwaitRefresh(t.Context())
		must.False(t, m.NeedsRefresh())
		_, ok := m.Get("b")
		must.True(t, ok)

		h.store.set(errStore, false, false)
		for range 500 {
			time.Sleep(20 * time.Millisecond)
			must.False(t, m.NeedsRefresh())
		}
	})
}

// TestDelayedResponse: a response stays unread in the socket of a process that does not run
// for 3 s. If its age counted from the moment of reading, the node would believe its data
// to be 3 s younger than it is. The age must be one that can be proved: the response was
// made no earlier than the start of the call, plus the time for which its sender says
// that it held the call.
func TestDelayedResponse(t *testing.T) {
	const late = 3 * time.Second
	for _, name := range []string{"from the store", "from an upstream"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				own := newStore()
				own.put("a", false)
				p := &peers{}
				if name == "from an upstream" {
					upstream := mirror.New(own, &peers{}, timers)
					go upstream.Run(ctx)
					p.mirrors, p.upstream = []*mirror.Mirror{upstream}, []string{"0"}
				}
				responses := &delayedResponses{}
				m := mirror.New(delayedStore{own, responses}, delayedPeers{p, responses}, timers)
				go m.Run(ctx)
				advance(time.Second)
				// Responses to calls in progress are delayed from now on; later calls
				// fail.
				responses.delay(late)
				advance(late + time.Millisecond)
				must.Greater(t, late-propagationLimit/2, m.Age())
			})
		})
	}
}

// delayedResponses delays the responses to calls in progress, and fails later calls.
type delayedResponses struct {
	mu    sync.Mutex
	until time.Time
}

func (h *delayedResponses) delay(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Now().Add(d)
}

func (h *delayedResponses) call(do func() (mirror.Batch, error)) (mirror.Batch, error) {
	h.mu.Lock()
	delayed := !h.until.IsZero()
	h.mu.Unlock()
	if delayed {
		return mirror.Batch{}, errStore
	}
	b, err := do()
	h.mu.Lock()
	left := time.Until(h.until)
	h.mu.Unlock()
	time.Sleep(left)
	return b, err
}

// delayedStore is a store whose responses are delayed.
type delayedStore struct {
	mirror.Store
	responses *delayedResponses
}

func (s delayedStore) ReadAll(ctx context.Context) (mirror.Batch, error) {
	return s.responses.call(func() (mirror.Batch, error) { return s.Store.ReadAll(ctx) })
}

func (s delayedStore) ReadStart(ctx context.Context) (b mirror.Batch, more bool, err error) {
	b, err = s.responses.call(func() (mirror.Batch, error) {
		b, m, err := s.Store.ReadStart(ctx)
		more = m
		return b, err
	})
	return b, more, err
}

func (s delayedStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	return s.responses.call(func() (mirror.Batch, error) { return s.Store.Follow(ctx, after, wait) })
}

// delayedPeers are peers whose responses are delayed.
type delayedPeers struct {
	mirror.Peers
	responses *delayedResponses
}

func (p delayedPeers) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	return p.responses.call(func() (mirror.Batch, error) { return p.Peers.Follow(ctx, address, after, wait) })
}

// TestCallsInOutage: in an outage, each node calls the store once to notice it; after
// that a data hall of 30 nodes makes at most ten calls a second, since they are of no
// use. All nodes are up to date soon after the store has recovered.
func TestCallsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 30
		h := newHall(t, size)
		advance(5 * time.Second)
		h.store.set(errStore, false, false)
		calls := h.store.calls()
		advance(20 * time.Second)
		must.LessEq(t, size+20*10, h.store.calls()-calls)
		h.store.set(nil, false, false)
		h.store.put("b", false)
		advance(propagationLimit)
		must.SliceEmpty(t, h.missing("b", 0))
	})
}

// TestOnlyFirstNodeCallsStore: in normal operation only the first node of a data hall
// calls the store.
func TestOnlyFirstNodeCallsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, 30)
		advance(5 * time.Second)
		for i := range h.nodes[1:] {
			h.set(h.cutOff, true, i+1)
		}
		advance(time.Minute)
		h.store.put("b", false)
		advance(500 * time.Millisecond)
		must.SliceEmpty(t, h.missing("b", 0))
	})
}

// hall is the nodes of one data hall that share a store.
type hall struct {
	store  *fakeStore
	timers *timer.Service
	nodes  []*mirror.Mirror

	mu sync.Mutex
	// down holds the nodes that neither respond nor reach anything, cutOff those that do
	// not reach the store, partitioned those that do not reach other nodes, and
	// deregistered those whose entries have expired.
	down, cutOff, partitioned, deregistered map[int]bool
	// frozen holds by node a channel that is closed when its process runs again.
	frozen map[int]chan struct{}
	// recoveries counts by node how often it found the store recovered from an outage.
	recoveries map[int]int
}

// newHall returns a data hall whose nodes run until the test ends.
func newHall(t *testing.T, size int) *hall {
	ctx, timers := newEnv(t)
	h := &hall{store: newStore(), timers: timers, down: make(map[int]bool), cutOff: make(map[int]bool), partitioned: make(map[int]bool), deregistered: make(map[int]bool), frozen: make(map[int]chan struct{}), recoveries: make(map[int]int)}
	h.store.put("a", false)
	for i := range size {
		m := mirror.New(hallStore{h, i}, hallPeers{h, i}, timers)
		m.OnStoreRecovered(func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.recoveries[i]++
		})
		h.nodes = append(h.nodes, m)
	}
	for _, m := range h.nodes {
		go m.Run(ctx)
	}
	return h
}

// powerOff cuts the power of nodes.
func (h *hall) powerOff(nodes ...int) { h.set(h.down, true, nodes...) }

func (h *hall) set(state map[int]bool, value bool, nodes ...int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range nodes {
		state[i] = value
	}
}

func (h *hall) is(state map[int]bool, i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return state[i]
}

// freeze stops a node's process until thaw is called.
func (h *hall) freeze(i int) (thaw func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	frozen := make(chan struct{})
	h.frozen[i] = frozen
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.frozen, i)
		close(frozen)
	}
}

func (h *hall) isFrozen(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen[i] != nil
}

// call makes a call on behalf of a node. A call made while its process is frozen is sent
// after the thaw, unless its context has ended by then; the response to one made before
// the freeze is returned after the thaw.
func (h *hall) call(ctx context.Context, i int, call func() (mirror.Batch, error)) (mirror.Batch, error) {
	h.awaitThaw(i)
	if ctx.Err() != nil {
		return mirror.Batch{}, ctx.Err()
	}
	b, err := call()
	h.awaitThaw(i)
	return b, err
}

func (h *hall) awaitThaw(i int) {
	h.mu.Lock()
	frozen := h.frozen[i]
	h.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// missing returns the nodes, starting with node from, that do not know a key.
func (h *hall) missing(key string, from int) []int {
	var missing []int
	for i, m := range h.nodes[from:] {
		if _, ok := m.Get(key); !ok {
			missing = append(missing, from+i)
		}
	}
	return missing
}

// outages returns how often the nodes, starting with node from, found the store
// recovered.
func (h *hall) outages(from int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for i, n := range h.recoveries {
		if i >= from {
			count += n
		}
	}
	return count
}

// hallStore is the store as node i reaches it.
type hallStore struct {
	h *hall
	i int
}

func (s hallStore) ReadAll(ctx context.Context) (mirror.Batch, error) {
	if s.h.is(s.h.cutOff, s.i) || s.h.is(s.h.down, s.i) {
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	return s.h.call(ctx, s.i, func() (mirror.Batch, error) { return s.h.store.ReadAll(ctx) })
}

func (s hallStore) ReadStart(ctx context.Context) (mirror.Batch, bool, error) {
	b, err := s.ReadAll(ctx)
	return b, false, err
}

func (s hallStore) ReadRest(_ context.Context, start mirror.Batch) (mirror.Batch, error) {
	return start, nil
}

func (s hallStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	if s.h.is(s.h.cutOff, s.i) || s.h.is(s.h.down, s.i) {
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	return s.h.call(ctx, s.i, func() (mirror.Batch, error) { return s.h.store.Follow(ctx, after, wait) })
}

// hallPeers are the other nodes as node i reaches them.
type hallPeers struct {
	h *hall
	i int
}

func (p hallPeers) Addresses() []string {
	var addresses []string
	for i := range p.h.nodes {
		if i != p.i && !p.h.is(p.h.deregistered, i) {
			addresses = append(addresses, fmt.Sprint(i))
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

func (p hallPeers) Sources(context.Context) []string { return nil }

func (p hallPeers) Upstream() []string {
	var upstream []string
	for i := range p.i {
		if !p.h.is(p.h.deregistered, i) {
			upstream = append(upstream, fmt.Sprint(i))
		}
	}
	return upstream
}

func (p hallPeers) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	var i int
	if _, err := fmt.Sscan(address, &i); err != nil {
		return mirror.Batch{}, err
	}
	if p.unreachable(i) {
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	b, err := p.h.call(ctx, p.i, func() (mirror.Batch, error) { return p.h.nodes[i].Await(ctx, after, wait), nil })
	if p.unreachable(i) {
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	return b, err
}

// unreachable reports whether the node cannot reach node i.
func (p hallPeers) unreachable(i int) bool {
	for _, state := range []map[int]bool{p.h.down, p.h.partitioned} {
		if p.h.is(state, i) || p.h.is(state, p.i) {
			return true
		}
	}
	return false
}
