//go:build !linux

package timer

import "time"

// suspended returns for how long this machine has been suspended, which is known on
// Linux alone.
func suspended() time.Duration { return 0 }
