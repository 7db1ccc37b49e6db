// Package inbound bounds what the clients of a process may take of it: connections, and the
// memory of their requests. It is for servers whose clients are not controlled.
//
// A [Budget] holds the memory that all requests of a process may take together. A [Listener]
// accepts a bounded number of connections for an [http.Server]. It passes a request's head on
// only once it is whole, within the limits for clients, and once the budget has room for what
// net/http and the handler make of it, which is many times the size of a head of short lines.
//
// When there is no room, the connection that has made its process wait for longest is closed
// in favour of the new one: it has sent nothing, part of a request, or does not read its
// answer. A request that is being served is never ended. If nobody waits, the new request is
// refused after a short while: 503, with when to come back. Large requests leave a part of the
// budget to the others, so that many of them cannot keep ordinary ones out.
//
// # Usage
//
//	budget := inbound.NewBudget(32 << 20)
//	listener := budget.Listen(inner, inbound.WithConns(1000), inbound.WithLimits(limits))
//	err := listener.Serve(&http.Server{Handler: handler})
//
// A handler that keeps a body in memory charges it:
//
//	body := inbound.ChargeBody(r, bytesPerByte, maxBytes)
//	data, err := io.ReadAll(body) // NoRoom if there was none, or if it was given up for others
package inbound

import (
	"time"

	"github.com/violettally/violettally/internal/errs"
)

//go:generate go tool enumer -type=Refusal -trimprefix=Refusal -transform=snake -output=inbound_enumer.go

var (
	namespace = errs.Namespace("inbound")

	// NoRoom is the type of errors of requests for which there is no room. They have not run.
	NoRoom = namespace.NewType("no_room")
	// Rejected is the type of errors of connections that were closed with an answer of this package.
	Rejected = namespace.NewType("rejected")
)

// Refusal is why a request or a connection was refused before a handler got it.
type Refusal int

// The refusals.
const (
	// RefusalNoRoom means that the budget had no room for a request.
	RefusalNoRoom Refusal = iota
	// RefusalHeadTooLarge means that a head exceeded its limit.
	RefusalHeadTooLarge
	// RefusalHeadLate means that a head was not whole in time.
	RefusalHeadLate
	// RefusalConnection means that a new connection was closed, since there were too many.
	RefusalConnection
	// RefusalEvicted means that an open connection was closed to make room for others.
	RefusalEvicted
)

// RetryAfter is when clients that were refused for want of room should come back, and retryAfterSeconds the same in
// the form of the header.
const (
	RetryAfter        = time.Second
	retryAfterSeconds = "1"
)

// Limits restrict what a client may send. The time limits are zero for none.
type Limits struct {
	// HeadBytes bounds the request line and the header lines.
	HeadBytes int
	// HeadTime is the time from the first byte of a head to its last.
	HeadTime time.Duration
	// IdleTime is the time that a connection may stay open without a request.
	IdleTime time.Duration
}

// DefaultLimits apply where no others are set.
var DefaultLimits = Limits{HeadBytes: 32 << 10, HeadTime: 5 * time.Second, IdleTime: 30 * time.Second}

// RequestLineBytes is what a limit for header lines alone has to be raised by, since [Limits] count the request line.
const RequestLineBytes = 4 << 10

// What a request takes in memory, with what net/http and the handlers make of it, in bytes.
const (
	// requestBytes is taken by any request: goroutines, buffers, the connection to a server, the beginning of an answer.
	requestBytes = 96 << 10
	// bytesPerHeadByte counts the copies of a head.
	bytesPerHeadByte = 6
	// bytesPerLine is taken by a header line besides its bytes: entries in the maps that hold it.
	bytesPerLine = 400
	// largeRequest is the smallest size of a large request.
	largeRequest = 192 << 10
)

// What the kernel holds of a connection that the process has not read counts as its memory. HeadReceiveBuffer is for
// the sockets of listeners, whose connections inherit it; bodyReceiveBuffer is for those on which a body comes for
// which there is room. Both are in bytes.
const (
	HeadReceiveBuffer = 4 << 10
	bodyReceiveBuffer = 16 << 10
)

// headSize returns what a request with a head of so many bytes and lines takes in memory.
func headSize(bytes, lines int) int64 {
	return requestBytes + bytesPerHeadByte*int64(bytes) + bytesPerLine*int64(lines)
}
