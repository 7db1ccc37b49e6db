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

// clientGoneDuring cancels the client's context while the server handles the request, which
// then responds as given.
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

// lowConfidence is a response whose model reports low confidence.
type lowConfidence struct{ response }

func (lowConfidence) Confidence() (float64, bool) { return 1, true }

// declinedResponse is the response of a server that is full.
type declinedResponse struct{ response }

func (declinedResponse) Declined() bool { return true }

// brokenBody is a body that fails after the given text.
func brokenBody(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), brokenReader{})
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken off") }

// TestNoRetryAfterClientGone checks that no failure, refusal, low-confidence or truncated
// response leads to another attempt once the client has disconnected, and that the context of
// the attempt has ended.
func TestNoRetryAfterClientGone(t *testing.T) {
	returns := func(a relay.Response) func(context.Context) (relay.Response, error) {
		return func(context.Context) (relay.Response, error) { return a, nil }
	}
	tests := []struct {
		name    string
		respond func(context.Context) (relay.Response, error)
	}{
		{"failed", func(context.Context) (relay.Response, error) { return nil, relay.Failed.New("reset") }},
		{"unreachable", func(context.Context) (relay.Response, error) { return nil, relay.NotRun.New("refused") }},
		{"declined", returns(declinedResponse{response{503, strings.NewReader("")}})},
		{"server error", returns(response{500, strings.NewReader("")})},
		{"low confidence", returns(lowConfidence{response{200, strings.NewReader("id: 1\n\n")}})},
		{"truncated", returns(response{200, brokenBody("")})},
		{"truncated after an event", returns(response{200, brokenBody("id: 1\n\n")})},
	}
	kinds := map[string]catalog.Kind{"plain": catalog.KindRepeatable, "stream": catalog.KindStream}
	for _, tt := range tests {
		for kindName, kind := range kinds {
			t.Run(tt.name+" "+kindName, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := &clientGoneDuring{cancelClient: cancel, respond: tt.respond}
				target := catalog.Route{Kind: kind, Attempts: 3, Timeout: time.Minute, Objective: time.Second, Models: []string{"small", "large"}}
				serveUntil(ctx, t, target, relay.Options{Backends: b}, relay.Request{Body: emptyBody(t), AnyModel: true}, &recorder{})
				must.Eq(t, 1, b.sends)
				must.Error(t, b.ctx.Err())
			})
		}
	}
}
