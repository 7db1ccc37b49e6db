package relay

import (
	"context"
	"time"

	"github.com/violettally/violettally/route"
)

const (
	// maxServersWait is how long a request is held while no server of its service is known after
	// an outage of the store. The servers write their entries again within about two seconds.
	maxServersWait = 2 * time.Second
	// serversWaitShare is the share of the request's time that may be spent on it, so that the
	// rest is left for the response, or for another try of the client.
	serversWaitShare = 1.0 / 3
	// serversCheckInterval is the time between two looks for servers.
	serversCheckInterval = 30 * time.Millisecond
	// placeWaitShare is the share of the route's objective for which a request waits for a place at
	// servers that have few: places become free with every response, and the client would come
	// back to ask for one. placeCheckInterval is the time between two looks for one.
	placeWaitShare     = 0.2
	placeCheckInterval = 60 * time.Millisecond
)

// choosePatiently is choose, but waits for a moment for servers that are likely to have room soon.
func (x *exchange) choosePatiently(ctx context.Context) (*route.Assignment, string, *Refusal) {
	assignment, version, refusal := x.choose(ctx)
	if refusal != nil && x.awaitServers(ctx) {
		assignment, version, refusal = x.choose(ctx)
	}
	begun := time.Now()
	for x.mayAwaitPlace(ctx, refusal) {
		sleep(ctx, placeCheckInterval)
		assignment, version, refusal = x.choose(ctx)
	}
	if waited := time.Since(begun); waited >= placeCheckInterval {
		x.record.AddStep("place", "waited %d ms for a place at servers of %s", waited.Milliseconds(), x.service)
	}
	return assignment, version, refusal
}

// mayAwaitPlace reports whether a request that was refused for want of a place may wait for one.
func (x *exchange) mayAwaitPlace(ctx context.Context, refusal *Refusal) bool {
	if refusal == nil || refusal.reason != ReasonRejectionLimit || ctx.Err() != nil {
		return false
	}
	return x.elapsed() < time.Duration(placeWaitShare*float64(x.objective()))
}

// awaitServers holds a request while its service has no known server although there may be
// running ones, whose entries have expired in an outage of the store. A refusal would cost the
// client one of few attempts, and all clients would come back at once. It reports whether the
// request was held.
func (x *exchange) awaitServers(ctx context.Context) bool {
	if !x.awaitsServers() {
		return false
	}
	begun := time.Now()
	left := time.Duration(serversWaitShare * float64(time.Until(x.deadline)))
	ctx, cancel := context.WithTimeout(ctx, min(maxServersWait, left))
	defer cancel()
	for x.awaitsServers() && ctx.Err() == nil {
		sleep(ctx, serversCheckInterval)
	}
	x.record.AddStep("servers", "waited %d ms for servers of %s, %d known", time.Since(begun).Milliseconds(), x.service,
		len(x.relay.Servers.Servers(x.service)))
	return true
}

// awaitsServers reports whether servers of the service may become known soon.
func (x *exchange) awaitsServers() bool {
	return len(x.relay.Servers.Servers(x.service)) == 0 && x.relay.Servers.Recovering() && !x.relay.Servers.HasEvacuated(x.service)
}
