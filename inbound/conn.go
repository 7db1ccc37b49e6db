package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/violettally/violettally/internal/errs"
)

const (
	// firstHeadBytes is the size of the buffer of a head, which grows up to the limit.
	firstHeadBytes = 2 << 10
	// chunkedBytes is how much of a body in chunks is read at once.
	chunkedBytes = 4 << 10
	// limitFactor is by how much the time limits exceed those that clients keep: they measure at their end, and this
	// process may have stood still meanwhile.
	limitFactor = 2
	// lingerTime bounds reading what a rejected client still sends. Closing the connection at once could lose the
	// answer.
	lingerTime = 500 * time.Millisecond
	// restTime bounds reading what is left of a body that its handler has not read.
	restTime = 2 * time.Second
	// slowRate is at what speed a client neither makes up for delays nor adds to them, in bytes a second.
	slowRate = 16 << 10
	// rejectionTime bounds writing the answer to a rejected client.
	rejectionTime = time.Second
)

// Conn is a connection of a [Listener]. It passes on a request's head only as a whole, and only once the budget has
// room for it.
type Conn struct {
	net.Conn
	listener *Listener
	// inRequest means that a request is being handled, not that a head is awaited.
	inRequest atomic.Bool
	// readSince and writeSince are when the process began to wait for bytes of a request, and for the client to take
	// bytes of an answer, as by clock; zero while it does not.
	readSince, writeSince atomic.Int64
	// delay is by how much the client has been slower than slowRate in this request, in nanoseconds.
	delay atomic.Int64

	// buffer holds what was read and has not been passed on; the first ready bytes of it can be. Only the reader uses
	// these.
	buffer []byte
	ready  int
	// scan looks for the next empty line in the buffer, the end of a head or of a body in chunks.
	scan lineScanner
	// headBytes is how much of the present head was passed on, headBegan when its first byte came.
	headBytes int
	headBegan time.Time
	// bodyLeft is how many bytes of the present body have not been passed on; chunked means that it has no length.
	bodyLeft int64
	chunked  bool
	// restIsHere means that what is left of the body can be read without waiting for the client.
	restIsHere atomic.Bool
	// narrow means that the receive buffer is too small for a body.
	narrow bool
	// spent means that the rest of a body was not read, which must not be taken for another request.
	spent bool

	// deadlines guards readDeadline, the deadline that the server has set, and interrupted.
	deadlines    sync.Mutex
	readDeadline time.Time
	interrupted  bool
	rejected     bool

	// The fields below are guarded by the budget's mu.

	// held is what the request takes of the budget, in bytes.
	held            int64
	evicted, closed bool
}

// start is the beginning of clock.
var start = time.Now()

// clock returns a steady time in nanoseconds, which is never zero.
func clock(t time.Time) int64 { return int64(t.Sub(start)) + 1 }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// waited returns for how long the client makes this process wait, with its delays so far; zero if it does not now.
func (c *Conn) waited(now time.Time) time.Duration {
	longest := int64(0)
	for _, since := range []int64{c.readSince.Load(), c.writeSince.Load()} {
		if since != 0 {
			longest = max(longest, clock(now)-since)
		}
	}
	if longest == 0 {
		return 0
	}
	return time.Duration(longest + c.delay.Load())
}

// endWait ends a wait, in which so many bytes came or were taken.
func (c *Conn) endWait(since *atomic.Int64, bytes int) {
	began := since.Swap(0)
	if began == 0 {
		return // the request has ended meanwhile
	}
	change := clock(time.Now()) - began - int64(bytes)*int64(time.Second)/slowRate
	for {
		before := c.delay.Load()
		if c.delay.CompareAndSwap(before, max(0, before+change)) {
			return
		}
	}
}

// Read reads the next bytes of a request.
func (c *Conn) Read(p []byte) (int, error) {
	inRequest := c.inRequest.Load()
	switch {
	case inRequest && c.bodyLeft > 0:
		return c.readSized(p)
	case len(p) == 1: // net/http watches for the end of the connection, from before it calls the handler on
		return c.readPlain(p)
	case !inRequest:
		return c.readHead(p)
	case c.chunked:
		return c.readChunked(p)
	}
	return c.readPlain(p)
}

// readSized reads part of a body with a length, and nothing of what follows it.
func (c *Conn) readSized(p []byte) (int, error) {
	n, err := c.readPlain(p[:min(int64(len(p)), c.bodyLeft)])
	c.bodyLeft -= int64(n)
	c.restIsHere.Store(c.bodyLeft <= int64(len(c.buffer)))
	return n, err
}

// readPlain reads whatever comes next.
func (c *Conn) readPlain(p []byte) (int, error) {
	if len(c.buffer) == 0 {
		return c.Conn.Read(p)
	}
	return c.pass(p, len(c.buffer)), nil
}

// readHead reads part of a head, of which nothing is passed on before it is whole.
func (c *Conn) readHead(p []byte) (int, error) {
	if c.spent {
		c.linger()
		return 0, rejectedError{errs.New(Rejected, "read", "the body before was not read to its end")}
	}
	if c.ready == 0 {
		if err := c.awaitHead(); err != nil {
			return 0, err
		}
	}
	n := c.pass(p, c.ready)
	c.headBytes += n
	return n, nil
}

// readChunked reads part of a body in chunks. It ends with an empty line; what follows is another head, of which
// nothing must be passed on with it.
func (c *Conn) readChunked(p []byte) (int, error) {
	if len(c.buffer) == 0 {
		c.buffer = make([]byte, chunkedBytes)
		n, err := c.Conn.Read(c.buffer)
		c.buffer = c.buffer[:n]
		if n == 0 {
			return 0, err
		}
	}
	if c.ready == 0 {
		if end, _ := c.scan.next(c.buffer); end > 0 {
			c.ready, c.scan = end, lineScanner{}
		} else {
			c.ready, c.scan.seen = len(c.buffer), 0
		}
	}
	return c.pass(p, c.ready), nil
}

// pass passes on bytes from the beginning of the buffer, up to most.
func (c *Conn) pass(p []byte, most int) int {
	n := copy(p, c.buffer[:most])
	c.ready = max(0, c.ready-n)
	if c.buffer = c.buffer[n:]; len(c.buffer) == 0 {
		c.buffer = nil
	}
	return n
}

// awaitHead reads until the buffer begins with a whole head for which there is room.
func (c *Conn) awaitHead() error {
	for {
		if end, lines := c.scan.next(c.buffer); end > 0 {
			if !c.listener.budget.await(c, headSize(end, lines)) {
				return c.reject(RefusalNoRoom)
			}
			c.ready = end
			c.scan = lineScanner{}
			return c.SetReadDeadline(c.serverDeadline())
		}
		if err := c.readMore(); err != nil {
			return err
		}
	}
}

// readMore reads more of a head.
func (c *Conn) readMore() error {
	limits := c.listener.limits()
	if c.headBytes+len(c.buffer) >= limits.HeadBytes {
		return c.reject(RefusalHeadTooLarge)
	}
	if len(c.buffer) == cap(c.buffer) && !c.growBuffer(limits) {
		return c.reject(RefusalNoRoom)
	}
	if c.headBegan.IsZero() && len(c.buffer) > 0 {
		c.headBegan = time.Now()
	}
	if err := c.applyReadDeadline(limits); err != nil {
		return err
	}
	c.readSince.Store(clock(time.Now()))
	n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	if c.headBegan.IsZero() {
		c.readSince.Store(0) // the time between two requests is no delay
	} else {
		c.endWait(&c.readSince, n)
	}
	c.buffer = c.buffer[:len(c.buffer)+n]
	switch {
	case n > 0:
		return nil
	case c.isInterrupted() && len(c.buffer)+c.headBytes > 0:
		return c.reject(RefusalNoRoom)
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.headBegan.IsZero():
		return c.reject(RefusalHeadLate)
	}
	return err
}

// serverDeadline returns the deadline that the server has set.
func (c *Conn) serverDeadline() time.Time {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	return c.readDeadline
}

// growBuffer makes room in the buffer. It returns false if the budget has none.
func (c *Conn) growBuffer(limits Limits) bool {
	size := min(max(firstHeadBytes, 2*cap(c.buffer)), limits.HeadBytes)
	if size > firstHeadBytes && !c.listener.budget.take(c, int64(size)) {
		return false
	}
	grown := make([]byte, len(c.buffer), size)
	copy(grown, c.buffer)
	c.buffer = grown
	return true
}

// rejections are the answers to requests that no handler gets. Those with 503 and 408 have not run and will not.
var rejections = map[Refusal]string{
	RefusalNoRoom:       "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfterSeconds + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	RefusalHeadTooLarge: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	RefusalHeadLate:     "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// reject answers a request whose head is not passed on, and returns the error for the reader of the connection. No
// other answer is being written meanwhile, since the request before has been answered.
func (c *Conn) reject(r Refusal) error {
	c.listener.budget.observe(r, c.RemoteAddr())
	c.deadlines.Lock()
	c.rejected = true
	c.deadlines.Unlock()
	c.buffer, c.ready = nil, 0
	c.listener.budget.release(c)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectionTime))
	if _, err := io.WriteString(c.Conn, rejections[r]); err == nil {
		c.linger()
	}
	return rejectedError{errs.New(Rejected, "read", "%s", r)}
}

// linger reads and drops what the client still sends, for a while.
func (c *Conn) linger() {
	if half, ok := unwrap(c.Conn).(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	c.readSince.Store(clock(time.Now()))
	dropped := make([]byte, firstHeadBytes)
	for {
		if _, err := c.Conn.Read(dropped); err != nil {
			return
		}
	}
}

// unwrap returns the innermost connection.
func unwrap(c net.Conn) net.Conn {
	for {
		outer, wraps := c.(interface{ NetConn() net.Conn })
		if !wraps {
			return c
		}
		c = outer.NetConn()
	}
}

// rejectedError is a net.Error, which net/http does not answer.
type rejectedError struct{ error }

// Timeout implements net.Error.
func (rejectedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (rejectedError) Temporary() bool { return false }

// Write writes part of an answer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeSince.Store(clock(time.Now()))
	n, err := c.Conn.Write(p)
	c.endWait(&c.writeSince, n)
	return n, err
}

// Close closes the connection and returns what it holds.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.listener.budget.remove(c)
	return err
}

// SetReadDeadline sets the deadline of reads, which the limits for clients may shorten.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.readDeadline = t
	if c.interrupted || c.rejected {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline sets the deadline of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.interrupted && c.writeSince.Load() != 0 {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// applyReadDeadline sets the deadline of the next read of a head: that of the server, or that of the limits if it is
// sooner.
func (c *Conn) applyReadDeadline(limits Limits) error {
	bound, since := limits.IdleTime, time.Now()
	if !c.headBegan.IsZero() {
		bound, since = limits.HeadTime, c.headBegan
	}
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.interrupted {
		return nil
	}
	deadline := since.Add(limitFactor * bound)
	if server := c.readDeadline; !server.IsZero() && server.Before(deadline) {
		deadline = server
	}
	return c.Conn.SetReadDeadline(deadline)
}

// interrupt ends the read or the write that the connection waits in.
func (c *Conn) interrupt() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.interrupted = true
	past := time.Unix(1, 0)
	_ = c.Conn.SetReadDeadline(past)
	if c.writeSince.Load() != 0 {
		_ = c.Conn.SetWriteDeadline(past)
	}
}

// isInterrupted reports whether interrupt was called.
func (c *Conn) isInterrupted() bool {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	return c.interrupted
}

// begin marks the beginning of a request with a body of so many bytes, -1 if it comes in chunks.
func (c *Conn) begin(bodyBytes int64) {
	c.bodyLeft, c.chunked = max(0, bodyBytes), bodyBytes < 0
	c.restIsHere.Store(bodyBytes > 0 && bodyBytes <= int64(len(c.buffer)))
	c.inRequest.Store(true)
}

// widen makes a narrow receive buffer large enough for a body. Making it small again could lose what is on its way.
func (c *Conn) widen() {
	if !c.narrow {
		return
	}
	c.narrow = false
	if socket, ok := unwrap(c.Conn).(interface{ SetReadBuffer(int) error }); ok {
		_ = socket.SetReadBuffer(bodyReceiveBuffer)
	}
}

// end marks the end of a request: the next one is awaited.
func (c *Conn) end() {
	c.readSince.Store(0)
	c.delay.Store(0)
	c.spent = c.spent || c.bodyLeft > 0
	c.listener.budget.release(c)
	c.scan, c.ready, c.headBytes, c.headBegan = lineScanner{}, 0, 0, time.Time{}
	c.inRequest.Store(false)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// fromContext returns a request's connection; nil if it came by no Listener.
func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
