package route_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
)

var twoServers = []*registry.Server{{ID: "good", DataHall: "near"}, {ID: "bad", DataHall: "near"}}

// shortTask is a task with an initial estimate of 50 ms.
var shortTask = route.Task{Servers: twoServers, PromptTokens: 1, Kind: "brief/small", Initial: route.InitialEstimate{Base: 50}}

// serve sends n requests one after the other, each of which takes the latency of
// its server, and returns the number of requests by server.
func serve(t *testing.T, b *route.Balancer, latencies map[string]time.Duration, n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		assignment := choose(t, b, shortTask)
		counts[assignment.Server().ID]++
		time.Sleep(latencies[assignment.Server().ID])
		assignment.RecordResponseStart()
		assignment.End(route.OutcomeOK)
	}
	return counts
}

// TestSlowServer checks that a server with several times the latency of others gets
// few requests, and its share again once it has recovered.
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

// TestFailingServer checks that a server that responds fast but with failures is
// avoided.
func TestFailingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		send := func(n int) int {
			bad := 0
			for range n {
				assignment := choose(t, b, shortTask)
				failed := assignment.Server().ID == "bad"
				if failed {
					bad++
				}
				time.Sleep(10 * time.Millisecond)
				assignment.RecordResponseStart()
				assignment.RecordResult(failed)
				assignment.End(route.OutcomeNeutral)
			}
			return bad
		}
		send(50)
		must.Between(t, 0, send(50), 10)
	})
}

// TestSilentServer checks that a server that does not respond is avoided before the
// first request there has ended.
func TestSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		serve(t, b, map[string]time.Duration{}, 20)
		stalled := choose(t, b, shortTask)
		time.Sleep(2 * time.Second)
		for range 20 {
			assignment := choose(t, b, shortTask)
			must.NotEq(t, stalled.Server().ID, assignment.Server().ID)
			assignment.RecordResponseStart()
			assignment.End(route.OutcomeOK)
		}
	})
}

// TestEndStalled checks that a stalled request counts as a failure of its server
// only if the server has responded to no other request since.
func TestEndStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var opened []string
		b := route.NewBalancer("near", func(server string) { opened = append(opened, server) })
		only := route.Task{Servers: twoServers[:1], PromptTokens: 1, Kind: "brief/small", Initial: route.InitialEstimate{Base: 50}}
		stall := func(respondToOther bool) {
			late := choose(t, b, only)
			time.Sleep(time.Second)
			if respondToOther {
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

// TestLateAfter checks that the latency beyond which a response is late follows the
// observed latencies of its kind.
func TestLateAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer()
		must.Eq(t, 0, choose(t, b, shortTask).LateAfter(), must.Sprint("before the first response"))
		b = balancer()
		serve(t, b, map[string]time.Duration{"good": 100 * time.Millisecond, "bad": 100 * time.Millisecond}, 50)
		assignment := choose(t, b, shortTask)
		must.Between(t, 90*time.Millisecond, assignment.ExpectedLatency(), 110*time.Millisecond)
		must.Between(t, 100*time.Millisecond, assignment.LateAfter(), 200*time.Millisecond)
	})
}
