// Package faultproxy is a TCP proxy that injects network faults: delays, resets,
// stalls and black holes. Tests put it between real processes on loopback.
//
// # Usage
//
//	p, err := faultproxy.Listen("127.0.0.1:0", target)
//	…
//	p.Set(faultproxy.Stall)
//	p.Set(faultproxy.Pass)
//	p.BlackholeOpen()
//	p.Close()
//
//	l := faultproxy.NewLink()
//	conn, err := l.DialContext(ctx, "tcp", target)
//	l.Set(faultproxy.LinkSilent)
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Mode is the fault that a proxy injects.
type Mode int

// The modes.
const (
	// Pass forwards everything unchanged.
	Pass Mode = iota
	// Delay delays each chunk of bytes by a fixed time.
	Delay
	// Reset resets all open connections and each new one.
	Reset
	// Stall holds back the bytes of both directions until the mode changes.
	Stall
	// StallRequests holds back only what the client sends.
	StallRequests
	// StallResponses holds back only what the target sends.
	StallResponses
)

const (
	// delay is how long Delay holds back each chunk.
	delay       = 60 * time.Millisecond
	dialTimeout = time.Second
	// bufferSize is the largest chunk that is forwarded at once, in bytes.
	bufferSize = 16 << 10
)

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	mode Mode
	// changed is closed and replaced when the mode changes or the proxy is closed.
	changed chan struct{}
	closed  bool
	open    map[*net.TCPConn]struct{}
	// forwarding holds one channel per forwarded connection that is not black-holed;
	// closing the channel black-holes the connection for good.
	forwarding map[chan struct{}]struct{}
}

// Listen starts a proxy that listens on address and forwards to target.
func Listen(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), open: make(map[*net.TCPConn]struct{}), forwarding: make(map[chan struct{}]struct{})}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode for open and new connections.
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

// BlackholeOpen discards, from now on, everything that either side of the
// currently open connections sends, including the close. Only Reset and Close
// end such a connection. New connections are not affected.
func (p *Proxy) BlackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for blackholed := range p.forwarding {
		close(blackholed)
	}
	clear(p.forwarding)
}

// Close stops the proxy and resets its connections.
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
		go p.forward(c.(*net.TCPConn))
	}
}

// forward connects a client to the target and copies in both directions.
func (p *Proxy) forward(client *net.TCPConn) {
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	blackholed := p.trackForwarding()
	defer p.untrackForwarding(blackholed)
	c, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	target := c.(*net.TCPConn)
	if !p.track(target) {
		return
	}
	defer p.untrack(target)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(target, client, StallRequests, blackholed)
	}()
	p.copy(client, target, StallResponses, blackholed)
	// Once the target has closed its side, further bytes from the client are lost.
	_ = client.Close()
	<-done
}

// track registers a connection. It resets the connection and returns false if the
// proxy is closed or in mode Reset.
func (p *Proxy) track(c *net.TCPConn) bool {
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

func (p *Proxy) untrack(c *net.TCPConn) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = c.Close()
}

// trackForwarding registers a connection for BlackholeOpen and returns its channel.
func (p *Proxy) trackForwarding() (blackholed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	blackholed = make(chan struct{})
	p.forwarding[blackholed] = struct{}{}
	return blackholed
}

func (p *Proxy) untrackForwarding(blackholed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.forwarding, blackholed)
}

// copy forwards the bytes of one direction. stallMode is the mode that stalls this
// direction only. Once blackholed is closed, bytes and the close are discarded.
func (p *Proxy) copy(to, from *net.TCPConn, stallMode Mode, blackholed <-chan struct{}) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n == 0 && err == nil {
			continue
		}
		p.waitWhileStalled(stallMode) // a close is delayed or stalled like data
		select {
		case <-blackholed:
			if err != nil {
				p.waitClosed()
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// waitClosed returns once the proxy is closed.
func (p *Proxy) waitClosed() {
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

// waitWhileStalled returns once this direction may forward; mode Delay adds its delay.
func (p *Proxy) waitWhileStalled(stallMode Mode) {
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
		case mode != Stall && mode != stallMode:
			return
		}
		<-changed
	}
}
