package route_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/share"
)

// TestRestartForgets lists what is known of a server's earlier incarnation. To the one after
// it, none of that says anything, nor does what nodes tell that have not heard of it.
func TestRestartForgets(t *testing.T) {
	first := registry.Server{ID: "s", DataHall: "near", Born: 1000, Slots: 8}
	second := first
	second.Born = 2000
	parts := []prefix.Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 1000}}
	task := func(s registry.Server) route.Task {
		return route.Task{Servers: []registry.Server{s}, Kind: "m", PromptTokens: 6000, Prompt: prefix.NewChain("m", parts), Initial: route.InitialEstimate{Base: 30, Rate: 0.05}}
	}
	for name, before := range map[string]func(t *testing.T, b *route.Balancer){
		"nothing": func(*testing.T, *route.Balancer) {},
		"a prompt that it has read": func(t *testing.T, b *route.Balancer) {
			use := choose(t, b, task(first))
			use.RecordResponseStart()
			use.End(route.OutcomeOK)
		},
		"a request under way": func(t *testing.T, b *route.Balancer) { choose(t, b, task(first)) },
		"failures": func(t *testing.T, b *route.Balancer) {
			for range 3 {
				choose(t, b, task(first)).End(route.OutcomeFailed)
			}
		},
		"slow answers": func(t *testing.T, b *route.Balancer) {
			for range 2 {
				choose(t, b, task(first)).EndStalled()
			}
		},
		"a load that it told": func(t *testing.T, b *route.Balancer) {
			use := choose(t, b, task(first))
			use.RecordLoad(route.Load{Running: 8, Waiting: 50, Slots: 8})
			use.End(route.OutcomeNeutral)
		},
		"what another node has sent": func(_ *testing.T, b *route.Balancer) {
			b.ObserveSend(share.Send{Server: first.Incarnation().Hash(), Work: 5000, Prompt: task(first).Prompt.Shared()})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := balancer()
			before(t, b)
			// What a kind of request takes is learned of all servers, and stays.
			takes := b.Forecast(task(second)).ServiceTime
			b.Retain(map[registry.Incarnation]bool{second.Incarnation(): true})
			use := choose(t, b, task(second))
			must.Eq(t, 0, use.CachedTokens())
			must.Eq(t, 0, use.ExpectedWait())
			must.Eq(t, takes, use.ExpectedServiceTime())
		})
	}
}

// TestTriedIncarnation: what has been sent to one incarnation may be sent to the next.
func TestTriedIncarnation(t *testing.T) {
	servers := []registry.Server{{ID: "s", Born: 2000}}
	tried := map[registry.Incarnation]bool{{ID: "s", Born: 1000}: true}
	choose(t, balancer(), route.Task{Servers: servers, Exclude: tried})
}
