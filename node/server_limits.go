package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/throttle"
	"github.com/violettally/violettally/view"
)

// serverLimits keeps this node to its shares of the limits that backend servers name.
type serverLimits struct {
	n          *Node
	limiter    *throttle.Limiter
	rejections *rejection.Limiter
	places     *rejection.Places
	roster     *owner.Roster
	// others holds the other members of the view.
	others atomic.Pointer[[]view.Member]
}

func newServerLimits(n *Node) *serverLimits {
	l := &serverLimits{n: n}
	l.others.Store(&[]view.Member{})
	l.roster = owner.NewRoster(rankedMember(n.self), l, n.timers)
	l.limiter = throttle.New(l.roster, n.timers, throttle.WithObserver(l.recordChange), throttle.WithUsers(l.users))
	l.rejections = rejection.New(l.roster, n.timers, l, rejection.WithLimits(throttle.WithObserver(l.recordRejectionChange)))
	l.places = rejection.NewPlaces(n.timers)
	return l
}

// rankedMember returns a member as package owner ranks it: by its ID and without regard to its
// data hall, as package route assigns servers to nodes, so that owners use the servers they own.
func rankedMember(m view.Member) view.Member { return view.Member{VM: m.ID} }

// run keeps the list of nodes up to date until the context ends.
func (l *serverLimits) run(ctx context.Context) {
	l.roster.Run(ctx, func() bool { return l.limiter.CountLimited() > 0 || l.rejections.CountLimited() > 0 })
}

// setView stores the members of a new view.
func (l *serverLimits) setView(v *view.View) {
	var others []view.Member
	for _, m := range v.Members() {
		if m.ID != l.n.self.ID {
			others = append(others, rankedMember(m))
		}
	}
	l.others.Store(&others)
}

// Listed reports whether this node is in the view and stays there.
func (l *serverLimits) Listed() bool {
	return l.n.viewManager.Current().Has(l.n.self.ID) && !l.n.prober.Leaving()
}

// Others returns the other members of the view.
func (l *serverLimits) Others() []view.Member { return *l.others.Load() }

// Age tells whether the view may be out of date.
func (l *serverLimits) Age() time.Duration {
	if l.n.replicator.ReceivesUpdates() {
		return 0
	}
	return mirror.MaxStaleness
}

// users returns how many nodes use each server of a pool.
func (l *serverLimits) users(pool string) int {
	return route.NodesPerServer(l.roster.Count(), len(l.n.Config().Servers(pool)))
}

// target returns a server as package throttle names it. A server may be part of several pools.
func target(pool string, s config.Server) registry.Server {
	return registry.Server{ID: route.ServerKey(s), Service: pool, Slots: s.Slots}
}

// Allows reports whether this node may send a server of a pool a request now.
func (l *serverLimits) Allows(pool string, s config.Server) bool {
	server := target(pool, s)
	return l.limiter.Allows(server) && l.rejections.Allows(server)
}

// Take counts a request to a server of a pool, unless this node may not send it now.
func (l *serverLimits) Take(pool string, s config.Server) bool {
	server := target(pool, s)
	if !l.rejections.Take(context.Background(), server) {
		return false
	}
	if l.limiter.Take(server) {
		return true
	}
	l.rejections.Release(server)
	return false
}

// Release records that a request is not at a server of a pool any more.
func (l *serverLimits) Release(pool string, s config.Server) { l.rejections.Release(target(pool, s)) }

// Reject is Release for a request that the server has declined to run.
func (l *serverLimits) Reject(pool string, s config.Server) { l.rejections.Reject(target(pool, s)) }

// RequestLimit records the request limit that a server's response names.
func (l *serverLimits) RequestLimit(s config.Server, perSecond float64) {
	l.limiter.Observe(target("", s), perSecond)
}

// RejectionLimit records the rejection limit that a server's response names.
func (l *serverLimits) RejectionLimit(s config.Server, perSecond float64) {
	l.rejections.Observe(target("", s), perSecond)
}

// Ask asks the first owner of a server for places.
func (l *serverLimits) Ask(ctx context.Context, s registry.Server, a rejection.Ask) (rejection.Grant, error) {
	first := owner.First(l.n.self, l.n.prober.Alive(), "", s.Hash())
	if first.ID == l.n.self.ID {
		return l.places.Ask(a), nil
	}
	return l.n.client.AskPlace(ctx, first.Peer, a)
}

// AskPlace gives another node places at a server.
func (p peerNode) AskPlace(a rejection.Ask) rejection.Grant { return p.n.limits.places.Ask(a) }

// Rejected records that a server has rejected a request.
func (l *serverLimits) Rejected(s config.Server) {
	if l.rejections.Limit(target("", s)) != rejection.Unlimited {
		l.n.metrics.ServerRejected()
	}
}

// recordRejectionChange logs and counts a change of a server's rejection limit.
func (l *serverLimits) recordRejectionChange(c throttle.Change) {
	l.n.metrics.RejectionLimitChanged(c)
	slog.Info(rejection.LogMessage, c.LogArgs()...)
}

// recordChange logs and counts a change of a server's limit.
func (l *serverLimits) recordChange(c throttle.Change) {
	l.n.metrics.ServerLimitChanged(c)
	slog.Info(throttle.LogMessage, c.LogArgs()...)
}
