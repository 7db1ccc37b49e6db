package relay

import (
	"time"

	"github.com/violettally/violettally/registry"
)

// doubtfulSilence is how long a connection must have received nothing before it is doubtful that its server
// learns of its end. The fastest responses take 50 ms.
const doubtfulSilence = 250 * time.Millisecond

// connection is what is known of the connection of an attempt.
type connection struct {
	// opened is when the connection was opened, zero if the attempt got none.
	opened time.Time
	// carrier is the address of the node that carries it; "" for none.
	carrier string
	// heard is when something of the response was last received, or else when the request was sent.
	heard time.Time
}

// isSilent reports whether the connection has received nothing for doubtfulSilence.
func (c connection) isSilent() bool { return time.Since(c.heard) >= doubtfulSilence }

// recordGivenUp records an attempt that was given up while its server might still run the request, with what
// tells whether the server has learned of it: the end of a connection that went silent may never arrive.
func (x *exchange) recordGivenUp(server registry.Server) {
	if !x.abandoned || x.connection.opened.IsZero() {
		return
	}
	c := x.connection
	x.relay.Counters.GaveUp(c.isSilent())
	x.record.AddStep("given up", "at %s, whose connection, opened %d ms before, carried by %q, was silent for %d ms",
		server.ID, time.Since(c.opened).Milliseconds(), c.carrier, time.Since(c.heard).Milliseconds())
}
