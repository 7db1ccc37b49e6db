// Package gateway assembles a proxy process for a platform whose key-value store
// holds the declaration, the backend servers and the list of gateways. It creates
// the components, connects them and runs them until the process is asked to stop.
//
// Package node does the same for the product's own API. A gateway keeps no state
// that outlives its process. On the request path it calls neither other gateways nor
// the store, unless a refused request is due for a probe (package suspect), a backend
// server is reached through another gateway only (package tunnel), or a server has few
// places, which another gateway gives out (package rejection). In the background,
// gateways exchange records of the requests that they have sent to backend servers
// (package share).
//
// # Usage
//
//	g, err := gateway.New(settings)
//	if err != nil {
//		return err
//	}
//	return g.Run(ctx) // until ctx ends; then the gateway drains and deregisters
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/handoff"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/stall"
	"github.com/violettally/violettally/lease"
	"github.com/violettally/violettally/metrics"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/relay"
	"github.com/violettally/violettally/retry"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/settings"
	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/throttle"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/tunnel"
	"github.com/violettally/violettally/view"
	"github.com/violettally/violettally/warmup"
)

var (
	namespace = errs.Namespace("gateway")

	// StartFailed is the type of errors that keep the gateway from starting or running.
	StartFailed = namespace.NewType("start")
	// InvalidEntry is the type of errors of a stored gateway entry that cannot be
	// decoded or has no usable address.
	InvalidEntry = namespace.NewType("entry")
)

const (
	// driverLeaseName is the name of the lease of the gateway that drives rollouts and makes
	// the calls that only one may make.
	driverLeaseName = "driver"
	// driverLeaseTTL leaves enough time to replace a failed driver within the 5 s
	// in which a bad version must be stopped. A shorter TTL costs more renewals.
	driverLeaseTTL = 2500 * time.Millisecond
	// addressTTL is how long clients may cache the addresses from the directory.
	// A gateway that shuts down keeps serving for longer. 1 s is the shortest TTL
	// that the directory can express; the longer it is, the more requests arrive after
	// the stop signal.
	addressTTL = time.Second
	// retrySafetyFactor is the fraction of the platform's retry limit that is used,
	// since the gateways' windows are not aligned with those that the platform checks.
	retrySafetyFactor = 0.85
	// rerouteRatio is the maximum share of requests that may be moved away from
	// servers that respond late. In the deployments' scenarios fewer servers than
	// that are slow or unresponsive at once; if more are late, the cause is load.
	rerouteRatio = 0.15
	// canarySafetyFactor keeps the first stage of a rollout below the agreed share,
	// since the actual share of requests varies randomly.
	canarySafetyFactor = 0.7
)

// Gateway is one proxy process.
type Gateway struct {
	settings *settings.Gateway
	self     view.Member

	timers     *timer.Service
	metrics    *metrics.Metrics
	store      *platform.Store
	mirror     *mirror.Mirror
	registry   *registry.Registry
	roster     *owner.Roster
	warmUps    *warmup.Limiter
	notices    *notice.Board
	throttle   *throttle.Limiter
	rejections *rejection.Limiter
	// started is closed once this gateway has read the store and heard what servers say of themselves.
	started       chan struct{}
	places        *rejection.Places
	dialServer    tunnel.DialFunc
	dialer        *tunnel.Dialer
	carrier       *tunnel.Carrier
	backends      *platform.BackendClient
	balancer      *route.Balancer
	picker        *rollout.Picker
	servicePicker *rollout.ServicePicker
	driver        *rollout.Driver
	leaseHolder   *lease.Holder
	vacancy       lease.Vacancy
	duties        *duties
	peerClient    *peer.Client
	membership    *membership
	exchange      *share.Exchange
	detector      *suspect.Detector
	serverChecks  serverChecks
	verdictSyncer *suspect.Syncer

	relay     *relay.Relay
	decisions *decision.Log
	frontend  *platform.Frontend
	// serverLog is for the log lines about servers that register, serverEndLog for the others,
	// noticeLog for those about the limits that servers name, pathLog for those about the ways to
	// them, clientLog for those about clients that were refused.
	serverLog, serverEndLog, noticeLog, pathLog, clientLog *limitedLog
	// serversGone means that there may be state of servers that are gone.
	serversGone atomic.Bool
	// evacuationOrders wakes watchEvacuations.
	evacuationOrders chan struct{}
	catalog          atomic.Pointer[catalog.Catalog]
	leaving          atomic.Bool
}

// Option configures a Gateway in New.
type Option func(*Gateway)

// WithServerDialer sets the function that opens connections to backend servers, in place of TCP.
func WithServerDialer(dial tunnel.DialFunc) Option {
	return func(g *Gateway) { g.dialServer = dial }
}

// New returns a gateway that is not running yet.
func New(s *settings.Gateway, options ...Option) (*Gateway, error) {
	instruments, err := metrics.New()
	if err != nil {
		return nil, errs.Wrap(StartFailed, "new", err, "metrics")
	}
	g := &Gateway{
		settings: s,
		timers:   timer.New(),
		metrics:  instruments,

		dialServer:       platform.DialServer,
		evacuationOrders: make(chan struct{}, 1),
		started:          make(chan struct{}),
		self: view.NewMember(view.Member{
			VM:       s.Name,
			Region:   s.Region,
			DataHall: s.DataHall,
			Caller:   s.Caller.Address(),
			Peer:     s.Peer.Address(),
			FanOut:   fanOut(s.Limits),
		}),
	}
	for _, option := range options {
		option(g)
	}
	g.serverLog = newLimitedLog(serverLogBurst)
	g.serverEndLog = newLimitedLog(serverEndLogBurst)
	g.noticeLog = newLimitedLog(serverLogBurst)
	g.pathLog = newLimitedLog(serverLogBurst)
	g.clientLog = newLimitedLog(serverLogBurst)
	g.catalog.Store(catalog.Empty())
	g.store = platform.NewStore(s.Store.Address, instruments.PlatformCall)
	g.peerClient = peer.NewClient(nil, peer.WithAddress(g.self.Peer), peer.WithCallCounter(instruments.PeerCall),
		peer.WithKnownValues(func(key string) (mirror.Item, bool) { return g.mirror.Get(key) }))
	g.registry = registry.New(g.timers)
	g.initConnections()
	g.balancer = route.NewBalancer(s.DataHall, instruments.BreakerOpened, route.WithPublisher(func(s share.Record, prefillMillis float64) { g.exchange.Publish(s, prefillMillis) }))
	g.membership = newMembership(g)
	g.detector = suspect.New(g.timers)
	g.exchange = share.NewExchange(g.self, g, g.peerClient, g.timers, g.handleRecord)
	g.initLimits()
	g.initMirror()
	g.membership.synced = g.mirror.Synced()
	g.verdictSyncer = suspect.NewSyncer(g.detector, g.store, g.mirror, g.membership.countAllPeers, g.timers, g.applyChange)
	g.initRollouts()
	g.duties = newDuties(g)
	g.subscribe()
	g.initRelay()
	if err := g.registerGauges(); err != nil {
		return nil, errs.Wrap(StartFailed, "new", err, "metrics")
	}
	return g, nil
}

const (
	// mbpsPerFollower is the link capacity, in Mbit/s, that a gateway needs for each other one
	// that it passes news on to.
	mbpsPerFollower = 8.0
	// minFanOut and maxFanOut bound the number of gateways that one passes news on to.
	minFanOut, maxFanOut = 8, 24
)

// fanOut returns the number of gateways that one with the given limits can pass news on to.
func fanOut(l settings.GatewayLimits) int {
	return max(minFanOut, min(maxFanOut, int(l.LinkMbps/mbpsPerFollower)))
}

// initMirror creates the copy of the store.
func (g *Gateway) initMirror() {
	delay := readerDelay
	if g.self.FanOut > minFanOut || slices.Contains(g.settings.Seeds, g.self.Peer) {
		delay = earlyReaderDelay
	}
	g.mirror = mirror.New(g.store, mirrorPeers{g}, g.timers, mirror.WithEvents(g.metrics.MirrorEvent),
		mirror.WithFanOut(g.self.FanOut), mirror.WithHallReaders(readerRecord{g}, delay))
}

// initConnections creates what opens connections to servers, for this gateway and for others.
func (g *Gateway) initConnections() {
	g.dialer = tunnel.NewDialer(g.dialServer, g.timers,
		tunnel.WithPeers(g.self, tunnelPeers{g}),
		tunnel.WithIdleCloser(func(drop func(net.Conn) bool) { g.backends.CloseIdleIf(drop) }),
		tunnel.WithObserver(g.metrics.ServerDialed),
		tunnel.WithPathObserver(g.recordPath))
	g.backends = platform.NewBackendClient(platform.WithDialer(g.dialer.DialContext), platform.WithConnObserver(g.metrics.ConnEvent))
	g.carrier = tunnel.NewCarrier(g.dialer, g.hasServerAt, func() bool { return !g.leaving.Load() }, tunnel.WithWithheld(g.isWithheldAt),
		tunnel.WithMaxCarried(maxCarried(g.settings.Limits)))
}

// registerGauges registers gauges for the state of this gateway's copy of the store.
func (g *Gateway) registerGauges() error {
	return errors.Join(
		g.metrics.Gauge("violettally_declaration_version", "Version of the declaration in force.",
			func() float64 { return float64(g.Catalog().Version()) }),
		g.metrics.Gauge("violettally_store_revision", "Revision of the store up to which this node knows everything.",
			func() float64 { return float64(g.mirror.Revision()) }),
		g.metrics.Gauge("violettally_store_age_seconds", "Time since the store, or a peer that had heard from it, confirmed that.",
			func() float64 { return g.mirror.Age().Seconds() }),
		g.metrics.Gauge("violettally_evacuated_data_halls", "Data halls that operators have evacuated.",
			func() float64 { return float64(len(g.registry.Evacuations())) }),
		g.metrics.Gauge("violettally_evacuated_requests", "Requests of this node that still run in evacuated data halls.",
			func() float64 { return float64(g.countEvacuatedRequests()) }),
		g.metrics.Gauge("violettally_servers_warming_up", "Servers that are warming up and were considered for a request of this node.",
			func() float64 { return float64(g.warmUps.CountWarmingUp()) }),
		g.metrics.Gauge("violettally_limited_servers", "Servers that name a request limit, as far as this node knows.",
			func() float64 { return float64(g.notices.Count(notice.KindRequestLimit)) }),
		g.metrics.Gauge("violettally_rejection_limited_servers", "Servers that name a rejection limit, as far as this node knows.",
			func() float64 { return float64(g.notices.Count(notice.KindRejectionLimit)) }),
		g.metrics.Gauge("violettally_rejection_limited_services", "Services whose servers name rejection limits, as far as this node knows.",
			func() float64 { return float64(g.notices.Count(notice.KindServiceRejectionLimit)) }),
		g.metrics.Gauge("violettally_leaving_servers", "Servers whose answers say that they leave, as far as this node knows.",
			func() float64 { return float64(g.notices.Count(notice.KindLeaving)) }),
		g.metrics.Gauge("violettally_resting_servers", "Servers that have wanted rest of this node and have not answered a request since.",
			func() float64 { return float64(g.notices.Count(notice.KindRest)) }),
		g.metrics.Gauge("violettally_unreachable_servers", "Servers that this node does not reach by itself.",
			func() float64 { return float64(g.dialer.CountLost()) }),
		g.metrics.Gauge("violettally_tunnels", "Open connections to servers through other nodes.",
			func() float64 { return float64(g.dialer.CountTunnels()) }),
		g.metrics.Gauge("violettally_carried_tunnels", "Open connections to servers that this node carries for others.",
			func() float64 { return float64(g.carrier.CountCarried()) }),
	)
}

// initRollouts creates the version pickers, and the driver of rollouts, which is
// active while this gateway holds the driver's lease.
func (g *Gateway) initRollouts() {
	g.picker = rollout.NewPicker()
	g.servicePicker = rollout.NewServicePicker(g.picker, canarySafetyFactor*g.settings.Bounds.CanaryShare)
	g.leaseHolder = lease.New(driverLeaseName, g.self.ID, g.store, g.timers, driverLeaseTTL, lease.WithEligibility(g.mayHoldLease))
	g.driver = rollout.NewDriver(stagesKey, stageUpdater{g}, countCollector{g}, g.leaseHolder, g.servicePicker.Models, g.timers)
}

// initRelay creates the relay, which handles requests.
func (g *Gateway) initRelay() {
	g.decisions = decision.New(g.self.ID)
	options := relay.Options{
		Ready:       g.started,
		StartFailed: g.mirror.StartFailed,
		Catalog:     g.Catalog,
		Servers:     g.registry,
		WarmUps:     g.warmUps,
		Notices:     g.notices,
		Throttle:    g.throttle,
		Rejections:  g.rejections,
		StoreView:   g.mirror,
		Versions:    g.servicePicker,
		Balancer:    g.balancer,
		Cascade:     cascade.NewConfidencePolicy(),
		Budgets:     g.newRetryBudgets(g.settings.Bounds.RetryRatio),
		Reroutes:    g.newRetryBudgets(min(rerouteRatio, g.settings.Bounds.RetryRatio)),
		Suspects:    relaySuspects{g},
		Backends:    g.backends,
		Handoffs:    handoff.NewStopper(g.backends, handoff.WithObserver(g.metrics.RunStopped)),
		Records:     g.decisions,
		Counters:    g.metrics.Relay(),
	}
	if g.duties != nil {
		options.Usage = g.duties.meter
	}
	g.relay = relay.New(options)
}

// newRetryBudgets returns this gateway's part of a retry budget that all gateways
// share. Ratio is the share of the requests that may be retried.
func (g *Gateway) newRetryBudgets(ratio float64) *retry.WindowBudgets {
	bounds := g.settings.Bounds
	slack := func() float64 { return retrySafetyFactor * bounds.RetrySlack / float64(g.membership.countAllPeers()+1) }
	length := time.Duration(bounds.RetryWindowSeconds * float64(time.Second))
	return retry.NewWindowBudgets(retrySafetyFactor*ratio, slack, length)
}

// Catalog returns the declaration in force.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalog.Load() }

// Run opens the listeners and serves until the context ends; then it drains and
// deregisters the gateway. It returns an error if a listener cannot be opened or
// stops serving.
func (g *Gateway) Run(ctx context.Context) error {
	endpoints, err := g.openEndpoints()
	if err != nil {
		return err
	}
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	failed := make(chan error, len(endpoints))
	for _, e := range endpoints {
		go func() { failed <- e.serve(workCtx, e.listener) }()
	}
	for _, run := range []func(context.Context){g.mirror.Run, g.start, g.membership.run, g.exchange.Run, g.dialer.Run, g.rejections.Run, g.driver.Run, g.reviewSuspects, g.verdictSyncer.Run, g.watchStalls, g.watchEvacuations, g.maintain, g.runRoster} {
		go run(workCtx)
	}
	if g.duties != nil {
		go g.duties.run(workCtx)
	}
	// The driver's lease is released at the stop signal and not after the drain, so
	// that another gateway can drive rollouts meanwhile. The drain doesn't wait for
	// it: a lease that can't be released expires.
	leaseCtx, releaseLease := context.WithCancel(ctx)
	defer releaseLease()
	go g.leaseHolder.Run(leaseCtx)
	g.warnOfShortBounds()
	slog.Info("gateway started", "id", g.self.ID, "caller", g.self.Caller, "data_hall", g.self.DataHall, "store", g.settings.Store.Address)
	select {
	case <-ctx.Done():
		g.drain()
		return nil
	case err := <-failed:
		return errs.Wrap(StartFailed, "run", err, "listener stopped serving")
	}
}

// warnOfShortBounds logs the agreed times within which this gateway can't be sure to have
// heard of an order or of a server that leaves.
func (g *Gateway) warnOfShortBounds() {
	for name, agreed := range map[string]time.Duration{"drain": g.settings.Drain(), "evacuation": g.settings.Evacuation()} {
		if agreed > 0 && agreed < mirror.MaxStaleness {
			slog.Warn("maximum staleness of what the store holds exceeds the agreed time", "bound", name,
				"agreed_ms", agreed.Milliseconds(), "oldest_ms", mirror.MaxStaleness.Milliseconds())
		}
	}
}

// watchStalls logs each time that this process was not scheduled for a while.
func (g *Gateway) watchStalls(ctx context.Context) { stall.Watch(ctx, g.timers, stall.Log) }

// ready reports whether this gateway accepts requests: a declaration is in force,
// and everything that the store held at the first read has been delivered to the
// subscribers. Keys are delivered one after the other, so a declaration may be in
// force before the servers are known.
func (g *Gateway) ready() bool {
	return !g.leaving.Load() && g.Catalog().Version() > 0 && g.mirror.Delivered() > 0
}

const (
	// A gateway that drains accepts new connections for drainAcceptShare of the
	// grace period, and for maxDrainAccept at most. Clients use a cached address
	// that long, some for three times addressTTL. A request accepted later than
	// 3 s after the stop signal must get its complete response in any case.
	drainAcceptShare = 0.35
	maxDrainAccept   = 2800 * time.Millisecond
	// abortShare is the part of the grace period after which all remaining requests
	// are aborted, so that their final responses are sent before the platform kills
	// the process.
	abortShare = 0.95
	// flushTimeout is the time to write those final responses.
	flushTimeout = 100 * time.Millisecond
)

// drain removes the gateway from the directory, serves until clients have new
// addresses and the last response is sent, and deregisters the gateway.
func (g *Gateway) drain() {
	signaled := g.timers.Now()
	grace := g.settings.Grace()
	end := signaled.Add(time.Duration(abortShare * float64(grace)))
	closeAt := signaled.Add(min(maxDrainAccept, time.Duration(drainAcceptShare*float64(grace))))
	g.relay.Drain(relay.NewShutdown(signaled, closeAt, end))
	g.frontend.StartDrain()
	// This comes last, so that once the gateway reports that it is not ready, every
	// response closes its connection.
	g.leaving.Store(true)
	slog.Info("gateway is draining", "grace_ms", grace.Milliseconds(), "under_way", len(g.decisions.Unfinished()))
	// The call to the store may take a second. The listener is closed on time all the
	// same, since requests that arrive later can't be completed.
	go g.membership.announceLeaving()
	g.sleepUntil(closeAt)
	slog.Info("closing client listener", "after_ms", g.timers.Now().Sub(signaled).Milliseconds(), "under_way", len(g.decisions.Unfinished()))
	g.shutdown(end)
	g.membership.deregister()
	for _, record := range g.decisions.Unfinished() {
		record.End("left under way")
	}
	slog.Info("gateway stopped", "after_ms", g.timers.Now().Sub(signaled).Milliseconds())
}

// sleepUntil blocks until the given time.
func (g *Gateway) sleepUntil(at time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), at)
	defer cancel()
	<-ctx.Done()
}

// shutdown closes the client listener and waits for the last response. At the
// given end it aborts the remaining requests, which get their final responses.
func (g *Gateway) shutdown(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if g.frontend.Shutdown(ctx) == nil {
		return
	}
	slog.Warn("aborting remaining requests", "count", len(g.decisions.Unfinished()))
	g.relay.Close()
	g.frontend.Abort()
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), flushTimeout)
	defer cancelFlush()
	if err := g.frontend.Wait(flushCtx); err != nil {
		slog.Warn("final responses not all written", "error", err)
	}
}

// Respond returns the response to a peer that follows this gateway's copy of the store.
func (g *Gateway) Respond(ctx context.Context, peer string, after int64, wait time.Duration) (mirror.Batch, func(error)) {
	return g.mirror.Respond(ctx, peer, after, wait)
}

// Previous returns the item that a key had before its last change, if its value was
// large; the peer server sends large values as deltas from it.
func (g *Gateway) Previous(key string) (mirror.Item, bool) { return g.mirror.Previous(key) }

// Counts returns this gateway's ID and its counts for the driver of rollouts.
func (g *Gateway) Counts() (string, rollout.Counts) { return g.self.ID, g.servicePicker.Counts() }
