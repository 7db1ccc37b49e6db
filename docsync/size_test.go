package docsync_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/control"
	"github.com/violettally/violettally/docsync"
	"github.com/violettally/violettally/view"
)

// TestStoredSizes stores the shared documents of a deployment of 480 nodes and
// 2,800 servers and logs their sizes. The configuration must fit into one value
// of the key-value service.
func TestStoredSizes(t *testing.T) {
	f := newFleet(t, 1, 1)
	plainView, plainConfig := largeView(t), largeConfig(t)
	storedSize := func(name string, plain []byte) int {
		_, err := f.nodes[0].Update(context.Background(), name, func([]byte) ([]byte, error) { return plain, nil })
		must.NoError(t, err)
		return len(f.platform.items[docsync.KeyPrefix+name].Data)
	}
	t.Logf("view: %d bytes, stored %d; configuration: %d bytes, stored %d", len(plainView), storedSize(docsync.View, plainView), len(plainConfig), storedSize(docsync.Config, plainConfig))
	must.Less(t, 1<<20, storedSize(docsync.Config, plainConfig))
}

func largeView(t testing.TB) []byte {
	v := view.Empty()
	for i := range 480 {
		hall := i % 7
		m := view.Member{ID: view.MemberID(fmt.Sprintf("entry-%d-%03d", hall, i), fmt.Sprintf("dna8l%07d", i*7919)), VM: fmt.Sprintf("entry-%d-%03d", hall, i), Region: fmt.Sprint("region-", hall%3), DataHall: fmt.Sprint("hall-", hall), Caller: fmt.Sprintf("10.%d.0.%d:8101", hall, i), Peer: fmt.Sprintf("10.%d.0.%d:8301", hall, i), Joined: 1796213619 + int64(i)*311}
		v = v.Change([]view.Member{m}, nil)
	}
	data, err := v.Encode()
	must.NoError(t, err)
	return data
}

func largeConfig(t testing.TB) []byte {
	c := config.Config{Pools: []config.Pool{{Name: "runners"}}}
	for i := range 2800 {
		c.Pools[0].Servers = append(c.Pools[0].Servers, config.Server{Name: fmt.Sprintf("runner-%d", i), URL: fmt.Sprintf("http://10.%d.%d.%d:8000", i%7, i/250, i%250), DataHall: fmt.Sprint("hall-", i%7), Slots: 8, ChecksFencing: true})
	}
	for i := range 200 {
		c.Accounts = append(c.Accounts, config.Account{Name: fmt.Sprint("account-", i), Keys: []string{config.Digest(fmt.Sprint(i))}, Models: []string{"m"}})
	}
	for i := range 6 {
		c.Models = append(c.Models, config.Model{Name: []string{"m", "a", "b", "c", "d", "e"}[i], Versions: []config.Version{{Name: "v1", Pool: "runners"}}})
	}
	source, err := json.Marshal(c)
	must.NoError(t, err)
	data, err := json.Marshal(config.Document{Source: string(source)})
	must.NoError(t, err)
	return data
}

// BenchmarkDecodeView decodes a changed view and the earlier views from which a
// replica may have to read.
func BenchmarkDecodeView(b *testing.B) {
	data := largeView(b)
	for b.Loop() {
		v, err := view.Decode(data)
		must.NoError(b, err)
		v.Earlier()
	}
}

// BenchmarkLoadConfig decodes, checks and indexes a changed configuration.
func BenchmarkLoadConfig(b *testing.B) {
	data := largeConfig(b)
	for b.Loop() {
		d, err := control.Decode(data)
		must.NoError(b, err)
		_, faults := config.NewSnapshot(d)
		must.SliceEmpty(b, faults)
	}
}
