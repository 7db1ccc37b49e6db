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

func serverModels(models ...[]string) []placement.ServerModels {
	var all []placement.ServerModels
	for i, loaded := range models {
		all = append(all, placement.ServerModels{Server: config.Server{Name: fmt.Sprintf("s%d", i)}, Models: loaded})
	}
	return all
}

// TestNext checks the next order for given loaded models and targets.
func TestNext(t *testing.T) {
	inUse := func(model string, copies int) placement.ModelTarget {
		return placement.ModelTarget{Model: model, Copies: copies, InUse: true}
	}
	tests := []struct {
		name    string
		servers []placement.ServerModels
		targets []placement.ModelTarget
		want    string
	}{
		{"targets met", serverModels([]string{"a"}, []string{"b"}), []placement.ModelTarget{inUse("a", 1), inUse("b", 1)}, ""},
		{"model without a copy first", serverModels([]string{"a"}, []string{"a"}), []placement.ModelTarget{inUse("a", 2), inUse("b", 1)}, "load b on s0"},
		{"server with fewer models", serverModels([]string{"a", "b"}, []string{"a"}), []placement.ModelTarget{inUse("a", 2), inUse("b", 2)}, "load b on s1"},
		{"surplus copy on a full server", serverModels([]string{"a", "b"}, []string{"a", "b"}), []placement.ModelTarget{inUse("a", 1), inUse("b", 2), inUse("c", 1)}, "unload a on s0"},
		{"withdrawn version", serverModels([]string{"a", "old"}), []placement.ModelTarget{inUse("a", 1), {Model: "old"}}, "unload old on s0"},
		{"last copy in use", serverModels([]string{"a", "b"}), []placement.ModelTarget{{Model: "a", Copies: 0, InUse: true}, inUse("b", 1)}, ""},
		{"servers that report no models", serverModels(nil, nil), []placement.ModelTarget{inUse("a", 1)}, ""},
		{"no capacity", serverModels([]string{"a", "b"}), []placement.ModelTarget{inUse("a", 1), inUse("b", 1), inUse("c", 1)}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			order, ok := placement.Next(tt.servers, tt.targets)
			got := ""
			if ok {
				got = fmt.Sprintf("%s %s on %s", order.Action, order.Model, order.Server.Name)
			}
			must.Eq(t, tt.want, got)
		})
	}
}

// fakeEngines records the tokens of the orders that it gets.
type fakeEngines struct {
	loaded []placement.ServerModels
	tokens []int64
}

func (e *fakeEngines) LoadedModels(string) []placement.ServerModels { return e.loaded }

func (e *fakeEngines) Order(_ context.Context, _ placement.Order, token int64) error {
	e.tokens = append(e.tokens, token)
	return nil
}

type fakeLease struct {
	held    bool
	heldFor time.Duration
}

func (l fakeLease) Held(time.Duration) (int64, bool) { return 7, l.held }
func (l fakeLease) HeldFor() time.Duration           { return l.heldFor }

// TestOrderRequiresLease checks when the holder of the lease may send an order.
func TestOrderRequiresLease(t *testing.T) {
	c := config.Config{
		Pools:  []config.Pool{{Name: "p", Servers: []config.Server{{Name: "s0", URL: "http://127.0.0.1:1", Slots: 1}}}},
		Models: []config.Model{{Name: "m", Versions: []config.Version{{Name: "v1", Pool: "p"}}}},
	}
	source, err := json.Marshal(c)
	must.NoError(t, err)
	s, faults := config.NewSnapshot(config.Document{Revision: 1, Source: string(source)})
	must.SliceEmpty(t, faults)
	tests := []struct {
		name          string
		checksFencing bool
		lease         fakeLease
		want          []int64
	}{
		{"lease not held", true, fakeLease{held: false}, nil},
		{"server checks the token", true, fakeLease{held: true}, []int64{7}},
		{"server does not check the token, new holder", false, fakeLease{held: true, heldFor: time.Second}, nil},
		{"server does not check the token, after the wait", false, fakeLease{held: true, heldFor: time.Minute}, []int64{7}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &fakeEngines{loaded: serverModels([]string{"other"})}
			e.loaded[0].Server.ChecksFencing = tt.checksFencing
			share := func(*config.Model, string) float64 { return 1 }
			placement.New(e, tt.lease, func() *config.Snapshot { return s }, share, timer.New()).Step(t.Context())
			must.Eq(t, tt.want, e.tokens)
		})
	}
}
