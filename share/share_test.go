package share_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/share"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// deployment is a set of boards that call each other without a network.
type deployment struct {
	mu      sync.Mutex
	members []view.Member
	boards  map[string]*share.Exchange
	// cut are addresses that answer nobody.
	cut map[string]bool
	// heard are by node the servers' hashes that it heard of, in order.
	heard map[string][]uint64
	// sent is the number of sends told, by whether they pass between halls.
	sent map[bool]int
}

func (d *deployment) memberAt(address string) view.Member {
	return d.members[slices.IndexFunc(d.members, func(m view.Member) bool { return m.Peer == address })]
}

// node is one node's view of a deployment.
type node struct {
	d    *deployment
	self view.Member
}

func (n node) Others() []view.Member {
	n.d.mu.Lock()
	defer n.d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(n.d.members), func(m view.Member) bool { return m.ID == n.self.ID })
}

func (n node) Exchange(_ context.Context, address string, m share.Message) (share.Reply, error) {
	n.d.mu.Lock()
	board, cut, callee := n.d.boards[address], n.d.cut[address], n.d.memberAt(address)
	n.d.mu.Unlock()
	if cut || board == nil {
		return share.Reply{}, errors.New("no answer")
	}
	reply := board.Handle(m)
	n.d.mu.Lock()
	defer n.d.mu.Unlock()
	for _, g := range append(slices.Clone(m.Batches), reply.Batches...) {
		n.d.sent[callee.DataHall != n.self.DataHall] += len(g.Records)
	}
	return reply, nil
}

// start starts a node in a data hall.
func (d *deployment) start(ctx context.Context, hall string, i int) *share.Exchange {
	name := fmt.Sprintf("%s-%d", hall, i)
	self := view.Member{ID: name + "#1", VM: name, DataHall: hall, Peer: name}
	n := node{d, self}
	board := share.NewExchange(self, n, n, timer.New(), func(s share.Record) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.heard[name] = append(d.heard[name], s.Server)
	})
	d.mu.Lock()
	d.members, d.boards[name] = append(d.members, self), board
	d.mu.Unlock()
	go board.Run(ctx)
	return board
}

func newDeployment() *deployment {
	return &deployment{boards: make(map[string]*share.Exchange), cut: make(map[string]bool), heard: make(map[string][]uint64), sent: make(map[bool]int)}
}

// TestLossesAreTold: a request that a server left without an answer is known at
// every node within 0.3 s, with the boards full of sends; a node whose clients
// have many such requests tells of a bounded number.
func TestLossesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment()
		for _, hall := range []string{"a", "b"} {
			for i := range 20 {
				d.start(ctx, hall, i)
			}
		}
		time.Sleep(time.Second)
		for i := range uint64(500) {
			d.boards["a-7"].Publish(share.Record{Server: 1_000 + i, WorkMillis: 500}, 0)
		}
		for digest := range uint64(1_000) {
			d.boards["b-19"].PublishLoss(7, digest+1, false)
		}
		time.Sleep(300 * time.Millisecond)
		cancel()
		synctest.Wait()
		for name, heard := range d.heard {
			told := 0
			for _, server := range heard {
				if server == 7 {
					told++
				}
			}
			if name != "b-19" {
				must.Greater(t, 0, told, must.Sprint(name))
			}
			must.LessEq(t, 30, told, must.Sprint(name))
		}
		must.MapLen(t, 40, d.heard)
	})
}

// TestKnownLossIsTold: a server ends with more requests of one node than it tells of, and
// the last of them is the one under which another server had ended before.
func TestKnownLossIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment()
		for i := range 3 {
			d.start(ctx, "a", i)
		}
		time.Sleep(time.Second)
		const running = 128
		for digest := range uint64(running) {
			d.boards["a-2"].PublishLoss(7, digest+1, false)
		}
		must.True(t, d.boards["a-2"].PublishLoss(8, running+1, true))
		time.Sleep(300 * time.Millisecond)
		cancel()
		synctest.Wait()
		must.SliceContains(t, d.heard["a-0"], 8)
	})
}

// TestAllHear: what one node sends is heard of once by every other one, within
// a few intervals, and passes between two data halls once.
func TestAllHear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment()
		for _, hall := range []string{"a", "b", "c"} {
			for i := range 4 {
				d.start(ctx, hall, i)
			}
		}
		time.Sleep(time.Second)
		for i, name := range []string{"a-3", "b-0", "c-1"} {
			d.boards[name].Publish(share.Record{Server: uint64(i), WorkMillis: 500}, 0)
		}
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		for name, heard := range d.heard {
			slices.Sort(heard)
			must.Eq(t, len(heard), len(slices.Compact(slices.Clone(heard))), must.Sprintf("%s heard %v", name, heard))
		}
		must.MapLen(t, 12, d.heard)
		must.Len(t, 3, d.heard["a-0"])
		must.Len(t, 2, d.heard["a-3"])
		must.Eq(t, 6, d.sent[true])
	})
}

// TestFirstIsGone: the next node of a data hall takes the place of the first
// one, in the hall and towards others, and nothing is lost or heard twice.
func TestFirstIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment()
		for _, hall := range []string{"a", "b"} {
			for i := range 3 {
				d.start(ctx, hall, i)
			}
		}
		time.Sleep(time.Second)
		d.mu.Lock()
		d.cut["b-0"] = true
		d.mu.Unlock()
		for i := range 30 {
			d.boards["a-2"].Publish(share.Record{Server: uint64(i), WorkMillis: 500}, 0)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		cancel()
		synctest.Wait()
		for _, name := range []string{"a-0", "a-1", "b-1", "b-2"} {
			must.Len(t, 30, d.heard[name], must.Sprint(name))
		}
	})
}

// TestLateStart: a node that starts hears what the others know, but no more
// than a board holds; one whose call fails tells the same again.
func TestLateStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment()
		first := d.start(ctx, "a", 0)
		for i := range 10000 {
			first.Publish(share.Record{Server: uint64(i), Prompt: prefix.Chain{{Hash: uint64(i), Tokens: 1}}, WorkMillis: 1e4}, 0)
			time.Sleep(5 * time.Millisecond)
		}
		d.start(ctx, "a", 1)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		heard := d.heard["a-1"]
		must.Between(t, 100, len(heard), 300)
		must.Eq(t, 9999, heard[len(heard)-1])
	})
}

// TestAge: a send is as old as the time that it has been on its way.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		board := newDeployment().start(ctx, "a", 0)
		board.Publish(share.Record{Server: 1, WorkMillis: 500}, 0)
		time.Sleep(150 * time.Millisecond)
		reply := board.Handle(share.Message{Hall: 1})
		must.Len(t, 1, reply.Batches)
		must.Eq(t, 150, reply.Batches[0].Records[0].AgeMillis)
		cancel()
		synctest.Wait()
	})
}

// TestWorthTelling: short work is not told, reading a shared part is; and all
// nodes together tell a bounded number of sends, those of the largest work.
func TestWorthTelling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment()
		// So many that each has a part of 20 sends a second.
		for i := range 40 {
			d.start(ctx, "a", i)
		}
		board := d.boards["a-0"]
		told := func() (n int) {
			for _, g := range board.Handle(share.Message{Hall: 1}).Batches {
				n += len(g.Records)
			}
			return n
		}
		board.Publish(share.Record{WorkMillis: 10}, 0)
		must.Eq(t, 0, told())
		board.Publish(share.Record{WorkMillis: 10}, 30)
		must.Eq(t, 1, told())
		large := 0
		for i := range 3000 {
			work := float32(100)
			if i%30 == 0 {
				work = 2000
			}
			board.Publish(share.Record{WorkMillis: work}, 0)
			time.Sleep(10 * time.Millisecond)
		}
		for _, g := range board.Handle(share.Message{Hall: 1}).Batches {
			for _, s := range g.Records {
				if s.WorkMillis == 2000 {
					large++
				}
			}
		}
		cancel()
		synctest.Wait()
		must.Greater(t, 30, large, must.Sprint("of the 33 in the time of 200 sends"))
	})
}
