package route

import (
	"math/rand/v2"
	"slices"
)

// drawnServers of its own data hall, and as many of the others, are what a choice
// looks at. All nodes of a large deployment hear the same news, some 100 ms after
// it: were each to look at all servers, all would send to the one that looks best
// until they hear of each other. With news of 125 ms and 105 servers, 26 in 100
// requests came to a server as the sixth within 100 ms, and waited for 210 ms; of
// three drawn 3 in 100, for 98 ms, of six 10 in 100, for 115 ms (TestHerd). With
// six nodes and 15 servers it makes no difference.
const drawnServers = 3

// candidate is a server that can take a task, by its place among the task's.
type candidate struct {
	at    int
	state *known
	// held is how many tokens of the prompt the server is believed to have.
	held int
}

// sample is a few of those that are offered, each as likely as any other.
type sample struct {
	offered int
	kept    [drawnServers]candidate
}

func (s *sample) offer(c candidate) {
	s.offered++
	if s.offered <= drawnServers {
		s.kept[s.offered-1] = c
		return
	}
	if at := rand.IntN(s.offered); at < drawnServers {
		s.kept[at] = c
	}
}

func (s *sample) all() []candidate { return s.kept[:min(s.offered, drawnServers)] }

// shortlist is what a choice looks at: a few servers at random, the one that all nodes
// prefer for the prompt, and one of those that hold the most of it, since there are
// few of these where they hold much.
type shortlist struct {
	near, far sample
	home      candidate
	hasHome   bool
	// holder is one of holders, which hold equally much.
	holder  candidate
	holders int
}

func (l *shortlist) offer(c candidate, near, home bool) {
	if near {
		l.near.offer(c)
	} else {
		l.far.offer(c)
	}
	if home {
		l.home, l.hasHome = c, true
	}
	switch {
	case c.held == 0 || c.held < l.holder.held:
	case c.held > l.holder.held:
		l.holder, l.holders = c, 1
	default:
		l.holders++
		if rand.IntN(l.holders) == 0 {
			l.holder = c
		}
	}
}

// all returns what was drawn, some of it twice.
func (l *shortlist) all() []candidate {
	chosen := slices.Concat(l.near.all(), l.far.all())
	if l.hasHome {
		chosen = append(chosen, l.home)
	}
	if l.holders > 0 {
		chosen = append(chosen, l.holder)
	}
	return chosen
}
