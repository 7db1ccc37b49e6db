package gateway

import (
	"context"
	"net"
	"slices"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/tunnel"
	"github.com/violettally/violettally/view"
)

// recordPath logs a change of what this gateway reaches.
func (g *Gateway) recordPath(e tunnel.Event) { g.pathLog.info(tunnel.LogMessage, e.LogArgs()...) }

// hasServerAt reports whether a known server has the given address.
func (g *Gateway) hasServerAt(address string) bool { return len(g.registry.AtAddress(address)) > 0 }

// isWithheldAt reports whether no server with the given address wants requests of this gateway now.
func (g *Gateway) isWithheldAt(address string) bool {
	return !slices.ContainsFunc(g.registry.AtAddress(address), func(s registry.Server) bool { return !g.throttle.Withheld(s) })
}

// Carry opens a connection to a backend server for another gateway.
func (g *Gateway) Carry(ctx context.Context, server, opener string) (net.Conn, error) {
	return g.carrier.Carry(ctx, server, opener)
}

// ObserveNotice records what a server has said of itself to the gateway at the other end of a tunnel.
func (g *Gateway) ObserveNotice(r notice.Report) { g.notices.ObserveTunnel(r) }

// noticeTunnels returns what tells the other ends of tunnels what servers say of themselves.
func (g *Gateway) noticeTunnels() notice.Tunnels {
	openers := func(server string) []string { return g.carrier.Openers(server) }
	return peer.NewNoticeTunnels(g.peerClient, openers, func(node string, r notice.Report, err error) {
		g.noticeLog.info(peer.NotToldMessage, peer.NotToldArgs(node, r, err)...)
	})
}

// tunnelPeers gives the dialer access to the other gateways.
type tunnelPeers struct{ g *Gateway }

// Others returns the other gateways that are not leaving.
func (p tunnelPeers) Others() []view.Member { return p.g.membership.peers() }

// OpenTunnel opens a connection to a server through another gateway.
func (p tunnelPeers) OpenTunnel(ctx context.Context, carrier, server string) (net.Conn, error) {
	return p.g.peerClient.OpenTunnel(ctx, carrier, server, p.g.self.Peer)
}
