package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/suspect"
)

// relaySuspects joins what this node knows of requests under which servers end with
// what the others tell and the store keeps.
type relaySuspects struct{ g *Gateway }

// Empty reports whether nothing is known against any request.
func (s relaySuspects) Empty() bool { return s.g.detector.Empty() }

// Refuses reports whether a request is refused.
func (s relaySuspects) Refuses(digest uint64) bool { return s.g.detector.Refuses(digest) }

// Test reports whether a request that is refused is to be tested here and now.
func (s relaySuspects) Test(ctx context.Context, digest uint64) bool {
	return s.g.verdictSyncer.Test(ctx, digest)
}

// Ends returns at how many servers a request was lost.
func (s relaySuspects) Ends(digest uint64) int { return s.g.detector.Ends(digest) }

// Lost notes a request that a server left without an answer, and tells the other
// nodes: the client's next try comes to another one.
func (s relaySuspects) Lost(digest, server uint64) { s.g.recordLoss(digest, server, 0) }

// recordLoss notes a request that was lost to this node, that long ago.
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

// recordAbandoned notes the requests that this node had given up at a server just before it
// ended.
func (g *Gateway) recordAbandoned(server uint64, ago time.Duration) {
	for _, digest := range g.detector.LeftBehind(server, ago) {
		g.recordLoss(digest, server, ago)
	}
}

// Left notes an attempt that this node has given up.
func (s relaySuspects) Left(digest, server uint64) {
	if s.g.detector.Left(digest, server) {
		s.g.recordLoss(digest, server, 0)
	}
}

// Answered clears a request, and tells the other nodes if anything was known against
// it.
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

// Runs takes the word that a server answers.
func (s relaySuspects) Runs(server uint64, sent, opened time.Time) {
	s.g.recordWithdrawn(s.g.detector.Runs(server, time.Since(sent), time.Since(opened)))
}

// handleRecord takes what another node has told on the board.
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

// handlePeerLoss takes the word of another node that a request was lost.
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

// handleFinding acts by what a loss leads to: copies of a request that is refused from now on
// are taken back from where they wait, and the store is told.
func (g *Gateway) handleFinding(digest uint64, finding suspect.Finding, own bool) {
	if finding != suspect.FindingVerdict {
		return
	}
	g.metrics.SuspectEvent(suspect.EventVerdict)
	slog.Warn("servers end under a request; it is refused", "content", suspect.Name(digest), "servers", g.detector.Ends(digest), "own", own)
	g.relay.TakeBack(digest)
	g.verdictSyncer.Changed(digest, own)
}

// recordWithdrawn notes requests that are refused no more.
func (g *Gateway) recordWithdrawn(digests []uint64) {
	for _, digest := range digests {
		g.metrics.SuspectEvent(suspect.EventWithdrawn)
		slog.Warn("a request is refused no more", "content", suspect.Name(digest))
		g.verdictSyncer.Changed(digest, true)
	}
}

// reviewInterval is how soon it shows that a server goes on at which a request
// was lost.
const reviewInterval = 500 * time.Millisecond

// maxReviewStaleness is how old the news of the store may be by which a server goes on:
// in an outage the entries of servers that end stay.
const maxReviewStaleness = 2 * time.Second

// reviewSuspects clears requests that were lost at servers which go on, until
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
