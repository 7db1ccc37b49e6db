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
	"github.com/violettally/violettally/timer"
)

// entries is a store with one lease, in the bubble's time.
type entries struct {
	mu sync.Mutex
	// silent says that the next call goes on a connection that is silent.
	silent  bool
	ttl     time.Duration
	expires time.Time
	// lapses counts the leases that ran out, renewals the calls that came in
	// time.
	lapses, renewals int
}

// callTime is how long a call waits for its answer.
const callTime = time.Second

// call returns the error of a call on a silent connection, the one of its time.
func (e *entries) call() error {
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

// goSilent silences the next call, and returns how many renewals there were.
func (e *entries) goSilent() (renewals int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = true
	return e.renewals
}

func (e *entries) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	if err := e.call(); err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ttl, e.expires = ttl, time.Now().Add(ttl)
	return 1, nil
}

func (e *entries) Put(context.Context, string, []byte, int64) error { return e.call() }

func (e *entries) KeepAlive(context.Context, int64) (bool, error) {
	if err := e.call(); err != nil {
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

func (e *entries) Revoke(context.Context, int64) error { return e.call() }

// TestEntrySurvivesSilence: an entry outlives one renewal on a connection that
// went silent, at any moment.
func TestEntrySurvivesSilence(t *testing.T) {
	for after := time.Duration(0); after < 2*time.Second; after += 100 * time.Millisecond {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				timers := timer.New()
				t.Cleanup(func() {
					cancel()
					timers.Close()
				})
				e := &entries{}
				go gateway.KeepEntry(ctx, e, timers)
				time.Sleep(10*time.Second + after)
				synctest.Wait()
				before := e.goSilent()
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
