package relay_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// These tests guard against ending an attempt in favor of another one that cannot complete in
// time. A paused stream was canceled since its own server would have finished it in time, and
// then no other server could; a 5xx response, or an answer of a cheap model, was dropped 200 ms
// before the client's deadline for an attempt that takes four seconds. The client then got a
// part or nothing of a response that had been complete.

// script returns the response to the n-th request that servers get.
type script func(ctx context.Context, server string, n int) relay.Response

// scriptedBackends respond according to a script.
type scriptedBackends struct {
	mu     sync.Mutex
	script script
	sent   []string
}

// setScript replaces the script and forgets the requests sent so far.
func (b *scriptedBackends) setScript(p script) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.script, b.sent = p, nil
}

// sentCount returns how many requests were sent under the present script.
func (b *scriptedBackends) sentCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sent)
}

func (b *scriptedBackends) Send(ctx context.Context, s registry.Server, _ relay.Call) (relay.Response, error) {
	b.mu.Lock()
	b.sent = append(b.sent, s.ID)
	script, n := b.script, len(b.sent)
	b.mu.Unlock()
	resp := script(ctx, s.ID, n)
	if resp == nil {
		return nil, relay.Failed.New("no answer")
	}
	return resp, nil
}

// streamWithPauses returns a stream of events with a pause before each but the first.
func streamWithPauses(ctx context.Context, pauses ...time.Duration) relay.Response {
	readers := []io.Reader{strings.NewReader("id: 1\n\n")}
	for i, d := range pauses {
		readers = append(readers, &silentPause{ctx, d, nil}, strings.NewReader("id: "+string(rune('2'+i))+"\n\n"))
	}
	return response{200, io.MultiReader(readers...)}
}

// requestWithPrompt returns a request of typical size.
func requestWithPrompt(t *testing.T) relay.Request {
	return relay.Request{Body: emptyBody(t), Prompt: relay.Prompt{Tokens: 100, MaxOutput: 200}}
}

// switchableBudget allows retries while it is on.
type switchableBudget struct {
	unlimitedBudget
	on atomic.Bool
}

func (s *switchableBudget) Take(string, float64) bool { return s.on.Load() }

// streamsTaking returns a script of streams that take the given time.
func streamsTaking(d time.Duration) script {
	return func(ctx context.Context, _ string, _ int) relay.Response { return streamWithPauses(ctx, d) }
}

// usualStreams take streamDuration.
var usualStreams = streamsTaking(streamDuration)

// newTrainedRelay returns a relay that has handled the streams of the script seen. Afterwards
// the script is usualStreams.
func newTrainedRelay(t *testing.T, b *scriptedBackends, target catalog.Route, options relay.Options, seen script) *relay.Relay {
	target.Kind, target.Timeout, target.Attempts = catalog.KindStream, 20*time.Second, 3
	options.Backends = b
	r := newRelay(t, target, options)
	b.setScript(seen)
	for range trainingRequests {
		ask(t, r, requestWithPrompt(t), &recorder{})
	}
	b.setScript(usualStreams)
	return r
}

// drainWithin starts a shutdown that ends after the given time and admits requests until then.
func drainWithin(r *relay.Relay, left time.Duration) {
	end := time.Now().Add(left)
	r.Drain(relay.NewShutdown(time.Now(), end, end))
}

// TestNothingAbandonedWithoutReplacement checks that a response which is complete or in
// progress is abandoned only for one that can complete in time.
func TestNothingAbandonedWithoutReplacement(t *testing.T) {
	t.Run("paused stream, other servers busy", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			reroutes := &switchableBudget{}
			b, servers := &scriptedBackends{}, &listedServers{list: threeServers{}.Servers("")}
			target := catalog.Route{MaxPause: 800 * time.Millisecond, Objective: 2 * time.Second}
			r := newTrainedRelay(t, b, target, relay.Options{Servers: servers, Reroutes: reroutes}, streamsTaking(time.Second))
			servers.list = servers.list[1:]
			b.setScript(func(ctx context.Context, _ string, _ int) relay.Response {
				select {
				case <-ctx.Done():
				case <-time.After(30 * time.Second):
				}
				return nil
			})
			for range 40 {
				go ask(t, r, requestWithPrompt(t), &recorder{})
			}
			synctest.Wait()
			servers.list = threeServers{}.Servers("")
			reroutes.on.Store(true)
			b.setScript(func(ctx context.Context, server string, _ int) relay.Response {
				return streamWithPauses(ctx, 1400*time.Millisecond)
			})
			drainWithin(r, 2500*time.Millisecond)
			got := &recorder{}
			ask(t, r, requestWithPrompt(t), got)
			must.Eq(t, "id: 1\n\nid: 2\n\n", got.String())
			must.False(t, got.aborted)
			time.Sleep(time.Minute)
		})
	})
	t.Run("paused stream, little time left", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			reroutes, b := &switchableBudget{}, &scriptedBackends{}
			r := newTrainedRelay(t, b, catalog.Route{MaxPause: time.Second}, relay.Options{Reroutes: reroutes}, usualStreams)
			reroutes.on.Store(true)
			b.setScript(func(ctx context.Context, _ string, n int) relay.Response {
				if n == 1 {
					return streamWithPauses(ctx, time.Second, time.Second, 1500*time.Millisecond)
				}
				return streamWithPauses(ctx, streamDuration)
			})
			request, got := requestWithPrompt(t), &recorder{}
			request.TimeLeft = 3800 * time.Millisecond
			ask(t, r, request, got)
			must.Eq(t, "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n", got.String())
			must.False(t, got.aborted)
		})
	})
	for _, leaving := range []bool{true, false} {
		t.Run("server error", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &scriptedBackends{}
				r := newTrainedRelay(t, b, catalog.Route{}, relay.Options{Reroutes: noReroutes{}}, usualStreams)
				const late = 5800 * time.Millisecond
				b.setScript(func(ctx context.Context, _ string, n int) relay.Response {
					if n > 1 {
						return streamWithPauses(ctx, streamDuration)
					}
					time.Sleep(late)
					return response{500, strings.NewReader("error of the server")}
				})
				request, got := requestWithPrompt(t), &recorder{}
				if leaving {
					drainWithin(r, late+200*time.Millisecond)
				} else {
					request.TimeLeft = late + 200*time.Millisecond
				}
				ask(t, r, request, got)
				must.Eq(t, 500, got.status)
				must.Eq(t, 1, b.sentCount())
			})
		})
	}
	t.Run("answer of a cheap model", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &slowLargeModel{}
			target := catalog.Route{Kind: catalog.KindStream, Timeout: 2 * time.Hour, Attempts: 3, Models: threeModels}
			r := newRelay(t, target, relay.Options{Backends: b, Reroutes: noReroutes{}})
			for _, b.confidence = range []float64{90, 90, 90, 45, 45, 45} {
				ask(t, r, relay.Request{AnyModel: true, Body: emptyBody(t)}, &recorder{})
			}
			got := &recorder{}
			ask(t, r, relay.Request{AnyModel: true, Body: emptyBody(t), TimeLeft: streamDuration / 2}, got)
			must.Eq(t, "id: 1\n\n", got.String())
			must.False(t, got.aborted)
		})
	})
}

// listedServers is a fixed list of servers.
type listedServers struct {
	allUsable
	list []*registry.Server
}

func (s *listedServers) Servers(string) []*registry.Server { return s.list }

// TestDurationsLearned checks that durations are learned from whole responses, and from those
// that were cut off later than expected, and from nothing else, and that a stream that has just
// begun counts with its whole duration.
func TestDurationsLearned(t *testing.T) {
	tests := []struct {
		name string
		// teach responds to the n-th request before the shutdown.
		teach script
		// left is the time until the process ends, admitted whether it accepts the request.
		left     time.Duration
		admitted bool
	}{
		{"404 responses of a stream route", func(ctx context.Context, _ string, _ int) relay.Response {
			return response{404, strings.NewReader("no")}
		}, 3 * time.Second, false},
		{"two of three exceed the client timeout", func(ctx context.Context, _ string, n int) relay.Response {
			if n%3 == 0 {
				return streamWithPauses(ctx, time.Second)
			}
			return streamWithPauses(ctx, time.Hour)
		}, 6 * time.Second, false},
		{"usual streams", usualStreams, 6 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &scriptedBackends{}
				r := newTrainedRelay(t, b, catalog.Route{}, relay.Options{Reroutes: noReroutes{}}, usualStreams)
				b.setScript(tt.teach)
				for range 30 {
					ask(t, r, requestWithPrompt(t), &recorder{})
				}
				b.setScript(usualStreams)
				drainWithin(r, tt.left)
				ask(t, r, requestWithPrompt(t), &recorder{})
				must.Eq(t, tt.admitted, b.sentCount() > 0)
			})
		})
	}
	t.Run("truncated after the first event", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &scriptedBackends{}
			r := newTrainedRelay(t, b, catalog.Route{}, relay.Options{Reroutes: noReroutes{}}, usualStreams)
			// Waiting for the first event took most of the time.
			b.setScript(func(ctx context.Context, _ string, n int) relay.Response {
				if n > 1 {
					return streamWithPauses(ctx, streamDuration)
				}
				time.Sleep(3 * time.Second)
				return response{200, io.MultiReader(strings.NewReader("id: 1\n\n"), errorReader{io.ErrUnexpectedEOF})}
			})
			drainWithin(r, 6*time.Second)
			got := &recorder{}
			ask(t, r, requestWithPrompt(t), got)
			must.Eq(t, 1, b.sentCount())
			must.True(t, got.aborted)
		})
	})
}
