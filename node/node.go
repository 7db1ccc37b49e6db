// Package node assembles one node process: it creates the components, connects
// them through the interfaces that they declare, and runs them until shutdown.
//
// # Usage
//
//	n, err := node.New(settings)
//	if err != nil {
//		return err
//	}
//	return n.Run(ctx) // until ctx ends; then drains the node
package node

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/violettally/violettally/adapter/callers"
	"github.com/violettally/violettally/adapter/engine"
	"github.com/violettally/violettally/adapter/etcd"
	"github.com/violettally/violettally/adapter/operators"
	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/adapter/rating"
	"github.com/violettally/violettally/adapter/vmlist"
	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/billing"
	"github.com/violettally/violettally/cascade"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/dispatch"
	"github.com/violettally/violettally/docsync"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/inbound"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/stall"
	"github.com/violettally/violettally/lease"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/limit"
	"github.com/violettally/violettally/member"
	"github.com/violettally/violettally/metrics"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/placement"
	"github.com/violettally/violettally/retry"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/session"
	"github.com/violettally/violettally/settings"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/tunnel"
	"github.com/violettally/violettally/view"
)

var (
	namespace = errs.Namespace("node")

	// StartFailed means that the node could not be created or could not serve.
	StartFailed = namespace.NewType("start")
)

// driverLeaseName is the lease of the node that drives rollouts and orders model
// loads.
const driverLeaseName = "driver"

// Node is one node process with all its components.
type Node struct {
	settings *settings.Settings
	self     view.Member
	holder   claim.Holder

	timers      *timer.Service
	metrics     *metrics.Metrics
	store       *etcd.Client
	vms         *vmlist.List
	client      *peer.Client
	replicator  *docsync.Replicator
	prober      *member.Prober
	viewManager *view.Manager
	replica     *claim.Replica
	claimer     *claim.Claimer
	journal     *ledger.Journal
	closer      *ledger.Closer
	responses   *answer.Store
	decisions   *decision.Log
	dialServer  tunnel.DialFunc
	dialer      *tunnel.Dialer
	carrier     *tunnel.Carrier
	engines     *engine.Client
	limiter     *limit.Limiter
	grantor     *limit.Grantor
	picker      *rollout.Picker
	driver      *rollout.Driver
	leases      *lease.Holder
	placer      *placement.Planner
	backends    *backends
	limits      *serverLimits
	billTracker *billing.Tracker
	biller      *billing.Biller
	dispatch    *dispatch.Dispatcher

	callers   *callers.Server
	operators *operators.Server
	peers     *peer.Server

	mu       sync.RWMutex
	snapshot *config.Snapshot
	// configured is closed when the first configuration is applied.
	configured chan struct{}
}

// Option configures a Node in New.
type Option func(*Node)

// WithServerDialer sets the function that opens connections to backend servers, in place of TCP.
func WithServerDialer(dial tunnel.DialFunc) Option {
	return func(n *Node) { n.dialServer = dial }
}

// New returns a node that is not running yet.
func New(s *settings.Settings, options ...Option) (*Node, error) {
	tlsConfig, err := peer.TLSConfig(s.Peer)
	if err != nil {
		return nil, errs.Wrap(StartFailed, "new", err, "peer TLS")
	}
	instruments, err := metrics.New()
	if err != nil {
		return nil, errs.Wrap(StartFailed, "new", err, "metrics")
	}
	n := &Node{
		settings:   s,
		timers:     timer.New(),
		metrics:    instruments,
		snapshot:   config.Empty(),
		configured: make(chan struct{}),
		dialServer: engine.DialServer,
		self: view.NewMember(view.Member{
			VM:       s.Name,
			Region:   s.Region,
			DataHall: s.DataHall,
			Caller:   s.Caller.Address(),
			Peer:     s.Peer.Address(),
		}),
	}
	for _, option := range options {
		option(n)
	}
	n.holder = claim.Holder{ID: n.self.ID, Peer: n.self.Peer}
	n.initMembership(peer.NewClient(tlsConfig, peer.WithCallCounter(instruments.PeerCall)))
	n.initClaims()
	n.initRequestPath()
	n.initServers()
	if err := n.registerGauges(); err != nil {
		return nil, errs.Wrap(StartFailed, "new", err, "metrics")
	}
	return n, nil
}

// initMembership creates failure detection, the view of the members and the
// distribution of shared documents.
func (n *Node) initMembership(client *peer.Client) {
	s := n.settings
	n.client = client
	n.store = etcd.New(s.Platform.KeyValue, s.Platform.Prefix, etcd.WithCallCounter(n.metrics.PlatformCall))
	n.vms = vmlist.New(s.Platform.VMList, n.timers, settings.Millis(s.Times.VMListIntervalMillis))
	n.replicator = docsync.New(n.store, client, n.timers)
	n.prober = member.New(n.self, client, n.timers,
		member.WithInterval(settings.Millis(s.Times.ProbeIntervalMillis)),
		member.WithPayload(n.fillHeartbeat),
		member.WithObserver(n.observeHeartbeat),
		member.WithCounter(n.metrics.MemberStatus),
	)
	n.replicator.SetMembers(seededMembers{n.prober, n.vms})
	n.viewManager = view.NewManager(docsync.View, n.self, n.replicator, n.prober, n.vms, n.timers)
	n.replicator.Subscribe(docsync.View, n.viewManager.Apply)
	n.replicator.Subscribe(docsync.Config, n.applyConfig)
	n.viewManager.Subscribe(n.prober.SetView)
}

// initClaims creates the replicated claims and what builds on them: billing,
// stored responses and the peer server.
func (n *Node) initClaims() {
	s := n.settings
	n.billTracker = billing.NewTracker(n.self, viewMembers{n.viewManager, n.prober}, n.client, n.store, n.timers)
	n.replica = claim.NewReplica(n.self.ID, n.viewManager, n.client, n.timers, claim.WithDiscardCheck(n.billTracker.CanDiscard))
	n.claimer = claim.NewClaimer(n.viewManager, n.client, claim.WithVerdictCounter(n.metrics.ClaimVerdict))
	n.viewManager.Subscribe(n.replica.SetView)
	n.journal = ledger.New(n.self.ID, n.store, n.billTracker, n.timers, n.foldInterval)
	n.closer = ledger.NewCloser(n.store, n.billTracker, n.billTracker.OwnerInView, n.isFirstInRegion, n.timers)
	n.biller = billing.New(billing.Options{
		Self:             n.holder,
		Claims:           n.claimer,
		Statuses:         n.billTracker,
		Journal:          n.journal,
		Counters:         n.metrics,
		Timers:           n.timers,
		NewID:            newID,
		Region:           n.accountRegion,
		RecoveredBillTTL: 2 * settings.Millis(s.Times.ResponseTTLMillis),
	})
	n.billTracker.Attach(n.journal, n.replica, n.biller)
	n.responses = answer.NewStore(n.timers, settings.Millis(s.Times.ResponseTTLMillis), s.Bounds.ResponseMemoryBytes)
	n.client.SetLocal(n.self.ID, n.self.Peer, peerNode{n}, n.replica)
	n.peers = peer.NewServer(peerNode{n}, n.replica, n.client)
}

// initRequestPath creates rate limits, rollouts, routing, admission and the
// dispatcher.
func (n *Node) initRequestPath() {
	s := n.settings
	n.decisions = decision.New(n.self.ID)
	n.limiter = limit.New(grantorClient{n}, n.timers)
	n.grantor = limit.NewGrantor(n.accountLimit, n.timers)
	n.viewManager.Subscribe(func(v *view.View) { n.grantor.SetEpoch(v.Epoch(), n.ownsAccountLimit) })
	n.picker = rollout.NewPicker()
	n.replicator.Subscribe(docsync.Rollouts, n.applyRollouts)
	n.leases = lease.New(driverLeaseName, n.self.ID, n.store, n.timers, settings.Millis(s.Times.LeaseTTLMillis),
		lease.WithEligibility(n.isDriverCandidate))
	n.driver = rollout.NewDriver(docsync.Rollouts, n.replicator, collector{n}, n.leases, func() []config.Model { return n.Config().Models() }, n.timers)
	n.limits = newServerLimits(n)
	n.viewManager.Subscribe(n.limits.setView)
	n.initConnections()
	n.engines = engine.New(engine.WithDialer(n.dialer.DialContext), engine.WithMaxResponseBytes(s.Bounds.ResponseBytes), engine.WithObserver(n.limits),
		engine.WithConnObserver(n.metrics.ConnEvent))
	chooser := route.New(n.self.ID,
		route.WithLeaving(n.vms.Leaving),
		route.WithNodes(n.viewNodes),
		route.WithBreakerCounter(n.metrics.BreakerOpened),
		route.WithThrottle(n.limits),
	)
	n.backends = newBackends(n, n.engines, chooser)
	n.placer = placement.New(n.backends, n.leases, n.Config, n.versionShare, n.timers)
	n.dispatch = dispatch.New(dispatch.Options{
		Self:            n.holder,
		Config:          n.Config,
		ReceivesUpdates: n.replicator.ReceivesUpdates,
		Claims:          n.claimer,
		Holders:         holders{n},
		Responses:       n.responses,
		Pins:            session.New(n.claimer, n.holder, newID, n.timers),
		Picker:          n.picker,
		Planner:         cascade.New(),
		Limits:          n.limiter,
		Queues:          n.backends,
		Chooser:         chooser,
		Budgets:         retry.New(),
		Engines:         n.engines,
		Services:        n.engines,
		Rater:           rating.New(s.Platform.Rating),
		Bills:           n.biller,
		Records:         n.decisions,
		Counters:        n.metrics,
		Timers:          n.timers,
		NewID:           newID,
		ResponseTTL:     settings.Millis(s.Times.ResponseTTLMillis),
	})
}

// initServers creates the client API and the operator API.
func (n *Node) initServers() {
	s := n.settings
	budget := inbound.NewBudget(s.Bounds.RequestMemoryBytes, inbound.WithObserver(func(r inbound.Refusal, _ net.Addr) { n.metrics.InboundRefused(r) }))
	n.callers = callers.New(callers.Options{
		Budget:         budget,
		Dispatcher:     n.dispatch,
		Config:         n.Config,
		Configured:     n.configured,
		Addresses:      n.addresses,
		AddressTTL:     settings.Millis(s.Times.AddressTTLMillis),
		Bounds:         s.Bounds,
		RequestTimeout: settings.Millis(s.Times.RequestTimeoutMillis),
		NewID:          newID,
		OnRefusal:      n.metrics.Refused,
	})
	n.operators = operators.New(operators.Options{
		Budget:       budget,
		Node:         operatorNode{n},
		Metrics:      n.metrics.Handler(),
		BootstrapKey: s.BootstrapKey,
		HeaderBytes:  s.Bounds.HeaderBytes,
	})
}

func (n *Node) registerGauges() error {
	gauges := []struct {
		name, help string
		read       func() float64
	}{
		{"violettally_config_revision", "Revision of the configuration in force.", func() float64 { return float64(n.Config().Revision()) }},
		{"violettally_view_epoch", "Epoch of the view in force.", func() float64 { return float64(n.viewManager.Current().Epoch()) }},
		{"violettally_members_answering", "Members that answer, without this one.", func() float64 { return float64(len(n.prober.Alive())) }},
		{"violettally_claims", "Claims that this node remembers.", func() float64 { entries, _ := n.replica.Usage(); return float64(entries) }},
		{"violettally_claim_bytes", "Bytes of the claims that this node remembers.", func() float64 { _, bytes := n.replica.Usage(); return float64(bytes) }},
		{"violettally_bills_pending", "Bills that wait for their fold.", func() float64 { return float64(n.journal.Pending()) }},
		{"violettally_limited_servers", "Servers that name a request limit, as far as this node knows.", func() float64 { return float64(n.limits.notices.Count(notice.KindRequestLimit)) }},
		{"violettally_leaving_servers", "Servers whose answers say that they leave, as far as this node knows.", func() float64 { return float64(n.limits.notices.Count(notice.KindLeaving)) }},
		{"violettally_resting_servers", "Servers that have wanted rest of this node and have not answered a request since.", func() float64 { return float64(n.limits.notices.Count(notice.KindRest)) }},
		{"violettally_rejection_limited_servers", "Servers that name a rejection limit, as far as this node knows.", func() float64 { return float64(n.limits.notices.Count(notice.KindRejectionLimit)) }},
		{"violettally_rejection_limited_services", "Services whose servers name rejection limits, as far as this node knows.", func() float64 { return float64(n.limits.notices.Count(notice.KindServiceRejectionLimit)) }},
		{"violettally_unreachable_servers", "Servers that this node does not reach by itself.", func() float64 { return float64(n.dialer.CountLost()) }},
		{"violettally_tunnels", "Open connections to servers through other nodes.", func() float64 { return float64(n.dialer.CountTunnels()) }},
		{"violettally_carried_tunnels", "Open connections to servers that this node carries for others.", func() float64 { return float64(n.carrier.CountCarried()) }},
		{"violettally_admission_running", "Requests that this node has let in to pools.", func() float64 { running, _ := n.backends.load(); return float64(running) }},
		{"violettally_admission_waiting", "Requests that wait for a pool.", func() float64 { _, waiting := n.backends.load(); return float64(waiting) }},
		{"violettally_requests_running", "Requests under way.", func() float64 { return float64(n.responses.Running()) }},
	}
	for _, g := range gauges {
		if err := n.metrics.Gauge(g.name, g.help, g.read); err != nil {
			return err
		}
	}
	return nil
}

// newID returns a time-ordered UUID (RFC 9562, version 7). The time in an ID
// shows whether it was made after a loss of claims and is therefore new.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

// Config returns the current configuration.
func (n *Node) Config() *config.Snapshot {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.snapshot
}

// applyConfig makes a stored configuration the current one, unless its revision
// is not higher.
func (n *Node) applyConfig(item document.Item) {
	snapshot, err := decodeConfig(item)
	if err != nil {
		slog.Error("invalid stored configuration; keeping the previous one", "error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if snapshot.Revision() <= n.snapshot.Revision() {
		return
	}
	if n.snapshot.Revision() == 0 {
		close(n.configured)
	}
	n.snapshot = snapshot
	slog.Info("configuration applied", "revision", snapshot.Revision(), "by", snapshot.Document().By)
}

func (n *Node) applyRollouts(item document.Item) {
	if err := n.picker.Apply(item); err != nil {
		slog.Error("invalid stored rollouts; keeping the previous ones", "error", err)
	}
}

// Run opens the listeners and runs the node until the context ends, then drains
// it. It returns an error if the node cannot listen or a server stops early.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 3)
	go func() { failed <- n.peers.Serve(work, listeners.peer, n.client.TLSConfig()) }()
	go func() { failed <- n.callers.Serve(listeners.caller) }()
	go func() { failed <- n.operators.Serve(listeners.operator) }()
	tasks := n.start(work)
	slog.Info("node started", "id", n.self.ID, "caller", n.self.Caller, "data_hall", n.self.DataHall)
	select {
	case <-ctx.Done():
		n.drain()
	case err = <-failed:
		if err != nil {
			err = errs.Wrap(StartFailed, "run", err, "server stopped")
		}
	}
	stop()
	tasks.Wait()
	n.timers.Close()
	return err
}

type listeners struct{ caller, operator, peer net.Listener }

func (n *Node) listen() (listeners, error) {
	var l listeners
	for _, target := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.caller, n.settings.Caller.Listen},
		{&l.operator, n.settings.Operator.Listen},
		{&l.peer, n.settings.Peer.Listen},
	} {
		listener, err := net.Listen("tcp", target.address)
		if err != nil {
			return l, errs.Wrap(StartFailed, "listen", err, "address %s", target.address)
		}
		*target.listener = listener
	}
	return l, nil
}

// start runs the background tasks of all components.
func (n *Node) start(ctx context.Context) *sync.WaitGroup {
	if err := n.vms.Read(ctx); err != nil {
		slog.Warn("reading the VM list failed", "error", err)
	}
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){
		n.vms.Run, n.replicator.Run, n.prober.Run, n.viewManager.Run, n.replica.Run, n.journal.Run, n.closer.Run, n.billTracker.Run,
		n.responses.Run, n.limiter.Run, n.leases.Run, n.driver.Run, n.placer.Run, n.backends.Run, n.limits.run, n.limits.rejections.Run, n.dialer.Run, n.takeOverOrphans,
		func(ctx context.Context) { stall.Watch(ctx, n.timers, stall.Log) },
	} {
		tasks.Go(func() { run(ctx) })
	}
	return &tasks
}

const (
	// drainNoticeTime is how long it takes until a node's shutdown has reached all
	// other nodes.
	drainNoticeTime = time.Second
	// finalCallsTimeout limits the last calls of a node that shuts down.
	finalCallsTimeout = 5 * time.Second
	// handoverTime is how long the members of the next view have to copy the
	// claims of a node that shuts down.
	handoverTime = time.Second
)

// drain removes the node from the addresses given to clients, serves until their
// cached addresses have expired and the last request has its response, folds the
// node's bills (package ledger), and removes the node from the view.
func (n *Node) drain() {
	slog.Info("node draining")
	n.prober.Leave()
	n.callers.DisableKeepAlives()
	n.pause(drainNoticeTime + settings.Millis(n.settings.Times.AddressTTLMillis))
	n.dispatch.Drain()
	timeout := settings.Millis(n.settings.Times.RequestTimeoutMillis)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		slog.Warn("requests still running at the drain timeout", "error", err)
	}
	n.waitForRequests(ctx)
	finalCtx, cancelFinal := context.WithTimeout(context.Background(), finalCallsTimeout)
	defer cancelFinal()
	if err := n.journal.Fold(finalCtx); err != nil {
		slog.Warn("folding the bills failed; another node will fold them", "error", err)
	}
	n.viewManager.Leave(finalCtx)
	n.pause(handoverTime)
	slog.Info("node drained")
}

// waitForRequests waits until no request runs and every bill is decided, or until
// the context ends.
func (n *Node) waitForRequests(ctx context.Context) {
	finished := make(chan struct{})
	go func() {
		n.dispatch.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
}

func (n *Node) pause(d time.Duration) {
	ticks := n.timers.Subscribe(d)
	defer ticks.Stop()
	<-ticks.C()
}

// fleetFoldsPerSecond is how many journals all nodes together write per second,
// a tenth of the write rate that the platform's key-value service accepts.
const fleetFoldsPerSecond = 10

// foldInterval returns the interval at which this node folds its bills. It grows
// with the number of members.
func (n *Node) foldInterval() time.Duration {
	members := time.Duration(len(n.viewManager.Current().Members()))
	return max(settings.Millis(n.settings.Times.FoldMillis), members*time.Second/fleetFoldsPerSecond)
}
