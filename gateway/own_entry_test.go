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

// fakeStore is a store with one lease, in the bubble's time.
type fakeStore struct {
	mu sync.Mutex
	// silent says that the next call goes on a connection that is silent.
	silent  bool
	ttl     time.Duration
	expires time.Time
	// lapses counts the leases that ran out, renewals the calls that came in
	// time.
	lapses, renewals int
	// grants and puts count the calls that make a lease and write the entry.
	grants, puts int
}

// callTime is how long a call waits for its answer.
const callTime = time.Second

// simulateCall returns the error of a call on a silent connection, the one of its time.
func (e *fakeStore) simulateCall() error {
	e.mu.Lock()
	silent := e.silent
	e.silent = false
	e.mu.Unlock()
	if !silent {
		return nil
	}
	time.Sleep(callTime)
	return context.DeadlineExceeded
}

// silenceNextCall silences the next call, and returns how many renewals there were.
func (e *fakeStore) silenceNextCall() (renewals int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = true
	return e.renewals
}

func (e *fakeStore) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	if err := e.simulateCall(); err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grants++
	e.ttl, e.expires = ttl, time.Now().Add(ttl)
	return 1, nil
}

func (e *fakeStore) Put(context.Context, string, []byte, int64) error {
	if err := e.simulateCall(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.puts++
	return nil
}

func (e *fakeStore) KeepAlive(context.Context, int64) (bool, error) {
	if err := e.simulateCall(); err != nil {
		return false, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !time.Now().Before(e.expires) {
		e.lapses++
		return false, nil
	}
	e.renewals++
	e.expires = time.Now().Add(e.ttl)
	return true, nil
}

func (e *fakeStore) Revoke(context.Context, int64) error { return e.simulateCall() }

// TestEntrySurvivesSilence: an entry outlives one renewal on a connection that
// went silent, at any moment.
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
				e := &fakeStore{}
				go gateway.MaintainEntry(ctx, e, timers)
				time.Sleep(10*time.Second + after)
				synctest.Wait()
				before := e.silenceNextCall()
				time.Sleep(20 * time.Second)
				synctest.Wait()
				e.mu.Lock()
				defer e.mu.Unlock()
				must.False(t, e.silent)
				must.Less(t, e.renewals, before)
				must.Eq(t, 0, e.lapses)
			})
		})
	}
}

// TestPreviousEntryReused lists what a killed process has left of its VM's entry, and
// what the next one then asks of the store.
func TestPreviousEntryReused(t *testing.T) {
	const life = 5 * time.Second
	deleted := gateway.StoredEntry(false, gateway.OwnCallerAddress)
	deleted.Deleted = true
	tests := []struct {
		name string
		held []mirror.Change
		// lives is how much longer the lease that is left lives.
		lives        time.Duration
		grants, puts int
	}{
		{"nothing", nil, 0, 1, 1},
		{"as it should be", []mirror.Change{gateway.StoredEntry(false, gateway.OwnCallerAddress)}, life, 0, 0},
		{"leaving", []mirror.Change{gateway.StoredEntry(true, gateway.OwnCallerAddress)}, life, 0, 1},
		{"at another address", []mirror.Change{gateway.StoredEntry(false, "10.0.0.1:1")}, life, 0, 1},
		{"lapsed", []mirror.Change{gateway.StoredEntry(false, gateway.OwnCallerAddress)}, 0, 1, 1},
		{"taken back", []mirror.Change{gateway.StoredEntry(false, gateway.OwnCallerAddress), deleted}, life, 1, 1},
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
				e := &fakeStore{ttl: life, expires: time.Now().Add(tt.lives)}
				go gateway.MaintainEntry(ctx, e, timers, tt.held...)
				time.Sleep(20 * time.Second)
				synctest.Wait()
				e.mu.Lock()
				defer e.mu.Unlock()
				must.Eq(t, tt.grants, e.grants)
				must.Eq(t, tt.puts, e.puts)
				must.Less(t, e.renewals, 5)
			})
		})
	}
}
