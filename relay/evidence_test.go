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

// heardRunning notes which servers are taken for ones that go on.
type heardRunning struct {
	noSuspects
	servers []uint64
}

func (h *heardRunning) Empty() bool { return false }

func (h *heardRunning) ReportProgress(server uint64, _, _ time.Time) {
	h.servers = append(h.servers, server)
}

// declining servers turn requests away, as does one that was started at the address of
// another.
type declining struct{ threeServers }

func (declining) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	return declined{}, nil
}

// TestOtherServerAtAddress: a server had ended, the next one at its address turned away
// what was meant for it, and that was taken for a sign that it goes on. Three verdicts
// were forgotten at that, and nine more servers ended.
func TestOtherServerAtAddress(t *testing.T) {
	heard := &heardRunning{}
	reply := &received{}
	serve(t, catalog.Route{Kind: catalog.KindRepeatable, Attempts: 2, Timeout: time.Second},
		relay.Parts{Servers: declining{}, Backends: declining{}, Budgets: noRepeats{}, Suspects: heard}, relay.Request{Body: noBody(t)}, reply)
	must.NotNil(t, reply.refusal)
	must.SliceEmpty(t, heard.servers)
}
