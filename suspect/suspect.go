// Package suspect finds the requests under which backend servers end. A server
// that ends takes all that it runs with it, and whoever lost an answer sends the
// request again: one request that crashes its server takes down one server after
// another, each time with the work of others beside it.
//
// The evidence is which requests were lost at which incarnation of a server,
// gathered from all nodes. Many are lost with each server that ends, and what
// tells the cause from the rest is that it was there each time: a loss counts
// against a request only if no other one that was lost at the same server has
// been lost at more of them. Servers that end at one moment, a rack's or a data
// hall's, are one piece of evidence, however many of them had the request. A server
// that goes on has not ended, so what was lost there, to a reset connection, counts
// for nothing: it shows by answering what is sent to it later, or by its entry. An
// answer to the request clears, and one that came before makes it need more.
//
// With enough evidence there is a verdict: the request is refused. A verdict is
// known to all nodes, outlasts their processes (whoever uses this package stores
// it), and is put to the test again after a while, since it may be wrong, or the
// servers' software mended.
//
// A request is known by a digest of what servers are given, since a client that
// tries again does so under another ID, and two clients may send the same. The
// digest tells nothing of the text.
//
// # Usage
//
//	list := suspect.New(timers)
//	digest := suspect.Digest(path, body, length)
//	if list.Refuses(digest) {
//		return … // it ran, and is not sent again
//	}
//	switch list.Lost(digest, server.Incarnation().Hash(), 0) { // here, or heard of a peer
//	case suspect.FindingVerdict:
//		… // tell the store
//	}
//	list.Answered(digest)
//	list.Runs(server.Incarnation().Hash(), sentAgo, openedAgo) // it answers what was sent then
//	list.Review(running) // now and then, with the servers that run
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
	// endsToRefuse is how many moments at which servers end under a request lead to
	// its verdict. One server ends for any reason; two may end one after the other.
	endsToRefuse = 3
	// endsIfAnswered is the same for a request that servers have answered.
	endsIfAnswered = 4
	// IncidentWindow is the time within which servers end together. What one cause ends
	// is seen within some milliseconds, and told with the error of one network way.
	IncidentWindow = 50 * time.Millisecond
	// doubtTime is how long a server counts as ended on the word of a lost answer.
	// The entries of servers that end are gone, or told anew, after 2.5 to 3.5 s;
	// with 3 s a request that had ended three servers was sent again then.
	doubtTime = 6 * time.Second
	// backTime is how soon after its end a server is back at the earliest: it loads its
	// models first.
	backTime = 2 * time.Second
	// wayTime is how long what a server had sent before its end may be on its way.
	wayTime = 200 * time.Millisecond
	// leftTime is how long before a server's end an attempt may have been given up there
	// for its request to count as lost: an engine that ends under a request does so soon
	// after the answer has begun, which may be what it was given up for.
	leftTime = 200 * time.Millisecond
	// maxLeft bounds the attempts that are remembered for it.
	maxLeft = 512
	// Retention is how long a loss is remembered, and a verdict that is not put to the
	// test. Software that is mended reaches the servers by a roll-out, which takes
	// about as long.
	Retention = 10 * time.Minute
	// maxLosses bounds what is remembered, some 200 kB, whatever clients send.
	// The oldest loss gives way.
	maxLosses = 4096
)

// Digest names a request by what servers are given of it: its path, and the
// beginning and the length of its body. Two that are told apart by what follows
// a long beginning alone count as one.
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
	// ended says that the server is known to have ended since.
	ended bool
}

// Finding is what a loss leads to.
type Finding int

// The findings.
const (
	// FindingKnown: the loss was known.
	FindingKnown Finding = iota
	// FindingNew: it was not, and leads to nothing yet.
	FindingNew
	// FindingVerdict: from now on the request is refused.
	FindingVerdict
)

// Detector is what one node knows of such requests. It is safe for concurrent use.
type Detector struct {
	timers *timer.Service

	mu sync.Mutex
	// losses are in the order in which they were heard of.
	losses []loss
	// left are the latest attempts that were given up, in the order in which they were.
	left     []loss
	answered *answers
	verdicts map[uint64]*verdict
	// stale is when the news of the servers' entries was last too old to go by.
	stale time.Time
	// pardoned holds when verdicts were last withdrawn here.
	pardoned map[uint64]time.Time
}

// New returns an empty list.
func New(timers *timer.Service) *Detector {
	return &Detector{timers: timers, answered: newAnswers(), verdicts: make(map[uint64]*verdict), pardoned: make(map[uint64]time.Time)}
}

// Empty reports whether nothing is known against any request, so that digests need not
// be made.
func (l *Detector) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.losses) == 0 && len(l.verdicts) == 0
}

// RecordLoss notes that a server left a request without an answer, that long ago. It also
// returns the requests that are refused no more, since this one was there each time and
// at more servers.
func (l *Detector) RecordLoss(digest, server uint64, ago time.Duration) (Finding, []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var beside []uint64
	for _, known := range l.losses {
		switch {
		case known.server != server:
		case known.digest == digest:
			return FindingKnown, nil
		default:
			beside = append(beside, known.digest)
		}
	}
	if len(l.losses) >= maxLosses {
		oldest := l.losses[0].digest
		l.losses = l.losses[1:]
		l.lapse(oldest)
	}
	l.losses = append(l.losses, loss{digest: digest, server: server, at: l.timers.Steady().Add(-ago)})
	return l.judge(digest), l.withdraw(beside)
}

// judge says what a new loss of a request leads to. The caller holds mu.
func (l *Detector) judge(digest uint64) Finding {
	if !l.enough(digest) {
		return FindingNew
	}
	now := l.timers.Steady()
	v := l.verdicts[digest]
	if v == nil {
		l.verdicts[digest] = &verdict{since: now, proved: now}
		return FindingVerdict
	}
	if v.proved.IsZero() {
		v.proved = now
	}
	return FindingNew
}

// Ends returns at how many servers the request was lost that are not known to go on.
func (l *Detector) Ends(digest uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, known := range l.losses {
		if known.digest == digest {
			count++
		}
	}
	return count
}

// Clearance is what an answer does away with.
type Clearance int

// The clearances.
const (
	// ClearedNothing: nothing was known against the request.
	ClearedNothing Clearance = iota
	// ClearedLosses: it had been lost.
	ClearedLosses
	// ClearedVerdict: it was refused.
	ClearedVerdict
)

// RecordAnswer clears a request: a server has answered it.
func (l *Detector) RecordAnswer(digest uint64) Clearance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered.add(digest, l.timers.Steady())
	return l.clear(digest)
}

// clear forgets what is known against a request. The caller holds mu.
func (l *Detector) clear(digest uint64) Clearance {
	lost := l.forget(func(known loss) bool { return known.digest == digest })
	switch {
	case l.verdicts[digest] != nil:
		l.pardon(digest)
		return ClearedVerdict
	case len(lost) > 0:
		return ClearedLosses
	}
	return ClearedNothing
}

// ServerResponded takes the word that something came from a server just now, of an answer to what
// was sent to it that long ago on a connection that was opened that long ago. A loss
// before that had not ended the server: one that starts in its place, under its address
// and perhaps its ID, is not back so soon and has other connections. It returns the
// requests that are refused no more for that.
func (l *Detector) ServerResponded(server uint64, sentAgo, openedAgo time.Duration) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	return l.withdraw(l.forget(func(known loss) bool {
		if known.server != server || known.ended {
			return false
		}
		ago := now.Sub(known.at)
		sentLater := sentAgo <= ago
		connected := ago < openedAgo
		return sentLater && (connected || ago < backTime) || connected && ago > wayTime
	}))
}

// MarkRegistryStale tells that the news of the servers' entries is old: those of servers that have
// ended may stand for a while after it is fresh again.
func (l *Detector) MarkRegistryStale() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = l.timers.Steady()
}

// Review forgets what was lost at servers that go on, and what is old. Running
// are the incarnations that are known to run. It returns the requests that are refused
// no more since their servers go on.
func (l *Detector) Review(running map[uint64]bool) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetOld()
	now := l.timers.Steady()
	goOn := l.forget(func(known loss) bool {
		seen := min(now.Sub(known.at), now.Sub(l.stale))
		return !known.ended && running[known.server] && seen >= doubtTime
	})
	for i, known := range l.losses {
		l.losses[i].ended = known.ended || !running[known.server]
	}
	return l.withdraw(goOn)
}

// forgetOld forgets losses and pardons that are too old. The caller holds mu.
func (l *Detector) forgetOld() {
	now := l.timers.Steady()
	maps.DeleteFunc(l.pardoned, func(_ uint64, at time.Time) bool { return now.Sub(at) >= pardonTime })
	for _, digest := range l.forget(func(known loss) bool { return now.Sub(known.at) >= Retention }) {
		l.lapse(digest)
	}
}

// withdraw ends the verdicts on those of the requests for which this node had evidence
// and has not enough any more, and returns these. The caller holds mu.
func (l *Detector) withdraw(digests []uint64) []uint64 {
	var withdrawn []uint64
	for _, digest := range digests {
		if v := l.verdicts[digest]; v != nil && !v.proved.IsZero() && !l.enough(digest) {
			l.pardon(digest)
			withdrawn = append(withdrawn, digest)
		}
	}
	return withdrawn
}

// lapse notes that a loss of a request is too old to be remembered: a verdict that is
// not stored ends with its evidence. The caller holds mu.
func (l *Detector) lapse(digest uint64) {
	v := l.verdicts[digest]
	if v == nil || v.proved.IsZero() || l.enough(digest) {
		return
	}
	v.proved = time.Time{}
	if !v.stored {
		delete(l.verdicts, digest)
	}
}

// enough reports whether the evidence against a request is enough for a verdict. The
// caller holds mu.
func (l *Detector) enough(digest uint64) bool {
	needed := endsToRefuse
	if l.answered.since(digest, l.timers.Steady().Add(-Retention)) {
		needed = endsIfAnswered
	}
	return l.moments(digest) >= needed
}

// moments counts those at which servers ended under a request and under none that
// more of them ended under. The caller holds mu.
func (l *Detector) moments(digest uint64) int {
	lost := make(map[uint64]time.Time)
	for _, known := range l.losses {
		if known.digest == digest {
			lost[known.server] = known.at
		}
	}
	if len(lost) < endsToRefuse {
		return len(lost) // no more moments than that
	}
	ends := l.ends(digest, lost)
	for _, known := range l.losses {
		if ends[known.digest] > ends[digest] {
			delete(lost, known.server)
		}
	}
	count, begun := 0, time.Time{}
	for _, at := range slices.SortedFunc(maps.Values(lost), time.Time.Compare) {
		if count == 0 || at.Sub(begun) > IncidentWindow {
			count, begun = count+1, at
		}
	}
	return count
}

// ends counts the servers that ended under a request, and under each that was lost at
// one of these. What ends under others once the request is refused tells nothing of it,
// since it could not be there. The caller holds mu.
func (l *Detector) ends(digest uint64, servers map[uint64]time.Time) map[uint64]int {
	proved := l.timers.Steady()
	if v := l.verdicts[digest]; v != nil && !v.proved.IsZero() {
		proved = v.proved
	}
	ends := make(map[uint64]int)
	for _, known := range l.losses {
		if _, shared := servers[known.server]; shared {
			ends[known.digest] = 0
		}
	}
	for _, known := range l.losses {
		if _, shared := ends[known.digest]; shared && !known.at.After(proved) {
			ends[known.digest]++
		}
	}
	return ends
}

// forget forgets the losses that are not wanted any more and returns of which requests
// they were. A new list is made only if there are some, since it is asked for with each
// answer. The caller holds mu.
func (l *Detector) forget(unwanted func(loss) bool) []uint64 {
	if !slices.ContainsFunc(l.losses, unwanted) {
		return nil
	}
	var digests []uint64
	l.losses = slices.DeleteFunc(slices.Clone(l.losses), func(known loss) bool {
		forgotten := unwanted(known)
		if forgotten {
			digests = append(digests, known.digest)
		}
		return forgotten
	})
	slices.Sort(digests)
	return slices.Compact(digests)
}
