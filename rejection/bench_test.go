package rejection_test

import (
	"fmt"
	"testing"

	"github.com/violettally/violettally/internal/nodelist"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// manyServers is the size of the largest deployment.
const manyServers = 10_000

// BenchmarkFilter filters all servers, of which ten have just had no place.
func BenchmarkFilter(b *testing.B) {
	timers := timer.New()
	defer timers.Close()
	l := limiterOf("a", timers, &coordinator{places: newPlaces(timers)})
	var servers []*registry.Server
	for i := range manyServers {
		servers = append(servers, &registry.Server{ID: fmt.Sprint("s-", i), Slots: 1})
	}
	for b.Loop() {
		b.StopTimer()
		for _, s := range servers[:10] {
			l.Observe(*s, 1)
			l.Take(b.Context(), *s)
			l.Take(b.Context(), *s)
		}
		b.StartTimer()
		l.Filter(servers)
	}
}

// BenchmarkTake takes and releases a place at a server without a limit, as for each request.
func BenchmarkTake(b *testing.B) {
	timers := timer.New()
	defer timers.Close()
	l := limiterOf("a", timers, &coordinator{places: newPlaces(timers)})
	s := registry.Server{ID: "s", Slots: 32}
	for b.Loop() {
		l.Take(b.Context(), s)
		l.Release(s)
	}
}

// BenchmarkAsk asks for a place that 984 nodes share, and gives it back.
func BenchmarkAsk(b *testing.B) {
	timers := timer.New()
	defer timers.Close()
	list := &nodelist.List{}
	self := list.Add(view.Member{VM: "n"})
	for i := range 983 {
		list.Add(view.Member{VM: fmt.Sprint("n-", i)}).SetListed(true)
	}
	self.SetListed(true)
	p := rejection.NewPlaces(owner.NewRoster(self.Self(), self, timers), timers)
	for i := range 32 {
		p.Ask(rejection.Ask{Server: 1, Node: uint64(i + 10), Slots: 64, InUse: 1})
	}
	for b.Loop() {
		p.Ask(rejection.Ask{Server: 1, Node: 1, Slots: 64, Want: 1, New: true})
		p.Ask(rejection.Ask{Server: 1, Node: 1, Slots: 64})
	}
}
