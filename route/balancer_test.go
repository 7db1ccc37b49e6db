package route_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/share"
)

var halls = []*registry.Server{
	{ID: "near-1", DataHall: "near"}, {ID: "near-2", DataHall: "near"}, {ID: "far-1", DataHall: "far"}, {ID: "far-2", DataHall: "far"},
}

func balancer() *route.Balancer { return route.NewBalancer("near", func(string) {}) }

// prefillTask returns a task with a prompt whose prefill takes the given number of
// milliseconds.
func prefillTask(servers []*registry.Server, milliseconds float64) route.Task {
	return route.Task{Servers: servers, PromptTokens: 1, BodyBytes: 4000, Kind: fmt.Sprint(milliseconds), Initial: route.InitialEstimate{Rate: milliseconds}}
}

func choose(t *testing.T, b *route.Balancer, task route.Task) *route.Assignment {
	assignment, err := b.Choose(task)
	must.NoError(t, err)
	return assignment
}

// TestBalancerPrefersOwnHall checks that requests stay in the node's data hall
// until the queues there outweigh the cost of traffic between data halls.
func TestBalancerPrefersOwnHall(t *testing.T) {
	b := balancer()
	counts := make(map[string]int)
	for range 20 {
		counts[choose(t, b, prefillTask(halls, 1)).Server().DataHall]++
	}
	must.Eq(t, 20, counts["near"])
	for range 20 {
		counts[choose(t, b, prefillTask(halls, 100)).Server().DataHall]++
	}
	must.Between(t, 7, counts["far"], 12)
}

// TestBalancerAvoidsPendingPrefill checks that a server with a long prompt in its
// queue gets no requests until the response to that prompt has started.
func TestBalancerAvoidsPendingPrefill(t *testing.T) {
	b := balancer()
	long := choose(t, b, prefillTask(halls[:2], 1000))
	for range 10 {
		must.NotEq(t, long.Server().ID, choose(t, b, prefillTask(halls[:2], 10)).Server().ID)
	}
	long.RecordResponseStart()
	long.RecordResponseStart()
	for range 5 {
		must.Eq(t, long.Server().ID, choose(t, b, prefillTask(halls[:2], 10)).Server().ID)
	}
}

// TestBalancerHomeServer checks that all nodes send prompts with the same shared
// parts to one server of the data hall, and that the others take over some of them
// when its queue is long.
func TestBalancerHomeServer(t *testing.T) {
	task := func(lastPart int) route.Task {
		parts := []prefix.Part{{ID: "shared", Tokens: 5000}, {ID: fmt.Sprint(lastPart), Tokens: 1500}}
		return route.Task{Servers: halls, PromptTokens: 6500, BodyBytes: 6500, Prompt: prefix.NewChain("m", parts), Initial: route.InitialEstimate{Rate: 0.02}}
	}
	first := choose(t, balancer(), task(0)).Server().ID
	for i := range 20 {
		must.Eq(t, first, choose(t, balancer(), task(i)).Server().ID)
	}
	b := balancer()
	others := 0
	for i := range 20 {
		if choose(t, b, task(i)).Server().ID != first {
			others++
		}
	}
	must.Between(t, 5, others, 15)
}

// TestBalancerReportedLoad checks that a server that reports requests of other
// nodes is avoided.
func TestBalancerReportedLoad(t *testing.T) {
	b := balancer()
	assignment := choose(t, b, prefillTask(halls[:2], 1))
	assignment.RecordLoad(route.Load{Running: 5, Waiting: 4, Slots: 8})
	assignment.End(route.OutcomeOK)
	for range 10 {
		next := choose(t, b, prefillTask(halls[:2], 1))
		must.NotEq(t, assignment.Server().ID, next.Server().ID)
		next.End(route.OutcomeOK)
	}
}

// TestBalancerBreaker checks that a server that fails three times in a row is not
// chosen, nor one that the task excludes.
func TestBalancerBreaker(t *testing.T) {
	var opened []string
	b := route.NewBalancer("near", func(server string) { opened = append(opened, server) })
	only := halls[:1]
	for range 3 {
		choose(t, b, route.Task{Servers: only}).End(route.OutcomeFailed)
	}
	_, err := b.Choose(route.Task{Servers: only})
	must.True(t, errorx.IsOfType(err, route.NoServer))
	must.Eq(t, []string{"near-1"}, opened)
	must.Eq(t, "near-2", choose(t, b, route.Task{Servers: halls[:2]}).Server().ID)
	_, err = b.Choose(route.Task{Servers: halls[1:2], Exclude: map[registry.Incarnation]bool{{ID: "near-2"}: true}})
	must.True(t, errorx.IsOfType(err, route.NoServer))
}

// TestBalancerRetain checks that a server that is no longer listed keeps its state
// while a request is in flight there.
func TestBalancerRetain(t *testing.T) {
	b := balancer()
	assignment := choose(t, b, prefillTask(halls[:1], 100))
	b.Retain(map[registry.Incarnation]bool{})
	must.Eq(t, "near-2", choose(t, b, prefillTask(halls[:2], 1)).Server().ID)
	assignment.End(route.OutcomeOK)
}

// TestBalancerObservesSends checks that a server to which another node has sent a
// prompt is avoided during the prefill, and preferred afterwards for prompts with
// the same shared parts.
func TestBalancerObservesSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		task := func(lastPart string) route.Task {
			parts := []prefix.Part{{ID: "shared", Tokens: 5000}, {ID: lastPart, Tokens: 1500}}
			return route.Task{Servers: halls[:2], PromptTokens: 6500, Prompt: prefix.NewChain("m", parts), Initial: route.InitialEstimate{Rate: 0.02}}
		}
		for _, id := range []string{"near-1", "near-2"} {
			b.ObserveSend(share.Record{Server: registry.Incarnation{ID: id}.Hash(), WorkMillis: 1000})
		}
		b.ObserveSend(share.Record{Server: registry.Incarnation{ID: "near-2"}.Hash(), WorkMillis: 1000, Prompt: task("x").Prompt.Shared()})
		first := choose(t, b, task("a"))
		must.Eq(t, "near-1", first.Server().ID)
		must.Between(t, time.Second, first.ExpectedWait(), 1100*time.Millisecond)
		time.Sleep(first.ExpectedLatency())
		first.RecordResponseStart()
		first.End(route.OutcomeOK)
		time.Sleep(2 * time.Second)
		second := choose(t, b, task("b"))
		must.Eq(t, 5000, second.CachedTokens())
		must.Less(t, 100*time.Millisecond, second.ExpectedLatency())
	})
}

// TestBalancerPublishes checks that each prompt sent to a server is published to
// the other nodes, with its shared parts only.
func TestBalancerPublishes(t *testing.T) {
	var published []share.Record
	b := route.NewBalancer("near", func(string) {}, route.WithPublisher(func(s share.Record, _ float64) { published = append(published, s) }))
	prompt := prefix.NewChain("m", []prefix.Part{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 100}})
	choose(t, b, route.Task{Servers: halls[:1], PromptTokens: 600, Prompt: prompt, Initial: route.InitialEstimate{Rate: 0.1}})
	choose(t, b, route.Task{Servers: halls[:1]})
	must.Len(t, 1, published)
	must.Eq(t, registry.Incarnation{ID: "near-1"}.Hash(), published[0].Server)
	must.Eq(t, prompt.Shared(), published[0].Prompt)
	must.Eq(t, 60, published[0].WorkMillis)
}

// TestBalancerLostResponse checks that a request whose response was lost no longer
// counts as waiting once the server responds to a later request.
func TestBalancerLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		only := prefillTask(halls[:1], 50)
		choose(t, b, only) // gets no response
		next := choose(t, b, only)
		time.Sleep(next.ExpectedLatency())
		next.RecordResponseStart()
		next.End(route.OutcomeOK)
		time.Sleep(2 * time.Second)
		must.Less(t, 10*time.Millisecond, choose(t, b, only).ExpectedWait())
	})
}

// TestBalancerLearnsServiceTime checks that the expected latency converges to the
// observed one from a wrong initial estimate.
func TestBalancerLearnsServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		task := func(tokens int) route.Task {
			return route.Task{Servers: halls[:1], PromptTokens: tokens, Kind: "m", Initial: route.InitialEstimate{Base: 30, Rate: 0.001}}
		}
		for i := range 60 {
			tokens := 1000 * (1 + i%10)
			assignment := choose(t, b, task(tokens))
			time.Sleep(time.Duration(20+tokens/20) * time.Millisecond)
			assignment.RecordResponseStart()
			assignment.End(route.OutcomeOK)
			time.Sleep(time.Second)
		}
		must.Between(t, 450*time.Millisecond, choose(t, b, task(9000)).ExpectedLatency(), 500*time.Millisecond)
	})
}
