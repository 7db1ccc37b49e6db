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
	// streamTime is how long answers take from their heads to their ends.
	streamTime = 4 * time.Second
	// seen is how many answers a relay has seen before its process is to end,
	// enough to be sure of how long they take.
	seen = 10
)

// timed is a server whose streams take streamTime between two events.
type timed struct {
	// breaksAfter lets the first stream break off so long after its first
	// event; below zero it does not.
	breaksAfter time.Duration
	sends       int
	// left is sent to when a request is given up before its end.
	left chan error
}

func newTimed() *timed { return &timed{breaksAfter: -1, left: make(chan error, 9)} }

func (b *timed) Send(ctx context.Context, _ registry.Server, _ relay.Call) (relay.Response, error) {
	b.sends++
	first := strings.NewReader("id: 1\n\n")
	if after := b.breaksAfter; after >= 0 {
		b.breaksAfter = -1
		return given{200, io.MultiReader(first, &pause{ctx, after, b.left}, errorReader{io.ErrUnexpectedEOF})}, nil
	}
	return given{200, io.MultiReader(first, &pause{ctx, streamTime, b.left}, strings.NewReader("id: 2\n\n"))}, nil
}

// pause is a time in which nothing comes.
type pause struct {
	ctx   context.Context
	takes time.Duration
	left  chan error
}

func (p *pause) Read([]byte) (int, error) {
	select {
	case <-time.After(p.takes):
		return 0, io.EOF
	case <-p.ctx.Done():
		select {
		case p.left <- context.Cause(p.ctx):
		default:
		}
		return 0, p.ctx.Err()
	}
}

// stopping is a relay before servers whose answers take streamTime, which have
// answered a few requests, and whose process then has the given time to go.
type stopping struct {
	backend *timed
	relay   *relay.Relay
}

func newStopping(t *testing.T, left time.Duration) *stopping {
	backend := newTimed()
	target := catalog.Route{Kind: catalog.KindStream, Timeout: 20 * time.Second, Attempts: 3}
	s := &stopping{backend, newRelay(t, target, relay.Parts{Backends: backend})}
	for range seen {
		s.ask(t)
	}
	backend.sends = 0
	leave(s.relay, left)
	return s
}

func (s *stopping) ask(t *testing.T) *received {
	got := &received{}
	ask(t, s.relay, relay.Request{Body: noBody(t), Prompt: relay.Prompt{Tokens: 100, MaxOutput: 200}}, got)
	return got
}

// TestTakenWhileLeaving: a relay whose process is to end takes what will be
// answered by then. Of the rest it says at once that it has not run, and no
// server gets it.
func TestTakenWhileLeaving(t *testing.T) {
	tests := []struct {
		name  string
		left  time.Duration
		taken bool
	}{
		{"time enough", 20 * time.Second, true},
		{"for twice as long", 2 * streamTime, true},
		{"for half", streamTime / 2, false},
		{"none", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStopping(t, tt.left)
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
func TestUnknownWhileLeaving(t *testing.T) {
	for _, timeout := range []time.Duration{5 * time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			backend := newTimed()
			r := newRelay(t, catalog.Route{Kind: catalog.KindStream, Timeout: timeout, Attempts: 3}, relay.Parts{Backends: backend})
			const left = 8 * time.Second
			leave(r, left)
			got := &received{}
			ask(t, r, relay.Request{Body: noBody(t)}, got)
			must.Eq(t, timeout < left, got.refusal == nil)
		})
	}
}

// TestBrokenWhileLeaving: a stream that breaks off is taken up at another server
// if it can be ended there. Otherwise the client is told at once, and turns to
// another node.
func TestBrokenWhileLeaving(t *testing.T) {
	const left = 2 * streamTime
	tests := []struct {
		breaksAfter time.Duration
		sends       int
	}{
		{0, 2},
		{left - streamTime/4, 1},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := newStopping(t, left)
			s.backend.breaksAfter = tt.breaksAfter
			start := time.Now()
			got := s.ask(t)
			must.Eq(t, tt.sends, s.backend.sends)
			must.Eq(t, tt.sends == 1, got.broken)
			if got.broken {
				must.Eq(t, tt.breaksAfter, time.Since(start))
			}
		})
	}
}

// slowLarge is a server whose large model takes streamTime, and whose models
// are as sure of their answers as they are told to be.
type slowLarge struct {
	confidence float64
	sent       []string
}

func (b *slowLarge) Send(ctx context.Context, _ registry.Server, call relay.Call) (relay.Response, error) {
	b.sent = append(b.sent, call.Model)
	body := io.Reader(strings.NewReader("id: 1\n\n"))
	if call.Model == "large" {
		body = io.MultiReader(body, &pause{ctx, streamTime, nil})
	}
	return rated{given{200, body}, b.confidence}, nil
}

// rated is an answer that tells its model's confidence.
type rated struct {
	given
	confidence float64
}

func (a rated) Confidence() (float64, bool) { return a.confidence, true }

// TestNoCostlierModelWhileLeaving: the answer of a cheap model goes out, however
// unsure it is, where a costlier model's would not be whole in time.
func TestNoCostlierModelWhileLeaving(t *testing.T) {
	tests := []struct {
		left time.Duration
		want []string
	}{
		{time.Hour, threeModels},
		{streamTime / 2, threeModels[:1]},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			backend := &slowLarge{}
			target := catalog.Route{Kind: catalog.KindStream, Timeout: 2 * time.Hour, Attempts: 3, Models: threeModels}
			r := newRelay(t, target, relay.Parts{Backends: backend, Reroutes: noMoves{}})
			for _, backend.confidence = range []float64{90, 90, 90, 45, 45, 45} {
				ask(t, r, relay.Request{AnyModel: true, Body: noBody(t)}, &received{})
			}
			backend.sent = nil
			leave(r, tt.left)
			ask(t, r, relay.Request{AnyModel: true, Body: noBody(t)}, &received{})
			must.Eq(t, tt.want, backend.sent)
		})
	}
}

// TestStop: what is under way when the process ends is ended, its client is
// told, and its server is left.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStopping(t, 20*time.Second)
		got, done := &received{}, make(chan struct{})
		go func() {
			defer close(done)
			ask(t, s.relay, relay.Request{Body: noBody(t), Prompt: relay.Prompt{Tokens: 100, MaxOutput: 200}}, got)
		}()
		synctest.Wait()
		s.relay.Close()
		<-done
		must.Eq(t, "id: 1\n\n", got.String())
		must.True(t, got.broken)
		must.ErrorContains(t, <-s.backend.left, "the process ends")
	})
}

// TestTakenLate: what comes after the last time for it, on a connection that was
// open or whose header had begun, is taken only if its own time ends first: it
// must not be broken off by any chance.
func TestTakenLate(t *testing.T) {
	for _, timeLeft := range []time.Duration{streamTime / 2, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			b := &scripted{}
			r := taught(t, b, catalog.Route{}, relay.Parts{}, usual)
			b.follow(lasting(time.Second))
			const left = 2 * streamTime
			now := time.Now()
			r.Drain(relay.NewShutdown(now.Add(-time.Second), now, now.Add(left)))
			time.Sleep(time.Millisecond)
			request, got := prompted(t), &received{}
			request.TimeLeft = timeLeft
			ask(t, r, request, got)
			must.Eq(t, timeLeft < left, got.refusal == nil)
		})
	}
}
