package relay

import (
	"context"
	"time"
)

const (
	// startPatience is how long a request is held by a process that has just
	// started and does not know yet what the store holds. It knows within some
	// milliseconds, or within half a second where all processes of a large
	// deployment start at once; only an outage takes longer, and then the client
	// is told at once afterwards when to come back.
	startPatience = 500 * time.Millisecond
	// startShare of a client's time may pass so: callers who wait for a tenth of
	// their time still have the rest of it for another node.
	startShare = 0.1
)

// awaitStart holds a request while this process does not know yet what the store
// holds. Clients come as soon as the door is open: refused, each would lose one of
// its few tries to a process that could serve it a moment later.
func (r *Relay) awaitStart(ctx context.Context, q *Request) {
	if r.Started == nil {
		return
	}
	select {
	case <-r.Started:
		return
	default:
	}
	held := startPatience
	if q.TimeLeft > 0 {
		held = min(held, time.Duration(startShare*float64(q.TimeLeft)))
	}
	ctx, cancel := context.WithDeadline(ctx, q.Arrived.Add(held))
	defer cancel()
	select {
	case <-r.Started:
	case <-ctx.Done():
	}
}
