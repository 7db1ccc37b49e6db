package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/platform"
	"github.com/violettally/violettally/relay"
)

// readHeaderTimeout bounds a header at the doors other than the callers'.
const readHeaderTimeout = 5 * time.Second

// endpoint is one address that the gateway listens on.
type endpoint struct {
	listener net.Listener
	serve    serveFunc
}

// serveFunc answers at a door until it closes.
type serveFunc func(context.Context, net.Listener) error

// openEndpoints opens all doors: the callers', which drains, and the others.
func (g *Gateway) openEndpoints() ([]endpoint, error) {
	s := g.settings
	peers := peer.NewGatewayServer(g)
	doors := []struct {
		address string
		serve   serveFunc
	}{
		{s.Ready.Listen, serveHTTP(platform.Ready(g.ready))},
		{s.Directory.Listen, serveHTTP(platform.Directory(g.membership.clientAddresses, addressTTL))},
		{s.Metrics.Listen, serveHTTP(g.metrics.Handler())},
		{s.Peer.Listen, func(ctx context.Context, l net.Listener) error { return peers.Serve(ctx, l, nil) }},
	}
	callers, err := listen(s.Caller.Listen)
	if err != nil {
		return nil, err
	}
	limits := func() catalog.Limits { return g.Catalog().Limits() }
	refused := func(reason relay.Reason) { g.metrics.Relay().Refused(reason, "") }
	g.clientServer = platform.NewCallers(callers, g.relay, limits, refused)
	open := []endpoint{{callers, func(context.Context, net.Listener) error { return g.clientServer.Serve() }}}
	for _, d := range doors {
		listener, err := listen(d.address)
		if err != nil {
			return nil, err
		}
		open = append(open, endpoint{listener, d.serve})
	}
	return open, nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(Start, "listen", err, "address %s", address)
	}
	return l, nil
}

// serveHTTP serves a handler at a door.
func serveHTTP(handler http.Handler) serveFunc {
	return func(_ context.Context, l net.Listener) error {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
		return server.Serve(l)
	}
}
