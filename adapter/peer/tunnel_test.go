package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"
	"storj.io/drpc"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/internal/duplex"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/rejection"
	"github.com/violettally/violettally/tunnel"
)

// noCarrier carries no connections and gives out no places.
type noCarrier struct{}

func (noCarrier) Carry(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("carries nothing")
}

func (noCarrier) KnownNotices() []notice.Report          { return nil }
func (noCarrier) AskPlace(rejection.Ask) rejection.Grant { return rejection.Grant{} }
func (noCarrier) ObserveNotice(notice.Report)            {}

// carryingGateway carries connections to whatever dial opens.
type carryingGateway struct {
	*fakeGateway
	dial func() (net.Conn, error)
}

func (g carryingGateway) Carry(context.Context, string, string) (net.Conn, error) { return g.dial() }

// startCarrier serves a gateway that carries connections, and returns a client and its address.
func startCarrier(t *testing.T, dial func() (net.Conn, error)) (*peer.Client, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := peer.NewGatewayServer(carryingGateway{dial: dial})
	go func() { _ = server.Serve(t.Context(), l, nil) }()
	client := peer.NewClient(nil)
	t.Cleanup(func() { _ = client.Close() })
	return client, l.Addr().String()
}

// listenServer returns a function that connects to a server, and the server's connections.
func listenServer(t *testing.T) (func() (net.Conn, error), <-chan *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*net.TCPConn)
		}
	}()
	return func() (net.Conn, error) { return net.Dial("tcp", l.Addr().String()) }, accepted
}

// openTunnel opens a tunnel and returns its ends.
func openTunnel(t *testing.T) (conn net.Conn, server *net.TCPConn) {
	dial, accepted := listenServer(t)
	client, carrier := startCarrier(t, dial)
	conn, err := client.OpenTunnel(t.Context(), carrier, "server", "self")
	must.NoError(t, err)
	return conn, <-accepted
}

// TestTunnelCarriesBytes checks that a tunnel passes on all bytes and the server's end.
func TestTunnelCarriesBytes(t *testing.T) {
	t.Parallel()
	conn, server := openTunnel(t)
	long := strings.Repeat("0123456789", 10_000)
	go func() {
		_, _ = io.WriteString(conn, long)
		_, _ = io.WriteString(server, long)
		_ = server.CloseWrite()
	}()
	received := make([]byte, len(long))
	_, err := io.ReadFull(server, received)
	must.NoError(t, err)
	must.True(t, string(received) == long)
	answer, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.True(t, string(answer) == long)
	must.NoError(t, conn.Close())
}

// TestTunnelServerEndsFirst checks that a server which has ended its side still gets all bytes.
func TestTunnelServerEndsFirst(t *testing.T) {
	t.Parallel()
	conn, server := openTunnel(t)
	must.NoError(t, server.CloseWrite())
	_, err := io.ReadAll(conn)
	must.NoError(t, err)
	_, err = io.WriteString(conn, "the rest")
	must.NoError(t, err)
	received := make([]byte, len("the rest"))
	_, err = io.ReadFull(server, received)
	must.NoError(t, err)
	must.NoError(t, conn.Close())
}

// TestTunnelResetIsNoEnd checks that a server's reset does not look like the end of its response.
func TestTunnelResetIsNoEnd(t *testing.T) {
	t.Parallel()
	conn, server := openTunnel(t)
	must.NoError(t, server.SetLinger(0))
	must.NoError(t, server.Close())
	_, err := io.ReadAll(conn)
	must.Error(t, err)
}

// TestTunnelCloseReachesServer checks that the server learns when the client's node closes a tunnel,
// and that the peer connection can be used again.
func TestTunnelCloseReachesServer(t *testing.T) {
	t.Parallel()
	dial, accepted := listenServer(t)
	client, carrier := startCarrier(t, dial)
	for range 3 {
		conn, err := client.OpenTunnel(t.Context(), carrier, "server", "self")
		must.NoError(t, err)
		server := <-accepted
		must.NoError(t, conn.Close())
		_, err = server.Read(make([]byte, 1))
		must.Error(t, err)
	}
}

// TestTunnelRefusals checks that the client learns why a carrier opens no connection.
func TestTunnelRefusals(t *testing.T) {
	t.Parallel()
	for _, kind := range []*errorx.Type{tunnel.CutOff, tunnel.Busy, tunnel.UnknownServer, tunnel.Unreachable} {
		client, carrier := startCarrier(t, func() (net.Conn, error) { return nil, errs.New(kind, "carry", "test") })
		_, err := client.OpenTunnel(t.Context(), carrier, "server", "self")
		must.True(t, errorx.IsOfType(err, kind), must.Sprint(kind, err))
	}
}

// TestTunnelOpenTimeout checks that a carrier that does not answer is left in time.
func TestTunnelOpenTimeout(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	defer close(hold)
	client, carrier := startCarrier(t, func() (net.Conn, error) { <-hold; return nil, io.EOF })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.OpenTunnel(ctx, carrier, "server", "self")
	must.True(t, errorx.IsOfType(err, peer.Unreachable), must.Sprint(err))
}

// recordedConn tells whether its sending end or all of it was closed first.
type recordedConn struct {
	*net.TCPConn
	closed chan string
}

func (c recordedConn) CloseWrite() error {
	c.closed <- "sending end"
	return c.TCPConn.CloseWrite()
}

func (c recordedConn) Close() error {
	select {
	case c.closed <- "all":
	default:
	}
	return c.TCPConn.Close()
}

// TestGivenUpRequestArrivesThroughCarrier checks that the carrier closes its connection at once if the tunnel is closed,
// so that bytes of what was given up can be withheld, and only its sending end if the opener has closed that alone.
func TestGivenUpRequestArrivesThroughCarrier(t *testing.T) {
	for want, end := range map[string]func(net.Conn) error{
		"all":         net.Conn.Close,
		"sending end": duplex.CloseWrite,
	} {
		t.Run(want, func(t *testing.T) {
			t.Parallel()
			dial, accepted := listenServer(t)
			closed := make(chan string, 1)
			client, carrier := startCarrier(t, func() (net.Conn, error) {
				conn, err := dial()
				if err != nil {
					return nil, err
				}
				return recordedConn{conn.(*net.TCPConn), closed}, nil
			})
			conn, err := client.OpenTunnel(t.Context(), carrier, "server", "self")
			must.NoError(t, err)
			server := <-accepted
			_, err = io.WriteString(conn, "request")
			must.NoError(t, err)
			must.NoError(t, end(conn))
			must.Eq(t, want, <-closed)
			if want == "sending end" {
				received, err := io.ReadAll(server)
				must.NoError(t, err)
				must.Eq(t, "request", string(received))
				_, err = io.WriteString(server, "response")
				must.NoError(t, err)
				must.NoError(t, server.Close())
				response, err := io.ReadAll(conn)
				must.NoError(t, err)
				must.Eq(t, "response", string(response))
				must.NoError(t, conn.Close())
			}
		})
	}
}

// failingStream passes messages on, and then fails.
type failingStream struct {
	drpc.Stream
	ctx  context.Context
	sent int
}

func (s *failingStream) Context() context.Context { return s.ctx }

func (s *failingStream) MsgSend(drpc.Message, drpc.Encoding) error {
	s.sent++
	return errors.New("canceled after the frame went out")
}

// TestSentFrameLooksUnwritten checks that a write that fails counts as nothing written only if the tunnel had ended before:
// what may have gone out must not be sent again.
func TestSentFrameLooksUnwritten(t *testing.T) {
	t.Parallel()
	stream := &failingStream{ctx: t.Context()}
	n, err := peer.NewTunnelConn(stream).Write([]byte("request"))
	must.Error(t, err)
	must.Eq(t, 1, stream.sent)
	must.Positive(t, n)
	ended, end := context.WithCancel(t.Context())
	end()
	stream = &failingStream{ctx: ended}
	n, err = peer.NewTunnelConn(stream).Write([]byte("request"))
	must.Error(t, err)
	must.Eq(t, 0, stream.sent)
	must.Eq(t, 0, n)
}

// TestEndedTunnelLooksWritten checks that nothing counts as written to a tunnel that the carrier has ended.
func TestEndedTunnelLooksWritten(t *testing.T) {
	t.Parallel()
	conn, server := openTunnel(t)
	must.NoError(t, server.SetLinger(0))
	must.NoError(t, server.Close())
	_, err := conn.Read(make([]byte, 1))
	must.Error(t, err)
	n, err := conn.Write([]byte("request"))
	must.Error(t, err)
	must.Eq(t, 0, n)
}
