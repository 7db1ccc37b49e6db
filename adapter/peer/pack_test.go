package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/mirror"
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

// snapshotGateway is a gateway that responds to each peer with the same batch.
type snapshotGateway struct {
	*fakeGateway
	batch mirror.Batch
	// peers and sent are the peers that have asked, and whether the response to them was sent.
	peers chan string
	sent  chan error
}

func (g *snapshotGateway) Respond(_ context.Context, from string, _ int64, _ time.Duration) (mirror.Batch, func(error)) {
	g.peers <- from
	return g.batch, func(err error) { g.sent <- err }
}

// serveGateway serves a gateway on loopback and returns its address.
func serveGateway(t testing.TB, g peer.Gateway) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = peer.NewGatewayServer(g).Serve(t.Context(), listener, nil) }()
	return listener.Addr().String()
}

// TestSnapshotResponses checks that a peer gets a snapshot, or is told that the node is busy and
// who has got one, and that the node knows who has asked and that the response was sent.
func TestSnapshotResponses(t *testing.T) {
	for name, batch := range map[string]mirror.Batch{
		"snapshot": {Items: serverItems(200), Revision: 200, Snapshot: true},
		"busy":     {Busy: true, Holders: []string{"holder-1", "holder-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := &snapshotGateway{batch: batch, peers: make(chan string, 1), sent: make(chan error, 1)}
			client := peer.NewClient(nil, peer.WithAddress("self"))
			t.Cleanup(func() { _ = client.Close() })
			b, err := client.Follow(t.Context(), serveGateway(t, g), 0, 0)
			must.NoError(t, err)
			must.Eq(t, batch, b)
			must.Eq(t, "self", <-g.peers)
			must.NoError(t, <-g.sent)
		})
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
