package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/violettally/violettally/gateway"
	"github.com/violettally/violettally/internal/standin"
	"github.com/violettally/violettally/settings"
)

// BenchmarkState measures the memory of one gateway that knows a number of servers and a tenth
// as many gateways, in bytes on the heap beyond that of an empty one.
func BenchmarkState(b *testing.B) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	for _, size := range []int{100, 300, 1000, 10000, 20000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			store := standin.NewStore()
			defer store.Close()
			for key, value := range entries(size) {
				store.Put(key, json.RawMessage(value))
			}
			store.Put("op/config", json.RawMessage(`{"version":1}`))
			server := httptest.NewServer(store.NewEndpoint().Handler())
			defer server.Close()
			for b.Loop() {
				measureState(b, size, server.Listener.Addr().String())
			}
		})
	}
}

// measureState reports the memory of one gateway.
func measureState(b *testing.B, servers int, store string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, err := gateway.New(&settings.Gateway{
		Name: "n-1", DataHall: "hall-1", Store: settings.GatewayStore{Address: store},
		Bounds: settings.GatewayBounds{RetryRatio: 0.9, CanaryShare: 0.15},
	})
	if err != nil {
		b.Fatal(err)
	}
	empty := heapBytes()
	go g.FollowStore(ctx)
	for !g.IsReady() {
		time.Sleep(10 * time.Millisecond)
	}
	g.Servers("pool")
	used := float64(heapBytes() - empty)
	b.ReportMetric(used, "bytes")
	b.ReportMetric(used/float64(servers), "bytes/server")
	runtime.KeepAlive(g)
}

// heapBytes returns the size of all live objects.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// entries returns the keys and values of a deployment.
func entries(servers int) map[string]string {
	all := make(map[string]string, servers)
	for i := range servers {
		all[fmt.Sprintf("servers/i-%010x", i*7919)] = fmt.Sprintf(`{"service":"pool","address":"10.3.%d.%d:8501","zone":"hall-%d","version":"v1","slots":24,"state":"ready",`+
			`"cold_left_ms":0,"stage":"both","models":[{"name":"m0","version":1,"adapters":[]},{"name":"m1","version":1,"adapters":[]},{"name":"m2","version":1,"adapters":[]}],"call_seq":0,"born":%d}`,
			i/250, i%250, i%5, 1785625226130+i)
	}
	for i := range servers / 10 {
		vm := fmt.Sprintf("front-%d", i)
		all[fmt.Sprintf("nodes/hall-%d/%s", i%5, vm)] = fmt.Sprintf(`{"id":"%s#dkdzbbykovd5","vm":"%s","region":"r","data_hall":"hall-%d","caller":"10.1.%d.%d:8508","peer":"10.1.%d.%d:8500","joined":0,"fan_out":8}`,
			vm, vm, i%5, i/250, i%250, i/250, i%250)
	}
	return all
}
