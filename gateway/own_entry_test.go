package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/gateway"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
)

// fakeStore is a store with one lease. It runs on the time of the synctest bubble.
type fakeStore struct {
	mu sync.Mutex
	// silent makes the next call time out, as on a dead connection.
	silent  bool
	ttl     time.Duration
	expires time.Time
	// expirations counts the renewals that came too late, renewals those in time.
	expirations, renewals int
	// grants and puts count the calls that create a lease and write the entry.
	grants, puts int
}

// callTimeout is the time after which a call without a response fails.
const callTimeout = time.Second

// simulateCall times out and returns an error if the call was to be silent.
func (s *fakeStore) simulateCall() error {
	s.mu.Lock()
	silent := s.silent
	s.silent = false
	s.mu.Unlock()
	if !silent {
		return nil
	}
	time.Sleep(callTimeout)
	return context.DeadlineExceeded
}

// silenceNextCall makes the next call time out, and returns the number of renewals so far.
func (s *fakeStore) silenceNextCall() (renewals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	return s.renewals
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	if err := s.simulateCall(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants++
	s.ttl, s.expires = ttl, time.Now().Add(ttl)
	return 1, nil
}

func (s *fakeStore) Put(context.Context, string, []byte, int64) error {
	if err := s.simulateCall(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	return nil
}

func (s *fakeStore) KeepAlive(context.Context, int64) (bool, error) {
	if err := s.simulateCall(); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.expires) {
		s.expirations++
		return false, nil
	}
	s.renewals++
	s.expires = time.Now().Add(s.ttl)
	return true, nil
}

func (s *fakeStore) Revoke(context.Context, int64) error { return s.simulateCall() }

// TestEntrySurvivesSilentConnection checks that a lease doesn't expire when one renewal
// times out on a dead connection, whenever that happens.
func TestEntrySurvivesSilentConnection(t *testing.T) {
	for after := time.Duration(0); after < 2*time.Second; after += 100 * time.Millisecond {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				timers := timer.New()
				t.Cleanup(func() {
					cancel()
					timers.Close()
				})
				store := &fakeStore{}
				go gateway.MaintainEntry(ctx, store, timers)
				time.Sleep(10*time.Second + after)
				synctest.Wait()
				before := store.silenceNextCall()
				time.Sleep(20 * time.Second)
				synctest.Wait()
				store.mu.Lock()
				defer store.mu.Unlock()
				must.False(t, store.silent)
				must.Less(t, store.renewals, before)
				must.Eq(t, 0, store.expirations)
			})
		})
	}
}

// TestPreviousEntryReused checks which calls a process makes to register, depending on the
// entry that a killed process of its VM has left.
func TestPreviousEntryReused(t *testing.T) {
	const ttl = 5 * time.Second
	deleted := gateway.StoredEntry(false, gateway.OwnCallerAddress)
	deleted.Deleted = true
	tests := []struct {
		name string
		held []mirror.Change
		// remaining is the time until the lease that was left expires.
		remaining    time.Duration
		grants, puts int
	}{
		{"none", nil, 0, 1, 1},
		{"up to date", []mirror.Change{gateway.StoredEntry(false, gateway.OwnCallerAddress)}, ttl, 0, 0},
		{"leaving", []mirror.Change{gateway.StoredEntry(true, gateway.OwnCallerAddress)}, ttl, 0, 1},
		{"at another address", []mirror.Change{gateway.StoredEntry(false, "10.0.0.1:1")}, ttl, 0, 1},
		{"expired", []mirror.Change{gateway.StoredEntry(false, gateway.OwnCallerAddress)}, 0, 1, 1},
		{"deleted", []mirror.Change{gateway.StoredEntry(false, gateway.OwnCallerAddress), deleted}, ttl, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				timers := timer.New()
				t.Cleanup(func() {
					cancel()
					timers.Close()
				})
				store := &fakeStore{ttl: ttl, expires: time.Now().Add(tt.remaining)}
				go gateway.MaintainEntry(ctx, store, timers, tt.held...)
				time.Sleep(20 * time.Second)
				synctest.Wait()
				store.mu.Lock()
				defer store.mu.Unlock()
				must.Eq(t, tt.grants, store.grants)
				must.Eq(t, tt.puts, store.puts)
				must.Less(t, store.renewals, 5)
			})
		})
	}
}
