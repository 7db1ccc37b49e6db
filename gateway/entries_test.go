package gateway_test

import (
	"encoding/json"
	"maps"
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

// entry is a server's as it writes it, with some fields changed; nil takes one away.
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

// TestInvalidServerEntries lists what another writer may leave under a server's key. It
// names no server to use, at once, while the others stay in use; the next good entry
// brings the server back.
func TestInvalidServerEntries(t *testing.T) {
	tests := []struct {
		name  string
		value []byte
	}{
		{"bytes", []byte("\x00\xff")},
		{"no object", []byte(`["pool"]`)},
		{"empty", []byte(`{}`)},
		{"cut", serverEntry(t, nil)[:40]},
		{"no service", serverEntry(t, map[string]any{"service": nil})},
		{"no address", serverEntry(t, map[string]any{"address": nil})},
		{"no data hall", serverEntry(t, map[string]any{"zone": nil})},
		{"no version", serverEntry(t, map[string]any{"version": nil})},
		{"no slots", serverEntry(t, map[string]any{"slots": nil})},
		{"no state", serverEntry(t, map[string]any{"state": nil})},
		{"no count of orders", serverEntry(t, map[string]any{"call_seq": nil})},
		{"service of another type", serverEntry(t, map[string]any{"service": 7})},
		{"slots of another type", serverEntry(t, map[string]any{"slots": "8"})},
		{"slots with a fraction", serverEntry(t, map[string]any{"slots": 8.5})},
		{"no slot", serverEntry(t, map[string]any{"slots": 0})},
		{"start of another type", serverEntry(t, map[string]any{"born": "today"})},
		{"start with a fraction", serverEntry(t, map[string]any{"born": 1.5})},
		{"unknown state", serverEntry(t, map[string]any{"state": "paused"})},
		{"address without a port", serverEntry(t, map[string]any{"address": "10.0.0.1"})},
		{"address by name", serverEntry(t, map[string]any{"address": "server:80"})},
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

// TestEarlierWriters: entries without a start are those of servers that write none.
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

// TestStartsAgain: a server starts again under its ID. It is a server of which
// nothing is known: what its earlier start had read, or was failing, says
// nothing of it.
func TestServerRestart(t *testing.T) {
	parts := []prefix.Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 1000}}
	task := func(g *gateway.Gateway) route.Task {
		return route.Task{
			Servers: g.Servers("pool"), Kind: "m", Tokens: 6000, Capacity: 100_000,
			Assumed: route.Assumption{Base: 30, Rate: 0.05}, Prompt: prefix.NewChain("m", parts),
		}
	}
	answer := func(g *gateway.Gateway, outcome route.Outcome) *route.Use {
		use, err := g.Balancer().Choose(task(g))
		must.NoError(t, err)
		if outcome == route.OutcomeOK {
			use.Begin()
		}
		use.End(outcome)
		return use
	}
	g := newTestGateway(t)
	g.ApplyServerEntry("s", serverEntry(t, map[string]any{"born": 1000}))
	answer(g, route.OutcomeOK)
	must.Eq(t, 6000, answer(g, route.OutcomeOK).Held())
	for range 3 {
		answer(g, route.OutcomeFailed)
	}
	_, err := g.Balancer().Choose(task(g))
	must.Error(t, err, must.Sprint("its breaker is open"))

	g.ApplyServerEntry("s", serverEntry(t, map[string]any{"born": 2000}))
	must.Eq(t, 0, answer(g, route.OutcomeOK).Held())

	// A write of the earlier start that was under way comes last.
	g.ApplyServerEntry("s", serverEntry(t, map[string]any{"born": 1000, "address": "10.0.0.9:80", "state": "draining"}))
	must.Eq(t, "10.0.0.1:80", g.Servers("pool")[0].Address)
	must.Eq(t, 6000, answer(g, route.OutcomeOK).Held())
}

// TestInvalidGatewayEntries lists what may stand under another gateway's key that names none:
// clients and peers are not sent there.
func TestInvalidGatewayEntries(t *testing.T) {
	member := func(caller, peer string) []byte {
		value, err := json.Marshal(view.NewMember(view.Member{VM: "n-2", Region: "home", DataHall: "hall-1", Caller: caller, Peer: peer}))
		must.NoError(t, err)
		return value
	}
	good := member("10.0.0.2:8000", "10.0.0.2:8001")
	for name, value := range map[string][]byte{
		"bytes":               []byte("\x00\xff"),
		"no object":           []byte(`7`),
		"empty":               []byte(`{}`),
		"no callers' door":    member("", "10.0.0.2:8001"),
		"no peers' door":      member("10.0.0.2:8000", ""),
		"door without a port": member("10.0.0.2", "10.0.0.2:8001"),
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.ApplyGatewayEntry("n-2", value)
			must.SliceEmpty(t, g.Others())
			g.ApplyGatewayEntry("n-2", good)
			must.Len(t, 1, g.Others())
			g.ApplyGatewayEntry("n-2", value)
			must.SliceEmpty(t, g.Others())
		})
	}
}
