package registry

import "github.com/violettally/violettally/internal/rendezvous"

//go:generate go tool enumer -type=PutResult,Use -trimprefix=PutResult,Use -transform=snake -output=registry_enumer.go

// Incarnation identifies one run of a server process, from its start to its end. A
// server may restart under the same ID without any of its former state, so all state
// that is kept about a server applies to one incarnation only.
type Incarnation struct {
	ID string
	// Born is when the server started, in Unix milliseconds by the server's own clock;
	// zero if its entry does not say. It only orders the incarnations under one ID, and
	// is never compared with a clock of this node.
	Born int64
}

// Incarnation returns the incarnation of the server that the entry describes.
func (s Server) Incarnation() Incarnation { return Incarnation{s.ID, s.Born} }

// Hash returns the hash by which nodes refer to an incarnation in messages. Without a
// start time it is the hash of the ID alone, which is also the hash at nodes that do
// not support incarnations.
func (i Incarnation) Hash() uint64 {
	hash := rendezvous.Hash(i.ID)
	if i.Born != 0 {
		hash = rendezvous.Score(hash, uint64(i.Born))
	}
	return hash
}

// before reports whether i is known to be earlier than another incarnation under the
// same ID.
func (i Incarnation) before(other Incarnation) bool { return i.Born != 0 && i.Born < other.Born }

// PutResult is the outcome of [Registry.Put].
type PutResult int

// The outcomes of Put.
const (
	// PutResultUpdate is the entry of a new server, or of the known incarnation of a
	// server.
	PutResultUpdate PutResult = iota
	// PutResultRestart is the entry of a server that has restarted.
	PutResultRestart
	// PutResultOld is the entry of an earlier incarnation than the known one: a write
	// that was still in progress when the server ended. It changes nothing.
	PutResultOld
)
