package gateway

import (
	"context"
	"net"

	"github.com/violettally/violettally/tunnel"
	"github.com/violettally/violettally/view"
)

// recordPath logs a change of what this gateway reaches.
func (g *Gateway) recordPath(e tunnel.Event) { g.pathLog.info(tunnel.LogMessage, e.LogArgs()...) }

// Carry opens a connection to a backend server for another gateway.
func (g *Gateway) Carry(ctx context.Context, server string) (net.Conn, error) {
	return g.carrier.Carry(ctx, server)
}

// tunnelPeers gives the dialer access to the other gateways.
type tunnelPeers struct{ g *Gateway }

// Others returns the other gateways that are not leaving.
func (p tunnelPeers) Others() []view.Member { return p.g.membership.peers() }

// OpenTunnel opens a connection to a server through another gateway.
func (p tunnelPeers) OpenTunnel(ctx context.Context, carrier, server string) (net.Conn, error) {
	return p.g.peerClient.OpenTunnel(ctx, carrier, server)
}
