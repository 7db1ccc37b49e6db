package usage_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/lease"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/usage"
)

var (
	schedules = flag.Int("schedules", 40, "number of fault schedules to run")
	firstSeed = flag.Uint64("first", 1, "seed of the first schedule")
)

const (
	leaseTTL     = 2500 * time.Millisecond
	holderChange = 3 * time.Second
	// thawSlack is how long after a node's freeze or cut a call may still arrive that was
	// decided on before.
	thawSlack   = 300 * time.Millisecond
	callTimeout = time.Second
)

// TestSchedules runs nodes that compete for the lease and report usage, while they are
// killed, frozen and cut off, and while calls are lost or late. No window may be reported
// with two different figures, no fencing token used by two nodes or after a higher one, and
// no two nodes may report in turns within holderChange.
func TestSchedules(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*schedules); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSchedule(t, seed) })
		})
	}
}

// runSchedule runs one schedule of faults over a minute.
func runSchedule(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &world{keys: make(map[string]storedKey), leases: make(map[int64]time.Time), reports: make(map[int64]usage.Counts)}
	nodes := make([]*node, 2+random.IntN([]int{4, 15, 59}[random.IntN(3)]))
	for i := range nodes {
		nodes[i] = &node{world: w, vm: fmt.Sprintf("vm-%d", i)}
		nodes[i].start(t, random)
	}
	end := time.Now().Add(time.Minute)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		n := nodes[random.IntN(len(nodes))]
		if random.IntN(2) == 0 {
			n = w.lastActor(n) // faults that strike the holder are the ones that matter
		}
		n.strike(t, random)
	}
	for _, n := range nodes {
		n.heal()
	}
	time.Sleep(30 * time.Second)
	for _, n := range nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
	w.mu.Lock() // calls that were lost may have ended unseen
	defer w.mu.Unlock()
	must.SliceEmpty(t, w.violations, must.Sprint(w.violations))
	must.Positive(t, len(w.reports), must.Sprint("no window was reported"))
}

// world is the platform: its store and the receiver of reports.
type world struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]storedKey
	leases   map[int64]time.Time

	reports    map[int64]usage.Counts
	acts       []act
	violations []string
}

type storedKey struct {
	data            []byte
	revision, lease int64
}

// act is one report that arrived.
type act struct {
	node  *node
	token int64
	at    time.Time
	// excused means that the sender had just been frozen or cut off.
	excused bool
}

// lastActor returns the node that last reported, or the given one.
func (w *world) lastActor(other *node) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.acts) == 0 {
		return other
	}
	return w.acts[len(w.acts)-1].node
}

// receive checks a report that arrives.
func (w *world) receive(n *node, token, window int64, counts usage.Counts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := act{node: n, token: token, at: time.Now(), excused: time.Since(n.disturbedUntil()) < thawSlack}
	if known, ok := w.reports[window]; ok && !maps.Equal(known, counts) {
		w.violations = append(w.violations, fmt.Sprintf("window %d reported as %v and %v", window, known, counts))
	}
	w.reports[window] = counts
	w.checkOrder(a)
	w.acts = append(w.acts, a)
}

// checkOrder checks a report against those before it. The caller holds mu.
func (w *world) checkOrder(a act) {
	other := false
	for i := len(w.acts) - 1; i >= 0; i-- {
		b := w.acts[i]
		if b.token == a.token && b.node != a.node {
			w.violations = append(w.violations, fmt.Sprintf("token %d of %s and %s", a.token, a.node.vm, b.node.vm))
		}
		if a.excused || b.excused {
			continue
		}
		if b.token > a.token {
			w.violations = append(w.violations, fmt.Sprintf("token %d of %s after %d of %s", a.token, a.node.vm, b.token, b.node.vm))
		}
		if a.at.Sub(b.at) < holderChange && b.node == a.node && other {
			w.violations = append(w.violations, fmt.Sprintf("%s, another node and %s again within %s", a.node.vm, a.node.vm, a.at.Sub(b.at)))
		}
		other = other || b.node != a.node
	}
}

// get returns a key that has not expired. The caller holds mu.
func (w *world) get(key string) storedKey {
	k := w.keys[key]
	if k.lease != 0 && time.Now().After(w.leases[k.lease]) {
		delete(w.keys, key)
		return storedKey{}
	}
	return k
}

var (
	errLost = errors.New("no response")
	errGone = errors.New("process has ended")
)

// node is one VM with at most one process.
type node struct {
	world *world
	vm    string

	mu sync.Mutex
	// process counts the processes so far; cancel ends the present one.
	process int
	cancel  context.CancelFunc
	// frozenUntil and cutUntil end the present faults, lossy the share of calls whose
	// response is lost, and lag how late calls arrive.
	frozenUntil, cutUntil time.Time
	lossy                 float64
	lag                   time.Duration
	random                *rand.Rand
}

// start starts a process.
func (n *node) start(t *testing.T, random *rand.Rand) {
	ctx, cancel := context.WithCancel(t.Context())
	n.mu.Lock()
	n.process++
	process := n.process
	n.cancel = cancel
	n.random = rand.New(rand.NewPCG(random.Uint64(), 2))
	n.mu.Unlock()
	timers := timer.New()
	port := &port{node: n, process: process}
	windows := usage.Windows{Length: 5 * time.Second, Late: 10 * time.Second}
	offset := time.Duration(random.IntN(600)-300) * time.Millisecond
	clock := usage.NewClock(time.Now().Add(offset), timers.Steady)
	holder := lease.New("driver", n.vm, port, timers, leaseTTL)
	meter := usage.NewMeter(fmt.Sprintf("%s#%d", n.vm, process), windows, clock)
	tally := usage.NewTally()
	reporter := usage.NewReporter(usage.Options{
		Key: "usage", Windows: windows, Clock: clock, Tally: tally, Platform: port, Store: port,
		Lease: holder.Settled(holderChange/2 + 100*time.Millisecond), Timers: timers,
	})
	go holder.Run(ctx)
	go reporter.Run(ctx)
	// Each node collects only its own counts, so any two nodes would report other figures.
	go timers.Every(ctx, 500*time.Millisecond, func() {
		meter.Count("account")
		tally.Add(clock.Now(), 0, []usage.Snapshot{meter.Snapshot(0)})
	})
	context.AfterFunc(ctx, timers.Close)
}

// stop ends the process without warning.
func (n *node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process++
	n.cancel()
}

// strike makes one fault begin.
func (n *node) strike(t *testing.T, random *rand.Rand) {
	until := time.Now().Add(time.Duration(random.IntN(6000)) * time.Millisecond)
	switch random.IntN(6) {
	case 0:
		n.stop()
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		n.start(t, random)
		return
	case 1:
		n.update(func() { n.frozenUntil = until })
	case 2:
		n.update(func() { n.cutUntil = until })
	case 3:
		n.update(func() { n.lossy = random.Float64() })
	case 4:
		n.update(func() { n.lag = time.Duration(random.IntN(1500)) * time.Millisecond })
	default:
		n.heal()
	}
}

// heal ends all faults but those that end by themselves.
func (n *node) heal() {
	n.update(func() { n.lossy, n.lag = 0, 0 })
}

func (n *node) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// disturbedUntil returns when the last freeze or cut ended.
func (n *node) disturbedUntil() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozenUntil.After(n.cutUntil) {
		return n.frozenUntil
	}
	return n.cutUntil
}

// port is a process's access to the platform.
type port struct {
	node    *node
	process int
}

// call makes a call under the node's present faults. An abandoned call may still take effect
// later.
func (p *port) call(ctx context.Context, do func()) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.thaw()
	if ctx.Err() != nil {
		return errLost // a client sends nothing once the time of a call is over
	}
	p.node.mu.Lock()
	gone := p.process != p.node.process
	cut := time.Now().Before(p.node.cutUntil)
	lost, lag := p.node.random.Float64() < p.node.lossy, p.node.lag
	lostRequest := p.node.random.IntN(2) == 0
	p.node.mu.Unlock()
	if gone {
		return errGone
	}
	done := make(chan struct{})
	if !cut && !(lost && lostRequest) {
		go func() {
			time.Sleep(2*time.Millisecond + lag)
			do()
			close(done)
		}()
	}
	if lost || cut {
		<-ctx.Done()
		p.thaw()
		return errLost
	}
	select {
	case <-done:
		p.thaw()
		return nil
	case <-ctx.Done():
		p.thaw()
		return errLost
	}
}

// thaw waits until the node is not frozen.
func (p *port) thaw() {
	for {
		p.node.mu.Lock()
		left := time.Until(p.node.frozenUntil)
		p.node.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (p *port) Get(ctx context.Context, key string) ([]byte, int64, error) {
	w := p.node.world
	var k storedKey
	err := p.call(ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		k = w.get(key)
	})
	if err != nil {
		return nil, 0, err
	}
	return k.data, k.revision, nil
}

func (p *port) Swap(ctx context.Context, key string, data []byte, expected int64) (int64, bool, error) {
	return p.SwapLeased(ctx, key, data, expected, 0)
}

func (p *port) SwapLeased(ctx context.Context, key string, data []byte, expected, lease int64) (int64, bool, error) {
	w := p.node.world
	var revision int64
	err := p.call(ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.get(key).revision != expected {
			return
		}
		w.revision++
		w.keys[key] = storedKey{data, w.revision, lease}
		revision = w.revision
	})
	if err != nil {
		return 0, false, err
	}
	return revision, revision > 0, nil
}

func (p *port) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	w := p.node.world
	var id int64
	err := p.call(ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.revision++
		id = w.revision
		w.leases[id] = time.Now().Add(ttl)
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

func (p *port) KeepAlive(ctx context.Context, id int64) (bool, error) {
	w := p.node.world
	alive := false
	err := p.call(ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if alive = time.Now().Before(w.leases[id]); alive {
			w.leases[id] = time.Now().Add(leaseTTL)
		}
	})
	if err != nil {
		return false, err
	}
	return alive, nil
}

func (p *port) Revoke(ctx context.Context, id int64) error {
	w := p.node.world
	return p.call(ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.leases[id] = time.Time{}
	})
}

// ReportUsage implements usage.Platform. The response may be lost.
func (p *port) ReportUsage(ctx context.Context, token, window int64, counts usage.Counts) error {
	return p.call(ctx, func() { p.node.world.receive(p.node, token, window, counts) })
}

// TestOddReportStopsReports checks that usage is reported although another writer has left a report of a window in the
// far future, or one that is none.
func TestOddReportStopsReports(t *testing.T) {
	for _, stored := range []string{`{"window": 9223372036854775807, "counts": {}}`, `{"window": -1}`, `{}`, `{"window": 1e400}`, `none`} {
		t.Run(stored, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 1))
				w := &world{keys: make(map[string]storedKey), leases: make(map[int64]time.Time), reports: make(map[int64]usage.Counts)}
				w.revision = 1
				w.keys["usage"] = storedKey{data: []byte(stored), revision: 1}
				n := &node{world: w, vm: "vm-0"}
				n.start(t, random)
				time.Sleep(time.Minute)
				n.stop()
				time.Sleep(time.Minute)
				w.mu.Lock()
				defer w.mu.Unlock()
				must.Positive(t, len(w.reports), must.Sprint("no window was reported"))
			})
		})
	}
}
