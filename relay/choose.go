package relay

import (
	"slices"

	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
)

// pickService splits a route's requests over its services by their weights.
// Requests of one session fall on the same side.
func pickService(r *catalog.Route, q *Request) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := rendezvous.Position(rendezvous.Hash(r.Name+"/"+q.key())) * total
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// key is what decides by hash: the session, or else the request itself.
func (q *Request) key() string {
	if q.Session != "" {
		return q.Session
	}
	return q.ID
}

// chooses reports whether the system chooses the model.
func (x *exchange) chooses() bool { return x.request.AnyModel && len(x.route.Models) > 0 }

// chooseModel picks the model that answers next, where the client has nothing
// yet. One whose answer could not be dropped for a better one is not asked.
func (x *exchange) chooseModel() {
	if !x.chooses() || x.begun {
		return
	}
	mayEscalate := x.mayDrop(x.runs+1) && x.relay.Budgets.Allows(x.service, spareForRetries)
	first := x.relay.Ladder.First(len(x.route.Models), mayEscalate)
	switch {
	case first <= x.step:
	case !x.pays(first, noConfidence):
		x.record.AddStep("model", "%s, though nothing may follow: %s would be late", x.model(), x.route.Models[first])
	default:
		x.step = first
		x.record.AddStep("model", "%s at once, since nothing may follow", x.model())
	}
}

// pays reports whether the model at a step is worth asking in place of an
// answer of the given confidence, by the load that there is.
func (x *exchange) pays(step int, confidence float64) bool {
	before := x.step
	defer func() { x.step = before }()
	x.step = step
	servers, _ := x.servers()
	forecast := x.relay.Balancer.Forecast(x.task(servers))
	offer := cascade.Offer{
		Confidence: confidence,
		Wait:       forecast.Wait,
		Takes:      forecast.Takes,
		Left:       x.route.Objective - x.elapsed(),
		Objective:  x.route.Objective,
	}
	length, known := x.length()
	pays := x.relay.Ladder.Pays(offer) && x.relay.endsInTime(x.deadline, forecast.Total()+length, known)
	x.record.AddStep("offer", "%s for confidence %.0f: %d ms, of it %d waiting, %d left: %t", x.model(), confidence,
		forecast.Total().Milliseconds(), forecast.Wait.Milliseconds(), offer.Left.Milliseconds(), pays)
	return pays
}

// model is the one that the system chose; "" leaves it to the client.
func (x *exchange) model() string {
	if !x.chooses() {
		return ""
	}
	return x.route.Models[x.step]
}

// choose picks the server of the next attempt.
func (x *exchange) choose() (*route.Use, string, *Refusal) {
	servers, version := x.servers()
	x.version = version
	use, err := x.relay.Balancer.Choose(x.task(servers))
	if err != nil {
		return nil, "", refuse(ReasonNoServer, comeBackSoon, "service %s, %d known, %d tried: %v", x.service, x.known, len(x.tried), err)
	}
	x.tried[use.Server().Incarnation()] = true
	x.record.SetServer(x.model(), version, use.Server().ID)
	return use, version, nil
}

// servers returns the servers that may get the next attempt, and the version
// under which it is counted.
func (x *exchange) servers() ([]registry.Server, string) {
	known := x.relay.Servers.Servers(x.service)
	left := x.untried(known)
	x.known = len(known)
	x.others = len(left) - 1
	return x.relay.Versions.Choose(x.service, x.request.key(), x.version, left)
}

// untried returns the servers that have not had the request. Versions are
// chosen among these, since few servers hold a version at first, and a request
// is better served by another version than not at all.
func (x *exchange) untried(servers []registry.Server) []registry.Server {
	if len(x.tried) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool { return x.tried[s.Incarnation()] })
}
