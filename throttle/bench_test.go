package throttle_test

import (
	"fmt"
	"testing"

	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// largeList is the list of nodes of a large deployment.
type largeList struct {
	listedAlone
	others []view.Member
}

func (l largeList) Others() []view.Member { return l.others }

// newLargeDeployment returns the limiter of one of 984 nodes, and 10,000 servers of which one in
// ten names a limit.
func newLargeDeployment() (*limiter, []*registry.Server) {
	var list largeList
	for i := range 983 {
		list.others = append(list.others, view.Member{VM: fmt.Sprint("n-", i), DataHall: fmt.Sprint(i % 5)})
	}
	timers := timer.New()
	l := newLimiter(owner.NewRoster(view.Member{VM: "n", DataHall: "0"}, list, timers), timers)
	registered := registry.New(timers)
	for i := range 10_000 {
		registered.Put(registry.Server{ID: fmt.Sprint("s-", i), Service: "s", DataHall: fmt.Sprint(i % 5)})
	}
	servers := registered.Servers("s")
	for i := 0; i < len(servers); i += 10 {
		l.Observe(*servers[i], 2)
	}
	return l, servers
}

// BenchmarkFilter measures the filter of a list that has not changed.
func BenchmarkFilter(b *testing.B) {
	l, servers := newLargeDeployment()
	b.ReportAllocs()
	for b.Loop() {
		l.Filter(servers)
	}
}

// BenchmarkFilterAfterChange measures the filter after the limit of one server has changed.
func BenchmarkFilterAfterChange(b *testing.B) {
	l, servers := newLargeDeployment()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Observe(*servers[0], 2+float64(i%2))
		l.Filter(servers)
	}
}

// BenchmarkObserve measures what an answer without a limit costs.
func BenchmarkObserve(b *testing.B) {
	l, servers := newLargeDeployment()
	b.ReportAllocs()
	for b.Loop() {
		l.Observe(*servers[1], notice.Unlimited)
	}
}

// BenchmarkFilterNotices measures the filter of a list of which one server in ten leaves and one in ten
// wants rest.
func BenchmarkFilterNotices(b *testing.B) {
	l, servers := newLargeDeployment()
	for i := 1; i < len(servers); i += 10 {
		l.board.Observe(*servers[i], rests(3600))
		l.board.Observe(*servers[i+1], notice.Answer{Notices: []notice.Notice{{Kind: notice.KindLeaving, Value: 1}}})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Filter(servers)
	}
}
