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

// TestOvertaken: between the choice of a server and the first byte that is sent there lie
// a dial, which may take a second, and whatever keeps the process from running. A server
// may have left meanwhile, and the news may have grown old; the request went out all the
// same. It is now looked at once more, goes to another server, or waits for fresh news,
// and no server counts as tried, no retry as spent.
func TestStaleChoice(t *testing.T) {
	tests := []struct {
		name string
		// before is what the process knows when the request comes; nil for all.
		before func(l *leavingServers)
		// meanwhile happens between the choice and the first byte of the first attempt.
		meanwhile func(l *leavingServers)
		sent      []string
	}{
		{"nothing", nil, func(*leavingServers) {}, []string{"a"}},
		{"the server leaves", nil, func(l *leavingServers) { l.gone = "a" }, []string{"b"}},
		{"the news grows old", nil, func(l *leavingServers) { l.stale = true }, []string{"a"}},
		{"the news was old before", func(l *leavingServers) { l.stale, l.nextGone = true, "a" }, func(*leavingServers) {}, []string{"b"}},
		{"the news grows old, and tells of the leaving", nil, func(l *leavingServers) { l.stale, l.nextGone = true, "a" }, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &leavingServers{beforeFirstByte: tt.meanwhile}
			if tt.before != nil {
				tt.before(l)
			}
			reply := &recorder{}
			serve(t, catalog.Route{Kind: catalog.KindOnce, Attempts: 1, Timeout: time.Second}, relay.Parts{Servers: l, StoreView: l, Backends: l, Budgets: noRetryBudget{}},
				relay.Request{Body: emptyBody(t)}, reply)
			must.Eq(t, 200, reply.status, must.Sprint(reply.refusal))
			must.Eq(t, tt.sent, l.sent)
		})
	}
}

// leavingServers are two servers and the news of them.
type leavingServers struct {
	freshView
	beforeFirstByte func(l *leavingServers)
	calls           int
	// gone is the server that has left, next the one that the next news tells of.
	gone, nextGone string
	stale          bool
	sent           []string
}

func (l *leavingServers) Servers(string) []registry.Server {
	var left []registry.Server
	for _, id := range []string{"a", "b"} {
		if id != l.gone {
			left = append(left, registry.Server{ID: id})
		}
	}
	return left[:1]
}

func (l *leavingServers) Usable(i registry.Incarnation) bool { return i.ID != l.gone }

func (l *leavingServers) InDoubt() bool { return l.stale }

func (l *leavingServers) Settle(context.Context) {
	if l.stale {
		l.stale, l.gone = false, l.nextGone
	}
}

func (l *leavingServers) Send(_ context.Context, s registry.Server, call relay.Call) (relay.Response, error) {
	if l.calls++; l.calls == 1 {
		l.beforeFirstByte(l)
	}
	if call.Stale() {
		return nil, relay.StaleChoice.New("nothing sent")
	}
	l.sent = append(l.sent, s.ID)
	return response{200, strings.NewReader("")}, nil
}
