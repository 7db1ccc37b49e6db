package peer

import (
	"container/list"
	"log/slog"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcwire"

	"github.com/violettally/violettally/internal/errs"
)

const (
	// messageTimeout bounds the time until a new connection sends its first message, and that from the first byte of a
	// message to its last. Nodes send at once.
	messageTimeout = 10 * time.Second
	// smallMessageBytes is the size from which on a message that is not whole is charged.
	smallMessageBytes = 64 << 10
	// defaultMessageMemory bounds the messages that are not whole, on all connections together, in bytes.
	defaultMessageMemory = 2 * maxMessageBytes
	// defaultNewConns bounds the connections that have not sent their first message.
	defaultNewConns = 64
)

// ServerOption configures a Server in NewServer or NewGatewayServer.
type ServerOption func(*Server)

// WithMessageMemory bounds the messages that are not whole, on all connections together, in bytes.
func WithMessageMemory(bytes int64) ServerOption {
	return func(s *Server) { s.messageMemory = bytes }
}

// WithNewConns bounds the connections that have not sent their first message.
func WithNewConns(most int) ServerOption {
	return func(s *Server) { s.newConns = most }
}

// guard bounds what those take that connect to the listener of the peers and are no nodes. It accepts connections for
// a drpc server, reads the frames as they pass, and ends a connection on which something else comes.
type guard struct {
	net.Listener
	maxMemory int64
	maxNew    int

	mu sync.Mutex
	// memory is taken by messages that are not whole, in bytes.
	memory int64
	// new holds the connections that have not sent their first message, in the order in which they were accepted.
	new list.List
}

// Accept accepts a connection. If there are too many new ones, the oldest is closed.
func (g *guard) Accept() (net.Conn, error) {
	inner, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &guardedConn{Conn: inner, guard: g, began: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.new.Len() >= g.maxNew {
		oldest := g.new.Remove(g.new.Front()).(*guardedConn)
		oldest.place = nil
		_ = oldest.Conn.Close() // its reader closes the rest
	}
	c.place = g.new.PushBack(c)
	return c, nil
}

// settle ends counting a connection as new.
func (g *guard) settle(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.place != nil {
		g.new.Remove(c.place)
		c.place = nil
	}
}

// charge sets what a connection takes. It returns false if that is too much.
func (g *guard) charge(c *guardedConn, bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if more := bytes - c.charged; more > 0 && g.memory+more > g.maxMemory {
		return false
	}
	g.memory += bytes - c.charged
	c.charged = bytes
	return true
}

// guardedConn is a connection of another node. Only its reader uses the fields that are not guarded otherwise.
type guardedConn struct {
	net.Conn
	guard  *guard
	frames frameParser
	// began is when the first byte of the present message came, or the connection was accepted; zero between messages.
	began time.Time

	// place is the connection's place among the new ones, nil for none, and charged what it takes in bytes. Both are
	// guarded by the guard's mu.
	place   *list.Element
	charged int64
}

// Read reads from the connection, and fails if what it reads is no protocol of the nodes.
func (c *guardedConn) Read(p []byte) (int, error) {
	if !c.began.IsZero() {
		if err := c.SetReadDeadline(c.began.Add(messageTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if checkErr := c.check(p[:n]); checkErr != nil {
		slog.Debug("connection of a peer refused", "remote", c.RemoteAddr().String(), "error", checkErr)
		return 0, checkErr
	}
	return n, err
}

// check follows the frames that were received.
func (c *guardedConn) check(received []byte) error {
	first := !c.frames.begun
	if err := c.frames.feed(received); err != nil {
		return err
	}
	if first {
		c.guard.settle(c)
	}
	pending := c.frames.pending()
	if !c.guard.charge(c, max(0, pending-smallMessageBytes)) {
		return errs.New(Malformed, "read", "no memory for a message of %d bytes and more", pending)
	}
	switch {
	case c.frames.between():
		if !c.began.IsZero() {
			c.began = time.Time{}
			return c.SetReadDeadline(time.Time{})
		}
	case c.began.IsZero():
		c.began = time.Now()
	}
	return nil
}

// Close closes the connection and returns what it takes.
func (c *guardedConn) Close() error {
	c.guard.settle(c)
	c.guard.charge(c, 0)
	return c.Conn.Close()
}

// frameParser follows the frames of a drpc connection without keeping them: a control byte with the kind, the IDs of
// the stream and of the message and the length of the data as varints, and the data.
type frameParser struct {
	// begun means that the first frame has begun.
	begun bool
	field frameField
	done  bool
	// id holds the IDs of the present message.
	id, nextID drpcwire.ID
	// number is the varint that is being read, shift how many of its bits were read.
	number uint64
	shift  uint
	// remaining is how many bytes of the frame's data have not come, message how many bytes of the message have.
	remaining uint64
	message   int64
}

// frameField is what comes next in a frame.
type frameField int

// The fields of a frame.
const (
	fieldControl frameField = iota
	fieldStream
	fieldMessage
	fieldLength
	fieldData
)

// pending returns how many bytes of a message that is not whole have come.
func (f *frameParser) pending() int64 { return f.message }

// between reports whether no message is under way.
func (f *frameParser) between() bool { return f.field == fieldControl && f.message == 0 }

// feed follows received bytes.
func (f *frameParser) feed(received []byte) error {
	for len(received) > 0 {
		if f.field == fieldData {
			n := min(uint64(len(received)), f.remaining)
			f.remaining -= n
			f.message += int64(n)
			received = received[n:]
			f.endData()
			continue
		}
		b := received[0]
		received = received[1:]
		if err := f.next(b); err != nil {
			return err
		}
	}
	return nil
}

// next follows a byte before the data of a frame.
func (f *frameParser) next(b byte) error {
	if f.field == fieldControl {
		return f.beginFrame(b)
	}
	if f.shift >= maxVarintBits {
		return errs.New(Malformed, "read", "number of a frame too long")
	}
	f.number |= uint64(b&0x7f) << f.shift
	f.shift += varintBits
	if b >= 0x80 {
		return nil
	}
	number := f.number
	f.number, f.shift = 0, 0
	switch f.field {
	case fieldStream:
		f.nextID.Stream = number
	case fieldMessage:
		f.nextID.Message = number
		if f.nextID != f.id { // what has come of another message is dropped by the reader
			f.id, f.message = f.nextID, 0
		}
	case fieldLength:
		f.remaining = number
	}
	f.field++
	f.endData()
	return nil
}

const (
	// varintBits is how many bits each byte of a varint carries, maxVarintBits the most that one has.
	varintBits    = 7
	maxVarintBits = 64
	// doneBit and the bits of kindMask are the parts of a control byte; kindShift is the place of the kind.
	doneBit   = 0b0000_0001
	kindMask  = 0b0111_1110
	kindShift = 1
)

// beginFrame follows the control byte of a frame.
func (f *frameParser) beginFrame(control byte) error {
	kind := drpcwire.Kind((control & kindMask) >> kindShift)
	calls := kind == drpcwire.KindInvoke || kind == drpcwire.KindInvokeMetadata
	if kind < drpcwire.KindInvoke || kind > drpcwire.KindInvokeMetadata || (!f.begun && !calls) {
		return errs.New(Malformed, "read", "frame of kind %d", kind)
	}
	f.begun, f.done = true, control&doneBit != 0
	f.field = fieldStream
	return nil
}

// endData ends a frame whose data has come.
func (f *frameParser) endData() {
	if f.field != fieldData || f.remaining > 0 {
		return
	}
	f.field = fieldControl
	if f.done {
		f.message = 0
	}
}
