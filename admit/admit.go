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
	// patientMinShare is the share of the capacity that patient work keeps.
	patientMinShare = 0.1
	// patientAgingTime is the wait after which patient work counts as standard.
	patientAgingTime = 30 * time.Second
	// maxWaitingPerSlot bounds the queue of the priorities above patient.
	maxWaitingPerSlot = 16
	// maxPatientPerSlot bounds the queue of patient work, which may be long.
	maxPatientPerSlot = 256
	// serviceTimeSmoothing is the weight of one request in the mean service time.
	serviceTimeSmoothing = 0.05
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

	mu                 sync.Mutex
	running            int
	runningPatient     int
	runningByAccount   map[string]int
	waiting            []*waiter
	meanServiceTime    time.Duration
	admissionIntervals map[string]*admissionInterval
}

// waiter is a request in the queue. Its channel is closed when it is admitted
// or, with late set, refused.
type waiter struct {
	request Request
	arrived time.Time
	decided chan struct{}
	late    bool
}

// admissionInterval is how fast an account's waiting requests are admitted, which under
// fairness is not how fast the queue moves.
type admissionInterval struct {
	lastAdmission time.Time
	mean          time.Duration
}

// intervalSmoothing is the weight of one admission in an account's pace.
const intervalSmoothing = 0.1

func (p *admissionInterval) observe(now time.Time) {
	p.mean += time.Duration(intervalSmoothing * float64(now.Sub(p.lastAdmission)-p.mean))
	p.lastAdmission = now
}

// New returns an empty queue. Its capacity is asked for anew each time.
func New(capacity func() int) *Queue {
	return &Queue{capacity: capacity, runningByAccount: make(map[string]int), admissionIntervals: make(map[string]*admissionInterval)}
}

// Acquire waits until the request may run. The function that it returns must
// be called when the work has ended.
func (q *Queue) Acquire(ctx context.Context, t Request) (release func(), err error) {
	w, err := q.submit(t)
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
		return q.result(w)
	case <-ctx.Done():
		err = ctx.Err()
	case <-late:
		err = context.DeadlineExceeded
	}
	if !q.remove(w) {
		// It was decided in the same moment.
		return q.result(w)
	}
	return nil, errs.Wrap(GivenUp, "acquire", err, "waited %s", time.Since(w.arrived).Round(time.Millisecond))
}

// result returns what became of a request that has left the queue.
func (q *Queue) result(w *waiter) (release func(), err error) {
	if w.late {
		return nil, newRefusal(Late, minRetryAfter, "waited %s and cannot make the deadline any more", time.Since(w.arrived).Round(time.Millisecond))
	}
	return q.releaser(w.request), nil
}

// submit admits, queues or refuses a request.
func (q *Queue) submit(t Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	capacity := max(1, q.capacity())
	w := &waiter{request: t, arrived: time.Now(), decided: make(chan struct{})}
	if q.running < capacity && len(q.waiting) == 0 {
		q.admit(w)
		return w, nil
	}
	wait := q.expectedWait(t, capacity)
	if !t.Deadline.IsZero() && time.Now().Add(wait+q.meanServiceTime).After(t.Deadline) {
		return nil, newRefusal(Late, wait, "would wait %s and run %s", wait.Round(time.Millisecond), q.meanServiceTime.Round(time.Millisecond))
	}
	if q.countAhead(t.Priority) >= capacity*q.maxWaiting(t.Priority) {
		return nil, newRefusal(Full, wait, "%d requests wait", len(q.waiting))
	}
	q.waiting = append(q.waiting, w)
	return w, nil
}

func (q *Queue) maxWaiting(p config.Priority) int {
	if p == config.PriorityPatient {
		return maxPatientPerSlot
	}
	return maxWaitingPerSlot
}

func newRefusal(kind *errorx.Type, wait time.Duration, format string, args ...any) error {
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
		if w.request.Priority < t.Priority {
			continue
		}
		accounts[w.request.Account] = true
		if w.request.Account == t.Account {
			own++
		}
	}
	places := min(q.countAhead(t.Priority)+1, own*len(accounts))
	wait := time.Duration(float64(places) / float64(capacity) * float64(q.meanServiceTime))
	if p := q.admissionIntervals[t.Account]; p != nil && own > 1 {
		wait = max(wait, time.Duration(own)*p.mean)
	}
	return wait
}

// countAhead counts the waiting requests of a priority and above.
func (q *Queue) countAhead(p config.Priority) int {
	n := 0
	for _, w := range q.waiting {
		if w.request.Priority >= p {
			n++
		}
	}
	return n
}

func (q *Queue) admit(w *waiter) {
	q.running++
	q.runningByAccount[w.request.Account]++
	if w.request.Priority == config.PriorityPatient {
		q.runningPatient++
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
	if q.runningByAccount[t.Account]--; q.runningByAccount[t.Account] == 0 {
		delete(q.runningByAccount, t.Account)
	}
	if t.Priority == config.PriorityPatient {
		q.runningPatient--
	}
	if q.meanServiceTime == 0 {
		q.meanServiceTime = took
	}
	q.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(took-q.meanServiceTime))
	q.fill()
}

// fill admits waiting requests while there is capacity. One that has waited
// too long to make its deadline gives its place to the next.
func (q *Queue) fill() {
	capacity := max(1, q.capacity())
	now := time.Now()
	for q.running < capacity && len(q.waiting) > 0 {
		at := q.next(capacity)
		w := q.waiting[at]
		q.waiting = append(q.waiting[:at], q.waiting[at+1:]...)
		q.recordAdmission(w, now)
		if deadline := w.request.Deadline; !deadline.IsZero() && now.Add(q.meanServiceTime).After(deadline) {
			w.late = true
			close(w.decided)
			continue
		}
		q.admit(w)
	}
}

// recordAdmission counts an admission; the pace starts anew once an account has
// nothing waiting.
func (q *Queue) recordAdmission(w *waiter, now time.Time) {
	p := q.admissionIntervals[w.request.Account]
	if p == nil || p.lastAdmission.Before(w.arrived) {
		q.admissionIntervals[w.request.Account] = &admissionInterval{lastAdmission: now, mean: q.meanServiceTime / time.Duration(max(1, q.capacity()))}
		return
	}
	p.observe(now)
}

// next returns the waiting request that runs next.
func (q *Queue) next(capacity int) int {
	floor := int(math.Ceil(patientMinShare * float64(capacity)))
	keepFloor := q.runningPatient < floor
	now := time.Now()
	best := 0
	for i, w := range q.waiting {
		if q.runsBefore(w, q.waiting[best], keepFloor, now) {
			best = i
		}
	}
	return best
}

// runsBefore reports whether a runs before b, which came earlier.
func (q *Queue) runsBefore(a, b *waiter, keepFloor bool, now time.Time) bool {
	rankA, rankB := rank(a, keepFloor, now), rank(b, keepFloor, now)
	if rankA != rankB {
		return rankA > rankB
	}
	return q.runningByAccount[a.request.Account] < q.runningByAccount[b.request.Account]
}

// rankFirst ranks patient work whose floor is not filled.
const rankFirst = config.PriorityInteractive + 1

func rank(w *waiter, keepFloor bool, now time.Time) config.Priority {
	if w.request.Priority != config.PriorityPatient {
		return w.request.Priority
	}
	if keepFloor {
		return rankFirst
	}
	if now.Sub(w.arrived) > patientAgingTime {
		return config.PriorityStandard
	}
	return config.PriorityPatient
}

// remove takes a request out of the queue; false if it was admitted already.
func (q *Queue) remove(w *waiter) bool {
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
