// Package share exchanges between the nodes of a deployment which requests each of them has
// sent to the backend servers, so that each node knows the queues of the servers and the
// contents of the engines' caches. It also passes on which requests were lost at a server that
// crashed, which were answered since, and what servers say of themselves.
//
// Each node publishes records of its own requests to an [Exchange], except for those with
// too little work: short work is over before other nodes learn of it, and the minimum rises
// with the number of records. The nodes of a data hall form a tree, in the order of their
// names. At every interval a node calls its parent, sends it new records, and gets in return
// those that the parent has received from all others. The roots of two data halls call each
// other in the same way with the records of their own halls, so a record passes between two
// halls once, however many nodes there are. A peer that doesn't respond is skipped for a
// while.
//
// There is no agreement and no storage: a node keeps the latest records only, a node that
// starts receives them with its first call, and a node that receives nothing relies on what
// it has sent itself.
//
// # Usage
//
//	exchange := share.NewExchange(self, nodes, client, timers, balancer.ObserveSend)
//	go exchange.Run(ctx)
//	exchange.Publish(share.Record{Server: server.Incarnation().Hash(), Prompt: shared, WorkMillis: 130}, 105)
//
//	reply := exchange.Handle(message) // for a call from a peer
package share

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/suspect"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// logSize is the number of records that a node keeps for its peers, and the most that one
// message carries, some 10 kB. When nodes join or leave, other nodes get a new parent and
// receive the whole log, which must not delay responses on a link of 10 Mbit/s.
const logSize = 200

const (
	// lossesPerSecond bounds the lost requests that a node publishes. It is far above what
	// crashing servers cause at one of many nodes.
	lossesPerSecond = 10
	// lossBurst is the number of requests of one node that one server may be running.
	lossBurst = 20
	// answerInterval is the least time between two answers with the same features that are passed
	// on: after a crash, every node may have such an answer.
	answerInterval = 250 * time.Millisecond
	// maxToldAnswers bounds the features for which the last answer passed on is kept.
	maxToldAnswers = 1024
)

// Record is one request that was sent to a backend server, or the loss of one, or the
// answer to one that had been lost, or what a server says of itself. The fields are exported for
// the codecs.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Sequence numbers the records of one node.
	Sequence uint64
	// Server is the hash of the server's incarnation: what was sent to one incarnation says
	// nothing about the next. For a notice, it is the hash of what that is about (notice.Report).
	Server uint64
	// Prompt is the part of the prompt that other requests share.
	Prompt prefix.Chain
	// WorkMillis is how long the request keeps the server busy, in milliseconds; of a notice, how much
	// longer ago than its age the server may have said so.
	WorkMillis float32
	// AgeMillis is how long ago the request was sent, or the server said what a notice tells, in
	// milliseconds.
	AgeMillis uint32
	// Lost holds the features of a request that the server left without a response when it
	// crashed; none if the record is no loss.
	Lost suspect.Features
	// Answered holds, of a loss, those features with which there were answers before. Without a
	// loss, it holds features that an answer clears of the losses until the record's age.
	Answered suspect.Features
	// Notice is the kind of what the server says of itself, if the record tells of that, and Value
	// that of the notice.
	Notice notice.Kind
	Value  float32
}

// Report returns what the record tells that a server says.
func (r Record) Report() notice.Report {
	doubt := time.Duration(float64(r.WorkMillis) * float64(time.Millisecond))
	return notice.Report{Server: r.Server, Kind: r.Notice, Value: float64(r.Value), Age: r.Age(), Doubt: doubt}
}

// Age returns how long ago the request was sent, or the server said what a notice tells.
func (r Record) Age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// Batch holds records of one node.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// Node and Hall are hashes of the node's ID and of its data hall.
	Node    uint64
	Hall    uint64
	Records []Record
}

// Message is what a node sends to a peer.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Node and Hall are hashes of the sender's ID and of its data hall.
	Node uint64
	Hall uint64
	// LogID and After give the position in the receiver's log up to which the sender has
	// received everything.
	LogID   uint64
	After   uint64
	Batches []Batch
}

// Reply is the response to a Message. LogID and UpTo give the position in the responder's log
// up to which the sender of the Message has now received everything.
type Reply struct {
	_       struct{} `cbor:",toarray"`
	LogID   uint64
	UpTo    uint64
	Batches []Batch
}

// entry is one record in the log.
type entry struct {
	node, hall uint64
	// receivedFrom is the node that this node received the record from.
	receivedFrom uint64
	sentAt       time.Time
	record       Record
}

// Exchange is one node's part in the exchange of records. It is safe for concurrent use.
type Exchange struct {
	self       view.Member
	node, hall uint64
	nodes      Nodes
	client     PeerClient
	timers     *timer.Service
	onRecord   func(Record)

	mu sync.Mutex
	// logID distinguishes this log from those of earlier and later processes.
	logID   uint64
	entries []entry
	// count is the number of entries so far; the latest ones are kept.
	count uint64
	// latestSequence is, by node, the latest sequence number received.
	latestSequence map[uint64]uint64
	// peers are by address.
	peers map[string]*peer
	// calls are those of other nodes.
	calls           callLog
	budget          budget
	losses, answers lossLimiter
	// toldAnswers holds the time until which the answer that was passed on last clears a feature.
	toldAnswers map[suspect.Feature]time.Time
}

// lossLimiter limits what a node publishes of lost requests, and separately of those that were
// lost repeatedly, since these are the evidence that matters.
type lossLimiter struct{ first, repeated *rate.Limiter }

func newLossLimiter() lossLimiter {
	return lossLimiter{first: rate.NewLimiter(lossesPerSecond, lossBurst), repeated: rate.NewLimiter(lossesPerSecond, lossBurst)}
}

// allows reports whether one more record may be published, and counts it if so.
func (l lossLimiter) allows(repeated bool, now time.Time) bool {
	if repeated {
		return l.repeated.AllowN(now, 1)
	}
	return l.first.AllowN(now, 1)
}

// peer holds how far this node and a peer have received each other's logs.
type peer struct {
	// logID and receivedUpTo give the position in the peer's log up to which this node has
	// received everything, sentUpTo the position in its own log up to which it has sent
	// everything.
	logID, receivedUpTo, sentUpTo uint64
	// skippedUntil is until when the peer is skipped.
	skippedUntil time.Time
}

// NewExchange returns the exchange of a node. OnRecord is called for each record of another
// node.
func NewExchange(self view.Member, nodes Nodes, client PeerClient, timers *timer.Service, onRecord func(Record)) *Exchange {
	return &Exchange{
		self:           self,
		node:           rendezvous.Hash(self.ID),
		hall:           rendezvous.Hash(self.DataHall),
		nodes:          nodes,
		client:         client,
		timers:         timers,
		onRecord:       onRecord,
		logID:          rand.Uint64(),
		entries:        make([]entry, 0, logSize),
		latestSequence: make(map[uint64]uint64),
		peers:          make(map[string]*peer),
		calls:          newCallLog(timers.Now()),
		losses:         newLossLimiter(),
		answers:        newLossLimiter(),
		toldAnswers:    make(map[suspect.Feature]time.Time),
	}
}

// Publish publishes a request of this node, if its work is large enough, and sets its
// sequence number and age. PrefillMillis is how long the server takes to prefill the uncached
// part of the shared prompt, in milliseconds.
func (x *Exchange) Publish(r Record, prefillMillis float64) {
	nodes := len(x.nodes.Others()) + 1
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.budget.allows(max(float64(r.WorkMillis), prefillWeight*prefillMillis), nodes, x.timers.Now()) {
		return
	}
	x.addOwn(r, x.timers.Now())
}

// PublishLoss publishes a loss of this node. Losses do not use up the budget of other records but
// have a rate limit of their own, since a server that crashes causes many. Requests that were lost
// repeatedly have a separate limit. It reports whether the loss was published.
func (x *Exchange) PublishLoss(l suspect.Loss, repeated bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.timers.Now()
	if !x.losses.allows(repeated, now) {
		return false
	}
	x.addOwn(Record{Server: l.Server, Lost: l.Features, Answered: l.Answered}, now.Add(-l.Ago))
	return true
}

// PublishAnswer publishes that a request with the given features was answered, which clears them of
// the losses, once or repeatedly, until the given time ago. Nothing is published if that was
// already, for a similar time.
func (x *Exchange) PublishAnswer(answered suspect.Features, ago time.Duration, repeated bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.timers.Now()
	if until := now.Add(-ago); x.isNews(answered, until) && x.answers.allows(repeated, now) {
		x.addOwn(Record{Answered: answered}, until)
	}
}

// isNews reports whether an answer is to be passed on, and if so, records that it is. The caller
// holds mu.
func (x *Exchange) isNews(answered suspect.Features, until time.Time) bool {
	told := func(f suspect.Feature) bool { return until.Sub(x.toldAnswers[f]) < answerInterval }
	if !slices.ContainsFunc(answered, func(f suspect.Feature) bool { return !told(f) }) {
		return false
	}
	if len(x.toldAnswers) > maxToldAnswers {
		clear(x.toldAnswers)
	}
	for _, f := range answered {
		if !told(f) {
			x.toldAnswers[f] = until
		}
	}
	return true
}

// PublishNotice publishes what a server says. The caller bounds how often.
func (x *Exchange) PublishNotice(r notice.Report) {
	x.mu.Lock()
	defer x.mu.Unlock()
	record := Record{Server: r.Server, Notice: r.Kind, Value: float32(r.Value), WorkMillis: millis(r.Doubt)}
	x.addOwn(record, x.timers.Now().Add(-r.Age))
}

// millis returns a time as records hold it.
func millis(d time.Duration) float32 { return float32(d.Seconds() * 1000) }

// addOwn appends a record of this node, of what happened at the given time, to the log. The caller
// holds mu.
func (x *Exchange) addOwn(r Record, at time.Time) {
	x.latestSequence[x.node]++
	r.Sequence = x.latestSequence[x.node]
	x.add(entry{node: x.node, hall: x.hall, receivedFrom: x.node, sentAt: at, record: r})
}

// Handle receives a peer's records and returns those that the peer has not received.
func (x *Exchange) Handle(m Message) Reply {
	x.receive(m.Batches, m.Node, x.timeUnderWay(m))
	x.mu.Lock()
	defer x.mu.Unlock()
	x.calls.replied(m.Node, x.count, x.timers.Now())
	after := m.After
	if m.LogID != x.logID {
		after = 0
	}
	batches := x.entriesAfter(after, func(e entry) bool {
		if m.Hall != x.hall {
			return e.hall == x.hall
		}
		return e.receivedFrom != m.Node
	})
	return Reply{LogID: x.logID, UpTo: x.count, Batches: batches}
}

// receive adds the records of other nodes to the log, each once. They were under way for the given time at
// most.
func (x *Exchange) receive(batches []Batch, from uint64, underWay time.Duration) {
	now := x.timers.Now()
	for _, batch := range batches {
		for _, r := range batch.Records {
			if r.Notice != notice.KindNone {
				r.WorkMillis += millis(underWay)
			}
			if x.addIfNew(batch, r, from, now) {
				x.onRecord(r)
			}
		}
	}
}

func (x *Exchange) addIfNew(batch Batch, r Record, from uint64, now time.Time) (isNew bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if batch.Node == x.node || r.Sequence <= x.latestSequence[batch.Node] {
		return false
	}
	x.latestSequence[batch.Node] = r.Sequence
	sentAt := now.Add(-r.Age())
	if len(r.Lost) > 0 || len(r.Answered) == 0 || x.isNews(r.Answered, sentAt) {
		x.add(entry{node: batch.Node, hall: batch.Hall, receivedFrom: from, sentAt: sentAt, record: r})
	}
	return true
}

// add appends an entry to the log. The caller holds mu.
func (x *Exchange) add(e entry) {
	if len(x.entries) < logSize {
		x.entries = append(x.entries, e)
	} else {
		x.entries[x.count%logSize] = e
	}
	x.count++
}

// entriesAfter returns the wanted entries after a position, as far as they are kept, grouped
// by the node that published them. The caller holds mu.
func (x *Exchange) entriesAfter(after uint64, wanted func(entry) bool) []Batch {
	if x.count > logSize {
		after = max(after, x.count-logSize)
	}
	now := x.timers.Now()
	var batches []Batch
	indexOf := make(map[uint64]int)
	for i := after; i < x.count; i++ {
		e := x.entries[i%logSize]
		if !wanted(e) {
			continue
		}
		index, known := indexOf[e.node]
		if !known {
			index = len(batches)
			indexOf[e.node] = index
			batches = append(batches, Batch{Node: e.node, Hall: e.hall})
		}
		e.record.AgeMillis = uint32(max(0, now.Sub(e.sentAt).Milliseconds()))
		batches[index].Records = append(batches[index].Records, e.record)
	}
	return batches
}
