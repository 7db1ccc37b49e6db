package rejection_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/nodelist"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// coordinator gives out places, or does not answer.
type coordinator struct {
	mu     sync.Mutex
	places *rejection.Places
	down   bool
	asks   int
}

func (c *coordinator) Ask(_ context.Context, _ registry.Server, rank int, a rejection.Ask) (rejection.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asks++
	if c.down || rank > 0 {
		return rejection.Grant{}, errors.New("down")
	}
	return c.places.Ask(a), nil
}

// set replaces the places, nil for no answer.
func (c *coordinator) set(places *rejection.Places) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = places == nil
	if places != nil {
		c.places = places
	}
}

// limiter is a limiter with the board that it knows limits from.
type limiter struct {
	*rejection.Limiter
	board *notice.Board
}

func newLimiter(roster *owner.Roster, timers *timer.Service, c rejection.Coordinators, options ...notice.Option) *limiter {
	board := notice.New(roster, timers, options...)
	return &limiter{rejection.New(board, roster, timers, c), board}
}

// Observe records an answer that names a limit.
func (l *limiter) Observe(s registry.Server, perSecond float64) { l.ObserveAnswer(s, perSecond, 0) }

// ObserveAnswer records an answer that names a limit, to a request that was sent so long ago.
func (l *limiter) ObserveAnswer(s registry.Server, perSecond float64, sentAgo time.Duration) {
	l.board.Observe(s, notice.Answer{Notices: []notice.Notice{{Kind: notice.KindRejectionLimit, Value: perSecond}}, SentAgo: sentAgo})
}

// newPlaces returns the places of a node that has just started, alone.
func newPlaces(timers *timer.Service) *rejection.Places {
	node := (&nodelist.List{}).Add(view.Member{VM: "c"})
	return rejection.NewPlaces(owner.NewRoster(node.Self(), node, timers), timers)
}

// TestPlacesOfReturnedOwner checks that a node which was no owner of a server for a while gives out none of
// its places until it has heard what is in use.
func TestPlacesOfReturnedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		list := &nodelist.List{}
		self, other := list.Add(view.Member{VM: "c"}), list.Add(view.Member{VM: "d"})
		self.SetListed(true)
		p := rejection.NewPlaces(owner.NewRoster(self.Self(), self, timers), timers)
		ask := rejection.Ask{Server: 1, Node: 1, Slots: 2, Want: 1}
		must.True(t, p.Ask(ask).Unsettled)
		time.Sleep(2 * time.Second)
		must.Eq(t, rejection.Grant{Places: 1}, p.Ask(ask))
		time.Sleep(10 * time.Second)
		must.Eq(t, rejection.Grant{Places: 1}, p.Ask(ask), must.Sprint("nobody asked, and nobody came or left"))
		other.SetListed(true)
		time.Sleep(time.Second)
		p.Ask(rejection.Ask{Server: 2, Node: 1, Slots: 2})
		time.Sleep(10 * time.Second)
		other.SetListed(false)
		must.True(t, p.Ask(ask).Unsettled, must.Sprint("others may have been asked"))
		time.Sleep(time.Second)
		must.True(t, p.Ask(ask).Unsettled)
		time.Sleep(time.Second)
		must.Eq(t, rejection.Grant{Places: 1}, p.Ask(ask))
	})
}

// Take takes a place, and reports whether there was one.
func (l *limiter) Take(ctx context.Context, s registry.Server) bool {
	return l.Limiter.Take(ctx, s) != rejection.BasisNone
}

// limiterOf returns the limiter of a node.
func limiterOf(vm string, timers *timer.Service, c *coordinator) *limiter {
	node := (&nodelist.List{}).Add(view.Member{VM: vm})
	return newLimiter(owner.NewRoster(node.Self(), node, timers), timers, c)
}

// TestPlaces checks that two nodes get no more places than a server has, that a place can be used
// again, that one whose request was rejected can't for a while, and that nothing is asked without a
// limit.
func TestPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		c := &coordinator{places: newPlaces(timers)}
		a, b := limiterOf("a", timers, c), limiterOf("b", timers, c)
		s := registry.Server{ID: "s", Slots: 3}
		for range 5 {
			must.True(t, a.Take(t.Context(), s))
			a.Release(s)
		}
		must.Zero(t, c.asks)
		a.Observe(s, 1)
		b.Observe(s, 1)
		must.True(t, a.Take(t.Context(), s))
		must.True(t, a.Take(t.Context(), s))
		must.True(t, b.Take(t.Context(), s))
		must.False(t, b.Take(t.Context(), s))
		must.False(t, b.Allows(s))
		must.SliceEmpty(t, b.Filter([]*registry.Server{&s}))
		a.Release(s)
		time.Sleep(100 * time.Millisecond)
		must.True(t, b.Allows(s))
		must.True(t, b.Take(t.Context(), s))
		b.Reject(s)
		time.Sleep(100 * time.Millisecond)
		must.False(t, a.Take(t.Context(), s))
		time.Sleep(2100 * time.Millisecond)
		must.True(t, a.Take(t.Context(), s))
	})
}

// TestPlacesOfNewCoordinator checks that a node which begins to give out the places of a server
// gives none until it has heard what is in use.
func TestPlacesOfNewCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		c := &coordinator{places: newPlaces(timers)}
		l := limiterOf("a", timers, c)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go l.Run(ctx)
		s := registry.Server{ID: "s", Slots: 2}
		l.Observe(s, 1)
		must.True(t, l.Take(t.Context(), s))
		time.Sleep(3 * time.Second)
		c.set(newPlaces(timers))
		must.False(t, l.Take(t.Context(), s))
		time.Sleep(4 * time.Second)
		must.True(t, l.Take(t.Context(), s))
		must.False(t, l.Take(t.Context(), s))
		c.set(nil)
		l.Release(s)
		l.Release(s)
		time.Sleep(time.Second)
		must.True(t, l.Take(t.Context(), s), must.Sprint("nobody gives out places, and there is a slot for each node"))
		must.False(t, l.Take(t.Context(), s))
		c.set(c.places)
		time.Sleep(time.Second)
		must.True(t, l.Take(t.Context(), s))
		must.False(t, l.Take(t.Context(), s))
	})
}

// TestPlacesOfGoneNode checks that the places of a node that is gone are given to others.
func TestPlacesOfGoneNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		p := newPlaces(timers)
		ask := rejection.Ask{Server: 1, Node: 1, Slots: 2, Want: 2, New: true}
		must.Eq(t, 2, p.Ask(ask).Places)
		ask.Node = 2
		must.Zero(t, p.Ask(ask).Places)
		time.Sleep(6 * time.Second)
		must.Eq(t, 2, p.Ask(ask).Places)
	})
}
