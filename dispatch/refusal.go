package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/violettally/violettally/answer"
)

//go:generate go tool enumer -type=Reason,Ran -trimprefix=Reason,Ran -transform=snake -output=dispatch_enumer.go

// Reason is the stable code of a refusal. Each is counted.
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
)

// Ran tells whether a refused request has run. RanNo is said only when it is
// known.
type Ran int

// What is known of a refused request.
const (
	RanNo Ran = iota
	RanUnknown
	RanYes
)

// statuses maps reasons to HTTP statuses; what is missing is 503.
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

// Refusal is the error type of this package: why a request gets no answer,
// whether it ran, and when to come back.
type Refusal struct {
	reason     Reason
	ran        Ran
	retryAfter time.Duration
	message    string
}

func refuse(reason Reason, ran Ran, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{reason: reason, ran: ran, retryAfter: retryAfter, message: fmt.Sprintf(format, args...)}
}

// NewRefusal returns a refusal that an adapter found before the request's path
// began, so it has not run.
func NewRefusal(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return refuse(reason, RanNo, retryAfter, format, args...)
}

// NoConfiguration refuses while a node that has just started has no
// configuration.
func NoConfiguration(ran Ran) *Refusal {
	return refuse(ReasonNoConfiguration, ran, comeBackSoon, "no configuration is in force")
}

// holderUnreachable refuses for as long as nobody knows what became of the node
// that has the request.
func holderUnreachable(holder string) *Refusal {
	return refuse(ReasonHolderUnreachable, RanUnknown, comeBackSoon, "node %s, which has the request, does not answer now", holder)
}

// Error reads as code and message.
func (r *Refusal) Error() string { return r.reason.String() + ": " + r.message }

// Reason returns the stable code.
func (r *Refusal) Reason() Reason { return r.reason }

// Ran tells whether the request has run.
func (r *Refusal) Ran() Ran { return r.ran }

// RetryAfter returns when to come back; zero if coming back will not help.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// after returns the refusal as it is true of a request that a backend server
// may have run before.
func (r *Refusal) after(reached bool) *Refusal {
	if r == nil || !reached || r.ran != RanNo {
		return r
	}
	corrected := *r
	corrected.ran = RanUnknown
	return &corrected
}

// Failure returns the form in which an exchange carries the refusal.
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
