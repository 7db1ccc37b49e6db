package timer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/timer"
)

// TestSteadyCountsSuspension: a machine is suspended for a minute, and again; readings
// that seem to take some of it back change nothing.
func TestSteadyCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asleep := time.Hour // before this process
		timers := timer.New(timer.WithSuspendedTime(func() time.Duration { return asleep }))
		defer timers.Close()
		begun := timers.Steady()
		for _, tt := range []struct{ asleep, runs, want time.Duration }{
			{0, time.Second, time.Second},
			{time.Minute, 0, time.Minute + time.Second},
			{-time.Millisecond, time.Second, time.Minute + 2*time.Second},
			{time.Minute, time.Second, 2*time.Minute + 3*time.Second - time.Millisecond},
		} {
			asleep += tt.asleep
			time.Sleep(tt.runs)
			must.Eq(t, tt.want, timers.Steady().Sub(begun))
		}
	})
}

// BenchmarkSteady is what an age costs.
func BenchmarkSteady(b *testing.B) {
	timers := timer.New()
	defer timers.Close()
	b.ReportAllocs()
	for b.Loop() {
		timers.Steady()
	}
}
