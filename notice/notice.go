// Package notice holds what backend servers say of themselves in their answers: that they are about
// to leave, that they want no more requests for a while, and how many requests they take and can
// reject.
//
// What a server says of itself is the latest news of it. The platform's store and other nodes may
// know the same later, or not at all while they are out of reach. A [Board] keeps it with its
// source and age; older news changes nothing. That a server leaves or wants rest is about one
// incarnation of it, how many requests it takes about the server: the limit holds until the next
// incarnation has answered.
//
// How few requests it can reject is said by all servers of a service at the same times. A server of
// which nothing is known, since it has just started, counts as saying so as well until its first answer.
//
// Nodes learn of it from answers to their own requests, and, where it concerns all nodes, from the
// reports of others. A node that hears something again and again reports it again. A limit that
// nobody has confirmed for a while is forgotten, at each node at another time, so that the first one
// learns of it again by its next answer and tells the others. A node that starts learns what another one knows.
//
// Of an answer it is known that the server wrote it after the request was sent and before the answer was
// read, of a report that it was written some time before it came. Until it is sure which of two notices is
// the later, the stricter one holds.
//
// # Usage
//
//	b := notice.New(roster, timers, notice.WithReporter(sendToOtherNodes))
//	headers := notice.Headers{RequestLimit: "X-Request-Limit", RejectionLimit: "X-Rejection-Limit", Leaving: "X-Leaving"}
//	b.Observe(server, notice.Answer{Notices: headers.Decode(response), SentAgo: …})  // for each answer
//	b.ObserveReport(report)  // for each report of another node
//	b.Learn(known, took)     // at the start, what another node's Known returned
//	… b.State(server) …
package notice

import (
	"fmt"
	"math"
	"time"

	"github.com/violettally/violettally/registry"
)

//go:generate go tool enumer -type=Kind,Source -trimprefix=Kind,Source -transform=snake -output=notice_enumer.go

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
	// KindServiceRejectionLimit: how many requests a second servers of a service can reject. It is
	// concluded from notices of KindRejectionLimit and kept by service.
	KindServiceRejectionLimit
)

const kindCount = int(KindServiceRejectionLimit) + 1

// isLimit reports whether notices of this kind name a number of requests a second.
func (k Kind) isLimit() bool {
	return k == KindRequestLimit || k == KindRejectionLimit || k == KindServiceRejectionLimit
}

// isShared reports whether notices of this kind concern all nodes, rather than the one that was
// answered.
func (k Kind) isShared() bool { return k.isLimit() || k == KindLeaving }

// subject returns the hash of what a notice of this kind is about. A server that names a request limit goes on
// to be in need after a restart, so that its next incarnation counts as naming the limit until it answers;
// what else it says is about the incarnation that said it.
func (k Kind) subject(s *registry.Server) uint64 {
	if k == KindRequestLimit {
		return s.IDHash()
	}
	return s.Hash()
}

// concernsTunnels reports whether both ends of a tunnel are to know the notice at once: to the server,
// their requests come from one node.
func (n Notice) concernsTunnels() bool {
	return (n.Kind == KindLeaving || n.Kind == KindRest) && !n.IsAbsent()
}

// Unlimited is the value of a limit of a server that names none.
var Unlimited = math.Inf(1)

// Notice is one thing that an answer of a server says of the server.
type Notice struct {
	Kind Kind
	// Value is a limit in requests a second, a rest in seconds, or one for a server that leaves;
	// [Kind.Absent] if the answer says nothing of the kind.
	Value float64
}

// isStricter reports whether the notice asks more of the nodes than a value of its kind does.
func (n Notice) isStricter(value float64) bool {
	if n.Kind.isLimit() {
		return n.Value < value
	}
	return n.Value > value
}

// endTime is how much later than the last notice of this kind an answer must be that takes it back.
func (k Kind) endTime() time.Duration {
	if k == KindServiceRejectionLimit {
		return serviceEndTime
	}
	return 0
}

// Absent is the value of a notice of this kind in an answer that says nothing of it.
func (k Kind) Absent() float64 {
	if k.isLimit() {
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
