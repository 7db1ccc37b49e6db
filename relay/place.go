package relay

import (
	"time"

	"github.com/violettally/violettally/route"
)

const (
	// usualTimeFactor is how many times the expected time a request may take that is not late.
	usualTimeFactor = 2
	// lateTime is how long a server may still run a request that it should have ended long ago.
	lateTime = 2 * time.Second
)

// releasePlace gives back the place of an attempt that began at the given time, once the server does not run
// the request any more.
func (x *exchange) releasePlace(assignment *route.Assignment, begun time.Time, rejected bool) {
	server := assignment.Server()
	switch {
	case rejected:
		x.relay.Rejections.Reject(server)
	case x.abandoned:
		x.relay.Rejections.Abandon(server, x.mayRunFor(assignment, time.Since(begun)))
	default:
		x.relay.Rejections.Release(server)
	}
}

// mayRunFor returns how long a server may still run a request that was given up after the given time: the rest
// of what such requests take, and no longer than the time that the server was told.
func (x *exchange) mayRunFor(assignment *route.Assignment, elapsed time.Duration) time.Duration {
	length, _ := x.relay.durations.upperBound(x.kind(), x.request.Prompt.MaxOutput)
	rest := usualTimeFactor*assignment.ExpectedLatency() + length - elapsed
	if rest <= 0 {
		rest = lateTime
	}
	return max(0, min(rest, time.Until(x.deadline)))
}
