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
	return !x.relay.Suspects.Empty() && x.relay.Suspects.Refuses(x.content())
}

// content returns the digest of what servers are given of the request.
func (x *exchange) content() uint64 {
	if x.digest == 0 {
		x.digest = content(x.request)
	}
	return x.digest
}

// content returns the digest of what servers are given of a request.
func content(q *Request) uint64 { return suspect.Digest(q.Path, q.Body.Head(), q.Body.Length()) }

// tests reports whether this request, which is refused, is the one that is sent once
// more to see whether servers still end under it: to one server, once.
func (x *exchange) tests(ctx context.Context) bool {
	if x.tested || !x.relay.Suspects.Test(ctx, x.content()) {
		return false
	}
	x.tested = true
	x.record.AddStep("test", "content %016x is refused and sent to one server", x.content())
	return true
}

// lost takes note that a server ended an attempt without an answer, or with a
// part of one. Where this node or its client ended it, the server may be well.
func (x *exchange) lost(ctx context.Context, use *route.Use) {
	if ctx.Err() != nil || x.request.Body.Err() != nil {
		return
	}
	x.relay.Suspects.Lost(x.content(), use.Server().Incarnation().Hash())
	x.record.AddStep("lost", "at %s; content %016x, lost at %d servers", use.Server().ID, x.content(), x.relay.Suspects.Ends(x.content()))
}

// afterLoss lies between a lost attempt and the next one. Servers that end together show
// it meanwhile, so that the next attempt goes to none of them; and if one ends under it as
// well, that is for another cause (suspect.OneMoment).
const afterLoss = suspect.OneMoment + 10*time.Millisecond

// pause returns after d, or when the context ends.
func pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

// left takes note that this attempt was given up, though the server may run it on.
func (x *exchange) left(use *route.Use) {
	x.relay.Suspects.Left(x.content(), use.Server().Incarnation().Hash())
}

// goesOn takes note that something came of a server's answer to what was sent to it at a
// time.
func (x *exchange) goesOn(use *route.Use, sent time.Time, answer Answer) {
	if !x.relay.Suspects.Empty() {
		x.relay.Suspects.Runs(use.Server().Incarnation().Hash(), sent, answer.Opened())
	}
}

// cleared takes note that a server has answered the request.
func (x *exchange) cleared() { x.relay.Suspects.Answered(x.content()) }

// errTakenBack ends an attempt whose request is refused since it was sent.
var errTakenBack = errors.New("servers end under the request")

// takenBack reports whether an attempt was ended for that.
func takenBack(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errTakenBack) }

// TakeBack ends the attempts with a request that servers have not begun to answer:
// they would end under it as well when its turn comes there.
func (r *Relay) TakeBack(digest uint64) {
	for _, w := range r.waiting.all() {
		if content(w.request) == digest {
			w.cancel(errTakenBack)
		}
	}
}

// waiting holds the attempts of which no answer has begun.
type waiting struct {
	mu       sync.Mutex
	attempts map[*waitingAttempt]struct{}
}

type waitingAttempt struct {
	request *Request
	cancel  context.CancelCauseFunc
}

func newWaiting() *waiting { return &waiting{attempts: make(map[*waitingAttempt]struct{})} }

// add notes an attempt until what it returns is called.
func (w *waiting) add(q *Request, cancel context.CancelCauseFunc) (remove func()) {
	a := &waitingAttempt{request: q, cancel: cancel}
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
func (w *waiting) all() []*waitingAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.attempts))
}
