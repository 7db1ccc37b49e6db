package mirror_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/progress"
	"github.com/violettally/violettally/mirror"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/tree"
	"github.com/violettally/violettally/view"
)

var fleetSize = flag.Int("fleet", 300, "how many nodes the larger fleet of TestFleetLost has")

// recoverTime is the shortest time that deployments agree on after which a fleet that was lost
// serves again.
const recoverTime = 12 * time.Second

// changeTime is the time within which a change is to be in force everywhere.
const changeTime = 4 * time.Second

const (
	// restartTime is how long after its end a process is started again.
	restartTime = 500 * time.Millisecond
	// smallNodeDelay and largeNodeDelay are how long nodes leave others to become the reader.
	smallNodeDelay = 600 * time.Millisecond
	largeNodeDelay = 50 * time.Millisecond
	// snapshotWork is the time that a core takes to take a snapshot.
	snapshotWork = 100 * time.Millisecond
	// readerKeyBytes is the size of a response with one small key.
	readerKeyBytes = 300
)

// fleetNode is a node of the fleet.
type fleetNode struct {
	f      *fleet
	index  int
	member view.Member
	// entryKey is the key of the node's entry.
	entryKey string
	// large says that the node has a large link and core.
	large bool
	link  capacity

	mu sync.Mutex
	// m is the mirror of the present process, nil if there is none; stop ends it.
	m    *mirror.Mirror
	stop context.CancelFunc
}

// cpu returns how long a small node needs for what takes a whole core that long.
func (n *fleetNode) cpu(work time.Duration) time.Duration {
	share := 0.192
	if n.large {
		share = 0.8
	}
	return time.Duration(float64(work) / share)
}

// mirror returns the mirror of the present process, nil if there is none.
func (n *fleetNode) mirror() *mirror.Mirror {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.m
}

// fleet is all nodes in all data halls.
type fleet struct {
	t      *testing.T
	timers *timer.Service
	store  *fleetStore
	nodes  []*fleetNode
	halls  map[string][]*fleetNode
	byPeer map[string]*fleetNode
	random *rand.Rand
}

// newFleet returns a fleet none of whose nodes runs, before a store with the keys of its servers.
func newFleet(t *testing.T, size int) *fleet {
	_, timers := newEnv(t)
	f := &fleet{t: t, timers: timers, store: newFleetStore(11 * size), halls: make(map[string][]*fleetNode), byPeer: make(map[string]*fleetNode), random: rand.New(rand.NewPCG(uint64(size), 0))}
	for i := range size {
		vm := fmt.Sprintf("vm-%04d", i)
		n := &fleetNode{f: f, index: i, large: i/fleetHalls < firstLarge, link: capacity{perSecond: smallNodeLink}}
		n.member = view.Member{VM: vm, Peer: vm, DataHall: fmt.Sprint("hall-", i%fleetHalls), FanOut: 8}
		n.entryKey = "nodes/" + n.member.DataHall + "/" + vm
		if n.large {
			n.link.perSecond, n.member.FanOut = largeNodeLink, 24
		}
		f.nodes, f.byPeer[vm] = append(f.nodes, n), n
		f.halls[n.member.DataHall] = append(f.halls[n.member.DataHall], n)
	}
	return f
}

// newRunningFleet returns a fleet that has run for some time.
func newRunningFleet(t *testing.T, size int) *fleet {
	f := newFleet(t, size)
	f.startAll(f.nodes)
	f.recover(2 * recoverTime)
	time.Sleep(10 * time.Second)
	must.Zero(t, f.withoutCopy())
	return f
}

// startAll starts the processes of nodes within 0.3 s of each other.
func (f *fleet) startAll(nodes []*fleetNode) {
	for _, n := range nodes {
		go func(delay time.Duration) {
			time.Sleep(delay)
			f.start(n)
		}(time.Duration(f.random.Int64N(int64(300 * time.Millisecond))))
	}
	time.Sleep(300 * time.Millisecond)
}

// start starts a node's process.
func (f *fleet) start(n *fleetNode) {
	ctx, stop := context.WithCancel(f.t.Context())
	delay := smallNodeDelay
	if n.large {
		delay = largeNodeDelay
	}
	m := mirror.New(nodeStore{f.store, n}, fleetPeers{n}, f.timers, mirror.WithFanOut(n.member.FanOut), mirror.WithHallReaders(fleetReaders{n}, delay))
	n.mu.Lock()
	n.m, n.stop = m, stop
	n.mu.Unlock()
	go m.Run(ctx)
	go f.register(ctx, n, m)
}

// register writes a node's entry once it has a copy of the store.
func (f *fleet) register(ctx context.Context, n *fleetNode, m *mirror.Mirror) {
	select {
	case <-m.Synced():
	case <-time.After(5 * time.Second):
	case <-ctx.Done():
		return
	}
	if _, ok := m.Get(n.entryKey); ok {
		return // its lease is renewed
	}
	for f.store.begin(ctx, n.index, 0, 2) != nil {
		time.Sleep(time.Second)
		if ctx.Err() != nil {
			return
		}
	}
	f.store.put(n.entryKey, false)
}

// kill ends the processes of nodes.
func (f *fleet) kill(nodes []*fleetNode) {
	for _, n := range nodes {
		n.mu.Lock()
		if n.m != nil {
			n.stop()
		}
		n.m = nil
		n.mu.Unlock()
	}
}

// lose kills some nodes, whose entries may expire, and returns them once they can start again.
func (f *fleet) lose(chosen func(node int) bool, expired bool) []*fleetNode {
	var lost []*fleetNode
	for _, n := range f.nodes {
		if chosen(n.index) {
			lost = append(lost, n)
		}
	}
	f.kill(lost)
	if expired {
		for _, n := range lost {
			f.store.put(n.entryKey, true)
		}
	}
	advance(restartTime)
	return lost
}

// close ends all processes and waits until their calls have ended.
func (f *fleet) close() {
	f.kill(f.nodes)
	advance(time.Minute)
}

// withoutCopy returns how many nodes have no copy of the store.
func (f *fleet) withoutCopy() int {
	count := 0
	for _, n := range f.nodes {
		if m := n.mirror(); m == nil || m.Delivered() == 0 {
			count++
		}
	}
	return count
}

// withoutDeclaration returns how many nodes do not know the present declaration.
func (f *fleet) withoutDeclaration() int {
	f.store.mu.Lock()
	present := f.store.items[fleetDeclaration].Revision
	f.store.mu.Unlock()
	count := 0
	for _, n := range f.nodes {
		if item, _ := n.mirror().Get(fleetDeclaration); item.Revision != present {
			count++
		}
	}
	return count
}

// recover waits until all nodes have a copy, and returns how long that took, or the limit.
func (f *fleet) recover(limit time.Duration) time.Duration {
	begun := time.Now()
	for f.withoutCopy() > 0 && time.Since(begun) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begun)
}

// fleetPeers are the other nodes as a node reaches them.
type fleetPeers struct{ n *fleetNode }

// hall returns the other nodes of the data hall whose entries are known, in random order.
func (p fleetPeers) hall(known func(key string) bool) []view.Member {
	var members []view.Member
	for _, n := range p.n.f.halls[p.n.member.DataHall] {
		if n != p.n && known(n.entryKey) {
			members = append(members, n.member)
		}
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

func addresses(members []view.Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.Peer
	}
	return list
}

func (p fleetPeers) knows(key string) bool {
	m := p.n.mirror()
	if m == nil {
		return false
	}
	_, ok := m.Get(key)
	return ok
}

// Addresses returns the seeds, three nodes of one data hall, until others are known.
func (p fleetPeers) Addresses() []string {
	if hall := p.hall(p.knows); len(hall) > 0 {
		return addresses(hall)
	}
	return []string{"vm-0001", "vm-0006", "vm-0011"}
}

func (p fleetPeers) Upstream() []string {
	hall := p.hall(p.knows)
	return addresses(tree.Parents(p.n.member, append(hall, p.n.member)))
}

func (p fleetPeers) Sources(ctx context.Context) []string {
	ctx, cancel := progress.WithTimeout(ctx, storeCallTimeouts)
	defer cancel()
	s := p.n.f.store
	if _, _, _, err := s.page(ctx, p.n, "", 1); err != nil {
		return nil
	}
	hall := p.hall(func(key string) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, ok := s.items[key]
		return ok
	})
	slices.SortStableFunc(hall, func(a, b view.Member) int { return b.FanOut - a.FanOut })
	return addresses(hall)
}

func (p fleetPeers) Follow(ctx context.Context, address string, after int64, wait time.Duration) (mirror.Batch, error) {
	giver := p.n.f.byPeer[address]
	m := giver.mirror()
	if m == nil {
		return mirror.Batch{}, errRefused
	}
	b, sent := m.Respond(ctx, p.n.member.Peer, after, wait)
	size := (1 + countKeys(b.Items)) * packedBytes
	if b.Snapshot {
		size = snapshotBytes
	}
	err := transfer(ctx, size, &giver.link, &p.n.link)
	sent(err)
	if err != nil {
		return mirror.Batch{}, err
	}
	if b.Snapshot {
		time.Sleep(p.n.cpu(snapshotWork))
	}
	return b, nil
}

// fleetReaders is the store's record of the reader of a node's data hall.
type fleetReaders struct{ n *fleetNode }

func (r fleetReaders) key() string { return "readers/" + r.n.member.DataHall }

func (r fleetReaders) Self() string { return r.n.member.Peer }

func (r fleetReaders) Known() mirror.HallReader {
	m := r.n.mirror()
	if m == nil {
		return mirror.HallReader{}
	}
	item, _ := m.Get(r.key())
	return mirror.HallReader{Address: string(item.Value), Revision: item.Revision}
}

func (r fleetReaders) Current(ctx context.Context, fresh bool) (mirror.HallReader, error) {
	ctx, cancel := progress.WithTimeout(ctx, storeCallTimeouts)
	defer cancel()
	s, reads := r.n.f.store, 0
	if fresh {
		reads = 1
	}
	if err := s.begin(ctx, r.n.index, reads, 0); err != nil {
		return mirror.HallReader{}, err
	}
	s.mu.Lock()
	item := s.items[r.key()]
	s.mu.Unlock()
	return mirror.HallReader{Address: string(item.Value), Revision: item.Revision}, transfer(ctx, readerKeyBytes, &s.link, &r.n.link)
}

func (r fleetReaders) Appoint(ctx context.Context, instead mirror.HallReader) (bool, error) {
	ctx, cancel := progress.WithTimeout(ctx, storeCallTimeouts)
	defer cancel()
	s := r.n.f.store
	if err := s.begin(ctx, r.n.index, 0, 1); err != nil {
		return false, err
	}
	return s.swap(r.key(), instead.Revision, r.Self()), nil
}

// TestWholeFleetRestarts: all nodes of a fleet are killed at once and come back together before a
// store that knows all servers. Each of them read the beginning of the store and the list of its
// data hall, which filled the store's link; reads were given up for a pause of 0.3 s, and all of
// them began anew, for ever.
func TestWholeFleetRestarts(t *testing.T) {
	for _, size := range []int{100, 300, 984} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				defer f.close()
				for _, n := range f.nodes {
					f.store.put(n.entryKey, false)
				}
				f.startAll(f.nodes)
				took := f.recover(recoverTime)
				t.Logf("all nodes have a copy after %d ms; %s", took.Milliseconds(), f.store.usage())
				must.Zero(t, f.withoutCopy())
			})
		})
	}
}

// TestFleetLost: a running fleet is lost in several ways, while the store is well or is not, and a
// declaration changes meanwhile. All nodes have a copy again soon after the fleet and the store are
// back, and the declaration soon after that.
func TestFleetLost(t *testing.T) {
	all := func(int) bool { return true }
	tests := []struct {
		name string
		// lost says which nodes are lost, expired whether their entries are gone when they are back.
		lost    func(node int) bool
		expired bool
		// fault is what the store does to the nodes at their start, for faultTime.
		fault     func(s *fleetStore)
		faultTime time.Duration
	}{
		{name: "all killed", lost: all},
		{name: "all without power for long", lost: all, expired: true},
		{name: "half killed", lost: func(node int) bool { return node%2 == 0 }},
		{name: "half without power for long", lost: func(node int) bool { return node%9 < 5 }, expired: true},
		{name: "store slow", lost: all, fault: func(s *fleetStore) { s.answer = 240 * time.Millisecond }, faultTime: 4500 * time.Millisecond},
		{name: "store silent", lost: all, fault: func(s *fleetStore) { s.mode = storeFails(storeSilent, 1) }, faultTime: 4500 * time.Millisecond},
		{name: "store refuses", lost: all, expired: true, fault: func(s *fleetStore) { s.mode = storeFails(storeRefuses, 1) }, faultTime: 4500 * time.Millisecond},
		{name: "store refuses a third of the nodes", lost: all, fault: func(s *fleetStore) { s.mode = storeFails(storeRefuses, 3) }, faultTime: 9 * time.Second},
		{name: "store silent to a third of the nodes", lost: all, fault: func(s *fleetStore) { s.mode = storeFails(storeSilent, 3) }, faultTime: 9 * time.Second},
		{name: "history gone", lost: all, fault: func(s *fleetStore) { s.keptAfter = s.revision }},
	}
	for _, size := range []int{100, *fleetSize} {
		for _, tt := range tests {
			t.Run(fmt.Sprint(tt.name, "/", size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRunningFleet(t, size)
					defer f.close()
					f.store.resetCounts()
					lost := f.lose(tt.lost, tt.expired)
					if tt.fault != nil {
						f.store.change(tt.fault)
						time.AfterFunc(tt.faultTime, func() { f.store.change((*fleetStore).heal) })
					}
					f.startAll(lost)
					time.AfterFunc(time.Second, func() { f.store.put(fleetDeclaration, false) })
					took := f.recover(tt.faultTime + recoverTime)
					t.Logf("all nodes have a copy after %d ms; %s", took.Milliseconds(), f.store.usage())
					must.Zero(t, f.withoutCopy())
					advance(changeTime)
					must.Zero(t, f.withoutDeclaration())
				})
			})
		}
	}
}

// TestFleetLostTwice: all nodes are killed again while they get their copies.
func TestFleetLostTwice(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRunningFleet(t, 300)
				defer f.close()
				for range 2 {
					f.startAll(f.lose(func(int) bool { return true }, false))
					advance(after)
				}
				took := f.recover(recoverTime)
				t.Logf("all nodes have a copy after %d ms", took.Milliseconds())
				must.Zero(t, f.withoutCopy())
			})
		})
	}
}
