package relay

import (
	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
)

const (
	// readPerToken is the time in milliseconds in which the costliest model
	// reads a token of a prompt: the deployments' engines read 112 tokens a
	// millisecond, and their largest model takes three times as long.
	readPerToken = 0.027
	// startWork is the time in milliseconds that any request takes before its
	// answer begins, on the costliest model.
	startWork = 10.0
	// firstToken is the time in milliseconds that the answer of an idle engine
	// takes to begin beside reading: steps of its batch, and the network.
	firstToken = 50.0
	// plainWork is that of a request without a prompt, plainUsual how long its
	// answer usually takes; the sheets say 60 ms.
	plainWork  = 1.0
	plainUsual = 60.0
	// sharedParts is how many parts of a prompt decide on its home: the first
	// two are shared widely, the last is the request's own.
	sharedParts = 2
)

// task describes the next attempt to the balancer.
func (x *exchange) task(servers []registry.Server) route.Task {
	t := route.Task{
		Servers: servers,
		Exclude: x.tried,
		Work:    plainWork,
		Kind:    x.kind(),
		Usual:   plainUsual,
	}
	prompt := x.request.Prompt
	if prompt.Tokens == 0 {
		return t
	}
	pace := x.pace()
	t.Work = pace * (float64(prompt.Tokens)*readPerToken + startWork)
	t.Usual = t.Work + firstToken
	if len(prompt.Parts) <= sharedParts {
		return t
	}
	for _, part := range prompt.Parts[:sharedParts] {
		t.SharedTokens += part.Tokens
	}
	t.SavedWork = pace * float64(t.SharedTokens) * readPerToken
	// Engines keep the parts by model.
	t.Home = rendezvous.Hash(x.model() + "/" + prompt.Parts[sharedParts-1].ID)
	return t
}

// kind groups requests that usually take equally long.
func (x *exchange) kind() string { return x.route.Name + "/" + x.model() }

// pace is how long the chosen model takes, as a share of the costliest one's
// time. The declared costs stand in for it: they rise with a model's size.
func (x *exchange) pace() float64 {
	service := x.relay.Catalog().Service(x.service)
	if service == nil || service.Engine == nil || x.model() == "" {
		return 1
	}
	highest := 0.0
	for _, cost := range service.Engine.Costs {
		highest = max(highest, cost)
	}
	if highest == 0 {
		return 1
	}
	return service.Engine.Costs[x.model()] / highest
}
