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
	earlier         []*view.View
	historyComplete bool
	// read holds what each member that was read can vouch for.
	read     map[string]coverage
	dead     map[string]bool
	synced   bool
	outgoing map[string][]string
}

// coverage is what a member that was read can vouch for: the epochs that it had
// settled at, and the first one whose votes it still has.
type coverage struct {
	syncedEpochs []int64
	firstEpoch   int64
}

func (r coverage) syncedAt(epoch int64) bool { return slices.Contains(r.syncedEpochs, epoch) }

// newTransfer starts taking over for current. This node's own table counts as
// read.
func newTransfer(self string, current *view.View, own coverage) *transfer {
	t := &transfer{
		self:    self,
		current: current,
		read:    map[string]coverage{self: own},
		dead:    make(map[string]bool),
	}
	for _, before := range current.Earlier() {
		if len(before.Members()) == 0 {
			t.historyComplete = true
			break
		}
		t.earlier = append(t.earlier, before)
	}
	return t
}

// ready reports whether enough replicas of a key's earlier epochs were read.
func (t *transfer) ready(region, key string, replicas []view.Member) bool {
	if t.synced {
		return true
	}
	for _, v := range t.earlier {
		before := v.Replicas(region, key)
		read, needed, settled := t.countReads(v, before)
		if !sameMembers(before, replicas) && read < needed {
			return false
		}
		if settled {
			return true
		}
	}
	return t.historyComplete
}

// countReads counts the replicas of an earlier epoch that were read, how many have
// to be, and whether one of those read had settled at it.
func (t *transfer) countReads(v *view.View, before []view.Member) (read, needed int, settled bool) {
	alive := 0
	for _, m := range before {
		got, answered := t.read[m.ID]
		switch {
		case answered && got.firstEpoch <= v.Epoch():
			read++
			alive++
			settled = settled || got.syncedAt(v.Epoch())
		case !answered && !t.dead[m.ID]:
			alive++
		}
	}
	return read, min(readQuorum(len(before)), alive), settled
}

// lostMembers names members of one epoch that died without having been read.
type lostMembers struct {
	view    *view.View
	members []string
}

// allReady reports whether every key is ready, judged by the members alone,
// and what was lost.
func (t *transfer) allReady() (losses []lostMembers, ok bool) {
	for _, v := range t.earlier {
		unread := t.progress(v)
		mayMiss := unread.maxUnreadReplicas(v) > toleratedUnread(v)
		if unread.pending > 0 && mayMiss {
			return nil, false
		}
		if len(unread.dead) > 0 && mayMiss {
			losses = append(losses, lostMembers{view: v, members: unread.dead})
		}
		if unread.unsynced == 0 {
			return losses, true
		}
	}
	if !t.historyComplete && len(t.earlier) > 0 {
		// The history ends before anybody had settled: count the oldest
		// members as lost, which is never wrong.
		oldest := t.earlier[len(t.earlier)-1]
		losses = append(losses, lostMembers{view: oldest, members: memberIDs(oldest)})
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

// readProgress sums up how far the members of one epoch were read.
type readProgress struct {
	dead []string
	// unread counts members that were not read, dead ones included; halls are
	// theirs.
	unread      int
	unreadHalls map[string]bool
	// pending counts unread members that are not dead.
	pending int
	// unsynced counts living members that had not settled at the epoch.
	unsynced int
}

// maxUnreadReplicas returns how many replicas of one key may be unread at the most. With
// enough data halls the replicas of a key lie in different ones.
func (s readProgress) maxUnreadReplicas(v *view.View) int {
	if countDataHalls(v) >= view.ReplicaCount {
		return len(s.unreadHalls)
	}
	return s.unread
}

// toleratedUnread returns how many replicas of a key may stay unread.
func toleratedUnread(v *view.View) int {
	replicas := min(view.ReplicaCount, len(v.Members()))
	return replicas - readQuorum(replicas)
}

func (t *transfer) progress(v *view.View) readProgress {
	s := readProgress{unreadHalls: make(map[string]bool)}
	for _, m := range v.Members() {
		got, answered := t.read[m.ID]
		if answered && got.firstEpoch <= v.Epoch() {
			if !got.syncedAt(v.Epoch()) {
				s.unsynced++
			}
			continue
		}
		s.unread++
		s.unreadHalls[m.DataHall] = true
		if answered || t.dead[m.ID] {
			s.dead = append(s.dead, m.ID)
		} else {
			s.pending++
		}
	}
	return s
}

func countDataHalls(v *view.View) int {
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
