// Package stall tells when this process did not run: it was frozen, or waited for a
// processor. What a process logs meanwhile as "did not answer" has its cause there
// and not in the network.
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
	// tick is how often a process looks whether it gets the processor.
	tick = 50 * time.Millisecond
	// least is the delay that is told: a claim replica that is as late does not
	// answer in its time.
	least = 300 * time.Millisecond
)

// Log writes a log line of a stall.
func Log(late time.Duration) { slog.Warn("process did not run", "late_ms", late.Milliseconds()) }

// Watch calls tell when this process did not run for long, with how long, until the
// context ends.
func Watch(ctx context.Context, timers *timer.Service, tell func(late time.Duration)) {
	ticks := timers.Subscribe(tick)
	defer ticks.Stop()
	last := timers.Steady()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		now := timers.Steady()
		if late := now.Sub(last) - tick; late > least {
			tell(late)
		}
		last = now
	}
}
