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
	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// deployment is a set of exchanges that call each other without a network.
type deployment struct {
	mu        sync.Mutex
	members   []view.Member
	exchanges map[string]*share.Exchange
	// unreachable holds the addresses that do not respond.
	unreachable map[string]bool
	// received holds, by node, the server hashes of the records received, in order.
	received map[string][]uint64
	// sent counts the records sent, by whether they pass between halls.
	sent map[bool]int
}

func (d *deployment) memberAt(address string) view.Member {
	return d.members[slices.IndexFunc(d.members, func(m view.Member) bool { return m.Peer == address })]
}

// node is one node of a deployment, as its exchange sees the others.
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
	exchange, unreachable, callee := n.d.exchanges[address], n.d.unreachable[address], n.d.memberAt(address)
	n.d.mu.Unlock()
	if unreachable || exchange == nil {
		return share.Reply{}, errors.New("no response")
	}
	reply := exchange.Handle(m)
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
	exchange := share.NewExchange(self, n, n, timer.New(), func(s share.Record) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.received[name] = append(d.received[name], s.Server)
	})
	d.mu.Lock()
	d.members, d.exchanges[name] = append(d.members, self), exchange
	d.mu.Unlock()
	go exchange.Run(ctx)
	return exchange
}

func newDeployment() *deployment {
	return &deployment{exchanges: make(map[string]*share.Exchange), unreachable: make(map[string]bool), received: make(map[string][]uint64), sent: make(map[bool]int)}
}

// lossAt returns the loss of a request at a server.
func lossAt(server uint64, content suspect.Feature) suspect.Loss {
	return suspect.Loss{Server: server, Features: suspect.Features{content}}
}

// TestLossesArePublished: every node learns within 0.3 s of a request that a server left
// without a response, even if the logs are full of other records. A node with many such
// requests publishes a bounded number.
func TestLossesArePublished(t *testing.T) {
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
			d.exchanges["a-7"].Publish(share.Record{Server: 1_000 + i, WorkMillis: 500}, 0)
		}
		for content := range suspect.Feature(1_000) {
			d.exchanges["b-19"].PublishLoss(lossAt(7, content+1), false)
		}
		time.Sleep(300 * time.Millisecond)
		cancel()
		synctest.Wait()
		for name, received := range d.received {
			published := 0
			for _, server := range received {
				if server == 7 {
					published++
				}
			}
			if name != "b-19" {
				must.Greater(t, 0, published, must.Sprint(name))
			}
			must.LessEq(t, 30, published, must.Sprint(name))
		}
		must.MapLen(t, 40, d.received)
	})
}

// TestRepeatedLossIsPublished: a server crashes with more requests of one node than the rate
// limit allows, and the last of them is the one that had crashed another server before.
func TestRepeatedLossIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment()
		for i := range 3 {
			d.start(ctx, "a", i)
		}
		time.Sleep(time.Second)
		const running = 128
		for content := range suspect.Feature(running) {
			d.exchanges["a-2"].PublishLoss(lossAt(7, content+1), false)
		}
		must.True(t, d.exchanges["a-2"].PublishLoss(lossAt(8, running+1), true))
		time.Sleep(300 * time.Millisecond)
		cancel()
		synctest.Wait()
		must.SliceContains(t, d.received["a-0"], 8)
	})
}

// TestAnswersOfAllNodes: after a crash all nodes have an answer that clears the same part. Every node
// learns of one, and few records pass between nodes.
func TestAnswersOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment()
		for _, hall := range []string{"a", "b"} {
			for i := range 40 {
				d.start(ctx, hall, i)
			}
		}
		time.Sleep(time.Second)
		for _, x := range d.exchanges {
			x.PublishAnswer(suspect.Features{1}, 0, true)
		}
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		must.MapLen(t, 80, d.received)
		received := 0
		for _, servers := range d.received {
			received += len(servers)
		}
		must.LessEq(t, 4*80, received, must.Sprint("80 x 79 if every node got every answer"))
	})
}

// TestRecordsReachAllNodes: every other node receives the records of a node once, within a
// few intervals, and a record passes between two data halls once.
func TestRecordsReachAllNodes(t *testing.T) {
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
			d.exchanges[name].Publish(share.Record{Server: uint64(i), WorkMillis: 500}, 0)
		}
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		for name, received := range d.received {
			slices.Sort(received)
			must.Eq(t, len(received), len(slices.Compact(slices.Clone(received))), must.Sprintf("%s received %v", name, received))
		}
		must.MapLen(t, 12, d.received)
		must.Len(t, 3, d.received["a-0"])
		must.Len(t, 2, d.received["a-3"])
		must.Eq(t, 6, d.sent[true])
	})
}

// TestRootFailure: when the root of a data hall fails, the next node becomes the root, in
// the hall and towards other halls. No record is lost or received twice.
func TestRootFailure(t *testing.T) {
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
		d.unreachable["b-0"] = true
		d.mu.Unlock()
		for i := range 30 {
			d.exchanges["a-2"].Publish(share.Record{Server: uint64(i), WorkMillis: 500}, 0)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		cancel()
		synctest.Wait()
		for _, name := range []string{"a-0", "a-1", "b-1", "b-2"} {
			must.Len(t, 30, d.received[name], must.Sprint(name))
		}
	})
}

// TestLateJoin: a node that starts receives the latest records of the others, at most a full
// log.
func TestLateJoin(t *testing.T) {
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
		received := d.received["a-1"]
		must.Between(t, 100, len(received), 300)
		must.Eq(t, 9999, received[len(received)-1])
	})
}

// TestAge: the age of a record is the time since it was published.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		exchange := newDeployment().start(ctx, "a", 0)
		exchange.Publish(share.Record{Server: 1, WorkMillis: 500}, 0)
		time.Sleep(150 * time.Millisecond)
		reply := exchange.Handle(share.Message{Hall: 1})
		must.Len(t, 1, reply.Batches)
		must.Eq(t, 150, reply.Batches[0].Records[0].AgeMillis)
		cancel()
		synctest.Wait()
	})
}

// TestPublishThreshold: short work is not published, but the prefill of a shared prompt is.
// All nodes together publish a bounded number of records, those with the most work.
func TestPublishThreshold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment()
		// Each of 40 nodes may publish 20 records a second.
		for i := range 40 {
			d.start(ctx, "a", i)
		}
		exchange := d.exchanges["a-0"]
		published := func() (n int) {
			for _, g := range exchange.Handle(share.Message{Hall: 1}).Batches {
				n += len(g.Records)
			}
			return n
		}
		exchange.Publish(share.Record{WorkMillis: 10}, 0)
		must.Eq(t, 0, published())
		exchange.Publish(share.Record{WorkMillis: 10}, 30)
		must.Eq(t, 1, published())
		large := 0
		for i := range 3000 {
			work := float32(100)
			if i%30 == 0 {
				work = 2000
			}
			exchange.Publish(share.Record{WorkMillis: work}, 0)
			time.Sleep(10 * time.Millisecond)
		}
		for _, g := range exchange.Handle(share.Message{Hall: 1}).Batches {
			for _, s := range g.Records {
				if s.WorkMillis == 2000 {
					large++
				}
			}
		}
		cancel()
		synctest.Wait()
		must.Greater(t, 30, large, must.Sprint("large records among the latest 200, of 33 in their time"))
	})
}
