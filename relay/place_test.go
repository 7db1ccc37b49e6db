package relay_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// recordedPlaces records how places are given back.
type recordedPlaces struct {
	noRejectionLimits
	back      []string
	stillRuns time.Duration
}

func (p *recordedPlaces) Release(registry.Server) { p.back = append(p.back, "released") }
func (p *recordedPlaces) Reject(registry.Server)  { p.back = append(p.back, "rejected") }

func (p *recordedPlaces) Abandon(_ registry.Server, stillRuns time.Duration) {
	p.back, p.stillRuns = append(p.back, "abandoned"), stillRuns
}

// TestPlaceOfGivenUpRequest checks that the place of a request is kept for a while if the server may still
// run it, and no longer than the server was told that it has.
func TestPlaceOfGivenUpRequest(t *testing.T) {
	const timeout = 700 * time.Millisecond
	tests := []struct {
		name string
		// gone means that the client leaves as the server has the request.
		gone    bool
		respond func(context.Context) (relay.Response, error)
		want    string
	}{
		{"whole answer", false, respondWith(response{200, strings.NewReader("")}), "released"},
		{"the server's own failure", false, respondWith(response{404, strings.NewReader("")}), "released"},
		{"rejected", false, respondWith(declinedResponse{response{503, strings.NewReader("")}}), "rejected"},
		{"no connection", false, func(context.Context) (relay.Response, error) { return nil, relay.NotRun.New("refused") }, "released"},
		{"connection lost", false, func(context.Context) (relay.Response, error) { return nil, relay.Failed.New("reset") }, "abandoned"},
		{"answer broken off", false, respondWith(response{200, brokenBody("")}), "abandoned"},
		{"client left before the answer", true, func(ctx context.Context) (relay.Response, error) { return nil, relay.Failed.New("%v", ctx.Err()) }, "abandoned"},
		{"client left during the answer", true, respondWith(response{200, brokenBody("")}), "abandoned"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			places := &recordedPlaces{}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			b := &clientGoneDuring{cancelClient: func() {}, respond: tt.respond}
			if tt.gone {
				b.cancelClient = cancel
			}
			target := catalog.Route{Kind: catalog.KindOnce, Attempts: 1, Timeout: timeout, Objective: time.Second}
			serveUntil(ctx, t, target, relay.Options{Backends: b, Rejections: places}, relay.Request{Body: emptyBody(t)}, &recorder{})
			must.NotNil(t, places.back)
			for _, back := range places.back {
				must.Eq(t, tt.want, back)
			}
			if tt.want == "abandoned" {
				must.Positive(t, places.stillRuns)
				must.LessEq(t, timeout, places.stillRuns)
			}
		})
	}
}

// respondWith returns a server that gives a response.
func respondWith(r relay.Response) func(context.Context) (relay.Response, error) {
	return func(context.Context) (relay.Response, error) { return r, nil }
}
