// Package admit implements admission control: a request runs now, waits in a queue
// or is refused.
//
// Each node has one queue per backend pool, sized to the node's part of the pool.
// A request that is not expected to meet its deadline is refused on arrival, with
// the time after which to retry, rather than when the deadline has passed. Higher
// priorities go first. Within a priority, the account with the fewest running
// requests goes first, so that one account with many requests does not starve the
// others. Requests of patient priority go last, but have a guaranteed share of the
// capacity and are promoted to standard priority after a while, so that they
// complete.
//
// # Usage
//
//	release, err := queue.Acquire(ctx, admit.Request{Account: "dispatch", …})
//	if err != nil {
//		return err // Late, Full or GivenUp; see errs.RetryAfter
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

	// Late means that the request is not expected to meet its deadline.
	Late = namespace.NewType("late")
	// Full means that the queue has no room for the request's priority.
	Full = namespace.NewType("full")
	// GivenUp means that the context ended or the deadline passed while the
	// request waited.
	GivenUp = namespace.NewType("given_up")
)

const (
	// patientMinShare is the guaranteed share of the capacity for requests of
	// patient priority.
	patientMinShare = 0.1
	// patientAgingTime is the wait after which a patient request has standard
	// priority.
	patientAgingTime = 30 * time.Second
	// maxWaitingPerSlot is the number of waiting requests of the same and higher
	// priorities, per slot of capacity, at which a request above patient priority
	// is refused.
	maxWaitingPerSlot = 16
	// maxPatientPerSlot is the same for patient requests, which may wait long.
	maxPatientPerSlot = 256
	// serviceTimeSmoothing is the weight of one request in meanServiceTime.
	serviceTimeSmoothing = 0.05
	// minRetryAfter keeps refused clients from retrying immediately.
	minRetryAfter = 200 * time.Millisecond
)

// Request describes a request to be admitted.
type Request struct {
	Account  string
	Priority config.Priority
	// Deadline is when the request must have completed; zero for none.
	Deadline time.Time
}

// Queue admits requests to one backend pool. It is safe for concurrent use.
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

// waiter is a request in the queue. decided is closed when the request is admitted,
// or refused if late is set.
type waiter struct {
	request Request
	arrived time.Time
	decided chan struct{}
	late    bool
}

// admissionInterval averages the time between admissions of an account's waiting
// requests. Because of fairness it differs from that of the whole queue.
type admissionInterval struct {
	lastAdmission time.Time
	mean          time.Duration
}

// intervalSmoothing is the weight of one admission in the mean interval.
const intervalSmoothing = 0.1

func (a *admissionInterval) observe(now time.Time) {
	a.mean += time.Duration(intervalSmoothing * float64(now.Sub(a.lastAdmission)-a.mean))
	a.lastAdmission = now
}

// New returns an empty queue. capacity returns the number of requests that may run
// at once; it is called for each decision.
func New(capacity func() int) *Queue {
	return &Queue{capacity: capacity, runningByAccount: make(map[string]int), admissionIntervals: make(map[string]*admissionInterval)}
}

// Acquire waits until the request may run. The caller must call release when the
// request has ended. The error is Late, Full or GivenUp.
func (q *Queue) Acquire(ctx context.Context, r Request) (release func(), err error) {
	w, err := q.submit(r)
	if err != nil {
		return nil, err
	}
	var expired <-chan time.Time
	if !r.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(r.Deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.decided:
		return q.result(w)
	case <-ctx.Done():
		err = ctx.Err()
	case <-expired:
		err = context.DeadlineExceeded
	}
	if !q.remove(w) {
		// The request was admitted or refused at the same moment.
		return q.result(w)
	}
	return nil, errs.Wrap(GivenUp, "acquire", err, "waited %s", time.Since(w.arrived).Round(time.Millisecond))
}

// result returns the outcome of a request that was admitted or refused.
func (q *Queue) result(w *waiter) (release func(), err error) {
	if w.late {
		return nil, newRefusal(Late, minRetryAfter, "waited %s and cannot make the deadline any more", time.Since(w.arrived).Round(time.Millisecond))
	}
	return q.releaser(w.request), nil
}

// submit admits, queues or refuses a new request.
func (q *Queue) submit(r Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	capacity := max(1, q.capacity())
	w := &waiter{request: r, arrived: time.Now(), decided: make(chan struct{})}
	if q.running < capacity && len(q.waiting) == 0 {
		q.admit(w)
		return w, nil
	}
	wait := q.expectedWait(r, capacity)
	if !r.Deadline.IsZero() && time.Now().Add(wait+q.meanServiceTime).After(r.Deadline) {
		return nil, newRefusal(Late, wait, "would wait %s and run %s", wait.Round(time.Millisecond), q.meanServiceTime.Round(time.Millisecond))
	}
	if q.countAhead(r.Priority) >= capacity*q.maxWaiting(r.Priority) {
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
	return errs.WithRetryAfter(err, max(minRetryAfter, wait))
}

// expectedWait estimates how long a new request will wait. It is the smaller of the
// time to admit all waiting requests of the same and higher priorities and, since
// accounts take turns, the time to admit the account's own waiting requests at an
// equal part of the capacity. If the account already has requests waiting, it is at
// least the estimate from their recent admission interval.
func (q *Queue) expectedWait(r Request, capacity int) time.Duration {
	ownWaiting, accounts := 1, map[string]bool{r.Account: true}
	for _, w := range q.waiting {
		if w.request.Priority < r.Priority {
			continue
		}
		accounts[w.request.Account] = true
		if w.request.Account == r.Account {
			ownWaiting++
		}
	}
	position := min(q.countAhead(r.Priority)+1, ownWaiting*len(accounts))
	wait := time.Duration(float64(position) / float64(capacity) * float64(q.meanServiceTime))
	if interval := q.admissionIntervals[r.Account]; interval != nil && ownWaiting > 1 {
		wait = max(wait, time.Duration(ownWaiting)*interval.mean)
	}
	return wait
}

// countAhead returns the number of waiting requests of a priority or higher.
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

// releaser returns a function that releases a request's capacity once.
func (q *Queue) releaser(r Request) func() {
	start := time.Now()
	var once sync.Once
	return func() { once.Do(func() { q.release(r, time.Since(start)) }) }
}

func (q *Queue) release(r Request, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if q.runningByAccount[r.Account]--; q.runningByAccount[r.Account] == 0 {
		delete(q.runningByAccount, r.Account)
	}
	if r.Priority == config.PriorityPatient {
		q.runningPatient--
	}
	if q.meanServiceTime == 0 {
		q.meanServiceTime = took
	}
	q.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(took-q.meanServiceTime))
	q.fill()
}

// fill admits waiting requests while there is capacity. It refuses those that are
// no longer expected to meet their deadline.
func (q *Queue) fill() {
	capacity := max(1, q.capacity())
	now := time.Now()
	for q.running < capacity && len(q.waiting) > 0 {
		index := q.next(capacity)
		w := q.waiting[index]
		q.waiting = append(q.waiting[:index], q.waiting[index+1:]...)
		q.recordAdmission(w, now)
		if deadline := w.request.Deadline; !deadline.IsZero() && now.Add(q.meanServiceTime).After(deadline) {
			w.late = true
			close(w.decided)
			continue
		}
		q.admit(w)
	}
}

// recordAdmission updates the account's admission interval as a request leaves the
// queue. The interval is reset if the last one left before this request arrived,
// since the account had nothing waiting in between.
func (q *Queue) recordAdmission(w *waiter, now time.Time) {
	interval := q.admissionIntervals[w.request.Account]
	if interval == nil || interval.lastAdmission.Before(w.arrived) {
		q.admissionIntervals[w.request.Account] = &admissionInterval{lastAdmission: now, mean: q.meanServiceTime / time.Duration(max(1, q.capacity()))}
		return
	}
	interval.observe(now)
}

// next returns the index of the waiting request to admit next.
func (q *Queue) next(capacity int) int {
	minRunning := int(math.Ceil(patientMinShare * float64(capacity)))
	belowMinShare := q.runningPatient < minRunning
	now := time.Now()
	best := 0
	for i, w := range q.waiting {
		if q.runsBefore(w, q.waiting[best], belowMinShare, now) {
			best = i
		}
	}
	return best
}

// runsBefore reports whether a runs before b, which arrived earlier.
func (q *Queue) runsBefore(a, b *waiter, belowMinShare bool, now time.Time) bool {
	rankA, rankB := rank(a, belowMinShare, now), rank(b, belowMinShare, now)
	if rankA != rankB {
		return rankA > rankB
	}
	return q.runningByAccount[a.request.Account] < q.runningByAccount[b.request.Account]
}

// rankFirst is the rank of patient requests while they have less than their
// guaranteed share; it is above all priorities.
const rankFirst = config.PriorityInteractive + 1

func rank(w *waiter, belowMinShare bool, now time.Time) config.Priority {
	if w.request.Priority != config.PriorityPatient {
		return w.request.Priority
	}
	if belowMinShare {
		return rankFirst
	}
	if now.Sub(w.arrived) > patientAgingTime {
		return config.PriorityStandard
	}
	return config.PriorityPatient
}

// remove removes a request from the queue. It returns false if the request was
// already admitted or refused.
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

// Load returns the numbers of running and waiting requests.
func (q *Queue) Load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}
