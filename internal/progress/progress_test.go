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

// TestWithTimeout lists when pieces of an answer come, and when its call is ended.
func TestWithTimeout(t *testing.T) {
	bounds := progress.Timeouts{FirstByte: 300 * time.Millisecond, Idle: 200 * time.Millisecond, Total: time.Second}
	tests := []struct {
		name   string
		pieces []time.Duration
		ends   time.Duration
	}{
		{"nothing comes", nil, 300 * time.Millisecond},
		{"an early piece takes nothing away", []time.Duration{10 * time.Millisecond}, 300 * time.Millisecond},
		{"silent after a piece", []time.Duration{250 * time.Millisecond}, 450 * time.Millisecond},
		{"silent after several", []time.Duration{250 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond}, 700 * time.Millisecond},
		{"too late", []time.Duration{250 * time.Millisecond, 460 * time.Millisecond}, 450 * time.Millisecond},
		{"never whole", []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 600 * time.Millisecond,
			750 * time.Millisecond, 900 * time.Millisecond, 990 * time.Millisecond}, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, cancel := progress.WithTimeout(t.Context(), bounds)
				defer cancel()
				for _, at := range tt.pieces {
					time.AfterFunc(at, func() { progress.Report(ctx) })
				}
				must.False(t, progress.Started(ctx))
				<-ctx.Done()
				must.Eq(t, len(tt.pieces) > 0, progress.Started(ctx))
				must.Eq(t, tt.ends, time.Since(began))
				must.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
			})
		})
	}
}

// TestReader: what is read counts for all contexts around the reader.
func TestReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		outer, endOuter := progress.WithTimeout(t.Context(), progress.Timeouts{FirstByte: 100 * time.Millisecond, Idle: 95 * time.Millisecond, Total: time.Second})
		defer endOuter()
		inner, endInner := progress.WithTimeout(outer, progress.Timeouts{FirstByte: 100 * time.Millisecond, Idle: 50 * time.Millisecond, Total: time.Second})
		defer endInner()
		r := iotest.OneByteReader(progress.Reader(inner, strings.NewReader("piece")))
		for range 3 {
			time.Sleep(90 * time.Millisecond)
			_, err := r.Read(make([]byte, 1))
			must.NoError(t, err)
			must.NoError(t, outer.Err())
			if time.Since(began) < 100*time.Millisecond {
				must.NoError(t, inner.Err())
			}
		}
		<-outer.Done()
		must.Eq(t, 365*time.Millisecond, time.Since(began))
	})
}

// TestCancel: a context that was left says so, and no timer outlives it.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := progress.WithTimeout(t.Context(), progress.Timeouts{FirstByte: time.Second, Idle: time.Second, Total: time.Second})
		cancel()
		progress.Report(ctx)
		time.Sleep(2 * time.Second)
		must.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}
