package timer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/timer"
)

// TestSteadyCountsSuspension checks that Steady advances while the machine is
// suspended, and does not go back when a reading of the suspended time is a little
// smaller than the one before.
func TestSteadyCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Hour // before the process started
		timers := timer.New(timer.WithSuspendedTime(func() time.Duration { return suspended }))
		defer timers.Close()
		start := timers.Steady()
		for _, tt := range []struct{ suspended, running, want time.Duration }{
			{0, time.Second, time.Second},
			{time.Minute, 0, time.Minute + time.Second},
			{-time.Millisecond, time.Second, time.Minute + 2*time.Second},
			{time.Minute, time.Second, 2*time.Minute + 3*time.Second - time.Millisecond},
		} {
			suspended += tt.suspended
			time.Sleep(tt.running)
			must.Eq(t, tt.want, timers.Steady().Sub(start))
		}
	})
}

// BenchmarkSteady measures the cost of one call of Steady.
func BenchmarkSteady(b *testing.B) {
	timers := timer.New()
	defer timers.Close()
	b.ReportAllocs()
	for b.Loop() {
		timers.Steady()
	}
}
