package route

import (
	"math/rand/v2"
	"slices"
)

// sampleSize of its own data hall, and as many of the others, are what a choice
// looks at. All nodes of a large deployment hear the same news, some 100 ms after
// it: were each to look at all servers, all would send to the one that looks best
// until they hear of each other. With news of 125 ms and 105 servers, 26 in 100
// requests came to a server as the sixth within 100 ms, and waited for 210 ms; of
// three drawn 3 in 100, for 98 ms, of six 10 in 100, for 115 ms (TestHerd). With
// six nodes and 15 servers it makes no difference.
const sampleSize = 3

// candidate is a server that can take a task, by its place among the task's.
type candidate struct {
	index int
	state *balancerServer
	// cachedTokens is how many tokens of the prompt the server is believed to have.
	cachedTokens int
}

// reservoir is a few of those that are offered, each as likely as any other.
type reservoir struct {
	seen  int
	items [sampleSize]candidate
}

func (s *reservoir) add(c candidate) {
	s.seen++
	if s.seen <= sampleSize {
		s.items[s.seen-1] = c
		return
	}
	if at := rand.IntN(s.seen); at < sampleSize {
		s.items[at] = c
	}
}

func (s *reservoir) sampled() []candidate { return s.items[:min(s.seen, sampleSize)] }

// shortlist is what a choice looks at: a few servers at random, the one that all nodes
// prefer for the prompt, and one of those that hold the most of it, since there are
// few of these where they hold much.
type shortlist struct {
	local, remote reservoir
	home          candidate
	hasHome       bool
	// bestCached is one of holders, which hold equally much.
	bestCached      candidate
	bestCachedCount int
}

func (l *shortlist) add(c candidate, near, home bool) {
	if near {
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

// candidates returns what was drawn, some of it twice.
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
