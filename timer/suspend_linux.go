package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns for how long this machine has been suspended since it started: one
// clock counts that and the other doesn't.
func suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
