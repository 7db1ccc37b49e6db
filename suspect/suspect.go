// Package suspect detects requests that crash backend servers, so that they can be
// refused. A server that crashes drops all requests that it runs, and each client that
// gets no response retries: requests that crash their servers take down one server
// after another, and each time fail the other requests there.
//
// What makes a server crash is a [Feature] of the request: its content, or a part of its
// prompt that other requests have as well, however little else they have in common. The
// content is known by what servers receive, since a client retries under a new request ID.
//
// The evidence consists of losses: requests that a server left without a response when it
// crashed, recorded by their features and by incarnation of the server, and collected from
// all nodes. Each crash loses many requests, which share features with yet more. The cause
// is what was present at every crash and was never answered, so a loss counts against a
// feature only
//   - until a request with it is answered, by an answer that began after the crash;
//   - if no other feature of a request that was lost at the same server explains the crash
//     better: one that was lost at more servers, that was not answered lately while this one was,
//     or that is a later part of the same prompt, which fewer sound requests have.
//
// Servers that crash within [IncidentWindow], such as those of a rack or of a data hall,
// count as one incident. Features that were answered lately need more incidents than others.
//
// A server that still runs has not crashed. Before a node records a loss, it asks the server
// (see [Detector.AddUnconfirmed]), and recorded losses are dropped when the server is found to
// run later: it responds to a request that was sent later, or its entry stays in the store.
//
// With enough evidence there is a verdict: requests with the feature are refused. All nodes learn
// of a verdict, and it outlasts their processes, since the caller stores it (see [Syncer]).
// A few times a probe sends one such request, since the verdict may be wrong or the servers'
// software may have been fixed.
//
// # Usage
//
//	detector := suspect.New(timers)
//	features := suspect.NewFeatures(path, body, length, sharedParts)
//	if len(detector.Refused(features)) > 0 {
//		return … // it is not sent to any server
//	}
//	change, isNew := detector.RecordLoss(suspect.Loss{…}) // here, or received from a peer
//	for _, f := range change.Refused {
//		… // write the verdict to the store
//	}
//	… // requests with change.Withdrawn are no longer refused
//	detector.RecordAnswer(features, begunAgo)
//	detector.ServerResponded(server.Incarnation().Hash(), sentAgo, openedAgo)
//	detector.Review(running) // periodically, with the servers that run
package suspect

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
)

const (
	// confirmTimeout is how long a server counts as crashed because of a lost response
	// alone. The entry of a crashed server is removed, or registered anew, after 2.5 to
	// 3.5 s; with 3 s, a request that had crashed three servers was sent again.
	confirmTimeout = 6 * time.Second
	// MinRestartTime is the shortest time from a crash until the server is back: it
	// loads its models first.
	MinRestartTime = 2 * time.Second
	// maxTransitTime is how long data that a server sent before its crash may be in
	// transit.
	maxTransitTime = 200 * time.Millisecond
	// Retention is how long losses, and verdicts of requests that are not sent, are kept. A fix
	// of the servers' software is deployed by a rollout, which takes about as long.
	Retention = 10 * time.Minute
)

// Change is what new evidence changed.
type Change struct {
	// Refused are the features whose requests are refused from now on, Withdrawn those whose
	// requests no longer are.
	Refused, Withdrawn []Feature
	// Contested are those with a verdict of another node that this one has not applied, since it
	// has an answer that began after the losses.
	Contested []Feature
}

// Loss is a request that a server left without a response when it crashed.
type Loss struct {
	Features Features
	// Server is the hash of the server's incarnation.
	Server uint64
	// Ago is how long ago that was.
	Ago time.Duration
	// Own means that this node had sent the request.
	Own bool
	// Answered are those of the features with which the node that had sent it knows of answers.
	Answered Features
}

// Detector holds the losses and verdicts that one node has recorded. It is safe for concurrent
// use.
type Detector struct {
	timers    *timer.Service
	startedAt time.Time

	mu       sync.Mutex
	evidence *evidence
	// abandoned are the latest abandoned attempts, in order.
	abandoned []abandonment
	// unconfirmed holds, by server, ends of attempts at servers that may still run.
	unconfirmed map[uint64][]unconfirmed
	// answeredContents and answeredParts hold the features of answered requests.
	answeredContents, answeredParts *answerLog
	verdicts                        map[Feature]*verdict
	// staleAt is when the copy of the servers' entries was last too old to rely on.
	staleAt time.Time
	// withdrawnAt holds when a verdict was last withdrawn here.
	withdrawnAt map[Feature]time.Time
}

// New returns a detector without evidence.
func New(timers *timer.Service) *Detector {
	return &Detector{
		timers:           timers,
		startedAt:        timers.Steady(),
		evidence:         newEvidence(),
		unconfirmed:      make(map[uint64][]unconfirmed),
		answeredContents: newAnswerLog(timers.Steady()),
		answeredParts:    newAnswerLog(timers.Steady()),
		verdicts:         make(map[Feature]*verdict),
		withdrawnAt:      make(map[Feature]time.Time),
	}
}

// Empty reports whether there is no evidence and no verdict against any request, so that
// the caller can skip computing features.
func (d *Detector) Empty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.evidence.losses) == 0 && len(d.verdicts) == 0 && len(d.unconfirmed) == 0
}

// RecordLoss records a loss, and reports whether it is new. What happened before this node started
// is left out: it doesn't know which requests were answered since.
func (d *Detector) RecordLoss(l Loss) (change Change, isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.timers.Steady().Add(-l.Ago)
	if len(l.Features) == 0 || at.Before(d.startedAt) || d.evidence.has(l.Features.content(), l.Server) {
		return Change{}, false
	}
	for _, f := range l.Answered {
		if !d.answeredLately(f) {
			d.answeredParts.add(f, at.Add(-answerSlack), at)
		}
	}
	dropped := d.evidence.add(&loss{features: l.Features, server: l.Server, at: at, own: l.Own})
	if dropped != nil {
		d.expire(dropped)
	}
	return d.review(append(d.refusedAt(l.Server), l.Features...)), true
}

// refusedAt returns the refused features of the requests that were lost at a server, which another
// loss there may explain. The caller holds mu.
func (d *Detector) refusedAt(server uint64) Features {
	if len(d.verdicts) == 0 {
		return nil
	}
	return slices.DeleteFunc(featuresOf(d.evidence.atServer[server]), func(f Feature) bool { return d.verdicts[f] == nil })
}

// HasOwnLoss reports whether a loss counts against a feature that was this node's own.
func (d *Detector) HasOwnLoss(f Feature) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.evidence.against[f], func(l *loss) bool { return l.own })
}

// IsContent reports whether a feature is known to be the content of a request.
func (d *Detector) IsContent(f Feature) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.evidence.against[f]) > 0 && d.evidence.isContent(f)
}

// review compares verdicts on features with the evidence, and begins and ends them accordingly, the
// last feature first: of one request that is the most specific one. The caller holds mu.
func (d *Detector) review(features Features) Change {
	var begun, ended []Feature
	for _, f := range slices.Backward(features) {
		v, proven := d.verdicts[f], d.enoughEvidence(f)
		now := d.timers.Steady()
		switch {
		case proven && v == nil:
			d.verdicts[f] = &verdict{lastProbe: now, renewedAt: now, provenAt: now}
			begun = append(begun, f)
		case proven && v.provenAt.IsZero():
			v.provenAt = now
		case !proven && v != nil && !v.provenAt.IsZero():
			d.endVerdict(f)
			ended = append(ended, f)
		}
	}
	ended = append(ended, d.reviewOthers(begun)...)
	return Change{
		Refused:   slices.DeleteFunc(slices.Clone(begun), func(f Feature) bool { return d.verdicts[f] == nil }),
		Withdrawn: slices.DeleteFunc(ended, func(f Feature) bool { return slices.Contains(begun, f) }),
	}
}

// reviewOthers ends the verdicts that new ones explain, and returns their features. The caller holds
// mu.
func (d *Detector) reviewOthers(begun []Feature) []Feature {
	var ended []Feature
	for _, f := range begun {
		for _, c := range crashesOf(d.evidence.against[f]) {
			for _, other := range d.refusedAt(c.losses[0].server) {
				if other != f && d.hasLostProof(other) {
					d.endVerdict(other)
					ended = append(ended, other)
				}
			}
		}
	}
	return ended
}

// hasLostProof reports whether this node had enough evidence for a verdict on a feature and no longer
// has. The caller holds mu.
func (d *Detector) hasLostProof(f Feature) bool {
	v := d.verdicts[f]
	return v != nil && !v.provenAt.IsZero() && !d.enoughEvidence(f)
}

// LossCounts returns, for each feature, the number of requests with it that were lost at servers
// that are not known to have kept running, and were not answered since.
func (d *Detector) LossCounts(features Features) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make([]int, len(features))
	for i, f := range features {
		counts[i] = len(d.evidence.against[f])
	}
	return counts
}

// Repeated reports whether a request was lost repeatedly, or requests with which it shares what was
// not answered lately. Such losses are the evidence that matters.
func (d *Detector) Repeated(features Features) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(features, func(f Feature) bool {
		return len(d.evidence.against[f]) > 1 && (f == features.content() || !d.answeredLately(f))
	})
}

// ServerResponded records that data has just arrived from a server, in response to a
// request sent sentAgo ago, on a connection opened openedAgo ago. It drops the earlier
// losses at this server that were no crash: a server that restarts under the same address,
// and perhaps the same ID, takes a while to come back and has new connections.
func (d *Detector) ServerResponded(server uint64, sentAgo, openedAgo time.Duration) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timers.Steady()
	return d.drop(find(d.evidence.atServer[server], func(l *loss) bool {
		if l.crashed {
			return false
		}
		ago := now.Sub(l.at)
		sentLater := sentAgo <= ago
		openedBefore := ago < openedAgo
		return sentLater && (openedBefore || ago < MinRestartTime) || openedBefore && ago > maxTransitTime
	}))
}

// drop drops losses that were no crashes. The caller holds mu.
func (d *Detector) drop(losses []*loss) Change {
	if len(losses) == 0 {
		return Change{}
	}
	features := featuresOf(losses)
	d.evidence.remove(losses...)
	return d.review(features)
}

// MarkRegistryStale records that the copy of the servers' entries is out of date: the
// entries of servers that have crashed may remain for a while after it is current again.
func (d *Detector) MarkRegistryStale() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.staleAt = d.timers.Steady()
}

// Review drops the losses at servers that kept running, and expired losses. Running holds
// the incarnations that are known to run.
func (d *Detector) Review(running map[uint64]bool) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropExpired()
	now := d.timers.Steady()
	survived := find(d.evidence.losses, func(l *loss) bool {
		observed := min(now.Sub(l.at), now.Sub(d.staleAt))
		return !l.crashed && running[l.server] && observed >= confirmTimeout
	})
	for _, l := range d.evidence.losses {
		l.crashed = l.crashed || !running[l.server]
	}
	return d.drop(survived)
}

// dropExpired drops expired losses and records of withdrawals. The caller holds mu.
func (d *Detector) dropExpired() {
	now := d.timers.Steady()
	maps.DeleteFunc(d.withdrawnAt, func(_ Feature, at time.Time) bool { return now.Sub(at) >= withdrawalDelay })
	expired := find(d.evidence.losses, func(l *loss) bool { return now.Sub(l.at) >= Retention })
	d.evidence.remove(expired...)
	d.expire(expired...)
}

// expire is called after old losses were dropped: a verdict that is not in the store ends with its
// evidence. The caller holds mu.
func (d *Detector) expire(losses ...*loss) {
	for _, f := range featuresOf(losses) {
		if !d.hasLostProof(f) {
			continue
		}
		v := d.verdicts[f]
		v.provenAt = time.Time{}
		if !v.stored {
			delete(d.verdicts, f)
		}
	}
}
