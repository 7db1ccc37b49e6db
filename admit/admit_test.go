package admit_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/admit"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/errs"
)

// testLoad is a stream of equal requests of one account.
type testLoad struct {
	account  string
	priority config.Priority
	// rate is in requests per second. Each request runs for work and has the given
	// deadline, counted from its arrival.
	rate     float64
	work     time.Duration
	deadline time.Duration
}

// loadResult counts the outcomes of a load's requests.
type loadResult struct{ done, late, refused int }

// offer runs loads against a queue for d of the synctest bubble's time.
func offer(q *admit.Queue, d time.Duration, loads ...testLoad) []loadResult {
	results := make([]loadResult, len(loads))
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, l := range loads {
		group.Go(func() {
			for start := time.Now(); time.Since(start) < d; time.Sleep(time.Duration(float64(time.Second) / l.rate)) {
				group.Go(func() {
					deadline := time.Now().Add(l.deadline)
					release, err := q.Acquire(context.Background(), admit.Request{Account: l.account, Priority: l.priority, Deadline: deadline})
					if err == nil {
						time.Sleep(l.work)
						release()
					}
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err != nil:
						results[i].refused++
					case time.Now().After(deadline):
						results[i].late++
					default:
						results[i].done++
					}
				})
			}
		})
	}
	group.Wait()
	return results
}

// TestOverload offers between half and three times the capacity of 80 requests per
// second. Goodput must not fall when the capacity is exceeded, and few admitted
// requests may miss their deadline.
func TestOverload(t *testing.T) {
	for _, rate := range []float64{40, 80, 120, 240} {
		synctest.Test(t, func(t *testing.T) {
			q := admit.New(func() int { return 8 })
			r := offer(q, 20*time.Second, testLoad{account: "a", priority: config.PriorityInteractive, rate: rate, work: 100 * time.Millisecond, deadline: time.Second})[0]
			t.Logf("offered %.0f/s: %d done, %d late, %d refused", rate, r.done, r.late, r.refused)
			must.GreaterEq(t, int(0.95*20*min(rate, 80)), r.done)
			must.LessEq(t, r.done/50+5, r.late)
		})
	}
}

// TestFairness overloads the queue with the requests of one account. Another account
// with few requests and patient requests must still be served.
func TestFairness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admit.New(func() int { return 8 })
		const work = 100 * time.Millisecond
		r := offer(q, 20*time.Second,
			testLoad{account: "flood", priority: config.PriorityInteractive, rate: 200, work: work, deadline: time.Second},
			testLoad{account: "small", priority: config.PriorityInteractive, rate: 10, work: work, deadline: time.Second},
			testLoad{account: "patient", priority: config.PriorityPatient, rate: 5, work: work, deadline: time.Hour},
		)
		t.Logf("flood %+v, small %+v, patient %+v", r[0], r[1], r[2])
		must.GreaterEq(t, 20*(80-10-5)*9/10, r[0].done, must.Sprint("admitted requests meet their deadlines"))
		must.GreaterEq(t, 100, r[2].done, must.Sprint("patient requests get their guaranteed share"))
		must.GreaterEq(t, 190, r[1].done, must.Sprint("an account with few requests is not starved"))
	})
}

// TestRefusesHopelessRequestImmediately checks that a request that cannot meet its
// deadline is refused on arrival, with a time after which to retry.
func TestRefusesHopelessRequestImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admit.New(func() int { return 1 })
		offer(q, time.Second, testLoad{account: "a", rate: 2, work: time.Second, deadline: time.Minute})
		var others sync.WaitGroup
		defer others.Wait()
		others.Go(func() {
			offer(q, time.Second, testLoad{account: "a", rate: 5, work: time.Second, deadline: time.Minute})
		})
		time.Sleep(900 * time.Millisecond)
		start := time.Now()
		_, err := q.Acquire(t.Context(), admit.Request{Account: "b", Deadline: time.Now().Add(500 * time.Millisecond)})
		must.True(t, errorx.IsOfType(err, admit.Late), must.Sprint(err))
		must.Eq(t, 0, time.Since(start))
		must.Greater(t, 500*time.Millisecond, errs.RetryAfter(err))
	})
}
