package registry

import "github.com/violettally/violettally/internal/rendezvous"

//go:generate go tool enumer -type=PutResult -trimprefix=PutResult -transform=snake -output=registry_enumer.go

// Incarnation names one run of a server, from its start to its end. A server may
// start again under its ID: it then holds and knows nothing of before, so whatever is
// believed of a server is believed of one incarnation of it.
type Incarnation struct {
	ID string
	// Born is when it started, in Unix milliseconds by its own clock; zero if its
	// entry doesn't tell. It orders the incarnations under one ID and nothing else:
	// no clock of this node is compared with it.
	Born int64
}

// Incarnation returns which one of the server the entry is of.
func (s Server) Incarnation() Incarnation { return Incarnation{s.ID, s.Born} }

// Hash is by which nodes tell each other of an incarnation. One that doesn't tell
// when it started is named by its ID alone, as by nodes that know of no incarnations.
func (i Incarnation) Hash() uint64 {
	hash := rendezvous.Hash(i.ID)
	if i.Born != 0 {
		hash = rendezvous.Score(hash, uint64(i.Born))
	}
	return hash
}

// before reports whether it is known to be the earlier one under the same ID.
func (i Incarnation) before(other Incarnation) bool { return i.Born != 0 && i.Born < other.Born }

// PutResult is what a server's entry brings.
type PutResult int

// The kinds of news.
const (
	// PutResultUpdate is of a server that is new, or whose incarnation is known.
	PutResultUpdate PutResult = iota
	// PutResultRestart is of a server that has started again.
	PutResultRestart
	// PutResultOld is of an earlier incarnation than the known one: a write that was under
	// way when the server ended. It changes nothing.
	PutResultOld
)
