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

var halls = []registry.Server{
	{ID: "near-1", DataHall: "near"}, {ID: "near-2", DataHall: "near"}, {ID: "far-1", DataHall: "far"}, {ID: "far-2", DataHall: "far"},
}

func balancer() *route.Balancer { return route.NewBalancer("near", func(string) {}) }

// taking is a task of a prompt of one token that takes that many milliseconds to
// read.
func taking(servers []registry.Server, work float64) route.Task {
	return route.Task{Servers: servers, PromptTokens: 1, BodyBytes: 4000, Kind: fmt.Sprint(work), Initial: route.InitialEstimate{Rate: work}}
}

func choose(t *testing.T, b *route.Balancer, task route.Task) *route.Assignment {
	use, err := b.Choose(task)
	must.NoError(t, err)
	return use
}

// TestBalancerHall: the own data hall comes first, until the work that waits
// there outweighs the bytes between data halls.
func TestBalancerHall(t *testing.T) {
	b := balancer()
	counts := make(map[string]int)
	for range 20 {
		counts[choose(t, b, taking(halls, 1)).Server().DataHall]++
	}
	must.Eq(t, 20, counts["near"])
	for range 20 {
		counts[choose(t, b, taking(halls, 100)).Server().DataHall]++
	}
	must.Between(t, 7, counts["far"], 12)
}

// TestBalancerPending: a long prompt that is not read yet keeps others away;
// once its answer has begun it hardly counts.
func TestBalancerPending(t *testing.T) {
	b := balancer()
	long := choose(t, b, taking(halls[:2], 1000))
	for range 10 {
		must.NotEq(t, long.Server().ID, choose(t, b, taking(halls[:2], 10)).Server().ID)
	}
	long.RecordResponseStart()
	long.RecordResponseStart()
	for range 5 {
		must.Eq(t, long.Server().ID, choose(t, b, taking(halls[:2], 10)).Server().ID)
	}
}

// TestBalancerHome: prompts with the same shared parts go to one server of
// the data hall, whichever node asks, unless it has much to read.
func TestBalancerHome(t *testing.T) {
	task := func(own int) route.Task {
		parts := []prefix.Part{{ID: "shared", Tokens: 5000}, {ID: fmt.Sprint(own), Tokens: 1500}}
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

// TestBalancerTold: what a server tells of others' requests counts.
func TestBalancerTold(t *testing.T) {
	b := balancer()
	use := choose(t, b, taking(halls[:2], 1))
	use.RecordLoad(route.Load{Running: 5, Waiting: 4, Slots: 8})
	use.End(route.OutcomeOK)
	for range 10 {
		next := choose(t, b, taking(halls[:2], 1))
		must.NotEq(t, use.Server().ID, next.Server().ID)
		next.End(route.OutcomeOK)
	}
}

// TestBalancerBreaker: a server that fails three times in a row is left out,
// and one that was excluded never comes.
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

// TestBalancerKeep forgets servers that are gone, but none in use.
func TestBalancerKeep(t *testing.T) {
	b := balancer()
	use := choose(t, b, taking(halls[:1], 100))
	b.Retain(map[registry.Incarnation]bool{})
	must.Eq(t, "near-2", choose(t, b, taking(halls[:2], 1)).Server().ID)
	use.End(route.OutcomeOK)
}

// TestBalancerHeard: what other nodes send to a server keeps this node's
// requests away while it is being read, and draws those of the same prompt
// once it is.
func TestBalancerHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		task := func(own string) route.Task {
			parts := []prefix.Part{{ID: "shared", Tokens: 5000}, {ID: own, Tokens: 1500}}
			return route.Task{Servers: halls[:2], PromptTokens: 6500, Prompt: prefix.NewChain("m", parts), Initial: route.InitialEstimate{Rate: 0.02}}
		}
		for _, far := range []string{"near-1", "near-2"} {
			b.ObserveSend(share.Send{Server: registry.Incarnation{ID: far}.Hash(), Work: 1000})
		}
		b.ObserveSend(share.Send{Server: registry.Incarnation{ID: "near-2"}.Hash(), Work: 1000, Prompt: task("x").Prompt.Shared()})
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

// TestBalancerAnnounces: every prompt that is sent is told to the others, and
// only what they could share of it.
func TestBalancerAnnounces(t *testing.T) {
	var told []share.Send
	b := route.NewBalancer("near", func(string) {}, route.WithAnnouncer(func(s share.Send, _ float64) { told = append(told, s) }))
	prompt := prefix.NewChain("m", []prefix.Part{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 100}})
	choose(t, b, route.Task{Servers: halls[:1], PromptTokens: 600, Prompt: prompt, Initial: route.InitialEstimate{Rate: 0.1}})
	choose(t, b, route.Task{Servers: halls[:1]})
	must.Len(t, 1, told)
	must.Eq(t, registry.Incarnation{ID: "near-1"}.Hash(), told[0].Server)
	must.Eq(t, prompt.Shared(), told[0].Prompt)
	must.Eq(t, 60, told[0].Work)
}

// TestBalancerLostAnswer: a request whose answer is lost holds up nobody once the
// server answers what was sent after it.
func TestBalancerLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		only := taking(halls[:1], 50)
		choose(t, b, only) // never answered
		next := choose(t, b, only)
		time.Sleep(next.ExpectedLatency())
		next.RecordResponseStart()
		next.End(route.OutcomeOK)
		time.Sleep(2 * time.Second)
		must.Less(t, 10*time.Millisecond, choose(t, b, only).ExpectedWait())
	})
}

// TestBalancerLearns: the time to read a prompt is learned, whatever was assumed,
// but not from answers that waited for others.
func TestBalancerLearns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		task := func(tokens int) route.Task {
			return route.Task{Servers: halls[:1], PromptTokens: tokens, Kind: "m", Initial: route.InitialEstimate{Base: 30, Rate: 0.001}}
		}
		for i := range 60 {
			tokens := 1000 * (1 + i%10)
			use := choose(t, b, task(tokens))
			time.Sleep(time.Duration(20+tokens/20) * time.Millisecond)
			use.RecordResponseStart()
			use.End(route.OutcomeOK)
			time.Sleep(time.Second)
		}
		must.Between(t, 450*time.Millisecond, choose(t, b, task(9000)).ExpectedLatency(), 500*time.Millisecond)
	})
}
