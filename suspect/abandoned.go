package suspect

import (
	"slices"
	"time"
)

// RecordAbandoned records that this node has abandoned an attempt with a request at a
// server, which may still run it. It reports whether the server is known to have crashed
// just now, so that the request counts as lost there.
func (d *Detector) RecordAbandoned(digest, server uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timers.Steady()
	crashed := func(l loss) bool { return l.server == server && now.Sub(l.at) < abandonWindow }
	if slices.ContainsFunc(d.losses, crashed) {
		return true
	}
	if len(d.abandoned) >= maxAbandoned {
		d.abandoned = d.abandoned[1:]
	}
	d.abandoned = append(d.abandoned, loss{digest: digest, server: server, at: now})
	return false
}

// TakeAbandoned removes and returns the requests whose attempts this node had abandoned at a
// server shortly before it crashed, the given time ago: they count as lost there as well.
func (d *Detector) TakeAbandoned(server uint64, ago time.Duration) []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashedAt := d.timers.Steady().Add(-ago)
	d.abandoned = slices.DeleteFunc(d.abandoned, func(l loss) bool { return crashedAt.Sub(l.at) > abandonWindow })
	var digests []uint64
	d.abandoned = slices.DeleteFunc(d.abandoned, func(l loss) bool {
		if l.server == server {
			digests = append(digests, l.digest)
		}
		return l.server == server
	})
	return digests
}
