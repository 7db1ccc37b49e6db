package relay_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// TestRecordedStatus checks that the decision record names the status that the client got. A
// failure of the server that was passed on read like a success.
func TestRecordedStatus(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		servers relay.Servers
		want    int
		outcome string
	}{
		{"success", 200, nil, 200, "answered"},
		{"failure passed on", 500, nil, 500, "answered"},
		{"refused", 200, noServers{}, 503, "refused: no_server"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			records := decision.New("n")
			serve(t, catalog.Route{Kind: catalog.KindOnce, Attempts: 1, Timeout: time.Second},
				relay.Options{Records: records, Servers: tt.servers, Backends: fixedStatus(tt.status)}, relay.Request{Body: emptyBody(t)}, &recorder{})
			record, ok := records.Find("1")
			must.True(t, ok)
			must.Eq(t, tt.want, record.Status)
			must.Eq(t, tt.outcome, record.Outcome)
		})
	}
}

// noServers is an empty set of servers.
type noServers struct{ allUsable }

func (noServers) Servers(string) []*registry.Server { return nil }

// fixedStatus responds to every request with one status.
type fixedStatus int

func (s fixedStatus) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	return response{int(s), strings.NewReader("")}, nil
}
