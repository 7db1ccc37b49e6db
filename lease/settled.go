package lease

import (
	"time"

	"github.com/violettally/violettally/internal/rendezvous"
)

// Settled is a holder's lease as seen by work that must not change hands quickly: it counts
// as held only once it has been held for some time. Two nodes that take the lease in turns,
// A, B and A again, then act at least twice that time apart.
type Settled struct {
	holder *Holder
	after  time.Duration
}

// Settled returns the lease as held from the given time after its acquisition on.
func (h *Holder) Settled(after time.Duration) Settled { return Settled{holder: h, after: after} }

// Held returns the fencing token, and whether the lease has settled and is certain to remain
// valid for another d.
func (s Settled) Held(d time.Duration) (token int64, ok bool) {
	token, held := s.holder.Held(d)
	return token, held && s.holder.HeldFor() >= s.after
}

// rankDelay is how much longer each further node leaves a vacant lease to those ranked before
// it: enough for the change of the store to reach the others.
const rankDelay = 400 * time.Millisecond

// Rank returns how many of the other nodes come before this one as candidates for a lease.
// Each lease has an order of its own.
func Rank(name, self string, others []string) int {
	key := rendezvous.Hash(name)
	own := rendezvous.Score(key, rendezvous.Hash(self))
	rank := 0
	for _, other := range others {
		if rendezvous.Score(key, rendezvous.Hash(other)) > own {
			rank++
		}
	}
	return rank
}

// Vacancy tells a node when to compete for a lease that nobody holds, so that only a few of
// many nodes call the store. It is not safe for concurrent use.
type Vacancy struct {
	since time.Time
}

// Observe records whether the lease is vacant at the given time. It reports whether a node of
// the given rank may compete for it; rank is called only while the lease is vacant.
func (v *Vacancy) Observe(vacant bool, now time.Time, rank func() int) bool {
	if !vacant {
		v.since = time.Time{}
		return false
	}
	if v.since.IsZero() {
		v.since = now
	}
	return now.Sub(v.since) >= time.Duration(rank())*rankDelay
}
