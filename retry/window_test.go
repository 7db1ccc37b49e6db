package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/retry"
)

// TestWindowBudgets checks that retries are limited to half of the requests in
// ten seconds, plus three.
func TestWindowBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := retry.NewWindowBudgets(0.5, func() float64 { return 3 }, 10*time.Second)
		take := func(reserve float64) (n int) {
			for w.Take("s", reserve) {
				n++
			}
			return n
		}
		must.Eq(t, 3, take(0), must.Sprint("only the slack"))
		for range 100 {
			w.RecordRequest("s")
			w.RecordRequest("other")
		}
		must.Eq(t, 36, take(0.25), must.Sprint("a quarter is reserved"))
		must.Eq(t, 14, take(0))
		time.Sleep(5 * time.Second)
		must.Eq(t, 0, take(0))
		time.Sleep(6 * time.Second)
		must.Eq(t, 53, take(0), must.Sprint("limited by the requests of the previous window"))
		time.Sleep(11 * time.Second)
		must.Eq(t, 3, take(0), must.Sprint("all counts have expired"))
		time.Sleep(time.Hour)
		must.Eq(t, 3, take(0))
	})
}

// TestWindowBudgetsAnySpan checks that no span of 9.5 seconds, a window less
// one slice, has more retries than the limit.
func TestWindowBudgetsAnySpan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := retry.NewWindowBudgets(0.5, func() float64 { return 2 }, 10*time.Second)
		var retriedAt []time.Time
		for range 400 {
			w.RecordRequest("s")
			if w.Take("s", 0) {
				retriedAt = append(retriedAt, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		for i, from := range retriedAt {
			n := 0
			for _, later := range retriedAt[i:] {
				if later.Sub(from) < 9500*time.Millisecond {
					n++
				}
			}
			must.LessEq(t, 52, n)
		}
	})
}
