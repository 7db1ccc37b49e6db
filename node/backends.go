package node

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/violettally/violettally/adapter/engine"
	"github.com/violettally/violettally/admit"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/placement"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/settings"
)

// overcommit lets a node use more than its even part of a pool, since callers do
// not spread evenly over nodes.
const overcommit = 1.25

// backends follows the backend servers' load and keeps a queue per pool.
type backends struct {
	n       *Node
	engines *engine.Client
	chooser *route.Chooser

	mu            sync.Mutex
	queues        map[string]*admit.Queue
	pollsInFlight map[string]bool
}

func newBackends(n *Node, engines *engine.Client, chooser *route.Chooser) *backends {
	return &backends{
		n:             n,
		engines:       engines,
		chooser:       chooser,
		queues:        make(map[string]*admit.Queue),
		pollsInFlight: make(map[string]bool),
	}
}

// Queue returns the admission queue of a pool.
func (b *backends) Queue(pool string) *admit.Queue {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[pool]
	if q == nil {
		q = admit.New(func() int { return b.capacity(pool) })
		b.queues[pool] = q
	}
	return q
}

// load returns how many requests run and wait in all queues.
func (b *backends) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.queues {
		r, w := q.Load()
		running, waiting = running+r, waiting+w
	}
	return running, waiting
}

// capacity is this node's part of a pool's slots.
func (b *backends) capacity(pool string) int {
	slots := 0
	for _, s := range b.n.Config().Servers(pool) {
		if !b.n.vms.Leaving(s.Name) {
			slots += s.Slots
		}
	}
	nodes := len(b.n.prober.Alive()) + 1
	return int(math.Ceil(overcommit * float64(slots) / float64(nodes)))
}

// Run asks the servers for their load until the context ends, one at each tick
// in turn, so that its cost does not grow with the servers. The chooser lives
// with old reports: see TestPolicies and docs/MEASUREMENTS.md.
func (b *backends) Run(ctx context.Context) {
	ticks := b.n.timers.Subscribe(settings.Millis(b.n.settings.Times.LoadIntervalMillis))
	defer ticks.Stop()
	for turn := 0; ; turn++ {
		if servers := b.polledServers(); len(servers) > 0 {
			next := servers[turn%len(servers)]
			b.poll(ctx, next.pool, next.server)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// poolServer is a server with its pool.
type poolServer struct {
	pool   string
	server config.Server
}

// polledServers returns the servers that this node uses.
func (b *backends) polledServers() []poolServer {
	var servers []poolServer
	for _, pool := range b.n.Config().Pools() {
		for _, server := range b.chooser.Subset(pool.Name, pool.Servers) {
			servers = append(servers, poolServer{pool.Name, server})
		}
	}
	return servers
}

// poll asks one server, unless the last question is still open.
func (b *backends) poll(ctx context.Context, pool string, server config.Server) {
	key := pool + "/" + server.Name
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pollsInFlight[key] {
		return
	}
	b.pollsInFlight[key] = true
	b.n.metrics.LoadReport()
	go func() {
		if report, err := b.engines.Load(ctx, server); err == nil {
			b.chooser.Observe(pool, server.Name, report)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.pollsInFlight, key)
	}()
}

// holdingTimeout bounds asking all servers of a pool what they hold.
const holdingTimeout = time.Second

// Holding returns what the servers of a pool say they hold.
func (b *backends) Holding(pool string) []placement.Holding {
	ctx, cancel := context.WithTimeout(context.Background(), holdingTimeout)
	defer cancel()
	servers := b.n.Config().Servers(pool)
	holdings := make([]placement.Holding, len(servers))
	var asks sync.WaitGroup
	for i, server := range servers {
		asks.Go(func() {
			holdings[i].Server = server
			if report, err := b.engines.Load(ctx, server); err == nil {
				holdings[i].Models = report.Models
			}
		})
	}
	asks.Wait()
	return holdings
}

// Order gives a load order.
func (b *backends) Order(ctx context.Context, o placement.Order, token int64) error {
	return b.engines.Order(ctx, o, token)
}
