package suspect

import (
	"math"
	"slices"
	"time"
)

const (
	// maxAnswers bounds the answered features that one log keeps to some 300 kB. The oldest one is
	// dropped first.
	maxAnswers = 4096
	// answerRateWindow is the time over which the rate of answers is averaged.
	answerRateWindow = 30 * time.Second
	// minAnswerRateWindow is the same for a node that has just started.
	minAnswerRateWindow = time.Second
	// answerSlack is how long after its beginning an answer clears its request of losses: a part that
	// crashes servers from some moment on is still answered by those that had begun.
	answerSlack = 500 * time.Millisecond
	// SurvivalTime is how long after its beginning an answer shows that requests with the parts of its
	// prompt are usually answered. It clears them of nothing before it is whole.
	SurvivalTime = time.Second
)

// AnsweredLately returns those of a request's features with which this node knows of answers.
func (d *Detector) AnsweredLately(features Features) Features {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(features), func(f Feature) bool { return !d.answeredLately(f) })
}

// answeredLately reports whether requests with a feature were answered lately. The caller holds mu.
func (d *Detector) answeredLately(f Feature) bool {
	earliest := d.timers.Steady().Add(-Retention)
	return d.answeredContents.countedSince(f, earliest) || d.answeredParts.countedSince(f, earliest)
}

// answeredSince reports whether a whole answer to a request with a feature has begun since a time.
// The caller holds mu.
func (d *Detector) answeredSince(f Feature, earliest time.Time) bool {
	return d.answeredContents.begunSince(f, earliest) || d.answeredParts.begunSince(f, earliest)
}

// Answer is what an answer to a request cleared.
type Answer struct {
	Change
	// Cleared are those of its features against which there was evidence, or a verdict.
	Cleared Features
	// Ago is how long ago the losses were up to which the answer clears them.
	Ago time.Duration
	// Repeated means that one of them had several losses, or a verdict.
	Repeated bool
}

// RecordAnswer records that a server has just answered a request of this node, by an answer that
// began the given time ago. That clears the request's features of the losses until shortly after
// that.
func (d *Detector) RecordAnswer(features Features, begunAgo time.Duration) Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timers.Steady()
	begun := now.Add(-begunAgo)
	for _, f := range features.parts() {
		d.answeredParts.add(f, begun, now)
	}
	d.answeredContents.add(features.content(), begun, now)
	ago := max(0, begunAgo-answerSlack)
	answer := d.clear(features, begun, begun.Add(begunAgo-ago))
	answer.Ago = ago
	return answer
}

// RecordSurvival records that a server has been answering a request of this node for SurvivalTime.
func (d *Detector) RecordSurvival(features Features) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timers.Steady()
	for _, f := range features.parts() {
		d.answeredParts.count(f, now)
	}
}

// RecordPeerAnswer records which features an answer of another node has cleared of the losses until
// the given time ago.
func (d *Detector) RecordPeerAnswer(cleared Features, ago time.Duration) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timers.Steady()
	until := now.Add(-ago)
	begun := until.Add(-answerSlack)
	for _, f := range cleared {
		d.answeredParts.add(f, begun, now)
	}
	return d.clear(cleared, begun, until).Change
}

// clear clears features of the losses until a time, by an answer that began at the given one. The
// caller holds mu.
func (d *Detector) clear(features Features, begun, until time.Time) Answer {
	var answer Answer
	var affected []*loss
	for _, f := range features {
		cleared := d.evidence.clear(f, until)
		ended := d.endIfAnswered(f, begun)
		if ended {
			answer.Withdrawn = append(answer.Withdrawn, f)
		}
		if ended || len(cleared) > 0 {
			answer.Cleared = append(answer.Cleared, f)
		}
		answer.Repeated = answer.Repeated || ended || len(cleared) > 1
		affected = append(affected, cleared...)
	}
	change := d.review(featuresOf(affected))
	answer.Refused = change.Refused
	answer.Withdrawn = append(answer.Withdrawn, change.Withdrawn...)
	return answer
}

// endIfAnswered ends a verdict for which this node has no evidence of its own, if an answer began
// after what it relies on. The caller holds mu.
func (d *Detector) endIfAnswered(f Feature, begun time.Time) bool {
	v := d.verdicts[f]
	if v == nil || !v.provenAt.IsZero() || !begun.After(v.evidenceBefore()) {
		return false
	}
	d.endVerdict(f)
	return true
}

// answerLog holds the features of the requests that were answered last.
type answerLog struct {
	begun   time.Time
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

func newAnswerLog(now time.Time) *answerLog {
	return &answerLog{begun: now, records: make(map[Feature]answerRecord, maxAnswers), ring: make([]Feature, maxAnswers)}
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

// perSecond returns the rate of answers with a feature over the last answerRateWindow or so, or since
// the log was begun.
func (a *answerLog) perSecond(f Feature, now time.Time) float64 {
	window := min(answerRateWindow, max(minAnswerRateWindow, now.Sub(a.begun)))
	return a.records[f].remaining(now) / window.Seconds()
}
