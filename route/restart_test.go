package route_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/share"
)

// TestRestartResetsState checks that no state of a server's earlier incarnation
// applies to the next one, including sends of nodes that have not yet seen the
// restart.
func TestRestartResetsState(t *testing.T) {
	first := registry.Server{ID: "s", DataHall: "near", Born: 1000, Slots: 8}
	second := first
	second.Born = 2000
	parts := []prefix.Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 1000}}
	task := func(s registry.Server) route.Task {
		return route.Task{Servers: []*registry.Server{&s}, Kind: "m", PromptTokens: 6000, Prompt: prefix.NewChain("m", parts), Initial: route.InitialEstimate{Base: 30, Rate: 0.05}}
	}
	for name, before := range map[string]func(t *testing.T, b *route.Balancer){
		"nothing": func(*testing.T, *route.Balancer) {},
		"a cached prompt": func(t *testing.T, b *route.Balancer) {
			assignment := choose(t, b, task(first))
			assignment.RecordResponseStart()
			assignment.End(route.OutcomeOK)
		},
		"a request in flight": func(t *testing.T, b *route.Balancer) { choose(t, b, task(first)) },
		"failures": func(t *testing.T, b *route.Balancer) {
			for range 3 {
				choose(t, b, task(first)).End(route.OutcomeFailed)
			}
		},
		"stalled requests": func(t *testing.T, b *route.Balancer) {
			for range 2 {
				choose(t, b, task(first)).EndStalled()
			}
		},
		"a reported load": func(t *testing.T, b *route.Balancer) {
			assignment := choose(t, b, task(first))
			assignment.RecordLoad(route.Load{Running: 8, Waiting: 50, Slots: 8})
			assignment.End(route.OutcomeNeutral)
		},
		"a send of another node": func(_ *testing.T, b *route.Balancer) {
			b.ObserveSend(share.Record{Server: first.Incarnation().Hash(), WorkMillis: 5000, Prompt: task(first).Prompt.Shared()})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := balancer()
			before(t, b)
			// The service time of a kind of request is estimated over all servers.
			serviceTime := b.Forecast(task(second)).ServiceTime
			b.Retain(map[registry.Incarnation]bool{second.Incarnation(): true})
			assignment := choose(t, b, task(second))
			must.Eq(t, 0, assignment.CachedTokens())
			must.Eq(t, 0, assignment.ExpectedWait())
			must.Eq(t, serviceTime, assignment.ExpectedServiceTime())
		})
	}
}

// TestTriedIncarnation checks that a request that was tried on one incarnation of a
// server can be sent to the next.
func TestTriedIncarnation(t *testing.T) {
	servers := []*registry.Server{{ID: "s", Born: 2000}}
	tried := map[registry.Incarnation]bool{{ID: "s", Born: 1000}: true}
	choose(t, balancer(), route.Task{Servers: servers, Exclude: tried})
}
