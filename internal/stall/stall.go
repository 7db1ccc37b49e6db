// Package stall detects periods in which this process did not run, because it was
// suspended or got no CPU time. Timeouts that the process logs around such a
// period are caused by the stall and not by the network.
//
// # Usage
//
//	go stall.Watch(ctx, timers, stall.Log)
package stall

import (
	"context"
	"log/slog"
	"time"

	"github.com/violettally/violettally/timer"
)

const (
	checkInterval = 200 * time.Millisecond
	// minReported is the delay above which a stall is reported: a claim replica that
	// stalls for so long misses its response deadline.
	minReported = 300 * time.Millisecond
)

// Log logs a stall as a warning. It is a report function for [Watch].
func Log(late time.Duration) { slog.Warn("process did not run", "late_ms", late.Milliseconds()) }

// Watch calls report with the length of each stall longer than minReported, until
// the context ends.
func Watch(ctx context.Context, timers *timer.Service, report func(late time.Duration)) {
	ticks := timers.Subscribe(checkInterval)
	defer ticks.Stop()
	last := timers.Steady()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		now := timers.Steady()
		if late := now.Sub(last) - checkInterval; late > minReported {
			report(late)
		}
		last = now
	}
}
