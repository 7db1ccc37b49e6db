package inbound

import (
	"container/list"
	"math"
	"net"
	"sync"
	"time"
)

const (
	// admissionWait is how long a request waits for room before it is refused.
	admissionWait = 250 * time.Millisecond
	// evictAfter is how long a connection must have made this process wait before it is closed for others.
	evictAfter = 250 * time.Millisecond
	// evictionInterval is the time between two looks for such a connection while a request waits for room.
	evictionInterval = 50 * time.Millisecond
	// The share largeShare/largeShareOf of the budget is for large requests too, the rest only for others.
	largeShare, largeShareOf = 3, 4
	// evictingShareOf is the part of the budget, and of a listener's connections, that may be used twice for a moment:
	// by connections that are being closed, and by those that take their place.
	evictingShareOf = 4
)

// Unlimited is the size of a budget that bounds nothing.
const Unlimited = math.MaxInt64 / 4

// Budget bounds the memory that the requests of a process take. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// limit, used and evicting are in bytes. What connections hold that are being closed counts as evicting, not
	// as used.
	limit, used, evicting int64
	conns                 map[*Conn]struct{}
	// ordinary and large hold the waiting requests, in the order of their arrival.
	ordinary, large list.List
	observe         func(Refusal, net.Addr)
}

// BudgetOption configures a Budget in NewBudget.
type BudgetOption func(*Budget)

// WithObserver sets a function that is told of each refusal, with the client's address. It must not block.
func WithObserver(observe func(Refusal, net.Addr)) BudgetOption {
	return func(b *Budget) { b.observe = observe }
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int64, options ...BudgetOption) *Budget {
	b := &Budget{limit: limit, conns: make(map[*Conn]struct{}), observe: func(Refusal, net.Addr) {}}
	for _, option := range options {
		option(b)
	}
	return b
}

// Used returns how many bytes the requests take.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// waiter is a request that waits for room.
type waiter struct {
	conn  *Conn
	bytes int64
	// granted is closed once the request has its room.
	granted chan struct{}
}

// fits reports whether there is room for so many bytes more of a connection's request.
func (b *Budget) fits(c *Conn, bytes int64) bool {
	limit := b.limit
	if c.held+bytes >= largeRequest {
		limit = limit * largeShare / largeShareOf
	}
	return b.used+bytes <= limit && b.used+b.evicting+bytes <= b.limit+b.limit/evictingShareOf
}

// take gives a connection room, if there is some now.
func (b *Budget) take(c *Conn, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.takeLocked(c, bytes)
}

func (b *Budget) takeLocked(c *Conn, bytes int64) bool {
	if c.evicted || c.closed {
		return false
	}
	if !b.fits(c, bytes) {
		b.evictFor(c, bytes)
		if !b.fits(c, bytes) {
			return false
		}
	}
	b.used += bytes
	c.held += bytes
	return true
}

// await gives a connection room, and waits for it up to admissionWait. It returns false if there was none.
func (b *Budget) await(c *Conn, bytes int64) bool {
	b.mu.Lock()
	queue := &b.ordinary
	if c.held+bytes >= largeRequest {
		queue = &b.large
	}
	if queue.Len() == 0 && b.takeLocked(c, bytes) {
		b.mu.Unlock()
		return true
	}
	w := &waiter{conn: c, bytes: bytes, granted: make(chan struct{})}
	place := queue.PushBack(w)
	b.mu.Unlock()
	b.awaitGrant(w)
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	default:
		queue.Remove(place)
		return false
	}
}

// awaitGrant returns once a waiting request has its room, or has waited for long enough.
func (b *Budget) awaitGrant(w *waiter) {
	patience := time.NewTimer(admissionWait)
	defer patience.Stop()
	look := time.NewTicker(evictionInterval)
	defer look.Stop()
	for {
		select {
		case <-w.granted:
			return
		case <-patience.C:
			return
		case <-look.C:
			b.mu.Lock()
			b.grantWaiting()
			b.mu.Unlock()
		}
	}
}

// grantWaiting gives room to waiting requests, ordinary ones first.
func (b *Budget) grantWaiting() {
	for _, queue := range []*list.List{&b.ordinary, &b.large} {
		for queue.Len() > 0 {
			w := queue.Front().Value.(*waiter)
			if !w.conn.closed {
				if !b.takeLocked(w.conn, w.bytes) {
					break
				}
				close(w.granted)
			}
			queue.Remove(queue.Front())
		}
	}
}

// release returns what a connection's request has taken.
func (b *Budget) release(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(c)
}

func (b *Budget) releaseLocked(c *Conn) {
	if c.held == 0 {
		return
	}
	if c.evicted {
		b.evicting -= c.held
	} else {
		b.used -= c.held
	}
	c.held = 0
	b.grantWaiting()
}

// evictFor closes connections that make this process wait until there is room for so many bytes of another one's
// request, or until no more can be closed.
func (b *Budget) evictFor(c *Conn, bytes int64) {
	for !b.fits(c, bytes) && b.used+b.evicting+bytes <= b.limit+b.limit/evictingShareOf {
		victim := b.longestWaiting(func(other *Conn) bool { return other != c && other.held > 0 })
		if victim == nil {
			return
		}
		b.evict(victim)
	}
}

// longestWaiting returns the connection that has made this process wait for longest, of those that match; nil if
// there is none.
func (b *Budget) longestWaiting(match func(*Conn) bool) *Conn {
	now := time.Now()
	var longest *Conn
	waited := evictAfter
	for c := range b.conns {
		if c.evicted || !match(c) {
			continue
		}
		if w := c.waited(now); w >= waited {
			longest, waited = c, w
		}
	}
	return longest
}

// evict begins to close a connection. What it holds is given to others at once, although it takes a moment until it
// is freed.
func (b *Budget) evict(c *Conn) {
	c.evicted = true
	b.used -= c.held
	b.evicting += c.held
	c.interrupt()
	b.observe(RefusalEvicted, c.RemoteAddr())
}

// remove returns what a closed connection holds, and ends tracking it.
func (b *Budget) remove(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.conns[c]; !open {
		return
	}
	delete(b.conns, c)
	c.closed = true
	b.releaseLocked(c)
	c.listener.open--
}
