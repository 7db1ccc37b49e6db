package route

import (
	"math/rand/v2"
	"slices"
)

// sampleSize is how many random servers of the node's own data hall, and how many
// of all others, are compared for a request. In a large deployment all nodes
// receive the same updates, some 100 ms late: if each compared all servers, all
// would send to the best one until they learn of each other's sends (TestHerd).
const sampleSize = 3

// candidate is a server that can take a task.
type candidate struct {
	// index is the server's index in Task.Servers.
	index int
	state *balancerServer
	// cachedTokens is the number of prompt tokens expected in the server's cache.
	cachedTokens int
}

// reservoir is a uniform random sample of the candidates added to it (reservoir
// sampling).
type reservoir struct {
	seen  int
	items [sampleSize]candidate
}

func (r *reservoir) add(c candidate) {
	r.seen++
	if r.seen <= sampleSize {
		r.items[r.seen-1] = c
		return
	}
	if i := rand.IntN(r.seen); i < sampleSize {
		r.items[i] = c
	}
}

func (r *reservoir) full() bool { return r.seen >= sampleSize }

func (r *reservoir) sampled() []candidate { return r.items[:min(r.seen, sampleSize)] }

// shortlist collects the candidates that are compared for a task: a few random
// servers, the prompt's home server, and one of those with the most cached tokens,
// which the samples would rarely include.
type shortlist struct {
	local, remote reservoir
	home          candidate
	hasHome       bool
	// bestCached is drawn at random from the bestCachedCount candidates that share
	// the highest number of cached tokens.
	bestCached      candidate
	bestCachedCount int
}

// empty reports whether no server has been added.
func (l *shortlist) empty() bool { return l.local.seen+l.remote.seen == 0 }

// full reports whether there are enough random servers.
func (l *shortlist) full() bool { return l.local.full() && l.remote.full() }

func (l *shortlist) add(c candidate, local, home bool) {
	if local {
		l.local.add(c)
	} else {
		l.remote.add(c)
	}
	if home {
		l.home, l.hasHome = c, true
	}
	switch {
	case c.cachedTokens == 0 || c.cachedTokens < l.bestCached.cachedTokens:
	case c.cachedTokens > l.bestCached.cachedTokens:
		l.bestCached, l.bestCachedCount = c, 1
	default:
		l.bestCachedCount++
		if rand.IntN(l.bestCachedCount) == 0 {
			l.bestCached = c
		}
	}
}

// candidates returns the collected candidates; some may occur twice.
func (l *shortlist) candidates() []candidate {
	chosen := slices.Concat(l.local.sampled(), l.remote.sampled())
	if l.hasHome {
		chosen = append(chosen, l.home)
	}
	if l.bestCachedCount > 0 {
		chosen = append(chosen, l.bestCached)
	}
	return chosen
}
