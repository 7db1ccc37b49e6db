// Package timer is the time source that the other packages subscribe to.
//
// Periodic work (heartbeats, folds, configuration repair) must not run in
// step on every node, so each subscription spreads its ticks by a random
// jitter. Tests run the same code under testing/synctest, whose bubble
// replaces the clock; the package needs no manual clock of its own.
//
// # Usage
//
//	timers := timer.New()
//	defer timers.Close()
//	timers.Every(ctx, time.Second, fold) // until ctx ends
//
// or, where a task waits for other things too,
//
//	ticks := timers.Subscribe(time.Second)
//	defer ticks.Stop()
//	for {
//		select {
//		case <-ctx.Done():
//			return
//		case now := <-ticks.C():
//			probe(now)
//		}
//	}
package timer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// jitterShare is the largest share of an interval by which a tick comes early
// or late.
const jitterShare = 0.1

// Service hands out subscriptions to the passing of time. It is safe for use
// by many goroutines.
type Service struct {
	mu            sync.Mutex
	subscriptions map[*Subscription]struct{}
	closed        bool

	// suspended tells for how long the machine has been suspended; before is that of
	// when this service was made, and counted what counts since, in nanoseconds.
	suspended func() time.Duration
	before    time.Duration
	counted   atomic.Int64
}

// Option changes a Service as New makes it.
type Option func(*Service)

// WithSuspendedTime sets what tells for how long the machine has been suspended so far.
func WithSuspendedTime(suspended func() time.Duration) Option {
	return func(s *Service) { s.suspended = suspended }
}

// New returns a running service.
func New(options ...Option) *Service {
	s := &Service{subscriptions: make(map[*Subscription]struct{}), suspended: suspended}
	for _, option := range options {
		option(s)
	}
	s.before = s.suspended()
	return s
}

// Now returns the present time.
func (s *Service) Now() time.Time { return time.Now() }

// Steady returns a time for ages and expiries. It goes on while the machine is
// suspended, for which the steady clock behind Now stands still, so what was known
// before is as old as it is. It is no time of day, and is compared with its like alone.
func (s *Service) Steady() time.Time {
	asleep := s.suspended() - s.before
	for {
		counted := s.counted.Load()
		if asleep < time.Duration(counted)+shortestSuspension {
			return time.Now().Add(time.Duration(counted))
		}
		if s.counted.CompareAndSwap(counted, int64(asleep)) {
			return time.Now().Add(asleep)
		}
	}
}

// shortestSuspension is the least that counts as one. Two clocks are read one after the
// other, so that their difference is told with an error.
const shortestSuspension = 10 * time.Millisecond

// Subscribe returns a subscription that ticks about every interval, within a
// tenth of it. A tick that nobody has taken is not queued twice.
func (s *Service) Subscribe(interval time.Duration) *Subscription {
	sub := &Subscription{
		service:  s,
		interval: interval,
		ticks:    make(chan time.Time, 1),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return sub
	}
	s.subscriptions[sub] = struct{}{}
	sub.timer = time.AfterFunc(sub.next(), sub.fire)
	return sub
}

// Every calls do at each tick until the context ends.
func (s *Service) Every(ctx context.Context, interval time.Duration, do func()) {
	ticks := s.Subscribe(interval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			do()
		}
	}
}

// Close ends every subscription. Their channels stay open and silent.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for sub := range s.subscriptions {
		sub.timer.Stop()
	}
	clear(s.subscriptions)
}

// Subscription is one subscriber's stream of ticks.
type Subscription struct {
	service  *Service
	interval time.Duration
	ticks    chan time.Time
	timer    *time.Timer
}

// C returns the channel on which the ticks arrive.
func (s *Subscription) C() <-chan time.Time { return s.ticks }

// Stop ends the subscription.
func (s *Subscription) Stop() {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	delete(s.service.subscriptions, s)
}

func (s *Subscription) fire() {
	select {
	case s.ticks <- time.Now():
	default:
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	if _, live := s.service.subscriptions[s]; live {
		s.timer.Reset(s.next())
	}
}

func (s *Subscription) next() time.Duration {
	spread := (rand.Float64()*2 - 1) * jitterShare
	return time.Duration(float64(s.interval) * (1 + spread))
}
