// Package timer provides clocks and periodic ticks to the other packages.
//
// Periodic work (heartbeats, journal folds, configuration repair) must not run
// at the same moment on every node, so each subscription adds a random jitter to
// its ticks. Tests run the same code under testing/synctest, whose bubble
// replaces the clock, so the package has no fake clock of its own.
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

// maxJitter is the largest fraction of an interval by which a tick is early or
// late.
const maxJitter = 0.1

// Service provides the time and subscriptions to periodic ticks. It is safe for
// concurrent use.
type Service struct {
	mu            sync.Mutex
	subscriptions map[*Subscription]struct{}
	closed        bool

	// suspended returns for how long the machine has been suspended since it booted,
	// and initialSuspended is its value when New was called. countedSuspension is the
	// time suspended since then, in nanoseconds, that Steady has counted.
	suspended         func() time.Duration
	initialSuspended  time.Duration
	countedSuspension atomic.Int64
}

// Option configures a Service in New.
type Option func(*Service)

// WithSuspendedTime sets the function that returns for how long the machine has been
// suspended since it booted.
func WithSuspendedTime(suspended func() time.Duration) Option {
	return func(s *Service) { s.suspended = suspended }
}

// New returns a running service.
func New(options ...Option) *Service {
	s := &Service{subscriptions: make(map[*Subscription]struct{}), suspended: suspended}
	for _, option := range options {
		option(s)
	}
	s.initialSuspended = s.suspended()
	return s
}

// Now returns the current time.
func (s *Service) Now() time.Time { return time.Now() }

// Steady returns a time for computing ages and expiries. Unlike the monotonic clock
// that Now reads, it advances while the machine is suspended, so that data from
// before a suspension is not taken for newer than it is. It is not the time of day;
// compare it only with other results of Steady.
func (s *Service) Steady() time.Time {
	current := s.suspended() - s.initialSuspended
	for {
		known := s.countedSuspension.Load()
		if current < time.Duration(known)+minSuspension {
			return time.Now().Add(time.Duration(known))
		}
		if s.countedSuspension.CompareAndSwap(known, int64(current)) {
			return time.Now().Add(current)
		}
	}
}

// minSuspension is the shortest suspension that is counted. The two clocks are read one
// after the other, so their difference has an error.
const minSuspension = 10 * time.Millisecond

// Subscribe returns a subscription that ticks about every interval, early or late
// by up to a tenth of it. At most one tick is pending: further ones are dropped until
// it is received.
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
	sub.timer = time.AfterFunc(sub.nextInterval(), sub.tick)
	return sub
}

// Every calls do at each tick until the context is canceled.
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

// Close ends all subscriptions. Their channels are not closed but receive no more
// ticks.
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

func (s *Subscription) tick() {
	select {
	case s.ticks <- time.Now():
	default:
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	if _, live := s.service.subscriptions[s]; live {
		s.timer.Reset(s.nextInterval())
	}
}

func (s *Subscription) nextInterval() time.Duration {
	jitter := (rand.Float64()*2 - 1) * maxJitter
	return time.Duration(float64(s.interval) * (1 + jitter))
}
