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

// play answers the n-th request that comes to a server.
type play func(ctx context.Context, server string, n int) relay.Response

// scripted are servers that answer as a play says.
type scripted struct {
	mu   sync.Mutex
	play play
	sent []string
}

// follow changes the play and forgets what was sent.
func (b *scripted) follow(p play) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.play, b.sent = p, nil
}

// sends returns how often the servers were sent a request under this play.
func (b *scripted) sends() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sent)
}

func (b *scripted) Send(ctx context.Context, s registry.Server, _ relay.Call) (relay.Response, error) {
	b.mu.Lock()
	b.sent = append(b.sent, s.ID)
	play, n := b.play, len(b.sent)
	b.mu.Unlock()
	answer := play(ctx, s.ID, n)
	if answer == nil {
		return nil, relay.Failed.New("no answer")
	}
	return answer, nil
}

// then is a stream of events with a pause before each but the first.
func then(ctx context.Context, pauses ...time.Duration) relay.Response {
	parts := []io.Reader{strings.NewReader("id: 1\n\n")}
	for i, d := range pauses {
		parts = append(parts, &pause{ctx, d, nil}, strings.NewReader("id: "+string(rune('2'+i))+"\n\n"))
	}
	return given{200, io.MultiReader(parts...)}
}

// prompted is a request that takes the usual time.
func prompted(t *testing.T) relay.Request {
	return relay.Request{Body: noBody(t), Prompt: relay.Prompt{Tokens: 100, MaxOutput: 200}}
}

// switched allows repeats while it is on.
type switched struct {
	noBound
	on atomic.Bool
}

func (s *switched) Take(string, float64) bool { return s.on.Load() }

// lasting is a stream that takes the given time.
func lasting(d time.Duration) play {
	return func(ctx context.Context, _ string, _ int) relay.Response { return then(ctx, d) }
}

// usual is a stream of streamTime.
var usual = lasting(streamTime)

// taught returns a relay that has seen such streams.
func taught(t *testing.T, b *scripted, target catalog.Route, parts relay.Parts, seenOnes play) *relay.Relay {
	target.Kind, target.Timeout, target.Attempts = catalog.KindStream, 20*time.Second, 3
	parts.Backends = b
	r := newRelay(t, target, parts)
	b.follow(seenOnes)
	for range seen {
		ask(t, r, prompted(t), &received{})
	}
	b.follow(usual)
	return r
}

// leave tells a relay that its process ends after the given time, and takes
// requests until then.
func leave(r *relay.Relay, left time.Duration) {
	end := time.Now().Add(left)
	r.Drain(relay.NewShutdown(time.Now(), end, end))
}

// TestNothingEndedInVain: what goes on, or is there whole, is given up only for
// what can be ended in its place.
func TestNothingEndedInVain(t *testing.T) {
	t.Run("a stream that pauses, others busy", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			moves := &switched{}
			b, servers := &scripted{}, &someServers{list: threeServers{}.Servers("")}
			target := catalog.Route{MaxPause: 800 * time.Millisecond, Objective: 2 * time.Second}
			r := taught(t, b, target, relay.Parts{Servers: servers, Reroutes: moves}, lasting(time.Second))
			servers.list = servers.list[1:]
			b.follow(func(ctx context.Context, _ string, _ int) relay.Response {
				select {
				case <-ctx.Done():
				case <-time.After(30 * time.Second):
				}
				return nil
			})
			for range 40 {
				go ask(t, r, prompted(t), &received{})
			}
			synctest.Wait()
			servers.list = threeServers{}.Servers("")
			moves.on.Store(true)
			b.follow(func(ctx context.Context, server string, _ int) relay.Response {
				return then(ctx, 1400*time.Millisecond)
			})
			leave(r, 2500*time.Millisecond)
			got := &received{}
			ask(t, r, prompted(t), got)
			must.Eq(t, "id: 1\n\nid: 2\n\n", got.String())
			must.False(t, got.broken)
			time.Sleep(time.Minute)
		})
	})
	t.Run("a stream that pauses late in its time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			moves, b := &switched{}, &scripted{}
			r := taught(t, b, catalog.Route{MaxPause: time.Second}, relay.Parts{Reroutes: moves}, usual)
			moves.on.Store(true)
			b.follow(func(ctx context.Context, _ string, n int) relay.Response {
				if n == 1 {
					return then(ctx, time.Second, time.Second, 1500*time.Millisecond)
				}
				return then(ctx, streamTime)
			})
			request, got := prompted(t), &received{}
			request.TimeLeft = 3800 * time.Millisecond
			ask(t, r, request, got)
			must.Eq(t, "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n", got.String())
			must.False(t, got.broken)
		})
	})
	for _, leaving := range []bool{true, false} {
		t.Run("a server's own failure", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &scripted{}
				r := taught(t, b, catalog.Route{}, relay.Parts{Reroutes: noMoves{}}, usual)
				const late = 5800 * time.Millisecond
				b.follow(func(ctx context.Context, _ string, n int) relay.Response {
					if n > 1 {
						return then(ctx, streamTime)
					}
					time.Sleep(late)
					return given{500, strings.NewReader("the server's own word")}
				})
				request, got := prompted(t), &received{}
				if leaving {
					leave(r, late+200*time.Millisecond)
				} else {
					request.TimeLeft = late + 200*time.Millisecond
				}
				ask(t, r, request, got)
				must.Eq(t, 500, got.status)
				must.Eq(t, 1, b.sends())
			})
		})
	}
	t.Run("a cheap model's answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &slowLarge{}
			target := catalog.Route{Kind: catalog.KindStream, Timeout: 2 * time.Hour, Attempts: 3, Models: threeModels}
			r := newRelay(t, target, relay.Parts{Backends: b, Reroutes: noMoves{}})
			for _, b.confidence = range []float64{90, 90, 90, 45, 45, 45} {
				ask(t, r, relay.Request{AnyModel: true, Body: noBody(t)}, &received{})
			}
			got := &received{}
			ask(t, r, relay.Request{AnyModel: true, Body: noBody(t), TimeLeft: streamTime / 2}, got)
			must.Eq(t, "id: 1\n\n", got.String())
			must.False(t, got.broken)
		})
	})
}

// someServers are those of a list.
type someServers struct {
	allUsable
	list []registry.Server
}

func (s *someServers) Servers(string) []registry.Server { return s.list }

// TestLengthsLearned: how long answers take is learned from whole ones, and from
// those that were cut off later than expected, and from nothing else; a stream
// that has just begun has all of its length before it.
func TestLengthsLearned(t *testing.T) {
	tests := []struct {
		name string
		// teach answers the n-th request before the stop.
		teach play
		// left is how long the process has then, taken whether a request is.
		left  time.Duration
		taken bool
	}{
		{"a stream that was not found is no stream", func(ctx context.Context, _ string, _ int) relay.Response {
			return given{404, strings.NewReader("no")}
		}, 3 * time.Second, false},
		{"two in three take longer than their clients wait", func(ctx context.Context, _ string, n int) relay.Response {
			if n%3 == 0 {
				return then(ctx, time.Second)
			}
			return then(ctx, time.Hour)
		}, 6 * time.Second, false},
		{"all as usual", usual, 6 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &scripted{}
				r := taught(t, b, catalog.Route{}, relay.Parts{Reroutes: noMoves{}}, usual)
				b.follow(tt.teach)
				for range 30 {
					ask(t, r, prompted(t), &received{})
				}
				b.follow(usual)
				leave(r, tt.left)
				ask(t, r, prompted(t), &received{})
				must.Eq(t, tt.taken, b.sends() > 0)
			})
		})
	}
	t.Run("a stream that broke off after its first event", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := &scripted{}
			r := taught(t, b, catalog.Route{}, relay.Parts{Reroutes: noMoves{}}, usual)
			// Waiting for the first event took most of the time.
			b.follow(func(ctx context.Context, _ string, n int) relay.Response {
				if n > 1 {
					return then(ctx, streamTime)
				}
				time.Sleep(3 * time.Second)
				return given{200, io.MultiReader(strings.NewReader("id: 1\n\n"), errorReader{io.ErrUnexpectedEOF})}
			})
			leave(r, 6*time.Second)
			got := &received{}
			ask(t, r, prompted(t), got)
			must.Eq(t, 1, b.sends())
			must.True(t, got.broken)
		})
	})
}
