package tunnel

import (
	"net"
	"sync"
	"time"

	"github.com/violettally/violettally/internal/duplex"
)

// Conn is a connection to a server.
type Conn struct {
	net.Conn
	dialer *Dialer
	server string
	// carrier is the peer address of the node that carries the connection; "" for none.
	carrier string

	mu sync.Mutex
	// lastRead is when data was last received, or else when the connection was opened.
	lastRead time.Time
	// waitingSince is when the first byte was written after that; zero if none was.
	waitingSince time.Time
}

// Carrier returns the peer address of the node that carries the connection; "" for none.
func (c *Conn) Carrier() string { return c.carrier }

// Read reads from the connection and records when data was received.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.lastRead, c.waitingSince = time.Now(), time.Time{}
		c.mu.Unlock()
	}
	return n, err
}

// Write writes to the connection and records since when data is awaited.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.waitingSince.IsZero() {
		c.waitingSince = time.Now()
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite closes the sending end of the connection.
func (c *Conn) CloseWrite() error { return duplex.CloseWrite(c.Conn) }

// Close closes the connection.
func (c *Conn) Close() error {
	c.dialer.untrack(c)
	return c.Conn.Close()
}

// times returns when data was last received, and since when more is awaited.
func (c *Conn) times() (lastRead, waitingSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead, c.waitingSince
}

// silentSince reports whether nothing has been received since a time.
func (c *Conn) silentSince(at time.Time) bool {
	lastRead, _ := c.times()
	return lastRead.Before(at)
}
