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

// progressRecorder notes which servers are taken for ones that go on.
type progressRecorder struct {
	noSuspects
	servers []uint64
}

func (h *progressRecorder) Empty() bool { return false }

func (h *progressRecorder) ReportProgress(server uint64, _, _ time.Time) {
	h.servers = append(h.servers, server)
}

// decliningServers servers turn requests away, as does one that was started at the address of
// another.
type decliningServers struct{ threeServers }

func (decliningServers) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	return declinedResponse{}, nil
}

// TestOtherServerAtAddress: a server had ended, the next one at its address turned away
// what was meant for it, and that was taken for a sign that it goes on. Three verdicts
// were forgotten at that, and nine more servers ended.
func TestDeclineIsNoProgress(t *testing.T) {
	heard := &progressRecorder{}
	reply := &recorder{}
	serve(t, catalog.Route{Kind: catalog.KindRepeatable, Attempts: 2, Timeout: time.Second},
		relay.Parts{Servers: decliningServers{}, Backends: decliningServers{}, Budgets: noRetryBudget{}, Suspects: heard}, relay.Request{Body: emptyBody(t)}, reply)
	must.NotNil(t, reply.refusal)
	must.SliceEmpty(t, heard.servers)
}
