package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/view"
)

// Others returns the other known gateways.
func (g *Gateway) Others() []view.Member { return g.membership.peers() }

// Exchange answers a peer that tells what it has sent to servers.
func (g *Gateway) Exchange(m share.Message) share.Reply { return g.exchange.Answer(m) }

// mirrorPeers lets the mirror follow other gateways.
type mirrorPeers struct{ g *Gateway }

// remoteHallProbability is in how many of its rounds a gateway that hears of neither store nor
// upstream asks one of another data hall: the whole is paid for between halls, and
// what one gateway of a hall hears from there the others hear from it.
const remoteHallProbability = 0.25

// Addresses returns the other known gateways', at random but for those of the own
// data hall, which come first in most rounds; or the seeds' before any is known.
func (p mirrorPeers) Addresses() []string {
	others := p.g.membership.peers()
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

// distance orders gateways by where they are: zero in the own data hall.
func (p mirrorPeers) distance(m view.Member) int {
	if m.DataHall == p.g.self.DataHall {
		return 0
	}
	return 1
}

// hallPeers returns the other gateways of the own data hall by the VM's name.
func (p mirrorPeers) hallPeers() []view.Member {
	others := p.g.membership.peers()
	inHall := slices.DeleteFunc(others, func(m view.Member) bool { return m.DataHall != p.g.self.DataHall })
	slices.SortFunc(inHall, func(a, b view.Member) int { return cmp.Compare(a.VM, b.VM) })
	return inHall
}

// Upstream returns the gateways of the own data hall that come before this one by
// the VM's name, so that no two follow each other.
func (p mirrorPeers) Upstream() []string {
	var addresses []string
	for _, m := range p.hallPeers() {
		if m.VM < p.g.self.VM {
			addresses = append(addresses, m.Peer)
		}
	}
	return addresses
}

// Follow asks a gateway for what it knows beyond a revision.
func (p mirrorPeers) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	return p.g.client.Follow(ctx, address, after, wait)
}
