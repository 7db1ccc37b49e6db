package relay

import (
	"fmt"
	"net/http"
	"time"

	"github.com/violettally/violettally/inbound"
)

//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=snake -output=relay_enumer.go

// Reason is the stable code of a refusal or a retry. Each reason is counted.
type Reason int

// The reasons of refusals and retries.
const (
	ReasonNoConfiguration Reason = iota
	ReasonNoRoute
	ReasonKeyUnknown
	ReasonBodyTooLarge
	// ReasonBodyBroken: reading the client's body failed, or it grew too large, after part of
	// it had been forwarded.
	ReasonBodyBroken
	// ReasonBodyLate: the time of the request was over before its body had come.
	ReasonBodyLate
	// ReasonBodyStalled: the rest of a body, part of which a server may have, did not come, and others needed the
	// room that it took.
	ReasonBodyStalled
	// ReasonNoRoom: this process has no memory for the request now.
	ReasonNoRoom
	ReasonMalformed
	// ReasonNoServer: the service has no server that can be chosen now.
	ReasonNoServer
	// ReasonEvacuated: all servers of the service are in data halls that operators have
	// evacuated.
	ReasonEvacuated
	// ReasonWarmingUp: all servers of the service are warming up and get no more requests from
	// this node now.
	ReasonWarmingUp
	// ReasonServerLimit: all servers of the service name limits and get no more requests from this
	// node now.
	ReasonServerLimit
	// ReasonServersResting: all servers of the service want no requests of this node now.
	ReasonServersResting
	// ReasonServersLeaving: all servers of the service say that they are about to end.
	ReasonServersLeaving
	// ReasonRejectionLimit: all servers of the service are full, and end if they must reject more
	// requests.
	ReasonRejectionLimit
	// ReasonDeclined: the servers say that they are full or leaving.
	ReasonDeclined
	// ReasonUnreachable: no byte of the request reached a server.
	ReasonUnreachable
	// ReasonServerFailed: a server may have run the request and gave no response, or none that
	// can be forwarded.
	ReasonServerFailed
	// ReasonStalled: the server was so late that another one was asked.
	ReasonStalled
	// ReasonDeadline: the deadline of the client or the route has passed.
	ReasonDeadline
	// ReasonLeaving: this process will end before the response would be complete.
	ReasonLeaving
	// ReasonStopped: this process ended before the response was complete.
	ReasonStopped
	// ReasonSuspected: servers crashed while they ran the request.
	ReasonSuspected
	// ReasonOvertaken: the choice of the server was stale before anything was sent: the server
	// was leaving, or the store view was too old.
	ReasonOvertaken
)

const (
	// retrySoon is for failures that pass within a second. Clients wait for at most a third of
	// their remaining time.
	retrySoon = 300 * time.Millisecond
	// retryAfterOutage is used by a node without a declaration, and while all servers of a
	// service leave or are in evacuated data halls. These last for seconds, since a node loads the
	// declaration within some 20 ms of its start unless the store is down, and clients make
	// few attempts.
	retryAfterOutage = 2 * time.Second
	// retryElsewhere is used by a draining node: any other node can take the request now.
	retryElsewhere = 10 * time.Millisecond
	// maxRetryAfter bounds the delay after what may pass sooner than it seems.
	maxRetryAfter = 2 * time.Second
	// maxReturnSpread is the time over which clients that were refused while servers rest come back.
	maxReturnSpread = time.Second
)

// statuses maps reasons to HTTP statuses. 503 guarantees that the request has not run and will
// not; 502 and 504 guarantee nothing.
var statuses = map[Reason]int{
	ReasonNoConfiguration: http.StatusServiceUnavailable,
	ReasonNoRoute:         http.StatusNotFound,
	ReasonKeyUnknown:      http.StatusUnauthorized,
	ReasonBodyTooLarge:    http.StatusRequestEntityTooLarge,
	ReasonBodyBroken:      http.StatusRequestEntityTooLarge,
	ReasonBodyLate:        http.StatusRequestTimeout,
	ReasonBodyStalled:     http.StatusBadGateway,
	ReasonNoRoom:          http.StatusServiceUnavailable,
	ReasonMalformed:       http.StatusBadRequest,
	ReasonNoServer:        http.StatusServiceUnavailable,
	ReasonEvacuated:       http.StatusServiceUnavailable,
	ReasonWarmingUp:       http.StatusServiceUnavailable,
	ReasonServerLimit:     http.StatusServiceUnavailable,
	ReasonServersResting:  http.StatusServiceUnavailable,
	ReasonServersLeaving:  http.StatusServiceUnavailable,
	ReasonRejectionLimit:  http.StatusServiceUnavailable,
	ReasonDeclined:        http.StatusServiceUnavailable,
	ReasonUnreachable:     http.StatusServiceUnavailable,
	ReasonServerFailed:    http.StatusBadGateway,
	ReasonStalled:         http.StatusGatewayTimeout,
	ReasonDeadline:        http.StatusGatewayTimeout,
	ReasonLeaving:         http.StatusServiceUnavailable,
	ReasonStopped:         http.StatusBadGateway,
	ReasonSuspected:       http.StatusBadGateway,
	ReasonOvertaken:       http.StatusServiceUnavailable,
}

// Refusal is a response by this node instead of a server.
type Refusal struct {
	reason     Reason
	status     int
	retryAfter time.Duration
	message    string
}

func refusalf(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{reason: reason, status: statuses[reason], retryAfter: retryAfter, message: fmt.Sprintf(format, args...)}
}

// NewRefusal returns a refusal of a request that the adapter cannot read.
func NewRefusal(reason Reason, message string) *Refusal {
	retryAfter := time.Duration(0)
	switch reason {
	case ReasonNoRoom:
		retryAfter = inbound.RetryAfter
	case ReasonLeaving:
		retryAfter = retryElsewhere
	}
	return refusalf(reason, retryAfter, "%s", message)
}

// Status returns the HTTP status.
func (r *Refusal) Status() int { return r.status }

// Reason returns the stable code of the refusal.
func (r *Refusal) Reason() Reason { return r.reason }

// RetryAfter returns when the client should retry; zero if a retry is of no use.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error returns a description for people.
func (r *Refusal) Error() string { return r.message }
