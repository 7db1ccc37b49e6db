package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/notice"
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
	notices    *notice.Board
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
	l.notices = notice.New(l.roster, n.timers, notice.WithObserver(l.recordChange), notice.WithTunnels(n.noticeTunnels()))
	l.limiter = throttle.New(l.notices, l.roster, n.timers, throttle.WithUsers(l.users))
	l.rejections = rejection.New(l.notices, l.roster, n.timers, l)
	l.places = rejection.NewPlaces(l.roster, n.timers)
	return l
}

// rankedMember returns a member as package owner ranks it: by its ID and without regard to its
// data hall, as package route assigns servers to nodes, so that owners use the servers they own.
func rankedMember(m view.Member) view.Member { return view.Member{VM: m.ID, Peer: m.Peer} }

// run keeps the list of nodes up to date until the context ends.
func (l *serverLimits) run(ctx context.Context) {
	l.roster.Run(ctx, func() bool {
		return l.notices.Count(notice.KindRequestLimit) > 0 || l.notices.NamesRejectionLimits()
	})
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

// Wait returns the time until a server of a pool that is not allowed a request may get one, and why it
// may not before.
func (l *serverLimits) Wait(pool string, s config.Server) (time.Duration, throttle.Cause) {
	server := target(pool, s)
	return l.limiter.Wait([]*registry.Server{&server})
}

// resting reports whether a server wants rest now.
func (l *serverLimits) resting(s config.Server) bool {
	server := target("", s)
	return l.n.timers.Steady().Before(l.notices.State(&server).RestUntil)
}

// withheld reports whether a server wants no requests now.
func (l *serverLimits) withheld(s config.Server) bool { return l.limiter.Withheld(target("", s)) }

// Take counts a request to a server of a pool, unless this node may not send it now.
func (l *serverLimits) Take(pool string, s config.Server) bool {
	server := target(pool, s)
	if l.rejections.Take(context.Background(), server) == rejection.BasisNone {
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

// Abandon is Release for a request that the server may still run, for about so long.
func (l *serverLimits) Abandon(pool string, s config.Server, stillRuns time.Duration) {
	l.rejections.Abandon(target(pool, s), stillRuns)
}

// Noticed records what a server's response says of it.
func (l *serverLimits) Noticed(s config.Server, answer notice.Answer) {
	server := target("", s)
	server.Address = addressOf(s)
	l.notices.Observe(server, answer)
}

// Ask asks the owner of a server that has the given rank for places.
func (l *serverLimits) Ask(ctx context.Context, s registry.Server, rank int, a rejection.Ask) (rejection.Grant, error) {
	self := rankedMember(l.n.self)
	var others []view.Member
	for _, m := range l.n.prober.Alive() {
		if m.ID != l.n.self.ID {
			others = append(others, rankedMember(m))
		}
	}
	owners := owner.Leading(self, others, s.DataHall, s.IDHash(), rank+1)
	switch {
	case len(owners) <= rank:
		return rejection.Grant{}, errs.New(rejection.NoOwner, "ask", "%d nodes", len(owners))
	case owners[rank].VM == self.VM:
		return l.places.Ask(a), nil
	}
	return l.n.client.AskPlace(ctx, owners[rank].Peer, a)
}

// AskPlace gives another node places at a server.
func (p peerNode) AskPlace(a rejection.Ask) rejection.Grant { return p.n.limits.places.Ask(a) }

// Rejected records that a server has rejected a request.
func (l *serverLimits) Rejected(s config.Server) {
	if server := target("", s); l.notices.State(&server).RejectionLimit != notice.Unlimited {
		l.n.metrics.ServerRejected()
	}
}

// recordChange logs and counts a change of what a server says of itself.
func (l *serverLimits) recordChange(c notice.Change) {
	l.n.metrics.NoticeChanged(c)
	slog.Info(c.LogMessage(), c.LogArgs()...)
}
