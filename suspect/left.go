package suspect

import (
	"slices"
	"time"
)

// RecordAbandoned notes that this node has given up an attempt with a request at a server, which
// may run it on. It reports whether the server is known to have ended just now, so that
// the request counts as lost there.
func (l *Detector) RecordAbandoned(digest, server uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Steady()
	ended := func(known loss) bool { return known.server == server && now.Sub(known.at) < leftTime }
	if slices.ContainsFunc(l.losses, ended) {
		return true
	}
	if len(l.left) >= maxLeft {
		l.left = l.left[1:]
	}
	l.left = append(l.left, loss{digest: digest, server: server, at: now})
	return false
}

// TakeAbandoned returns, once, the requests that this node had given up at a server just
// before it ended, that long ago: they count as lost there as well.
func (l *Detector) TakeAbandoned(server uint64, ago time.Duration) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.timers.Steady().Add(-ago)
	l.left = slices.DeleteFunc(l.left, func(known loss) bool { return end.Sub(known.at) > leftTime })
	var digests []uint64
	l.left = slices.DeleteFunc(l.left, func(known loss) bool {
		if known.server == server {
			digests = append(digests, known.digest)
		}
		return known.server == server
	})
	return digests
}
