package suspect

import "time"

// maxAnswers bounds the answered requests that are kept to some 200 kB. The oldest one is
// dropped first.
const maxAnswers = 4096

// answerLog holds the requests that were answered last.
type answerLog struct {
	answeredAt map[uint64]time.Time
	// ring holds the digests in the order of their first answers; oldest is the index that
	// is overwritten next.
	ring   []uint64
	oldest int
}

func newAnswerLog() *answerLog {
	return &answerLog{answeredAt: make(map[uint64]time.Time, maxAnswers), ring: make([]uint64, maxAnswers)}
}

// add records an answer.
func (a *answerLog) add(digest uint64, at time.Time) {
	if _, known := a.answeredAt[digest]; !known {
		delete(a.answeredAt, a.ring[a.oldest])
		a.ring[a.oldest] = digest
		a.oldest = (a.oldest + 1) % len(a.ring)
	}
	a.answeredAt[digest] = at
}

// answeredSince reports whether the request was answered after the given time.
func (a *answerLog) answeredSince(digest uint64, earliest time.Time) bool {
	return a.answeredAt[digest].After(earliest)
}
