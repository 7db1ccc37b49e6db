package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
	"github.com/violettally/violettally/route"
)

// silence is a server that answers nothing, or a body that does not go on,
// until the request is given up.
type silence struct{ ctx context.Context }

func (s silence) Read([]byte) (int, error) {
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// silentFirst lets the first attempts fall silent: before their answer, or
// after the given beginning of it.
type silentFirst struct {
	silent int
	begun  string
	sent   []relay.Call
}

func (b *silentFirst) Send(ctx context.Context, _ registry.Server, call relay.Call) (relay.Answer, error) {
	b.sent = append(b.sent, call)
	switch {
	case len(b.sent) > b.silent:
		return given{200, strings.NewReader("id: 2\n\n")}, nil
	case b.begun != "":
		return given{200, io.MultiReader(strings.NewReader(b.begun), silence{ctx})}, nil
	}
	<-ctx.Done()
	return nil, relay.Failed.Wrap(ctx.Err(), "no answer")
}

// noMoves allows no request to be moved.
type noMoves struct{ noBound }

func (noMoves) Take(string, float64) bool { return false }

// TestLateServers: a request that may run again is taken away from a server
// that is late, in time for another one; others are not.
func TestLateServers(t *testing.T) {
	const objective, timeout = 2 * time.Second, 10 * time.Second
	tests := []struct {
		name     string
		kind     catalog.Kind
		backends silentFirst
		moves    relay.Budgets
		sends    int
		want     string
		within   time.Duration
	}{
		{"answer", catalog.KindRepeatable, silentFirst{silent: 1}, noBound{}, 2, "id: 2\n\n", objective},
		{"stream", catalog.KindStream, silentFirst{silent: 1}, noBound{}, 2, "id: 2\n\n", objective},
		{"stream, twice", catalog.KindStream, silentFirst{silent: 2}, noBound{}, 3, "id: 2\n\n", 2 * objective},
		{"stream, begun", catalog.KindStream, silentFirst{silent: 1, begun: "id: 1\n\n"}, noBound{}, 2, "id: 1\n\nid: 2\n\n", objective},
		{"stream, all attempts", catalog.KindStream, silentFirst{silent: 9}, noBound{}, 3, "", timeout + time.Second},
		{"may not run again", catalog.KindOnce, silentFirst{silent: 1}, noBound{}, 1, "", timeout + time.Second},
		{"too many moved", catalog.KindStream, silentFirst{silent: 1}, noMoves{}, 1, "", timeout + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, err := catalog.New(catalog.Document{
					Version:  1,
					Services: []catalog.Service{{Name: "s"}},
					Routes: []catalog.Route{{
						Name: "r", Host: "h", Prefix: "/", Kind: tt.kind, Resumable: true, Timeout: timeout, Attempts: 3,
						Objective: objective, MaxPause: time.Second, Targets: []catalog.Target{{Service: "s", Weight: 1}},
					}},
				})
				must.NoError(t, err)
				r := relay.New(relay.Parts{
					Catalog: func() *catalog.Catalog { return c }, Servers: threeServers{}, Versions: noRollout{},
					Balancer: route.NewBalancer("", func(string) {}), Ladder: cascade.NewLadder(), Budgets: noBound{}, Moves: tt.moves,
					Backends: &tt.backends, Records: decision.New("n"), Counters: noCounters{},
				})
				body, err := relay.NewBody(strings.NewReader(""), 0)
				must.NoError(t, err)
				got := &received{}
				start := time.Now()
				r.Serve(t.Context(), &relay.Request{ID: "1", Host: "h", Path: "/", Arrived: start, Body: body}, got)
				must.Eq(t, tt.want, got.String())
				must.Eq(t, tt.sends, len(tt.backends.sent))
				must.Less(t, tt.within, time.Since(start))
			})
		})
	}
}
