package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns for how long this machine has been suspended since it booted.
// CLOCK_BOOTTIME includes that time, CLOCK_MONOTONIC does not.
func suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
