package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/suspect"
)

// suspected returns those of the request's features for which it must not be sent to a server, since
// servers crash while they run such requests.
func (x *exchange) suspected(ctx context.Context) suspect.Features {
	if x.relay.Suspects.Empty() {
		return nil
	}
	x.relay.Suspects.Await(ctx, x.features())
	return x.relay.Suspects.Refused(x.features())
}

// features returns the request's features.
func (x *exchange) features() suspect.Features {
	if x.featureCache == nil {
		x.featureCache = featuresOf(x.request)
	}
	return x.featureCache
}

// featuresOf computes the features of a request.
func featuresOf(q *Request) suspect.Features {
	return suspect.NewFeatures(q.Path, q.Body.Buffered(), q.Body.Length(), q.Prompt.sharedParts())
}

// sharedParts returns the IDs of the parts that other prompts may share: all but the last.
func (p Prompt) sharedParts() []string {
	var ids []string
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// takeProbe reports whether this request, which is refused for the given features, is to be sent to
// one server as a probe, to find out whether servers still crash under it. It returns true at most
// once per request.
func (x *exchange) takeProbe(ctx context.Context, refused suspect.Features) bool {
	if x.probeSent || !x.relay.Suspects.AllowProbe(ctx, refused) {
		return false
	}
	x.probeSent = true
	x.record.AddStep("test", "requests with %s are refused; this one is sent to one server", x.describe(refused))
	return true
}

// describe formats features of the request.
func (x *exchange) describe(some suspect.Features) string {
	all, parts := x.features(), x.request.Prompt.sharedParts()
	var names []string
	for _, f := range some {
		if f == all[len(all)-1] {
			names = append(names, "content "+f.String())
			continue
		}
		i := slices.IndexFunc(parts, func(id string) bool { return suspect.PartFeature(id) == f })
		names = append(names, fmt.Sprintf("prompt part %s (%s)", parts[i], f))
	}
	return strings.Join(names, ", ")
}

// suspectedRefusal returns the refusal of a request for some of its features.
func (x *exchange) suspectedRefusal(refused suspect.Features) *Refusal {
	return refusalf(ReasonSuspected, 0, "servers ended while they ran requests with %s; no server gets it", x.describe(refused))
}

// reportLost reports that a server ended an attempt with no response or a truncated one. If
// this node or the client ended the attempt, nothing is reported, since the server may be
// healthy.
func (x *exchange) reportLost(ctx context.Context, assignment *route.Assignment) {
	x.abandoned = true
	if ctx.Err() != nil || x.request.Body.Err() != nil {
		return
	}
	counts := x.relay.Suspects.LossCounts(x.features())
	x.relay.Suspects.ReportLost(x.features(), assignment.Server())
	x.record.AddStep("lost", "at %s; %s, lost %d times before", assignment.Server().ID, x.describe(x.features()), counts)
}

// delayAfterLoss is the delay between a lost attempt and the next one. Servers that crash in
// the same incident have crashed by then, so if the server of the next attempt crashes too,
// that is another incident (suspect.IncidentWindow).
const delayAfterLoss = suspect.IncidentWindow + 10*time.Millisecond

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

// reportAbandoned reports that this attempt was given up while the server may still run the
// request.
func (x *exchange) reportAbandoned(assignment *route.Assignment) {
	x.abandoned = true
	x.relay.Suspects.ReportAbandoned(x.features(), assignment.Server().Incarnation().Hash())
}

// reportProgress reports that part of the response to a request sent at the given time has
// arrived.
func (x *exchange) reportProgress(assignment *route.Assignment, sent time.Time) {
	if !x.relay.Suspects.Empty() {
		x.relay.Suspects.ReportProgress(assignment.Server().Incarnation().Hash(), sent, x.connection.opened)
	}
}

// reportEnd reports that a server has completed its response. Only a success shows that it ran the
// request to its end.
func (x *exchange) reportEnd(assignment *route.Assignment, resp Response) {
	switch {
	case !isSuccess(resp):
	case resp.Framed():
		x.relay.Suspects.ReportAnswered(x.features(), x.headerReceived)
	default:
		x.relay.Suspects.ReportUnframed(x.features(), assignment.Server(), x.headerReceived)
	}
}

// isSuccess reports whether the status is 2xx.
func isSuccess(resp Response) bool {
	return resp.Status() >= http.StatusOK && resp.Status() < http.StatusMultipleChoices
}

// errSuspected is the cancellation cause of attempts whose request has become suspected since
// it was sent.
var errSuspected = errors.New("servers end under the request")

// canceledAsSuspected reports whether the attempt was canceled with errSuspected.
func canceledAsSuspected(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errSuspected)
}

// CancelPending cancels all attempts of requests with the given feature that have no response yet:
// the servers would crash as well once they run them.
func (r *Relay) CancelPending(f suspect.Feature) {
	for _, w := range r.pending.all() {
		if slices.Contains(featuresOf(w.request), f) {
			w.cancel(errSuspected)
		}
	}
}

// pendingAttempts is the set of attempts whose response has not begun.
type pendingAttempts struct {
	mu       sync.Mutex
	attempts map[*pendingAttempt]struct{}
}

type pendingAttempt struct {
	request *Request
	cancel  context.CancelCauseFunc
}

func newPendingAttempts() *pendingAttempts {
	return &pendingAttempts{attempts: make(map[*pendingAttempt]struct{})}
}

// add adds an attempt to the set; remove deletes it.
func (w *pendingAttempts) add(q *Request, cancel context.CancelCauseFunc) (remove func()) {
	a := &pendingAttempt{request: q, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts[a] = struct{}{}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.attempts, a)
	}
}

// all returns the present attempts.
func (w *pendingAttempts) all() []*pendingAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.attempts))
}
