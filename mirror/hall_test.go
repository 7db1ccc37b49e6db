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

// propagationLimit is when a node must know at the latest what the store has taken: the
// shortest bound that deployments agree on.
const propagationLimit = 2 * time.Second

// TestUpstreamsGone: the nodes that a data hall follows lose power one and all, and
// the others, which reach the store the whole time, must know in time what it takes
// in that moment. They learned it after 2.6 s, and sent requests to servers that had
// left: upstreams were asked one after the other, 1.7 s in all ("upstream did not
// answer", three times), the store after that in one round of four, and news of an age
// of 1.3 s was good enough to wait for more ("upstream has old news", "age_ms":1403, was
// the first that was not). Each step had a bound and the age of the news none, so the
// steps added up. Now a node whose news grows old looks at the store, whatever it waits
// for.
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

// TestLostUpstreamIsNoOutage: a node whose upstreams are gone takes news from the
// store, which has been well all the time. It took its own silence for an outage of
// the store, in which entries lapse that their servers can't renew, and kept servers
// that were really gone for 2 s more ("server is gone … kept_ms 1999"; a request
// went to one "by revision 329, 432 ms old", and its entry was gone since revision 249).
// An outage is now what the node itself has asked the store in and got no answer.
func TestLostUpstreamIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, 12)
		advance(5 * time.Second)
		h.powerOff(0, 1, 2)
		advance(20 * time.Second)
		must.Eq(t, 0, h.outages(3))
	})
}

// TestStalledProcess: a process that does not run for 3 s, with the store well, finds
// that calls of its own ran out of time. It took its silence for an outage of the store,
// and kept servers that were really gone for 2 s more. A call that outlasted its bounds
// is now this process's own doing, and says nothing of the store.
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

// TestSettle: a process that runs again after 3 s does not go by what it knew, and knows
// more as soon as the store has answered. While the store does not answer, old news is
// no reason to wait.
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

// TestAnswerReadLate: an answer lies in the socket of a process that does not run for
// 3 s. The process took it for news of the moment in which it read it (an age of 1 ms
// here), and so went by news that was 3 s older than it knew. An age now counts from what
// can be proved: an answer was made no earlier than the call began, less what whoever
// made it says that it let the call wait.
func TestDelayedAnswer(t *testing.T) {
	const late = 3 * time.Second
	for _, name := range []string{"of the store", "of an upstream"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timers := newEnv(t)
				own := newStore()
				own.put("a", false)
				p := &peers{}
				if name == "of an upstream" {
					upstream := mirror.New(own, &peers{}, timers)
					go upstream.Run(ctx)
					p.mirrors, p.upstream = []*mirror.Mirror{upstream}, []string{"0"}
				}
				held := &delayedAnswers{}
				m := mirror.New(delayedStore{own, held}, delayedPeers{p, held}, timers)
				go m.Run(ctx)
				advance(time.Second)
				// Answers are held from now on, and the next ones never come.
				held.delay(late)
				advance(late + time.Millisecond)
				must.Greater(t, late-propagationLimit/2, m.Age())
			})
		})
	}
}

// delayedAnswers hands the answer to a call that is under way over late, and none to a
// later call.
type delayedAnswers struct {
	mu    sync.Mutex
	until time.Time
}

func (h *delayedAnswers) delay(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Now().Add(d)
}

func (h *delayedAnswers) call(do func() (mirror.Batch, error)) (mirror.Batch, error) {
	h.mu.Lock()
	over := !h.until.IsZero()
	h.mu.Unlock()
	if over {
		return mirror.Batch{}, errStore
	}
	b, err := do()
	h.mu.Lock()
	left := time.Until(h.until)
	h.mu.Unlock()
	time.Sleep(left)
	return b, err
}

// delayedStore is a store whose answers are held.
type delayedStore struct {
	mirror.Store
	answers *delayedAnswers
}

func (s delayedStore) ReadAll(ctx context.Context) (mirror.Batch, error) {
	return s.answers.call(func() (mirror.Batch, error) { return s.Store.ReadAll(ctx) })
}

func (s delayedStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	return s.answers.call(func() (mirror.Batch, error) { return s.Store.Follow(ctx, after, wait) })
}

// delayedPeers are peers whose answers are held.
type delayedPeers struct {
	mirror.Peers
	answers *delayedAnswers
}

func (p delayedPeers) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	return p.answers.call(func() (mirror.Batch, error) { return p.Peers.Follow(ctx, address, after, wait) })
}

// TestCallsInOutage: in an outage each node calls the store once to learn of it, and
// after that a hall of 30 nodes makes at most ten calls a second, whose answers tell
// nothing. All of them have the news soon after the store's return.
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

// TestCalmCalls: while all is well only the first node of a hall calls the store.
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

// hall is the nodes of one data hall before one store.
type hall struct {
	store  *fakeStore
	timers *timer.Service
	nodes  []*mirror.Mirror

	mu sync.Mutex
	// down are the nodes that answer nobody, cut those that do not reach the
	// store, parted those that reach no other node; gone are the nodes whose entries
	// have lapsed.
	down, cutOff, partitioned, deregistered map[int]bool
	// frozen holds by node what is closed when its process runs again.
	frozen map[int]chan struct{}
	// recoveries counts by node how often it took the store for back.
	recoveries map[int]int
}

// newHall returns a hall whose nodes run until the test ends.
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

// powerOff lets nodes lose power.
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

// freeze lets a node's process not run until thaw is called.
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

// call makes a call of a node's. One that the process makes while it is frozen is not
// sent; the answer to one made before lies in the socket.
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

// missing returns the nodes from one on that do not know a key.
func (h *hall) missing(key string, from int) []int {
	var without []int
	for i, m := range h.nodes[from:] {
		if _, ok := m.Get(key); !ok {
			without = append(without, from+i)
		}
	}
	return without
}

// outages is how often nodes from one on took the store for back.
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

// hallStore is the store as one node reaches it.
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

func (s hallStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Batch, error) {
	if s.h.is(s.h.cutOff, s.i) || s.h.is(s.h.down, s.i) {
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	return s.h.call(ctx, s.i, func() (mirror.Batch, error) { return s.h.store.Follow(ctx, after, wait) })
}

// hallPeers are the other nodes as one of them knows them.
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

// unreachable reports whether the node does not reach another one.
func (p hallPeers) unreachable(i int) bool {
	for _, state := range []map[int]bool{p.h.down, p.h.partitioned} {
		if p.h.is(state, i) || p.h.is(state, p.i) {
			return true
		}
	}
	return false
}
