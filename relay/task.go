package relay

import (
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
)

// Assumed response times before the first response has been seen. One response outweighs them.
const (
	// assumedBaseMillis is the time in milliseconds until an idle server starts its response,
	// without the time to process a prompt.
	assumedBaseMillis = 30.0
	// assumedMillisPerPromptToken is the time in milliseconds in which the most expensive model
	// processes a prompt token; engines of large models process 10 to 50 tokens per
	// millisecond.
	assumedMillisPerPromptToken = 0.05
)

// task describes the next attempt to the balancer.
func (x *exchange) task(servers []*registry.Server) route.Task {
	t := route.Task{
		Servers:   servers,
		Exclude:   x.tried,
		Kind:      x.workKind(),
		Initial:   route.InitialEstimate{Base: assumedBaseMillis},
		BodyBytes: int(max(0, x.request.Body.Length())),
	}
	prompt := x.request.Prompt
	if prompt.Tokens == 0 {
		return t
	}
	t.PromptTokens = prompt.Tokens
	t.Prompt = prefix.NewChain(x.model(), prompt.Parts)
	t.Initial.Rate = assumedMillisPerPromptToken
	if engine := x.engine(); engine != nil {
		t.CacheCapacity = engine.CacheTokens
		t.Initial.Rate *= relativeCost(engine, x.model())
	}
	return t
}

// kind groups requests whose responses usually take equally long.
func (x *exchange) kind() string { return x.route.Name + "/" + x.model() }

// workKind groups requests that take equally long for the same size: those for the same model
// on any route, or else those of the same route.
func (x *exchange) workKind() string {
	if x.request.Prompt.Tokens > 0 {
		return x.service + "/" + x.model()
	}
	return x.service + "/" + x.route.Name
}

// engine returns the engine of the service; nil if it has none.
func (x *exchange) engine() *catalog.Engine {
	service := x.relay.Catalog().Service(x.service)
	if service == nil {
		return nil
	}
	return service.Engine
}

// relativeCost returns the assumed processing time of a model relative to the most expensive
// one. It is taken from the declared costs, which grow with the size of the model.
func relativeCost(engine *catalog.Engine, model string) float64 {
	highest := 0.0
	for _, cost := range engine.Costs {
		highest = max(highest, cost)
	}
	if highest == 0 || model == "" {
		return 1
	}
	return engine.Costs[model] / highest
}
