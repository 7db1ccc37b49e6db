package gateway_test

import (
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/violettally/violettally/gateway"
	"github.com/violettally/violettally/internal/standin"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/settings"
)

// TestReady: a gateway that starts is ready once it knows all that the store
// held, and not while it is still being told.
func TestReady(t *testing.T) {
	tests := []struct {
		name string
		// keys are in the order in which they were written; at holds the
		// gateway back once it has been told of that one.
		keys []string
		at   string
	}{
		{"declaration", []string{"op/config", "servers/s-1", "servers/s-2"}, "op/config"},
		{"first server", []string{"op/config", "servers/s-1", "servers/s-2"}, "servers/s-1"},
		{"between servers", []string{"servers/s-1", "op/config", "servers/s-2"}, "op/config"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := standin.NewStore()
			t.Cleanup(store.Close)
			for _, key := range tt.keys {
				store.Put(key, document(key))
			}
			server := httptest.NewServer(store.NewEndpoint().Handler())
			t.Cleanup(server.Close)
			g, err := gateway.New(&settings.Gateway{
				Name: "n-1", Region: "home", DataHall: "hall-1",
				Store:  settings.GatewayStore{Address: strings.TrimPrefix(server.URL, "http://")},
				Bounds: settings.GatewayBounds{RetryRatio: 0.9, RetrySlack: 500, RetryWindowSeconds: 10, CanaryShare: 0.15},
			})
			must.NoError(t, err)
			told, goOn := make(chan struct{}), make(chan struct{})
			release := sync.OnceFunc(func() { close(goOn) })
			t.Cleanup(release)
			g.Subscribe(tt.at, func(mirror.Change) {
				close(told)
				<-goOn
			})
			go g.Follow(t.Context())
			<-told
			must.False(t, g.IsReady(), must.Sprintf("ready with %d of 2 servers known", len(g.Servers("records"))))
			release()
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(g.IsReady), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
			must.Len(t, 2, g.Servers("records"))
		})
	}
}

// document is what the operators or a server write under a key.
func document(key string) any {
	if key == "op/config" {
		return map[string]any{
			"version": 1,
			"routes": []map[string]any{{"name": "look", "host": "desk.example", "path_prefix": "/look/", "kind": "idempotent",
				"timeout_ms": 2000, "service": "records", "attempts": 2}},
			"services": []map[string]any{{"name": "records", "max_conns": 100}},
		}
	}
	return map[string]any{"service": "records", "address": "127.0.0.1:1", "zone": "hall-1", "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "call_seq": 1}
}
