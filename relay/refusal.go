package relay

import (
	"fmt"
	"net/http"
	"time"
)

//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=snake -output=relay_enumer.go

// Reason is the stable code of a refusal or retry. Each is counted.
type Reason int

// The reasons.
const (
	ReasonNoConfiguration Reason = iota
	ReasonNoRoute
	ReasonKeyUnknown
	ReasonBodyTooLarge
	// ReasonBodyBroken: the client's body broke off or grew too large after a
	// part of it had been passed on.
	ReasonBodyBroken
	ReasonMalformed
	// ReasonNoServer: the service has no server that can be asked now.
	ReasonNoServer
	// ReasonDeclined: the servers say that they are full or leaving.
	ReasonDeclined
	// ReasonUnreachable: nothing of the request reached a server.
	ReasonUnreachable
	// ReasonServerFailed: a server may have run the request and gave no
	// answer, or one that cannot be passed on.
	ReasonServerFailed
	// ReasonStalled: a server took so much longer than usual that another one
	// was asked.
	ReasonStalled
	// ReasonDeadline: the time of the client or of the route is over.
	ReasonDeadline
	// ReasonLeaving: this process is to end before the answer would be whole.
	ReasonLeaving
	// ReasonStopped: this process has ended before the answer was whole.
	ReasonStopped
	// ReasonSuspected: servers ended while they ran the request.
	ReasonSuspected
	// ReasonOvertaken: the server was leaving, or the news by which it was chosen had
	// grown old, before anything was sent.
	ReasonOvertaken
)

const (
	// retrySoon is told where a fault passes within a second. Clients wait
	// a third of the time that they have left at most.
	retrySoon = 300 * time.Millisecond
	// retryAfterOutage is told by a node that knows no declaration. It reads
	// one within some 20 ms of its start, so only an outage of the store keeps
	// it waiting; clients have few tries, and outages last for seconds.
	retryAfterOutage = 2 * time.Second
	// retryElsewhere is told by a node that leaves: any other can take the
	// request now.
	retryElsewhere = 10 * time.Millisecond
	// maxRetryAfter bounds a server's own word on when to come back.
	maxRetryAfter = 2 * time.Second
)

// statuses maps reasons to HTTP statuses. 503 promises that the request has
// not run and will not, 502 and 504 promise nothing.
var statuses = map[Reason]int{
	ReasonNoConfiguration: http.StatusServiceUnavailable,
	ReasonNoRoute:         http.StatusNotFound,
	ReasonKeyUnknown:      http.StatusUnauthorized,
	ReasonBodyTooLarge:    http.StatusRequestEntityTooLarge,
	ReasonBodyBroken:      http.StatusRequestEntityTooLarge,
	ReasonMalformed:       http.StatusBadRequest,
	ReasonNoServer:        http.StatusServiceUnavailable,
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

// Refusal is an answer of the system's own.
type Refusal struct {
	reason     Reason
	status     int
	retryAfter time.Duration
	message    string
}

func refusalf(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{reason: reason, status: statuses[reason], retryAfter: retryAfter, message: fmt.Sprintf(format, args...)}
}

// NewRefusal returns a refusal for a request that an adapter cannot read.
func NewRefusal(reason Reason, message string) *Refusal { return refusalf(reason, 0, "%s", message) }

// Status is the HTTP status.
func (r *Refusal) Status() int { return r.status }

// Reason is the refusal's stable code.
func (r *Refusal) Reason() Reason { return r.reason }

// RetryAfter is when to come back; zero if that is of no use.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error describes the refusal to a person.
func (r *Refusal) Error() string { return r.message }
