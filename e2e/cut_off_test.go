package e2e_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/cutoffrule"
	"github.com/violettally/violettally/internal/faultproxy"
	system "github.com/violettally/violettally/node"
	"github.com/violettally/violettally/settings"
)

// TestNodeCutOffFromServers checks that callers of a node that reaches no server are served through
// the other nodes, and that nothing runs twice.
func TestNodeCutOffFromServers(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]faultproxy.LinkMode{
		"silent": faultproxy.LinkSilent, "reset": faultproxy.LinkReset, "new ones refused": faultproxy.LinkRefuse,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, defaultSpec)
			link := faultproxy.NewLink()
			cutOff, other := f.nodes[0], f.nodes[1]
			f.runInProcess(cutOff, system.WithServerDialer(link.DialContext))
			f.callAll(cutOff, 4)
			link.Set(mode)
			for end := time.Now().Add(cutoffrule.AdaptTime); time.Now().Before(end); {
				f.callAll(cutOff, 1)
			}
			must.NoError(t, cutoffrule.Check(f.callAll(cutOff, 40), f.callAll(other, 40)))
			for id, runs := range f.runsByRequestID(f.plainAddrs) {
				must.Len(t, 1, runs, must.Sprint(id))
			}
		})
	}
}

// runInProcess runs a node in this process, in place of the node's own one.
func (f *fleet) runInProcess(n *node, options ...system.Option) {
	f.t.Helper()
	n.process.kill()
	s, err := settings.Load(n.settingsFile)
	must.NoError(f.t, err)
	local, err := system.New(s, options...)
	must.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- local.Run(ctx) }()
	f.t.Cleanup(func() {
		stop()
		<-done
	})
	f.waitReady(n)
}

// proofCount numbers the calls, whose IDs must differ.
var proofCount atomic.Int64

// callAll sends so many chat completions and non-idempotent calls to a node at once, and returns how
// many were served.
func (f *fleet) callAll(n *node, count int) cutoffrule.Tries {
	var mu sync.Mutex
	var tries cutoffrule.Tries
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			var r clientResponse
			if i%2 == 0 {
				r = f.chat(n, "small", "what is due")
			} else {
				r = f.postProof(n, fmt.Sprintf("cut-off-%d", proofCount.Add(1)))
			}
			mu.Lock()
			defer mu.Unlock()
			tries.Sent++
			if r.complete() {
				tries.Served++
			}
		})
	}
	clients.Wait()
	return tries
}
