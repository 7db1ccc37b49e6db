package route_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/timer"
)

// manyServers returns servers spread over five data halls.
func manyServers(count int) []*registry.Server {
	r := registry.New(timer.New())
	for i := range count {
		r.Put(registry.Server{ID: fmt.Sprint("i-", i), Service: "s", DataHall: fmt.Sprint("hall-", i%5), Slots: 24})
	}
	return r.Servers("s")
}

// TestManyServers replays light load on a large deployment, where each node sees a fraction of
// the requests: all nodes of a data hall send a prompt to the same server of the hall, so that
// its cache is used, and prompts spread over the servers.
func TestManyServers(t *testing.T) {
	servers := manyServers(10_000)
	var nodes []*route.Balancer
	for range 5 {
		nodes = append(nodes, route.NewBalancer("hall-2", func(string) {}))
	}
	used := make(map[string]bool)
	for session := range 100 {
		parts := []prefix.Part{{ID: "top", Tokens: 500}, {ID: fmt.Sprint("session", session), Tokens: 5000}, {ID: "own", Tokens: 800}}
		homes := make(map[string]bool)
		for i, b := range nodes {
			assignment, err := b.Choose(route.Task{
				Servers: servers, Kind: "m", PromptTokens: 6300, Prompt: prefix.NewChain("m", parts), BodyBytes: 12000,
				CacheCapacity: 600_000, Initial: route.InitialEstimate{Base: 50, Rate: 0.02},
			})
			must.NoError(t, err)
			must.Eq(t, "hall-2", assignment.Server().DataHall, must.Sprintf("node %d", i))
			homes[assignment.Server().ID] = true
			used[assignment.Server().ID] = true
			assignment.End(route.OutcomeNeutral)
		}
		must.Eq(t, 1, len(homes))
	}
	must.Greater(t, 80, len(used))
}

// TestManyServersOneUsable checks that a request finds a server when nearly all are excluded or
// out of use.
func TestManyServersOneUsable(t *testing.T) {
	servers := manyServers(2000)
	exclude := make(map[registry.Incarnation]bool)
	for _, s := range servers[1:] {
		exclude[s.Incarnation()] = true
	}
	b := route.NewBalancer("hall-2", func(string) {})
	assignment, err := b.Choose(route.Task{Servers: servers, Exclude: exclude, Kind: "m"})
	must.NoError(t, err)
	must.Eq(t, servers[0].ID, assignment.Server().ID)
}
