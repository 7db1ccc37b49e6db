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

// An attempt was ended for another one that could not be ended in its place: a
// stream was taken away from a server that had paused, since it would have fitted
// there, and then refused to the others, which had more to do; an answer of a
// server, a failure or one of a cheap model, was dropped 200 ms before the end of
// the client's time for one that takes four seconds. In each case the client got
// a part, or nothing, of what had been there whole:
//
//	stalled at a
//	fits: 1003 ms to the answer's head and 556 ms from there (seen: true): false
//	broken off: stopped

// script answers the n-th request that comes to a server.
type script func(ctx context.Context, server string, n int) relay.Response

// scriptedBackends are servers that answer as a play says.
type scriptedBackends struct {
	mu     sync.Mutex
	script script
	sent   []string
}

// setScript changes the play and forgets what was sent.
func (b *scriptedBackends) setScript(p script) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.script, b.sent = p, nil
}

// sentCount returns how often the servers were sent a request under this play.
func (b *scriptedBackends) sentCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sent)
}

func (b *scriptedBackends) Send(ctx context.Context, s registry.Server, _ relay.Call) (relay.Response, error) {
	b.mu.Lock()
	b.sent = append(b.sent, s.ID)
	play, n := b.script, len(b.sent)
	b.mu.Unlock()
	answer := play(ctx, s.ID, n)
	if answer == nil {
		return nil, relay.Failed.New("no answer")
	}
	return answer, nil
}

// streamWithPauses is a stream of events with a pause before each but the first.
func streamWithPauses(ctx context.Context, pauses ...time.Duration) relay.Response {
	parts := []io.Reader{strings.NewReader("id: 1\n\n")}
	for i, d := range pauses {
		parts = append(parts, &silentPause{ctx, d, nil}, strings.NewReader("id: "+string(rune('2'+i))+"\n\n"))
	}
	return response{200, io.MultiReader(parts...)}
}

// requestWithPrompt is a request that takes the usual time.
func requestWithPrompt(t *testing.T) relay.Request {
	return relay.Request{Body: emptyBody(t), Prompt: relay.Prompt{Tokens: 100, MaxOutput: 200}}
}

// switchableBudget allows repeats while it is on.
type switchableBudget struct {
	unlimitedBudget
	on atomic.Bool
}

func (s *switchableBudget) Take(string, float64) bool { return s.on.Load() }

// streamsTaking is a stream that takes the given time.
func streamsTaking(d time.Duration) script {
	return func(ctx context.Context, _ string, _ int) relay.Response { return streamWithPauses(ctx, d) }
}

// usualStreams is a stream of streamTime.
var usualStreams = streamsTaking(streamDuration)

// newTrainedRelay returns a relay that has seen such streams.
func newTrainedRelay(t *testing.T, b *scriptedBackends, target catalog.Route, parts relay.Parts, seenOnes script) *relay.Relay {
	target.Kind, target.Timeout, target.Attempts = catalog.KindStream, 20*time.Second, 3
	parts.Backends = b
	r := newRelay(t, target, parts)
	b.setScript(seenOnes)
	for range trainingRequests {
		ask(t, r, requestWithPrompt(t), &recorder{})
	}
	b.setScript(usualStreams)
	return r
}

// drainWithin tells a relay that its process ends after the given time, and takes
// requests until then.
func drainWithin(r *relay.Relay, left time.Duration) {
	end := time.Now().Add(left)
	r.Drain(relay.NewShutdown(time.Now(), end, end))
}

// TestNothingEndedInVain: what goes on, or is there whole, is given up only for
// what can be ended in its place.
func TestNothingAbandonedWithoutReplacement(t *testing.T) {
	t.Run("a stream that pauses, others busy", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			moves := &switchableBudget{}
			b, servers := &scriptedBackends{}, &listedServers{list: threeServers{}.Servers("")}
			target := catalog.Route{MaxPause: 800 * time.Millisecond, Objective: 2 * time.Second}
			r := newTrainedRelay(t, b, target, relay.Parts{Servers: servers, Reroutes: moves}, streamsTaking(time.Second))
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
			moves.on.Store(true)
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
	t.Run("a stream that pauses late in its time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			moves, b := &switchableBudget{}, &scriptedBackends{}
			r := newTrainedRelay(t, b, catalog.Route{MaxPause: time.Second}, relay.Parts{Reroutes: moves}, usualStreams)
			moves.on.Store(true)
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
		t.Run("a server's own failure", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &scriptedBackends{}
				r := newTrainedRelay(t, b, catalog.Route{}, relay.Parts{Reroutes: noReroutes{}}, usualStreams)
				const late = 5800 * time.Millisecond
				b.setScript(func(ctx context.Context, _ string, n int) relay.Response {
					if n > 1 {
						return streamWithPauses(ctx, streamDuration)
					}
					time.Sleep(late)
					return response{500, strings.NewReader("the server's own word")}
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
	t.Run("a cheap model's answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &slowLargeModel{}
			target := catalog.Route{Kind: catalog.KindStream, Timeout: 2 * time.Hour, Attempts: 3, Models: threeModels}
			r := newRelay(t, target, relay.Parts{Backends: b, Reroutes: noReroutes{}})
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

// listedServers are those of a list.
type listedServers struct {
	allUsable
	list []registry.Server
}

func (s *listedServers) Servers(string) []registry.Server { return s.list }

// TestLengthsLearned: how long answers take is learned from whole ones, and from
// those that were cut off later than expected, and from nothing else; a stream
// that has just begun has all of its length before it.
func TestDurationsLearned(t *testing.T) {
	tests := []struct {
		name string
		// teach answers the n-th request before the stop.
		teach script
		// left is how long the process has then, taken whether a request is.
		left  time.Duration
		taken bool
	}{
		{"a stream that was not found is no stream", func(ctx context.Context, _ string, _ int) relay.Response {
			return response{404, strings.NewReader("no")}
		}, 3 * time.Second, false},
		{"two in three take longer than their clients wait", func(ctx context.Context, _ string, n int) relay.Response {
			if n%3 == 0 {
				return streamWithPauses(ctx, time.Second)
			}
			return streamWithPauses(ctx, time.Hour)
		}, 6 * time.Second, false},
		{"all as usual", usualStreams, 6 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &scriptedBackends{}
				r := newTrainedRelay(t, b, catalog.Route{}, relay.Parts{Reroutes: noReroutes{}}, usualStreams)
				b.setScript(tt.teach)
				for range 30 {
					ask(t, r, requestWithPrompt(t), &recorder{})
				}
				b.setScript(usualStreams)
				drainWithin(r, tt.left)
				ask(t, r, requestWithPrompt(t), &recorder{})
				must.Eq(t, tt.taken, b.sentCount() > 0)
			})
		})
	}
	t.Run("a stream that broke off after its first event", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &scriptedBackends{}
			r := newTrainedRelay(t, b, catalog.Route{}, relay.Parts{Reroutes: noReroutes{}}, usualStreams)
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
