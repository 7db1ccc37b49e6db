package route

import (
	"math"
	"time"
)

// How quickly servers begin their answers is measured against what they were
// expected to take, in the manner of TCP's retransmission timer (RFC 6298): a
// running mean and a running deviation.
const (
	// paceMemory is the weight of one answer in the mean of its kind, and
	// deviationMemory in the deviation, as in RFC 6298.
	paceMemory      = 1.0 / 8
	deviationMemory = 1.0 / 4
	// deviations above the mean an answer is called late (RFC 6298, K).
	deviations = 4
	// paceSamples are needed before an answer is called late.
	paceSamples = 10
	// serverMemory is the weight of one answer in what is known of a server's
	// speed: slow ones are seen after a few answers. Failures are rarer, and
	// some lie in the requests, so failureMemory is longer.
	serverMemory  = 0.2
	failureMemory = 0.05
	// usualSlowness is how much slower than usual a server may look by chance.
	usualSlowness = 1.5
	// usualFailures is the share of failures that may lie in the requests; the
	// sheets have 14 in 100 for one kind.
	usualFailures = 0.25
	// usualSilence is how many times longer than expected a server may be
	// silent by chance.
	usualSilence = 5
	// slowest bounds how many times slower than usual one answer counts.
	slowest = 12.0
	// paceHalfLife is how soon what is known of a server that is not used is
	// forgotten, so that one that has recovered is tried again.
	paceHalfLife = 4 * time.Second
	// failureCost is the wait that a server which fails every request is put
	// behind, in milliseconds.
	failureCost = 800.0
)

// paces are by kind of request; the balancer's lock guards them.
type paces map[string]*pace

// pace is how long answers of one kind take to begin, as a multiple of what
// was expected of an idle server of the usual speed.
type pace struct {
	mean      float64
	deviation float64
	samples   int
	at        time.Time
}

// learn takes one answer's multiple and returns it against the mean before.
func (p paces) learn(kind string, multiple float64, now time.Time) float64 {
	k := p[kind]
	if k == nil {
		p[kind] = &pace{mean: multiple, deviation: multiple / 2, samples: 1, at: now}
		return 1
	}
	k.at = now
	relative := multiple / math.Max(k.mean, math.SmallestNonzeroFloat64)
	// One answer of a dead server must not make all others look quick.
	multiple = math.Min(multiple, slowest*k.mean)
	k.deviation += deviationMemory * (math.Abs(multiple-k.mean) - k.deviation)
	k.mean += paceMemory * (multiple - k.mean)
	k.samples++
	return relative
}

// late returns the multiple beyond which an answer of a kind is late; zero
// while too little is known.
func (p paces) late(kind string) float64 {
	k := p[kind]
	if k == nil || k.samples < paceSamples {
		return 0
	}
	return k.mean + deviations*k.deviation
}

// mean returns the usual multiple of a kind, one while nothing is known.
func (p paces) mean(kind string) float64 {
	if k := p[kind]; k != nil {
		return k.mean
	}
	return 1
}

// now returns the usual multiple of a kind as far as it may still hold: what is
// not asked for any more is taken for quick again after a while, so that it is
// tried.
func (p paces) now(kind string, now time.Time) float64 {
	k := p[kind]
	if k == nil {
		return 1
	}
	return 1 + fresh(now.Sub(k.at), paceHalfLife)*math.Max(0, k.mean-1)
}

// record is how a server has done lately against all servers.
type record struct {
	// slowness is how many times as long as usual its answers take to begin,
	// one if nothing is known.
	slowness float64
	// failures is the share of its answers that were failures.
	failures float64
	at       time.Time
}

// decayed returns the record as it counts now.
func (r record) decayed(now time.Time) record {
	if r.at.IsZero() {
		return record{slowness: 1, at: now}
	}
	weight := fresh(now.Sub(r.at), paceHalfLife)
	return record{
		slowness: 1 + weight*(r.slowness-1),
		failures: weight * r.failures,
		at:       now,
	}
}

// learnPace takes how many times as long as usual an answer took to begin.
func (r *record) learnPace(now time.Time, relative float64) {
	*r = r.decayed(now)
	r.slowness += serverMemory * (math.Min(slowest, relative) - r.slowness)
}

// cost is what a request pays at the server beside its queue, in milliseconds:
// for being slow, as a multiple of what the request takes otherwise, and for
// failing.
func (r record) cost(now time.Time, takes float64) float64 {
	r = r.decayed(now)
	return math.Max(0, r.slowness-usualSlowness)*takes + failureCost*math.Max(0, r.failures-usualFailures)
}

// learnFailure takes whether an answer was a failure.
func (r *record) learnFailure(now time.Time, failed bool) {
	*r = r.decayed(now)
	share := 0.0
	if failed {
		share = 1
	}
	r.failures += failureMemory * (share - r.failures)
}
