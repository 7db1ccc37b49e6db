package tunnel

import (
	"context"
	"net"
	"sync"

	"github.com/violettally/violettally/internal/duplex"
	"github.com/violettally/violettally/internal/errs"
)

// defaultMaxCarried is the number of tunnels that a node carries for others. Each takes two of its descriptors.
const defaultMaxCarried = 600

// Carrier opens connections to servers for other nodes. It is safe for concurrent use.
type Carrier struct {
	dialer   *Dialer
	knows    func(server string) bool
	mayCarry func() bool
	withheld func(server string) bool
	// maxCarried bounds carried.
	maxCarried int

	mu sync.Mutex
	// carried is the number of open connections, openers that by server address and the peer address of
	// the node that each is carried for.
	carried int
	openers map[string]map[string]int
}

// CarrierOption configures a Carrier in NewCarrier.
type CarrierOption func(*Carrier)

// WithWithheld sets a function that reports whether the server at an address wants no requests of this
// node now. To the server, requests on carried connections are this node's.
func WithWithheld(withheld func(server string) bool) CarrierOption {
	return func(c *Carrier) { c.withheld = withheld }
}

// WithMaxCarried bounds the number of connections that are carried at once.
func WithMaxCarried(most int) CarrierOption {
	return func(c *Carrier) { c.maxCarried = most }
}

// NewCarrier returns a carrier that connects to the servers whose addresses are known, while
// mayCarry returns true.
func NewCarrier(d *Dialer, knows func(server string) bool, mayCarry func() bool, options ...CarrierOption) *Carrier {
	c := &Carrier{
		dialer:     d,
		knows:      knows,
		mayCarry:   mayCarry,
		withheld:   func(string) bool { return false },
		maxCarried: defaultMaxCarried,
		openers:    make(map[string]map[string]int),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Carry opens a direct connection to a server for the node with a peer address, "" if that is not
// known. The error is one of the package's.
func (c *Carrier) Carry(ctx context.Context, server, opener string) (net.Conn, error) {
	state := c.dialer.paths.state(server)
	switch {
	case !c.mayCarry():
		return nil, errs.New(Busy, "carry", "this node is about to end")
	case !c.knows(server):
		return nil, errs.New(UnknownServer, "carry", "no server at %s", server)
	case c.withheld(server):
		return nil, errs.New(Withheld, "carry", "%s wants no requests of this node now", server)
	case state.cutOff:
		return nil, errs.New(CutOff, "carry", "this node reaches no server")
	case state.lost && !state.retry:
		return nil, errs.New(Unreachable, "carry", "this node does not reach %s", server)
	}
	if !c.add(server, opener) {
		return nil, errs.New(Busy, "carry", "this node carries %d tunnels", c.maxCarried)
	}
	conn, err := c.dialer.dialDirect(ctx, WayCarried, "tcp", server)
	if err != nil {
		c.remove(server, opener)
		return nil, errs.Wrap(Unreachable, "carry", err, "server %s", server)
	}
	return &carriedConn{Conn: conn, release: func() { c.remove(server, opener) }}, nil
}

// add counts a connection. It returns false, and counts nothing, if there are too many.
func (c *Carrier) add(server, opener string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.carried >= c.maxCarried {
		return false
	}
	c.carried++
	if c.openers[server] == nil {
		c.openers[server] = make(map[string]int)
	}
	c.openers[server][opener]++
	return true
}

// remove counts a connection as closed.
func (c *Carrier) remove(server, opener string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carried--
	if c.openers[server][opener]--; c.openers[server][opener] == 0 {
		delete(c.openers[server], opener)
	}
	if len(c.openers[server]) == 0 {
		delete(c.openers, server)
	}
}

// Openers returns the peer addresses of the nodes for which this one carries connections to a server.
func (c *Carrier) Openers(server string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var openers []string
	for opener := range c.openers[server] {
		if opener != "" {
			openers = append(openers, opener)
		}
	}
	return openers
}

// CountCarried returns the number of tunnels that this node carries.
func (c *Carrier) CountCarried() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.carried
}

// carriedConn is a connection that is carried for another node.
type carriedConn struct {
	net.Conn
	release   func()
	closeOnce sync.Once
}

// CloseWrite closes the sending end of the connection.
func (c *carriedConn) CloseWrite() error { return duplex.CloseWrite(c.Conn) }

// Close closes the connection.
func (c *carriedConn) Close() error {
	c.closeOnce.Do(c.release)
	return c.Conn.Close()
}
