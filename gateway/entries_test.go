package gateway_test

import (
	"encoding/json"
	"maps"
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/gateway"
	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/settings"
	"github.com/violettally/violettally/view"
)

func newTestGateway(t *testing.T) *gateway.Gateway {
	g, err := gateway.New(&settings.Gateway{
		Name: "n-1", Region: "home", DataHall: "hall-1",
		Bounds: settings.GatewayBounds{RetryRatio: 0.9, RetrySlack: 500, RetryWindowSeconds: 10, CanaryShare: 0.15},
	})
	must.NoError(t, err)
	return g
}

// serverEntry returns a valid server entry with some fields changed; a nil value removes a
// field.
func serverEntry(t *testing.T, changed map[string]any) []byte {
	fields := map[string]any{
		"service": "pool", "address": "10.0.0.1:80", "zone": "hall-1", "version": "v1", "slots": 8,
		"state": "ready", "cold_left_ms": 0, "call_seq": 1, "born": 1_700_000_000_000,
	}
	maps.Copy(fields, changed)
	for name, value := range changed {
		if value == nil {
			delete(fields, name)
		}
	}
	data, err := json.Marshal(fields)
	must.NoError(t, err)
	return data
}

// TestInvalidServerEntries checks that an invalid entry under a server's key takes that
// server out of use at once and no other, and that the next valid entry restores it.
func TestInvalidServerEntries(t *testing.T) {
	tests := []struct {
		name  string
		value []byte
	}{
		{"binary data", []byte("\x00\xff")},
		{"not an object", []byte(`["pool"]`)},
		{"empty object", []byte(`{}`)},
		{"truncated", serverEntry(t, nil)[:40]},
		{"no service", serverEntry(t, map[string]any{"service": nil})},
		{"no address", serverEntry(t, map[string]any{"address": nil})},
		{"no data hall", serverEntry(t, map[string]any{"zone": nil})},
		{"no version", serverEntry(t, map[string]any{"version": nil})},
		{"no slots", serverEntry(t, map[string]any{"slots": nil})},
		{"no state", serverEntry(t, map[string]any{"state": nil})},
		{"no call_seq", serverEntry(t, map[string]any{"call_seq": nil})},
		{"service of another type", serverEntry(t, map[string]any{"service": 7})},
		{"slots of another type", serverEntry(t, map[string]any{"slots": "8"})},
		{"slots with a fraction", serverEntry(t, map[string]any{"slots": 8.5})},
		{"zero slots", serverEntry(t, map[string]any{"slots": 0})},
		{"born of another type", serverEntry(t, map[string]any{"born": "today"})},
		{"born with a fraction", serverEntry(t, map[string]any{"born": 1.5})},
		{"unknown state", serverEntry(t, map[string]any{"state": "paused"})},
		{"address without a port", serverEntry(t, map[string]any{"address": "10.0.0.1"})},
		{"address with a host name", serverEntry(t, map[string]any{"address": "server:80"})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t)
			g.ApplyServerEntry("other", serverEntry(t, nil))
			g.ApplyServerEntry("s", tt.value)
			must.Eq(t, []string{"other"}, serverIDs(g))
			g.ApplyServerEntry("s", serverEntry(t, nil))
			must.Eq(t, []string{"other", "s"}, serverIDs(g))
			for range 2 {
				g.ApplyServerEntry("s", tt.value)
				must.Eq(t, []string{"other"}, serverIDs(g))
			}
			g.ApplyServerEntry("s", serverEntry(t, map[string]any{"state": "draining"}))
			must.Eq(t, []string{"other"}, serverIDs(g))
			g.ApplyServerEntry("s", serverEntry(t, nil))
			must.Eq(t, []string{"other", "s"}, serverIDs(g))
		})
	}
}

// TestEntryWithoutStartTime checks that entries without a start time are valid, since some
// servers write none.
func TestEntryWithoutStartTime(t *testing.T) {
	g := newTestGateway(t)
	g.ApplyServerEntry("s", serverEntry(t, map[string]any{"born": nil}))
	must.Eq(t, []string{"s"}, serverIDs(g))
	g.ApplyServerEntry("s", serverEntry(t, map[string]any{"born": nil, "state": "draining"}))
	must.SliceEmpty(t, serverIDs(g))
}

func serverIDs(g *gateway.Gateway) []string {
	var ids []string
	for _, s := range g.Servers("pool") {
		ids = append(ids, s.ID)
	}
	return ids
}

// TestServerRestart checks that a server that restarts under its ID is treated as a new one:
// the cached prompts and the open circuit breaker of its previous incarnation are dropped.
func TestServerRestart(t *testing.T) {
	promptParts := []prefix.Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 1000}}
	task := func(g *gateway.Gateway) route.Task {
		return route.Task{
			Servers: g.Servers("pool"), Kind: "m", PromptTokens: 6000, CacheCapacity: 100_000,
			Initial: route.InitialEstimate{Base: 30, Rate: 0.05}, Prompt: prefix.NewChain("m", promptParts),
		}
	}
	send := func(g *gateway.Gateway, outcome route.Outcome) *route.Assignment {
		assignment, err := g.Balancer().Choose(task(g))
		must.NoError(t, err)
		if outcome == route.OutcomeOK {
			assignment.RecordResponseStart()
		}
		assignment.End(outcome)
		return assignment
	}
	g := newTestGateway(t)
	g.ApplyServerEntry("s", serverEntry(t, map[string]any{"born": 1000}))
	send(g, route.OutcomeOK)
	must.Eq(t, 6000, send(g, route.OutcomeOK).CachedTokens())
	for range 3 {
		send(g, route.OutcomeFailed)
	}
	_, err := g.Balancer().Choose(task(g))
	must.Error(t, err, must.Sprint("the circuit breaker is not open"))

	g.ApplyServerEntry("s", serverEntry(t, map[string]any{"born": 2000}))
	must.Eq(t, 0, send(g, route.OutcomeOK).CachedTokens())

	// A delayed write of the previous incarnation arrives last.
	g.ApplyServerEntry("s", serverEntry(t, map[string]any{"born": 1000, "address": "10.0.0.9:80", "state": "draining"}))
	must.Eq(t, "10.0.0.1:80", g.Servers("pool")[0].Address)
	must.Eq(t, 6000, send(g, route.OutcomeOK).CachedTokens())
}

// TestInvalidGatewayEntries checks that a gateway with an invalid entry is not used.
func TestInvalidGatewayEntries(t *testing.T) {
	encode := func(m view.Member) []byte {
		value, err := json.Marshal(m)
		must.NoError(t, err)
		return value
	}
	newMember := func(caller, peer string) view.Member {
		return view.NewMember(view.Member{VM: "n-2", Region: "home", DataHall: "hall-1", Caller: caller, Peer: peer})
	}
	member := func(caller, peer string) []byte { return encode(newMember(caller, peer)) }
	fanOut := func(nodes int) []byte {
		m := newMember("10.0.0.2:8000", "10.0.0.2:8001")
		m.FanOut = nodes
		return encode(m)
	}
	valid := member("10.0.0.2:8000", "10.0.0.2:8001")
	for name, value := range map[string][]byte{
		"binary data":            []byte("\x00\xff"),
		"not an object":          []byte(`7`),
		"empty object":           []byte(`{}`),
		"no client address":      member("", "10.0.0.2:8001"),
		"no peer address":        member("10.0.0.2:8000", ""),
		"address without a port": member("10.0.0.2", "10.0.0.2:8001"),
		"port zero":              member("10.0.0.2:8000", "10.0.0.2:0"),
		"no name":                encode(view.Member{Caller: "10.0.0.2:8000", Peer: "10.0.0.2:8001"}),
		"very large fan-out":     fanOut(math.MaxInt),
		"negative fan-out":       fanOut(-1),
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.ApplyGatewayEntry("n-2", value)
			must.SliceEmpty(t, g.Others())
			g.ApplyGatewayEntry("n-2", valid)
			must.Len(t, 1, g.Others())
			g.ApplyGatewayEntry("n-2", value)
			must.SliceEmpty(t, g.Others())
		})
	}
}
