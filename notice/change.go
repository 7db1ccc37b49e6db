package notice

import (
	"strconv"
	"time"
)

// changeFactor is the ratio from which on a limit that differs from the one before counts as changed.
const changeFactor = 1.1

// Source tells from where a change is known.
type Source int

// The sources.
const (
	// SourceAnswer: an answer of the server.
	SourceAnswer Source = iota
	// SourceReport: a report of another node.
	SourceReport
	// SourceTunnel: the node at the other end of a tunnel to the server.
	SourceTunnel
	// SourceExpiry: nobody has confirmed the notice for a while.
	SourceExpiry
)

// Change is a change of what is known of a server.
type Change struct {
	// Server is the server's ID, or the service's name, if the kind is one of services; "" if it is known
	// from reports only. Hash is that of the server's incarnation, of its ID for a request limit, or of
	// the service.
	Server string
	Hash   uint64
	Kind   Kind
	// Before and Value are those of the notices before and since.
	Before, Value float64
	Source        Source
	// Age is how long ago the server said so at least, Doubt how much longer ago it may have been.
	Age, Doubt time.Duration
}

// matters reports whether the change is more than a small one of a limit. A rest begins anew with each
// answer that asks for one.
func (c Change) matters() bool {
	if c.Kind.isLimit() {
		return differ(c.Before, c.Value, changeFactor)
	}
	return c.Before != c.Value || c.Kind == KindRest
}

// Name returns the change's name for logs and metrics.
func (c Change) Name() string {
	switch c.Kind.Absent() {
	case c.Value:
		return "ended"
	case c.Before:
		return "named"
	default:
		return "changed"
	}
}

// LogMessage returns the message of the log line on the change.
func (c Change) LogMessage() string {
	switch c.Kind {
	case KindRequestLimit:
		return "server's request limit"
	case KindRejectionLimit:
		return "server's rejection limit"
	case KindServiceRejectionLimit:
		return "service's rejection limit"
	case KindLeaving:
		return "server leaves"
	default:
		return "server wants rest"
	}
}

// LogArgs returns what the log line tells.
func (c Change) LogArgs() []any {
	subject, hash := "server", "incarnation"
	switch c.Kind {
	case KindServiceRejectionLimit:
		subject, hash = "service", "service_hash"
	case KindRequestLimit:
		hash = "server_hash"
	}
	args := []any{subject, c.Server, hash, strconv.FormatUint(c.Hash, 16), "change", c.Name(), "source", c.Source.String(),
		"age_ms", c.Age.Milliseconds(), "doubt_ms", c.Doubt.Milliseconds()}
	switch {
	case c.Value == c.Kind.Absent():
	case c.Kind.isLimit():
		args = append(args, "per_second", c.Value)
	case c.Kind == KindRest:
		args = append(args, "rest_s", c.Value)
	}
	return args
}
