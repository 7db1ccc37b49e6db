package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// silentBody returns nothing until the request is canceled.
type silentBody struct{ ctx context.Context }

func (s silentBody) Read([]byte) (int, error) {
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// silentBackends stop sending in the first attempts, either before the response or after the
// given prefix of it.
type silentBackends struct {
	silent int
	prefix string
	sent   []relay.Call
}

func (b *silentBackends) Send(ctx context.Context, _ registry.Server, call relay.Call) (relay.Response, error) {
	b.sent = append(b.sent, call)
	switch {
	case len(b.sent) > b.silent:
		return response{200, strings.NewReader("id: 2\n\n")}, nil
	case b.prefix != "":
		return response{200, io.MultiReader(strings.NewReader(b.prefix), silentBody{ctx})}, nil
	}
	<-ctx.Done()
	return nil, relay.Failed.Wrap(ctx.Err(), "no answer")
}

// slowClient reads slowly.
type slowClient struct{ recorder }

func (c *slowClient) Write(p []byte) error {
	time.Sleep(time.Minute)
	return c.recorder.Write(p)
}

// TestSlowClient checks that neither a client that reads slowly nor one that sends a long body
// slowly makes its server count as late.
func TestSlowClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := &readsRequestFirst{}
		slow := &slowClient{}
		serveStream(t, reads, strings.NewReader(""), slow)
		must.Eq(t, "id: 1\n\nid: 2\n\n", slow.String())
		must.Eq(t, 1, reads.sends)
		sends := &recorder{}
		serveStream(t, reads, io.MultiReader(strings.NewReader(strings.Repeat("x", 300<<10)), slowBody{}), sends)
		must.Nil(t, sends.refusal)
		must.Eq(t, 2, reads.sends)
	})
}

// slowBody takes a few seconds to end.
type slowBody struct{}

func (slowBody) Read([]byte) (int, error) {
	time.Sleep(5 * time.Second)
	return 0, io.EOF
}

// eventPerRead returns one event per read until its request is canceled.
type eventPerRead struct {
	ctx    context.Context
	events []string
}

func (e *eventPerRead) Read(p []byte) (int, error) {
	if e.ctx.Err() != nil {
		return 0, e.ctx.Err()
	}
	if len(e.events) == 0 {
		return 0, io.EOF
	}
	n := copy(p, e.events[0])
	e.events = e.events[1:]
	return n, nil
}

// readsRequestFirst responds once it has read the whole request.
type readsRequestFirst struct{ sends int }

func (b *readsRequestFirst) Send(ctx context.Context, _ registry.Server, call relay.Call) (relay.Response, error) {
	b.sends++
	if _, err := io.Copy(io.Discard, call.Request.Body.Reader()); err != nil || ctx.Err() != nil {
		return nil, relay.Failed.New("body: %v, %v", err, ctx.Err())
	}
	return response{200, &eventPerRead{ctx, []string{"id: 1\n\n", "id: 2\n\n"}}}, nil
}

// oneServer is a set of one server.
type oneServer struct{ allUsable }

func (oneServer) Servers(string) []*registry.Server { return []*registry.Server{{ID: "a"}} }

// slowBackend responds after a few seconds.
type slowBackend struct{ sends int }

func (b *slowBackend) Send(ctx context.Context, _ registry.Server, _ relay.Call) (relay.Response, error) {
	b.sends++
	time.Sleep(5 * time.Second)
	if ctx.Err() != nil {
		return nil, relay.Failed.Wrap(ctx.Err(), "no answer")
	}
	return response{200, strings.NewReader("id: 1\n\n")}, nil
}

// TestOnlyServer checks that no request is rerouted from the only server.
func TestOnlyServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, got := &slowBackend{}, &recorder{}
		serveStreamFrom(t, oneServer{}, slow, strings.NewReader(""), got)
		must.Eq(t, "id: 1\n\n", got.String())
		must.Eq(t, 1, slow.sends)
	})
}

// serveStream handles one request on a resumable stream route with three servers.
func serveStream(t *testing.T, backends relay.Backends, sent io.Reader, w relay.ResponseWriter) {
	serveStreamFrom(t, threeServers{}, backends, sent, w)
}

// serveStreamFrom handles one request on a resumable stream route with the given servers.
func serveStreamFrom(t *testing.T, servers relay.Servers, backends relay.Backends, sent io.Reader, w relay.ResponseWriter) {
	target := catalog.Route{Kind: catalog.KindStream, Timeout: time.Hour, Attempts: 3, Objective: 2 * time.Second, MaxPause: time.Second}
	body, err := relay.NewBody(sent, -1)
	must.NoError(t, err)
	serve(t, target, relay.Options{Servers: servers, Backends: backends}, relay.Request{Body: body}, w)
}

// TestLateServerReplaced checks that a repeatable request is rerouted from a late server in
// time, and that other requests are not.
func TestLateServerReplaced(t *testing.T) {
	const objective, timeout = 2 * time.Second, 10 * time.Second
	tests := []struct {
		name     string
		kind     catalog.Kind
		backends silentBackends
		reroutes relay.Budgets
		sends    int
		want     string
		within   time.Duration
	}{
		{"plain", catalog.KindRepeatable, silentBackends{silent: 1}, unlimitedBudget{}, 2, "id: 2\n\n", objective},
		{"stream", catalog.KindStream, silentBackends{silent: 1}, unlimitedBudget{}, 2, "id: 2\n\n", objective},
		{"stream, twice", catalog.KindStream, silentBackends{silent: 2}, unlimitedBudget{}, 3, "id: 2\n\n", 2 * objective},
		{"stream, after an event", catalog.KindStream, silentBackends{silent: 1, prefix: "id: 1\n\n"}, unlimitedBudget{}, 2, "id: 1\n\nid: 2\n\n", objective},
		{"stream, all attempts", catalog.KindStream, silentBackends{silent: 9}, unlimitedBudget{}, 3, "", timeout + time.Second},
		{"not repeatable", catalog.KindOnce, silentBackends{silent: 1}, unlimitedBudget{}, 1, "", timeout + time.Second},
		{"no reroute budget", catalog.KindStream, silentBackends{silent: 1}, noReroutes{}, 1, "", timeout + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := catalog.Route{Kind: tt.kind, Timeout: timeout, Attempts: 3, Objective: objective, MaxPause: time.Second}
				got := &recorder{}
				start := time.Now()
				serve(t, target, relay.Options{Backends: &tt.backends, Reroutes: tt.reroutes}, relay.Request{Body: emptyBody(t)}, got)
				must.Eq(t, tt.want, got.String())
				must.Eq(t, tt.sends, len(tt.backends.sent))
				must.Less(t, tt.within, time.Since(start))
			})
		})
	}
}
