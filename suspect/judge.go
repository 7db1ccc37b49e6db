package suspect

import (
	"slices"
	"time"
)

const (
	// incidentsToRefuse is the number of incidents that lead to a verdict on a content. One server
	// may crash for any reason, and two may do so one after the other.
	incidentsToRefuse = 3
	// incidentsIfAnswered is the same for a content that servers have answered.
	incidentsIfAnswered = 4
	// incidentsOfPart is the same for a prompt part. Its requests may run at several servers that
	// crash for other reasons.
	incidentsOfPart = 4
	// incidentsIfPartAnswered is the same for a part with which requests were answered, and
	// incidentsPerAnswerRate is how many more are needed for each answer a second: some requests with
	// a popular part run wherever a server crashes, and if it did crash servers, they would soon be as
	// many.
	incidentsIfPartAnswered = 5
	incidentsPerAnswerRate  = 1.0
	// incidentsApart is the number of incidents that distinguish a part from a more specific one that
	// often follows it.
	incidentsApart = 2
	// maxIncidents bounds the incidents that are needed.
	maxIncidents = 16
	// maxIncidentsPerRequest is the number of incidents in which the losses of one request count
	// against the parts of its prompt.
	maxIncidentsPerRequest = 2
	// IncidentWindow is the time within which crashes count as one incident. Crashes with a common
	// cause are detected within a few milliseconds, and their reported times are off by the network
	// delay between two nodes.
	IncidentWindow = 50 * time.Millisecond
)

// enoughEvidence reports whether the evidence against a feature suffices for a verdict. The caller
// holds mu.
func (d *Detector) enoughEvidence(f Feature) bool {
	losses := d.evidence.against[f]
	if len(losses) < incidentsToRefuse || countIncidents(f, losses) < d.incidentsNeeded(f) {
		return false
	}
	j := judgment{detector: d, until: d.timers.Steady(), margins: make(map[Feature]int)}
	if v := d.verdicts[f]; v != nil && !v.provenAt.IsZero() {
		j.until = v.provenAt
	}
	explained := make(map[uint64]bool)
	for _, l := range losses {
		if _, known := explained[l.server]; !known {
			explained[l.server] = j.explainedByOther(f, l.server)
		}
	}
	unexplained := find(losses, func(l *loss) bool { return !explained[l.server] })
	return countIncidents(f, unexplained) >= d.incidentsNeeded(f)
}

// incidentsNeeded returns the number of incidents that lead to a verdict on a feature, against which
// losses count. The caller holds mu.
func (d *Detector) incidentsNeeded(f Feature) int {
	isContent, answered := d.evidence.isContent(f), d.answeredLately(f)
	switch {
	case isContent && !answered:
		return incidentsToRefuse
	case isContent:
		return incidentsIfAnswered
	case !answered:
		return incidentsOfPart
	}
	more := int(incidentsPerAnswerRate * d.answeredParts.perSecond(f, d.timers.Steady()))
	return min(maxIncidents, incidentsIfPartAnswered+more)
}

// judgment compares the features of lost requests as causes of crashes. Losses after a time are
// left out: a feature that was refused by then wasn't sent any more, so they say nothing about it.
type judgment struct {
	detector *Detector
	until    time.Time
	// margins holds those computed so far.
	margins map[Feature]int
}

// margin returns by how many incidents the evidence against a feature exceeds what a verdict needs.
// The higher it is, the more likely the feature is the cause of the crashes.
func (j judgment) margin(f Feature) int {
	if margin, known := j.margins[f]; known {
		return margin
	}
	losses := find(j.detector.evidence.against[f], func(l *loss) bool { return !l.at.After(j.until) })
	j.margins[f] = countIncidents(f, losses) - j.detector.incidentsNeeded(f)
	return j.margins[f]
}

// explainedByOther reports whether another feature of a request that was lost at a server is the
// more likely cause of its crash than the given one.
func (j judgment) explainedByOther(f Feature, server uint64) bool {
	for _, l := range j.detector.evidence.atServer[server] {
		for _, other := range l.features {
			if other != f && j.explains(l, other, f) {
				return true
			}
		}
	}
	return false
}

// explains reports whether a feature of a lost request is the more likely cause of the crash than
// the given one, which may be a feature of the same request.
func (j judgment) explains(l *loss, other, f Feature) bool {
	against := j.detector.evidence.against[other]
	if len(against) < incidentsToRefuse || !slices.Contains(against, l) {
		return false // too few crashes, or answered since
	}
	isPart := other != l.features.content()
	isRefusedPart := isPart && j.detector.verdicts[other] != nil
	own, index := slices.Index(l.features, f), slices.Index(l.features, other)
	isSufficient := j.margin(f) >= 0
	difference := j.margin(other) - j.margin(f)
	switch {
	case own >= 0 && isPart && index > own && (isRefusedPart || !j.standsApart(f, other)):
		return true // a later part of the same prompt, which fewer sound requests have
	case own > index && isSufficient && !j.standsApart(other, f):
		return false // the same the other way round
	case own < 0 && isRefusedPart && j.isMoreSuspect(other, f) && j.countWithout(other, f) > 0:
		return true // it has crashed servers without f
	case isSufficient && j.isMoreSuspect(f, other):
		return false
	case own < 0 && difference == 0:
		return isRefusedPart && j.detector.verdicts[f] == nil
	}
	return difference > 0
}

// isMoreSuspect reports whether no request with a feature was answered lately, but some with another.
func (j judgment) isMoreSuspect(f, other Feature) bool {
	return !j.detector.answeredLately(f) && j.detector.answeredLately(other)
}

// standsApart reports whether a part that is often followed by a more specific one was lost without
// it repeatedly. Otherwise the more specific one, which fewer sound requests have, is the cause.
func (j judgment) standsApart(f, moreSpecific Feature) bool {
	return j.countWithout(f, moreSpecific) >= incidentsApart
}

// countWithout returns the number of incidents in which requests with a feature were lost, and none
// with another, nor with a part that is refused.
func (j judgment) countWithout(f, other Feature) int {
	return countIncidents(f, find(j.detector.evidence.against[f], func(l *loss) bool {
		return !slices.ContainsFunc(j.detector.evidence.atServer[l.server], func(at *loss) bool {
			return slices.Contains(at.features, other) || j.detector.hasRefusedPart(at, f)
		})
	}))
}
