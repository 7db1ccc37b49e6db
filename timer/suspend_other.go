//go:build !linux

package timer

import "time"

// suspended returns zero, since the time spent suspended is known on Linux only.
func suspended() time.Duration { return 0 }
