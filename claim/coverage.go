package claim

import (
	"slices"

	"github.com/violettally/violettally/view"
)

// transfer is the taking over of ranges at one epoch.
type transfer struct {
	self    string
	current *view.View
	// earlier views, latest first, as far as the history reaches. It is
	// whole if it reaches back to the first member.
	earlier []*view.View
	whole   bool
	// answered holds what each member that was read can vouch for.
	answered map[string]reading
	dead     map[string]bool
	settled  bool
	outgoing map[string][]string
}

// reading is what a member that was read can vouch for: the epochs that it had
// settled at, and the first one whose votes it still has.
type reading struct {
	settled []int64
	since   int64
}

func (r reading) settledAt(epoch int64) bool { return slices.Contains(r.settled, epoch) }

// newTransfer starts taking over for current. This node's own table counts as
// read.
func newTransfer(self string, current *view.View, own reading) *transfer {
	t := &transfer{
		self:     self,
		current:  current,
		answered: map[string]reading{self: own},
		dead:     make(map[string]bool),
	}
	for _, before := range current.Earlier() {
		if len(before.Members()) == 0 {
			t.whole = true
			break
		}
		t.earlier = append(t.earlier, before)
	}
	return t
}

// ready reports whether enough replicas of a key's earlier epochs were read.
func (t *transfer) ready(region, key string, replicas []view.Member) bool {
	if t.settled {
		return true
	}
	for _, v := range t.earlier {
		before := v.Replicas(region, key)
		read, needed, settled := t.tally(v, before)
		if !sameMembers(before, replicas) && read < needed {
			return false
		}
		if settled {
			return true
		}
	}
	return t.whole
}

// tally counts the replicas of an earlier epoch that were read, how many have
// to be, and whether one of those read had settled at it.
func (t *transfer) tally(v *view.View, before []view.Member) (read, needed int, settled bool) {
	alive := 0
	for _, m := range before {
		got, answered := t.answered[m.ID]
		switch {
		case answered && got.since <= v.Epoch():
			read++
			alive++
			settled = settled || got.settledAt(v.Epoch())
		case !answered && !t.dead[m.ID]:
			alive++
		}
	}
	return read, min(readQuorum(len(before)), alive), settled
}

// loss names members of one epoch that died without having been read.
type loss struct {
	view    *view.View
	members []string
}

// complete reports whether every key is ready, judged by the members alone,
// and what was lost.
func (t *transfer) complete() (losses []loss, ok bool) {
	for _, v := range t.earlier {
		unread := t.survey(v)
		mayMiss := unread.spread(v) > tolerable(v)
		if unread.waiting > 0 && mayMiss {
			return nil, false
		}
		if len(unread.dead) > 0 && mayMiss {
			losses = append(losses, loss{view: v, members: unread.dead})
		}
		if unread.unsettled == 0 {
			return losses, true
		}
	}
	if !t.whole && len(t.earlier) > 0 {
		// The history ends before anybody had settled: count the oldest
		// members as lost, which is never wrong.
		oldest := t.earlier[len(t.earlier)-1]
		losses = append(losses, loss{view: oldest, members: memberIDs(oldest)})
	}
	return losses, true
}

func memberIDs(v *view.View) []string {
	ids := make([]string, len(v.Members()))
	for i, m := range v.Members() {
		ids[i] = m.ID
	}
	return ids
}

// surveyed sums up how far the members of one epoch were read.
type surveyed struct {
	dead []string
	// unread counts members that were not read, dead ones included; halls are
	// theirs.
	unread int
	halls  map[string]bool
	// waiting counts unread members that are not dead.
	waiting int
	// unsettled counts living members that had not settled at the epoch.
	unsettled int
}

// spread returns how many replicas of one key may be unread at the most. With
// enough data halls the replicas of a key lie in different ones.
func (s surveyed) spread(v *view.View) int {
	if halls(v) >= view.ReplicaCount {
		return len(s.halls)
	}
	return s.unread
}

// tolerable returns how many replicas of a key may stay unread.
func tolerable(v *view.View) int {
	replicas := min(view.ReplicaCount, len(v.Members()))
	return replicas - readQuorum(replicas)
}

func (t *transfer) survey(v *view.View) surveyed {
	s := surveyed{halls: make(map[string]bool)}
	for _, m := range v.Members() {
		got, answered := t.answered[m.ID]
		if answered && got.since <= v.Epoch() {
			if !got.settledAt(v.Epoch()) {
				s.unsettled++
			}
			continue
		}
		s.unread++
		s.halls[m.DataHall] = true
		if answered || t.dead[m.ID] {
			s.dead = append(s.dead, m.ID)
		} else {
			s.waiting++
		}
	}
	return s
}

func halls(v *view.View) int {
	seen := make(map[string]bool)
	for _, m := range v.Members() {
		seen[m.DataHall] = true
	}
	return len(seen)
}

func sameMembers(a, b []view.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !contains(b, m.ID) {
			return false
		}
	}
	return true
}
