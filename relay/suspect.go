package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/suspect"
)

// suspected reports whether servers crash while running this request, so that it must not be
// sent to another one.
func (x *exchange) suspected() bool {
	return !x.relay.Suspects.Empty() && x.relay.Suspects.Refuses(x.contentDigest())
}

// contentDigest returns the digest of the content that servers get.
func (x *exchange) contentDigest() uint64 {
	if x.digest == 0 {
		x.digest = digestContent(x.request)
	}
	return x.digest
}

// digestContent computes the digest of the content that servers get.
func digestContent(q *Request) uint64 {
	return suspect.Digest(q.Path, q.Body.Buffered(), q.Body.Length())
}

// takeProbe reports whether this refused request is to be sent to one server as a probe, to
// find out whether servers still crash under it. It returns true at most once per request.
func (x *exchange) takeProbe(ctx context.Context) bool {
	if x.probeSent || !x.relay.Suspects.AllowProbe(ctx, x.contentDigest()) {
		return false
	}
	x.probeSent = true
	x.record.AddStep("test", "content %016x is refused and sent to one server", x.contentDigest())
	return true
}

// reportLost reports that a server ended an attempt with no response or a truncated one. If
// this node or the client ended the attempt, nothing is reported, since the server may be
// healthy.
func (x *exchange) reportLost(ctx context.Context, assignment *route.Assignment) {
	if ctx.Err() != nil || x.request.Body.Err() != nil {
		return
	}
	x.relay.Suspects.ReportLost(x.contentDigest(), assignment.Server().Incarnation().Hash())
	x.record.AddStep("lost", "at %s; content %016x, lost at %d servers; prompt parts %s", assignment.Server().ID, x.contentDigest(), x.relay.Suspects.LossCount(x.contentDigest()), formatSharedParts(x.request.Prompt))
}

// formatSharedParts formats the parts of a prompt that other prompts may share.
func formatSharedParts(p Prompt) string {
	var ids []string
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
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
	x.relay.Suspects.ReportAbandoned(x.contentDigest(), assignment.Server().Incarnation().Hash())
}

// reportProgress reports that part of the response to a request sent at the given time has
// arrived.
func (x *exchange) reportProgress(assignment *route.Assignment, sent time.Time, resp Response) {
	if !x.relay.Suspects.Empty() {
		x.relay.Suspects.ReportProgress(assignment.Server().Incarnation().Hash(), sent, resp.ConnOpened())
	}
}

// reportAnswered reports that a server has completed its response.
func (x *exchange) reportAnswered() { x.relay.Suspects.ReportAnswered(x.contentDigest()) }

// errSuspected is the cancellation cause of attempts whose request has become suspected since
// it was sent.
var errSuspected = errors.New("servers end under the request")

// canceledAsSuspected reports whether the attempt was canceled with errSuspected.
func canceledAsSuspected(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errSuspected)
}

// CancelPending cancels all attempts with the given content that have no response yet: the
// servers would crash as well once they run it.
func (r *Relay) CancelPending(digest uint64) {
	for _, w := range r.pending.all() {
		if digestContent(w.request) == digest {
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
