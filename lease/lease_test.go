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

// TestContract runs the etcd adapter against the in-memory etcd server, with the
// first of two endpoints unreachable.
func TestContract(t *testing.T) {
	server := httptest.NewServer(standin.NewKeyValue().Handler())
	defer server.Close()
	c := etcd.New([]string{"http://127.0.0.1:1", server.URL}, "p/")
	ctx := t.Context()
	_, _, err := c.Get(ctx, "k")
	must.Error(t, err, must.Sprint("the first endpoint is unreachable"))

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

// memoryStore is an in-memory store of one lease, on the clock of the synctest bubble.
type memoryStore struct {
	mu      sync.Mutex
	holder  string
	token   int64
	id      int64
	expires time.Time
	down    bool
}

var errUnavailable = errors.New("down")

func (s *memoryStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *memoryStore) expire() {
	if s.holder != "" && time.Now().After(s.expires) {
		s.holder = ""
	}
}

func (s *memoryStore) Get(context.Context, string) ([]byte, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.down {
		return nil, 0, errUnavailable
	}
	if s.holder == "" {
		return nil, 0, nil
	}
	return []byte(s.holder), s.token, nil
}

func (s *memoryStore) SwapLeased(_ context.Context, _ string, data []byte, _, id int64) (int64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.down || s.holder != "" {
		return 0, false, nil
	}
	s.holder, s.id, s.expires = string(data), id, time.Now().Add(ttl)
	s.token++
	return s.token, true, nil
}

func (s *memoryStore) Grant(context.Context, time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token + 100, nil
}

func (s *memoryStore) KeepAlive(_ context.Context, id int64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.down {
		return false, errUnavailable
	}
	if s.holder == "" || s.id != id {
		return false, nil
	}
	s.expires = time.Now().Add(ttl)
	return true, nil
}

func (s *memoryStore) Revoke(_ context.Context, id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.holder = ""
	}
	return nil
}

const ttl = 3 * time.Second

// TestNeverTwoHolders checks that two nodes never both hold the lease with the
// same or a decreasing token: when the store is down for a renewal, and when the
// lease expires while its holder is paused and does not notice.
func TestNeverTwoHolders(t *testing.T) {
	tests := []struct {
		name string
		// fault is injected while a holds the lease.
		fault func(s *memoryStore)
		wantB bool
	}{
		{"no fault", func(*memoryStore) {}, false},
		{"store down during one renewal", func(s *memoryStore) {
			// One of the three renewals per TTL may fail. Ticks are early or
			// late by up to a tenth of the interval.
			s.update(func() { s.down = true })
			time.Sleep(ttl / 4)
			s.update(func() { s.down = false })
		}, false},
		{"lease expired while its holder was paused", func(s *memoryStore) { s.update(func() { s.holder = "" }) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timers := timer.New()
				defer timers.Close()
				ctx, cancel := context.WithCancel(t.Context())
				s := &memoryStore{}
				a := lease.New("driver", "a", s, timers, ttl)
				go a.Run(ctx)
				time.Sleep(2 * ttl)
				tokenA, ok := a.Held(0)
				must.True(t, ok)
				b := lease.New("driver", "b", s, timers, ttl)
				tt.fault(s)
				go b.Run(ctx)
				for range 100 {
					time.Sleep(ttl / 10)
					_, heldA := a.Held(0)
					tokenB, heldB := b.Held(0)
					if heldA && heldB {
						must.Greater(t, tokenA, tokenB, must.Sprint("both nodes hold the lease; the later token must be higher"))
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

// TestSuspendedHolder guards against a holder that still relies on its lease after
// its machine was suspended for longer than the TTL. The monotonic clock does not
// count that time.
func TestSuspendedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		timers := timer.New(timer.WithSuspendedTime(func() time.Duration { return suspended }))
		defer timers.Close()
		ctx, cancel := context.WithCancel(t.Context())
		holder := lease.New("driver", "a", &memoryStore{}, timers, ttl)
		go holder.Run(ctx)
		time.Sleep(2 * ttl)
		_, held := holder.Held(0)
		must.True(t, held)
		suspended = 2 * ttl
		_, held = holder.Held(0)
		must.False(t, held)
		cancel()
		synctest.Wait()
	})
}

// TestUnreachableService checks that a holder that cannot renew stops relying on
// its lease before the lease expires in the store.
func TestUnreachableService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		ctx, cancel := context.WithCancel(t.Context())
		s := &memoryStore{}
		a := lease.New("driver", "a", s, timers, ttl)
		go a.Run(ctx)
		time.Sleep(2 * ttl)
		var expires time.Time
		s.update(func() { s.down, expires = true, s.expires })
		for time.Now().Before(expires) {
			time.Sleep(ttl / 50)
		}
		_, ok := a.Held(0)
		must.False(t, ok)
		cancel()
		synctest.Wait()
	})
}

// lostResponse is a store that writes the lease's key but whose response is lost.
type lostResponse struct {
	memoryStore
	written chan struct{}
}

func (s *lostResponse) SwapLeased(ctx context.Context, name string, data []byte, expected, id int64) (int64, bool, error) {
	_, _, _ = s.memoryStore.SwapLeased(ctx, name, data, expected, id)
	close(s.written)
	<-ctx.Done()
	return 0, false, ctx.Err()
}

// Revoke fails if the context is canceled, as a network call does.
func (s *lostResponse) Revoke(ctx context.Context, id int64) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.memoryStore.Revoke(ctx, id)
}

// TestStopWhileAcquiring checks that a node that shuts down while it acquires the
// lease revokes it, since the key may have been written.
func TestStopWhileAcquiring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		ctx, cancel := context.WithCancel(t.Context())
		s := &lostResponse{written: make(chan struct{})}
		go lease.New("driver", "a", s, timers, ttl).Run(ctx)
		<-s.written
		cancel()
		synctest.Wait()
		s.update(func() { must.Eq(t, "", s.holder) })
	})
}
