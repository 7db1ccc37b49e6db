package e2e_test

import (
	"encoding/json"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestEngineThatWantsRest checks that an engine which turns requests away and asks for rest gets few
// within that time while the other engine takes the rest, and that requests are refused at once, as not
// run and with the time until the first may have had its rest, while both want rest.
func TestEngineThatWantsRest(t *testing.T) {
	t.Parallel()
	const (
		rest = 3 * time.Second
		// allowedInRest is the number of requests of one node within the rest that it was asked for.
		allowedInRest = 2
	)
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, engines: 2, plainServices: 1, engineArgs: []string{"--token-ms", "1"}})
	// Each node asks the engine that wants rest while the other one leaves, and not before.
	f.setBehaviour(f.engineAddrs[1], map[string]any{"leaving": true})
	f.waitFor("all nodes to know", f.allKnowLeavingServer)
	f.setBehaviour(f.engineAddrs[0], map[string]any{"rest_s": rest.Seconds()})
	began := time.Now()
	for _, n := range f.nodes {
		f.chat(n, "small", "what is due")
	}
	f.setBehaviour(f.engineAddrs[1], map[string]any{"leaving": false})
	for _, n := range f.nodes {
		f.waitFor("the other engine to be used", func() bool { return f.chat(n, "small", "what is due").complete() })
	}
	for _, r := range f.chatFor(2 * rest) {
		must.True(t, r.complete(), must.Sprint(r.status, r.body, r.err))
	}
	turnedAway := f.turnedAway(f.engineAddrs[0])
	must.GreaterEq(t, len(f.nodes), len(turnedAway))
	rests := int(time.Since(began)/rest) + 1
	must.LessEq(t, len(f.nodes)*(1+allowedInRest)*rests, len(turnedAway), must.Sprint("requests turned away in ", rests, " rests"))

	f.setBehaviour(f.engineAddrs[1], map[string]any{"rest_s": rest.Seconds()})
	refused := 0
	for _, r := range f.chatFor(rest / 2) {
		if r.code != "servers_resting" {
			continue
		}
		must.Eq(t, 503, r.status)
		must.Eq(t, "no", r.ran)
		seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, 1, seconds, 1.25*rest.Seconds()+1)
		refused++
	}
	must.Positive(t, refused)
}

// TestEngineSaysThatItLeaves checks that an engine whose answers say that it leaves gets no more requests
// of the nodes, and gets some again once they don't.
func TestEngineSaysThatItLeaves(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, engines: 2, plainServices: 1, engineArgs: []string{"--token-ms", "1"}})
	runs := func() int {
		count := 0
		for _, runs := range f.runsByRequestID([]string{f.engineAddrs[0]}) {
			count += len(runs)
		}
		return count
	}
	f.setBehaviour(f.engineAddrs[0], map[string]any{"leaving": true})
	f.waitFor("all nodes to know", f.allKnowLeavingServer)
	before := runs()
	for _, n := range f.nodes {
		for range 20 {
			must.True(t, f.chat(n, "small", "what is due").complete())
		}
	}
	must.Eq(t, before, runs())
	f.setBehaviour(f.engineAddrs[0], map[string]any{"leaving": false})
	f.setBehaviour(f.engineAddrs[1], map[string]any{"leaving": true})
	f.waitFor("the engine that stays to be used", func() bool {
		return f.chat(f.nodes[0], "small", "what is due").complete()
	})
	must.Greater(t, before, runs())
}

// knowsLeavingServer matches the metrics of a node that knows one server that leaves.
var knowsLeavingServer = regexp.MustCompile(`(?m)^violettally_leaving_servers(\{.*\})? 1$`)

// allKnowLeavingServer reports whether all nodes know one server that leaves.
func (f *fleet) allKnowLeavingServer() bool {
	return !slices.ContainsFunc(f.nodes, func(n *node) bool { return !knowsLeavingServer.Match(f.get(n.operatorAddr, "/metrics")) })
}

// turnedAway returns when an engine turned requests away.
func (f *fleet) turnedAway(address string) []time.Time {
	var times []time.Time
	must.NoError(f.t, json.Unmarshal(f.get(address, "/rejections"), &times))
	return times
}
