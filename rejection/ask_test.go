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
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// ownerPair is the two owners of a server, each of which may be down.
type ownerPair struct {
	mu     sync.Mutex
	places [2]*rejection.Places
	down   [2]bool
	asks   [2]int
	// late is how long the answers of each wait until they are read, if the node that asked stands still.
	late [2]time.Duration
}

func (p *ownerPair) Ask(_ context.Context, _ registry.Server, rank int, a rejection.Ask) (rejection.Grant, error) {
	p.mu.Lock()
	if p.down[rank] {
		p.mu.Unlock()
		return rejection.Grant{}, errors.New("down")
	}
	p.asks[rank]++
	grant, late := p.places[rank].Ask(a), p.late[rank]
	p.mu.Unlock()
	time.Sleep(late)
	return grant, nil
}

// setLate sets how long the answers of each owner wait until they are read.
func (p *ownerPair) setLate(first, second time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late = [2]time.Duration{first, second}
}

// start starts the process of an owner, which knows nothing.
func (p *ownerPair) start(rank int, timers *timer.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.places[rank] = newPlaces(timers)
}

// stop lets an owner answer nothing.
func (p *ownerPair) stop(rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[rank] = true
}

// takeCounts returns how often each owner was asked since the last call.
func (p *ownerPair) takeCounts() [2]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	asks := p.asks
	p.asks = [2]int{}
	return asks
}

// withOwners runs a test with two owners that know all places, and two nodes that know of a limit.
func withOwners(t *testing.T, test func(t *testing.T, p *ownerPair, a, b *limiter, timers *timer.Service)) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		defer synctest.Wait()
		p := &ownerPair{}
		p.start(0, timers)
		p.start(1, timers)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var limiters []*limiter
		for _, vm := range []string{"a", "b"} {
			node := (&nodelist.List{}).Add(view.Member{VM: vm})
			l := newLimiter(owner.NewRoster(node.Self(), node, timers), timers, p)
			l.Observe(pairServer, 1)
			go l.Run(ctx)
			limiters = append(limiters, l)
		}
		time.Sleep(5 * time.Second)
		test(t, p, limiters[0], limiters[1], timers)
	})
}

// pairServer is the server of these tests. One slot is enough: a second place is one too many.
var pairServer = registry.Server{ID: "s", Slots: 1}

// TestPlacesOutliveFirstOwner checks that the second owner of a server gives out its places, and knows
// which are in use, as soon as the first one does not answer or has just started.
func TestPlacesOutliveFirstOwner(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		withOwners(t, func(t *testing.T, p *ownerPair, a, b *limiter, timers *timer.Service) {
			must.True(t, a.Take(t.Context(), pairServer))
			if restarted {
				p.start(0, timers)
			} else {
				p.stop(0)
			}
			must.False(t, b.Take(t.Context(), pairServer))
			a.Release(pairServer)
			time.Sleep(100 * time.Millisecond)
			must.True(t, b.Take(t.Context(), pairServer))
			must.False(t, a.Take(t.Context(), pairServer))
		})
	}
}

// TestPlacesOfDifferentOwners checks that a place which only one of two owners gives is not used, and is
// given back.
func TestPlacesOfDifferentOwners(t *testing.T) {
	withOwners(t, func(t *testing.T, p *ownerPair, a, b *limiter, timers *timer.Service) {
		must.True(t, a.Take(t.Context(), pairServer))
		p.start(0, timers) // it has not heard of the place, though it has known its list for long
		time.Sleep(time.Second)
		for range 20 {
			must.False(t, b.Take(t.Context(), pairServer))
			time.Sleep(100 * time.Millisecond)
		}
		a.Release(pairServer)
		time.Sleep(100 * time.Millisecond)
		must.True(t, b.Take(t.Context(), pairServer))
	})
}

// TestOneOwnerIsAskedWhereNothingIsFree checks that a request for a place that the first owner denies costs
// one call.
func TestOneOwnerIsAskedWhereNothingIsFree(t *testing.T) {
	withOwners(t, func(t *testing.T, p *ownerPair, a, b *limiter, _ *timer.Service) {
		must.True(t, a.Take(t.Context(), pairServer))
		p.takeCounts()
		must.False(t, b.Take(t.Context(), pairServer))
		must.Eq(t, [2]int{1, 0}, p.takeCounts())
	})
}

// TestPlaceGrantedLongAgoIsNotUsed checks that a place is not used whose grant was read so late that the owners
// have given it to another node since.
func TestPlaceGrantedLongAgoIsNotUsed(t *testing.T) {
	withOwners(t, func(t *testing.T, p *ownerPair, a, b *limiter, _ *timer.Service) {
		p.setLate(time.Second, 6*time.Second)
		taken := make(chan bool)
		go func() { taken <- a.Take(t.Context(), pairServer) }()
		time.Sleep(6500 * time.Millisecond) // the owners have given it to a 6.5 and 5.5 s ago
		p.setLate(0, 0)
		must.True(t, b.Take(t.Context(), pairServer))
		must.False(t, <-taken)
	})
}

// TestLateAskTakesNothingBack checks that a request for places which an owner reads after a later one of the same
// node changes nothing.
func TestLateAskTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		p := newPlaces(timers)
		must.Eq(t, 3, p.Ask(rejection.Ask{Server: 1, Node: 1, Sequence: 8, Slots: 4, InUse: 3, New: true}).Places)
		p.Ask(rejection.Ask{Server: 1, Node: 1, Sequence: 7, Slots: 4, New: true})
		other := rejection.Ask{Server: 1, Node: 2, Sequence: 3, Slots: 4, Want: 4, New: true}
		must.Eq(t, 1, p.Ask(other).Places)
		must.Eq(t, 3, p.Ask(rejection.Ask{Server: 1, Node: 1, Sequence: 9, Slots: 4, InUse: 2, Want: 4, New: true}).Places)
	})
}
