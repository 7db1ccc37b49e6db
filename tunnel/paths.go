package tunnel

import (
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
)

const (
	// cutOffServers is the number of servers that must be lost, with none reached since, for this
	// node to count as cut off. One server may be down.
	cutOffServers = 2
	// lostMemory is how long a server counts as lost after the last failure to reach it.
	lostMemory = 10 * time.Second
	// retryInterval is the time between two direct connections to a server that is lost.
	retryInterval = time.Second
)

// paths is what this node knows of its own ways to the servers. It is safe for concurrent use.
type paths struct {
	timers   *timer.Service
	onChange func(Event)

	mu sync.Mutex
	// lost holds the servers that are not reached, by address.
	lost map[string]*lostPath
	// reachedAt is when a server was last reached, and cutOff means that none has been since
	// several were lost.
	reachedAt time.Time
	cutOff    bool
}

// lostPath is the way to a server that is not reached.
type lostPath struct {
	// failedAt is when the server was last found not to be reached, triedAt when this node last
	// began to connect to it.
	failedAt, triedAt time.Time
}

func newPaths(timers *timer.Service) *paths {
	return &paths{timers: timers, onChange: func(Event) {}, lost: make(map[string]*lostPath)}
}

// recordReached records that a connection to a server has been opened.
func (p *paths) recordReached(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachedAt = p.timers.Steady()
	if p.lost[server] != nil {
		delete(p.lost, server)
		p.onChange(Event{Change: ChangeReached, Server: server, Lost: len(p.lost)})
	}
	if p.cutOff {
		p.cutOff = false
		p.onChange(Event{Change: ChangeReconnected, Server: server, Lost: len(p.lost)})
	}
}

// recordLost records that a server was not reached, and reports whether this node is cut off.
func (p *paths) recordLost(server string, cause error) (cutOff bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timers.Steady()
	p.forget(now)
	known := p.lost[server]
	if known == nil {
		known = &lostPath{triedAt: now}
		p.lost[server] = known
		p.onChange(Event{Change: ChangeLost, Server: server, Lost: len(p.lost), Cause: cause})
	}
	known.failedAt = now
	if !p.cutOff && p.lostSince(p.reachedAt) >= cutOffServers {
		p.cutOff = true
		p.onChange(Event{Change: ChangeCutOff, Server: server, Lost: len(p.lost), Cause: cause})
	}
	return p.cutOff
}

// lostSince returns the number of servers that were not reached after a time. The caller holds mu.
func (p *paths) lostSince(at time.Time) int {
	count := 0
	for _, l := range p.lost {
		if l.failedAt.After(at) {
			count++
		}
	}
	return count
}

// forget drops the servers that have not been tried for a while. The caller holds mu.
func (p *paths) forget(now time.Time) {
	for server, l := range p.lost {
		if now.Sub(l.failedAt) >= lostMemory {
			delete(p.lost, server)
		}
	}
	if len(p.lost) == 0 {
		p.cutOff = false
	}
}

// state is what is known of the way to one server.
type state struct {
	// lost means that the server is not reached, cutOff that no server is.
	lost, cutOff bool
	// retry means that it is time to try the direct way again.
	retry bool
}

// state returns what is known of the way to a server.
func (p *paths) state(server string) state {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timers.Steady()
	p.forget(now)
	l := p.lost[server]
	if l == nil {
		return state{cutOff: p.cutOff, retry: true}
	}
	return state{lost: true, cutOff: p.cutOff, retry: now.Sub(l.triedAt) >= retryInterval}
}

// recordTry records that this node begins to connect to a server.
func (p *paths) recordTry(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.lost[server]; l != nil {
		l.triedAt = p.timers.Steady()
	}
}

// countLost returns the number of servers that are not reached.
func (p *paths) countLost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(p.timers.Steady())
	return len(p.lost)
}
