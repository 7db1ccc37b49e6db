package node

import (
	"context"
	"log/slog"
	"net"
	"net/url"
	"slices"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/member"
	"github.com/violettally/violettally/notice"
	"github.com/violettally/violettally/tunnel"
	"github.com/violettally/violettally/view"
)

// initConnections creates what opens connections to servers, for this node and for others.
func (n *Node) initConnections() {
	n.dialer = tunnel.NewDialer(n.dialServer, n.timers,
		tunnel.WithPeers(n.self, tunnelPeers{n}),
		tunnel.WithIdleCloser(func(func(net.Conn) bool) { n.engines.CloseIdle() }),
		tunnel.WithObserver(n.metrics.ServerDialed),
		tunnel.WithPathObserver(recordPath))
	n.carrier = tunnel.NewCarrier(n.dialer, n.hasServerAt, func() bool { return !n.prober.Leaving() }, tunnel.WithWithheld(n.isWithheldAt))
}

// recordPath logs a change of what this node reaches.
func recordPath(e tunnel.Event) { slog.Info(tunnel.LogMessage, e.LogArgs()...) }

// hasServerAt reports whether a server that is declared has the given address.
func (n *Node) hasServerAt(address string) bool {
	return n.hasServer(func(s config.Server) bool { return addressOf(s) == address })
}

// isWithheldAt reports whether the server at an address wants no requests of this node now.
func (n *Node) isWithheldAt(address string) bool {
	return n.hasServer(func(s config.Server) bool { return addressOf(s) == address && n.limits.withheld(s) })
}

// hasServer reports whether a server for which matches returns true is declared.
func (n *Node) hasServer(matches func(config.Server) bool) bool {
	snapshot := n.Config()
	return slices.ContainsFunc(snapshot.Pools(), func(p config.Pool) bool {
		return slices.ContainsFunc(snapshot.Servers(p.Name), matches)
	})
}

// addressOf returns the address of a server; "" if it has none.
func addressOf(s config.Server) string {
	u, err := url.Parse(s.URL)
	if err != nil {
		return ""
	}
	return u.Host
}

// Carry opens a connection to a backend server for another node.
func (p peerNode) Carry(ctx context.Context, server, opener string) (net.Conn, error) {
	return p.n.carrier.Carry(ctx, server, opener)
}

// ObserveNotice records what a server has said of itself to the node at the other end of a tunnel.
func (p peerNode) ObserveNotice(r notice.Report) { p.n.limits.notices.ObserveTunnel(r) }

// noticeTunnels returns what tells the other ends of tunnels what servers say of themselves.
func (n *Node) noticeTunnels() notice.Tunnels {
	openers := func(server string) []string { return n.carrier.Openers(server) }
	return peer.NewNoticeTunnels(n.client, openers, func(node string, r notice.Report, err error) {
		slog.Info(peer.NotToldMessage, peer.NotToldArgs(node, r, err)...)
	})
}

// tunnelPeers gives the dialer access to the other nodes.
type tunnelPeers struct{ n *Node }

// Others returns the other nodes that respond and are not leaving.
func (p tunnelPeers) Others() []view.Member {
	return slices.DeleteFunc(p.n.prober.Alive(), func(m view.Member) bool {
		status, _ := p.n.prober.Status(m.ID)
		return status == member.StatusLeaving
	})
}

// OpenTunnel opens a connection to a server through another node.
func (p tunnelPeers) OpenTunnel(ctx context.Context, carrier, server string) (net.Conn, error) {
	return p.n.client.OpenTunnel(ctx, carrier, server, p.n.self.Peer)
}
