package route_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
)

var twoServers = []registry.Server{{ID: "good", DataHall: "near"}, {ID: "bad", DataHall: "near"}}

// briefTask is one whose answer takes 50 ms at an idle server.
var briefTask = route.Task{Servers: twoServers, PromptTokens: 1, Kind: "brief/small", Initial: route.InitialEstimate{Base: 50}}

// serve lets each server answer after its own time, and returns how many of the
// last requests went to each.
func serve(t *testing.T, b *route.Balancer, takes map[string]time.Duration, n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		use := choose(t, b, briefTask)
		counts[use.Server().ID]++
		time.Sleep(takes[use.Server().ID])
		use.RecordResponseStart()
		use.End(route.OutcomeOK)
	}
	return counts
}

// TestSlowServer: a server that takes several times as long as others gets few
// requests, and its part again once it has recovered.
func TestSlowServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		equal := map[string]time.Duration{"good": 50 * time.Millisecond, "bad": 50 * time.Millisecond}
		counts := serve(t, b, equal, 100)
		must.Between(t, 25, counts["bad"], 75)
		serve(t, b, map[string]time.Duration{"good": 50 * time.Millisecond, "bad": 400 * time.Millisecond}, 50)
		counts = serve(t, b, map[string]time.Duration{"good": 50 * time.Millisecond, "bad": 400 * time.Millisecond}, 100)
		must.Between(t, 0, counts["bad"], 10)
		time.Sleep(time.Minute)
		counts = serve(t, b, equal, 100)
		must.Between(t, 25, counts["bad"], 75)
	})
}

// TestFailingServer: a server that answers most requests with failures of its
// own is avoided, though it answers.
func TestFailingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		ask := func(n int) int {
			bad := 0
			for range n {
				use := choose(t, b, briefTask)
				failed := use.Server().ID == "bad"
				if failed {
					bad++
				}
				time.Sleep(10 * time.Millisecond)
				use.RecordResponseStart()
				use.RecordResult(failed)
				use.End(route.OutcomeNeutral)
			}
			return bad
		}
		ask(50)
		must.Between(t, 0, ask(50), 10)
	})
}

// TestSilentServer: requests that wait at a server which answers nothing keep
// others away, before any of them has ended.
func TestSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		serve(t, b, map[string]time.Duration{}, 20)
		stuck := choose(t, b, briefTask)
		time.Sleep(2 * time.Second)
		for range 20 {
			use := choose(t, b, briefTask)
			must.NotEq(t, stuck.Server().ID, use.Server().ID)
			use.RecordResponseStart()
			use.End(route.OutcomeOK)
		}
	})
}

// TestStall: a request that was taken away from a silent server counts as its
// failure; from one that has answered others since, it does not.
func TestStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var opened []string
		b := route.NewBalancer("near", func(server string) { opened = append(opened, server) })
		only := route.Task{Servers: twoServers[:1], PromptTokens: 1, Kind: "brief/small", Initial: route.InitialEstimate{Base: 50}}
		stall := func(others bool) {
			late := choose(t, b, only)
			time.Sleep(time.Second)
			if others {
				choose(t, b, only).RecordResponseStart()
			}
			late.EndStalled()
		}
		for range 5 {
			stall(true)
		}
		must.SliceEmpty(t, opened)
		for range 3 {
			stall(false)
		}
		must.Eq(t, []string{"good"}, opened)
	})
}

// TestLate: how late an answer is judged by what its kind usually takes.
func TestLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		must.Eq(t, 0, choose(t, b, briefTask).LateAfter(), must.Sprint("nothing is known yet"))
		b = balancer()
		serve(t, b, map[string]time.Duration{"good": 100 * time.Millisecond, "bad": 100 * time.Millisecond}, 50)
		use := choose(t, b, briefTask)
		must.Between(t, 90*time.Millisecond, use.ExpectedLatency(), 110*time.Millisecond)
		must.Between(t, 100*time.Millisecond, use.LateAfter(), 200*time.Millisecond)
	})
}
