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
	"github.com/violettally/violettally/handoff"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/relay"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/throttle"
)

// serve handles one request on a resumable route with a new relay.
func serve(t *testing.T, target catalog.Route, options relay.Options, request relay.Request, w relay.ResponseWriter) {
	serveUntil(t.Context(), t, target, options, request, w)
}

// serveUntil is serve for a client whose connection lasts until ctx ends.
func serveUntil(ctx context.Context, t *testing.T, target catalog.Route, options relay.Options, request relay.Request, w relay.ResponseWriter) {
	askUntil(ctx, newRelay(t, target, options), request, w)
}

// ask handles one request.
func ask(t *testing.T, r *relay.Relay, request relay.Request, w relay.ResponseWriter) {
	askUntil(t.Context(), r, request, w)
}

// askUntil is ask for a client whose connection lasts until ctx ends.
func askUntil(ctx context.Context, r *relay.Relay, request relay.Request, w relay.ResponseWriter) {
	request.ID, request.Host, request.Path, request.Arrived = "1", "h", "/", time.Now()
	r.Serve(ctx, &request, w)
}

// newRelay returns a relay with a resumable route. The defaults are three servers, no rollout
// and unlimited budgets.
func newRelay(t *testing.T, target catalog.Route, options relay.Options) *relay.Relay {
	target.Name, target.Host, target.Prefix, target.Resumable = "r", "h", "/", true
	target.Targets = []catalog.Target{{Service: "s", Weight: 1}}
	c, err := catalog.New(catalog.Document{
		Version:  1,
		Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{}}},
		Routes:   []catalog.Route{target},
	})
	must.NoError(t, err)
	options.Catalog = func() *catalog.Catalog { return c }
	options.Servers = cmp.Or[relay.Servers](options.Servers, threeServers{})
	options.WarmUps = cmp.Or[relay.WarmUps](options.WarmUps, allWarm{})
	options.Notices = cmp.Or[relay.Notices](options.Notices, noNotices{})
	options.Throttle = cmp.Or[relay.Throttle](options.Throttle, noLimits{})
	options.Rejections = cmp.Or[relay.Rejections](options.Rejections, noRejectionLimits{})
	options.Budgets = cmp.Or[relay.Budgets](options.Budgets, unlimitedBudget{})
	options.Reroutes = cmp.Or[relay.Budgets](options.Reroutes, unlimitedBudget{})
	options.StoreView = cmp.Or[relay.StoreView](options.StoreView, freshView{})
	options.Suspects = cmp.Or[relay.Suspects](options.Suspects, noSuspects{})
	options.Versions = cmp.Or[relay.Versions](options.Versions, noRollout{})
	options.Counters = noCounters{}
	options.Handoffs = cmp.Or[relay.Handoffs](options.Handoffs, noHandoffs{})
	options.Balancer = cmp.Or(options.Balancer, route.NewBalancer("", func(string) {}))
	options.Cascade = cascade.NewConfidencePolicy()
	options.Records = cmp.Or(options.Records, decision.New("n"))
	return relay.New(options)
}

// emptyBody returns the body of a request without one.
func emptyBody(t *testing.T) *relay.Body {
	body, err := relay.NewBody(strings.NewReader(""), 0)
	must.NoError(t, err)
	return body
}

// noSuspects suspects no request.
type noSuspects struct{}

func (noSuspects) Empty() bool                                                 { return true }
func (noSuspects) Refused(suspect.Features) suspect.Features                   { return nil }
func (noSuspects) Await(context.Context, suspect.Features)                     {}
func (noSuspects) AllowProbe(context.Context, suspect.Features) bool           { return false }
func (noSuspects) ReportLost(suspect.Features, registry.Server)                {}
func (noSuspects) ReportAbandoned(suspect.Features, uint64)                    {}
func (noSuspects) LossCounts(suspect.Features) []int                           { return nil }
func (noSuspects) ReportAnswered(suspect.Features, time.Time)                  {}
func (noSuspects) ReportUnframed(suspect.Features, registry.Server, time.Time) {}
func (noSuspects) ReportSurvival(suspect.Features)                             {}
func (noSuspects) ReportProgress(uint64, time.Time, time.Time)                 {}

// freshView is a store view that is always current.
type freshView struct{}

func (freshView) Revision() int64              { return 1 }
func (freshView) Age() time.Duration           { return 0 }
func (freshView) NeedsRefresh() bool           { return false }
func (freshView) AwaitRefresh(context.Context) {}

// threeServers is a fixed set of three servers.
type threeServers struct{ allUsable }

func (threeServers) Servers(string) []*registry.Server {
	return []*registry.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

// allUsable reports all servers as usable.
type allUsable struct{}

func (allUsable) Usable(registry.Incarnation) bool { return true }
func (allUsable) HasEvacuated(string) bool         { return false }
func (allUsable) Recovering() bool                 { return false }

// allWarm limits no server.
type allWarm struct{}

func (allWarm) Filter(s []*registry.Server) []*registry.Server { return s }
func (allWarm) Take(registry.Server) bool                      { return true }
func (allWarm) UntilWarm([]*registry.Server) time.Duration     { return 0 }

// noNotices knows nothing that servers say.
type noNotices struct{}

func (noNotices) Observe(registry.Server, notice.Answer) {}
func (noNotices) State(*registry.Server) notice.State {
	return notice.State{RequestLimit: notice.Unlimited, RejectionLimit: notice.Unlimited}
}

// noLimits knows no server that names a limit.
type noLimits struct{}

func (noLimits) Filter(s []*registry.Server) []*registry.Server { return s }
func (noLimits) Take(registry.Server) bool                      { return true }
func (noLimits) Scarce([]*registry.Server) bool                 { return false }
func (noLimits) Withheld(registry.Server) bool                  { return false }
func (noLimits) Wait([]*registry.Server) (time.Duration, throttle.Cause) {
	return 0, throttle.CauseNone
}

// noRejectionLimits gives every request a place.
type noRejectionLimits struct{}

func (noRejectionLimits) Filter(s []*registry.Server) []*registry.Server { return s }
func (noRejectionLimits) Abandon(registry.Server, time.Duration)         {}
func (noRejectionLimits) Take(context.Context, registry.Server) rejection.Basis {
	return rejection.BasisUnlimited
}
func (noRejectionLimits) Release(registry.Server)           {}
func (noRejectionLimits) Reject(registry.Server)            {}
func (noRejectionLimits) ObserveSlots(registry.Server, int) {}

// noRollout lets every server get every request.
type noRollout struct{}

func (noRollout) Choose(_, _, _ string, s []*registry.Server) ([]*registry.Server, string) {
	return s, ""
}
func (noRollout) Begin(_, _, _ string) {}
func (noRollout) End(_, _, _ string)   {}
func (noRollout) Await(_, _ string, _ rollout.Sample) *rollout.Awaited {
	return nil
}

// unlimitedBudget allows every retry.
type unlimitedBudget struct{}

func (unlimitedBudget) RecordRequest(string)        {}
func (unlimitedBudget) Take(string, float64) bool   { return true }
func (unlimitedBudget) Allows(string, float64) bool { return true }

// noReroutes allows no request to be rerouted.
type noReroutes struct{ unlimitedBudget }

func (noReroutes) Take(string, float64) bool { return false }

// noHandoffs ends no runs.
type noHandoffs struct{}

func (noHandoffs) Stop(context.Context, handoff.Run, registry.Server) (handoff.Copy, handoff.Outcome) {
	return handoff.Copy{}, handoff.OutcomeNotRunning
}
func (noHandoffs) StopLater(handoff.Run, registry.Server) {}
func (noHandoffs) Release(handoff.Copy)                   {}

type noCounters struct{}

func (noCounters) Refused(relay.Reason, string)                        {}
func (noCounters) Retried(relay.Reason)                                {}
func (noCounters) Escalated(string)                                    {}
func (noCounters) Resumed()                                            {}
func (noCounters) GaveUp(bool)                                         {}
func (noCounters) Sent(time.Duration)                                  {}
func (noCounters) ServerRejected(rejection.Basis)                      {}
func (noCounters) SentLimited()                                        {}
func (noCounters) Completed(string, int, time.Duration, time.Duration) {}

// response is a response of a server.
type response struct {
	status int
	body   io.Reader
}

func (a response) Status() int                     { return a.status }
func (a response) Header() http.Header             { return http.Header{} }
func (a response) Declined() bool                  { return false }
func (a response) Confidence() (float64, bool)     { return 0, false }
func (a response) Load() (route.Load, bool)        { return route.Load{}, false }
func (a response) Notices() []notice.Notice        { return nil }
func (a response) RetryAfter() time.Duration       { return 0 }
func (a response) Framed() bool                    { return true }
func (a response) Body() io.Reader                 { return a.body }
func (a response) AwaitSent(context.Context) error { return nil }
func (a response) Close()                          {}

// recorder records what a client gets.
type recorder struct {
	bytes.Buffer
	status  int
	aborted bool
	refusal *relay.Refusal
}

func (r *recorder) WriteHeader(a relay.Response) { r.status = a.Status() }
func (r *recorder) Write(p []byte) error {
	r.Buffer.Write(p)
	return nil
}
func (r *recorder) Refuse(refusal *relay.Refusal) { r.refusal = refusal }
func (r *recorder) Abort()                        { r.aborted = true }
