// Package node puts one process of the system together: it makes the parts,
// joins them by the small interfaces that they declare, and runs them until
// the process is told to stop.
//
// # Usage
//
//	n, err := node.New(settings)
//	if err != nil {
//		return err
//	}
//	return n.Run(ctx) // until ctx ends; then the node drains and leaves
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
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/internal/stall"
	"github.com/violettally/violettally/lease"
	"github.com/violettally/violettally/ledger"
	"github.com/violettally/violettally/limit"
	"github.com/violettally/violettally/member"
	"github.com/violettally/violettally/metrics"
	"github.com/violettally/violettally/placement"
	"github.com/violettally/violettally/retry"
	"github.com/violettally/violettally/rollout"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/session"
	"github.com/violettally/violettally/settings"
	"github.com/violettally/violettally/spread"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

var (
	namespace = errs.Namespace("node")

	// StartFailed says that the node could not be made or opened.
	StartFailed = namespace.NewType("start")
)

// driverLeaseName is the lease of the node that drives roll-outs and loads.
const driverLeaseName = "driver"

// Node is one process of the system.
type Node struct {
	settings *settings.Settings
	self     view.Member
	holder   claim.Holder

	timers    *timer.Service
	metrics   *metrics.Metrics
	store     *etcd.Client
	vms       *vmlist.List
	client    *peer.Client
	spreader  *spread.Spreader
	prober    *member.Prober
	keeper    *view.Keeper
	replica   *claim.Replica
	claimer   *claim.Claimer
	journal   *ledger.Journal
	closer    *ledger.Closer
	answers   *answer.Store
	decisions *decision.Log
	limiter   *limit.Limiter
	grantor   *limit.Grantor
	picker    *rollout.Picker
	driver    *rollout.Driver
	leases    *lease.Holder
	placer    *placement.Planner
	backends  *backends
	bills     *billing.Memory
	biller    *billing.Biller
	dispatch  *dispatch.Dispatcher

	callers   *callers.Door
	operators *operators.Door
	peers     *peer.Server

	mu       sync.RWMutex
	snapshot *config.Snapshot
	// configured is closed with the first configuration.
	configured chan struct{}
}

// New makes a node that does not run yet.
func New(s *settings.Settings) (*Node, error) {
	tlsConfig, err := peer.TLS(s.Peer)
	if err != nil {
		return nil, errs.Wrap(StartFailed, "new", err, "peer door")
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
		self: view.NewMember(view.Member{
			VM:       s.Name,
			Region:   s.Region,
			DataHall: s.DataHall,
			Caller:   s.Caller.Address(),
			Peer:     s.Peer.Address(),
		}),
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

// initMembership makes what finds the other nodes and spreads documents.
func (n *Node) initMembership(client *peer.Client) {
	s := n.settings
	n.client = client
	n.store = etcd.New(s.Platform.KeyValue, s.Platform.Prefix, etcd.WithCallCounter(n.metrics.PlatformCall))
	n.vms = vmlist.New(s.Platform.VMList, n.timers, settings.Millis(s.Times.VMListIntervalMillis))
	n.spreader = spread.New(n.store, client, n.timers)
	n.prober = member.New(n.self, client, n.timers,
		member.WithInterval(settings.Millis(s.Times.ProbeIntervalMillis)),
		member.WithPayload(n.fillHeartbeat),
		member.WithObserver(n.observeHeartbeat),
		member.WithCounter(n.metrics.Status),
	)
	n.spreader.SetMembers(seededMembers{n.prober, n.vms})
	n.keeper = view.NewKeeper(spread.View, n.self, n.spreader, n.prober, n.vms, n.timers)
	n.spreader.Subscribe(spread.View, n.keeper.Take)
	n.spreader.Subscribe(spread.Config, n.applyConfig)
	n.keeper.Subscribe(n.prober.SetView)
}

// initClaims makes the write-once memory and what is built on it.
func (n *Node) initClaims() {
	s := n.settings
	n.bills = billing.NewMemory(n.self, viewMembers{n.keeper, n.prober}, n.client, n.store, n.timers)
	n.replica = claim.NewReplica(n.self.ID, n.keeper, n.client, n.timers, claim.WithFolded(n.bills.Folded))
	n.claimer = claim.NewClaimer(n.keeper, n.client, claim.WithVerdictCounter(n.metrics.Vote))
	n.keeper.Subscribe(n.replica.SetView)
	n.journal = ledger.New(n.self.ID, n.store, n.bills, n.timers, n.foldInterval)
	n.closer = ledger.NewCloser(n.store, n.bills, n.bills.IsMember, n.isFirstInRegion, n.timers)
	n.biller = billing.New(billing.Parts{
		Self:        n.holder,
		Claims:      n.claimer,
		Fates:       n.bills,
		Journal:     n.journal,
		Counters:    n.metrics,
		Timers:      n.timers,
		NewID:       newID,
		Region:      n.accountRegion,
		SettledLife: 2 * settings.Millis(s.Times.ResponseTTLMillis),
	})
	n.bills.Attach(n.journal, n.replica, n.biller)
	n.answers = answer.NewStore(n.timers, settings.Millis(s.Times.ResponseTTLMillis), s.Bounds.ResponseMemoryBytes)
	n.client.SetLocal(n.self.ID, n.self.Peer, peerNode{n}, n.replica)
	n.peers = peer.NewServer(peerNode{n}, n.replica, n.client)
}

// initRequestPath makes what decides on requests, and the request path.
func (n *Node) initRequestPath() {
	s := n.settings
	n.decisions = decision.New(n.self.ID)
	n.limiter = limit.New(grantors{n}, n.timers)
	n.grantor = limit.NewGrantor(n.accountLimit, n.timers)
	n.keeper.Subscribe(func(v *view.View) { n.grantor.SetEpoch(v.Epoch(), n.ownsAccountLimit) })
	n.picker = rollout.NewPicker()
	n.spreader.Subscribe(spread.Rollouts, n.applyRollouts)
	n.leases = lease.New(driverLeaseName, n.self.ID, n.store, n.timers, settings.Millis(s.Times.LeaseTTLMillis),
		lease.WithCandidates(n.isDriverCandidate))
	n.driver = rollout.NewDriver(spread.Rollouts, n.spreader, collector{n}, n.leases, func() []config.Model { return n.Config().Models() }, n.timers)
	engines := engine.New(engine.WithMaxBytes(s.Bounds.ResponseBytes))
	chooser := route.New(n.self.ID,
		route.WithLeaving(n.vms.Leaving),
		route.WithNodes(n.viewNodes),
		route.WithBreakerCounter(n.metrics.BreakerOpened),
	)
	n.backends = newBackends(n, engines, chooser)
	n.placer = placement.New(n.backends, n.leases, n.Config, n.versionShare, n.timers)
	n.dispatch = dispatch.New(dispatch.Parts{
		Self:       n.holder,
		Config:     n.Config,
		Current:    n.spreader.Current,
		Claims:     n.claimer,
		Holders:    holders{n},
		Answers:    n.answers,
		Pins:       session.New(n.claimer, n.holder, newID, n.timers),
		Picker:     n.picker,
		Planner:    cascade.New(),
		Limits:     n.limiter,
		Queues:     n.backends,
		Chooser:    chooser,
		Budgets:    retry.New(),
		Engines:    engines,
		Services:   engines,
		Rater:      rating.New(s.Platform.Rating),
		Bills:      n.biller,
		Records:    n.decisions,
		Counters:   n.metrics,
		Timers:     n.timers,
		NewID:      newID,
		AnswerLife: settings.Millis(s.Times.ResponseTTLMillis),
	})
}

func (n *Node) initServers() {
	s := n.settings
	n.callers = callers.New(callers.Parts{
		Dispatcher:  n.dispatch,
		Config:      n.Config,
		Configured:  n.configured,
		Addresses:   n.addresses,
		AddressTTL:  settings.Millis(s.Times.AddressTTLMillis),
		Bounds:      s.Bounds,
		RequestTime: settings.Millis(s.Times.RequestTimeoutMillis),
		NewID:       newID,
		Refused:     n.metrics.Refused,
	})
	n.operators = operators.New(operators.Parts{
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
		{"violettally_view_epoch", "Epoch of the view in force.", func() float64 { return float64(n.keeper.Current().Epoch()) }},
		{"violettally_members_answering", "Members that answer, without this one.", func() float64 { return float64(len(n.prober.Alive())) }},
		{"violettally_claims", "Claims that this node remembers.", func() float64 { entries, _ := n.replica.Len(); return float64(entries) }},
		{"violettally_claim_bytes", "Bytes of the claims that this node remembers.", func() float64 { _, bytes := n.replica.Len(); return float64(bytes) }},
		{"violettally_bills_pending", "Bills that wait for their fold.", func() float64 { return float64(n.journal.Pending()) }},
		{"violettally_admission_running", "Requests that this node has let in to pools.", func() float64 { running, _ := n.backends.load(); return float64(running) }},
		{"violettally_admission_waiting", "Requests that wait for a pool.", func() float64 { _, waiting := n.backends.load(); return float64(waiting) }},
		{"violettally_requests_running", "Requests under way.", func() float64 { return float64(n.answers.Running()) }},
	}
	for _, g := range gauges {
		if err := n.metrics.Gauge(g.name, g.help, g.read); err != nil {
			return err
		}
	}
	return nil
}

// newID returns a UUID that starts with its time (RFC 9562, version 7), so
// that an id minted after a loss of claims is known to be new.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

// Config returns the configuration in force.
func (n *Node) Config() *config.Snapshot {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.snapshot
}

// applyConfig puts a stored configuration in force. Revisions only rise.
func (n *Node) applyConfig(item document.Item) {
	snapshot, err := decodeConfig(item)
	if err != nil {
		slog.Error("stored configuration cannot be used; the one before stays in force", "error", err)
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
	slog.Info("configuration in force", "revision", snapshot.Revision(), "by", snapshot.Document().By)
}

func (n *Node) applyRollouts(item document.Item) {
	if err := n.picker.Take(item); err != nil {
		slog.Error("stored roll-outs cannot be used", "error", err)
	}
}

// Run opens the doors and runs the node until the context ends; then it
// drains and leaves.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 3)
	go func() { failed <- n.peers.Serve(work, listeners.peer, n.client.TLS()) }()
	go func() { failed <- n.callers.Serve(listeners.caller) }()
	go func() { failed <- n.operators.Serve(listeners.operator) }()
	done := n.start(work)
	slog.Info("node is up", "id", n.self.ID, "caller", n.self.Caller, "data_hall", n.self.DataHall)
	select {
	case <-ctx.Done():
		n.drain()
	case err = <-failed:
		if err != nil {
			err = errs.Wrap(StartFailed, "run", err, "a door closed")
		}
	}
	stop()
	done.Wait()
	n.timers.Close()
	return err
}

type listeners struct{ caller, operator, peer net.Listener }

func (n *Node) listen() (listeners, error) {
	var l listeners
	for _, door := range []struct {
		into    *net.Listener
		address string
	}{
		{&l.caller, n.settings.Caller.Listen},
		{&l.operator, n.settings.Operator.Listen},
		{&l.peer, n.settings.Peer.Listen},
	} {
		listener, err := net.Listen("tcp", door.address)
		if err != nil {
			return l, errs.Wrap(StartFailed, "listen", err, "address %s", door.address)
		}
		*door.into = listener
	}
	return l, nil
}

// start runs every part that works by itself.
func (n *Node) start(ctx context.Context) *sync.WaitGroup {
	if err := n.vms.Read(ctx); err != nil {
		slog.Warn("VM list not read", "error", err)
	}
	var parts sync.WaitGroup
	for _, run := range []func(context.Context){
		n.vms.Run, n.spreader.Run, n.prober.Run, n.keeper.Run, n.replica.Run, n.journal.Run, n.closer.Run, n.bills.Run,
		n.answers.Run, n.limiter.Run, n.leases.Run, n.driver.Run, n.placer.Run, n.backends.Run, n.takeOverOrphans,
		func(ctx context.Context) { stall.Watch(ctx, n.timers, stall.Log) },
	} {
		parts.Go(func() { run(ctx) })
	}
	return &parts
}

const (
	// drainNoticeTime is how long it takes until all nodes know that one leaves.
	drainNoticeTime = time.Second
	// finalCallsTimeout bounds the last calls of a node that leaves.
	finalCallsTimeout = 5 * time.Second
	// handoverTime is how long the members of the next view have to read the
	// claims of the one that leaves.
	handoverTime = time.Second
)

// drain takes the node out of the answers to callers, serves until the
// addresses that they have must be renewed and the last request has its
// answer, folds its bills, and leaves the view.
func (n *Node) drain() {
	slog.Info("node is leaving")
	n.prober.Leave()
	n.callers.CloseIdle()
	n.pause(drainNoticeTime + settings.Millis(n.settings.Times.AddressTTLMillis))
	n.dispatch.Drain()
	limit := settings.Millis(n.settings.Times.RequestTimeoutMillis)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		slog.Warn("requests were still under way", "error", err)
	}
	n.waitForRequests(ctx)
	last, cancelLast := context.WithTimeout(context.Background(), finalCallsTimeout)
	defer cancelLast()
	if err := n.journal.Fold(last); err != nil {
		slog.Warn("bills not folded; another node will", "error", err)
	}
	n.keeper.Leave(last)
	n.pause(handoverTime)
	slog.Info("node has left")
}

func (n *Node) waitForRequests(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		n.dispatch.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (n *Node) pause(d time.Duration) {
	ticks := n.timers.Subscribe(d)
	defer ticks.Stop()
	<-ticks.C()
}

// fleetFoldsPerSecond is how many journals the whole fleet writes per second, a
// tenth of what the platform takes.
const fleetFoldsPerSecond = 10

// foldInterval grows with the fleet.
func (n *Node) foldInterval() time.Duration {
	members := time.Duration(len(n.keeper.Current().Members()))
	return max(settings.Millis(n.settings.Times.FoldMillis), members*time.Second/fleetFoldsPerSecond)
}
