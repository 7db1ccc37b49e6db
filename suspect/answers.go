package suspect

import "time"

// maxAnswers bounds what is remembered of answered requests, some 200 kB. The oldest
// gives way.
const maxAnswers = 4096

// answers are the requests that were answered last.
type answers struct {
	at map[uint64]time.Time
	// ring holds the digests in the order in which they came; next is where the next
	// one goes.
	ring []uint64
	next int
}

func newAnswers() *answers {
	return &answers{at: make(map[uint64]time.Time, maxAnswers), ring: make([]uint64, maxAnswers)}
}

// add notes an answer.
func (a *answers) add(digest uint64, at time.Time) {
	if _, known := a.at[digest]; !known {
		delete(a.at, a.ring[a.next])
		a.ring[a.next] = digest
		a.next = (a.next + 1) % len(a.ring)
	}
	a.at[digest] = at
}

// since reports whether the request was answered after a time.
func (a *answers) since(digest uint64, earliest time.Time) bool {
	return a.at[digest].After(earliest)
}
