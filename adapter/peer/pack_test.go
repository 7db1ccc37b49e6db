package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/share"
)

// serverItems returns the entries of a number of servers.
func serverItems(count int) []mirror.Item {
	items := make([]mirror.Item, count)
	for i := range items {
		value := fmt.Sprintf(`{"service":"pool","address":"10.3.%d.%d:8501","zone":"hall-%d","version":"v1","slots":24,"state":"ready",`+
			`"stage":"both","models":[{"name":"m0","version":1,"adapters":[]},{"name":"m1","version":1,"adapters":[]}],"call_seq":0,"born":%d}`,
			i/250, i%250, i%5, 1785625226130+i)
		id := uint64(i+1) * 0x9e3779b97f4a7c15
		items[i] = mirror.Item{Key: fmt.Sprintf("servers/i-%010x", id>>24), Value: []byte(value), Revision: int64(i + 1), Lease: int64(1000 + i)}
	}
	return items
}

// snapshotGateway is a gateway with a copy of the store, which it gives out only after release.
type snapshotGateway struct {
	*fakeGateway
	batch   mirror.Batch
	release chan struct{}

	mu     sync.Mutex
	giving int
}

func (g *snapshotGateway) Knows(after int64) bool { return after >= g.batch.Revision }

func (g *snapshotGateway) Await(ctx context.Context, _ int64, _ time.Duration) mirror.Batch {
	g.mu.Lock()
	g.giving++
	g.mu.Unlock()
	select {
	case <-g.release:
	case <-ctx.Done():
	}
	return g.batch
}

func (g *snapshotGateway) Counts() (string, rollout.Counts)   { return "node", rollout.Counts{} }
func (g *snapshotGateway) Exchange(share.Message) share.Reply { return share.Reply{} }

func (g *snapshotGateway) givingCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.giving
}

// serveGateway serves a gateway on loopback and returns its address.
func serveGateway(t testing.TB, g peer.Gateway) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = peer.NewGatewayServer(g).Serve(t.Context(), listener, nil) }()
	return listener.Addr().String()
}

// TestSnapshotsAtOnce checks that a node sends only a few snapshots at a time, and tells others
// that it is busy. A node whose 196 followers asked for one at once ran out of memory.
func TestSnapshotsAtOnce(t *testing.T) {
	g := &snapshotGateway{batch: mirror.Batch{Items: serverItems(200), Revision: 200, Snapshot: true}, release: make(chan struct{})}
	address := serveGateway(t, g)
	client := peer.NewClient(nil)
	t.Cleanup(func() { _ = client.Close() })
	results := make(chan mirror.Batch, 2)
	for range 2 {
		go func() {
			b, err := client.Follow(t.Context(), address, 0, 0)
			if err == nil {
				results <- b
			}
		}()
	}
	for g.givingCount() < 2 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		b, err := client.Follow(t.Context(), address, 0, 0)
		must.NoError(t, err)
		must.True(t, b.Busy)
		must.SliceEmpty(t, b.Items)
	}
	close(g.release)
	for range 2 {
		b := <-results
		must.Eq(t, g.batch.Items, b.Items)
		must.True(t, b.Snapshot)
	}
}

// TestPackedGarbage checks that packed items that can't be decoded are an error.
func TestPackedGarbage(t *testing.T) {
	items := serverItems(100)
	packed, err := peer.PackItems(items)
	must.NoError(t, err)
	got, err := peer.UnpackItems(packed)
	must.NoError(t, err)
	must.Eq(t, items, got)
	for name, data := range map[string][]byte{
		"truncated": packed[:len(packed)/2],
		"garbage":   []byte("no such thing"),
		"not CBOR":  peer.Compress([]byte("\xff\xff")),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := peer.UnpackItems(data)
			must.True(t, errorx.IsOfType(err, peer.Malformed))
		})
	}
}

// TestPackedForPeersWithDifferentBases checks that a batch packed with a delta for one peer is not
// sent to another one that lacks the base, which asked again in vain.
func TestPackedForPeersWithDifferentBases(t *testing.T) {
	value := bytes.Repeat([]byte("declaration "), mirror.LargeValueBytes)
	base := mirror.Item{Key: "declaration", Value: value[1:], Revision: 5}
	e := peer.NewBatchEncoder(func(string) (mirror.Item, bool) { return base, true })
	items := append(serverItems(100), mirror.Item{Key: base.Key, Value: value, Revision: 200})
	b := mirror.Batch{Items: items, Revision: 200, Snapshot: true}
	known := func(string) (mirror.Item, bool) { return base, true }
	nothing := func(string) (mirror.Item, bool) { return mirror.Item{}, false }
	for _, tt := range []struct {
		request peer.Request
		known   func(string) (mirror.Item, bool)
	}{
		{peer.Request{After: 7, AcceptPacked: true, AcceptDeltas: true, AcceptCompressed: true}, known},
		{peer.Request{After: 7, AcceptPacked: true, AcceptCompressed: true}, nothing},
		{peer.Request{AcceptPacked: true, AcceptDeltas: true, AcceptCompressed: true}, nothing},
	} {
		reply, err := e.Encode(b, tt.request)
		must.NoError(t, err)
		got, err := peer.Decode(reply, tt.known)
		must.NoError(t, err)
		must.Eq(t, items, got.Items)
	}
}

// TestSnapshotSize checks the size of a snapshot of 10,000 servers on the wire.
func TestSnapshotSize(t *testing.T) {
	const maxBytes = 400_000
	packed, err := peer.PackItems(serverItems(10_000))
	must.NoError(t, err)
	must.Less(t, maxBytes, len(packed))
}

// BenchmarkSnapshot measures the encoding of a snapshot, and its size.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{100, 300, 1000, 10000, 20000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			items := serverItems(size)
			var packed []byte
			for b.Loop() {
				packed, _ = peer.PackItems(items)
			}
			b.ReportMetric(float64(len(packed)), "bytes")
		})
	}
}
