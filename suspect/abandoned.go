package suspect

import (
	"slices"
	"time"
)

const (
	// abandonWindow is how long before a server's crash an attempt may have been abandoned there
	// and still count as a loss: an engine that crashes under a request does so soon after its
	// response has begun, and that beginning may be the reason why the attempt was abandoned.
	abandonWindow = 200 * time.Millisecond
	// maxAbandoned bounds the number of abandoned attempts that are kept for this.
	maxAbandoned = 512
)

// abandonment is an attempt that was abandoned at a server, which may still have run it.
type abandonment struct {
	features Features
	server   uint64
	at       time.Time
}

// RecordAbandoned records that this node has abandoned an attempt with a request at a
// server, which may still run it. It reports whether the server is known to have crashed
// just now, so that the request counts as lost there.
func (d *Detector) RecordAbandoned(features Features, server uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.timers.Steady()
	crashed := func(l *loss) bool { return now.Sub(l.at) < abandonWindow }
	if slices.ContainsFunc(d.evidence.atServer[server], crashed) {
		return true
	}
	if len(d.abandoned) >= maxAbandoned {
		d.abandoned = d.abandoned[1:]
	}
	d.abandoned = append(d.abandoned, abandonment{features: features, server: server, at: now})
	return false
}

// TakeAbandoned removes and returns the requests whose attempts this node had abandoned at a
// server shortly before it crashed, the given time ago: they count as lost there as well.
func (d *Detector) TakeAbandoned(server uint64, ago time.Duration) []Features {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashedAt := d.timers.Steady().Add(-ago)
	var taken []Features
	d.abandoned = slices.DeleteFunc(d.abandoned, func(a abandonment) bool {
		if crashedAt.Sub(a.at) > abandonWindow {
			return true
		}
		if a.server == server {
			taken = append(taken, a.features)
		}
		return a.server == server
	})
	return taken
}
