package lease_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/adapter/etcd"
	"github.com/violettally/violettally/internal/standin"
	"github.com/violettally/violettally/lease"
	"github.com/violettally/violettally/timer"
)

// TestContract holds the etcd adapter to the stand-in, fault by fault.
func TestContract(t *testing.T) {
	server := httptest.NewServer(standin.NewKeyValue().Handler())
	defer server.Close()
	c := etcd.New([]string{"http://127.0.0.1:1", server.URL}, "p/")
	ctx := t.Context()
	_, _, err := c.Get(ctx, "k")
	must.Error(t, err, must.Sprint("the first endpoint is dead"))

	revision, won, err := c.Swap(ctx, "k", []byte("one"), 0)
	must.NoError(t, err)
	must.True(t, won)
	_, won, err = c.Swap(ctx, "k", []byte("two"), 0)
	must.NoError(t, err)
	must.False(t, won)
	data, got, err := c.Get(ctx, "k")
	must.NoError(t, err)
	must.Eq(t, "one", string(data))
	must.Eq(t, revision, got)
	won, err = c.Delete(ctx, "k", revision)
	must.NoError(t, err)
	must.True(t, won)

	id, err := c.Grant(ctx, time.Minute)
	must.NoError(t, err)
	_, won, err = c.SwapLeased(ctx, "leased", []byte("x"), 0, id)
	must.NoError(t, err)
	must.True(t, won)
	alive, err := c.KeepAlive(ctx, id)
	must.NoError(t, err)
	must.True(t, alive)
	must.NoError(t, c.Revoke(ctx, id))
	_, got, err = c.Get(ctx, "leased")
	must.NoError(t, err)
	must.Zero(t, got)
	alive, err = c.KeepAlive(ctx, id)
	must.NoError(t, err)
	must.False(t, alive)
}

// service is a lease service in memory, in the bubble's time.
type service struct {
	mu      sync.Mutex
	holder  string
	token   int64
	id      int64
	expires time.Time
	down    bool
}

var errDown = errors.New("down")

func (s *service) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *service) lapse() {
	if s.holder != "" && time.Now().After(s.expires) {
		s.holder = ""
	}
}

func (s *service) Get(context.Context, string) ([]byte, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if s.down {
		return nil, 0, errDown
	}
	if s.holder == "" {
		return nil, 0, nil
	}
	return []byte(s.holder), s.token, nil
}

func (s *service) SwapLeased(_ context.Context, _ string, data []byte, _, id int64) (int64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if s.down || s.holder != "" {
		return 0, false, nil
	}
	s.holder, s.id, s.expires = string(data), id, time.Now().Add(ttl)
	s.token++
	return s.token, true, nil
}

func (s *service) Grant(context.Context, time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token + 100, nil
}

func (s *service) KeepAlive(_ context.Context, id int64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if s.down {
		return false, errDown
	}
	if s.holder == "" || s.id != id {
		return false, nil
	}
	s.expires = time.Now().Add(ttl)
	return true, nil
}

func (s *service) Revoke(_ context.Context, id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.holder = ""
	}
	return nil
}

const ttl = 3 * time.Second

// TestNeverTwoHolders takes the service away from a holder, and lets the lease
// lapse while its holder is paused and unaware.
func TestNeverTwoHolders(t *testing.T) {
	tests := []struct {
		name string
		// trouble happens while a holds the lease.
		trouble func(s *service)
		wantB   bool
	}{
		{"nothing", func(*service) {}, false},
		{"service down over one renewal", func(s *service) {
			// One renewal of three in a lease's life may fail; ticks come up
			// to a tenth early or late.
			s.set(func() { s.down = true })
			time.Sleep(ttl / 4)
			s.set(func() { s.down = false })
		}, false},
		{"lease lapsed while its holder was paused", func(s *service) { s.set(func() { s.holder = "" }) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timers := timer.New()
				defer timers.Close()
				ctx, cancel := context.WithCancel(t.Context())
				s := &service{}
				a := lease.New("driver", "a", s, timers, ttl)
				go a.Run(ctx)
				time.Sleep(2 * ttl)
				tokenA, ok := a.Held(0)
				must.True(t, ok)
				b := lease.New("driver", "b", s, timers, ttl)
				tt.trouble(s)
				go b.Run(ctx)
				for range 100 {
					time.Sleep(ttl / 10)
					_, heldA := a.Held(0)
					tokenB, heldB := b.Held(0)
					if heldA && heldB {
						must.Greater(t, tokenA, tokenB, must.Sprint("both believe; the later token must be higher"))
					}
				}
				_, heldB := b.Held(0)
				must.Eq(t, tt.wantB, heldB)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestSuspendedHolder: a holder's machine was suspended for longer than its lease lasts,
// and it trusted the lease all the same.
func TestSuspendedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asleep := time.Duration(0)
		timers := timer.New(timer.WithSuspendedTime(func() time.Duration { return asleep }))
		defer timers.Close()
		ctx, cancel := context.WithCancel(t.Context())
		holder := lease.New("driver", "a", &service{}, timers, ttl)
		go holder.Run(ctx)
		time.Sleep(2 * ttl)
		_, held := holder.Held(0)
		must.True(t, held)
		asleep = 2 * ttl
		_, held = holder.Held(0)
		must.False(t, held)
		cancel()
		synctest.Wait()
	})
}

// TestUnreachableService makes a holder stop trusting its lease before the
// service lets it lapse.
func TestUnreachableService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		ctx, cancel := context.WithCancel(t.Context())
		s := &service{}
		a := lease.New("driver", "a", s, timers, ttl)
		go a.Run(ctx)
		time.Sleep(2 * ttl)
		var expires time.Time
		s.set(func() { s.down, expires = true, s.expires })
		for time.Now().Before(expires) {
			time.Sleep(ttl / 50)
		}
		_, ok := a.Held(0)
		must.False(t, ok)
		cancel()
		synctest.Wait()
	})
}

// lostAnswer is a service that takes the lease's key and answers too late.
type lostAnswer struct {
	service
	taken chan struct{}
}

func (s *lostAnswer) SwapLeased(ctx context.Context, name string, data []byte, expected, id int64) (int64, bool, error) {
	_, _, _ = s.service.SwapLeased(ctx, name, data, expected, id)
	close(s.taken)
	<-ctx.Done()
	return 0, false, ctx.Err()
}

// Revoke fails under a context that is over, as a call over the network does.
func (s *lostAnswer) Revoke(ctx context.Context, id int64) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.service.Revoke(ctx, id)
}

// TestStopWhileAcquiring: a node that stops while it takes the lease gives up what
// it may have taken.
func TestStopWhileAcquiring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		ctx, cancel := context.WithCancel(t.Context())
		s := &lostAnswer{taken: make(chan struct{})}
		go lease.New("driver", "a", s, timers, ttl).Run(ctx)
		<-s.taken
		cancel()
		synctest.Wait()
		s.set(func() { must.Eq(t, "", s.holder) })
	})
}
