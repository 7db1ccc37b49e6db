package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/throttle"
	"github.com/violettally/violettally/view"
	"github.com/violettally/violettally/warmup"
)

// warmUpLimit returns what the servers of a service bear while they warm up: what the
// declaration says, and no more than what is agreed with the platform.
func (g *Gateway) warmUpLimit(service string) warmup.Limit {
	s := g.Catalog().Service(service)
	if s == nil {
		return warmup.Limit{}
	}
	bounds := g.settings.Bounds
	return warmup.Limit{
		Duration:  s.WarmUp,
		PerSecond: min(s.WarmUpRate, bounds.WarmUpFactor*s.WarmUpRate+bounds.WarmUpSlack),
	}
}

// hasWarmUpLimits reports whether the servers of any service have a limit while they warm up, as
// far as is known.
func (g *Gateway) hasWarmUpLimits() bool {
	return g.Catalog().Version() == 0 || slices.ContainsFunc(g.Catalog().Services(), func(s catalog.Service) bool { return s.WarmUpRate > 0 })
}

// recordNotice logs and counts a change of what a server says of itself.
func (g *Gateway) recordNotice(c notice.Change) {
	g.metrics.NoticeChanged(c)
	g.noticeLog.info(c.LogMessage(), c.LogArgs()...)
}

// initLimits creates what keeps this gateway to the limits of servers.
func (g *Gateway) initLimits() {
	g.roster = owner.NewRoster(g.self, listedNodes{g}, g.timers)
	g.warmUps = warmup.New(g.roster, g.warmUpLimit, g.timers)
	publish := func(r notice.Report) { g.exchange.PublishNotice(r) }
	g.notices = notice.New(g.roster, g.timers, notice.WithObserver(g.recordNotice), notice.WithReporter(publish),
		notice.WithTunnels(g.noticeTunnels()))
	g.throttle = throttle.New(g.notices, g.roster, g.timers)
	g.rejections = rejection.New(g.notices, g.roster, g.timers, coordinators{g})
	g.places = rejection.NewPlaces(g.roster, g.timers, rejection.WithBeginObserver(func(server uint64) {
		g.noticeLog.info("gives out the places of a server", "server", strconv.FormatUint(server, 16))
	}))
}

// KnownNotices returns what this gateway knows that servers say of themselves.
func (g *Gateway) KnownNotices() []notice.Report { return g.notices.Known() }

// AskPlace gives another gateway places at a server.
func (g *Gateway) AskPlace(a rejection.Ask) rejection.Grant { return g.places.Ask(a) }

// coordinators gives the limiter access to the gateways that give out places.
type coordinators struct{ g *Gateway }

// Ask asks the owner of a server that has the given rank.
func (c coordinators) Ask(ctx context.Context, s registry.Server, rank int, a rejection.Ask) (rejection.Grant, error) {
	owners := owner.Leading(c.g.self, c.g.membership.peers(), s.DataHall, s.IDHash(), rank+1)
	switch {
	case len(owners) <= rank:
		return rejection.Grant{}, errs.New(rejection.NoOwner, "ask", "%d gateways", len(owners))
	case owners[rank].ID == c.g.self.ID:
		return c.g.places.Ask(a), nil
	}
	return c.g.peerClient.AskPlace(ctx, owners[rank].Peer, a)
}

// runRoster keeps the list of gateways up to date by which servers that get few requests are
// shared.
func (g *Gateway) runRoster(ctx context.Context) {
	g.roster.Run(ctx, func() bool {
		return g.hasWarmUpLimits() || g.notices.Count(notice.KindRequestLimit) > 0 || g.notices.NamesRejectionLimits()
	})
}

// listedNodes is the list of gateways as package owner uses it.
type listedNodes struct{ g *Gateway }

// Listed reports whether this gateway's entry is in the store and says that it stays.
func (n listedNodes) Listed() bool { return !n.g.leaving.Load() && n.g.membership.listed() }

// Others returns the other gateways that are not leaving.
func (n listedNodes) Others() []view.Member { return n.g.membership.peers() }

// Age is the time since the store last confirmed the list.
func (n listedNodes) Age() time.Duration { return n.g.mirror.Age() }
