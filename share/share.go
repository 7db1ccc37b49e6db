// Package share tells the nodes of a deployment what the others have sent to
// the backend servers, so that each knows what all of them have made wait there
// and what the engines' caches hold.
//
// Each node writes down on a [Exchange] those of its own sends that are worth
// telling: work that is over before others hear of it is not, and the more
// there are to tell, the larger a send's work must be. The nodes of a data hall
// form a tree by their names. At every interval a node calls the one above it,
// gives it what is new, and gets in return what that one has heard from all
// others. The top nodes of two data halls call each other in the same way with
// what their own halls have sent, so a send passes between two halls once,
// however many nodes there are. Who does not answer is passed over for a while.
//
// Nothing here is agreed or kept: a board holds the latest sends only, a node
// that starts is given them with its first call, and one that hears of nothing
// goes by what it has sent itself.
//
// # Usage
//
//	board := share.NewExchange(self, nodes, client, timers, balancer.Heard)
//	go board.Run(ctx)
//	board.Tell(share.Record{Server: server.Incarnation().Hash(), Prompt: shared, Work: 130}, 105)
//
//	reply := board.Answer(message) // where a peer calls
package share

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// boardSize is the number of sends that a node remembers for its peers, and the
// most that one message tells: some 10 kB. Trees are joined anew when nodes come
// and go; with 4,096 sends told then, every tenth plain answer came late on VMs
// with a link of 10 Mbit/s.
const boardSize = 200

const (
	// lossesPerSecond bounds what a node tells of requests that were lost, far
	// above what servers that end leave to one node of many.
	lossesPerSecond = 10
	// lossesAtOnce is what one server may have been running of one node.
	lossesAtOnce = 20
)

// Record is one request that was sent to a backend server. The fields are
// exported for the codecs.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Sequence counts the sends of one node.
	Sequence uint64
	// Server is the hash of the server's incarnation: what is sent to one says nothing
	// of the next.
	Server uint64
	// Prompt is the part of the prompt that other requests share.
	Prompt prefix.Chain
	// WorkMillis is for how long it keeps the server busy, in milliseconds.
	WorkMillis float32
	// AgeMillis is how long ago it was sent.
	AgeMillis uint32
	// LostDigest is the digest of a request that the server left without an answer; the
	// entry then tells of that and not of a send. Zero for a send.
	LostDigest uint64
	// AnsweredDigest is the digest of a request that was answered after it had been lost; the
	// entry then tells of that alone. Zero for any other.
	AnsweredDigest uint64
}

// Age is how long ago it was sent.
func (s Record) Age() time.Duration { return time.Duration(s.AgeMillis) * time.Millisecond }

// Batch is what one node has sent.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// Node and Hall are hashes of the node's ID and of its data hall.
	Node    uint64
	Hall    uint64
	Records []Record
}

// Message is what a node tells another.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Node and Hall are hashes of the caller's ID and of its data hall.
	Node uint64
	Hall uint64
	// LogID and After say up to which entry of which board of the callee the
	// caller knows everything.
	LogID   uint64
	After   uint64
	Batches []Batch
}

// Reply is what it gets in return.
type Reply struct {
	_       struct{} `cbor:",toarray"`
	LogID   uint64
	UpTo    uint64
	Batches []Batch
}

// entry is one send on the board.
type entry struct {
	node, hall uint64
	// from is the node that told it.
	from uint64
	sent time.Time
	send Record
}

// Exchange is one node's part of the exchange. It is safe for concurrent use.
type Exchange struct {
	self       view.Member
	node, hall uint64
	nodes      Nodes
	caller     Caller
	timers     *timer.Service
	heard      func(Record)

	mu sync.Mutex
	// id tells this board from those of earlier and later processes.
	id      uint64
	entries []entry
	// count is how many entries there have been; the latest ones are kept.
	count uint64
	// latest is by node the number of the last send that was heard of it.
	latest map[uint64]uint64
	// peers are by address.
	peers  map[string]*peer
	budget budget
	// losses bounds what this node tells of lost requests, lossesAgain of those that
	// were lost more than once.
	losses, lossesAgain *rate.Limiter
}

// peer is how far this node and another one know each other's boards.
type peer struct {
	// board and after say up to which entry of which board this node knows
	// everything, told up to which of its own entries it has told the peer.
	board, after, told uint64
	// down is until when the peer is passed over.
	down time.Time
}

// NewExchange returns the board of a node. Heard is called for each send of
// another node.
func NewExchange(self view.Member, nodes Nodes, caller Caller, timers *timer.Service, heard func(Record)) *Exchange {
	return &Exchange{
		self:    self,
		node:    rendezvous.Hash(self.ID),
		hall:    rendezvous.Hash(self.DataHall),
		nodes:   nodes,
		caller:  caller,
		timers:  timers,
		heard:   heard,
		id:      rand.Uint64(),
		entries: make([]entry, 0, boardSize),
		latest:  make(map[uint64]uint64),
		peers:   make(map[string]*peer),
		losses:  rate.NewLimiter(lossesPerSecond, lossesAtOnce),

		lossesAgain: rate.NewLimiter(lossesPerSecond, lossesAtOnce),
	}
}

// Publish writes down a send of this node, if it is worth telling. Its number and
// age are set here. News says for how long the server reads what it did not have
// of the shared prompt, in milliseconds.
func (b *Exchange) Publish(s Record, news float64) {
	nodes := len(b.nodes.Others()) + 1
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.budget.allows(max(float64(s.WorkMillis), newsWeight*news), nodes, b.timers.Now()) {
		return
	}
	b.latest[b.node]++
	s.Sequence = b.latest[b.node]
	b.write(entry{node: b.node, hall: b.hall, from: b.node, sent: b.timers.Now(), send: s})
}

// PublishLoss writes down that a server left a request without an answer. Losses do
// not draw on what sends may take, and have a bound of their own: a server that ends
// leaves many. Those of requests that were lost again have one beside it, since they
// are what tells. It reports whether the others are told.
func (b *Exchange) PublishLoss(server, digest uint64, again bool) bool {
	return b.tellOf(Record{Server: server, LostDigest: digest}, again)
}

// PublishAnswer writes down that a request was answered after it had been lost, more
// than once or not. It has the bounds of TellLost.
func (b *Exchange) PublishAnswer(digest uint64, again bool) bool {
	return b.tellOf(Record{AnsweredDigest: digest}, again)
}

// tellOf writes down an entry that is no send, within the bound of its kind.
func (b *Exchange) tellOf(s Record, again bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bound := b.losses
	if again {
		bound = b.lossesAgain
	}
	if !bound.AllowN(b.timers.Now(), 1) {
		return false
	}
	b.latest[b.node]++
	s.Sequence = b.latest[b.node]
	b.write(entry{node: b.node, hall: b.hall, from: b.node, sent: b.timers.Now(), send: s})
	return true
}

// Handle takes what a peer tells, and returns what it does not know.
func (b *Exchange) Handle(m Message) Reply {
	b.take(m.Batches, m.Node)
	b.mu.Lock()
	defer b.mu.Unlock()
	after := m.After
	if m.LogID != b.id {
		after = 0
	}
	news := b.since(after, func(e entry) bool {
		if m.Hall != b.hall {
			return e.hall == b.hall
		}
		return e.from != m.Node
	})
	return Reply{LogID: b.id, UpTo: b.count, Batches: news}
}

// take writes down what others have sent, each send once.
func (b *Exchange) take(news []Batch, from uint64) {
	now := b.timers.Now()
	for _, g := range news {
		for _, s := range g.Records {
			if b.takeOne(g, s, from, now) {
				b.heard(s)
			}
		}
	}
}

func (b *Exchange) takeOne(g Batch, s Record, from uint64, now time.Time) (isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.Node == b.node || s.Sequence <= b.latest[g.Node] {
		return false
	}
	b.latest[g.Node] = s.Sequence
	b.write(entry{node: g.Node, hall: g.Hall, from: from, sent: now.Add(-s.Age()), send: s})
	return true
}

// write puts an entry on the board. The caller holds mu.
func (b *Exchange) write(e entry) {
	if len(b.entries) < boardSize {
		b.entries = append(b.entries, e)
	} else {
		b.entries[b.count%boardSize] = e
	}
	b.count++
}

// since returns the wanted entries after the given one, as far as they are
// kept, by the node that sent them. The caller holds mu.
func (b *Exchange) since(after uint64, wanted func(entry) bool) []Batch {
	if b.count > boardSize {
		after = max(after, b.count-boardSize)
	}
	now := b.timers.Now()
	var groups []Batch
	at := make(map[uint64]int)
	for i := after; i < b.count; i++ {
		e := b.entries[i%boardSize]
		if !wanted(e) {
			continue
		}
		index, known := at[e.node]
		if !known {
			index = len(groups)
			at[e.node] = index
			groups = append(groups, Batch{Node: e.node, Hall: e.hall})
		}
		e.send.AgeMillis = uint32(max(0, now.Sub(e.sent).Milliseconds()))
		groups[index].Records = append(groups[index].Records, e.send)
	}
	return groups
}
