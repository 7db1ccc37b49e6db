package tunnel

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/violettally/violettally/internal/errs"
)

// maxCarried is the number of tunnels that a node carries for others. Each takes two of its
// descriptors, of which the smallest deployed VM has 3,000.
const maxCarried = 600

// Carrier opens connections to servers for other nodes. It is safe for concurrent use.
type Carrier struct {
	dialer   *Dialer
	knows    func(server string) bool
	mayCarry func() bool
	carried  atomic.Int64
}

// NewCarrier returns a carrier that connects to the servers whose addresses are known, while
// mayCarry returns true.
func NewCarrier(d *Dialer, knows func(server string) bool, mayCarry func() bool) *Carrier {
	return &Carrier{dialer: d, knows: knows, mayCarry: mayCarry}
}

// Carry opens a direct connection to a server for another node. The error is one of the package's.
func (c *Carrier) Carry(ctx context.Context, server string) (net.Conn, error) {
	state := c.dialer.paths.state(server)
	switch {
	case !c.mayCarry():
		return nil, errs.New(Busy, "carry", "this node is about to end")
	case !c.knows(server):
		return nil, errs.New(UnknownServer, "carry", "no server at %s", server)
	case state.cutOff:
		return nil, errs.New(CutOff, "carry", "this node reaches no server")
	case state.lost && !state.retry:
		return nil, errs.New(Unreachable, "carry", "this node does not reach %s", server)
	}
	if c.carried.Add(1) > maxCarried {
		c.carried.Add(-1)
		return nil, errs.New(Busy, "carry", "this node carries %d tunnels", maxCarried)
	}
	conn, err := c.dialer.dialDirect(ctx, WayCarried, "tcp", server)
	if err != nil {
		c.carried.Add(-1)
		return nil, errs.Wrap(Unreachable, "carry", err, "server %s", server)
	}
	return &carriedConn{Conn: conn, release: func() { c.carried.Add(-1) }}, nil
}

// CountCarried returns the number of tunnels that this node carries.
func (c *Carrier) CountCarried() int { return int(c.carried.Load()) }

// carriedConn is a connection that is carried for another node.
type carriedConn struct {
	net.Conn
	release   func()
	closeOnce sync.Once
}

// Close closes the connection.
func (c *carriedConn) Close() error {
	c.closeOnce.Do(c.release)
	return c.Conn.Close()
}
