package retry_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/retry"
)

// TestRetriesBoundedByShare fails every attempt in a pool and checks that
// retries add no more than the configured share and the initial tokens.
func TestRetriesBoundedByShare(t *testing.T) {
	const requests = 10_000
	for _, share := range []float64{0, 0.1, 0.5} {
		b := retry.New()
		attempts := 0
		for range requests {
			for try := 0; try < 3; try++ {
				if try > 0 && !b.Take("p") {
					break
				}
				attempts++
			}
			b.RecordRequest("p", share)
		}
		must.LessEq(t, int(requests*(1+share))+3, attempts)
		must.GreaterEq(t, int(requests*(1+share))-20, attempts)
		must.True(t, b.Take("another pool"), must.Sprint("each pool has its own budget"))
	}
}
