package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/throttle"
)

// pickService distributes a route's requests over its services by weight. All requests of a
// session go to the same service.
func pickService(rt *catalog.Route, q *Request) string {
	total := 0.0
	for _, t := range rt.Targets {
		total += t.Weight
	}
	position := rendezvous.Position(rendezvous.Hash(rt.Name+"/"+q.hashKey())) * total
	for _, t := range rt.Targets {
		if position -= t.Weight; position < 0 {
			return t.Service
		}
	}
	return rt.Targets[len(rt.Targets)-1].Service
}

// hashKey is the key for hash-based choices: the session, or else the request ID.
func (q *Request) hashKey() string {
	if q.Session != "" {
		return q.Session
	}
	return q.ID
}

// systemChooses reports whether the system chooses the model, rather than the client.
func (x *exchange) systemChooses() bool { return x.request.AnyModel && len(x.route.Models) > 0 }

// chooseModel picks the model to ask next, unless the client already has part of a response.
// Where no escalation may follow, or where servers take too few requests for one, it skips to a
// model whose answer need not be replaced, if that one is worth asking.
func (x *exchange) chooseModel() {
	if !x.systemChooses() || x.responseStarted {
		return
	}
	mayEscalate := x.mayRunAfter(x.runs+1) && x.relay.Budgets.Allows(x.service, retryReserve) && !x.requestsScarce()
	first := x.relay.Cascade.First(len(x.route.Models), mayEscalate)
	switch {
	case first <= x.modelIndex:
	case !x.worthAsking(first, confidenceUnknown):
		x.record.AddStep("model", "%s, though nothing may follow: %s would be late", x.model(), x.route.Models[first])
	default:
		x.modelIndex = first
		x.record.AddStep("model", "%s at once, since nothing may follow", x.model())
	}
}

// requestsScarce reports whether each request that is sent to the service takes the place of
// another client's.
func (x *exchange) requestsScarce() bool {
	return x.relay.Throttle.Scarce(x.relay.Servers.Servers(x.service))
}

// worthAsking reports whether, at the present load, the model at the given index is worth
// asking instead of keeping an answer of the given confidence.
func (x *exchange) worthAsking(step int, confidence float64) bool {
	current := x.modelIndex
	defer func() { x.modelIndex = current }()
	x.modelIndex = step
	servers, _ := x.servers()
	if len(servers) == 0 {
		x.record.AddStep("offer", "%s for confidence %.0f: no server may take it", x.model(), confidence)
		return false
	}
	forecast := x.relay.Balancer.Forecast(x.task(servers))
	offer := cascade.Escalation{
		Confidence:  confidence,
		Wait:        forecast.Wait,
		ServiceTime: forecast.ServiceTime,
		Remaining:   x.route.Objective - x.elapsed(),
		Objective:   x.route.Objective,
	}
	length, known := x.bodyDuration()
	pays := x.relay.Cascade.WorthEscalating(offer) && x.relay.endsInTime(x.deadline, forecast.Latency()+length, known)
	x.record.AddStep("offer", "%s for confidence %.0f: %d ms, of it %d waiting, %d left: %t", x.model(), confidence,
		forecast.Latency().Milliseconds(), forecast.Wait.Milliseconds(), offer.Remaining.Milliseconds(), pays)
	return pays
}

// model returns the model that the system chose; "" leaves the choice to the client.
func (x *exchange) model() string {
	if !x.systemChooses() {
		return ""
	}
	return x.route.Models[x.modelIndex]
}

// choose picks the server of the next attempt.
func (x *exchange) choose(ctx context.Context) (*route.Assignment, string, *Refusal) {
	assignment, version, err := x.assign(ctx)
	if err != nil {
		return nil, "", x.noServerRefusal(err)
	}
	x.version = version
	x.tried[assignment.Server().Incarnation()] = true
	x.record.SetServer(x.model(), version, assignment.Server().ID)
	return assignment, version, nil
}

// maxDenials is how many servers are asked for a place for one attempt.
const maxDenials = 4

// errNoPlace means that servers which have few places had none.
var errNoPlace = errors.New("no server had a place")

// assign assigns the next attempt to a server. Other requests may use up the limit of a server
// between its choice and the assignment; another one is then chosen.
func (x *exchange) assign(ctx context.Context) (*route.Assignment, string, error) {
	for denied := 0; denied < maxDenials; {
		servers, version := x.servers()
		assignment, err := x.relay.Balancer.Choose(x.task(servers))
		if err != nil {
			return nil, "", err
		}
		server := assignment.Server()
		x.basis = x.relay.Rejections.Take(ctx, server)
		hasPlace := x.basis != rejection.BasisNone
		if hasPlace && x.relay.WarmUps.Take(server) && x.relay.Throttle.Take(server) {
			return assignment, version, nil
		}
		if hasPlace {
			x.relay.Rejections.Release(server)
		} else {
			denied++
		}
		assignment.End(route.OutcomeNeutral)
	}
	return nil, "", errNoPlace
}

// noServerRefusal returns the refusal of a request that no server can take now.
func (x *exchange) noServerRefusal(err error) *Refusal {
	known := x.relay.Servers.Servers(x.service)
	if len(known) == 0 && x.relay.Servers.HasEvacuated(x.service) {
		return refusalf(ReasonEvacuated, retryAfterOutage, "all servers of service %s are in evacuated data halls", x.service)
	}
	untried := x.untried(known)
	warm := x.relay.WarmUps.Filter(untried)
	unthrottled := x.relay.Throttle.Filter(warm)
	switch {
	case len(untried) > 0 && len(warm) == 0:
		retryAfter := min(maxRetryAfter, max(retrySoon, x.relay.WarmUps.UntilWarm(untried)))
		return refusalf(ReasonWarmingUp, retryAfter, "service %s: %d servers are warming up and get no more requests now, %d tried", x.service, len(untried), len(x.tried))
	case len(warm) > 0 && len(unthrottled) == 0:
		return x.withheldRefusal(warm)
	}
	if len(unthrottled) > 0 && (errors.Is(err, errNoPlace) || len(x.relay.Rejections.Filter(unthrottled)) == 0) {
		return refusalf(ReasonRejectionLimit, retrySoon, "service %s: %d servers can reject few requests and had no place, %d tried", x.service, len(unthrottled), len(x.tried))
	}
	return refusalf(ReasonNoServer, retrySoon, "service %s, %d known, %d tried: %v", x.service, len(known), len(x.tried), err)
}

// withheldRefusal returns the refusal of a request that the given servers, those that it might go to, do
// not take now, by what they say. The client may come back sooner to one that was tried.
func (x *exchange) withheldRefusal(servers []*registry.Server) *Refusal {
	wait, cause := x.relay.Throttle.Wait(servers)
	soonest, _ := x.relay.Throttle.Wait(x.relay.Servers.Servers(x.service))
	soonest = min(wait, soonest) // the list may have changed since
	switch cause {
	case throttle.CauseLeaving:
		retryAfter := min(retryAfterOutage, max(retrySoon, soonest))
		return refusalf(ReasonServersLeaving, retryAfter, "service %s: %d servers say that they leave, %d tried", x.service, len(servers), len(x.tried))
	case throttle.CauseRest:
		return refusalf(ReasonServersResting, x.afterRest(soonest), "service %s: %d servers want rest, the first for %d ms, %d tried", x.service, len(servers), wait.Milliseconds(), len(x.tried))
	}
	retryAfter := min(maxRetryAfter, max(retrySoon, wait))
	return refusalf(ReasonServerLimit, retryAfter, "service %s: %d servers name limits and get no more requests from this node now, %d tried", x.service, len(servers), len(x.tried))
}

// afterRest returns when the client is to come back if the first server has had its rest after a time.
// Clients that were refused together don't come back together.
func (x *exchange) afterRest(rest time.Duration) time.Duration {
	position := rendezvous.Position(rendezvous.Hash(x.request.ID))
	return max(retrySoon, rest) + time.Duration(position*float64(min(rest, maxReturnSpread)))
}

// servers returns the candidates for the next attempt, and the version under which it is
// counted. The version is chosen first, so that a session keeps it while servers get few requests;
// if none of its servers may get one, any version is better than no response.
func (x *exchange) servers() ([]*registry.Server, string) {
	known := x.relay.Servers.Servers(x.service)
	untried := x.untried(known)
	servers, version := x.chooseVersion(untried)
	candidates := x.relay.allowed(servers)
	allowed := x.relay.allowed(untried)
	if len(candidates) == 0 && len(servers) > 0 {
		candidates, version = x.chooseVersion(allowed)
	}
	x.otherServers = len(allowed) - 1
	return candidates, version
}

// allowed returns those of the servers that this node may send a request now.
func (r *Relay) allowed(servers []*registry.Server) []*registry.Server {
	return r.Rejections.Filter(r.Throttle.Filter(r.WarmUps.Filter(servers)))
}

func (x *exchange) chooseVersion(servers []*registry.Server) ([]*registry.Server, string) {
	return x.relay.Versions.Choose(x.service, x.request.hashKey(), x.version, servers)
}

// untried returns the servers that have not been sent the request. The version is chosen among
// these: early in a rollout few servers run the new version, and another version is better
// than no response.
func (x *exchange) untried(servers []*registry.Server) []*registry.Server {
	if len(x.tried) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s *registry.Server) bool { return x.tried[s.Incarnation()] })
}
