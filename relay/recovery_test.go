package relay_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// TestServersReturn replays the seconds after all nodes were lost during an outage of the
// store: they know the declaration, and the servers' entries come back one after the other.
// Requests that came in between were refused, though servers were running.
func TestServersReturn(t *testing.T) {
	tests := []struct {
		name string
		// known is when the first server's entry is back, recovered when entries that are
		// missing no longer count as running servers.
		known, recovered time.Duration
		deadline         time.Duration
		served           bool
		took             time.Duration
	}{
		{"entry comes back", 900 * time.Millisecond, 2 * time.Second, 6 * time.Second, true, 900 * time.Millisecond},
		{"short deadline", 900 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond, false, 500 * time.Millisecond},
		{"no entry comes back", time.Minute, 2 * time.Second, 30 * time.Second, false, 2 * time.Second},
		{"no outage", time.Minute, 0, 6 * time.Second, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				s := &returningServers{known: begun.Add(tt.known), recovered: begun.Add(tt.recovered)}
				got := &recorder{}
				serve(t, catalog.Route{Kind: catalog.KindOnce, Attempts: 1, Timeout: tt.deadline}, relay.Options{Servers: s, Backends: s},
					relay.Request{Body: emptyBody(t)}, got)
				must.Between(t, tt.took, time.Since(begun), tt.took+50*time.Millisecond)
				if tt.served {
					must.Eq(t, 200, got.status)
					return
				}
				must.Eq(t, relay.ReasonNoServer, got.refusal.Reason())
			})
		})
	}
}

// returningServers is one server whose entry has expired in an outage of the store.
type returningServers struct {
	allUsable
	known, recovered time.Time
}

func (s *returningServers) Recovering() bool { return time.Now().Before(s.recovered) }

func (s *returningServers) Servers(string) []*registry.Server {
	if time.Now().Before(s.known) {
		return nil
	}
	return []*registry.Server{{ID: "a"}}
}

func (s *returningServers) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	return response{200, strings.NewReader("")}, nil
}
