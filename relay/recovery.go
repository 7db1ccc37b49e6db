package relay

import (
	"context"
	"time"
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
)

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
