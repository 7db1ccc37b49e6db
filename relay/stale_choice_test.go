package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// TestLongRequestRefusedUnsent checks the same with a body too long to be buffered, of which nothing was sent.
func TestLongRequestRefusedUnsent(t *testing.T) { testStaleChoice(t, 300<<10) }

// TestStaleChoice checks that the choice of the server is verified before the first byte is
// sent. Between the two, a dial may take a second or the process may not be scheduled;
// meanwhile the server may leave or the store view may become too old, and the request was sent
// nevertheless. It must go to another server or wait for a fresh view, without counting a
// server as tried or a retry as used.
func TestStaleChoice(t *testing.T) { testStaleChoice(t, 0) }

// testStaleChoice sends requests with bodies of a size.
func testStaleChoice(t *testing.T, size int) {
	tests := []struct {
		name string
		// before sets the state when the request arrives; nil for a fresh view.
		before func(l *leavingServers)
		// beforeFirstByte runs between the choice and the first byte of the first attempt.
		beforeFirstByte func(l *leavingServers)
		sent            []string
	}{
		{"no change", nil, func(*leavingServers) {}, []string{"a"}},
		{"server leaves", nil, func(l *leavingServers) { l.departed = "a" }, []string{"b"}},
		{"an answer says that the server leaves", nil, func(l *leavingServers) { l.withheld = "a" }, []string{"b"}},
		{"view becomes stale", nil, func(l *leavingServers) { l.stale = true }, []string{"a"}},
		{"view was stale before", func(l *leavingServers) { l.stale, l.nextDeparted = true, "a" }, func(*leavingServers) {}, []string{"b"}},
		{"view becomes stale, refresh shows the server as gone", nil, func(l *leavingServers) { l.stale, l.nextDeparted = true, "a" }, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &leavingServers{beforeFirstByte: tt.beforeFirstByte}
			if tt.before != nil {
				tt.before(l)
			}
			got := &recorder{}
			body, err := relay.NewBody(strings.NewReader(strings.Repeat("x", size)), int64(size))
			must.NoError(t, err)
			serve(t, catalog.Route{Kind: catalog.KindOnce, Attempts: 1, Timeout: time.Second}, relay.Options{Servers: l, Throttle: l, StoreView: l, Backends: l, Budgets: noRetryBudget{}},
				relay.Request{Body: body}, got)
			must.Eq(t, 200, got.status, must.Sprint(got.refusal))
			must.Eq(t, tt.sent, l.sent)
		})
	}
}

// leavingServers are two servers and the store view of them.
type leavingServers struct {
	freshView
	noLimits
	beforeFirstByte func(l *leavingServers)
	calls           int
	// departed is the server that has left, nextDeparted the one that the next refresh shows as gone.
	departed, nextDeparted string
	// withheld is the server that says in an answer that it wants no requests.
	withheld string
	stale    bool
	sent     []string
}

func (l *leavingServers) Servers(string) []*registry.Server {
	var left []*registry.Server
	for _, id := range []string{"a", "b"} {
		if id != l.departed && id != l.withheld {
			left = append(left, &registry.Server{ID: id})
		}
	}
	return left[:1]
}

func (l *leavingServers) HasEvacuated(string) bool { return false }

func (l *leavingServers) Recovering() bool { return false }

func (l *leavingServers) Usable(i registry.Incarnation) bool { return i.ID != l.departed }

func (l *leavingServers) NeedsRefresh() bool { return l.stale }

func (l *leavingServers) AwaitRefresh(context.Context) {
	if l.stale {
		l.stale, l.departed = false, l.nextDeparted
	}
}

func (l *leavingServers) Send(_ context.Context, s registry.Server, call relay.Call) (relay.Response, error) {
	body := call.Request.Body.Reader()
	if l.calls++; l.calls == 1 {
		l.beforeFirstByte(l)
	}
	if call.Stale() {
		return nil, relay.StaleChoice.New("nothing sent")
	}
	l.sent = append(l.sent, s.ID)
	if n, err := io.Copy(io.Discard, body); err != nil || n != call.Request.Body.Length() {
		return nil, relay.Failed.New("%d bytes of the body: %v", n, err)
	}
	return response{200, strings.NewReader("")}, nil
}

func (l *leavingServers) Withheld(s registry.Server) bool { return s.ID == l.withheld }
