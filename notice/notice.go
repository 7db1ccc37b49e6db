// Package notice holds what backend servers say of themselves in their answers: that they are about
// to leave, that they want no more requests for a while, and how many requests they take and can
// reject.
//
// What a server says of itself is the latest news of it. The platform's store and other nodes may
// know the same later, or not at all while they are out of reach.
//
// # Usage
//
//	headers := notice.Headers{RequestLimit: "X-Request-Limit", RejectionLimit: "X-Rejection-Limit", Leaving: "X-Leaving"}
//	for _, n := range headers.Decode(response) {
//		… n.Kind, n.Value …
//	}
package notice

import (
	"fmt"
	"math"
)

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=snake -output=notice_enumer.go

// Kind is what a notice is about. The numbers are part of the messages between nodes.
type Kind uint8

// The kinds.
const (
	KindNone Kind = iota
	// KindRequestLimit: how many requests a second the server takes from all nodes together.
	KindRequestLimit
	// KindRejectionLimit: how many requests a second the server can reject.
	KindRejectionLimit
	// KindLeaving: the server is about to end and takes no new requests.
	KindLeaving
	// KindRest: the server wants no requests of the node that it answered for a while.
	KindRest
)

// Unlimited is the value of a limit of a server that names none.
var Unlimited = math.Inf(1)

// Notice is one thing that an answer of a server says of the server.
type Notice struct {
	Kind Kind
	// Value is a limit in requests a second, a rest in seconds, or one for a server that leaves;
	// [Kind.Absent] if the answer says nothing of the kind.
	Value float64
}

// Absent is the value of a notice of this kind in an answer that says nothing of it.
func (k Kind) Absent() float64 {
	if k == KindRequestLimit || k == KindRejectionLimit {
		return Unlimited
	}
	return 0
}

// String describes the notice, for logs.
func (n Notice) String() string {
	switch n.Kind {
	case KindLeaving:
		return "that it leaves"
	case KindRest:
		return fmt.Sprintf("that it wants rest for %.3g s", n.Value)
	default:
		return fmt.Sprintf("%s %.3g a second", n.Kind, n.Value)
	}
}

// IsAbsent reports whether the answer says nothing of the kind.
func (n Notice) IsAbsent() bool { return n.Value == n.Kind.Absent() }
