package handoff_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/handoff"
	"github.com/violettally/violettally/registry"
)

// engines is one server that works on one request.
type engines struct {
	// begins is when the request leaves the server's queue and ends when its run ends by itself, both
	// after the start of the test; queue is until when the queue holds other requests.
	begins, ends, queue time.Duration
	// silentUntil is until when the server does not answer, delay how long it takes to answer.
	silentUntil, delay time.Duration
	// gone means that connections to the server are refused.
	gone bool
	// noRoom means that the other server has no room for the memory.
	noRoom bool

	started time.Time

	mu sync.Mutex
	// ended is when the run was ended by a call; zero if it was not.
	ended time.Duration
	// held is the number of copies that are neither used nor freed, calls that of all calls.
	held, calls int
}

// answer waits for the server's answer. It returns the time since the start of the test.
func (e *engines) answer(ctx context.Context) (time.Duration, error) {
	if e.gone {
		return 0, handoff.Gone.New("refused")
	}
	delay := e.delay
	if time.Since(e.started) < e.silentUntil {
		delay = time.Hour
	}
	select {
	case <-time.After(delay):
		return max(1, time.Since(e.started)), nil
	case <-ctx.Done():
		return 0, handoff.Unanswered.New("%v", ctx.Err())
	}
}

// runsAt reports whether the run goes on. The caller holds mu.
func (e *engines) runsAt(at time.Duration) bool { return e.ended == 0 && at >= e.begins && at < e.ends }

func (e *engines) EndRun(ctx context.Context, _ string, _, _ registry.Server) (string, bool, error) {
	at, err := e.answer(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	switch {
	case err != nil:
		return "", false, err
	case !e.runsAt(at):
		return "", false, handoff.NotRunning.New("no run")
	}
	e.ended = at
	e.held++
	return "handle", !e.noRoom, nil
}

func (e *engines) FreeCopy(ctx context.Context, _ registry.Server, _ string) error {
	_, err := e.answer(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	e.held--
	return err
}

func (e *engines) MayRun(ctx context.Context, _ string, _ registry.Server) (bool, bool, error) {
	at, err := e.answer(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	return e.runsAt(at), at < max(e.queue, e.begins), err
}

// counts returns when the run was ended, and the numbers of copies and of calls.
func (e *engines) counts() (ended time.Duration, held, calls int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended, e.held, e.calls
}

// newStopper returns a Stopper, and a channel that receives the outcome of each run.
func newStopper(e handoff.Engines) (*handoff.Stopper, <-chan handoff.Outcome) {
	outcomes := make(chan handoff.Outcome, 512)
	return handoff.NewStopper(e, handoff.WithObserver(func(o handoff.Outcome) { outcomes <- o })), outcomes
}

// TestRunGoesOnAfterCall checks that a run that was given up ends whatever its server is like, that the
// caller waits no longer than MaxWait, and that no copy is left behind.
func TestRunGoesOnAfterCall(t *testing.T) {
	const timeTold = 20 * time.Second
	for name, tt := range map[string]struct {
		engines *engines
		begun   bool
		// want is what the caller gets, wantAfter how long it waits.
		want      handoff.Outcome
		wantAfter time.Duration
		// wantEnded is when the run has ended by a call at the latest, zero if none is to end it.
		wantEnded time.Duration
	}{
		"runs":                           {engines: &engines{ends: timeTold}, begun: true, want: handoff.OutcomeMoved, wantEnded: 1},
		"other server has no room":       {engines: &engines{ends: timeTold, noRoom: true}, begun: true, want: handoff.OutcomeStopped, wantEnded: 1},
		"has ended":                      {engines: &engines{gone: true}, want: handoff.OutcomeGone},
		"has heard of it":                {engines: &engines{}, begun: true, want: handoff.OutcomeNotRunning},
		"has heard of it in its queue":   {engines: &engines{queue: time.Second}, want: handoff.OutcomeNotRunning},
		"runs later, from its queue":     {engines: &engines{begins: time.Second, ends: timeTold}, want: handoff.OutcomeNotRunning, wantEnded: 2 * time.Second},
		"runs much later":                {engines: &engines{begins: 12 * time.Second, ends: timeTold}, want: handoff.OutcomeNotRunning, wantEnded: 14 * time.Second},
		"answers late":                   {engines: &engines{ends: timeTold, delay: 400 * time.Millisecond}, begun: true, want: handoff.OutcomePending, wantAfter: handoff.MaxWait, wantEnded: 400 * time.Millisecond},
		"silent for a time":              {engines: &engines{ends: timeTold, silentUntil: 1500 * time.Millisecond}, begun: true, want: handoff.OutcomePending, wantAfter: handoff.MaxWait, wantEnded: 4 * time.Second},
		"silent for good":                {engines: &engines{ends: timeTold, silentUntil: time.Hour}, begun: true, want: handoff.OutcomePending, wantAfter: handoff.MaxWait},
		"ends by itself in the meantime": {engines: &engines{ends: 100 * time.Millisecond, delay: 200 * time.Millisecond}, begun: true, want: handoff.OutcomeNotRunning, wantAfter: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := tt.engines
				e.started = time.Now()
				s, outcomes := newStopper(e)
				run := handoff.Run{RequestID: "1", Server: registry.Server{ID: "a"}, Begun: tt.begun, Until: e.started.Add(timeTold)}
				copied, outcome := s.Stop(t.Context(), run, registry.Server{ID: "b"})
				must.Eq(t, tt.want, outcome)
				must.Eq(t, tt.wantAfter, time.Since(e.started))
				must.Eq(t, outcome == handoff.OutcomeMoved, !copied.IsZero())
				s.Release(copied)
				<-outcomes // the run is not looked at any more
				time.Sleep(timeTold)
				ended, held, calls := e.counts()
				must.Eq(t, 0, held)
				must.LessEq(t, tt.wantEnded, ended)
				must.Eq(t, tt.wantEnded > 0, ended > 0)
				must.LessEq(t, 20, calls)
			})
		})
	}
}

// TestRunGoesOnWithoutLaterRun checks that a run that no server continues is left alone if its server has heard
// the end of its connection, and is ended otherwise.
func TestRunGoesOnWithoutLaterRun(t *testing.T) {
	for name, tt := range map[string]struct {
		engines *engines
		want    handoff.Outcome
	}{
		"has heard of it": {&engines{ends: 100 * time.Millisecond}, handoff.OutcomeNotRunning},
		"runs":            {&engines{ends: time.Minute}, handoff.OutcomeStopped},
		"has ended":       {&engines{gone: true}, handoff.OutcomeGone},
		"cannot be reached until its time is over": {&engines{ends: time.Minute, silentUntil: time.Minute}, handoff.OutcomeUnanswered},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := tt.engines
				e.started = time.Now()
				s, outcomes := newStopper(e)
				s.StopLater(handoff.Run{RequestID: "1", Begun: true, Until: e.started.Add(20 * time.Second)}, registry.Server{ID: "b"})
				must.Eq(t, tt.want, <-outcomes)
				synctest.Wait()
				ended, held, _ := e.counts()
				must.Eq(t, 0, held)
				must.Eq(t, tt.want == handoff.OutcomeStopped, ended > 0)
			})
		})
	}
}

// TestPendingRunsAreBounded checks that runs at servers that do not answer do not pile up.
func TestPendingRunsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runs = 300
		s, outcomes := newStopper(&deaf{})
		for range runs {
			s.StopLater(handoff.Run{Until: time.Now().Add(time.Minute)}, registry.Server{})
		}
		counts := make(map[handoff.Outcome]int)
		for range runs {
			counts[<-outcomes]++
		}
		must.Eq(t, map[handoff.Outcome]int{handoff.OutcomeDropped: 44, handoff.OutcomeUnanswered: 256}, counts)
	})
}

// deaf are servers that never answer.
type deaf struct{ engines }

func (*deaf) MayRun(ctx context.Context, _ string, _ registry.Server) (bool, bool, error) {
	<-ctx.Done()
	return false, false, handoff.Unanswered.New("%v", ctx.Err())
}
