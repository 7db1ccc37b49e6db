package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/inbound"
)

//go:generate go tool enumer -type=Reason,Ran -trimprefix=Reason,Ran -transform=snake -output=dispatch_enumer.go

// Reason is the stable code of a refusal. Refusals are counted by reason.
type Reason int

// The reasons.
const (
	ReasonModelNotFound Reason = iota
	ReasonVersionWithdrawn
	ReasonNoVersion
	ReasonServiceNotFound
	ReasonCallNotDeclared
	ReasonKeyMissing
	ReasonRateLimited
	ReasonOverloaded
	ReasonDeadline
	ReasonNoServer
	// ReasonServerLimit: the servers name request limits and get no more from this node now.
	ReasonServerLimit
	// ReasonServersResting: the servers want no requests of this node now.
	ReasonServersResting
	// ReasonServersLeaving: the servers say that they are about to end.
	ReasonServersLeaving
	ReasonServerFailed
	ReasonClaimUnreachable
	ReasonClaimBusy
	ReasonClaimMemory
	ReasonOutcomeUnknown
	ReasonHolderUnreachable
	ReasonIDReused
	ReasonNoConfiguration
	ReasonCutOff
	ReasonDraining
	ReasonCancelled
	ReasonRequestNotFound
	ReasonAnswerExpired
	ReasonAnswerTooLarge
	ReasonInvalid
	ReasonBodyTooLarge
	// ReasonNoRoom: this node has no memory for the request now.
	ReasonNoRoom
)

// Ran tells whether a refused request has run. RanNo is used only if it is
// known that the request did not run.
type Ran int

// The values of Ran.
const (
	RanNo Ran = iota
	RanUnknown
	RanYes
)

// statuses maps reasons to HTTP statuses. The default is 503.
var statuses = map[Reason]int{
	ReasonModelNotFound:    http.StatusNotFound,
	ReasonVersionWithdrawn: http.StatusGone,
	ReasonServiceNotFound:  http.StatusNotFound,
	ReasonCallNotDeclared:  http.StatusNotFound,
	ReasonKeyMissing:       http.StatusBadRequest,
	ReasonRateLimited:      http.StatusTooManyRequests,
	ReasonDeadline:         http.StatusServiceUnavailable,
	ReasonServerFailed:     http.StatusBadGateway,
	ReasonOutcomeUnknown:   http.StatusConflict,
	ReasonIDReused:         http.StatusUnprocessableEntity,
	ReasonCancelled:        499,
	ReasonRequestNotFound:  http.StatusNotFound,
	ReasonAnswerExpired:    http.StatusGone,
	ReasonAnswerTooLarge:   http.StatusBadGateway,
	ReasonInvalid:          http.StatusBadRequest,
	ReasonBodyTooLarge:     http.StatusRequestEntityTooLarge,
}

// Refusal is the error type of this package. It states why a request gets no response, whether
// it ran, and when to retry.
type Refusal struct {
	reason     Reason
	ran        Ran
	retryAfter time.Duration
	message    string
}

func refuse(reason Reason, ran Ran, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{reason: reason, ran: ran, retryAfter: retryAfter, message: fmt.Sprintf(format, args...)}
}

// NewRefusal returns a refusal by an adapter, made before the request reached the dispatcher,
// so the request has not run.
func NewRefusal(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return refuse(reason, RanNo, retryAfter, format, args...)
}

// NoConfiguration returns the refusal of a node that has started and has no configuration yet.
func NoConfiguration(ran Ran) *Refusal {
	return refuse(ReasonNoConfiguration, ran, retryAfterShort, "no configuration is in force")
}

// NoRoom returns the refusal of a node that has no memory for the request now.
func NoRoom(ran Ran) *Refusal {
	return refuse(ReasonNoRoom, ran, inbound.RetryAfter, "this node has no room for the request now")
}

// holderUnreachable returns the refusal for a request whose holder does not respond, while it
// is not known what became of the request.
func holderUnreachable(holder string) *Refusal {
	return refuse(ReasonHolderUnreachable, RanUnknown, retryAfterShort, "node %s, which has the request, does not answer now", holder)
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return r.reason.String() + ": " + r.message }

// Reason returns the stable code.
func (r *Refusal) Reason() Reason { return r.reason }

// Ran tells whether the request has run.
func (r *Refusal) Ran() Ran { return r.ran }

// RetryAfter returns the delay before a retry, or zero if a retry does not help.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// after corrects the refusal for a request that a backend server may have run earlier: RanNo
// becomes RanUnknown.
func (r *Refusal) after(mayHaveRun bool) *Refusal {
	if r == nil || !mayHaveRun || r.ran != RanNo {
		return r
	}
	corrected := *r
	corrected.ran = RanUnknown
	return &corrected
}

// noServerLeft reports whether the request was refused because no server takes it now.
func (r *Refusal) noServerLeft() bool {
	switch r.reason {
	case ReasonNoServer, ReasonServerLimit, ReasonServersResting, ReasonServersLeaving:
		return true
	default:
		return false
	}
}

// orLast returns the refusal of a request that no server takes any more after the last attempt was
// refused, nil if there was none: what the servers say tells better when to come back than an attempt
// that did not run.
func (r *Refusal) orLast(last *Refusal) *Refusal {
	said := r.reason == ReasonServersResting || r.reason == ReasonServersLeaving
	if last == nil || said && last.ran == RanNo {
		return r
	}
	return last
}

// Failure returns the refusal in its wire form.
func (r *Refusal) Failure() *answer.Failure {
	status, ok := statuses[r.reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return &answer.Failure{
		Reason:      r.reason.String(),
		Message:     r.message,
		Status:      status,
		Ran:         r.ran.String(),
		RetryMillis: r.retryAfter.Milliseconds(),
	}
}
