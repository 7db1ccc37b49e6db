package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/view"
)

// Others returns the other gateways that are not leaving.
func (g *Gateway) Others() []view.Member { return g.membership.peers() }

// Exchange handles a peer's message with its records of the requests sent to servers, and
// returns the records that the peer has not received.
func (g *Gateway) Exchange(m share.Message) share.Reply { return g.exchange.Handle(m) }

// mirrorPeers gives the mirror access to the other gateways' copies of the store.
type mirrorPeers struct{ g *Gateway }

// remoteHallProbability is the probability that a gateway that reaches neither the store
// nor an upstream asks a gateway of any data hall instead of its own. Transfers of the
// whole copy between data halls are billed, and one gateway of a hall that gets it
// passes it on to the others.
const remoteHallProbability = 0.25

// Addresses returns the peer addresses of the other gateways in random order, mostly
// with those of the own data hall first. It returns the seeds while no other gateway is
// known.
func (p mirrorPeers) Addresses() []string {
	others := slices.Clone(p.g.membership.peers())
	if len(others) == 0 {
		return slices.DeleteFunc(slices.Clone(p.g.settings.Seeds), func(a string) bool { return a == p.g.self.Peer })
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if rand.Float64() >= remoteHallProbability {
		slices.SortStableFunc(others, func(a, b view.Member) int { return cmp.Compare(p.distance(a), p.distance(b)) })
	}
	addresses := make([]string, len(others))
	for i, m := range others {
		addresses[i] = m.Peer
	}
	return addresses
}

// distance returns 0 for a gateway of the own data hall and 1 for any other.
func (p mirrorPeers) distance(m view.Member) int {
	if m.DataHall == p.g.self.DataHall {
		return 0
	}
	return 1
}

// Upstream returns the peer addresses of this gateway's parents in the tree of its data hall.
func (p mirrorPeers) Upstream() []string {
	parents := p.g.membership.roster().parents
	addresses := make([]string, len(parents))
	for i, m := range parents {
		addresses[i] = m.Peer
	}
	return addresses
}

// Sources returns the peer addresses of the gateways of the own data hall, those that can serve
// most others first and otherwise in random order. The hall's entries are read from the store,
// since this gateway does not know any others yet.
func (p mirrorPeers) Sources(ctx context.Context) []string {
	items, err := p.g.store.ListPrefix(ctx, hallPrefix(p.g.self.DataHall), platform.FreshRead)
	if err != nil {
		slog.Info("gateways of the data hall cannot be listed", "error", err)
	}
	var hall []view.Member
	for _, item := range items {
		if e, err := decodeEntry(item.Value); err == nil && !e.Leaving && e.VM != p.g.self.VM {
			hall = append(hall, e.Member)
		}
	}
	rand.Shuffle(len(hall), func(i, j int) { hall[i], hall[j] = hall[j], hall[i] })
	slices.SortStableFunc(hall, func(a, b view.Member) int { return cmp.Compare(b.FanOut, a.FanOut) })
	addresses := make([]string, len(hall))
	for i, m := range hall {
		addresses[i] = m.Peer
	}
	return addresses
}

// Follow requests the changes after a revision from the copy of another gateway.
func (p mirrorPeers) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	return p.g.peerClient.Follow(ctx, address, after, wait)
}
