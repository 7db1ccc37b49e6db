// Package faultproxy is a TCP proxy on loopback that harms the connections
// which pass it. Tests put it between real processes.
//
// # Usage
//
//	p, err := faultproxy.Listen("127.0.0.1:0", target)
//	…
//	p.Set(faultproxy.Stall)
//	p.Set(faultproxy.Pass)
//	p.SilenceOpen()
//	p.Close()
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Mode is what happens to connections.
type Mode int

// The modes.
const (
	// Pass harms nothing.
	Pass Mode = iota
	// Delay holds each piece back for a while.
	Delay
	// Reset resets all connections, and each new one.
	Reset
	// Stall holds everything back, both ways, until the mode changes.
	Stall
	// StallRequests holds back what the connecting side sends.
	StallRequests
	// StallResponses holds back what the target sends.
	StallResponses
)

const (
	// delay is how long Delay holds a piece back.
	delay = 60 * time.Millisecond
	// dialTime bounds the connection to the target.
	dialTime = time.Second
	// pieceSize bounds one piece in bytes.
	pieceSize = 16 << 10
)

// Proxy passes connections on to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	mode Mode
	// changed is closed, and made anew, when the mode changes.
	changed chan struct{}
	closed  bool
	open    map[*net.TCPConn]struct{}
	// passing holds for each connection that is passed on what silences it for
	// good when it is closed.
	passing map[chan struct{}]struct{}
}

// Listen opens a proxy at an address.
func Listen(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), open: make(map[*net.TCPConn]struct{}), passing: make(map[chan struct{}]struct{})}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode, for open connections too.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == Reset {
		p.resetAll()
	}
}

// BlackholeOpen swallows, from now on and in every mode but Reset, all that either
// side of the connections open now sends, their closing included. New
// connections pass.
func (p *Proxy) BlackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for silent := range p.passing {
		close(silent)
	}
	clear(p.passing)
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.resetAll()
}

// resetAll resets the open connections. The caller holds mu.
func (p *Proxy) resetAll() {
	for c := range p.open {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(p.open)
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c.(*net.TCPConn))
	}
}

// pass joins one connection to the target.
func (p *Proxy) pass(client *net.TCPConn) {
	if !p.take(client) {
		return
	}
	defer p.drop(client)
	silent := p.begin()
	defer p.end(silent)
	c, err := net.DialTimeout("tcp", p.target, dialTime)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	target := c.(*net.TCPConn)
	if !p.take(target) {
		return
	}
	defer p.drop(target)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(target, client, StallRequests, silent)
	}()
	p.copy(client, target, StallResponses, silent)
	// Once the target has nothing more to say, what the client sends is lost.
	_ = client.Close()
	<-done
}

// take adds a connection, or resets it.
func (p *Proxy) take(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Reset {
		_ = c.SetLinger(0)
		_ = c.Close()
		return false
	}
	p.open[c] = struct{}{}
	return true
}

func (p *Proxy) drop(c *net.TCPConn) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = c.Close()
}

// begin counts a connection among those that SilenceOpen silences.
func (p *Proxy) begin() (silent chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent = make(chan struct{})
	p.passing[silent] = struct{}{}
	return silent
}

func (p *Proxy) end(silent chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.passing, silent)
}

// copy passes bytes on one way; oneWay is the mode that holds back just these,
// and a closed silent swallows them.
func (p *Proxy) copy(to, from *net.TCPConn, oneWay Mode, silent <-chan struct{}) {
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if n == 0 && err == nil {
			continue
		}
		p.hold(oneWay) // a close is as silent as bytes
		select {
		case <-silent:
			if err != nil {
				p.untilClosed()
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// untilClosed returns once the proxy is closed.
func (p *Proxy) untilClosed() {
	for {
		p.mu.Lock()
		changed, closed := p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return
		}
		<-changed
	}
}

// hold returns once bytes may pass.
func (p *Proxy) hold(oneWay Mode) {
	for {
		p.mu.Lock()
		mode, changed, closed := p.mode, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return
		case mode == Delay:
			time.Sleep(delay)
			return
		case mode != Stall && mode != oneWay:
			return
		}
		<-changed
	}
}
