package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
	"github.com/violettally/violettally/route"
)

// TestOverload checks that the cheapest model's answer is delivered, whatever its confidence,
// if the more expensive models would be late, and that those are asked again once the load
// has passed.
func TestOverload(t *testing.T) {
	tests := []struct {
		name    string
		budgets relay.Budgets
	}{
		{"escalations", unlimitedBudget{}},
		{"no retry budget", noRetryBudget{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				balancer, backends := route.NewBalancer("", func(string) {}), &modelRecorder{}
				target := catalog.Route{Kind: catalog.KindStream, Timeout: 10 * time.Second, Objective: time.Second, Attempts: 3, Models: threeModels}
				options := relay.Options{Balancer: balancer, Budgets: tt.budgets, Reroutes: noReroutes{}, Backends: backends}
				ask := func() []string {
					backends.sent = nil
					serve(t, target, options, relay.Request{AnyModel: true, Body: emptyBody(t)}, &recorder{})
					return backends.sent
				}
				var busy []*route.Assignment
				for range 3 {
					assignment, err := balancer.Choose(route.Task{Servers: threeServers{}.Servers(""), PromptTokens: 1, Initial: route.InitialEstimate{Rate: 5000}})
					must.NoError(t, err)
					busy = append(busy, assignment)
				}
				must.Eq(t, []string{"small"}, ask())
				for _, assignment := range busy {
					assignment.End(route.OutcomeOK)
				}
				asked := ask()
				must.Eq(t, "large", asked[len(asked)-1])
			})
		})
	}
}

// firstServerOnly is a rollout that admits only the first server.
type firstServerOnly struct{ noRollout }

func (firstServerOnly) Choose(_, _, _ string, s []*registry.Server) ([]*registry.Server, string) {
	return s[:1], "v1"
}

// TestOverloadInRollout checks that only servers that may get the request count when the
// lateness of a more expensive model is forecast, and idle servers of another version do not.
func TestOverloadInRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		balancer, backends := route.NewBalancer("", func(string) {}), &modelRecorder{}
		target := catalog.Route{Kind: catalog.KindStream, Timeout: 10 * time.Second, Objective: time.Second, Attempts: 3, Models: threeModels}
		_, err := balancer.Choose(route.Task{Servers: threeServers{}.Servers("")[:1], PromptTokens: 1, Initial: route.InitialEstimate{Rate: 5000}})
		must.NoError(t, err)
		options := relay.Options{Balancer: balancer, Versions: firstServerOnly{}, Reroutes: noReroutes{}, Backends: backends}
		serve(t, target, options, relay.Request{AnyModel: true, Body: emptyBody(t)}, &recorder{})
		must.Eq(t, []string{"small"}, backends.sent)
	})
}
