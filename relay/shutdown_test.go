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
	// streamDuration is how long answers take from their heads to their ends.
	streamDuration = 4 * time.Second
	// trainingRequests is how many answers a relay has seen before its process is to end,
	// enough to be sure of how long they take.
	trainingRequests = 10
)

// timedBackend is a server whose streams take streamTime between two events.
type timedBackend struct {
	// truncateAfter lets the first stream break off so long after its first
	// event; below zero it does not.
	truncateAfter time.Duration
	sends         int
	// abandoned is sent to when a request is given up before its end.
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

// silentPause is a time in which nothing comes.
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

// drainingRelay is a relay before servers whose answers take streamTime, which have
// answered a few requests, and whose process then has the given time to go.
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

// TestTakenWhileLeaving: a relay whose process is to end takes what will be
// answered by then. Of the rest it says at once that it has not run, and no
// server gets it.
func TestAdmissionWhileDraining(t *testing.T) {
	tests := []struct {
		name  string
		left  time.Duration
		taken bool
	}{
		{"time enough", 20 * time.Second, true},
		{"for twice as long", 2 * streamDuration, true},
		{"for half", streamDuration / 2, false},
		{"none", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDrainingRelay(t, tt.left)
				start := time.Now()
				got := s.ask(t)
				if tt.taken {
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

// TestUnknownWhileLeaving: a relay that has seen no such answer takes only what
// its route's time bounds.
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

// TestBrokenWhileLeaving: a stream that breaks off is taken up at another server
// if it can be ended there. Otherwise the client is told at once, and turns to
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

// slowLargeModel is a server whose large model takes streamTime, and whose models
// are as sure of their answers as they are told to be.
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

// ratedResponse is an answer that tells its model's confidence.
type ratedResponse struct {
	response
	confidence float64
}

func (a ratedResponse) Confidence() (float64, bool) { return a.confidence, true }

// TestNoCostlierModelWhileLeaving: the answer of a cheap model goes out, however
// unsure it is, where a costlier model's would not be whole in time.
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

// TestStop: what is under way when the process ends is ended, its client is
// told, and its server is left.
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

// TestTakenLate: what comes after the last time for it, on a connection that was
// open or whose header had begun, is taken only if its own time ends first: it
// must not be broken off by any chance.
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
