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

func newGateway(t *testing.T) *gateway.Gateway {
	g, err := gateway.New(&settings.Gateway{
		Name: "n-1", Region: "home", DataHall: "hall-1",
		Bounds: settings.GatewayBounds{RetryRatio: 0.9, RetrySlack: 500, RetryWindowSeconds: 10, CanaryShare: 0.15},
	})
	must.NoError(t, err)
	return g
}

// entry is a server's as it writes it, with some fields changed; nil takes one away.
func entry(t *testing.T, changed map[string]any) []byte {
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

// TestForeignEntries lists what another writer may leave under a server's key. It
// names no server to use, at once, while the others stay in use; the next good entry
// brings the server back.
func TestForeignEntries(t *testing.T) {
	tests := []struct {
		name  string
		value []byte
	}{
		{"bytes", []byte("\x00\xff")},
		{"no object", []byte(`["pool"]`)},
		{"empty", []byte(`{}`)},
		{"cut", entry(t, nil)[:40]},
		{"no service", entry(t, map[string]any{"service": nil})},
		{"no address", entry(t, map[string]any{"address": nil})},
		{"no data hall", entry(t, map[string]any{"zone": nil})},
		{"no version", entry(t, map[string]any{"version": nil})},
		{"no slots", entry(t, map[string]any{"slots": nil})},
		{"no state", entry(t, map[string]any{"state": nil})},
		{"no count of orders", entry(t, map[string]any{"call_seq": nil})},
		{"service of another type", entry(t, map[string]any{"service": 7})},
		{"slots of another type", entry(t, map[string]any{"slots": "8"})},
		{"slots with a fraction", entry(t, map[string]any{"slots": 8.5})},
		{"no slot", entry(t, map[string]any{"slots": 0})},
		{"start of another type", entry(t, map[string]any{"born": "today"})},
		{"start with a fraction", entry(t, map[string]any{"born": 1.5})},
		{"unknown state", entry(t, map[string]any{"state": "paused"})},
		{"address without a port", entry(t, map[string]any{"address": "10.0.0.1"})},
		{"address by name", entry(t, map[string]any{"address": "server:80"})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGateway(t)
			g.TakeServer("other", entry(t, nil))
			g.TakeServer("s", tt.value)
			must.Eq(t, []string{"other"}, ids(g))
			g.TakeServer("s", entry(t, nil))
			must.Eq(t, []string{"other", "s"}, ids(g))
			for range 2 {
				g.TakeServer("s", tt.value)
				must.Eq(t, []string{"other"}, ids(g))
			}
			g.TakeServer("s", entry(t, map[string]any{"state": "draining"}))
			must.Eq(t, []string{"other"}, ids(g))
			g.TakeServer("s", entry(t, nil))
			must.Eq(t, []string{"other", "s"}, ids(g))
		})
	}
}

// TestEarlierWriters: entries without a start are those of servers that write none.
func TestEarlierWriters(t *testing.T) {
	g := newGateway(t)
	g.TakeServer("s", entry(t, map[string]any{"born": nil}))
	must.Eq(t, []string{"s"}, ids(g))
	g.TakeServer("s", entry(t, map[string]any{"born": nil, "state": "draining"}))
	must.SliceEmpty(t, ids(g))
}

func ids(g *gateway.Gateway) []string {
	var ids []string
	for _, s := range g.Servers("pool") {
		ids = append(ids, s.ID)
	}
	return ids
}

// TestStartsAgain: a server starts again under its ID. It is a server of which
// nothing is known: what its earlier start had read, or was failing, says
// nothing of it.
func TestStartsAgain(t *testing.T) {
	parts := []prefix.Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 1000}}
	task := func(g *gateway.Gateway) route.Task {
		return route.Task{
			Servers: g.Servers("pool"), Kind: "m", PromptTokens: 6000, CacheCapacity: 100_000,
			Initial: route.InitialEstimate{Base: 30, Rate: 0.05}, Prompt: prefix.NewChain("m", parts),
		}
	}
	answer := func(g *gateway.Gateway, outcome route.Outcome) *route.Assignment {
		use, err := g.Balancer().Choose(task(g))
		must.NoError(t, err)
		if outcome == route.OutcomeOK {
			use.RecordResponseStart()
		}
		use.End(outcome)
		return use
	}
	g := newGateway(t)
	g.TakeServer("s", entry(t, map[string]any{"born": 1000}))
	answer(g, route.OutcomeOK)
	must.Eq(t, 6000, answer(g, route.OutcomeOK).CachedTokens())
	for range 3 {
		answer(g, route.OutcomeFailed)
	}
	_, err := g.Balancer().Choose(task(g))
	must.Error(t, err, must.Sprint("its breaker is open"))

	g.TakeServer("s", entry(t, map[string]any{"born": 2000}))
	must.Eq(t, 0, answer(g, route.OutcomeOK).CachedTokens())

	// A write of the earlier start that was under way comes last.
	g.TakeServer("s", entry(t, map[string]any{"born": 1000, "address": "10.0.0.9:80", "state": "draining"}))
	must.Eq(t, "10.0.0.1:80", g.Servers("pool")[0].Address)
	must.Eq(t, 6000, answer(g, route.OutcomeOK).CachedTokens())
}

// TestForeignNodes lists what may stand under another gateway's key that names none:
// clients and peers are not sent there.
func TestForeignNodes(t *testing.T) {
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
			g := newGateway(t)
			g.TakeNode("n-2", value)
			must.SliceEmpty(t, g.Others())
			g.TakeNode("n-2", good)
			must.Len(t, 1, g.Others())
			g.TakeNode("n-2", value)
			must.SliceEmpty(t, g.Others())
		})
	}
}
