package retry_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/retry"
)

// TestRetriesBoundedByShare lets every attempt of a pool fail: retries add no more than
// the declared share and a few to begin with.
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
		must.True(t, b.Take("another pool"), must.Sprint("a pool's failure is its own"))
	}
}
