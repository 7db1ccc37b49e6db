package notice

import (
	"time"

	"github.com/violettally/violettally/registry"
)

// Tunnels are the connections to servers that pass through two nodes. To the server, the requests of
// both come from the one that carries the connection.
type Tunnels interface {
	// Openers returns the peer addresses of the nodes for which this one carries connections to the
	// server at an address.
	Openers(server string) []string
	// Tell tells a node what a server has just said. It does not wait for the node.
	Tell(node string, r Report)
}

// noTunnels is a node without tunnels.
type noTunnels struct{}

func (noTunnels) Openers(string) []string { return nil }
func (noTunnels) Tell(string, Report)     {}

// WithTunnels sets the tunnels of this node, whose other ends are told at once what concerns them.
func WithTunnels(t Tunnels) Option {
	return func(b *Board) { b.tunnels = t }
}

// Report is what one node tells others of a server. It is exported for the codecs.
type Report struct {
	// Server is the hash of what is reported: of the server's incarnation, of its ID for a request limit,
	// or of a service.
	Server uint64  `cbor:"1,keyasint"`
	Kind   Kind    `cbor:"2,keyasint"`
	Value  float64 `cbor:"3,keyasint"`
	// Age is how long ago the server said so at least, FirstAge how long ago it first did, if that is told.
	Age      time.Duration `cbor:"4,keyasint,omitempty"`
	FirstAge time.Duration `cbor:"5,keyasint,omitempty"`
	// Doubt is how much longer ago than Age it may have been.
	Doubt time.Duration `cbor:"6,keyasint,omitempty"`
}

// tellTunnels tells the nodes at the other ends of the tunnels to a server what it has just said.
func (b *Board) tellTunnels(s registry.Server, n Notice, carrier string) {
	nodes := b.tunnels.Openers(s.Address)
	if carrier != "" {
		nodes = append(nodes, carrier)
	}
	for _, node := range nodes {
		b.tunnels.Tell(node, Report{Server: s.Hash(), Kind: n.Kind, Value: n.Value})
	}
}

// ObserveTunnel records what the node at the other end of a tunnel has heard a server say.
func (b *Board) ObserveTunnel(r Report) {
	n := Notice{r.Kind, r.Value}
	if !n.concernsTunnels() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(r.Server, "", n, newSpan(b.timers.Steady(), r.Age, r.Doubt), SourceTunnel)
}
