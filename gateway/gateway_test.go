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

// TestReady checks that a starting gateway is ready only after everything that the store
// held has been delivered. Keys are delivered one after the other, so the declaration may
// be in force before the servers are known.
func TestReady(t *testing.T) {
	tests := []struct {
		name string
		// keys are in the order in which they were written. The delivery is blocked
		// at the key blockAt.
		keys    []string
		blockAt string
	}{
		{"at the declaration", []string{"op/config", "servers/s-1", "servers/s-2"}, "op/config"},
		{"at the first server", []string{"op/config", "servers/s-1", "servers/s-2"}, "servers/s-1"},
		{"at a declaration between servers", []string{"servers/s-1", "op/config", "servers/s-2"}, "op/config"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := standin.NewStore()
			t.Cleanup(store.Close)
			for _, key := range tt.keys {
				store.Put(key, storedValue(key))
			}
			server := httptest.NewServer(store.NewEndpoint().Handler())
			t.Cleanup(server.Close)
			g, err := gateway.New(&settings.Gateway{
				Name: "n-1", Region: "home", DataHall: "hall-1",
				Store:  settings.GatewayStore{Address: strings.TrimPrefix(server.URL, "http://")},
				Bounds: settings.GatewayBounds{RetryRatio: 0.9, RetrySlack: 500, RetryWindowSeconds: 10, CanaryShare: 0.15},
			})
			must.NoError(t, err)
			blocked, resume := make(chan struct{}), make(chan struct{})
			unblock := sync.OnceFunc(func() { close(resume) })
			t.Cleanup(unblock)
			g.Subscribe(tt.blockAt, func(mirror.Change) {
				close(blocked)
				<-resume
			})
			go g.FollowStore(t.Context())
			<-blocked
			must.False(t, g.IsReady(), must.Sprintf("ready with %d of 2 servers known", len(g.Servers("records"))))
			unblock()
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(g.IsReady), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
			must.Len(t, 2, g.Servers("records"))
		})
	}
}

// storedValue returns a valid declaration or server entry for a key.
func storedValue(key string) any {
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
