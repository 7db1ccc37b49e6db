package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/violettally/violettally/internal/duplex"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/tunnel"
)

// callTunnel has a node open a connection to a backend server and pass its bytes on (package
// tunnel). A tunnelRequest and a tunnelReply are followed by frames in both directions.
const callTunnel = "tunnel"

// tunnelRequest asks for a connection to the server at an address.
type tunnelRequest struct {
	Server string `cbor:"1,keyasint"`
	// From is the peer address of the node that asks; earlier versions don't send it.
	From string `cbor:"2,keyasint,omitempty"`
}

// tunnelReply tells whether the connection is open.
type tunnelReply struct {
	// Refusal is the kind of error of package tunnel that was met; "" for none.
	Refusal string `cbor:"1,keyasint,omitempty"`
}

// CarryFunc opens a connection to a backend server for the node with a peer address, "" if that is not
// known.
type CarryFunc func(ctx context.Context, server, opener string) (net.Conn, error)

// maxFrameBytes is the largest number of bytes that one frame carries.
const maxFrameBytes = 16 << 10

// frame is a part of what a connection carries, or its end.
type frame struct {
	data []byte
	// end means that the sender, the server or the opener, has closed its end after all data.
	end bool
}

// frameCodec encodes a frame as one byte, nonzero at the end, and its data.
type frameCodec struct{}

func (frameCodec) Marshal(message drpc.Message) ([]byte, error) {
	f := message.(*frame)
	encoded := make([]byte, 1, 1+len(f.data))
	if f.end {
		encoded[0] = 1
	}
	return append(encoded, f.data...), nil
}

func (frameCodec) Unmarshal(encoded []byte, into drpc.Message) error {
	if len(encoded) == 0 {
		return errs.New(Malformed, callTunnel, "empty frame")
	}
	f := into.(*frame)
	f.end, f.data = encoded[0] != 0, append([]byte(nil), encoded[1:]...)
	return nil
}

// tunnelHandler returns the handler of callTunnel.
func tunnelHandler(carry CarryFunc) func(drpc.Stream) error {
	return func(stream drpc.Stream) error {
		var r tunnelRequest
		if err := stream.MsgRecv(&r, codec{}); err != nil {
			return err
		}
		conn, err := carry(stream.Context(), r.Server, r.From)
		if err != nil {
			return stream.MsgSend(&tunnelReply{Refusal: errs.Kind(err)}, codec{})
		}
		defer conn.Close()
		if err := stream.MsgSend(&tunnelReply{}, codec{}); err != nil {
			return err
		}
		received := make(chan struct{})
		go func() {
			defer close(received)
			defer conn.Close()
			receiveFrames(stream, conn)
		}()
		if err := sendFrames(stream, conn); err != nil {
			return err
		}
		<-received // a server that has ended its response may still read the request
		return nil
	}
}

// receiveFrames writes the received frames to a connection until the stream ends. A server that takes no more may have
// responded before.
func receiveFrames(stream drpc.Stream, conn net.Conn) {
	taken := true
	for {
		var f frame
		if err := stream.MsgRecv(&f, frameCodec{}); err != nil {
			return
		}
		if taken {
			_, err := conn.Write(f.data)
			taken = err == nil
		}
		if f.end {
			_ = duplex.CloseWrite(conn) // if it cannot, the opener closes the connection later
		}
	}
}

// sendFrames sends what is read from a connection until it ends.
func sendFrames(stream drpc.Stream, conn net.Conn) error {
	buffer := make([]byte, maxFrameBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := stream.MsgSend(&frame{data: buffer[:n]}, frameCodec{}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return stream.MsgSend(&frame{end: true}, frameCodec{})
		}
		if err != nil {
			return err // breaks the stream, as the connection was broken
		}
	}
}

// OpenTunnel opens a connection to a backend server through the node at an address, for this node,
// whose own peer address is from.
func (c *Client) OpenTunnel(ctx context.Context, address, server, from string) (net.Conn, error) {
	stream, reply, cancel, err := openStream[tunnelRequest, tunnelReply](ctx, c, address, callTunnel, tunnelRequest{Server: server, From: from})
	if err != nil {
		return nil, err
	}
	if reply.Refusal != "" {
		cancel()
		_ = stream.Close()
		return nil, tunnel.RefusalError(reply.Refusal, address)
	}
	return &tunnelConn{stream: stream, cancel: cancel, remote: tunnelAddr(server)}, nil
}

// tunnelConn is this node's end of a tunnel. Deadlines are not supported.
type tunnelConn struct {
	stream drpc.Stream
	cancel context.CancelFunc
	remote tunnelAddr
	// unread is what is left of the last frame, ended means that the last one was received.
	unread []byte
	ended  bool
	// broken means that Read has met the end of the stream.
	broken    atomic.Bool
	closeOnce sync.Once
}

// Read returns io.EOF only if the server has closed its end; a tunnel that breaks is an error.
func (t *tunnelConn) Read(p []byte) (int, error) {
	for len(t.unread) == 0 {
		if t.ended {
			return 0, io.EOF
		}
		var f frame
		if err := t.stream.MsgRecv(&f, frameCodec{}); err != nil {
			t.broken.Store(true)
			return 0, errs.Wrap(Unreachable, callTunnel, err, "tunnel to %s broke", t.remote)
		}
		t.unread, t.ended = f.data, f.end
	}
	n := copy(p, t.unread)
	t.unread = t.unread[n:]
	return n, nil
}

// Write sends all of p. A frame whose sending fails counts as written, since it may have gone out, unless the tunnel had
// ended before.
func (t *tunnelConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+maxFrameBytes)]
		if t.broken.Load() || t.stream.Context().Err() != nil {
			return written, errs.New(Unreachable, callTunnel, "tunnel to %s has ended", t.remote)
		}
		if err := t.stream.MsgSend(&frame{data: part}, frameCodec{}); err != nil {
			return written + len(part), errs.Wrap(Unreachable, callTunnel, err, "tunnel to %s broke", t.remote)
		}
		written += len(part)
	}
	return written, nil
}

// CloseWrite closes the sending end. The carrier still writes what has been sent. Carriers of earlier versions keep their
// connection open until Close.
func (t *tunnelConn) CloseWrite() error { return t.stream.MsgSend(&frame{end: true}, frameCodec{}) }

// Close ends the tunnel at once; the carrier closes its connection to the server.
func (t *tunnelConn) Close() error {
	t.closeOnce.Do(func() {
		t.cancel()
		_ = t.stream.Close()
	})
	return nil
}

func (t *tunnelConn) LocalAddr() net.Addr              { return tunnelAddr("") }
func (t *tunnelConn) RemoteAddr() net.Addr             { return t.remote }
func (t *tunnelConn) SetDeadline(time.Time) error      { return nil }
func (t *tunnelConn) SetReadDeadline(time.Time) error  { return nil }
func (t *tunnelConn) SetWriteDeadline(time.Time) error { return nil }

// tunnelAddr is the address of an end of a tunnel.
type tunnelAddr string

// Network implements net.Addr.
func (tunnelAddr) Network() string { return "tunnel" }

// String implements net.Addr.
func (a tunnelAddr) String() string { return string(a) }
