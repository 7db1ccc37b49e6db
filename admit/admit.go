// Package admit decides who runs now, who waits and who is refused at once.
//
// Each node keeps one queue per backend pool, sized to the node's part of the
// pool. A request that cannot make its deadline is refused when it comes, with
// the time after which to come back, and not when the deadline has passed.
// Higher priorities go first; within a priority the account with the least
// work running goes first, so that one account that floods does not starve
// the others. Patient work yields, but keeps a floor of the capacity and rises
// with its age, so that it finishes.
//
// # Usage
//
//	release, err := queue.Acquire(ctx, admit.Request{Account: "dispatch", …})
//	if err != nil {
//		return err // admit.Refused, with RetryAfter
//	}
//	defer release()
package admit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("admit")

	// Late says that the request cannot make its deadline.
	Late = namespace.NewType("late")
	// Full says that the queue has no room.
	Full = namespace.NewType("full")
	// GivenUp says that the caller left or the deadline passed in the queue.
	GivenUp = namespace.NewType("given_up")
)

var retryAfterProperty = errorx.RegisterProperty("retry_after")

// RetryAfter returns when a refused request may come back.
func RetryAfter(err error) time.Duration {
	value, _ := errorx.ExtractProperty(err, retryAfterProperty)
	wait, _ := value.(time.Duration)
	return wait
}

const (
	// patientFloor is the share of the capacity that patient work keeps.
	patientFloor = 0.1
	// agingStep is the wait after which patient work counts as standard.
	agingStep = 30 * time.Second
	// waitersPerSlot bounds the queue of the priorities above patient.
	waitersPerSlot = 16
	// patientPerSlot bounds the queue of patient work, which may be long.
	patientPerSlot = 256
	// serviceMemory is the weight of one request in the mean service time.
	serviceMemory = 0.05
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 200 * time.Millisecond
)

// Request is one request's claim to capacity.
type Request struct {
	Account  string
	Priority config.Priority
	// Deadline by which the work has to be done; zero for none.
	Deadline time.Time
}

// Queue admits the requests to one pool. It is safe for concurrent use.
type Queue struct {
	capacity func() int

	mu      sync.Mutex
	running int
	patient int
	byOwner map[string]int
	waiting []*waiter
	mean    time.Duration
	paces   map[string]*pace
}

// waiter is a request in the queue. Its channel is closed when it is admitted
// or, with late set, refused.
type waiter struct {
	ticket  Request
	arrived time.Time
	decided chan struct{}
	late    bool
}

// pace is how fast an account's waiting requests are admitted, which under
// fairness is not how fast the queue moves.
type pace struct {
	last     time.Time
	interval time.Duration
}

// paceMemory is the weight of one admission in an account's pace.
const paceMemory = 0.1

func (p *pace) step(now time.Time) {
	p.interval += time.Duration(paceMemory * float64(now.Sub(p.last)-p.interval))
	p.last = now
}

// New returns an empty queue. Its capacity is asked for anew each time.
func New(capacity func() int) *Queue {
	return &Queue{capacity: capacity, byOwner: make(map[string]int), paces: make(map[string]*pace)}
}

// Acquire waits until the request may run. The function that it returns must
// be called when the work has ended.
func (q *Queue) Acquire(ctx context.Context, t Request) (release func(), err error) {
	w, err := q.enter(t)
	if err != nil {
		return nil, err
	}
	var late <-chan time.Time
	if !t.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(t.Deadline))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-w.decided:
		return q.decided(w)
	case <-ctx.Done():
		err = ctx.Err()
	case <-late:
		err = context.DeadlineExceeded
	}
	if !q.leave(w) {
		// It was decided in the same moment.
		return q.decided(w)
	}
	return nil, errs.Wrap(GivenUp, "acquire", err, "waited %s", time.Since(w.arrived).Round(time.Millisecond))
}

// decided returns what became of a request that has left the queue.
func (q *Queue) decided(w *waiter) (release func(), err error) {
	if w.late {
		return nil, refused(Late, minRetryAfter, "waited %s and cannot make the deadline any more", time.Since(w.arrived).Round(time.Millisecond))
	}
	return q.releaser(w.ticket), nil
}

// enter admits, queues or refuses a request.
func (q *Queue) enter(t Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	capacity := max(1, q.capacity())
	w := &waiter{ticket: t, arrived: time.Now(), decided: make(chan struct{})}
	if q.running < capacity && len(q.waiting) == 0 {
		q.admit(w)
		return w, nil
	}
	wait := q.expectedWait(t, capacity)
	if !t.Deadline.IsZero() && time.Now().Add(wait+q.mean).After(t.Deadline) {
		return nil, refused(Late, wait, "would wait %s and run %s", wait.Round(time.Millisecond), q.mean.Round(time.Millisecond))
	}
	if q.ahead(t.Priority) >= capacity*q.room(t.Priority) {
		return nil, refused(Full, wait, "%d requests wait", len(q.waiting))
	}
	q.waiting = append(q.waiting, w)
	return w, nil
}

func (q *Queue) room(p config.Priority) int {
	if p == config.PriorityPatient {
		return patientPerSlot
	}
	return waitersPerSlot
}

func refused(kind *errorx.Type, wait time.Duration, format string, args ...any) error {
	err := errorx.Cast(errs.New(kind, "acquire", format, args...))
	return err.WithProperty(retryAfterProperty, max(minRetryAfter, wait))
}

// expectedWait estimates how long a new request waits: behind those of its
// priority and above, or, since accounts take turns, behind its account's own
// at the account's part of the capacity, whichever is less. What the account's
// requests really waited for lately corrects both upwards.
func (q *Queue) expectedWait(t Request, capacity int) time.Duration {
	own, accounts := 1, map[string]bool{t.Account: true}
	for _, w := range q.waiting {
		if w.ticket.Priority < t.Priority {
			continue
		}
		accounts[w.ticket.Account] = true
		if w.ticket.Account == t.Account {
			own++
		}
	}
	places := min(q.ahead(t.Priority)+1, own*len(accounts))
	wait := time.Duration(float64(places) / float64(capacity) * float64(q.mean))
	if p := q.paces[t.Account]; p != nil && own > 1 {
		wait = max(wait, time.Duration(own)*p.interval)
	}
	return wait
}

// ahead counts the waiting requests of a priority and above.
func (q *Queue) ahead(p config.Priority) int {
	n := 0
	for _, w := range q.waiting {
		if w.ticket.Priority >= p {
			n++
		}
	}
	return n
}

func (q *Queue) admit(w *waiter) {
	q.running++
	q.byOwner[w.ticket.Account]++
	if w.ticket.Priority == config.PriorityPatient {
		q.patient++
	}
	close(w.decided)
}

// releaser returns the function that ends a request's work, once.
func (q *Queue) releaser(t Request) func() {
	start := time.Now()
	var once sync.Once
	return func() { once.Do(func() { q.release(t, time.Since(start)) }) }
}

func (q *Queue) release(t Request, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if q.byOwner[t.Account]--; q.byOwner[t.Account] == 0 {
		delete(q.byOwner, t.Account)
	}
	if t.Priority == config.PriorityPatient {
		q.patient--
	}
	if q.mean == 0 {
		q.mean = took
	}
	q.mean += time.Duration(serviceMemory * float64(took-q.mean))
	q.fill()
}

// fill admits waiting requests while there is capacity. One that has waited
// too long to make its deadline gives its place to the next.
func (q *Queue) fill() {
	capacity := max(1, q.capacity())
	now := time.Now()
	for q.running < capacity && len(q.waiting) > 0 {
		at := q.best(capacity)
		w := q.waiting[at]
		q.waiting = append(q.waiting[:at], q.waiting[at+1:]...)
		q.keepPace(w, now)
		if deadline := w.ticket.Deadline; !deadline.IsZero() && now.Add(q.mean).After(deadline) {
			w.late = true
			close(w.decided)
			continue
		}
		q.admit(w)
	}
}

// keepPace counts an admission; the pace starts anew once an account has
// nothing waiting.
func (q *Queue) keepPace(w *waiter, now time.Time) {
	p := q.paces[w.ticket.Account]
	if p == nil || p.last.Before(w.arrived) {
		q.paces[w.ticket.Account] = &pace{last: now, interval: q.mean / time.Duration(max(1, q.capacity()))}
		return
	}
	p.step(now)
}

// best returns the waiting request that runs next.
func (q *Queue) best(capacity int) int {
	floor := int(math.Ceil(patientFloor * float64(capacity)))
	keepFloor := q.patient < floor
	now := time.Now()
	best := 0
	for i, w := range q.waiting {
		if q.before(w, q.waiting[best], keepFloor, now) {
			best = i
		}
	}
	return best
}

// before reports whether a runs before b, which came earlier.
func (q *Queue) before(a, b *waiter, keepFloor bool, now time.Time) bool {
	rankA, rankB := rank(a, keepFloor, now), rank(b, keepFloor, now)
	if rankA != rankB {
		return rankA > rankB
	}
	return q.byOwner[a.ticket.Account] < q.byOwner[b.ticket.Account]
}

// aboveAll ranks patient work whose floor is not filled.
const aboveAll = config.PriorityInteractive + 1

func rank(w *waiter, keepFloor bool, now time.Time) config.Priority {
	if w.ticket.Priority != config.PriorityPatient {
		return w.ticket.Priority
	}
	if keepFloor {
		return aboveAll
	}
	if now.Sub(w.arrived) > agingStep {
		return config.PriorityStandard
	}
	return config.PriorityPatient
}

// leave takes a request out of the queue; false if it was admitted already.
func (q *Queue) leave(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Load returns how many requests run and wait.
func (q *Queue) Load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}
