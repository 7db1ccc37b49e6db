package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/suspect"
)

// relaySuspects gives the relay access to the detection of requests that crash servers.
// It combines this gateway's evidence with that of its peers and the verdicts in the
// store.
type relaySuspects struct{ g *Gateway }

// Empty reports whether there is no evidence against any request.
func (s relaySuspects) Empty() bool { return s.g.detector.Empty() }

// Refuses reports whether a request is refused.
func (s relaySuspects) Refuses(digest uint64) bool { return s.g.detector.Refuses(digest) }

// Test reports whether this gateway is to send a refused request to a server now, to
// test whether it still crashes servers.
func (s relaySuspects) Test(ctx context.Context, digest uint64) bool {
	return s.g.verdictSyncer.Test(ctx, digest)
}

// Ends returns the number of servers at which a request was lost and that are not known
// to be still running.
func (s relaySuspects) Ends(digest uint64) int { return s.g.detector.Ends(digest) }

// Lost records that a server did not respond to a request, and tells the other gateways,
// since the client may send its retry to one of them.
func (s relaySuspects) Lost(digest, server uint64) { s.g.recordLoss(digest, server, 0) }

// recordLoss records a request that this gateway lost at a server, the given time ago.
func (g *Gateway) recordLoss(digest, server uint64, ago time.Duration) {
	finding, withdrawn := g.detector.Lost(digest, server, ago)
	if finding == suspect.FindingKnown {
		return
	}
	g.metrics.SuspectEvent(suspect.EventLost)
	if !g.exchange.TellLost(server, digest, g.detector.Ends(digest) > 1) {
		g.metrics.SuspectEvent(suspect.EventUntold)
	}
	g.handleFinding(digest, finding, true)
	g.recordWithdrawn(withdrawn)
	g.recordAbandoned(server, ago)
}

// recordAbandoned records as lost the requests that this gateway had abandoned at a server
// just before it ended, the given time ago.
func (g *Gateway) recordAbandoned(server uint64, ago time.Duration) {
	for _, digest := range g.detector.LeftBehind(server, ago) {
		g.recordLoss(digest, server, ago)
	}
}

// Left records an attempt that this gateway has abandoned at a server.
func (s relaySuspects) Left(digest, server uint64) {
	if s.g.detector.Left(digest, server) {
		s.g.recordLoss(digest, server, 0)
	}
}

// Answered clears a request that a server has responded to, and tells the other gateways
// if there was evidence against it.
func (s relaySuspects) Answered(digest uint64) {
	ends := s.g.detector.Ends(digest)
	cleared := s.g.detector.Answered(digest)
	if cleared == suspect.ClearedNothing {
		return
	}
	s.g.exchange.TellAnswered(digest, ends > 1 || cleared == suspect.ClearedVerdict)
	if cleared == suspect.ClearedVerdict {
		s.g.recordWithdrawn([]uint64{digest})
	}
}

// Runs records that a server has just sent data in response to a request that was sent
// at one time on a connection that was opened at another. Losses at that server may then
// not count.
func (s relaySuspects) Runs(server uint64, sent, opened time.Time) {
	s.g.recordWithdrawn(s.g.detector.Runs(server, time.Since(sent), time.Since(opened)))
}

// handleRecord handles a record that another gateway has published.
func (g *Gateway) handleRecord(s share.Send) {
	switch {
	case s.Lost != 0:
		g.handlePeerLoss(s)
	case s.Answered != 0:
		g.detector.Answered(s.Answered)
	default:
		g.balancer.Heard(s)
	}
}

// handlePeerLoss handles the loss of a request that another gateway has published.
func (g *Gateway) handlePeerLoss(s share.Send) {
	finding, withdrawn := g.detector.Lost(s.Lost, s.Server, s.Age())
	if finding == suspect.FindingKnown {
		return
	}
	g.metrics.SuspectEvent(suspect.EventHeard)
	g.handleFinding(s.Lost, finding, false)
	g.recordWithdrawn(withdrawn)
	g.recordAbandoned(s.Server, s.Age())
}

// handleFinding acts on a new verdict: it cancels the copies of the request that are
// still waiting, and has the verdict written to the store. Own reports whether the loss
// was this gateway's.
func (g *Gateway) handleFinding(digest uint64, finding suspect.Finding, own bool) {
	if finding != suspect.FindingVerdict {
		return
	}
	g.metrics.SuspectEvent(suspect.EventVerdict)
	slog.Warn("refusing a request that crashes servers", "content", suspect.Name(digest), "servers", g.detector.Ends(digest), "own", own)
	g.relay.TakeBack(digest)
	g.verdictSyncer.Changed(digest, own)
}

// recordWithdrawn records requests that are no longer refused.
func (g *Gateway) recordWithdrawn(digests []uint64) {
	for _, digest := range digests {
		g.metrics.SuspectEvent(suspect.EventWithdrawn)
		slog.Warn("request is no longer refused", "content", suspect.Name(digest))
		g.verdictSyncer.Changed(digest, true)
	}
}

// reviewInterval is how often the losses are checked against the servers that are still
// running.
const reviewInterval = 500 * time.Millisecond

// maxReviewStaleness is the maximum age of the server entries for such a check: during an
// outage of the store, the entries of servers that have ended remain.
const maxReviewStaleness = 2 * time.Second

// reviewSuspects periodically drops the losses at servers that are still running, until
// the context ends.
func (g *Gateway) reviewSuspects(ctx context.Context) {
	g.timers.Every(ctx, reviewInterval, func() {
		if g.mirror.Age() > maxReviewStaleness {
			g.detector.Stale()
			return
		}
		if g.detector.Empty() {
			return
		}
		running := make(map[uint64]bool)
		for incarnation := range g.registry.Incarnations() {
			running[incarnation.Hash()] = true
		}
		g.recordWithdrawn(g.detector.Review(running))
	})
}
