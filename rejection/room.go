package rejection

import (
	"sync"
	"time"

	"github.com/violettally/violettally/registry"
)

const (
	// renewInterval is the time between two requests for places that are in use.
	renewInterval = holdTime / 4
	// denialTime is how long a server that had no place is not asked for one again.
	denialTime = 50 * time.Millisecond
	// rejectedTime is how long a place is not used whose request was rejected.
	rejectedTime = 2 * time.Second
	// maxAbandonedTime bounds how long a place is not used whose request was given up: most servers end it
	// once its connection is closed.
	maxAbandonedTime = 2 * time.Second
	// roomMemory is how long what is known of an unused server is kept.
	roomMemory = 10 * time.Second
)

// room is this node's room at one server.
type room struct {
	server registry.Server
	// asking is held while this node asks for places.
	asking sync.Mutex

	// The fields below are guarded by Limiter.mu.

	// slots is the number of requests that the server runs at once.
	slots int
	// inflight is the number of this node's requests there, granted that of its places, which it
	// has until grantedUntil.
	inflight, granted int
	grantedUntil      time.Time
	// told is the number of places that this node has as far as the nodes that keep them know.
	told int
	// unansweredAt is when the first owner last did not answer.
	unansweredAt time.Time
	// askedAt is when this node last asked for places, usedAt when it last used the server.
	askedAt, usedAt time.Time
}

// hasPlace reports whether this node may send a request without asking for a place.
func (r *room) hasPlace(now time.Time) bool {
	return r.inflight < r.granted && now.Before(r.grantedUntil)
}

// isDue reports whether this node has to ask for the places that it uses again, or may give back
// some.
func (r *room) isDue(now time.Time) bool {
	return (r.inflight > 0 || r.granted > 0) && now.Sub(r.askedAt) >= renewInterval
}
