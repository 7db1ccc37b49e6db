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

// overcommit lets a node use more than its equal share of a pool, since clients
// are not distributed evenly over nodes.
const overcommit = 1.25

// backends polls the load of the backend servers and keeps an admission queue
// per pool.
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

// load returns how many requests are running and waiting in all queues.
func (b *backends) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.queues {
		r, w := q.Load()
		running, waiting = running+r, waiting+w
	}
	return running, waiting
}

// capacity returns this node's share of a pool's slots.
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

// Run polls the servers for their load until the context ends, one per tick in
// turn, so that the cost does not grow with the number of servers. The chooser
// tolerates outdated reports (TestPolicies in package route,
// docs/MEASUREMENTS.md).
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

// poolServer is a server and the name of its pool.
type poolServer struct {
	pool   string
	server config.Server
}

// polledServers returns the servers that this node sends requests to. One that wants rest is not asked
// for its load either.
func (b *backends) polledServers() []poolServer {
	var servers []poolServer
	snapshot := b.n.Config()
	for _, pool := range snapshot.Pools() {
		for _, server := range b.chooser.Subset(pool.Name, snapshot.Servers(pool.Name)) {
			if b.n.limits.resting(server) {
				continue
			}
			servers = append(servers, poolServer{pool.Name, server})
		}
	}
	return servers
}

// poll asks one server for its load, unless an earlier poll is still running.
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
		if report, err := b.engines.LoadReport(ctx, server); err == nil {
			b.chooser.Observe(pool, server.Name, report)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.pollsInFlight, key)
	}()
}

// loadedModelsTimeout limits the requests for the loaded models of a pool's servers.
const loadedModelsTimeout = time.Second

// LoadedModels requests the loaded models of a pool's servers. A server that does not
// respond is returned without models.
func (b *backends) LoadedModels(pool string) []placement.ServerModels {
	ctx, cancel := context.WithTimeout(context.Background(), loadedModelsTimeout)
	defer cancel()
	servers := b.n.Config().Servers(pool)
	loaded := make([]placement.ServerModels, len(servers))
	var polls sync.WaitGroup
	for i, server := range servers {
		polls.Go(func() {
			loaded[i].Server = server
			if report, err := b.engines.LoadReport(ctx, server); err == nil {
				loaded[i].Models = report.Models
			}
		})
	}
	polls.Wait()
	return loaded
}

// Order sends an order to load or unload a model, with the lease's fencing token.
func (b *backends) Order(ctx context.Context, o placement.Order, token int64) error {
	return b.engines.Order(ctx, o, token)
}
