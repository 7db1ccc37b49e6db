// Package suspect detects requests that crash backend servers, so that they can be
// refused. A server that crashes drops all requests that it runs, and each client that
// gets no response retries: one request that crashes its server takes down one server
// after another, and each time fails the other requests there.
//
// The evidence consists of losses: requests that a server left without a response,
// recorded by request and by incarnation of the server, and collected from all nodes.
// Each crash loses many requests. The cause is the one that was present at every crash,
// so a loss counts against a request only if no other request that was lost at the same
// server was lost at more servers. Servers that crash within [IncidentWindow], such as
// those of a rack or of a data hall, count as one incident, however many of them ran the
// request. A server that still runs has not crashed, so losses there, for example by a
// reset connection, are dropped: it is known to run when it responds to a request that
// was sent later, or when its entry stays in the store. A response to the request clears
// it, and a request that got a response before needs more evidence.
//
// With enough evidence there is a verdict: the request is refused. All nodes learn of a
// verdict, and it outlasts their processes, since the caller stores it (see [Syncer]).
// From time to time a probe sends the request once more, since the verdict may be wrong or
// the servers' software may have been fixed.
//
// A request is identified by a digest of what servers receive, since a client retries
// under a new request ID, and two clients may send the same request. The digest reveals
// nothing of the text.
//
// # Usage
//
//	detector := suspect.New(timers)
//	digest := suspect.Digest(path, body, length)
//	if detector.Refuses(digest) {
//		return … // it has run, and is not sent again
//	}
//	finding, withdrawn := detector.RecordLoss(digest, server.Incarnation().Hash(), 0) // here, or received from a peer
//	if finding == suspect.FindingVerdict {
//		… // write the verdict to the store
//	}
//	… // withdrawn are no longer refused
//	detector.RecordAnswer(digest)
//	detector.ServerResponded(server.Incarnation().Hash(), sentAgo, openedAgo)
//	detector.Review(running) // periodically, with the servers that run
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
)

const (
	// incidentsToRefuse is the number of incidents that lead to a verdict. One server
	// may crash for any reason, and two may do so one after the other.
	incidentsToRefuse = 3
	// incidentsIfAnswered is the same for a request that servers have answered.
	incidentsIfAnswered = 4
	// IncidentWindow is the time within which crashes count as one incident. Crashes
	// with a common cause are detected within a few milliseconds, and their reported
	// times are off by the network delay between two nodes.
	IncidentWindow = 50 * time.Millisecond
	// confirmTimeout is how long a server counts as crashed because of a lost response
	// alone. The entry of a crashed server is removed, or registered anew, after 2.5 to
	// 3.5 s; with 3 s, a request that had crashed three servers was sent again.
	confirmTimeout = 6 * time.Second
	// minRestartTime is the shortest time from a crash until the server is back: it
	// loads its models first.
	minRestartTime = 2 * time.Second
	// maxTransitTime is how long data that a server sent before its crash may be in
	// transit.
	maxTransitTime = 200 * time.Millisecond
	// abandonWindow is how long before a server's crash an attempt may have been
	// abandoned there and still count as a loss: an engine that crashes under a request
	// does so soon after its response has begun, and that beginning may be the reason
	// why the attempt was abandoned.
	abandonWindow = 200 * time.Millisecond
	// maxAbandoned bounds the number of abandoned attempts that are kept for this.
	maxAbandoned = 512
	// Retention is how long losses, and verdicts that are not probed, are kept. A fix
	// of the servers' software is deployed by a rollout, which takes about as long.
	Retention = 10 * time.Minute
	// maxLosses bounds the losses that are kept to some 200 kB, whatever clients send.
	// The oldest one is dropped first.
	maxLosses = 4096
)

// Digest identifies a request by what servers receive of it: its path, and the beginning
// and the length of its body. Two requests of one length that differ only after a long
// beginning count as one.
func Digest(path string, body []byte, length int64) uint64 {
	hash := sha256.New()
	hash.Write([]byte(path))
	hash.Write([]byte{0})
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(length)))
	hash.Write(body)
	return max(1, binary.BigEndian.Uint64(hash.Sum(nil)))
}

// loss is one request that was lost at one incarnation of a server.
type loss struct {
	digest, server uint64
	at             time.Time
	// crashed is set once the server was found not to be running after the loss.
	crashed bool
}

// Finding is the result of recording a loss.
type Finding int

const (
	// FindingKnown: the loss was recorded already.
	FindingKnown Finding = iota
	// FindingNew: the loss is new and leads to no new verdict.
	FindingNew
	// FindingVerdict: the request is refused from now on.
	FindingVerdict
)

// Detector holds the losses and verdicts that one node has recorded. It is safe for concurrent
// use.
type Detector struct {
	timers *timer.Service

	mu sync.Mutex
	// losses are in the order in which they were recorded.
	losses []loss
	// abandoned are the latest abandoned attempts, in order.
	abandoned []loss
	answered  *answerLog
	verdicts  map[uint64]*verdict
	// staleAt is when the copy of the servers' entries was last too old to rely on.
	staleAt time.Time
	// withdrawnAt holds, by digest, when a verdict was last withdrawn here.
	withdrawnAt map[uint64]time.Time
}

// New returns a detector without evidence.
func New(timers *timer.Service) *Detector {
	return &Detector{timers: timers, answered: newAnswerLog(), verdicts: make(map[uint64]*verdict), withdrawnAt: make(map[uint64]time.Time)}
}

// Empty reports whether there is no evidence and no verdict against any request, so that
// the caller can skip computing digests.
func (d *Detector) Empty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.losses) == 0 && len(d.verdicts) == 0
}

// RecordLoss records that a server left a request without a response, the given time ago.
// It also returns the requests that are no longer refused because this one was lost at
// the same servers and at further ones.
func (d *Detector) RecordLoss(digest, server uint64, ago time.Duration) (Finding, []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var others []uint64
	for _, l := range d.losses {
		switch {
		case l.server != server:
		case l.digest == digest:
			return FindingKnown, nil
		default:
			others = append(others, l.digest)
		}
	}
	if len(d.losses) >= maxLosses {
		oldest := d.losses[0].digest
		d.losses = d.losses[1:]
		d.expireLoss(oldest)
	}
	d.losses = append(d.losses, loss{digest: digest, server: server, at: d.timers.Steady().Add(-ago)})
	return d.evaluate(digest), d.withdraw(others)
}

// evaluate returns what a new loss of a request leads to. The caller holds mu.
func (d *Detector) evaluate(digest uint64) Finding {
	if !d.enoughEvidence(digest) {
		return FindingNew
	}
	now := d.timers.Steady()
	v := d.verdicts[digest]
	if v == nil {
		d.verdicts[digest] = &verdict{lastProbe: now, provenAt: now}
		return FindingVerdict
	}
	if v.provenAt.IsZero() {
		v.provenAt = now
	}
	return FindingNew
}

// LossCount returns the number of servers at which the request was lost and that are not known
// to have kept running.
func (d *Detector) LossCount(digest uint64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, l := range d.losses {
		if l.digest == digest {
			count++
		}
	}
	return count
}

// Clearance is what a response to a request cleared.
type Clearance int

const (
	// ClearedNothing: there was no evidence against the request.
	ClearedNothing Clearance = iota
	// ClearedLosses: the request had losses but was not refused.
	ClearedLosses
	// ClearedVerdict: the request was refused.
	ClearedVerdict
)

// RecordAnswer records that a server has answered a request, which clears it.
func (d *Detector) RecordAnswer(digest uint64) Clearance {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered.add(digest, d.timers.Steady())
	return d.clearRequest(digest)
}

// clearRequest drops the losses of a request and its verdict. The caller holds mu.
func (d *Detector) clearRequest(digest uint64) Clearance {
	lost := d.dropLosses(func(l loss) bool { return l.digest == digest })
	switch {
	case d.verdicts[digest] != nil:
		d.endVerdict(digest)
		return ClearedVerdict
	case len(lost) > 0:
		return ClearedLosses
	}
	return ClearedNothing
}

// ServerResponded records that data has just arrived from a server, in response to a
// request sent sentAgo ago, on a connection opened openedAgo ago. It drops the earlier
// losses at this server that were no crash: a server that restarts under the same address,
// and perhaps the same ID, takes a while to come back and has new connections. It returns
// the requests that are no longer refused as a result.
func (d *Detector) ServerResponded(server uint64, sentAgo, openedAgo time.Duration) []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timers.Steady()
	return d.withdraw(d.dropLosses(func(l loss) bool {
		if l.server != server || l.crashed {
			return false
		}
		ago := now.Sub(l.at)
		sentLater := sentAgo <= ago
		openedBefore := ago < openedAgo
		return sentLater && (openedBefore || ago < minRestartTime) || openedBefore && ago > maxTransitTime
	}))
}

// MarkRegistryStale records that the copy of the servers' entries is out of date: the
// entries of servers that have crashed may remain for a while after it is current again.
func (d *Detector) MarkRegistryStale() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.staleAt = d.timers.Steady()
}

// Review drops the losses at servers that kept running, and expired losses. Running holds
// the incarnations that are known to run. It returns the requests that are no longer
// refused because their servers kept running.
func (d *Detector) Review(running map[uint64]bool) []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropExpired()
	now := d.timers.Steady()
	survived := d.dropLosses(func(l loss) bool {
		observed := min(now.Sub(l.at), now.Sub(d.staleAt))
		return !l.crashed && running[l.server] && observed >= confirmTimeout
	})
	for i, l := range d.losses {
		d.losses[i].crashed = l.crashed || !running[l.server]
	}
	return d.withdraw(survived)
}

// dropExpired drops expired losses and records of withdrawals. The caller holds mu.
func (d *Detector) dropExpired() {
	now := d.timers.Steady()
	maps.DeleteFunc(d.withdrawnAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= withdrawalDelay })
	for _, digest := range d.dropLosses(func(l loss) bool { return now.Sub(l.at) >= Retention }) {
		d.expireLoss(digest)
	}
}

// withdraw ends the verdicts on those requests for which this node had enough evidence
// and no longer has, and returns these requests. The caller holds mu.
func (d *Detector) withdraw(digests []uint64) []uint64 {
	var withdrawn []uint64
	for _, digest := range digests {
		if v := d.verdicts[digest]; v != nil && !v.provenAt.IsZero() && !d.enoughEvidence(digest) {
			d.endVerdict(digest)
			withdrawn = append(withdrawn, digest)
		}
	}
	return withdrawn
}

// expireLoss is called after an old loss of a request was dropped: a verdict that is not
// in the store ends with its evidence. The caller holds mu.
func (d *Detector) expireLoss(digest uint64) {
	v := d.verdicts[digest]
	if v == nil || v.provenAt.IsZero() || d.enoughEvidence(digest) {
		return
	}
	v.provenAt = time.Time{}
	if !v.stored {
		delete(d.verdicts, digest)
	}
}

// enoughEvidence reports whether the evidence against a request suffices for a verdict.
// The caller holds mu.
func (d *Detector) enoughEvidence(digest uint64) bool {
	needed := incidentsToRefuse
	if d.answered.answeredSince(digest, d.timers.Steady().Add(-Retention)) {
		needed = incidentsIfAnswered
	}
	return d.incidents(digest) >= needed
}

// incidents counts the incidents of a request: the crashes at which it was lost, but no
// request that was lost at more servers, with those within IncidentWindow counted as
// one. The caller holds mu.
func (d *Detector) incidents(digest uint64) int {
	crashes := make(map[uint64]time.Time)
	for _, l := range d.losses {
		if l.digest == digest {
			crashes[l.server] = l.at
		}
	}
	if len(crashes) < incidentsToRefuse {
		return len(crashes) // no more incidents than crashes
	}
	counts := d.crashCounts(digest, crashes)
	for _, l := range d.losses {
		if counts[l.digest] > counts[digest] {
			delete(crashes, l.server)
		}
	}
	count, start := 0, time.Time{}
	for _, at := range slices.SortedFunc(maps.Values(crashes), time.Time.Compare) {
		if count == 0 || at.Sub(start) > IncidentWindow {
			count, start = count+1, at
		}
	}
	return count
}

// crashCounts returns at how many servers a request was lost, and the same for each request
// that was lost at one of the given servers. Losses after the request was refused are left
// out: it wasn't sent any more, so they say nothing about it. The caller holds mu.
func (d *Detector) crashCounts(digest uint64, servers map[uint64]time.Time) map[uint64]int {
	refusedAt := d.timers.Steady()
	if v := d.verdicts[digest]; v != nil && !v.provenAt.IsZero() {
		refusedAt = v.provenAt
	}
	counts := make(map[uint64]int)
	for _, l := range d.losses {
		if _, shared := servers[l.server]; shared {
			counts[l.digest] = 0
		}
	}
	for _, l := range d.losses {
		if _, shared := counts[l.digest]; shared && !l.at.After(refusedAt) {
			counts[l.digest]++
		}
	}
	return counts
}

// dropLosses drops the unwanted losses and returns their requests. It is called for each
// response, so it copies the list only if there is something to drop. The caller holds mu.
func (d *Detector) dropLosses(unwanted func(loss) bool) []uint64 {
	if !slices.ContainsFunc(d.losses, unwanted) {
		return nil
	}
	var digests []uint64
	d.losses = slices.DeleteFunc(slices.Clone(d.losses), func(l loss) bool {
		dropped := unwanted(l)
		if dropped {
			digests = append(digests, l.digest)
		}
		return dropped
	})
	slices.Sort(digests)
	return slices.Compact(digests)
}
