package docsync_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/docsync"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

var errDown = errors.New("down")

// fakePlatform is an in-memory key-value service that holds the shared
// documents.
type fakePlatform struct {
	mu       sync.Mutex
	items    map[string]document.Item
	revision int64
	watchers map[int]func(string, document.Item)
	down     bool
	watches  int
}

func (p *fakePlatform) Get(_ context.Context, key string) ([]byte, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, 0, errDown
	}
	return p.items[key].Data, p.items[key].Revision, nil
}

func (p *fakePlatform) Swap(_ context.Context, key string, data []byte, expected int64) (int64, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return 0, false, errDown
	}
	if p.items[key].Revision != expected {
		return 0, false, nil
	}
	p.revision++
	p.items[key] = document.Item{Data: data, Revision: p.revision}
	for _, changed := range p.watchers {
		changed(key, p.items[key])
	}
	return p.revision, true, nil
}

func (p *fakePlatform) ReadPrefix(context.Context, string) (map[string]document.Item, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, errDown
	}
	items := make(map[string]document.Item)
	for key, item := range p.items {
		items[key[len(docsync.KeyPrefix):]] = item
	}
	return items, nil
}

func (p *fakePlatform) ReadRevisions(ctx context.Context, prefix string) (map[string]int64, error) {
	items, err := p.ReadPrefix(ctx, prefix)
	revisions := make(map[string]int64)
	for name, item := range items {
		revisions[name] = item.Revision
	}
	return revisions, err
}

func (p *fakePlatform) WatchPrefix(ctx context.Context, _ string, _ int64, changed func(string, document.Item)) error {
	p.mu.Lock()
	p.watches++
	id := p.watches
	p.watchers[id] = changed
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.watchers, id)
	return ctx.Err()
}

// fleet is a set of nodes that call each other directly. A node's address is
// its index.
type fleet struct {
	platform *fakePlatform
	nodes    []*docsync.Replicator
	perHall  int
	isolated sync.Map
	fetches  int
	mu       sync.Mutex
}

func (f *fleet) isIsolated(index int) bool {
	_, isolated := f.isolated.Load(index)
	return isolated
}

// fleetPeers implements docsync.Peers and docsync.Members for one node of a
// fleet.
type fleetPeers struct {
	f     *fleet
	index int
}

func (p fleetPeers) node(address string) (*docsync.Replicator, error) {
	var index int
	_, _ = fmt.Sscan(address, &index)
	if p.f.isIsolated(index) || p.f.isIsolated(p.index) {
		return nil, errDown
	}
	return p.f.nodes[index], nil
}

func (p fleetPeers) Fetch(_ context.Context, address string, known map[string]int64) (map[string]document.Item, error) {
	n, err := p.node(address)
	if err != nil {
		return nil, err
	}
	p.f.mu.Lock()
	p.f.fetches++
	p.f.mu.Unlock()
	time.Sleep(time.Millisecond)
	return n.Newer(known), nil
}

func (p fleetPeers) Notify(_ context.Context, address string, revisions map[string]int64) error {
	n, err := p.node(address)
	if err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	n.HandleRevisions(fmt.Sprint(p.index), revisions)
	return nil
}

func (p fleetPeers) Alive() []view.Member {
	var alive []view.Member
	for i := range p.f.nodes {
		if i != p.index && !p.f.isIsolated(i) && !p.f.isIsolated(p.index) {
			alive = append(alive, view.Member{ID: fmt.Sprint(i), Peer: fmt.Sprint(i)})
		}
	}
	return alive
}

func (p fleetPeers) HasMajority() bool { return 2*(len(p.Alive())+1) > len(p.f.nodes) }
func (p fleetPeers) Rank() int         { return p.index % p.f.perHall }
func (p fleetPeers) Seeds() []string   { return []string{"0", "1"} }

func newFleet(t *testing.T, halls, perHall int) *fleet {
	f := &fleet{platform: &fakePlatform{items: make(map[string]document.Item), watchers: make(map[int]func(string, document.Item))}, perHall: perHall}
	for i := range halls * perHall {
		timers := timer.New()
		t.Cleanup(timers.Close)
		r := docsync.New(f.platform, fleetPeers{f, i}, timers)
		r.SetMembers(fleetPeers{f, i})
		f.nodes = append(f.nodes, r)
	}
	return f
}

func (f *fleet) start(ctx context.Context) {
	for i, n := range f.nodes {
		go n.Run(ctx)
		go f.exchangeHeartbeats(ctx, i)
	}
}

// exchangeHeartbeats simulates heartbeats: twice a second it passes the
// revisions of a random peer to the node.
func (f *fleet) exchangeHeartbeats(ctx context.Context, index int) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
		}
		if other := rand.IntN(len(f.nodes)); !f.isIsolated(index) && !f.isIsolated(other) {
			f.nodes[index].HandleRevisions(fmt.Sprint(other), f.nodes[other].Revisions())
		}
	}
}

func (f *fleet) update(index int, text string) error {
	_, err := f.nodes[index].Update(context.Background(), docsync.Config, func([]byte) ([]byte, error) { return []byte(text), nil })
	return err
}

// countWithRevision returns the number of nodes that have a revision of the
// configuration or a newer one.
func (f *fleet) countWithRevision(revision int64) int {
	n := 0
	for _, r := range f.nodes {
		if r.Revisions()[docsync.Config] >= revision {
			n++
		}
	}
	return n
}

// TestUpdateReachesAllNodes updates a document at one of 140 nodes in seven
// data halls. All nodes must have it within 4 s, with two watches per data hall
// and at most two fetches per node on average.
func TestUpdateReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 20)
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		time.Sleep(2 * time.Second)
		start := time.Now()
		must.NoError(t, f.update(77, "one"))
		for f.countWithRevision(1) < len(f.nodes) && time.Since(start) < 4*time.Second {
			time.Sleep(time.Millisecond)
		}
		t.Logf("%d of %d nodes have it after %s, with %d watches and %d fetches", f.countWithRevision(1), len(f.nodes), time.Since(start), f.platform.watches, f.fetches)
		must.Eq(t, len(f.nodes), f.countWithRevision(1))
		must.Eq(t, 14, f.platform.watches)
		must.LessEq(t, 2*len(f.nodes), f.fetches)
		cancel()
		time.Sleep(time.Minute) // let running calls finish
	})
}

// TestReceivesUpdates checks which nodes still receive updates when the
// platform is down or a node cannot reach its peers.
func TestReceivesUpdates(t *testing.T) {
	tests := []struct {
		name       string
		platformUp bool
		isolated   []int
		node       int
		want       bool
	}{
		{"platform and peers reachable", true, nil, 0, true},
		{"platform down, peers reachable", false, nil, 0, true},
		{"isolated node, platform reachable", true, []int{0}, 0, true},
		{"isolated node, platform down", false, []int{0}, 0, false},
		{"other nodes, platform down", false, []int{0}, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, 2)
				ctx, cancel := context.WithCancel(t.Context())
				f.start(ctx)
				time.Sleep(2 * time.Second)
				f.platform.mu.Lock()
				f.platform.down = !tt.platformUp
				f.platform.mu.Unlock()
				for _, index := range tt.isolated {
					f.isolated.Store(index, true)
				}
				time.Sleep(10 * time.Second)
				must.Eq(t, tt.want, f.nodes[tt.node].ReceivesUpdates())
				cancel()
				time.Sleep(time.Minute) // let running calls finish
			})
		})
	}
}

// TestIgnoresOlderRevisions applies revisions out of order. Subscribers must
// see only increasing ones.
func TestIgnoresOlderRevisions(t *testing.T) {
	f := newFleet(t, 1, 1)
	var seen []int64
	f.nodes[0].Subscribe(docsync.Config, func(item document.Item) { seen = append(seen, item.Revision) })
	for _, revision := range []int64{3, 1, 3, 2, 7, 6} {
		f.nodes[0].Apply(docsync.Config, document.Item{Data: []byte("x"), Revision: revision})
	}
	must.Eq(t, []int64{3, 7}, seen)
}

// TestStoresCompressed checks that documents are stored compressed and
// delivered uncompressed.
func TestStoresCompressed(t *testing.T) {
	f := newFleet(t, 1, 1)
	var got []byte
	f.nodes[0].Subscribe(docsync.Config, func(item document.Item) { got = item.Data })
	text := bytes.Repeat([]byte("a line of a declaration\n"), 1000)
	must.NoError(t, f.update(0, string(text)))
	must.Eq(t, string(text), string(got))
	must.Less(t, len(text)/20, len(f.platform.items[docsync.KeyPrefix+docsync.Config].Data))
}
