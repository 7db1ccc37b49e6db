package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/internal/faultproxy"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/share"
)

// blockingGateway replies to Follow calls once all calls of a group have arrived.
type blockingGateway struct {
	noCarrier
	arrivals sync.WaitGroup
}

func (g *blockingGateway) Previous(string) (mirror.Item, bool) { return mirror.Item{}, false }
func (g *blockingGateway) Respond(context.Context, string, int64, time.Duration) (mirror.Batch, func(error)) {
	g.arrivals.Done()
	g.arrivals.Wait()
	return mirror.Batch{Revision: 1}, func(error) {}
}

func (g *blockingGateway) Counts() (string, rollout.Counts)   { return "node", rollout.Counts{} }
func (g *blockingGateway) Exchange(share.Message) share.Reply { return share.Reply{} }
func (g *blockingGateway) Activity(int64) peer.Activity       { return peer.Activity{} }

// TestSilentConnections checks that after a call that timed out, the next one uses a
// new connection, even if the pool holds others.
func TestSilentConnections(t *testing.T) {
	const pooled = 3
	g := &blockingGateway{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = peer.NewGatewayServer(g).Serve(t.Context(), listener, nil) }()
	proxy, err := faultproxy.Listen("127.0.0.1:0", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(proxy.Close)
	client := peer.NewClient(nil)
	t.Cleanup(func() { _ = client.Close() })
	g.arrivals.Add(pooled)
	var calls sync.WaitGroup
	for range pooled {
		calls.Go(func() {
			_, err := client.Follow(t.Context(), proxy.Address(), 0, 0)
			test.NoError(t, err)
		})
	}
	calls.Wait()

	proxy.BlackholeOpen()
	exchangeWithin := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := client.Exchange(ctx, proxy.Address(), share.Message{})
		return err
	}
	must.Error(t, exchangeWithin(50*time.Millisecond))
	must.NoError(t, exchangeWithin(10*time.Second))
}
