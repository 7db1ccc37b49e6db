package relay_test

import (
	"bytes"
	"cmp"
	"context"
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

// serve passes one request on a resumable route through a relay.
func serve(t *testing.T, target catalog.Route, parts relay.Parts, request relay.Request, reply relay.Reply) {
	serveUntil(t.Context(), t, target, parts, request, reply)
}

// serveUntil is serve for a client that leaves when the context ends.
func serveUntil(ctx context.Context, t *testing.T, target catalog.Route, parts relay.Parts, request relay.Request, reply relay.Reply) {
	askUntil(ctx, newRelay(t, target, parts), request, reply)
}

// ask passes one request through a relay.
func ask(t *testing.T, r *relay.Relay, request relay.Request, reply relay.Reply) {
	askUntil(t.Context(), r, request, reply)
}

// askUntil is ask for a client that leaves when the context ends.
func askUntil(ctx context.Context, r *relay.Relay, request relay.Request, reply relay.Reply) {
	request.ID, request.Host, request.Path, request.Arrived = "1", "h", "/", time.Now()
	r.Serve(ctx, &request, reply)
}

// newRelay returns a relay with a resumable route. Parts that are not given are
// the usual ones: three servers, no roll-out, no bounds.
func newRelay(t *testing.T, target catalog.Route, parts relay.Parts) *relay.Relay {
	target.Name, target.Host, target.Prefix, target.Resumable = "r", "h", "/", true
	target.Targets = []catalog.Target{{Service: "s", Weight: 1}}
	c, err := catalog.New(catalog.Document{
		Version:  1,
		Services: []catalog.Service{{Name: "s"}},
		Routes:   []catalog.Route{target},
	})
	must.NoError(t, err)
	parts.Catalog = func() *catalog.Catalog { return c }
	parts.Servers = cmp.Or[relay.Servers](parts.Servers, threeServers{})
	parts.Budgets = cmp.Or[relay.Budgets](parts.Budgets, noBound{})
	parts.Moves = cmp.Or[relay.Budgets](parts.Moves, noBound{})
	parts.News = cmp.Or[relay.News](parts.News, noNews{})
	parts.Suspects = cmp.Or[relay.Suspects](parts.Suspects, noSuspects{})
	parts.Versions = cmp.Or[relay.Versions](parts.Versions, noRollout{})
	parts.Counters = noCounters{}
	parts.Balancer = cmp.Or(parts.Balancer, route.NewBalancer("", func(string) {}))
	parts.Ladder = cascade.NewConfidencePolicy()
	parts.Records = cmp.Or(parts.Records, decision.New("n"))
	return relay.New(parts)
}

// noBody is that of a request without one.
func noBody(t *testing.T) *relay.Body {
	body, err := relay.NewBody(strings.NewReader(""), 0)
	must.NoError(t, err)
	return body
}

// noSuspects knows nothing against any request.
type noSuspects struct{}

func (noSuspects) Empty() bool                       { return true }
func (noSuspects) Refuses(uint64) bool               { return false }
func (noSuspects) Test(context.Context, uint64) bool { return false }
func (noSuspects) Lost(uint64, uint64)               {}
func (noSuspects) Left(uint64, uint64)               {}
func (noSuspects) Ends(uint64) int                   { return 0 }
func (noSuspects) Answered(uint64)                   {}
func (noSuspects) Runs(uint64, time.Time, time.Time) {}

// noNews is of a process that knows all there is.
type noNews struct{}

func (noNews) Revision() int64        { return 1 }
func (noNews) Age() time.Duration     { return 0 }
func (noNews) InDoubt() bool          { return false }
func (noNews) Settle(context.Context) {}

// threeServers are all there are.
type threeServers struct{ allUsable }

func (threeServers) Servers(string) []registry.Server {
	return []registry.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

// allUsable are servers that stay.
type allUsable struct{}

func (allUsable) Usable(registry.Incarnation) bool { return true }

// noRollout lets every server get every request.
type noRollout struct{}

func (noRollout) Choose(_, _, _ string, s []registry.Server) ([]registry.Server, string) {
	return s, ""
}
func (noRollout) Begin(_, _, _ string)                {}
func (noRollout) End(_, _, _ string)                  {}
func (noRollout) Count(_, _ string, _ rollout.Answer) {}

// noBound lets every request be sent again.
type noBound struct{}

func (noBound) RecordRequest(string)        {}
func (noBound) Take(string, float64) bool   { return true }
func (noBound) Allows(string, float64) bool { return true }

// noMoves allows no request to be moved.
type noMoves struct{ noBound }

func (noMoves) Take(string, float64) bool { return false }

type noCounters struct{}

func (noCounters) Refused(relay.Reason, string)                       {}
func (noCounters) Retried(relay.Reason)                               {}
func (noCounters) Escalated(string)                                   {}
func (noCounters) Resumed()                                           {}
func (noCounters) Sent(time.Duration)                                 {}
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
func (a given) Opened() time.Time           { return time.Time{} }
func (a given) Body() io.Reader             { return a.body }
func (a given) Close()                      {}

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
