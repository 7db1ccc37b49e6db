package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/suspect"
)

// suspected reports whether servers end under the request, so that it is to be
// sent to no further one.
func (x *exchange) suspected() bool {
	return !x.relay.Suspects.Empty() && x.relay.Suspects.Refuses(x.contentDigest())
}

// contentDigest returns the digest of what servers are given of the request.
func (x *exchange) contentDigest() uint64 {
	if x.digest == 0 {
		x.digest = digestContent(x.request)
	}
	return x.digest
}

// digestContent returns the digest of what servers are given of a request.
func digestContent(q *Request) uint64 {
	return suspect.Digest(q.Path, q.Body.Buffered(), q.Body.Length())
}

// takeTest reports whether this request, which is refused, is the one that is sent once
// more to see whether servers still end under it: to one server, once.
func (x *exchange) takeTest(ctx context.Context) bool {
	if x.testSent || !x.relay.Suspects.AllowTest(ctx, x.contentDigest()) {
		return false
	}
	x.testSent = true
	x.record.Note("test", "content %016x is refused and sent to one server", x.contentDigest())
	return true
}

// reportLost takes note that a server ended an attempt without an answer, or with a
// part of one. Where this node or its client ended it, the server may be well.
func (x *exchange) reportLost(ctx context.Context, use *route.Use) {
	if ctx.Err() != nil || x.request.Body.Err() != nil {
		return
	}
	x.relay.Suspects.ReportLost(x.contentDigest(), use.Server().Incarnation().Hash())
	x.record.Note("lost", "at %s; content %016x, lost at %d servers", use.Server().ID, x.contentDigest(), x.relay.Suspects.Ends(x.contentDigest()))
}

// delayAfterLoss lies between a lost attempt and the next one. Servers that end together show
// it meanwhile, so that the next attempt goes to none of them; and if one ends under it as
// well, that is for another cause (suspect.OneMoment).
const delayAfterLoss = suspect.OneMoment + 10*time.Millisecond

// sleep returns after d, or when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

// reportAbandoned takes note that this attempt was given up, though the server may run it on.
func (x *exchange) reportAbandoned(use *route.Use) {
	x.relay.Suspects.ReportAbandoned(x.contentDigest(), use.Server().Incarnation().Hash())
}

// reportProgress takes note that something came of a server's answer to what was sent to it at a
// time.
func (x *exchange) reportProgress(use *route.Use, sent time.Time, answer Response) {
	if !x.relay.Suspects.Empty() {
		x.relay.Suspects.ReportProgress(use.Server().Incarnation().Hash(), sent, answer.ConnOpened())
	}
}

// reportAnswered takes note that a server has answered the request.
func (x *exchange) reportAnswered() { x.relay.Suspects.ReportAnswered(x.contentDigest()) }

// errSuspected ends an attempt whose request is refused since it was sent.
var errSuspected = errors.New("servers end under the request")

// canceledAsSuspected reports whether an attempt was ended for that.
func canceledAsSuspected(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errSuspected)
}

// CancelPending ends the attempts with a request that servers have not begun to answer:
// they would end under it as well when its turn comes there.
func (r *Relay) CancelPending(digest uint64) {
	for _, w := range r.pending.all() {
		if digestContent(w.request) == digest {
			w.cancel(errSuspected)
		}
	}
}

// pendingAttempts holds the attempts of which no answer has begun.
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

// add notes an attempt until what it returns is called.
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

// all returns the attempts that wait now.
func (w *pendingAttempts) all() []*pendingAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.attempts))
}
