package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/violettally/violettally/handoff"
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
	// responded means that a part of the response was received.
	responded bool
}

// hear records that something of the response was received.
func (c *connection) hear() { c.heard, c.responded = time.Now(), true }

// isSilent reports whether the connection has received nothing for doubtfulSilence.
func (c connection) isSilent() bool { return time.Since(c.heard) >= doubtfulSilence }

// earlierRun is a run that was given up and may go on at its server.
type earlierRun struct {
	handoff.Run
	// model is the model that ran the request.
	model string
}

// keepEarlierRun records an attempt that was given up while its server might still run the request, and remembers
// its run if the server may not have learned of that. A server that has just been heard learns of it from the end
// of its connection. One whose connection has ended by itself, or that was too late, may work on.
func (x *exchange) keepEarlierRun(f *failure, server registry.Server) {
	if !x.abandoned || x.connection.opened.IsZero() {
		return
	}
	c := x.connection
	x.relay.Counters.GaveUp(c.isSilent())
	lost := f != nil && (f.serverLost || f.reason == ReasonStalled)
	if !lost && !c.isSilent() {
		return
	}
	x.record.AddStep("given up", "at %s, whose connection, opened %d ms before, carried by %q, was silent for %d ms",
		server.ID, time.Since(c.opened).Milliseconds(), c.carrier, time.Since(c.heard).Milliseconds())
	if x.engine() == nil {
		return
	}
	x.endEarlierRunLater() // an even earlier one
	if x.unendedAt == nil {
		x.unendedAt = make(map[registry.Incarnation]bool)
	}
	x.unendedAt[server.Incarnation()] = true
	x.earlierRun = &earlierRun{
		Run:   handoff.Run{RequestID: x.request.ID, Server: server, Begun: x.connection.responded, Until: x.deadline},
		model: x.model(),
	}
}

// endEarlierRun ends the earlier run before the given server continues the request. It returns the memory from
// which the server can do so, if that is of the same model and version and the client has a part of the response.
func (x *exchange) endEarlierRun(ctx context.Context, server registry.Server) handoff.Copy {
	run := x.earlierRun
	if run == nil {
		return handoff.Copy{}
	}
	x.earlierRun = nil
	begun := time.Now()
	memory, outcome := x.relay.Handoffs.Stop(ctx, run.Run, server)
	x.record.AddStep("stop", "the run at %s: %s after %d ms", run.Server.ID, outcome, time.Since(begun).Milliseconds())
	if outcome.IsCertain(run.Run) {
		delete(x.unendedAt, run.Server.Incarnation())
	}
	if memory.IsZero() {
		return handoff.Copy{}
	}
	if !x.responseStarted || x.lastEventID == "" || run.model != x.model() || run.Server.Version != server.Version {
		x.relay.Handoffs.Release(memory)
		return handoff.Copy{}
	}
	return memory
}

// endEarlierRunLater ends the earlier run if no server continues the request. A server ends a run only as it
// hands its memory over, so it takes another server of the same version.
func (x *exchange) endEarlierRunLater() {
	run := x.earlierRun
	x.earlierRun = nil
	if run == nil {
		return
	}
	others := slices.DeleteFunc(slices.Clone(x.relay.Servers.Servers(x.service)), func(s *registry.Server) bool {
		return s.Incarnation() == run.Server.Incarnation() || s.Version != run.Server.Version
	})
	if len(others) > 0 {
		x.relay.Handoffs.StopLater(run.Run, *others[rand.IntN(len(others))])
	}
}
