package relay_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// TestWarmUps checks that a request goes only to servers that this node may send one while
// they warm up, and that one that no server may get is refused with the time until the first
// is warm.
func TestWarmUps(t *testing.T) {
	tests := []struct {
		name     string
		allowed  string
		taken    string // servers whose limit is used up between the choice and the assignment
		sent     []string
		deferral time.Duration
	}{
		{"one of three allowed", "b", "", []string{"b"}, 0},
		{"limit used up meanwhile", "bc", "c", []string{"b"}, 0},
		{"none allowed", "", "", nil, 1200 * time.Millisecond},
		{"all limits used up meanwhile", "abc", "abc", nil, 1200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &warmingServers{allowed: tt.allowed, taken: tt.taken}
			got := &recorder{}
			serve(t, catalog.Route{Kind: catalog.KindOnce, Attempts: 1, Timeout: time.Second}, relay.Options{WarmUps: w, Backends: w},
				relay.Request{Body: emptyBody(t)}, got)
			must.Eq(t, tt.sent, w.sent)
			if tt.sent == nil {
				must.Eq(t, relay.ReasonWarmingUp, got.refusal.Reason())
				must.Eq(t, 503, got.refusal.Status())
				must.Eq(t, tt.deferral, got.refusal.RetryAfter())
			}
		})
	}
}

// warmingServers are servers of which some may get a request.
type warmingServers struct {
	allowed, taken string
	sent           []string
}

func (w *warmingServers) Filter(servers []*registry.Server) []*registry.Server {
	var allowed []*registry.Server
	for _, s := range servers {
		if strings.Contains(w.allowed, s.ID) {
			allowed = append(allowed, s)
		}
	}
	return allowed
}

func (w *warmingServers) Take(s registry.Server) bool {
	if !strings.Contains(w.taken, s.ID) {
		return true
	}
	w.allowed = strings.ReplaceAll(w.allowed, s.ID, "")
	return false
}

func (w *warmingServers) UntilWarm([]*registry.Server) time.Duration { return 1200 * time.Millisecond }

func (w *warmingServers) Send(_ context.Context, s registry.Server, _ relay.Call) (relay.Response, error) {
	w.sent = append(w.sent, s.ID)
	return response{200, strings.NewReader("")}, nil
}
