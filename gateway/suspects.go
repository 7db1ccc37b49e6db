package gateway

import (
	"context"
	"time"

	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/suspect"
)

// suspects joins what this node knows of requests under which servers end with
// what the others tell.
type suspects struct{ g *Gateway }

func (s suspects) Empty() bool { return s.g.suspects.Empty() }

func (s suspects) Refuses(digest uint64) bool { return s.g.suspects.Refuses(digest) }

func (s suspects) Answered(digest uint64) { s.g.suspects.Answered(digest) }

func (s suspects) Runs(server uint64, sent time.Time) { s.g.suspects.Runs(server, sent) }

// Lost notes a request that a server left without an answer, and tells the other
// nodes: the client's next try comes to another one.
func (s suspects) Lost(digest, server uint64) {
	if !s.g.suspects.Lost(digest, server) {
		return
	}
	s.g.metrics.Suspects(suspect.EventLost)
	if !s.g.board.TellLost(server, digest, s.g.suspects.Ends(digest) > 1) {
		s.g.metrics.Suspects(suspect.EventUntold)
	}
}

func (s suspects) Ends(digest uint64) int { return s.g.suspects.Ends(digest) }

// heard takes what another node has told on the board.
func (g *Gateway) heard(s share.Send) {
	if s.Lost != 0 {
		if g.suspects.Lost(s.Lost, s.Server) {
			g.metrics.Suspects(suspect.EventHeard)
		}
		return
	}
	g.balancer.Heard(s)
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
		if g.suspects.Empty() || g.mirror.Age() > reviewAge {
			return
		}
		running := make(map[uint64]bool)
		for incarnation := range g.registry.Incarnations() {
			running[incarnation.Hash()] = true
		}
		g.suspects.Review(running)
	})
}
