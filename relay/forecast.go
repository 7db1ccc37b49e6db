package relay

import "time"

// endsBeforeShutdown reports whether an attempt made now with the present model completes
// before the process ends, so that a shutdown does not truncate requests that were admitted
// after the signal or sent to another server late.
func (x *exchange) endsBeforeShutdown() bool {
	shutdown := x.relay.shutdown.Load()
	switch {
	case shutdown == nil:
		return true
	case x.request.Arrived.After(shutdown.lastAdmit):
		return !x.deadline.After(shutdown.end)
	}
	return x.forecastEnd(x.relay.endsBeforeShutdown)
}

// mayReplaceResponse reports whether another server is left that would complete its response in
// time to replace the present one.
func (x *exchange) mayReplaceResponse() bool {
	return x.forecastEnd(x.relay.endsInTime) && x.otherServers >= 0
}

// forecastEnd applies a check to the expected duration of an attempt made now.
func (x *exchange) forecastEnd(check func(deadline time.Time, takes time.Duration, known bool) bool) bool {
	servers, _ := x.servers()
	forecast := x.relay.Balancer.Forecast(x.task(servers))
	length, known := x.bodyDuration()
	ok := check(x.deadline, forecast.Latency()+length, known)
	x.record.AddStep("fits", "%d ms to the answer's head and %d ms from there (seen: %t): %t",
		forecast.Latency().Milliseconds(), length.Milliseconds(), known, ok)
	return ok
}

// remainingShare is the average share of a stream that is still to come when the client has
// part of it.
const remainingShare = 0.5

// bodyDuration returns an upper bound on the time from the header to the end of a response;
// false if too few responses of the kind have been seen.
func (x *exchange) bodyDuration() (time.Duration, bool) {
	length, known := x.relay.durations.upperBound(x.kind(), x.request.Prompt.MaxOutput)
	if !known {
		length, known = x.relay.durations.upperBound(x.route.Name, x.request.Prompt.MaxOutput)
	}
	rest := time.Duration(remainingShare * float64(length))
	switch {
	case x.responseStarted:
		return max(rest, length-(x.elapsed()-x.firstByte)), known
	case x.lastEventID != "":
		return rest, known
	}
	return length, known
}

// learnDuration records the time from the header to the end of the response, or to where it was
// cut off. Resumed streams are skipped, since they are not whole.
func (x *exchange) learnDuration(learn func(kind string, tokens int, took time.Duration)) {
	if !x.fromFirstEvent || x.headerReceived.IsZero() {
		return
	}
	for _, kind := range []string{x.kind(), x.route.Name} {
		learn(kind, x.request.Prompt.MaxOutput, time.Since(x.headerReceived))
	}
}
