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

// readTime bounds a header at the doors other than the callers'.
const readTime = 5 * time.Second

// door is one address that the gateway listens on.
type door struct {
	listener net.Listener
	serve    serveFunc
}

// serveFunc answers at a door until it closes.
type serveFunc func(context.Context, net.Listener) error

// listen opens all doors: the callers', which drains, and the others.
func (g *Gateway) listen() ([]door, error) {
	s := g.settings
	peers := peer.NewGatewayServer(g)
	doors := []struct {
		address string
		serve   serveFunc
	}{
		{s.Ready.Listen, serveHTTP(platform.Ready(g.ready))},
		{s.Directory.Listen, serveHTTP(platform.Directory(g.nodes.addresses, addressTTL))},
		{s.Metrics.Listen, serveHTTP(g.metrics.Handler())},
		{s.Peer.Listen, func(ctx context.Context, l net.Listener) error { return peers.Serve(ctx, l, nil) }},
	}
	callers, err := listen(s.Caller.Listen)
	if err != nil {
		return nil, err
	}
	limits := func() catalog.Limits { return g.Catalog().Limits() }
	refused := func(reason relay.Reason) { g.metrics.Relay().Refused(reason, "") }
	g.callers = platform.NewFrontend(callers, g.relay, limits, refused)
	open := []door{{callers, func(context.Context, net.Listener) error { return g.callers.Serve() }}}
	for _, d := range doors {
		listener, err := listen(d.address)
		if err != nil {
			return nil, err
		}
		open = append(open, door{listener, d.serve})
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
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readTime}
		return server.Serve(l)
	}
}
