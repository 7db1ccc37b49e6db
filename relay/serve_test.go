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

// responsesInTurn returns one response after the other.
type responsesInTurn struct{ responses []response }

func (b *responsesInTurn) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	next := b.responses[0]
	b.responses = b.responses[1:]
	return next, nil
}

// cutBody is a body that fails after the given text.
func cutBody(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), errorReader{errors.New("cut")})
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// TestTruncatedResponses checks that the client's response is complete or aborted, whatever
// follows a truncated response of a server.
func TestTruncatedResponses(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	const begun = "id: 1\ndata: a\n\n"
	tests := []struct {
		name      string
		kind      catalog.Kind
		responses []response
		want      string
		broken    bool
	}{
		{"plain, truncated within the buffer", catalog.KindRepeatable, []response{{200, cutBody("abc")}, {200, strings.NewReader("abcdef")}}, "abcdef", false},
		{"plain, truncated after the buffer", catalog.KindRepeatable, []response{{200, cutBody(large[:80<<10])}, {200, strings.NewReader(large)}}, large[:80<<10], true},
		{"stream, resumed", catalog.KindStream, []response{{200, cutBody(begun + "id: 2\nda")}, {200, strings.NewReader("id: 2\n\n")}}, begun + "id: 2\n\n", false},
		{"stream, then not found", catalog.KindStream, []response{{200, cutBody(begun)}, {404, strings.NewReader("error")}, {404, strings.NewReader("error")}}, begun, true},
		{"stream, then server error", catalog.KindStream, []response{{200, cutBody(begun)}, {500, strings.NewReader("error")}, {500, strings.NewReader("error")}}, begun, true},
		{"stream, truncated in its first event", catalog.KindStream, []response{{200, cutBody("id: 1\nda")}, {200, strings.NewReader(begun)}}, begun, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := catalog.Route{Kind: tt.kind, Timeout: 10 * time.Second, Attempts: 2}
			got := &recorder{}
			serve(t, target, relay.Options{Backends: &responsesInTurn{tt.responses}}, relay.Request{Body: emptyBody(t)}, got)
			must.Eq(t, tt.want, got.String())
			must.Eq(t, tt.broken, got.aborted)
			must.Eq(t, 200, got.status)
			must.Nil(t, got.refusal)
		})
	}
}
