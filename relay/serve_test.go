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

// inTurn gives one answer after the other.
type inTurn struct{ answers []given }

func (b *inTurn) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	a := b.answers[0]
	b.answers = b.answers[1:]
	return a, nil
}

// cut is a body that breaks off after its text.
func cut(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), errorReader{errors.New("cut")})
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// TestBrokenAnswers: whatever follows an answer that broke off, what the
// client gets is whole, or is broken off.
func TestBrokenAnswers(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	const begun = "id: 1\ndata: a\n\n"
	tests := []struct {
		name    string
		kind    catalog.Kind
		answers []given
		want    string
		broken  bool
	}{
		{"plain, within the headroom", catalog.KindRepeatable, []given{{200, cut("abc")}, {200, strings.NewReader("abcdef")}}, "abcdef", false},
		{"plain, after the headroom", catalog.KindRepeatable, []given{{200, cut(large[:80<<10])}, {200, strings.NewReader(large)}}, large[:80<<10], true},
		{"stream, taken up", catalog.KindStream, []given{{200, cut(begun + "id: 2\nda")}, {200, strings.NewReader("id: 2\n\n")}}, begun + "id: 2\n\n", false},
		{"stream, then not found", catalog.KindStream, []given{{200, cut(begun)}, {404, strings.NewReader("error")}, {404, strings.NewReader("error")}}, begun, true},
		{"stream, then failed", catalog.KindStream, []given{{200, cut(begun)}, {500, strings.NewReader("error")}, {500, strings.NewReader("error")}}, begun, true},
		{"stream, cut before its first event", catalog.KindStream, []given{{200, cut("id: 1\nda")}, {200, strings.NewReader(begun)}}, begun, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := catalog.Route{Kind: tt.kind, Timeout: 10 * time.Second, Attempts: 2}
			got := &received{}
			serve(t, target, relay.Parts{Backends: &inTurn{tt.answers}}, relay.Request{Body: noBody(t)}, got)
			must.Eq(t, tt.want, got.String())
			must.Eq(t, tt.broken, got.broken)
			must.Eq(t, 200, got.status)
			must.Nil(t, got.refusal)
		})
	}
}
