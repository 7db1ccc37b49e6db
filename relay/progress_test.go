package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// progressRecorder records the servers that are reported to make progress.
type progressRecorder struct {
	noSuspects
	servers []uint64
}

func (h *progressRecorder) Empty() bool { return false }

func (h *progressRecorder) ReportProgress(server uint64, _, _ time.Time) {
	h.servers = append(h.servers, server)
}

// decliningServers decline all requests, like a server that was started at the address of
// another one.
type decliningServers struct{ threeServers }

func (decliningServers) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	return declinedResponse{}, nil
}

// TestDeclineIsNoProgress checks that a declined request is not reported as progress of the
// server. The response may come from a new server at the address of one that has crashed; when
// it counted, three verdicts were withdrawn and nine more servers crashed.
func TestDeclineIsNoProgress(t *testing.T) {
	progress := &progressRecorder{}
	got := &recorder{}
	serve(t, catalog.Route{Kind: catalog.KindRepeatable, Attempts: 2, Timeout: time.Second},
		relay.Parts{Servers: decliningServers{}, Backends: decliningServers{}, Budgets: noRetryBudget{}, Suspects: progress}, relay.Request{Body: emptyBody(t)}, got)
	must.NotNil(t, got.refusal)
	must.SliceEmpty(t, progress.servers)
}
