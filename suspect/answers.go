package suspect

import (
	"math"
	"time"
)

const (
	// maxAnswers bounds the answered features that one log keeps to some 300 kB. The oldest one is
	// dropped first.
	maxAnswers = 4096
	// answerRateWindow is the time over which the rate of answers is averaged.
	answerRateWindow = 30 * time.Second
)

// answerLog holds the features of the requests that were answered last.
type answerLog struct {
	records map[Feature]answerRecord
	// ring holds the features in the order of their first answers; oldest is the index that is
	// overwritten next.
	ring   []Feature
	oldest int
}

// answerRecord is what an answerLog holds of one feature.
type answerRecord struct {
	// begun is when the last of the whole answers had begun.
	begun time.Time
	// count is the number of answers, also of those that are not whole yet, those before updatedAt
	// reduced by their age.
	count     float64
	updatedAt time.Time
}

func newAnswerLog() *answerLog {
	return &answerLog{records: make(map[Feature]answerRecord, maxAnswers), ring: make([]Feature, maxAnswers)}
}

// add records a whole answer.
func (a *answerLog) add(f Feature, begun, now time.Time) {
	a.count(f, now)
	if r := a.records[f]; begun.After(r.begun) {
		r.begun = begun
		a.records[f] = r
	}
}

// count counts an answer that need not be whole yet.
func (a *answerLog) count(f Feature, now time.Time) {
	r, known := a.records[f]
	if !known {
		delete(a.records, a.ring[a.oldest])
		a.ring[a.oldest] = f
		a.oldest = (a.oldest + 1) % len(a.ring)
	}
	r.count, r.updatedAt = r.remaining(now)+1, now
	a.records[f] = r
}

// remaining returns the number of answers reduced by their age.
func (r answerRecord) remaining(now time.Time) float64 {
	return r.count * math.Exp(-float64(now.Sub(r.updatedAt))/float64(answerRateWindow))
}

// countedSince reports whether an answer with the feature was counted after the given time.
func (a *answerLog) countedSince(f Feature, earliest time.Time) bool {
	return a.records[f].updatedAt.After(earliest)
}

// begunSince reports whether a whole answer with the feature has begun after the given time.
func (a *answerLog) begunSince(f Feature, earliest time.Time) bool {
	return a.records[f].begun.After(earliest)
}

// perSecond returns the rate of answers with a feature over the last answerRateWindow or so.
func (a *answerLog) perSecond(f Feature, now time.Time) float64 {
	return a.records[f].remaining(now) / answerRateWindow.Seconds()
}
