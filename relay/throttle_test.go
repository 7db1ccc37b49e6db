package relay_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
	"github.com/violettally/violettally/throttle"
)

// limitedServers are servers that take a number of requests from this node in all.
type limitedServers struct {
	noLimits
	noNotices
	left     int
	observed []float64
}

func (l *limitedServers) Filter(servers []*registry.Server) []*registry.Server {
	if l.left == 0 {
		return nil
	}
	return servers
}

func (l *limitedServers) Take(registry.Server) bool {
	if l.left == 0 {
		return false
	}
	l.left--
	return true
}

func (l *limitedServers) Wait([]*registry.Server) (time.Duration, throttle.Cause) {
	return 700 * time.Millisecond, throttle.CauseLimit
}

func (l *limitedServers) Observe(_ registry.Server, a notice.Answer) {
	for _, n := range a.Notices {
		l.observed = append(l.observed, n.Value)
	}
}

func (l *limitedServers) UntilWarm([]*registry.Server) time.Duration { return time.Second }

// limitedResponse names a limit.
type limitedResponse struct{ response }

func (limitedResponse) Notices() []notice.Notice {
	return []notice.Notice{{Kind: notice.KindRequestLimit, Value: 2.5}}
}

// limitedBackends name a limit in all their responses.
type limitedBackends struct{ sends int }

func (b *limitedBackends) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	b.sends++
	return limitedResponse{response{500, strings.NewReader("")}}, nil
}

// TestThrottle checks that each attempt of a request counts for the limits of its servers, that
// each response tells of them, and that a request is refused at once if no server may get it.
func TestThrottle(t *testing.T) {
	tests := []struct {
		left, sends int
		refusal     relay.Reason
	}{
		{3, 3, 0}, // the third failure is forwarded
		{1, 1, 0},
		{0, 0, relay.ReasonServerLimit},
	}
	for _, tt := range tests {
		limits := &limitedServers{left: tt.left}
		backends := &limitedBackends{}
		got := &recorder{}
		serve(t, catalog.Route{Kind: catalog.KindRepeatable, Attempts: 3, Timeout: time.Second}, relay.Options{Notices: limits, Throttle: limits, Backends: backends},
			relay.Request{Body: emptyBody(t)}, got)
		must.Eq(t, tt.sends, backends.sends)
		must.Eq(t, tt.sends, len(limits.observed))
		if tt.sends > 0 {
			must.Eq(t, 500, got.status)
			must.Eq(t, 2.5, limits.observed[0])
			continue
		}
		must.Eq(t, tt.refusal, got.refusal.Reason())
		must.Eq(t, 503, got.refusal.Status())
		must.Eq(t, 700*time.Millisecond, got.refusal.RetryAfter())
	}
}

// TestRefusalAtLimitAfterDecline checks that a request that one server declined and the others
// may not get is refused because of their limits, and told to come back when one may.
func TestRefusalAtLimitAfterDecline(t *testing.T) {
	got := &recorder{}
	serve(t, catalog.Route{Kind: catalog.KindOnce, Attempts: 1, Timeout: time.Second},
		relay.Options{Throttle: &limitedServers{left: 1}, Backends: decliningBackends{}}, relay.Request{Body: emptyBody(t)}, got)
	must.Eq(t, relay.ReasonServerLimit, got.refusal.Reason())
	must.Eq(t, 503, got.refusal.Status())
	must.Eq(t, 700*time.Millisecond, got.refusal.RetryAfter())
}

// decliningBackends run no request.
type decliningBackends struct{}

func (decliningBackends) Send(context.Context, registry.Server, relay.Call) (relay.Response, error) {
	return declinedResponse{response{503, strings.NewReader("")}}, nil
}

// TestAnswerKeptAtLimit checks that an answer of low confidence is kept if no server may take the
// request for a costlier model.
func TestAnswerKeptAtLimit(t *testing.T) {
	for name, options := range map[string]relay.Options{
		"servers that name limits":    {Throttle: &limitedServers{left: 1}},
		"servers that are warming up": {WarmUps: &limitedServers{left: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			backends := &modelRecorder{}
			options.Backends = backends
			got := &recorder{}
			serve(t, catalog.Route{Kind: catalog.KindStream, Timeout: 10 * time.Second, Attempts: 3, Models: threeModels}, options,
				relay.Request{AnyModel: true, Body: emptyBody(t)}, got)
			must.Eq(t, []string{"small"}, backends.sent)
			must.Nil(t, got.refusal)
			must.Eq(t, "id: 1\n\n", got.String())
		})
	}
}

// scarceServers are servers that all name limits, most of which are used up.
type scarceServers struct{ noLimits }

func (scarceServers) Scarce([]*registry.Server) bool { return true }

// TestOneRequestWhereScarce checks that the model whose answer need not be replaced is asked at
// once where the servers take few requests, or, if that one would be late, only one other.
func TestOneRequestWhereScarce(t *testing.T) {
	for want, objective := range map[string]time.Duration{"large": 10 * time.Second, "small": time.Millisecond} {
		backends := &modelRecorder{}
		serve(t, catalog.Route{Kind: catalog.KindStream, Timeout: 10 * time.Second, Objective: objective, Attempts: 3, Models: threeModels},
			relay.Options{Throttle: scarceServers{}, Backends: backends}, relay.Request{AnyModel: true, Body: emptyBody(t)}, &recorder{})
		must.Eq(t, []string{want}, backends.sent)
	}
}

// TestLateServerKeptAtLimit checks that a request stays at a late server if no other one may take
// it by the time that it is late.
func TestLateServerKeptAtLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &slowBackend{}
		got := &recorder{}
		serve(t, catalog.Route{Kind: catalog.KindRepeatable, Attempts: 3, Timeout: 20 * time.Second, Objective: time.Second},
			relay.Options{Throttle: &laterLimit{}, Backends: backend}, relay.Request{Body: emptyBody(t)}, got)
		must.Eq(t, 1, backend.sends)
		must.Eq(t, 200, got.status)
	})
}

// laterLimit lets every server get requests until the first one was sent and some time has passed.
type laterLimit struct {
	noLimits
	taken time.Time
}

func (l *laterLimit) Filter(servers []*registry.Server) []*registry.Server {
	if !l.taken.IsZero() && time.Since(l.taken) > 100*time.Millisecond {
		return nil
	}
	return servers
}

func (l *laterLimit) Take(registry.Server) bool {
	l.taken = time.Now()
	return true
}

// restingServers are the first of three servers, which want rest for 5 s.
type restingServers struct {
	noLimits
	resting int
}

func (r restingServers) wantsRest(s *registry.Server) bool { return int(s.ID[0]-'a') < r.resting }

func (r restingServers) Filter(servers []*registry.Server) []*registry.Server {
	return slices.DeleteFunc(slices.Clone(servers), r.wantsRest)
}

func (r restingServers) Wait(servers []*registry.Server) (time.Duration, throttle.Cause) {
	if len(r.Filter(servers)) > 0 {
		return 0, throttle.CauseNone
	}
	return 5 * time.Second, throttle.CauseRest
}

// TestRetryAfterRest checks that a request which no server takes is refused with the time until one may,
// which is longer than after other refusals if all want rest, and short if one was tried that wants none.
func TestRetryAfterRest(t *testing.T) {
	for resting, most := range map[int]time.Duration{3: 6 * time.Second, 2: 300 * time.Millisecond} {
		got := &recorder{}
		serve(t, catalog.Route{Kind: catalog.KindOnce, Attempts: 1, Timeout: time.Second},
			relay.Options{Throttle: restingServers{resting: resting}, Backends: decliningBackends{}}, relay.Request{Body: emptyBody(t)}, got)
		must.Eq(t, relay.ReasonServersResting, got.refusal.Reason())
		must.Eq(t, 503, got.refusal.Status())
		must.Between(t, most-time.Second, got.refusal.RetryAfter(), most)
	}
}
