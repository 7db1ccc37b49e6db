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
	// leastPatience and mostPatience bound the wait for the first piece of an
	// answer, as shares of the route's objective; only what is expected to take
	// longer may. A request that is taken away is read again elsewhere and makes
	// all others later: at half of the objective one in ten was, from servers
	// that were only busy, and worth fell from 0.67 to 0.64.
	leastPatience = 0.8
	mostPatience  = 0.9
	// overExpected is how many times longer than expected any answer may take
	// to begin.
	overExpected = 3
	// pausePatience is the multiple of the longest pause in time after which the
	// rest of a stream is asked for elsewhere. On a calm day one stream in ten
	// pauses for more than half of that time, one in a hundred for all of it,
	// and goes on by itself.
	pausePatience = 1.25
	// noObjective stands in for routes that declare none.
	noObjective = 2 * time.Second
)

// errStalled ends an attempt whose server was late.
var errStalled = errors.New("the server is late")

// watch takes one attempt away from a server that is late. The zero value
// watches nothing.
type watch struct {
	timer *time.Timer
	// from is since when it waits.
	from time.Time
}

// watch begins to watch an attempt that has been sent just now.
func (x *exchange) watch(use *route.Use, cancel context.CancelCauseFunc) *watch {
	// This attempt will count as a run, so one more must be left.
	if !x.mayMove(x.runs + 1) {
		return &watch{}
	}
	length, known := x.length()
	servers, _ := x.servers()
	task, deadline := x.task(servers), x.deadline
	task.Exclude = nil // these have not been tried, and tried changes meanwhile
	return &watch{from: time.Now(), timer: time.AfterFunc(x.patience(use), func() {
		takes := x.relay.Balancer.Forecast(task).Total() + length
		if x.relay.endsInTime(deadline, takes, known) && x.relay.Reroutes.Take(x.service, 0) && x.relay.Budgets.Take(x.service, spareForRetries) {
			cancel(errStalled)
		}
	})}
}

// pause bounds the time until the next piece of the answer; zero bounds it no
// more.
func (w *watch) pause(d time.Duration) {
	switch {
	case w.timer == nil:
	case d > 0:
		w.from = time.Now()
		w.timer.Reset(d)
	default:
		w.timer.Stop()
	}
}

// stop ends the watch.
func (w *watch) stop() { w.pause(0) }

// patience is how long an attempt waits for the first piece of its answer.
func (x *exchange) patience(use *route.Use) time.Duration {
	objective := x.route.Objective
	if objective <= 0 {
		objective = noObjective
	}
	least := time.Duration(leastPatience * float64(objective))
	most := max(time.Duration(mostPatience*float64(objective)), overExpected*use.Expected())
	if use.Late() == 0 {
		return most
	}
	return min(most, max(least, use.Late()))
}

// mayMove reports whether there is another server that the request may be taken
// to once the given number of servers has run it.
func (x *exchange) mayMove(runs int) bool {
	return x.others > 0 && x.mayDrop(runs) && x.sends < maxSends && x.request.Body.FullyBuffered()
}

// stalled reports whether an attempt was ended for its lateness.
func stalled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStalled) }
