package progress_test

import (
	"context"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/progress"
)

// TestWithTimeout checks when a call times out, by the times at which parts of its
// response arrive.
func TestWithTimeout(t *testing.T) {
	timeouts := progress.Timeouts{FirstByte: 300 * time.Millisecond, Idle: 200 * time.Millisecond, Total: time.Second}
	tests := []struct {
		name  string
		parts []time.Duration
		ends  time.Duration
	}{
		{"no response", nil, 300 * time.Millisecond},
		{"an early part does not shorten the first timeout", []time.Duration{10 * time.Millisecond}, 300 * time.Millisecond},
		{"idle after one part", []time.Duration{250 * time.Millisecond}, 450 * time.Millisecond},
		{"idle after several parts", []time.Duration{250 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond}, 700 * time.Millisecond},
		{"a part after the timeout", []time.Duration{250 * time.Millisecond, 460 * time.Millisecond}, 450 * time.Millisecond},
		{"total timeout", []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 600 * time.Millisecond,
			750 * time.Millisecond, 900 * time.Millisecond, 990 * time.Millisecond}, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, cancel := progress.WithTimeout(t.Context(), timeouts)
				defer cancel()
				for _, at := range tt.parts {
					time.AfterFunc(at, func() { progress.Report(ctx) })
				}
				must.False(t, progress.Started(ctx))
				<-ctx.Done()
				must.Eq(t, len(tt.parts) > 0, progress.Started(ctx))
				must.Eq(t, tt.ends, time.Since(start))
				must.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
			})
		})
	}
}

// TestReader checks that reads extend the deadlines of all enclosing contexts.
func TestReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		outer, cancelOuter := progress.WithTimeout(t.Context(), progress.Timeouts{FirstByte: 100 * time.Millisecond, Idle: 95 * time.Millisecond, Total: time.Second})
		defer cancelOuter()
		inner, cancelInner := progress.WithTimeout(outer, progress.Timeouts{FirstByte: 100 * time.Millisecond, Idle: 50 * time.Millisecond, Total: time.Second})
		defer cancelInner()
		r := iotest.OneByteReader(progress.Reader(inner, strings.NewReader("piece")))
		for range 3 {
			time.Sleep(90 * time.Millisecond)
			_, err := r.Read(make([]byte, 1))
			must.NoError(t, err)
			must.NoError(t, outer.Err())
			if time.Since(start) < 100*time.Millisecond {
				must.NoError(t, inner.Err())
			}
		}
		<-outer.Done()
		must.Eq(t, 365*time.Millisecond, time.Since(start))
	})
}

// TestCancel checks that a cancelled context has the cause context.Canceled, and
// that later progress does not start its timer again.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := progress.WithTimeout(t.Context(), progress.Timeouts{FirstByte: time.Second, Idle: time.Second, Total: time.Second})
		cancel()
		progress.Report(ctx)
		time.Sleep(2 * time.Second)
		must.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}
