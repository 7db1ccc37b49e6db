package gateway

import (
	"log/slog"
	"sync/atomic"
)

// limitedLog writes log lines about one kind of change, up to a rate: when a large deployment
// starts, every gateway learns of thousands of servers and gateways within seconds. The line
// after those that were left out tells how many there were. It reads no clock, since it is
// asked for every change. It is safe for concurrent use.
type limitedLog struct {
	burst   int64
	left    atomic.Int64
	leftOut atomic.Int64
}

// newLimitedLog returns a log of up to burst lines at once.
func newLimitedLog(burst int64) *limitedLog {
	l := &limitedLog{burst: burst}
	l.left.Store(burst)
	return l
}

// refill allows so many further lines, as the time since the last call gives.
func (l *limitedLog) refill(lines int64) { l.left.Store(min(l.burst, max(0, l.left.Load())+lines)) }

// info writes a line, unless there were too many.
func (l *limitedLog) info(message string, args ...any) {
	if l.left.Add(-1) < 0 {
		l.leftOut.Add(1)
		return
	}
	if n := l.leftOut.Swap(0); n > 0 {
		args = append(args, "lines_left_out", n)
	}
	slog.Info(message, args...)
}
