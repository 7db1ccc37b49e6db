package relay

import (
	"context"
	"time"
)

const (
	// maxReadyWait is how long a request is held by a process that has just started and has not
	// read the store yet. Reading takes a few milliseconds, or up to half a second if all
	// processes of a large deployment start at once. Only an outage of the store takes longer;
	// the client is then refused with a retry time.
	maxReadyWait = 500 * time.Millisecond
	// readyWaitShare is the share of the client's time that may be spent waiting, so that the
	// rest is left for another node. Clients with short deadlines need this much: a node of a
	// large deployment takes up to half a second.
	readyWaitShare = 1.0 / 3
)

// awaitReady holds a request until this process has read the store. Clients connect as soon as
// the listener is open, and a refusal would cost them one of few attempts although the process
// could serve them a moment later. If neither the store nor another node had anything to read, a
// request is not held.
func (r *Relay) awaitReady(ctx context.Context, q *Request) {
	if r.Ready == nil {
		return
	}
	select {
	case <-r.Ready:
		return
	default:
	}
	if r.StartFailed != nil && r.StartFailed() {
		return
	}
	wait := maxReadyWait
	if q.TimeLeft > 0 {
		wait = min(wait, time.Duration(readyWaitShare*float64(q.TimeLeft)))
	}
	ctx, cancel := context.WithDeadline(ctx, q.Arrived.Add(wait))
	defer cancel()
	select {
	case <-r.Ready:
	case <-ctx.Done():
	}
}
