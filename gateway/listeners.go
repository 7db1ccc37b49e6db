package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/inbound"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/relay"
)

// Bounds of a whole request, and of the response, on the HTTP listeners other than that of the clients.
const (
	probeReadTimeout  = 5 * time.Second
	probeWriteTimeout = 10 * time.Second
)

// endpoint is a listener and the function that serves it.
type endpoint struct {
	listener net.Listener
	serve    serveFunc
}

// serveFunc serves a listener until it is closed.
type serveFunc func(context.Context, net.Listener) error

// openEndpoints opens all listeners: that of the clients, which is drained at shutdown,
// and the others.
func (g *Gateway) openEndpoints() ([]endpoint, error) {
	s := g.settings
	peers := peer.NewGatewayServer(g, peerOptions(s.Limits)...)
	budget := func(share float64) *inbound.Budget { return newBudget(s.Limits, share, g.recordRefusal) }
	// Budgets of their own, so that those who fill one keep nobody from the others.
	lookups, probes := budget(directoryMemoryShare), budget(probeMemoryShare)
	others := []struct {
		address       string
		receiveBuffer int
		serve         serveFunc
	}{
		{s.Ready.Listen, inbound.HeadReceiveBuffer, serveHTTP(platform.Ready(g.ready), probes, maxConns(s.Limits, probeConnShare))},
		{s.Directory.Listen, inbound.HeadReceiveBuffer, serveHTTP(platform.Directory(g.membership.clientAddresses, addressTTL), lookups, maxConns(s.Limits, directoryConnShare))},
		{s.Metrics.Listen, inbound.HeadReceiveBuffer, serveHTTP(g.metrics.Handler(), probes, maxConns(s.Limits, probeConnShare))},
		{s.Peer.Listen, peerReceiveBuffer, func(ctx context.Context, l net.Listener) error { return peers.Serve(ctx, l, nil) }},
	}
	clients, err := listen(s.Caller.Listen, inbound.HeadReceiveBuffer)
	if err != nil {
		return nil, err
	}
	limits := func() catalog.Limits { return g.Catalog().Limits() }
	refused := func(reason relay.Reason) { g.metrics.Relay().Refused(reason, "") }
	g.frontend = platform.NewFrontend(clients, g.relay, limits, refused, platform.WithBudget(budget(requestMemoryShare),
		inbound.WithConns(maxConns(s.Limits, clientConnShare)), inbound.WithNarrowBuffers()))
	endpoints := []endpoint{{clients, func(context.Context, net.Listener) error { return g.frontend.Serve() }}}
	for _, o := range others {
		listener, err := listen(o.address, o.receiveBuffer)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, endpoint{listener, o.serve})
	}
	return endpoints, nil
}

// peerReceiveBuffer is the receive buffer of a connection of another node, in bytes.
const peerReceiveBuffer = 64 << 10

// listen opens a listener whose connections have receive buffers of so many bytes.
func listen(address string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		var err error
		controlErr := socket.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(controlErr, err)
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errs.Wrap(StartFailed, "listen", err, "address %s", address)
	}
	return l, nil
}

// serveHTTP returns a function that serves a listener with a handler, within the budget and so many connections.
func serveHTTP(handler http.Handler, budget *inbound.Budget, conns int) serveFunc {
	return func(_ context.Context, l net.Listener) error {
		bounded := budget.Listen(l, inbound.WithConns(conns), inbound.WithLimits(probeLimits))
		server := &http.Server{Handler: handler, ReadTimeout: probeReadTimeout, WriteTimeout: probeWriteTimeout, IdleTimeout: inbound.DefaultLimits.IdleTime}
		return bounded.Serve(server)
	}
}
