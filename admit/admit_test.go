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
)

// testLoad is a stream of like requests.
type testLoad struct {
	account  string
	priority config.Priority
	// rate per second, each taking work and due after deadline.
	rate     float64
	work     time.Duration
	deadline time.Duration
}

// loadResult counts what became of a load.
type loadResult struct{ done, late, refused int }

// offer runs loads against a queue for a while, in the bubble's time.
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

// TestOverload offers half to half again more than the capacity, 80 requests a
// second: goodput must not fall past it, and what is refused is refused at
// once.
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

// TestFairness lets one account flood, and patient work stand beside
// interactive calls that could take everything.
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
		must.GreaterEq(t, 20*(80-10-5)*9/10, r[0].done, must.Sprint("what is let in makes its deadline"))
		must.GreaterEq(t, 100, r[2].done, must.Sprint("patient work keeps its floor"))
		must.GreaterEq(t, 190, r[1].done, must.Sprint("a small account is not starved"))
	})
}

// TestRefusesHopelessRequestImmediately refuses what cannot make its deadline when it comes, with
// the time to come back.
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
		must.Greater(t, 500*time.Millisecond, admit.RetryAfter(err))
	})
}
