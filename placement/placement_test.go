package placement_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/placement"
	"github.com/violettally/violettally/timer"
)

func holdings(models ...[]string) []placement.ServerModels {
	var all []placement.ServerModels
	for i, held := range models {
		all = append(all, placement.ServerModels{Server: config.Server{Name: fmt.Sprintf("s%d", i)}, Models: held})
	}
	return all
}

// TestNext lists what pools hold, what is wanted, and the next order.
func TestNext(t *testing.T) {
	used := func(model string, copies int) placement.ModelTarget {
		return placement.ModelTarget{Model: model, Copies: copies, InUse: true}
	}
	tests := []struct {
		name     string
		holdings []placement.ServerModels
		wants    []placement.ModelTarget
		want     string
	}{
		{"all as wanted", holdings([]string{"a"}, []string{"b"}), []placement.ModelTarget{used("a", 1), used("b", 1)}, ""},
		{"no copy comes first", holdings([]string{"a"}, []string{"a"}), []placement.ModelTarget{used("a", 2), used("b", 1)}, "load b on s0"},
		{"the emptier server", holdings([]string{"a", "b"}, []string{"a"}), []placement.ModelTarget{used("a", 2), used("b", 2)}, "load b on s1"},
		{"full servers give up a surplus copy", holdings([]string{"a", "b"}, []string{"a", "b"}), []placement.ModelTarget{used("a", 1), used("b", 2), used("c", 1)}, "unload a on s0"},
		{"a withdrawn version goes", holdings([]string{"a", "old"}), []placement.ModelTarget{used("a", 1), {Model: "old"}}, "unload old on s0"},
		{"the last copy in use stays", holdings([]string{"a", "b"}), []placement.ModelTarget{{Model: "a", Copies: 0, InUse: true}, used("b", 1)}, ""},
		{"servers that say nothing are left alone", holdings(nil, nil), []placement.ModelTarget{used("a", 1)}, ""},
		{"no capacity", holdings([]string{"a", "b"}), []placement.ModelTarget{used("a", 1), used("b", 1), used("c", 1)}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			order, ok := placement.Next(tt.holdings, tt.wants)
			got := ""
			if ok {
				got = fmt.Sprintf("%s %s on %s", order.Action, order.Model, order.Server.Name)
			}
			must.Eq(t, tt.want, got)
		})
	}
}

// engines takes orders; lease is held as the test says.
type engines struct {
	holding []placement.ServerModels
	tokens  []int64
}

func (e *engines) LoadedModels(string) []placement.ServerModels { return e.holding }

func (e *engines) Order(_ context.Context, _ placement.Order, token int64) error {
	e.tokens = append(e.tokens, token)
	return nil
}

type lease struct {
	held  bool
	since time.Duration
}

func (l lease) Held(time.Duration) (int64, bool) { return 7, l.held }
func (l lease) HeldFor() time.Duration           { return l.since }

// TestOrders lists when the holder of the lease may give an order.
func TestOrders(t *testing.T) {
	c := config.Config{
		Pools:  []config.Pool{{Name: "p", Servers: []config.Server{{Name: "s0", URL: "http://127.0.0.1:1", Slots: 1}}}},
		Models: []config.Model{{Name: "m", Versions: []config.Version{{Name: "v1", Pool: "p"}}}},
	}
	source, err := json.Marshal(c)
	must.NoError(t, err)
	s, faults := config.NewSnapshot(config.Document{Revision: 1, Source: string(source)})
	must.SliceEmpty(t, faults)
	tests := []struct {
		name   string
		checks bool
		lease  lease
		want   []int64
	}{
		{"not the holder", true, lease{held: false}, nil},
		{"a server that checks the token", true, lease{held: true}, []int64{7}},
		{"one that does not, a new holder", false, lease{held: true, since: time.Second}, nil},
		{"one that does not, the wait is over", false, lease{held: true, since: time.Minute}, []int64{7}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &engines{holding: holdings([]string{"other"})}
			e.holding[0].Server.ChecksFencing = tt.checks
			share := func(*config.Model, string) float64 { return 1 }
			placement.New(e, tt.lease, func() *config.Snapshot { return s }, share, timer.New()).Step(t.Context())
			must.Eq(t, tt.want, e.tokens)
		})
	}
}
