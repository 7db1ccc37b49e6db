// Package tunnel opens this node's connections to backend servers and keeps track of which
// servers it reaches.
//
// # Usage
//
//	d := tunnel.NewDialer(dial, timers, tunnel.WithObserver(count), tunnel.WithPathObserver(log))
//	conn, err := d.DialContext(ctx, "tcp", server.Address)
package tunnel

//go:generate go tool enumer -type=Outcome,Change -trimprefix=Outcome,Change -transform=snake -output=tunnel_enumer.go

// Outcome is the result of opening a connection to a server.
type Outcome int

// The outcomes.
const (
	OutcomeConnected Outcome = iota
	// OutcomeRefused: the server's VM, or something on the way, refused or reset the connection.
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
