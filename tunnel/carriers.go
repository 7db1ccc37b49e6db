package tunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

const (
	// avoidTime is how long a carrier that could not serve is not asked again.
	avoidTime = time.Second
	// maxWorking is the number of carriers that are remembered to work, so that the tunnels of one
	// node are spread over a few.
	maxWorking = 4
)

// Peers opens connections through other nodes.
type Peers interface {
	// Others returns the other nodes that are not leaving. The list must not be modified.
	Others() []view.Member
	// OpenTunnel opens a connection to a server through the node with the given peer address. An
	// error of the carrier itself is that of [RefusalError].
	OpenTunnel(ctx context.Context, carrier, server string) (net.Conn, error)
}

// carriers chooses the nodes that are asked to carry connections. It is safe for concurrent use.
type carriers struct {
	peers  Peers
	self   view.Member
	timers *timer.Service

	mu sync.Mutex
	// working holds the carriers that opened a tunnel last, the latest first.
	working []view.Member
	// avoided holds those that failed, by peer address.
	avoided map[string]avoidance
}

// avoidance is how long a carrier that failed is avoided.
type avoidance struct {
	until time.Time
	// silent means that it did not answer, so that it is asked if there is no other.
	silent bool
}

// choose returns a carrier that is not among the given ones: one that has worked, or else one of
// this node's data hall if none was tried, or else one of another, since all of a hall may be cut
// off. One that did not answer lately comes last.
func (c *carriers) choose(tried []string) (view.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timers.Steady()
	usable := func(m view.Member) bool {
		return !slices.Contains(tried, m.Peer) && now.After(c.avoided[m.Peer].until)
	}
	silent := func(m view.Member) bool {
		return !slices.Contains(tried, m.Peer) && c.avoided[m.Peer].silent
	}
	local, remote := c.draw(c.working, usable)
	if local.Peer == "" && remote.Peer == "" {
		local, remote = c.draw(c.peers.Others(), usable)
	}
	if local.Peer == "" && remote.Peer == "" {
		local, remote = c.draw(c.peers.Others(), silent)
	}
	first, second := local, remote
	if len(tried) > 0 {
		first, second = remote, local
	}
	if first.Peer == "" {
		first = second
	}
	return first, first.Peer != ""
}

// draw returns a random usable one of the nodes of this node's data hall, and of the others; one
// without an address if there is none.
func (c *carriers) draw(nodes []view.Member, usable func(view.Member) bool) (local, remote view.Member) {
	localCount, remoteCount := 0, 0
	for _, m := range nodes {
		drawn, count := &remote, &remoteCount
		if m.DataHall == c.self.DataHall {
			drawn, count = &local, &localCount
		}
		if !usable(m) {
			continue
		}
		if *count++; rand.IntN(*count) == 0 {
			*drawn = m
		}
	}
	return local, remote
}

// record records the result of a tunnel.
func (c *carriers) record(carrier view.Member, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errorx.IsOfType(err, Unreachable) || errorx.IsOfType(err, UnknownServer) || errorx.IsOfType(err, Withheld) {
		return // says nothing of other servers
	}
	same := func(m view.Member) bool { return m.Peer == carrier.Peer }
	c.working = slices.DeleteFunc(c.working, same)
	if err != nil {
		c.avoided[carrier.Peer] = avoidance{until: c.timers.Steady().Add(avoidTime), silent: !isRefusal(err)}
		return
	}
	delete(c.avoided, carrier.Peer)
	c.working = slices.Insert(c.working, 0, carrier)
	c.working = c.working[:min(len(c.working), maxWorking)]
}

// retain forgets the carriers that are not listed any more, and returns the addresses of those that
// are.
func (c *carriers) retain() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool)
	for _, m := range c.peers.Others() {
		listed[m.Peer] = true
	}
	c.working = slices.DeleteFunc(c.working, func(m view.Member) bool { return !listed[m.Peer] })
	now := c.timers.Steady()
	for address, a := range c.avoided {
		if now.After(a.until) {
			delete(c.avoided, address)
		}
	}
	return listed
}
