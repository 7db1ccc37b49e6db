package relay

import (
	"context"
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
		x.digest = suspect.Digest(x.request.Path, x.request.Body.Head(), x.request.Body.Length())
	}
	return x.digest
}

// lost takes note that a server ended an attempt without an answer, or with a
// part of one. Where this node or its client ended it, the server may be well.
func (x *exchange) lost(ctx context.Context, use *route.Use) {
	if ctx.Err() != nil || x.request.Body.Err() != nil {
		return
	}
	x.relay.Suspects.Lost(x.content(), use.Server().Incarnation().Hash())
	x.record.Note("lost", "at %s; content %016x, lost at %d servers", use.Server().ID, x.content(), x.relay.Suspects.Ends(x.content()))
}

// goesOn takes note that a server answers what was sent to it at a time.
func (x *exchange) goesOn(use *route.Use, sent time.Time) {
	if !x.relay.Suspects.Empty() {
		x.relay.Suspects.Runs(use.Server().Incarnation().Hash(), sent)
	}
}

// cleared takes note that a server has answered the request.
func (x *exchange) cleared() { x.relay.Suspects.Answered(x.content()) }
