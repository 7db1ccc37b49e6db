// Package member detects which of the system's VMs are alive.
//
// It follows SWIM (Das, Gupta and Motivala, 2002): each node probes one peer per
// interval, in a random order, and asks a few others to probe on its behalf
// before it suspects one. Suspicions and refutations are piggybacked on the
// probes, so the cost per node does not grow with the fleet. A suspected peer
// gets no new traffic; one that is confirmed faulty is proposed for removal from
// the view. Package view holds the member list, this package only each member's
// status as this node sees it.
//
// # Usage
//
//	p := member.New(self, transport, timers, member.WithInterval(500*time.Millisecond))
//	p.SetView(current)
//	go p.Run(ctx)
//	for _, m := range p.Alive() { … }
package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

//go:generate go tool enumer -type=Status -trimprefix=Status -transform=snake -output=member_enumer.go

// Status is a member's status as one node sees it.
type Status int

// The statuses in the order in which they override each other: of two updates of
// the same incarnation, the one with the later status wins.
const (
	StatusAlive Status = iota
	// StatusLeaving still serves, but its address is no longer given to clients.
	StatusLeaving
	StatusSuspect
	StatusFaulty
)

// Update is a gossiped status of one member. Only the member itself increments its
// Incarnation: to refute a suspicion, and when it starts to leave.
type Update struct {
	ID          string `cbor:"1,keyasint"`
	Status      Status `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Heartbeat is the message of each probe and of each response to one.
type Heartbeat struct {
	From      string           `cbor:"1,keyasint"`
	Peer      string           `cbor:"2,keyasint"`
	Updates   []Update         `cbor:"3,keyasint"`
	Revisions map[string]int64 `cbor:"4,keyasint"`
	// DurableSequence is the sequence number up to which the bills of the sender's
	// Journal are durable, see package ledger.
	DurableSequence int64  `cbor:"5,keyasint"`
	Journal         string `cbor:"6,keyasint"`
}

// Transport sends probes.
type Transport interface {
	Probe(ctx context.Context, address string, h Heartbeat) (Heartbeat, error)
	// ProbeVia asks the peer at via to probe the one at target.
	ProbeVia(ctx context.Context, via, target string) error
}

const (
	defaultInterval = 500 * time.Millisecond
	// suspicionIntervals is how many intervals a suspect has to refute the suspicion.
	suspicionIntervals = 3
	indirectProbes     = 2
	updatesPerProbe    = 8
	// retransmitFactor is how often a node sends an update, per doubling of the
	// fleet.
	retransmitFactor = 3
	// crossRegionEvery is the mean number of probes per probe to another region.
	crossRegionEvery = 8
)

// Option configures a Prober in New.
type Option func(*Prober)

// WithInterval sets the time between two probes.
func WithInterval(d time.Duration) Option { return func(p *Prober) { p.interval = d } }

// WithPayload sets a function that fills in the heartbeat fields of other packages.
func WithPayload(fill func(*Heartbeat)) Option { return func(p *Prober) { p.fillPayload = fill } }

// WithObserver calls observe with each received heartbeat.
func WithObserver(observe func(Heartbeat)) Option {
	return func(p *Prober) { p.onHeartbeat = observe }
}

// WithCounter calls count at each change of a member's status, with the new status.
func WithCounter(count func(Status)) Option { return func(p *Prober) { p.countStatus = count } }

// Prober probes the members of the view and tracks the status of each.
type Prober struct {
	self        view.Member
	transport   Transport
	timers      *timer.Service
	interval    time.Duration
	fillPayload func(*Heartbeat)
	onHeartbeat func(Heartbeat)
	countStatus func(Status)

	mu          sync.Mutex
	view        *view.View
	peers       map[string]*peer
	probeQueue  []string
	broadcasts  []*broadcast
	incarnation uint64
	leaving     bool
}

// peer is the state of one member as this node sees it.
type peer struct {
	member      view.Member
	status      Status
	incarnation uint64
	since       time.Time
}

// broadcast is an update that is still to be sent this many times.
type broadcast struct {
	update    Update
	remaining int
}

// New returns a prober without peers. SetView sets them.
func New(self view.Member, transport Transport, timers *timer.Service, options ...Option) *Prober {
	p := &Prober{
		self:        self,
		transport:   transport,
		timers:      timers,
		interval:    defaultInterval,
		fillPayload: func(*Heartbeat) {},
		onHeartbeat: func(Heartbeat) {},
		countStatus: func(Status) {},
		view:        view.Empty(),
		peers:       make(map[string]*peer),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SetView replaces the list of members to probe.
func (p *Prober) SetView(v *view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	for id := range p.peers {
		if !v.Has(id) {
			delete(p.peers, id)
		}
	}
	for _, m := range v.Members() {
		if m.ID != p.self.ID && p.peers[m.ID] == nil {
			p.peers[m.ID] = &peer{member: m, since: p.timers.Now()}
		}
	}
	p.probeQueue = nil
}

// Run probes one member per interval until the context is canceled.
func (p *Prober) Run(ctx context.Context) {
	p.timers.Every(ctx, p.interval, func() {
		p.confirmSuspects()
		if target, ok := p.nextTarget(); ok {
			go p.probe(ctx, target)
		}
	})
}

// nextTarget returns the member to probe now. Each member of the region is probed
// once per round.
func (p *Prober) nextTarget() (view.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rand.IntN(crossRegionEvery) == 0 {
		if m, ok := p.crossRegionTarget(); ok {
			return m, true
		}
	}
	if len(p.probeQueue) == 0 {
		for id, peer := range p.peers {
			if peer.member.Region == p.self.Region {
				p.probeQueue = append(p.probeQueue, id)
			}
		}
	}
	for len(p.probeQueue) > 0 {
		id := p.probeQueue[0]
		p.probeQueue = p.probeQueue[1:]
		if peer := p.peers[id]; peer != nil {
			return peer.member, true
		}
	}
	return view.Member{}, false
}

// crossRegionTarget returns a random member of another region. The iteration order
// of the map is random enough.
func (p *Prober) crossRegionTarget() (view.Member, bool) {
	for _, peer := range p.peers {
		if peer.member.Region != p.self.Region {
			return peer.member, true
		}
	}
	return view.Member{}, false
}

func (p *Prober) probe(ctx context.Context, target view.Member) {
	if p.probeDirect(ctx, target) || p.probeIndirect(ctx, target) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.peers[target.ID]; peer != nil && peer.status < StatusSuspect {
		p.setStatus(peer, Update{ID: target.ID, Status: StatusSuspect, Incarnation: peer.incarnation})
	}
}

func (p *Prober) probeDirect(ctx context.Context, target view.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, p.interval/2)
	defer cancel()
	response, err := p.transport.Probe(ctx, target.Peer, p.heartbeat())
	// Another process may have been started at the address of the member.
	if err != nil || response.From != target.ID {
		return false
	}
	p.merge(response)
	return true
}

func (p *Prober) probeIndirect(ctx context.Context, target view.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	helpers := p.Alive()
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	results := make(chan bool, indirectProbes)
	sent := 0
	for _, helper := range helpers {
		if helper.ID == target.ID || sent == indirectProbes {
			continue
		}
		sent++
		go func() { results <- p.transport.ProbeVia(ctx, helper.Peer, target.Peer) == nil }()
	}
	for range sent {
		if <-results {
			return true
		}
	}
	return false
}

// Receive handles a probe from a peer and returns the response.
func (p *Prober) Receive(h Heartbeat) Heartbeat {
	p.merge(h)
	return p.heartbeat()
}

func (p *Prober) merge(h Heartbeat) {
	p.mu.Lock()
	for _, u := range h.Updates {
		p.applyUpdate(u)
	}
	// A suspected peer that sends heartbeats is alive. Send it the suspicion, so
	// that it can refute it.
	if peer := p.peers[h.From]; peer != nil && peer.status >= StatusSuspect {
		p.enqueue(Update{ID: h.From, Status: peer.status, Incarnation: peer.incarnation})
	}
	p.mu.Unlock()
	p.onHeartbeat(h)
}

// applyUpdate applies an update if it is newer than the known status.
func (p *Prober) applyUpdate(u Update) {
	if u.ID == p.self.ID {
		p.refute(u)
		return
	}
	peer := p.peers[u.ID]
	if peer == nil {
		return
	}
	if u.Incarnation > peer.incarnation || (u.Incarnation == peer.incarnation && u.Status > peer.status) {
		p.setStatus(peer, u)
	}
}

// refute overrides a suspicion of this node with a higher incarnation.
func (p *Prober) refute(u Update) {
	if u.Incarnation < p.incarnation || u.Status < StatusSuspect {
		return
	}
	p.incarnation = u.Incarnation + 1
	p.enqueue(p.selfUpdate())
}

func (p *Prober) selfUpdate() Update {
	status := StatusAlive
	if p.leaving {
		status = StatusLeaving
	}
	return Update{ID: p.self.ID, Status: status, Incarnation: p.incarnation}
}

func (p *Prober) setStatus(peer *peer, u Update) {
	if peer.status != u.Status {
		peer.since = p.timers.Now()
		p.countStatus(u.Status)
	}
	peer.status, peer.incarnation = u.Status, u.Incarnation
	p.enqueue(u)
}

// confirmSuspects marks suspects as faulty that did not refute in time.
func (p *Prober) confirmSuspects() {
	p.mu.Lock()
	defer p.mu.Unlock()
	deadline := p.timers.Now().Add(-suspicionIntervals * p.interval)
	for id, peer := range p.peers {
		if peer.status == StatusSuspect && peer.since.Before(deadline) {
			p.setStatus(peer, Update{ID: id, Status: StatusFaulty, Incarnation: peer.incarnation})
		}
	}
}

// enqueue queues an update. It replaces a queued one of the same member.
func (p *Prober) enqueue(u Update) {
	remaining := retransmitFactor
	for n := len(p.peers); n > 0; n /= 2 {
		remaining += retransmitFactor
	}
	for _, queued := range p.broadcasts {
		if queued.update.ID == u.ID {
			queued.update, queued.remaining = u, remaining
			return
		}
	}
	p.broadcasts = append(p.broadcasts, &broadcast{update: u, remaining: remaining})
}

func (p *Prober) heartbeat() Heartbeat {
	h := Heartbeat{From: p.self.ID, Peer: p.self.Peer}
	p.mu.Lock()
	// This node's own status is always included. It takes a few bytes, and
	// peers stop giving out the address of a leaving node at once.
	h.Updates = append(h.Updates, p.selfUpdate())
	kept := p.broadcasts[:0]
	for _, queued := range p.broadcasts {
		if len(h.Updates) < updatesPerProbe {
			h.Updates = append(h.Updates, queued.update)
			queued.remaining--
		}
		if queued.remaining > 0 {
			kept = append(kept, queued)
		}
	}
	p.broadcasts = kept
	p.mu.Unlock()
	p.fillPayload(&h)
	return h
}

// Leave announces to the other members that this node is leaving.
func (p *Prober) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.incarnation++
	p.enqueue(p.selfUpdate())
}

// Leaving reports whether Leave was called.
func (p *Prober) Leaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}

// Status returns the status of a member and since when it has it. Members that
// were not probed yet count as alive, IDs that are not in the view as faulty. For
// this node the time is zero.
func (p *Prober) Status(id string) (Status, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id == p.self.ID {
		return p.selfUpdate().Status, time.Time{}
	}
	peer := p.peers[id]
	if peer == nil {
		return StatusFaulty, time.Time{}
	}
	return peer.status, peer.since
}

// FaultySince reports whether a member is confirmed faulty, and since when.
func (p *Prober) FaultySince(id string) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[id]
	if peer == nil {
		return time.Time{}, false
	}
	return peer.since, peer.status == StatusFaulty
}

// ReachableFrom reports whether a peer can reach this node.
func (p *Prober) ReachableFrom(ctx context.Context, via view.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	return p.transport.ProbeVia(ctx, via.Peer, p.self.Peer) == nil
}

// Responsive reports whether a member is neither suspected nor faulty.
func (p *Prober) Responsive(id string) bool {
	status, _ := p.Status(id)
	return status < StatusSuspect
}

// Alive returns the peers that are neither suspected nor faulty.
func (p *Prober) Alive() []view.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := make([]view.Member, 0, len(p.peers))
	for _, peer := range p.peers {
		if peer.status < StatusSuspect {
			alive = append(alive, peer.member)
		}
	}
	return alive
}

// HasMajority reports whether more than half of the view is neither suspected nor
// faulty, this node included.
func (p *Prober) HasMajority() bool {
	alive := len(p.Alive())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view.Has(p.self.ID) {
		alive++
	}
	return 2*alive > len(p.view.Members())
}

// Rank returns this node's index, by ID, among the members of its data hall that
// are neither suspected nor faulty. The first has index zero.
func (p *Prober) Rank() int {
	return p.rank(func(m view.Member) bool { return m.Region == p.self.Region && m.DataHall == p.self.DataHall })
}

// RegionRank is like Rank for the whole region.
func (p *Prober) RegionRank() int {
	return p.rank(func(m view.Member) bool { return m.Region == p.self.Region })
}

func (p *Prober) rank(include func(view.Member) bool) int {
	rank := 0
	for _, m := range p.Alive() {
		if include(m) && m.ID < p.self.ID {
			rank++
		}
	}
	return rank
}
