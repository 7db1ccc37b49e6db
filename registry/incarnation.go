package registry

import "github.com/violettally/violettally/internal/rendezvous"

//go:generate go tool enumer -type=News -trimprefix=News -transform=snake -output=registry_enumer.go

// Start names one start of a server. A server may start again under its ID: it
// then holds and knows nothing of before, so whatever is believed of a server is
// believed of one start of it.
type Start struct {
	ID string
	// Born is when it started, in Unix milliseconds by its own clock; zero if its
	// entry doesn't tell. It orders the starts under one ID and nothing else: no
	// clock of this node is compared with it.
	Born int64
}

// Start returns which start of the server the entry is of.
func (s Server) Start() Start { return Start{s.ID, s.Born} }

// Hash is by which nodes tell each other of a start. One that doesn't tell when it
// began is named by its ID alone, as by nodes that don't know of starts.
func (s Start) Hash() uint64 {
	hash := rendezvous.Hash(s.ID)
	if s.Born != 0 {
		hash = rendezvous.Score(hash, uint64(s.Born))
	}
	return hash
}

// before reports whether a start under the same ID is known to be earlier.
func (s Start) before(other Start) bool { return s.Born != 0 && s.Born < other.Born }

// News is what a server's entry brings.
type News int

// The kinds of news.
const (
	// NewsUpdate is of a server that is new, or whose start is known.
	NewsUpdate News = iota
	// NewsStart is of a server that has started again.
	NewsStart
	// NewsOld is of an earlier start than the one that is known: a write that was
	// under way when the server ended. It changes nothing.
	NewsOld
)
