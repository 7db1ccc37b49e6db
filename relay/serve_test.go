package relay_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
)

// threeServers are all there are.
type threeServers struct{}

func (threeServers) Servers(string) []registry.Server {
	return []registry.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

// noRollout lets every server get every request.
type noRollout struct{}

func (noRollout) Choose(_, _, _ string, s []registry.Server) ([]registry.Server, string) {
	return s, ""
}
func (noRollout) Begin(_, _ string)                   {}
func (noRollout) End(_, _ string)                     {}
func (noRollout) Count(_, _ string, _ rollout.Answer) {}

// noBound lets every request be sent again.
type noBound struct{}

func (noBound) Paid(string)                 {}
func (noBound) Take(string, float64) bool   { return true }
func (noBound) Allows(string, float64) bool { return true }

type noCounters struct{}

func (noCounters) Refused(relay.Reason, string)                       {}
func (noCounters) Retried(relay.Reason)                               {}
func (noCounters) Escalated(string)                                   {}
func (noCounters) Resumed()                                           {}
func (noCounters) Answered(string, int, time.Duration, time.Duration) {}

// given is a server's answer.
type given struct {
	status int
	body   io.Reader
}

func (a given) Status() int                 { return a.status }
func (a given) Header() http.Header         { return http.Header{} }
func (a given) Declined() bool              { return false }
func (a given) Confidence() (float64, bool) { return 0, false }
func (a given) Load() (route.Load, bool)    { return route.Load{}, false }
func (a given) RetryAfter() time.Duration   { return 0 }
func (a given) Body() io.Reader             { return a.body }
func (a given) Close()                      {}

// inTurn gives one answer after the other.
type inTurn struct{ answers []given }

func (b *inTurn) Send(context.Context, registry.Server, relay.Call) (relay.Answer, error) {
	a := b.answers[0]
	b.answers = b.answers[1:]
	return a, nil
}

// received is what a client gets.
type received struct {
	bytes.Buffer
	status  int
	broken  bool
	refusal *relay.Refusal
}

func (r *received) Begin(a relay.Answer) { r.status = a.Status() }
func (r *received) Write(p []byte) error {
	r.Buffer.Write(p)
	return nil
}
func (r *received) Refuse(refusal *relay.Refusal) { r.refusal = refusal }
func (r *received) BreakOff()                     { r.broken = true }

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
			c, err := catalog.New(catalog.Document{
				Version:  1,
				Services: []catalog.Service{{Name: "s"}},
				Routes: []catalog.Route{{
					Name: "r", Host: "h", Prefix: "/", Kind: tt.kind, Resumable: true, Timeout: 10 * time.Second, Attempts: 2,
					Targets: []catalog.Target{{Service: "s", Weight: 1}},
				}},
			})
			must.NoError(t, err)
			r := relay.New(relay.Parts{
				Catalog: func() *catalog.Catalog { return c }, Servers: threeServers{}, Versions: noRollout{},
				Balancer: route.NewBalancer("", func(string) {}), Ladder: cascade.NewLadder(), Budgets: noBound{}, Moves: noBound{},
				Backends: &inTurn{tt.answers}, Records: decision.New("n"), Counters: noCounters{},
			})
			body, err := relay.NewBody(strings.NewReader(""), 0)
			must.NoError(t, err)
			got := &received{}
			r.Serve(t.Context(), &relay.Request{ID: "1", Host: "h", Path: "/", Arrived: time.Now(), Body: body}, got)
			must.Eq(t, tt.want, got.String())
			must.Eq(t, tt.broken, got.broken)
			must.Eq(t, 200, got.status)
			must.Nil(t, got.refusal)
		})
	}
}
