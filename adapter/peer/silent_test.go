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

// gateway answers a call once as many wait as it is told.
type gateway struct{ together sync.WaitGroup }

func (g *gateway) Before(string) (mirror.Item, bool) { return mirror.Item{}, false }
func (g *gateway) Await(context.Context, int64, time.Duration) mirror.Batch {
	g.together.Done()
	g.together.Wait()
	return mirror.Batch{Revision: 1}
}

func (g *gateway) Counts() (string, rollout.Counts)   { return "node", rollout.Counts{} }
func (g *gateway) Exchange(share.Message) share.Reply { return share.Reply{} }

// TestSilentConnections: after one call that got no answer in time, the next one
// goes on a new connection, whatever others were kept.
func TestSilentConnections(t *testing.T) {
	const kept = 3
	g := &gateway{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = peer.NewGatewayServer(g).Serve(t.Context(), listener, nil) }()
	p, err := faultproxy.Listen("127.0.0.1:0", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(p.Close)
	client := peer.NewClient(nil)
	t.Cleanup(func() { _ = client.Close() })
	g.together.Add(kept)
	var calls sync.WaitGroup
	for range kept {
		calls.Go(func() {
			_, err := client.Follow(t.Context(), p.Address(), 0, 0)
			test.NoError(t, err)
		})
	}
	calls.Wait()

	p.BlackholeOpen()
	inTime := func(d time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		_, err := client.Exchange(ctx, p.Address(), share.Message{})
		return err
	}
	must.Error(t, inTime(50*time.Millisecond))
	must.NoError(t, inTime(10*time.Second))
}
