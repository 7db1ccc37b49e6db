package autoscale

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/timer"
)

// Platform takes orders.
type Platform interface {
	// OrderServers sends an order under a fencing token. The error is NoneAvailable if there
	// are no such servers now.
	OrderServers(ctx context.Context, token int64, o Order) error
}

// Lease reports whether this node holds the lease for at least another d, and its fencing
// token.
type Lease interface {
	Held(d time.Duration) (token int64, ok bool)
}

// Options are the dependencies of a Controller.
type Options struct {
	// Services returns the declared services whose servers are ordered.
	Services func() []Service
	// Pools returns the servers of a service by data hall; false while that is not known for
	// sure, so that nothing can be decided.
	Pools    func(service string) (map[string]Pool, bool)
	Demand   *DemandMeter
	Platform Platform
	Lease    Lease
	Timers   *timer.Service
	// Count is called for each order, with the error of the call.
	Count func(error)
}

const (
	// stepInterval is the time between two plans.
	stepInterval = time.Second
	// callTimeout bounds one call to the platform. The lease must outlast it.
	callTimeout = time.Second
	// repeatTime is how long, beyond a server's start, the number of servers may differ from
	// the order before it is sent again.
	repeatTime = 5 * time.Second
)

// subject identifies what one order is about; each order replaces the one before.
type subject struct {
	service, hall string
	spot          bool
}

// sentOrder is the last order on a subject.
type sentOrder struct {
	servers int
	at      time.Time
}

// Controller carries out the plans for all services while this node holds the lease.
type Controller struct {
	Options
	planners map[string]*Planner
	sent     map[subject]sentOrder
}

// NewController returns a controller that has ordered nothing.
func NewController(o Options) *Controller {
	c := &Controller{Options: o}
	c.reset()
	return c
}

// reset forgets the plans of an earlier term: another node has planned since.
func (c *Controller) reset() {
	c.planners = make(map[string]*Planner)
	c.sent = make(map[subject]sentOrder)
}

// Run plans and orders until the context ends.
func (c *Controller) Run(ctx context.Context) {
	c.Timers.Every(ctx, stepInterval, func() { c.step(ctx) })
}

func (c *Controller) step(ctx context.Context) {
	if _, held := c.Lease.Held(callTimeout); !held {
		c.reset()
		return
	}
	for _, s := range c.Services() {
		pools, known := c.Pools(s.Name)
		if !known {
			continue
		}
		p := c.planner(s)
		now := c.Timers.Steady()
		demand := c.Demand.Demand(s.Name)
		for _, o := range p.Plan(now, pools, demand) {
			if c.isDue(o, s, pools[o.Hall], now) {
				c.send(ctx, p, o, demand)
			}
		}
	}
}

// planner returns the planner of a service. After a rollout, other servers run than were
// ordered, so it goes on from what there is.
func (c *Controller) planner(s Service) *Planner {
	p := c.planners[s.Name]
	if p == nil {
		p = NewPlanner(s)
		c.planners[s.Name] = p
	}
	if p.service.InRollout && !s.InRollout {
		p.Resume()
		maps.DeleteFunc(c.sent, func(about subject, _ sentOrder) bool { return about.service == s.Name })
	}
	p.Declare(s)
	return p
}

// isDue reports whether an order is to be sent: it differs from the last one, or that one
// has had no effect.
func (c *Controller) isDue(o Order, s Service, pool Pool, now time.Time) bool {
	last, known := c.sent[subject{o.Service, o.Hall, o.Spot}]
	running := pool.Reserved
	if o.Spot {
		running = pool.Spot
	}
	switch {
	case s.InRollout && o.Servers <= running:
		return false
	case !known:
		return running != o.Servers
	case last.servers != o.Servers:
		return true
	}
	return running < o.Servers && now.Sub(last.at) > s.StartUp+repeatTime
}

// send sends an order, if the lease outlasts the call.
func (c *Controller) send(ctx context.Context, p *Planner, o Order, demand Demand) {
	token, held := c.Lease.Held(callTimeout)
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.Platform.OrderServers(ctx, token, o)
	c.Count(err)
	now := c.Timers.Steady()
	level := slog.LevelInfo
	switch {
	case err == nil:
		c.sent[subject{o.Service, o.Hall, o.Spot}] = sentOrder{servers: o.Servers, at: now}
		if o.Spot {
			p.SpotOrdered(o.Hall, now)
		}
	case errorx.IsOfType(err, NoneAvailable):
		level = slog.LevelWarn
		if o.Spot {
			p.SpotRefused(o.Hall, now)
		}
	default:
		level = slog.LevelWarn
	}
	slog.Log(ctx, level, "servers ordered", "service", o.Service, "data_hall", o.Hall, "spot", o.Spot, "servers", o.Servers,
		"token", token, "capacity", p.capacity, "busy", demand.Busy, "running", demand.Running, "error", err)
}
