// Package tcpconn has TCP connections that tell their readers when they break, whoever meets that first.
//
// The kernel reports the error of a broken connection once, to a reader or to a writer. If the writer gets it, the
// reader finds the end of the stream, as if the other side had closed its end in order. A response without a
// length, which ends with its connection, then looks whole.
//
// # Usage
//
//	conn, err := tcpconn.Dial(ctx, &net.Dialer{Timeout: time.Second}, "tcp", "127.0.0.1:80")
//	transport := &http.Transport{DialContext: tcpconn.Dialer(&net.Dialer{})}
package tcpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the kernel's state of a connection that is over in both directions: TCP_CLOSE.
const tcpClosed = 7

// Conn is a TCP connection. It is safe for concurrent use.
type Conn struct {
	// Conn hides the methods of tcp by which io.Copy would go past Read and Write.
	net.Conn
	tcp *net.TCPConn

	// writing is held during a write.
	writing sync.Mutex
	// broken is the error of the connection that a write has met; nil for none.
	broken error
}

// Dial opens a connection.
func Dial(ctx context.Context, d *net.Dialer, network, address string) (*Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	return &Conn{Conn: tcp, tcp: tcp}, nil
}

// Dialer returns a function that opens connections, as transports take it.
func Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := Dial(ctx, d, network, address)
		if err != nil {
			return nil, err
		}
		return conn, nil
	}
}

// Read reads from the connection. It returns io.EOF only if the other side has closed its end.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if !errors.Is(err, io.EOF) || !c.over() {
		return n, err
	}
	c.writing.Lock() // a write ends at once, since the connection is over
	defer c.writing.Unlock()
	if c.broken != nil {
		return n, c.broken
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(p)
	if breaks(err) {
		c.broken = err
	}
	return n, err
}

// breaks reports whether an error of a write is that of a connection which breaks. EPIPE is the error of one that was
// over before, or whose other side closed its end in order and then took no more.
func breaks(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// over reports whether the connection is over in both directions, or has been closed on this side. It is not after the
// other side has closed its end alone.
func (c *Conn) over() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return err != nil || infoErr != nil || info.State == tcpClosed
}

// CloseWrite closes the sending end of the connection.
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger sets what Close does with bytes that were not sent; see [net.TCPConn.SetLinger].
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }
