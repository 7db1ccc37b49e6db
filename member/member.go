// Package member finds out which of the system's VMs answer.
//
// Each node probes one peer per interval, in a shuffled order, and asks a few
// others to probe on its behalf before it suspects one (after SWIM: Das, Gupta
// and Motivala, 2002). Suspicions and refutations ride on the probes, so the
// cost per node does not grow with the fleet. A suspected peer gets no new
// traffic; a confirmed one is proposed for removal from the view (package
// view holds the list, this package only the opinion).
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

// Status is what a node believes of a member.
type Status int

// The statuses. Of two rumors of the same life the later status wins.
const (
	StatusAlive Status = iota
	// StatusLeaving still serves, but is given to no more callers.
	StatusLeaving
	StatusSuspect
	StatusFaulty
)

// Update is news of one member. Life is raised by the member itself alone, to
// refute a suspicion.
type Update struct {
	ID          string `cbor:"1,keyasint"`
	Status      Status `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Heartbeat is sent with each probe and with each answer to one.
type Heartbeat struct {
	From      string           `cbor:"1,keyasint"`
	Peer      string           `cbor:"2,keyasint"`
	Updates   []Update         `cbor:"3,keyasint"`
	Revisions map[string]int64 `cbor:"4,keyasint"`
	// Folded is the sequence up to which the bills of the sender's journal
	// are kept elsewhere (package ledger).
	Folded  int64  `cbor:"5,keyasint"`
	Journal string `cbor:"6,keyasint"`
}

// Transport carries probes.
type Transport interface {
	Probe(ctx context.Context, address string, h Heartbeat) (Heartbeat, error)
	// ProbeVia asks the peer at via to probe the one at target.
	ProbeVia(ctx context.Context, via, target string) error
}

const (
	defaultInterval = 500 * time.Millisecond
	// suspicionRounds is how many intervals a suspect has to refute.
	suspicionRounds = 3
	indirectProbes  = 2
	rumorsPerProbe  = 8
	// rumorSends is how often a node passes a rumor on, per doubling of the
	// fleet.
	rumorSends = 3
	// foreignShare sends one probe in so many to another region.
	foreignShare = 8
)

// Option changes a Prober as New makes it.
type Option func(*Prober)

// WithInterval sets the time between two probes.
func WithInterval(d time.Duration) Option { return func(p *Prober) { p.interval = d } }

// WithPayload lets other packages fill in what heartbeats carry for them.
func WithPayload(fill func(*Heartbeat)) Option { return func(p *Prober) { p.fill = fill } }

// WithObserver calls heard with each heartbeat that arrives.
func WithObserver(heard func(Heartbeat)) Option { return func(p *Prober) { p.heard = heard } }

// WithCounter counts status changes by the new status.
func WithCounter(count func(Status)) Option { return func(p *Prober) { p.count = count } }

// Prober probes the members of the view and keeps an opinion of each.
type Prober struct {
	self      view.Member
	transport Transport
	timers    *timer.Service
	interval  time.Duration
	fill      func(*Heartbeat)
	heard     func(Heartbeat)
	count     func(Status)

	mu      sync.Mutex
	view    *view.View
	peers   map[string]*peer
	ring    []string
	rumors  []*pending
	life    uint64
	leaving bool
}

// peer is the opinion of one member.
type peer struct {
	member view.Member
	status Status
	life   uint64
	since  time.Time
}

// pending is a rumor that still has to be passed on.
type pending struct {
	rumor Update
	sends int
}

// New returns a prober that knows nobody yet.
func New(self view.Member, transport Transport, timers *timer.Service, options ...Option) *Prober {
	p := &Prober{
		self:      self,
		transport: transport,
		timers:    timers,
		interval:  defaultInterval,
		fill:      func(*Heartbeat) {},
		heard:     func(Heartbeat) {},
		count:     func(Status) {},
		view:      view.Empty(),
		peers:     make(map[string]*peer),
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
	p.ring = nil
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	p.timers.Every(ctx, p.interval, func() {
		p.confirmSuspects()
		if target, ok := p.next(); ok {
			go p.probe(ctx, target)
		}
	})
}

// next returns the member to probe now, each once per round.
func (p *Prober) next() (view.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rand.IntN(foreignShare) == 0 {
		if m, ok := p.foreign(); ok {
			return m, true
		}
	}
	if len(p.ring) == 0 {
		for id, peer := range p.peers {
			if peer.member.Region == p.self.Region {
				p.ring = append(p.ring, id)
			}
		}
	}
	for len(p.ring) > 0 {
		id := p.ring[0]
		p.ring = p.ring[1:]
		if peer := p.peers[id]; peer != nil {
			return peer.member, true
		}
	}
	return view.Member{}, false
}

// foreign returns some member of another region; the order of a map is random
// enough.
func (p *Prober) foreign() (view.Member, bool) {
	for _, peer := range p.peers {
		if peer.member.Region != p.self.Region {
			return peer.member, true
		}
	}
	return view.Member{}, false
}

func (p *Prober) probe(ctx context.Context, target view.Member) {
	if p.direct(ctx, target) || p.indirect(ctx, target) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.peers[target.ID]; peer != nil && peer.status < StatusSuspect {
		p.believe(peer, Update{ID: target.ID, Status: StatusSuspect, Incarnation: peer.life})
	}
}

func (p *Prober) direct(ctx context.Context, target view.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, p.interval/2)
	defer cancel()
	answer, err := p.transport.Probe(ctx, target.Peer, p.heartbeat())
	// A new incarnation at the old address is not the member that was asked.
	if err != nil || answer.From != target.ID {
		return false
	}
	p.receive(answer)
	return true
}

func (p *Prober) indirect(ctx context.Context, target view.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	helpers := p.Alive()
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	answers := make(chan bool, indirectProbes)
	asked := 0
	for _, helper := range helpers {
		if helper.ID == target.ID || asked == indirectProbes {
			continue
		}
		asked++
		go func() { answers <- p.transport.ProbeVia(ctx, helper.Peer, target.Peer) == nil }()
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

// Receive takes a probe from a peer and returns the answer to it.
func (p *Prober) Receive(h Heartbeat) Heartbeat {
	p.receive(h)
	return p.heartbeat()
}

func (p *Prober) receive(h Heartbeat) {
	p.mu.Lock()
	for _, r := range h.Updates {
		p.hear(r)
	}
	// A peer that speaks is there; what is suspected of it, it will refute
	// itself as soon as it hears of it.
	if peer := p.peers[h.From]; peer != nil && peer.status >= StatusSuspect {
		p.spread(Update{ID: h.From, Status: peer.status, Incarnation: peer.life})
	}
	p.mu.Unlock()
	p.heard(h)
}

// hear weighs one rumor against the present opinion.
func (p *Prober) hear(r Update) {
	if r.ID == p.self.ID {
		p.refute(r)
		return
	}
	peer := p.peers[r.ID]
	if peer == nil {
		return
	}
	if r.Incarnation > peer.life || (r.Incarnation == peer.life && r.Status > peer.status) {
		p.believe(peer, r)
	}
}

// refute answers a wrong rumor of this node with a higher life.
func (p *Prober) refute(r Update) {
	if r.Incarnation < p.life || r.Status < StatusSuspect {
		return
	}
	p.life = r.Incarnation + 1
	p.spread(p.own())
}

func (p *Prober) own() Update {
	status := StatusAlive
	if p.leaving {
		status = StatusLeaving
	}
	return Update{ID: p.self.ID, Status: status, Incarnation: p.life}
}

func (p *Prober) believe(peer *peer, r Update) {
	if peer.status != r.Status {
		peer.since = p.timers.Now()
		p.count(r.Status)
	}
	peer.status, peer.life = r.Status, r.Incarnation
	p.spread(r)
}

// confirmSuspects turns suspects that did not refute in time into faulty ones.
func (p *Prober) confirmSuspects() {
	p.mu.Lock()
	defer p.mu.Unlock()
	deadline := p.timers.Now().Add(-suspicionRounds * p.interval)
	for id, peer := range p.peers {
		if peer.status == StatusSuspect && peer.since.Before(deadline) {
			p.believe(peer, Update{ID: id, Status: StatusFaulty, Incarnation: peer.life})
		}
	}
}

// spread queues a rumor in place of an older one of the same member.
func (p *Prober) spread(r Update) {
	sends := rumorSends
	for n := len(p.peers); n > 0; n /= 2 {
		sends += rumorSends
	}
	for _, queued := range p.rumors {
		if queued.rumor.ID == r.ID {
			queued.rumor, queued.sends = r, sends
			return
		}
	}
	p.rumors = append(p.rumors, &pending{rumor: r, sends: sends})
}

func (p *Prober) heartbeat() Heartbeat {
	h := Heartbeat{From: p.self.ID, Peer: p.self.Peer}
	p.mu.Lock()
	// The own rumor goes along each time: it costs a few bytes and brings a
	// leaving node out of the answers at once.
	h.Updates = append(h.Updates, p.own())
	kept := p.rumors[:0]
	for _, queued := range p.rumors {
		if len(h.Updates) < rumorsPerProbe {
			h.Updates = append(h.Updates, queued.rumor)
			queued.sends--
		}
		if queued.sends > 0 {
			kept = append(kept, queued)
		}
	}
	p.rumors = kept
	p.mu.Unlock()
	p.fill(&h)
	return h
}

// Leave makes this node known as leaving.
func (p *Prober) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.life++
	p.spread(p.own())
}

// Leaving reports whether Leave was called.
func (p *Prober) Leaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}

// Status returns the opinion of a member and since when it is held. This node
// and members that nobody has met yet are alive; a stranger to the view is
// faulty.
func (p *Prober) Status(id string) (Status, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id == p.self.ID {
		return p.own().Status, time.Time{}
	}
	peer := p.peers[id]
	if peer == nil {
		return StatusFaulty, time.Time{}
	}
	return peer.status, peer.since
}

// FaultySince returns since when a member is confirmed not to answer.
func (p *Prober) FaultySince(id string) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[id]
	if peer == nil {
		return time.Time{}, false
	}
	return peer.since, peer.status == StatusFaulty
}

// ReachableFrom reports whether a peer reaches this node.
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

// Hears reports whether more than half of the view answers, this node
// included.
func (p *Prober) Hears() bool {
	alive := len(p.Alive())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view.Has(p.self.ID) {
		alive++
	}
	return 2*alive > len(p.view.Members())
}

// Rank returns this node's place, by ID, among the answering members of its
// data hall; zero is the first.
func (p *Prober) Rank() int {
	return p.rank(func(m view.Member) bool { return m.Region == p.self.Region && m.DataHall == p.self.DataHall })
}

// RegionRank is Rank within the whole region.
func (p *Prober) RegionRank() int {
	return p.rank(func(m view.Member) bool { return m.Region == p.self.Region })
}

func (p *Prober) rank(among func(view.Member) bool) int {
	rank := 0
	for _, m := range p.Alive() {
		if among(m) && m.ID < p.self.ID {
			rank++
		}
	}
	return rank
}
