package gateway

import (
	"log/slog"
	"time"

	"golang.org/x/time/rate"
)

// limitedLog writes log lines about one kind of change, up to a rate: when a large deployment
// starts, every gateway learns of thousands of servers and gateways within seconds. The line
// after those that were left out tells how many there were. It is not safe for concurrent use.
type limitedLog struct {
	limiter *rate.Limiter
	leftOut int
}

// newLimitedLog returns a log of so many lines a second, and of burst lines at once.
func newLimitedLog(perSecond rate.Limit, burst int) *limitedLog {
	return &limitedLog{limiter: rate.NewLimiter(perSecond, burst)}
}

// info writes a line, unless there were too many.
func (l *limitedLog) info(now time.Time, message string, args ...any) {
	if !l.limiter.AllowN(now, 1) {
		l.leftOut++
		return
	}
	if l.leftOut > 0 {
		args = append(args, "lines_left_out", l.leftOut)
		l.leftOut = 0
	}
	slog.Info(message, args...)
}
