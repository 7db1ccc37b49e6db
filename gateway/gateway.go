// Package gateway puts one process together for a platform that keeps the
// declarations, the servers and the list of nodes in its store: it makes the
// parts, joins them, and runs them until the process is told to stop.
//
// It stands beside package node, which serves the product's own interface. A
// gateway keeps nothing that outlasts it, asks the store nothing on the path
// of a request, and sends its peers nothing on that path either; beside it,
// gateways tell each other what they have sent to servers (package share).
//
// # Usage
//
//	g, err := gateway.New(settings)
//	if err != nil {
//		return err
//	}
//	return g.Run(ctx) // until ctx ends; then the gateway drains and leaves
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/stall"
	"github.com/violettally/violettally/lease"
	"github.com/violettally/violettally/metrics"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
	"github.com/violettally/violettally/retry"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/settings"
	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

var (
	namespace = errs.Namespace("gateway")

	// Start says that the gateway could not be made or opened.
	Start = namespace.NewType("start")
	// Entry says that what stands under a gateway's key names none.
	Entry = namespace.NewType("entry")
)

const (
	// driverLease is the lease of the gateway that drives roll-outs.
	driverLease = "driver"
	// leaseTime is how long the driver's lease outlives its holder. Shorter
	// leases cost more renewals; a driver that is gone is replaced well within
	// the bound for stopping a bad version (5 s).
	leaseTime = 2500 * time.Millisecond
	// addressTTL is how long clients keep the addresses that they are told.
	// A node that leaves serves on for longer than that. At 2 s twice as many
	// requests came to nodes after their signal: 3,187 in 72 stops, and 1,696
	// at 1 s, the shortest that the directory can tell.
	addressTTL = time.Second
	// retryMargin is the part of the platform's bound on repeats that is used:
	// windows at the nodes begin at other moments than those that are judged.
	retryMargin = 0.85
	// movesRatio is the share of the requests that may be taken away from late
	// servers. Fewer servers than that are slow or dark at once on the days of
	// the deployments; where more are late, it is for load.
	movesRatio = 0.15
	// canaryMargin keeps the first stage of a roll-out below the agreed share,
	// since requests fall on either side by chance.
	canaryMargin = 0.7
)

// Gateway is one process of the system.
type Gateway struct {
	settings *settings.Gateway
	self     view.Member

	timers   *timer.Service
	metrics  *metrics.Metrics
	store    *platform.Store
	mirror   *mirror.Mirror
	registry *registry.Registry
	runners  *platform.Runners
	balancer *route.Balancer
	picker   *rollout.Picker
	services *rollout.Services
	driver   *rollout.Driver
	leases   *lease.Holder
	client   *peer.Client
	nodes    *nodes
	board    *share.Board
	suspects *suspect.List
	verdicts *suspect.Keeper

	relay   *relay.Relay
	records *decision.Log
	callers *platform.Callers
	catalog atomic.Pointer[catalog.Catalog]
	leaving atomic.Bool
}

// New makes a gateway that does not run yet.
func New(s *settings.Gateway) (*Gateway, error) {
	instruments, err := metrics.New()
	if err != nil {
		return nil, errs.Wrap(Start, "new", err, "metrics")
	}
	g := &Gateway{
		settings: s,
		timers:   timer.New(),
		metrics:  instruments,
		self: view.NewMember(view.Member{
			VM:       s.Name,
			Region:   s.Region,
			DataHall: s.DataHall,
			Caller:   s.Caller.Address(),
			Peer:     s.Peer.Address(),
		}),
	}
	g.catalog.Store(catalog.Empty())
	g.store = platform.NewStore(s.Store.Address, instruments.PlatformCall)
	g.client = peer.NewClient(nil, peer.WithCallCounter(instruments.PeerCall),
		peer.WithKnownValues(func(key string) (mirror.Item, bool) { return g.mirror.Get(key) }))
	g.registry = registry.New(g.timers)
	g.runners = platform.NewRunners()
	g.balancer = route.NewBalancer(s.DataHall, instruments.BreakerOpened, route.WithAnnouncer(func(s share.Send, news float64) { g.board.Tell(s, news) }))
	g.nodes = newNodes(g)
	g.suspects = suspect.New(g.timers)
	g.board = share.NewBoard(g.self, g, g.client, g.timers, g.heard)
	g.mirror = mirror.New(g.store, mirrorPeers{g}, g.timers, mirror.WithEvents(instruments.News))
	g.nodes.told = g.mirror.Told()
	g.verdicts = suspect.NewKeeper(g.suspects, g.store, g.mirror, g.nodes.countWorking, g.timers)
	g.makeRollouts()
	g.subscribe()
	g.makeRelay()
	if err := g.makeGauges(); err != nil {
		return nil, errs.Wrap(Start, "new", err, "metrics")
	}
	return g, nil
}

// makeGauges shows what this node knows of the store.
func (g *Gateway) makeGauges() error {
	return errors.Join(
		g.metrics.Gauge("violettally_declaration_version", "Version of the declaration in force.",
			func() float64 { return float64(g.Catalog().Version()) }),
		g.metrics.Gauge("violettally_store_revision", "Revision of the store up to which this node knows everything.",
			func() float64 { return float64(g.mirror.Revision()) }),
		g.metrics.Gauge("violettally_store_age_seconds", "Time since the store, or a peer that had heard from it, confirmed that.",
			func() float64 { return g.mirror.Age().Seconds() }),
	)
}

// makeRollouts joins what picks versions, and what drives roll-outs while this
// node holds the lease.
func (g *Gateway) makeRollouts() {
	g.picker = rollout.NewPicker()
	g.services = rollout.NewServices(g.picker, canaryMargin*g.settings.Bounds.CanaryShare)
	g.leases = lease.New(driverLease, g.self.ID, g.store, g.timers, leaseTime, lease.WithCandidates(g.mayDrive))
	g.driver = rollout.NewDriver(stagesKey, stages{g}, collector{g}, g.leases, g.services.Models, g.timers)
}

// makeRelay joins the path of requests.
func (g *Gateway) makeRelay() {
	g.records = decision.New(g.self.ID)
	g.relay = relay.New(relay.Parts{
		Started:  g.mirror.Told(),
		Catalog:  g.Catalog,
		Servers:  g.registry,
		News:     g.mirror,
		Versions: g.services,
		Balancer: g.balancer,
		Ladder:   cascade.NewLadder(),
		Budgets:  g.makeBudgets(g.settings.Bounds.RetryRatio),
		Moves:    g.makeBudgets(min(movesRatio, g.settings.Bounds.RetryRatio)),
		Suspects: suspects{g},
		Backends: g.runners,
		Records:  g.records,
		Counters: g.metrics.Relay(),
	})
}

// makeBudgets gives this node its part of what the platform lets all nodes
// send once more, or of a smaller share of the requests.
func (g *Gateway) makeBudgets(ratio float64) *retry.Windows {
	bounds := g.settings.Bounds
	slack := func() float64 { return retryMargin * bounds.RetrySlack / float64(g.nodes.countWorking()+1) }
	length := time.Duration(bounds.RetryWindowSeconds * float64(time.Second))
	return retry.NewWindows(retryMargin*ratio, slack, length)
}

// Catalog returns the declaration in force.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// Run opens the doors and runs the gateway until the context ends; then it
// drains and leaves.
func (g *Gateway) Run(ctx context.Context) error {
	doors, err := g.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, len(doors))
	for _, d := range doors {
		go func() { failed <- d.serve(work, d.listener) }()
	}
	for _, run := range []func(context.Context){g.mirror.Run, g.nodes.run, g.board.Run, g.driver.Run, g.reviewSuspects, g.verdicts.Run, g.watchStalls} {
		go run(work)
	}
	// The lease is given up at the signal and not at the end, so that another
	// gateway drives roll-outs meanwhile. The drain doesn't wait for it: a lease
	// that can't be given up lapses.
	stays, leave := context.WithCancel(ctx)
	defer leave()
	go g.leases.Run(stays)
	if drain := g.settings.Drain(); drain > 0 && drain < mirror.OldestUsed {
		slog.Warn("requests may go by news that is older than the agreed time after which a leaving server gets none",
			"agreed_ms", drain.Milliseconds(), "oldest_ms", mirror.OldestUsed.Milliseconds())
	}
	slog.Info("gateway is up", "id", g.self.ID, "caller", g.self.Caller, "data_hall", g.self.DataHall, "store", g.settings.Store.Address)
	select {
	case <-ctx.Done():
		g.drain()
		return nil
	case err := <-failed:
		return errs.Wrap(Start, "run", err, "a door closed")
	}
}

// watchStalls logs when this process did not run.
func (g *Gateway) watchStalls(ctx context.Context) { stall.Watch(ctx, g.timers, stall.Log) }

// ready reports whether this gateway takes requests: a declaration is in force,
// and so is all else that the store held when this gateway first read it. The
// parts are told of one key after the other, so a declaration may be in force
// before the servers are known.
func (g *Gateway) ready() bool {
	return !g.leaving.Load() && g.Catalog().Version() > 0 && g.mirror.Delivered() > 0
}

const (
	// noticeShare of the grace, and noticeTime at most, is how long a gateway
	// that leaves still takes new connections. Clients keep its address that
	// long, some for three times addressTTL; what comes later than 3 s after the
	// signal must be answered whole, whatever happens.
	noticeShare = 0.35
	noticeTime  = 2800 * time.Millisecond
	// endShare of the grace is when whatever still runs is ended, so that the
	// last answers are out before the platform kills the process.
	endShare = 0.95
	// flushTime is how long those last answers may take to be written.
	flushTime = 100 * time.Millisecond
)

// drain takes the gateway out of the directory, serves until clients have new
// addresses and the last request has its answer, and returns.
func (g *Gateway) drain() {
	signal := g.timers.Now()
	grace := g.settings.Grace()
	end := signal.Add(time.Duration(endShare * float64(grace)))
	doorCloses := signal.Add(min(noticeTime, time.Duration(noticeShare*float64(grace))))
	g.relay.Leave(relay.NewStop(signal, doorCloses, end))
	g.callers.Leave()
	// Last, since who sees that this gateway is not ready counts on the rest: an
	// answer that went out in between would keep its connection.
	g.leaving.Store(true)
	slog.Info("gateway is leaving", "grace_ms", grace.Milliseconds(), "under_way", len(g.records.Open()))
	// The call to the store may take a second; the door closes on time all the
	// same, since what comes after that can't be ended.
	go g.nodes.leave()
	g.waitUntil(doorCloses)
	slog.Info("door closes", "after_ms", g.timers.Now().Sub(signal).Milliseconds(), "under_way", len(g.records.Open()))
	g.shutdown(end)
	g.nodes.remove()
	for _, record := range g.records.Open() {
		record.End("left under way")
	}
	slog.Info("gateway has left", "after_ms", g.timers.Now().Sub(signal).Milliseconds())
}

// waitUntil returns at a time.
func (g *Gateway) waitUntil(at time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), at)
	defer cancel()
	<-ctx.Done()
}

// shutdown closes the callers' door and waits for the last answer. At the end
// it gives what still runs its final answer.
func (g *Gateway) shutdown(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if g.callers.Shutdown(ctx) == nil {
		return
	}
	slog.Warn("requests were still under way", "count", len(g.records.Open()))
	g.relay.End()
	flush, endFlush := context.WithTimeout(context.Background(), flushTime)
	defer endFlush()
	if err := g.callers.Wait(flush); err != nil {
		slog.Warn("last answers not all written", "error", err)
	}
}

// Await answers a peer that follows this gateway's copy of the store.
func (g *Gateway) Await(ctx context.Context, revision int64, wait time.Duration) mirror.Batch {
	return g.mirror.Await(ctx, revision, wait)
}

// Previous tells a peer's door what a key held before its last change.
func (g *Gateway) Previous(key string) (mirror.Item, bool) { return g.mirror.Before(key) }

// Counts answers the driver of roll-outs.
func (g *Gateway) Counts() (string, rollout.Counts) { return g.self.ID, g.picker.Counts() }
