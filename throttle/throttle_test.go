package throttle_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/throttle"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// listedAlone is the list of nodes of the only node.
type listedAlone struct{}

func (listedAlone) Listed() bool          { return true }
func (listedAlone) Others() []view.Member { return nil }
func (listedAlone) Age() time.Duration    { return 0 }

// alone runs a test of the limiter of the only node, which may own servers.
func alone(t *testing.T, test func(t *testing.T, l *limiter, changes *[]notice.Change)) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		roster := owner.NewRoster(view.Member{VM: "n"}, listedAlone{}, timers)
		for range 20 {
			roster.Refresh()
			time.Sleep(owner.RefreshInterval)
		}
		var changes []notice.Change
		test(t, newLimiter(roster, timers, notice.WithObserver(func(c notice.Change) { changes = append(changes, c) })), &changes)
	})
}

// TestObserve checks that changes of a server's limit are told once, and hold for its next incarnation, but for
// no other server.
func TestObserve(t *testing.T) {
	alone(t, func(t *testing.T, l *limiter, changes *[]notice.Change) {
		first, restarted, other := registry.Server{ID: "a", Born: 1}, registry.Server{ID: "a", Born: 2}, registry.Server{ID: "b", Born: 1}
		kinds := []string{}
		for _, perSecond := range []float64{notice.Unlimited, 2, 2.1, 5, 0, 0, notice.Unlimited, notice.Unlimited, 1e300} {
			l.Observe(first, perSecond)
			if perSecond < 1e300 {
				must.Eq(t, perSecond, l.Limit(first))
			}
			must.Eq(t, l.Limit(first), l.Limit(restarted))
			must.Eq(t, notice.Unlimited, l.Limit(other))
		}
		for _, c := range *changes {
			must.Eq(t, "a", c.Server)
			kinds = append(kinds, c.Name())
		}
		must.Eq(t, []string{"named", "changed", "changed", "ended"}, kinds)
		must.Eq(t, 0, l.CountLimited())
	})
}

// TestReports checks that a report of another node counts unless this node has heard the server
// say something else since.
func TestReports(t *testing.T) {
	alone(t, func(t *testing.T, l *limiter, changes *[]notice.Change) {
		s := registry.Server{ID: "a"}
		l.ObserveReport(s.Hash(), 3, time.Second)
		must.Eq(t, 3, l.Limit(s))
		l.Observe(s, 5)
		l.ObserveReport(s.Hash(), 3, time.Second)
		must.Eq(t, 5, l.Limit(s))
		time.Sleep(time.Second)
		l.Observe(s, notice.Unlimited)
		l.ObserveReport(s.Hash(), 5, 500*time.Millisecond)
		must.Eq(t, notice.Unlimited, l.Limit(s))
		time.Sleep(time.Second)
		l.ObserveReport(s.Hash(), 4, 0)
		must.Eq(t, 4, l.Limit(s))
	})
}

// TestRoundedReport checks that a report that is rounded changes nothing.
func TestRoundedReport(t *testing.T) {
	alone(t, func(t *testing.T, l *limiter, changes *[]notice.Change) {
		s := registry.Server{ID: "a"}
		l.Observe(s, 2.7)
		time.Sleep(time.Second)
		l.ObserveReport(s.Hash(), float64(float32(2.7)), 0)
		must.Eq(t, 2.7, l.Limit(s))
	})
}

// TestExpiry checks that a limit that nobody confirms is forgotten, so that the server is asked
// again.
func TestExpiry(t *testing.T) {
	alone(t, func(t *testing.T, l *limiter, changes *[]notice.Change) {
		s := registry.Server{ID: "a"}
		l.Observe(s, 0)
		servers := []*registry.Server{&s}
		for range 25 {
			time.Sleep(time.Second)
			l.Filter(servers)
		}
		must.Eq(t, 0, l.Limit(s))
		for range 35 {
			time.Sleep(time.Second)
			l.Filter(servers)
		}
		must.Eq(t, notice.Unlimited, l.Limit(s))
		must.Eq(t, notice.SourceExpiry, (*changes)[1].Source)
	})
}

// TestShareOfOnlyNode checks how many requests a node that shares a limit with nobody sends.
func TestShareOfOnlyNode(t *testing.T) {
	tests := []struct {
		perSecond float64
		// inTenSeconds is the number of requests in ten seconds.
		least, most int
	}{
		{0, 2, 3},
		{0.1, 2, 3},
		{0.5, 5, 6},
		{2, 20, 21},
		{2.7, 26, 28},
		{40, 395, 421},
		{1e6, 1000, 1000}, // as many as are tried
	}
	for _, tt := range tests {
		alone(t, func(t *testing.T, l *limiter, changes *[]notice.Change) {
			s := registry.Server{ID: "a"}
			l.Observe(s, tt.perSecond)
			sent := 0
			for range 1000 {
				if l.Take(s) {
					sent++
				}
				time.Sleep(10 * time.Millisecond)
			}
			must.Between(t, tt.least, sent, tt.most, must.Sprintf("limit %g", tt.perSecond))
		})
	}
}

// TestFilter checks that the servers of a list that may not get a request now are left out, that
// the list itself stays as it is, and that Wait tells when one may.
func TestFilter(t *testing.T) {
	alone(t, func(t *testing.T, l *limiter, changes *[]notice.Change) {
		a, b, c := &registry.Server{ID: "a"}, &registry.Server{ID: "b"}, &registry.Server{ID: "c"}
		all := []*registry.Server{a, b, c}
		must.Eq(t, all, l.Filter(all))
		l.Observe(*a, 1)
		l.Observe(*c, 2)
		must.Eq(t, all, l.Filter(all))
		must.True(t, l.Take(*a))
		must.False(t, l.Take(*a))
		must.Eq(t, []*registry.Server{b, c}, l.Filter(all))
		must.True(t, l.Take(*c))
		must.Eq(t, []*registry.Server{b}, l.Filter(all))
		must.Eq(t, []*registry.Server{a, b, c}, all)
		wait, cause := l.Wait(all)
		must.Eq(t, 0, wait)
		must.Eq(t, throttle.CauseNone, cause)
		wait, cause = l.Wait([]*registry.Server{a, c})
		must.Eq(t, 500*time.Millisecond, wait)
		must.Eq(t, throttle.CauseLimit, cause)
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, []*registry.Server{b, c}, l.Filter(all))
		l.Observe(*a, notice.Unlimited)
		must.Eq(t, all, l.Filter(all))
	})
}

// TestScarce checks that requests are scarce once all servers name limits and half of the shares
// are used up.
func TestScarce(t *testing.T) {
	alone(t, func(t *testing.T, l *limiter, changes *[]notice.Change) {
		a, b := &registry.Server{ID: "a"}, &registry.Server{ID: "b"}
		all := []*registry.Server{a, b}
		must.False(t, l.Scarce(all))
		l.Observe(*a, 1)
		must.True(t, l.Take(*a))
		must.False(t, l.Scarce(all))
		l.Observe(*b, 1)
		must.True(t, l.Scarce(all))
		time.Sleep(time.Second)
		must.False(t, l.Scarce(all))
		must.False(t, l.Scarce(nil))
	})
}

// TestServersThatLeave checks that a server that leaves gets no requests, also one that was taken
// before and not sent, and that nothing is awaited if all leave.
func TestServersThatLeave(t *testing.T) {
	alone(t, func(t *testing.T, l *limiter, changes *[]notice.Change) {
		a, b, c := &registry.Server{ID: "a"}, &registry.Server{ID: "b"}, &registry.Server{ID: "c"}
		all := []*registry.Server{a, b, c}
		leaves := notice.Answer{Notices: []notice.Notice{{Kind: notice.KindLeaving, Value: 1}}}
		must.Eq(t, all, l.Filter(all))
		must.True(t, l.Take(*a))
		must.False(t, l.Withheld(*a))
		l.board.Observe(*a, leaves)
		must.True(t, l.Withheld(*a))
		must.False(t, l.Allows(*a))
		must.False(t, l.Take(*a))
		must.Eq(t, []*registry.Server{b, c}, l.Filter(all))
		l.Observe(*b, 1)
		must.True(t, l.Take(*b))
		l.board.Observe(*c, leaves)
		wait, cause := l.Wait(all)
		must.Eq(t, time.Second, wait)
		must.Eq(t, throttle.CauseLimit, cause)
		must.True(t, l.Scarce(all))
		l.board.Observe(*b, leaves)
		for _, servers := range [][]*registry.Server{all, nil} {
			wait, cause = l.Wait(servers)
			must.Greater(t, 24*time.Hour, wait)
			must.Eq(t, throttle.CauseLeaving, cause)
		}
		must.SliceEmpty(t, l.Filter(all))
	})
}

// rests returns an answer of a server that wants rest for some seconds, none for zero.
func rests(seconds float64) notice.Answer {
	return notice.Answer{Notices: []notice.Notice{{Kind: notice.KindRest, Value: seconds}}}
}

// TestServersThatWantRest checks that a server that wants rest gets no requests for that time, then few
// until it has answered one, and that this goes with a limit that it names.
func TestServersThatWantRest(t *testing.T) {
	alone(t, func(t *testing.T, l *limiter, changes *[]notice.Change) {
		a, b := &registry.Server{ID: "a"}, &registry.Server{ID: "b"}
		all := []*registry.Server{a, b}
		l.board.Observe(*a, rests(3))
		must.True(t, l.Withheld(*a))
		must.False(t, l.Take(*a))
		must.Eq(t, []*registry.Server{b}, l.Filter(all))
		l.board.Observe(*b, rests(10))
		must.SliceEmpty(t, l.Filter(all))
		wait, cause := l.Wait(all)
		must.Between(t, 3*time.Second, wait, 3750*time.Millisecond)
		must.Eq(t, throttle.CauseRest, cause)
		time.Sleep(wait)
		must.Eq(t, []*registry.Server{a}, l.Filter(all))
		must.False(t, l.Withheld(*a))
		must.True(t, l.Take(*a))
		must.False(t, l.Withheld(*a), must.Sprint("the request that was taken may be sent"))
		must.False(t, l.Take(*a), must.Sprint("before the first is answered"))
		_, cause = l.Wait(all)
		must.Eq(t, throttle.CauseRest, cause)
		time.Sleep(500 * time.Millisecond)
		must.True(t, l.Take(*a), must.Sprint("the first was not answered"))
		l.board.Observe(*a, rests(0))
		for range 5 {
			must.True(t, l.Take(*a))
		}
		l.Observe(*a, 1)
		must.True(t, l.Take(*a))
		must.False(t, l.Take(*a))
		_, cause = l.Wait(all)
		must.Eq(t, throttle.CauseLimit, cause)
	})
}

// TestRestAgainAndAgain checks how many requests a server gets that wants rest whenever it gets one.
func TestRestAgainAndAgain(t *testing.T) {
	alone(t, func(t *testing.T, l *limiter, changes *[]notice.Change) {
		s := registry.Server{ID: "a"}
		sent := 0
		for range 3000 {
			if l.Take(s) {
				sent++
				l.board.Observe(s, rests(3))
			}
			time.Sleep(10 * time.Millisecond)
		}
		must.Between(t, 7, sent, 10, must.Sprint("requests in 30 s"))
	})
}
