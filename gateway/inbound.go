package gateway

import (
	"net"

	"github.com/violettally/violettally/adapter/peer"
	"github.com/violettally/violettally/inbound"
	"github.com/violettally/violettally/settings"
)

const (
	// The shares of the VM's memory that requests may take together: those of clients, those to the directory, and the
	// platform's checks and metrics.
	requestMemoryShare   = 0.5
	directoryMemoryShare = 1.0 / 16
	probeMemoryShare     = 1.0 / 32
	// connMemoryShare is the share of the VM's memory for open connections, and connBytes what one without a request
	// takes, in bytes.
	connMemoryShare = 0.125
	connBytes       = 12 << 10
	// fileDescriptors is the number of the VM's descriptors that are kept for files.
	fileDescriptors = 200
	// The shares of the other descriptors for the connections of clients, and for those to the listeners that clients
	// and the platform ask about this process. A request may need a connection to a server as well; other nodes and
	// the store need the rest.
	clientConnShare    = 0.3
	directoryConnShare = 1.0 / 16
	probeConnShare     = 1.0 / 64
	// carriedConnShare is the share of the descriptors for connections that are carried for other nodes; each takes
	// two. carriedMemoryShare is that of the memory, of which each takes carriedBytes.
	carriedConnShare   = 1.0 / 8
	carriedMemoryShare = 0.125
	carriedBytes       = 60 << 10
	// newPeerConnShare is the share of the descriptors for connections to the peers' listener without a message, and
	// peerMemoryShare that of the memory for their messages that are not whole.
	newPeerConnShare = 1.0 / 16
	peerMemoryShare  = 1.0 / 16
	// minConns is the least number of connections of a listener.
	minConns = 8
	// maxProbeHeadBytes bounds the heads of requests to the listeners other than that of the clients.
	maxProbeHeadBytes = 16 << 10
)

// recordRefusal counts and logs a request or a connection that was refused or closed before a handler got it.
func (g *Gateway) recordRefusal(r inbound.Refusal, client net.Addr) {
	g.metrics.InboundRefused(r)
	g.clientLog.info("client refused", "reason", r.String(), "client", client.String())
}

// newBudget returns a budget of a share of a VM's memory.
func newBudget(l settings.GatewayLimits, share float64, observe func(inbound.Refusal, net.Addr)) *inbound.Budget {
	return inbound.NewBudget(int64(share*float64(l.MemoryBytes())), inbound.WithObserver(observe))
}

// maxConns returns how many connections a listener may have open that gets a share of the descriptors.
func maxConns(l settings.GatewayLimits, share float64) int {
	return most(l, share, connMemoryShare, connBytes)
}

// maxCarried returns how many connections to servers a process may carry for other nodes.
func maxCarried(l settings.GatewayLimits) int {
	return most(l, carriedConnShare, carriedMemoryShare, carriedBytes)
}

// most returns how many connections, of so many bytes each, shares of the descriptors and of the memory allow.
func most(l settings.GatewayLimits, connShare, memoryShare float64, bytes int) int {
	byDescriptors := connShare * float64(l.Descriptors()-fileDescriptors)
	byMemory := memoryShare * float64(l.MemoryBytes()) / float64(bytes)
	return max(minConns, int(min(byDescriptors, byMemory)))
}

// peerOptions bound what those take that connect to the listener of the peers.
func peerOptions(l settings.GatewayLimits) []peer.ServerOption {
	return []peer.ServerOption{
		peer.WithNewConns(maxConns(l, newPeerConnShare)),
		peer.WithMessageMemory(int64(peerMemoryShare * float64(l.MemoryBytes()))),
	}
}

// probeLimits are the limits of the listeners other than that of the clients.
func probeLimits() inbound.Limits {
	limits := inbound.DefaultLimits
	limits.HeadBytes = maxProbeHeadBytes
	return limits
}
