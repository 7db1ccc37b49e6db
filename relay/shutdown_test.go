package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

const (
	// streamDuration is the time from header to end of a response.
	streamDuration = 4 * time.Second
	// trainingRequests is how many responses a relay has seen before its shutdown, enough to
	// know their duration.
	trainingRequests = 10
)

// timedBackend sends streams with streamDuration between two events.
type timedBackend struct {
	// truncateAfter is when the first stream breaks off after its first event; never if below
	// zero.
	truncateAfter time.Duration
	sends         int
	// abandoned receives the cause when a request is canceled before its end.
	abandoned chan error
}

func newTimedBackend() *timedBackend {
	return &timedBackend{truncateAfter: -1, abandoned: make(chan error, 9)}
}

func (b *timedBackend) Send(ctx context.Context, _ registry.Server, _ relay.Call) (relay.Response, error) {
	b.sends++
	first := strings.NewReader("id: 1\n\n")
	if after := b.truncateAfter; after >= 0 {
		b.truncateAfter = -1
		return response{200, io.MultiReader(first, &silentPause{ctx, after, b.abandoned}, errorReader{io.ErrUnexpectedEOF})}, nil
	}
	return response{200, io.MultiReader(first, &silentPause{ctx, streamDuration, b.abandoned}, strings.NewReader("id: 2\n\n"))}, nil
}

// silentPause is a reader that returns no data for some time.
type silentPause struct {
	ctx       context.Context
	takes     time.Duration
	abandoned chan error
}

func (p *silentPause) Read([]byte) (int, error) {
	select {
	case <-time.After(p.takes):
		return 0, io.EOF
	case <-p.ctx.Done():
		select {
		case p.abandoned <- context.Cause(p.ctx):
		default:
		}
		return 0, p.ctx.Err()
	}
}

// drainingRelay is a relay that has handled a few requests of streamDuration and shuts down
// after a given time.
type drainingRelay struct {
	backend *timedBackend
	relay   *relay.Relay
}

func newDrainingRelay(t *testing.T, left time.Duration) *drainingRelay {
	backend := newTimedBackend()
	target := catalog.Route{Kind: catalog.KindStream, Timeout: 20 * time.Second, Attempts: 3}
	s := &drainingRelay{backend, newRelay(t, target, relay.Parts{Backends: backend})}
	for range trainingRequests {
		s.ask(t)
	}
	backend.sends = 0
	drainWithin(s.relay, left)
	return s
}

func (s *drainingRelay) ask(t *testing.T) *recorder {
	got := &recorder{}
	ask(t, s.relay, relay.Request{Body: emptyBody(t), Prompt: relay.Prompt{Tokens: 100, MaxOutput: 200}}, got)
	return got
}

// TestAdmissionWhileDraining checks that a draining relay admits requests that will complete in
// time, and refuses the others at once as not run, without sending them to a server.
func TestAdmissionWhileDraining(t *testing.T) {
	tests := []struct {
		name     string
		left     time.Duration
		admitted bool
	}{
		{"ample time", 20 * time.Second, true},
		{"twice the duration", 2 * streamDuration, true},
		{"half the duration", streamDuration / 2, false},
		{"no time", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDrainingRelay(t, tt.left)
				start := time.Now()
				got := s.ask(t)
				if tt.admitted {
					must.Eq(t, "id: 1\n\nid: 2\n\n", got.String())
					return
				}
				must.NotNil(t, got.refusal)
				must.Eq(t, relay.ReasonLeaving, got.refusal.Reason())
				must.Eq(t, 503, got.refusal.Status())
				must.Positive(t, got.refusal.RetryAfter())
				must.Eq(t, 0, s.backend.sends)
				must.Eq(t, 0, time.Since(start))
			})
		})
	}
}

// TestUnknownDurationWhileDraining checks that a relay that has seen no such responses admits
// only requests whose route timeout ends before the shutdown.
func TestUnknownDurationWhileDraining(t *testing.T) {
	for _, timeout := range []time.Duration{5 * time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			backend := newTimedBackend()
			r := newRelay(t, catalog.Route{Kind: catalog.KindStream, Timeout: timeout, Attempts: 3}, relay.Parts{Backends: backend})
			const left = 8 * time.Second
			drainWithin(r, left)
			got := &recorder{}
			ask(t, r, relay.Request{Body: emptyBody(t)}, got)
			must.Eq(t, timeout < left, got.refusal == nil)
		})
	}
}

// TestTruncationWhileDraining checks that a truncated stream is resumed at another server if it
// can complete there in time, and is otherwise aborted at once, so that the client turns to
// another node.
func TestTruncationWhileDraining(t *testing.T) {
	const left = 2 * streamDuration
	tests := []struct {
		breaksAfter time.Duration
		sends       int
	}{
		{0, 2},
		{left - streamDuration/4, 1},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := newDrainingRelay(t, left)
			s.backend.truncateAfter = tt.breaksAfter
			start := time.Now()
			got := s.ask(t)
			must.Eq(t, tt.sends, s.backend.sends)
			must.Eq(t, tt.sends == 1, got.aborted)
			if got.aborted {
				must.Eq(t, tt.breaksAfter, time.Since(start))
			}
		})
	}
}

// slowLargeModel is a server whose large model takes streamDuration and whose models report the
// given confidence.
type slowLargeModel struct {
	confidence float64
	sent       []string
}

func (b *slowLargeModel) Send(ctx context.Context, _ registry.Server, call relay.Call) (relay.Response, error) {
	b.sent = append(b.sent, call.Model)
	body := io.Reader(strings.NewReader("id: 1\n\n"))
	if call.Model == "large" {
		body = io.MultiReader(body, &silentPause{ctx, streamDuration, nil})
	}
	return ratedResponse{response{200, body}, b.confidence}, nil
}

// ratedResponse is a response with a confidence.
type ratedResponse struct {
	response
	confidence float64
}

func (a ratedResponse) Confidence() (float64, bool) { return a.confidence, true }

// TestNoEscalationWhileDraining checks that the answer of a cheap model is delivered, whatever
// its confidence, if the answer of a more expensive one would not complete in time.
func TestNoEscalationWhileDraining(t *testing.T) {
	tests := []struct {
		left time.Duration
		want []string
	}{
		{time.Hour, threeModels},
		{streamDuration / 2, threeModels[:1]},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			backend := &slowLargeModel{}
			target := catalog.Route{Kind: catalog.KindStream, Timeout: 2 * time.Hour, Attempts: 3, Models: threeModels}
			r := newRelay(t, target, relay.Parts{Backends: backend, Reroutes: noReroutes{}})
			for _, backend.confidence = range []float64{90, 90, 90, 45, 45, 45} {
				ask(t, r, relay.Request{AnyModel: true, Body: emptyBody(t)}, &recorder{})
			}
			backend.sent = nil
			drainWithin(r, tt.left)
			ask(t, r, relay.Request{AnyModel: true, Body: emptyBody(t)}, &recorder{})
			must.Eq(t, tt.want, backend.sent)
		})
	}
}

// TestClose checks that open requests are ended: the client's response is aborted and the
// attempt at the server canceled.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDrainingRelay(t, 20*time.Second)
		got, done := &recorder{}, make(chan struct{})
		go func() {
			defer close(done)
			ask(t, s.relay, relay.Request{Body: emptyBody(t), Prompt: relay.Prompt{Tokens: 100, MaxOutput: 200}}, got)
		}()
		synctest.Wait()
		s.relay.Close()
		<-done
		must.Eq(t, "id: 1\n\n", got.String())
		must.True(t, got.aborted)
		must.ErrorContains(t, <-s.backend.abandoned, "the process ends")
	})
}

// TestAdmissionAfterLastAdmit checks that a request that arrives after lastAdmit, on an open
// connection or with its header already begun, is admitted only if its own deadline is before
// the end, so that it is never cut off.
func TestAdmissionAfterLastAdmit(t *testing.T) {
	for _, timeLeft := range []time.Duration{streamDuration / 2, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			b := &scriptedBackends{}
			r := newTrainedRelay(t, b, catalog.Route{}, relay.Parts{}, usualStreams)
			b.setScript(streamsTaking(time.Second))
			const left = 2 * streamDuration
			now := time.Now()
			r.Drain(relay.NewShutdown(now.Add(-time.Second), now, now.Add(left)))
			time.Sleep(time.Millisecond)
			request, got := requestWithPrompt(t), &recorder{}
			request.TimeLeft = timeLeft
			ask(t, r, request, got)
			must.Eq(t, timeLeft < left, got.refusal == nil)
		})
	}
}
