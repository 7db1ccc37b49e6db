package relay

import (
	"context"
	"errors"
	"time"

	"github.com/violettally/violettally/route"
)

// A server that has become unreachable, hangs or is slow gives no sign of it. Repeatable
// requests are therefore rerouted if their response is late, both compared with other requests
// of their kind and with what was expected of the server.
const (
	// minFirstByteShare and maxFirstByteShare bound the wait for the first byte, as shares of
	// the route's objective; only responses that are expected to take longer may exceed them. A
	// rerouted request is processed again elsewhere and delays all others, so servers that are
	// only busy must not lose their requests.
	minFirstByteShare = 0.8
	maxFirstByteShare = 0.9
	// maxExpectedFactor is the multiple of the expected time within which a response must
	// begin.
	maxExpectedFactor = 3
	// maxPauseFactor is the multiple of the route's MaxPause after which a stream is resumed
	// elsewhere. Under normal conditions one stream in ten pauses for more than half of that
	// time and one in a hundred for all of it, and they go on by themselves.
	maxPauseFactor = 1.25
	// defaultObjective is used for routes that declare none.
	defaultObjective = 2 * time.Second
)

// errStalled is the cancellation cause of attempts at late servers.
var errStalled = errors.New("the server is late")

// watchdog cancels one attempt if its server is late. The zero value does nothing.
type watchdog struct {
	timer *time.Timer
	// since is when the present wait began.
	since time.Time
}

// startWatchdog starts the watchdog of an attempt that is being sent.
func (x *exchange) startWatchdog(assignment *route.Assignment, cancel context.CancelCauseFunc) *watchdog {
	// This attempt will count as a run, so one more must be allowed.
	if !x.mayReroute(x.runs + 1) {
		return &watchdog{}
	}
	length, known := x.bodyDuration()
	servers, _ := x.servers()
	task, deadline := x.task(servers), x.deadline
	task.Exclude = nil // the servers are untried already, and x.tried changes concurrently
	return &watchdog{since: time.Now(), timer: time.AfterFunc(x.firstByteTimeout(assignment), func() {
		task.Servers = x.relay.allowed(task.Servers)
		takes := x.relay.Balancer.Forecast(task).Latency() + length
		if len(task.Servers) > 0 && x.relay.endsInTime(deadline, takes, known) && x.relay.Reroutes.Take(x.service, 0) && x.relay.Budgets.Take(x.service, retryReserve) {
			cancel(errStalled)
		}
	})}
}

// reset sets the time until the next part of the response is due; zero disables the watchdog.
func (w *watchdog) reset(d time.Duration) {
	switch {
	case w.timer == nil:
	case d > 0:
		w.since = time.Now()
		w.timer.Reset(d)
	default:
		w.timer.Stop()
	}
}

// stop disables the watchdog.
func (w *watchdog) stop() { w.reset(0) }

// firstByteTimeout returns how long an attempt waits for its first byte.
func (x *exchange) firstByteTimeout(assignment *route.Assignment) time.Duration {
	objective := x.objective()
	minWait := time.Duration(minFirstByteShare * float64(objective))
	maxWait := max(time.Duration(maxFirstByteShare*float64(objective)), maxExpectedFactor*assignment.ExpectedLatency())
	if assignment.LateAfter() == 0 {
		return maxWait
	}
	return min(maxWait, max(minWait, assignment.LateAfter()))
}

// mayReroute reports whether the request may be moved to another server once the given number
// of servers have run it.
func (x *exchange) mayReroute(runs int) bool {
	return x.otherServers > 0 && x.mayRunAfter(runs) && x.sends < maxSends && x.request.Body.FullyBuffered()
}

// stalled reports whether the attempt was canceled because its server was late.
func stalled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStalled) }
