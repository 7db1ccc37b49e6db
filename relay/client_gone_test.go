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

// clientGoneDuring lets the client leave while a server is at work, which then does
// as it is told.
type clientGoneDuring struct {
	cancelClient context.CancelFunc
	respond      func(ctx context.Context) (relay.Response, error)
	sends        int
	ctx          context.Context
}

func (b *clientGoneDuring) Send(ctx context.Context, _ registry.Server, _ relay.Call) (relay.Response, error) {
	b.sends++
	b.ctx = ctx
	b.cancelClient()
	return b.respond(ctx)
}

// lowConfidence is an answer of which its model has little confidence.
type lowConfidence struct{ response }

func (lowConfidence) Confidence() (float64, bool) { return 1, true }

// declinedResponse is an answer of a server that is full.
type declinedResponse struct{ response }

func (declinedResponse) Declined() bool { return true }

// brokenBody is a body that breaks off after a beginning.
func brokenBody(begun string) io.Reader {
	return io.MultiReader(strings.NewReader(begun), brokenReader{})
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken off") }

// TestNothingAfterLeaving: once the client has left, no failure, refusal, poor or
// broken answer makes a request be sent again, and the attempt's context has
// ended.
func TestNoRetryAfterClientGone(t *testing.T) {
	answer := func(a relay.Response) func(context.Context) (relay.Response, error) {
		return func(context.Context) (relay.Response, error) { return a, nil }
	}
	tests := []struct {
		name string
		does func(context.Context) (relay.Response, error)
	}{
		{"failed", func(context.Context) (relay.Response, error) { return nil, relay.Failed.New("reset") }},
		{"not reached", func(context.Context) (relay.Response, error) { return nil, relay.NotRun.New("refused") }},
		{"declined", answer(declinedResponse{response{503, strings.NewReader("")}})},
		{"server failed", answer(response{500, strings.NewReader("")})},
		{"little confidence", answer(lowConfidence{response{200, strings.NewReader("id: 1\n\n")}})},
		{"broken", answer(response{200, brokenBody("")})},
		{"broken in its middle", answer(response{200, brokenBody("id: 1\n\n")})},
	}
	kinds := map[string]catalog.Kind{"plain": catalog.KindRepeatable, "stream": catalog.KindStream}
	for _, tt := range tests {
		for kindName, kind := range kinds {
			t.Run(tt.name+" "+kindName, func(t *testing.T) {
				ctx, leave := context.WithCancel(t.Context())
				b := &clientGoneDuring{cancelClient: leave, respond: tt.does}
				target := catalog.Route{Kind: kind, Attempts: 3, Timeout: time.Minute, Objective: time.Second, Models: []string{"small", "large"}}
				serveUntil(ctx, t, target, relay.Parts{Backends: b}, relay.Request{Body: emptyBody(t), AnyModel: true}, &recorder{})
				must.Eq(t, 1, b.sends)
				must.Error(t, b.ctx.Err())
			})
		}
	}
}
