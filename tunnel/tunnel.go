// Package tunnel opens this node's connections to backend servers: directly, or through another
// node where this one does not reach the server.
//
// A node may lose its way to some or all servers while clients, the platform and the other nodes
// still reach it. It notices when a connection is not established at once, or when nothing comes
// back on those that are open. It then has another node, the carrier, open a connection to the
// server and pass the bytes on. Such a tunnel is a connection like any other to what uses it:
// which server a request is sent to, how often, and when it is given up stay decisions of the
// node that took it from its client. Closing either end closes the other; a tunnel that breaks
// looks like a connection that was reset.
//
// A carrier opens direct connections only, so tunnels are never chained, and it connects to known
// servers only. One that reaches no server itself says so at once, and another one is asked.
//
// A server may be silent for a second and go on. Nothing that is under way is ended for that: what
// is silent is not used for further requests once another way to the server was found to work.
//
// # Usage
//
//	d := tunnel.NewDialer(dial, timers, tunnel.WithPeers(self, peers), tunnel.WithIdleCloser(closeIdle))
//	go d.Run(ctx)
//	conn, err := d.DialContext(ctx, "tcp", server.Address)
//
// For the tunnels of other nodes:
//
//	c := tunnel.NewCarrier(d, isKnownServer, mayCarry)
//	conn, err := c.Carry(ctx, address, opener)
package tunnel

import (
	"slices"

	"github.com/joomcode/errorx"

	"github.com/violettally/violettally/internal/errs"
)

//go:generate go tool enumer -type=Outcome,Change,Way -trimprefix=Outcome,Change,Way -transform=snake -output=tunnel_enumer.go

var (
	namespace = errs.Namespace("tunnel")

	// NotReached means that a server was reached neither directly nor through another node.
	NotReached = namespace.NewType("not_reached")
	// NoWay is NotReached at a node that reaches no server, if another node that it asked did not
	// answer. It says nothing of the server.
	NoWay = NotReached.NewSubtype("no_way")
	// CutOff means that a carrier reaches no server itself.
	CutOff = namespace.NewType("cut_off")
	// Busy means that a carrier takes no more tunnels: it has enough, or it is about to end.
	Busy = namespace.NewType("busy")
	// UnknownServer means that a carrier knows no server at an address.
	UnknownServer = namespace.NewType("unknown_server")
	// Withheld means that a server wants no requests of a carrier now.
	Withheld = namespace.NewType("withheld")
	// Unreachable means that a carrier reaches other servers, but not this one.
	Unreachable = namespace.NewType("unreachable")
)

// RefusalError returns the error of a carrier that refused a tunnel, by the kind that
// [errs.Kind] returned for it there.
func RefusalError(kind, carrier string) error {
	refusal := Unreachable
	for _, t := range refusals {
		if errs.TypeKind(t) == kind {
			refusal = t
		}
	}
	return errs.New(refusal, "open", "carrier %s", carrier)
}

// refusals are the errors of a carrier that refuses a tunnel.
var refusals = []*errorx.Type{CutOff, Busy, UnknownServer, Withheld, Unreachable}

// isRefusal reports whether an error is that of a carrier that refused a tunnel.
func isRefusal(err error) bool {
	return slices.ContainsFunc(refusals, func(t *errorx.Type) bool { return errorx.IsOfType(err, t) })
}

// Way is how a connection reaches a server.
type Way int

// The ways.
const (
	// WayDirect: from this node.
	WayDirect Way = iota
	// WayTunnel: through another node.
	WayTunnel
	// WayCarried: from this node, for another one.
	WayCarried
)

// Outcome is the result of opening a connection to a server.
type Outcome int

// The outcomes.
const (
	OutcomeConnected Outcome = iota
	// OutcomeRefused: the server's VM, or something on the way, refused or reset the connection, or
	// the carrier refused the tunnel.
	OutcomeRefused
	// OutcomeTimedOut: nothing came back in time.
	OutcomeTimedOut
	// OutcomeCanceled: the connection was no longer needed.
	OutcomeCanceled
	OutcomeFailed
)

// Change is a change of what this node reaches by itself.
type Change int

// The changes.
const (
	// ChangeLost: a server is not reached any more.
	ChangeLost Change = iota
	// ChangeReached: a server is reached again.
	ChangeReached
	// ChangeCutOff: no server has been reached since several were lost.
	ChangeCutOff
	// ChangeReconnected: a server is reached again after ChangeCutOff.
	ChangeReconnected
)

// Event is a change of what this node reaches by itself.
type Event struct {
	Change Change
	// Server is the address of the server at which the change was noticed.
	Server string
	// Lost is the number of servers that are not reached.
	Lost int
	// Cause is the error that was met, nil for none.
	Cause error
}

// LogMessage is the message of log lines on events.
const LogMessage = "way to servers"

// LogArgs returns what a log line on the event tells.
func (e Event) LogArgs() []any {
	args := []any{"change", e.Change.String(), "server", e.Server, "lost", e.Lost}
	if e.Cause != nil {
		args = append(args, "cause", e.Cause.Error())
	}
	return args
}
