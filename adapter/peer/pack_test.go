package peer_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
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

// itemsStore is a store that never changes.
type itemsStore struct{ items []mirror.Item }

func (s itemsStore) ReadAll(context.Context) (mirror.Batch, error) {
	return mirror.Batch{Items: s.items, Revision: int64(len(s.items)), Snapshot: true}, nil
}

func (s itemsStore) ReadStart(ctx context.Context) (mirror.Batch, bool, error) {
	b, err := s.ReadAll(ctx)
	return b, false, err
}

func (s itemsStore) ReadRest(_ context.Context, start mirror.Batch) (mirror.Batch, error) {
	return start, nil
}

func (s itemsStore) Follow(ctx context.Context, _ int64, wait time.Duration) (mirror.Batch, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return mirror.Batch{Revision: int64(len(s.items))}, nil
}

// snapshotGateway is a gateway with a copy of the store, which it gives out only after release.
type snapshotGateway struct {
	mirrorGateway
	release chan struct{}

	mu     sync.Mutex
	giving int
}

// newSnapshotGateway returns a gateway with a copy of the items.
func newSnapshotGateway(t *testing.T, items []mirror.Item) *snapshotGateway {
	ctx, cancel := context.WithCancel(t.Context())
	timers := timer.New()
	t.Cleanup(func() {
		cancel()
		timers.Close()
	})
	m := mirror.New(itemsStore{items}, noPeers{}, timers)
	go m.Run(ctx)
	<-m.Synced()
	return &snapshotGateway{mirrorGateway: mirrorGateway{m: m}, release: make(chan struct{})}
}

func (g *snapshotGateway) Respond(ctx context.Context, from string, after int64, wait time.Duration) (mirror.Batch, func(error)) {
	b, sent := g.m.Respond(ctx, from, after, wait)
	if b.Snapshot {
		g.mu.Lock()
		g.giving++
		g.mu.Unlock()
		select {
		case <-g.release:
		case <-ctx.Done():
		}
	}
	return b, sent
}

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
// that it is busy, and who has got one. A node whose 196 followers asked for one at once ran out
// of memory.
func TestSnapshotsAtOnce(t *testing.T) {
	items := serverItems(200)
	g := newSnapshotGateway(t, items)
	address := serveGateway(t, g)
	client := peer.NewClient(nil, peer.WithAddress("holder"))
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
	other := peer.NewClient(nil, peer.WithAddress("other"))
	t.Cleanup(func() { _ = other.Close() })
	for range 20 {
		b, err := other.Follow(t.Context(), address, 0, 0)
		must.NoError(t, err)
		must.True(t, b.Busy)
		must.SliceEmpty(t, b.Items)
		must.SliceEmpty(t, b.Holders)
	}
	close(g.release)
	for range 2 {
		b := <-results
		slices.SortFunc(b.Items, func(a, b mirror.Item) int { return cmp.Compare(a.Revision, b.Revision) })
		must.Eq(t, items, b.Items)
		must.True(t, b.Snapshot)
	}

	g.release = make(chan struct{})
	defer close(g.release)
	for range 2 {
		go func() {
			for b := (mirror.Batch{Busy: true}); b.Busy; {
				b, _ = client.Follow(t.Context(), address, 0, 0)
			}
		}()
	}
	for g.givingCount() < 4 {
		time.Sleep(time.Millisecond)
	}
	b, err := other.Follow(t.Context(), address, 0, 0)
	must.NoError(t, err)
	must.True(t, b.Busy)
	must.Eq(t, []string{"holder"}, b.Holders)
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
