package relay

import (
	"context"
	"errors"
	"time"

	"github.com/violettally/violettally/route"
)

// A server that is dark, hangs, or has become slow gives no sign of it. A
// request that may run again is therefore taken away from a server whose
// answer is late against its kind and beyond what was expected of it.
const (
	// minFirstByteShare and mostPatience bound the wait for the first piece of an
	// answer, as shares of the route's objective; only what is expected to take
	// longer may. A request that is taken away is read again elsewhere and makes
	// all others later: at half of the objective one in ten was, from servers
	// that were only busy, and worth fell from 0.67 to 0.64.
	minFirstByteShare = 0.8
	maxFirstByteShare = 0.9
	// maxExpectedFactor is how many times longer than expected any answer may take
	// to begin.
	maxExpectedFactor = 3
	// maxPauseFactor is the multiple of the longest pause in time after which the
	// rest of a stream is asked for elsewhere. On a calm day one stream in ten
	// pauses for more than half of that time, one in a hundred for all of it,
	// and goes on by itself.
	maxPauseFactor = 1.25
	// defaultObjective stands in for routes that declare none.
	defaultObjective = 2 * time.Second
)

// errStalled ends an attempt whose server was late.
var errStalled = errors.New("the server is late")

// watchdog takes one attempt away from a server that is late. The zero value
// watches nothing.
type watchdog struct {
	timer *time.Timer
	// since is since when it waits.
	since time.Time
}

// startWatchdog begins to watch an attempt that has been sent just now.
func (x *exchange) startWatchdog(use *route.Use, cancel context.CancelCauseFunc) *watchdog {
	// This attempt will count as a run, so one more must be left.
	if !x.mayReroute(x.runs + 1) {
		return &watchdog{}
	}
	length, known := x.bodyDuration()
	servers, _ := x.servers()
	task, deadline := x.task(servers), x.deadline
	task.Exclude = nil // these have not been tried, and tried changes meanwhile
	return &watchdog{since: time.Now(), timer: time.AfterFunc(x.firstByteTimeout(use), func() {
		takes := x.relay.Balancer.Forecast(task).Total() + length
		if x.relay.endsInTime(deadline, takes, known) && x.relay.Reroutes.Take(x.service, 0) && x.relay.Budgets.Take(x.service, retryReserve) {
			cancel(errStalled)
		}
	})}
}

// reset bounds the time until the next piece of the answer; zero bounds it no
// more.
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

// stop ends the watch.
func (w *watchdog) stop() { w.reset(0) }

// firstByteTimeout is how long an attempt waits for the first piece of its answer.
func (x *exchange) firstByteTimeout(use *route.Use) time.Duration {
	objective := x.route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	least := time.Duration(minFirstByteShare * float64(objective))
	most := max(time.Duration(maxFirstByteShare*float64(objective)), maxExpectedFactor*use.Expected())
	if use.Late() == 0 {
		return most
	}
	return min(most, max(least, use.Late()))
}

// mayReroute reports whether there is another server that the request may be taken
// to once the given number of servers has run it.
func (x *exchange) mayReroute(runs int) bool {
	return x.otherServers > 0 && x.mayRunAfter(runs) && x.sends < maxSends && x.request.Body.FullyBuffered()
}

// stalled reports whether an attempt was ended for its lateness.
func stalled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStalled) }
