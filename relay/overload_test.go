package relay_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/relay"
	"github.com/violettally/violettally/route"
)

// TestOverload: where the costlier models would be late, the cheapest one's
// answer goes out, however unsure it is; once there is no load they are asked
// again.
func TestOverload(t *testing.T) {
	tests := []struct {
		name    string
		budgets relay.Budgets
	}{
		{"escalations", noBound{}},
		{"no budget for repeats", noRepeats{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, err := catalog.New(catalog.Document{
					Version:  1,
					Services: []catalog.Service{{Name: "s"}},
					Routes: []catalog.Route{{
						Name: "r", Host: "h", Prefix: "/", Kind: catalog.KindStream, Resumable: true, Timeout: 10 * time.Second, Objective: time.Second,
						Attempts: 3, Models: threeModels, Targets: []catalog.Target{{Service: "s", Weight: 1}},
					}},
				})
				must.NoError(t, err)
				balancer, backends := route.NewBalancer("", func(string) {}), &modelsAsked{}
				r := relay.New(relay.Parts{
					Catalog: func() *catalog.Catalog { return c }, Servers: threeServers{}, Versions: noRollout{},
					Balancer: balancer, Ladder: cascade.NewLadder(), Budgets: tt.budgets, Moves: noMoves{},
					Backends: backends, Records: decision.New("n"), Counters: noCounters{},
				})
				ask := func() []string {
					backends.sent = nil
					body, err := relay.NewBody(strings.NewReader(""), 0)
					must.NoError(t, err)
					r.Serve(t.Context(), &relay.Request{ID: "1", Host: "h", Path: "/", Arrived: time.Now(), AnyModel: true, Body: body}, &received{})
					return backends.sent
				}
				var busy []*route.Use
				for range 3 {
					use, err := balancer.Choose(route.Task{Servers: threeServers{}.Servers(""), Work: 5000})
					must.NoError(t, err)
					busy = append(busy, use)
				}
				must.Eq(t, []string{"small"}, ask())
				for _, use := range busy {
					use.End(route.OutcomeOK)
				}
				asked := ask()
				must.Eq(t, "large", asked[len(asked)-1])
			})
		})
	}
}
