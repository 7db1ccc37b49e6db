package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/suspect"
)

// suspects joins what this node knows of requests under which servers end with
// what the others tell and the store keeps.
type suspects struct{ g *Gateway }

// Empty reports whether nothing is known against any request.
func (s suspects) Empty() bool { return s.g.suspects.Empty() }

// Refuses reports whether a request is refused.
func (s suspects) Refuses(digest uint64) bool { return s.g.suspects.Refuses(digest) }

// Test reports whether a request that is refused is to be tested here and now.
func (s suspects) Test(ctx context.Context, digest uint64) bool {
	return s.g.verdicts.Test(ctx, digest)
}

// Ends returns at how many servers a request was lost.
func (s suspects) Ends(digest uint64) int { return s.g.suspects.Ends(digest) }

// Lost notes a request that a server left without an answer, and tells the other
// nodes: the client's next try comes to another one.
func (s suspects) Lost(digest, server uint64) { s.g.lost(digest, server, 0) }

// lost notes a request that was lost to this node, that long ago.
func (g *Gateway) lost(digest, server uint64, ago time.Duration) {
	finding, withdrawn := g.suspects.Lost(digest, server, ago)
	if finding == suspect.FindingKnown {
		return
	}
	g.metrics.SuspectEvent(suspect.EventLost)
	if !g.board.TellLost(server, digest, g.suspects.Ends(digest) > 1) {
		g.metrics.SuspectEvent(suspect.EventUntold)
	}
	g.found(digest, finding, true)
	g.withdrawn(withdrawn)
	g.leftBehind(server, ago)
}

// leftBehind notes the requests that this node had given up at a server just before it
// ended.
func (g *Gateway) leftBehind(server uint64, ago time.Duration) {
	for _, digest := range g.suspects.LeftBehind(server, ago) {
		g.lost(digest, server, ago)
	}
}

// Left notes an attempt that this node has given up.
func (s suspects) Left(digest, server uint64) {
	if s.g.suspects.Left(digest, server) {
		s.g.lost(digest, server, 0)
	}
}

// Answered clears a request, and tells the other nodes if anything was known against
// it.
func (s suspects) Answered(digest uint64) {
	ends := s.g.suspects.Ends(digest)
	cleared := s.g.suspects.Answered(digest)
	if cleared == suspect.ClearedNothing {
		return
	}
	s.g.board.TellAnswered(digest, ends > 1 || cleared == suspect.ClearedVerdict)
	if cleared == suspect.ClearedVerdict {
		s.g.withdrawn([]uint64{digest})
	}
}

// Runs takes the word that a server answers.
func (s suspects) Runs(server uint64, sent, opened time.Time) {
	s.g.withdrawn(s.g.suspects.Runs(server, time.Since(sent), time.Since(opened)))
}

// heard takes what another node has told on the board.
func (g *Gateway) heard(s share.Send) {
	switch {
	case s.Lost != 0:
		g.heardLost(s)
	case s.Answered != 0:
		g.suspects.Answered(s.Answered)
	default:
		g.balancer.Heard(s)
	}
}

// heardLost takes the word of another node that a request was lost.
func (g *Gateway) heardLost(s share.Send) {
	finding, withdrawn := g.suspects.Lost(s.Lost, s.Server, s.Age())
	if finding == suspect.FindingKnown {
		return
	}
	g.metrics.SuspectEvent(suspect.EventHeard)
	g.found(s.Lost, finding, false)
	g.withdrawn(withdrawn)
	g.leftBehind(s.Server, s.Age())
}

// found acts by what a loss leads to: copies of a request that is refused from now on
// are taken back from where they wait, and the store is told.
func (g *Gateway) found(digest uint64, finding suspect.Finding, own bool) {
	if finding != suspect.FindingVerdict {
		return
	}
	g.metrics.SuspectEvent(suspect.EventVerdict)
	slog.Warn("servers end under a request; it is refused", "content", suspect.Name(digest), "servers", g.suspects.Ends(digest), "own", own)
	g.relay.TakeBack(digest)
	g.verdicts.Changed(digest, own)
}

// withdrawn notes requests that are refused no more.
func (g *Gateway) withdrawn(digests []uint64) {
	for _, digest := range digests {
		g.metrics.SuspectEvent(suspect.EventWithdrawn)
		slog.Warn("a request is refused no more", "content", suspect.Name(digest))
		g.verdicts.Changed(digest, true)
	}
}

// reviewInterval is how soon it shows that a server goes on at which a request
// was lost.
const reviewInterval = 500 * time.Millisecond

// reviewAge is how old the news of the store may be by which a server goes on:
// in an outage the entries of servers that end stay.
const reviewAge = 2 * time.Second

// reviewSuspects clears requests that were lost at servers which go on, until
// the context ends.
func (g *Gateway) reviewSuspects(ctx context.Context) {
	g.timers.Every(ctx, reviewInterval, func() {
		if g.mirror.Age() > reviewAge {
			g.suspects.Stale()
			return
		}
		if g.suspects.Empty() {
			return
		}
		running := make(map[uint64]bool)
		for incarnation := range g.registry.Incarnations() {
			running[incarnation.Hash()] = true
		}
		g.withdrawn(g.suspects.Review(running))
	})
}
