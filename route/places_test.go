package route_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/share"
)

// TestSlotsTaken lists how the slots of one of two servers were taken, and whether
// it gets a request a second later.
func TestSlotsTaken(t *testing.T) {
	const slots = 8
	servers := []registry.Server{{ID: "full", DataHall: "near", Slots: slots}, {ID: "other", DataHall: "near", Slots: slots}}
	long := func(only registry.Server) route.Task {
		task := taking([]registry.Server{only}, 1)
		task.Lasts = 10 * time.Second
		return task
	}
	tests := []struct {
		name string
		take func(t *testing.T, b *route.Balancer)
		full bool
	}{
		{"by its own requests", func(t *testing.T, b *route.Balancer) {
			for range slots {
				choose(t, b, long(servers[0])).Begin()
			}
		}, true},
		{"by its own, all whole early", func(t *testing.T, b *route.Balancer) {
			for range slots {
				choose(t, b, long(servers[0])).End(route.OutcomeOK)
			}
		}, false},
		{"by others'", func(_ *testing.T, b *route.Balancer) {
			for range slots {
				b.Heard(share.Send{Server: share.ServerHash("full"), Work: 1, LastsMillis: 10_000})
			}
		}, true},
		{"by others', which are whole by now", func(_ *testing.T, b *route.Balancer) {
			for range slots {
				b.Heard(share.Send{Server: share.ServerHash("full"), Work: 1, LastsMillis: 500})
			}
		}, false},
		{"in part", func(_ *testing.T, b *route.Balancer) {
			for range slots / 2 {
				b.Heard(share.Send{Server: share.ServerHash("full"), Work: 1, LastsMillis: 10_000})
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := balancer()
				tt.take(t, b)
				// The other server has a long prompt to read, but a slot for it.
				b.Heard(share.Send{Server: share.ServerHash("other"), Work: 1500})
				time.Sleep(time.Second)
				use := choose(t, b, taking(servers, 1))
				must.Eq(t, tt.full, use.Server().ID == "other", must.Sprint(use.Server().ID))
				if tt.full {
					return
				}
				must.Less(t, 100*time.Millisecond, use.Waits())
			})
		})
	}
}

// TestLongAnswersAreTold: what is read soon but answered for long is told, since
// its slot is taken meanwhile.
func TestLongAnswersAreTold(t *testing.T) {
	var told []share.Send
	var news []float64
	b := route.NewBalancer("near", func(string) {}, route.WithAnnouncer(func(s share.Send, n float64) {
		told, news = append(told, s), append(news, n)
	}))
	server := []registry.Server{{ID: "s", DataHall: "near", Slots: 16}}
	for _, lasts := range []time.Duration{0, 1600 * time.Millisecond} {
		task := taking(server, 1)
		task.Kind, task.Lasts = fmt.Sprint(lasts), lasts
		choose(t, b, task)
	}
	must.Eq(t, 0, told[0].Lasts())
	must.Eq(t, 0, news[0])
	must.Between(t, 1600*time.Millisecond, told[1].Lasts(), 1700*time.Millisecond)
	must.Eq(t, 100, news[1])
}
