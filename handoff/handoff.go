// Package handoff ends the runs of requests that were given up at their backend servers.
//
// A server learns from the end of a connection that its request was given up. On a connection that went
// silent for good the end never arrives, although new connections reach the server: it works on, and if
// another server continues the request, two work on it at once. A run that was given up is therefore also ended
// by a call on another connection, which the server answers:
//
//   - before another server continues the request. The memory of the run is handed over to that server,
//     which then continues the same run and need not process the prompt again. The request waits for
//     [MaxWait] at most; if the server cannot be reached by then, the request goes on without its answer;
//   - in the background if the request does not go on, or the server has not answered, or it may still begin
//     to run the request, until the time that the server was told is over.
//
// # Usage
//
//	s := handoff.NewStopper(engines, handoff.WithObserver(count))
//	copied, outcome := s.Stop(ctx, run, target) // before target continues the request
//	s.Release(copied)                           // if it is not used
//	s.StopLater(run, another)                   // if no server continues the request
package handoff

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/registry"
)

//go:generate go tool enumer -type=Outcome -trimprefix=Outcome -transform=snake -output=handoff_enumer.go

var (
	namespace = errs.Namespace("handoff")

	// NotRunning means that a server does not run a request. It may still have it in its queue.
	NotRunning = namespace.NewType("not_running")
	// Gone is NotRunning since the server's process has ended: connections to it are refused.
	Gone = NotRunning.NewSubtype("gone")
	// Unanswered means that a server gave no usable answer, so that it may run the request.
	Unanswered = namespace.NewType("unanswered")
)

const (
	// MaxWait is how long a request waits for the end of its earlier run. A server that is reached answers
	// within some ms, and after 200 ms if it takes another node to reach it.
	MaxWait = 250 * time.Millisecond
	// callTimeout bounds a call to a server.
	callTimeout = time.Second
	// firstCheck is the time until the first check of a run that may go on, and maxCheckInterval that
	// between two checks at most; it doubles from one to the next. Reports of servers are some 100 ms old.
	firstCheck       = 250 * time.Millisecond
	maxCheckInterval = 2 * time.Second
	// maxUnanswered is the number of checks in a row without an answer after which a server counts as unreachable.
	maxUnanswered = 4
	// maxFreeTries is how often a server is asked to free a copy; it frees it by itself after a time.
	maxFreeTries = 2
	// maxPending bounds the runs that one node ends or checks at once.
	maxPending = 256
)

// Outcome is the result of ending a run.
type Outcome int

// The outcomes.
const (
	// OutcomeMoved: the run has ended, and its memory is at the server that continues the request.
	OutcomeMoved Outcome = iota
	// OutcomeStopped: the run has ended.
	OutcomeStopped
	// OutcomeNotRunning: the server did not run the request any more.
	OutcomeNotRunning
	// OutcomeGone: the server has ended, and its runs with it.
	OutcomeGone
	// OutcomePending: the server has not answered yet.
	OutcomePending
	// OutcomeUnanswered: the server cannot be reached, or its answer could not be used.
	OutcomeUnanswered
	// OutcomeExpired: the time that the server was told is over.
	OutcomeExpired
	// OutcomeDropped: too many runs were being ended.
	OutcomeDropped
)

// IsCertain reports whether the run goes on no more, now or later.
func (o Outcome) IsCertain(run Run) bool {
	switch o {
	case OutcomeMoved, OutcomeStopped, OutcomeGone, OutcomeExpired:
		return true
	case OutcomeNotRunning:
		return run.Begun
	}
	return false
}

// Run is the work of a server on a request.
type Run struct {
	RequestID string
	Server    registry.Server
	// Begun means that the server has sent a part of its response, so that the request is not in its queue.
	Begun bool
	// Until is when the server ends the run by itself, by the time that it was told.
	Until time.Time
}

// Copy is the memory of a run that has ended. The zero value is none.
type Copy struct {
	// Source is the server of the run, and Handle what it calls the memory.
	Source registry.Server
	Handle string
}

// IsZero reports whether there is no copy.
func (c Copy) IsZero() bool { return c.Handle == "" }

// Engines calls servers on connections of their own. Errors are NotRunning, Gone or Unanswered.
type Engines interface {
	// EndRun ends the run of a request and copies its memory to another server. It returns what the server
	// calls the memory, "" if there is none, and whether it was copied.
	EndRun(ctx context.Context, requestID string, server, target registry.Server) (handle string, copied bool, err error)
	// FreeCopy frees the memory of a run that has ended, wherever it is.
	FreeCopy(ctx context.Context, server registry.Server, handle string) error
	// MayRun reports whether the server runs a request, and whether it has requests in its queue, of which this may
	// be one.
	MayRun(ctx context.Context, requestID string, server registry.Server) (runs, queued bool, err error)
}

// Option configures a Stopper in NewStopper.
type Option func(*Stopper)

// WithObserver sets a function that is told of each run that was to be ended.
func WithObserver(observe func(Outcome)) Option {
	return func(s *Stopper) { s.observe = observe }
}

// Stopper ends runs. It is safe for concurrent use.
type Stopper struct {
	engines Engines
	observe func(Outcome)
	// pending is the number of runs that are being ended or checked.
	pending atomic.Int64
}

// NewStopper returns a Stopper that ends runs by the given calls.
func NewStopper(engines Engines, options ...Option) *Stopper {
	s := &Stopper{engines: engines, observe: func(Outcome) {}}
	for _, option := range options {
		option(s)
	}
	return s
}

// Stop ends a run and hands its memory over to the target, which is to continue the request. It waits for
// MaxWait at most, and goes on in the background after that. A copy that it returns has to be used or released.
func (s *Stopper) Stop(ctx context.Context, run Run, target registry.Server) (Copy, Outcome) {
	if !s.begin() {
		return Copy{}, OutcomeDropped
	}
	ctx, cancel := context.WithTimeout(ctx, MaxWait)
	defer cancel()
	results := make(chan result)
	go func() {
		defer s.end()
		r := s.endRun(run, target)
		select {
		case results <- r:
		case <-ctx.Done():
			s.free(r.memory)
		}
		if !r.outcome.IsCertain(run) {
			r.outcome = s.check(run, target)
		}
		s.observe(r.outcome)
	}()
	select {
	case r := <-results:
		return r.memory, r.outcome
	case <-ctx.Done():
		return Copy{}, OutcomePending
	}
}

// StopLater ends a run in the background, if its server has not learned meanwhile that the request was given
// up. Its memory goes to another server of the service only to be freed there, since servers end runs in no other way.
func (s *Stopper) StopLater(run Run, another registry.Server) {
	if !s.begin() {
		return
	}
	go func() {
		defer s.end()
		s.observe(s.check(run, another))
	}()
}

// Release frees a copy that is not used.
func (s *Stopper) Release(c Copy) {
	if !c.IsZero() {
		go s.free(c)
	}
}

// begin counts a run that is to be ended. It returns false if there are too many.
func (s *Stopper) begin() bool {
	if s.pending.Add(1) <= maxPending {
		return true
	}
	s.end()
	s.observe(OutcomeDropped)
	return false
}

// end counts a run as done.
func (s *Stopper) end() { s.pending.Add(-1) }

// result is that of one call to end a run.
type result struct {
	outcome Outcome
	memory  Copy
}

// endRun calls the server to end a run.
func (s *Stopper) endRun(run Run, target registry.Server) result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	handle, copied, err := s.engines.EndRun(ctx, run.RequestID, run.Server, target)
	switch {
	case errs.IsOfType(err, Gone):
		return result{outcome: OutcomeGone}
	case errs.IsOfType(err, NotRunning):
		return result{outcome: OutcomeNotRunning}
	case err != nil:
		return result{outcome: OutcomeUnanswered}
	case !copied:
		s.Release(Copy{Source: run.Server, Handle: handle})
		return result{outcome: OutcomeStopped}
	}
	return result{OutcomeMoved, Copy{Source: run.Server, Handle: handle}}
}

// check asks the server whether the run goes on, and ends it if so, until that is certain or the time that the
// server was told is over.
func (s *Stopper) check(run Run, target registry.Server) Outcome {
	unanswered := 0
	for interval := firstCheck; ; interval = min(2*interval, maxCheckInterval) {
		if time.Until(run.Until) < interval {
			return OutcomeExpired
		}
		time.Sleep(interval)
		outcome, certain := s.checkOnce(run, target)
		if certain {
			return outcome
		}
		if outcome != OutcomeUnanswered {
			unanswered = 0
		} else if unanswered++; unanswered == maxUnanswered {
			return OutcomeUnanswered
		}
	}
}

// checkOnce is one step of check. It also returns whether the run has certainly ended.
func (s *Stopper) checkOnce(run Run, target registry.Server) (Outcome, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	runs, queued, err := s.engines.MayRun(ctx, run.RequestID, run.Server)
	switch {
	case errs.IsOfType(err, Gone):
		return OutcomeGone, true
	case err != nil:
		return OutcomeUnanswered, false
	case !runs:
		return OutcomeNotRunning, run.Begun || !queued
	}
	r := s.endRun(run, target)
	s.free(r.memory)
	switch r.outcome {
	case OutcomeMoved, OutcomeStopped:
		return OutcomeStopped, true
	case OutcomeUnanswered:
		return OutcomeUnanswered, false
	}
	return r.outcome, true // it has ended since the report
}

// free frees a copy.
func (s *Stopper) free(c Copy) {
	if c.IsZero() {
		return
	}
	for range maxFreeTries {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := s.engines.FreeCopy(ctx, c.Source, c.Handle)
		cancel()
		if err == nil {
			return
		}
	}
}
