package relay_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// leavesDuring lets the client leave while a server is at work, which then does
// as it is told.
type leavesDuring struct {
	leave context.CancelFunc
	does  func(ctx context.Context) (relay.Response, error)
	sends int
	ended context.Context
}

func (b *leavesDuring) Send(ctx context.Context, _ registry.Server, _ relay.Call) (relay.Response, error) {
	b.sends++
	b.ended = ctx
	b.leave()
	return b.does(ctx)
}

// doubtful is an answer of which its model has little confidence.
type doubtful struct{ given }

func (doubtful) Confidence() (float64, bool) { return 1, true }

// declined is an answer of a server that is full.
type declined struct{ given }

func (declined) Declined() bool { return true }

// breaks is a body that breaks off after a beginning.
func breaks(begun string) io.Reader {
	return io.MultiReader(strings.NewReader(begun), brokenReader{})
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken off") }

// TestNothingAfterLeaving: once the client has left, no failure, refusal, poor or
// broken answer makes a request be sent again, and the attempt's context has
// ended.
func TestNothingAfterLeaving(t *testing.T) {
	answer := func(a relay.Response) func(context.Context) (relay.Response, error) {
		return func(context.Context) (relay.Response, error) { return a, nil }
	}
	tests := []struct {
		name string
		does func(context.Context) (relay.Response, error)
	}{
		{"failed", func(context.Context) (relay.Response, error) { return nil, relay.Failed.New("reset") }},
		{"not reached", func(context.Context) (relay.Response, error) { return nil, relay.NotRun.New("refused") }},
		{"declined", answer(declined{given{503, strings.NewReader("")}})},
		{"server failed", answer(given{500, strings.NewReader("")})},
		{"little confidence", answer(doubtful{given{200, strings.NewReader("id: 1\n\n")}})},
		{"broken", answer(given{200, breaks("")})},
		{"broken in its middle", answer(given{200, breaks("id: 1\n\n")})},
	}
	kinds := map[string]catalog.Kind{"plain": catalog.KindRepeatable, "stream": catalog.KindStream}
	for _, tt := range tests {
		for kindName, kind := range kinds {
			t.Run(tt.name+" "+kindName, func(t *testing.T) {
				ctx, leave := context.WithCancel(t.Context())
				b := &leavesDuring{leave: leave, does: tt.does}
				target := catalog.Route{Kind: kind, Attempts: 3, Timeout: time.Minute, Objective: time.Second, Models: []string{"small", "large"}}
				serveUntil(ctx, t, target, relay.Parts{Backends: b}, relay.Request{Body: noBody(t), AnyModel: true}, &received{})
				must.Eq(t, 1, b.sends)
				must.Error(t, b.ended.Err())
			})
		}
	}
}
