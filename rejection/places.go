package rejection

import (
	"sync"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/timer"
)

const (
	// ownerCount is the number of nodes that keep the places of a server.
	ownerCount = 2
	// holdTime is how long a node holds places without asking again.
	holdTime = 5 * time.Second
	// settleTime is how long a node that begins to give out the places of a server does not know
	// which are in use: other nodes may have got theirs from another node. They all ask again
	// meanwhile.
	settleTime = 2 * time.Second
	// placesMemory is how long the places of a server that nobody asks for are kept.
	placesMemory = 3 * holdTime
)

var (
	namespace = errs.Namespace("rejection")

	// NoOwner means that there are too few nodes for a server to have an owner of the wanted rank.
	NoOwner = namespace.NewType("no_owner")
)

// Ask is a node's request for places at a server. The fields are exported for the codecs.
type Ask struct {
	// Server is the hash of the server's ID, Node that of the node's ID.
	Server uint64 `cbor:"1,keyasint"`
	Node   uint64 `cbor:"2,keyasint"`
	// Slots is the number of requests that the server runs at once.
	Slots int `cbor:"3,keyasint"`
	// InUse is the number of the node's requests there, Want that of further ones.
	InUse int `cbor:"4,keyasint"`
	Want  int `cbor:"5,keyasint"`
	// New means that the node has heard of the server's limit only just now.
	New bool `cbor:"6,keyasint,omitempty"`
	// DataHall is the server's.
	DataHall string `cbor:"7,keyasint,omitempty"`
	// Sequence orders the requests of a node, also those of its processes one after the other; zero if it
	// does not tell.
	Sequence uint64 `cbor:"8,keyasint,omitempty"`
}

// Grant is the answer to an Ask. The fields are exported for the codecs.
type Grant struct {
	// Places is the number of places that the node has now.
	Places int `cbor:"1,keyasint"`
	// Unsettled means that the node which answers may not know yet what others use, so that it gave no
	// further places.
	Unsettled bool `cbor:"2,keyasint,omitempty"`
}

// Places keeps the places of servers at one of their owners. It is safe for concurrent use.
type Places struct {
	timers  *timer.Service
	roster  *owner.Roster
	onBegin func(server uint64)

	mu sync.Mutex
	// servers holds who has places, by hash of the server's ID.
	servers   map[uint64]*holders
	cleanedAt time.Time
}

// holders are the nodes that have places at one server.
type holders struct {
	// settledAt is from when on it is known what all nodes use.
	settledAt, askedAt time.Time
	// isOwner means that this node is an owner of the server by the list of nodes of a generation.
	isOwner    bool
	generation uint64
	byNode     map[uint64]holding
}

// holding is what one node has until a time, by its request of the given sequence number.
type holding struct {
	places   int
	until    time.Time
	sequence uint64
}

// PlacesOption configures Places in NewPlaces.
type PlacesOption func(*Places)

// WithBeginObserver sets a function that is called as this node begins to give out the places of a
// server, with the hash that asks name it by. It must not call the Places.
func WithBeginObserver(onBegin func(server uint64)) PlacesOption {
	return func(p *Places) { p.onBegin = onBegin }
}

// NewPlaces returns the register of places of the node with the given roster, in which none is given out.
func NewPlaces(roster *owner.Roster, timers *timer.Service, options ...PlacesOption) *Places {
	p := &Places{timers: timers, roster: roster, onBegin: func(uint64) {}, servers: make(map[uint64]*holders)}
	for _, option := range options {
		option(p)
	}
	return p
}

// Ask gives a node the places that it uses, and as many of those that it wants as are free. While
// it may not be known which are, it gives further ones only if the limit is new, since the server
// does not reject requests yet.
func (p *Places) Ask(a Ask) Grant {
	p.roster.Refresh()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timers.Steady()
	p.clean(now)
	h := p.holdersOf(a.Server, now)
	h.askedAt = now
	if held := h.byNode[a.Node]; a.Sequence != 0 && a.Sequence <= held.sequence {
		return Grant{Places: a.InUse, Unsettled: true} // read after a later one of the same node
	}
	places := a.InUse
	settled := a.New || p.isOwner(a, h) && !now.Before(h.settledAt)
	if settled {
		free := a.Slots - a.InUse - h.placesOfOthers(a.Node, now)
		places += max(0, min(a.Want, free))
	}
	h.byNode[a.Node] = holding{places, now.Add(holdTime), a.Sequence}
	return Grant{Places: places, Unsettled: !settled}
}

// holdersOf returns the nodes that have places at a server. If nobody has asked for so long that those that
// use places would have, either none are in use, or others have been asked: which it was is known if the list
// of nodes has not changed lately. The caller holds mu.
func (p *Places) holdersOf(server uint64, now time.Time) *holders {
	h := p.servers[server]
	if h == nil {
		h = &holders{byNode: make(map[uint64]holding)}
		p.servers[server] = h
		p.onBegin(server)
	}
	if now.Sub(h.askedAt) >= settleTime {
		h.settledAt = now
		if !p.roster.Settled(settleTime) {
			h.settledAt = now.Add(settleTime)
		}
	}
	return h
}

// isOwner reports whether this node is one of the owners of a server by its own list of nodes. The caller
// holds mu.
func (p *Places) isOwner(a Ask, h *holders) bool {
	if generation := p.roster.Generation(); h.generation != generation {
		h.generation = generation
		h.isOwner = p.roster.Rank(a.DataHall, a.Server) < ownerCount
	}
	return h.isOwner
}

// placesOfOthers returns the number of places that other nodes have.
func (h *holders) placesOfOthers(node uint64, now time.Time) int {
	count := 0
	for other, held := range h.byNode {
		if now.After(held.until) {
			delete(h.byNode, other)
		} else if other != node {
			count += held.places
		}
	}
	return count
}

// clean drops the servers that nobody has asked for in a while. The caller holds mu.
func (p *Places) clean(now time.Time) {
	if now.Sub(p.cleanedAt) < placesMemory {
		return
	}
	p.cleanedAt = now
	for server, h := range p.servers {
		if now.Sub(h.askedAt) >= placesMemory {
			delete(p.servers, server)
		}
	}
}
