// Package suspect finds the requests under which backend servers end. A server
// that ends takes all that it runs with it, and whoever lost an answer sends the
// request again: one request that crashes its server takes down one server after
// another, each time with the work of others beside it.
//
// The evidence is which requests were lost at which incarnation of a server,
// gathered from all nodes. Many are lost with each server that ends, and what
// tells the cause from the rest is that it was there each time: a loss counts
// against a request only if no other one that was lost at the same server has
// been lost at more of them. A server that goes on has not ended, so what was
// lost there, to a reset connection, counts for nothing: it shows by answering what
// is sent to it later, or by its entry. An answer to the request clears.
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
//	list.Lost(digest, server.Incarnation().Hash()) // here, or heard of a peer
//	list.Answered(digest)
//	list.Runs(server.Incarnation().Hash(), sent) // it answers what was sent then
//	list.Review(running) // now and then, with the servers that run
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/violettally/violettally/timer"
)

const (
	// endsToRefuse is how many servers end under a request before it is sent to
	// no other one. One server ends for any reason; two may end beside each
	// other, a rack's or a pair's.
	endsToRefuse = 3
	// doubtTime is how long a server counts as ended on the word of a lost answer.
	// The entries of servers that end are gone, or told anew, after 2.5 to 3.5 s;
	// with 3 s a request that had ended three servers was sent again then.
	doubtTime = 6 * time.Second
	// memory is how long a loss is remembered. Software that is mended reaches
	// the servers by a roll-out, which takes about as long.
	memory = 10 * time.Minute
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

// List is what one node knows of such requests. It is safe for concurrent use.
type List struct {
	timers *timer.Service

	mu sync.Mutex
	// losses are in the order in which they were heard of.
	losses []loss
}

// New returns an empty list.
func New(timers *timer.Service) *List { return &List{timers: timers} }

// Empty reports whether nothing is known against any request, so that digests
// need not be made.
func (l *List) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.losses) == 0
}

// Lost notes that a server left a request without an answer. It reports whether
// that was not known.
func (l *List) Lost(digest, server uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.losses {
		if known.digest == digest && known.server == server {
			return false
		}
	}
	if len(l.losses) >= maxLosses {
		l.losses = l.losses[1:]
	}
	l.losses = append(l.losses, loss{digest: digest, server: server, at: l.timers.Now()})
	return true
}

// Ends returns at how many servers the request was lost that are not known to go on.
func (l *List) Ends(digest uint64) int {
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

// Answered clears a request: a server has answered it.
func (l *List) Answered(digest uint64) {
	l.keep(func(known loss) bool { return known.digest != digest })
}

// Runs takes the word that a server answers what was sent to it at a time: it
// had not ended by what was lost before.
func (l *List) Runs(server uint64, sent time.Time) {
	l.keep(func(known loss) bool { return known.server != server || known.ended || known.at.After(sent) })
}

// Refuses reports whether a request is to be sent to no server any more.
func (l *List) Refuses(digest uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.against(digest) >= endsToRefuse
}

// against counts the servers that ended under a request and under none that
// more of them ended under.
func (l *List) against(digest uint64) int {
	servers := make(map[uint64]bool)
	for _, known := range l.losses {
		if known.digest == digest {
			servers[known.server] = true
		}
	}
	if len(servers) < endsToRefuse {
		return len(servers)
	}
	ends := make(map[uint64]int)
	for _, known := range l.losses {
		ends[known.digest]++
	}
	for _, known := range l.losses {
		if ends[known.digest] > ends[digest] {
			delete(servers, known.server)
		}
	}
	return len(servers)
}

// Review forgets what was lost at servers that go on, and what is old. Running
// are the incarnations that are known to run.
func (l *List) Review(running map[uint64]bool) {
	now := l.timers.Now()
	l.keep(func(known loss) bool {
		return now.Sub(known.at) < memory && (known.ended || !running[known.server] || now.Sub(known.at) < doubtTime)
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, known := range l.losses {
		l.losses[i].ended = known.ended || !running[known.server]
	}
}

// keep forgets the losses that are not wanted any more. A new list is made only
// if there is one, since it is asked for with each answer.
func (l *List) keep(wanted func(loss) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	unwanted := func(known loss) bool { return !wanted(known) }
	if slices.ContainsFunc(l.losses, unwanted) {
		l.losses = slices.DeleteFunc(slices.Clone(l.losses), unwanted)
	}
}
