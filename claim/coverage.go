package claim

import (
	"slices"

	"github.com/violettally/violettally/view"
)

// transfer is the state of taking over key ranges at one epoch.
type transfer struct {
	self    string
	current *view.View
	// earlier holds the views of earlier epochs, latest first, as far as the
	// history reaches. historyComplete says that it reaches back to the first
	// member.
	earlier         []*view.View
	historyComplete bool
	// read holds the coverage of each member that was read, by its ID.
	read map[string]coverage
	// dead says which unread members have ended for good.
	dead map[string]bool
	// synced says that this member holds all won claims of its ranges.
	synced bool
	// outgoing holds the sorted keys that each other member takes over.
	outgoing map[string][]string
}

// coverage says for which epochs a member's table is complete: those at which
// it held all won claims of its ranges, and the first one whose votes it still
// has.
type coverage struct {
	syncedEpochs []int64
	firstEpoch   int64
}

func (c coverage) syncedAt(epoch int64) bool { return slices.Contains(c.syncedEpochs, epoch) }

// newTransfer starts taking over ranges for the current view. This node's own
// table counts as read.
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
		read, needed, synced := t.countReads(v, before)
		if !sameMembers(before, replicas) && read < needed {
			return false
		}
		if synced {
			return true
		}
	}
	return t.historyComplete
}

// countReads returns how many replicas of an earlier epoch were read, how many
// have to be, and whether one of those read was synced at that epoch.
func (t *transfer) countReads(v *view.View, before []view.Member) (read, needed int, synced bool) {
	alive := 0
	for _, m := range before {
		got, replied := t.read[m.ID]
		switch {
		case replied && got.firstEpoch <= v.Epoch():
			read++
			alive++
			synced = synced || got.syncedAt(v.Epoch())
		case !replied && !t.dead[m.ID]:
			alive++
		}
	}
	return read, min(readQuorum(len(before)), alive), synced
}

// lostMembers names the members of one epoch that ended before they were read.
type lostMembers struct {
	view    *view.View
	members []string
}

// allReady reports whether every key is ready, judged by the members alone
// without going through the keys, and which members were lost.
func (t *transfer) allReady() (losses []lostMembers, ok bool) {
	for _, v := range t.earlier {
		progress := t.progress(v)
		mayMiss := progress.maxUnreadReplicas(v) > toleratedUnread(v)
		if progress.pending > 0 && mayMiss {
			return nil, false
		}
		if len(progress.dead) > 0 && mayMiss {
			losses = append(losses, lostMembers{view: v, members: progress.dead})
		}
		if progress.unsynced == 0 {
			return losses, true
		}
	}
	if !t.historyComplete && len(t.earlier) > 0 {
		// The history does not reach an epoch at which all were synced. Count
		// the oldest members as lost, which is always safe.
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

// readProgress says how many members of one epoch were read.
type readProgress struct {
	dead []string
	// unread counts members that were not read, dead ones included, and
	// unreadHalls holds their data halls.
	unread      int
	unreadHalls map[string]bool
	// pending counts unread members that are not dead.
	pending int
	// unsynced counts members that were read and were not synced at the epoch.
	unsynced int
}

// maxUnreadReplicas returns an upper bound of the unread replicas of any one key.
// With enough data halls, the replicas of a key are in different ones.
func (p readProgress) maxUnreadReplicas(v *view.View) int {
	if countDataHalls(v) >= view.ReplicaCount {
		return len(p.unreadHalls)
	}
	return p.unread
}

// toleratedUnread returns how many replicas of a key may stay unread without
// missing a won claim.
func toleratedUnread(v *view.View) int {
	replicas := min(view.ReplicaCount, len(v.Members()))
	return replicas - readQuorum(replicas)
}

func (t *transfer) progress(v *view.View) readProgress {
	p := readProgress{unreadHalls: make(map[string]bool)}
	for _, m := range v.Members() {
		got, replied := t.read[m.ID]
		if replied && got.firstEpoch <= v.Epoch() {
			if !got.syncedAt(v.Epoch()) {
				p.unsynced++
			}
			continue
		}
		p.unread++
		p.unreadHalls[m.DataHall] = true
		if replied || t.dead[m.ID] {
			p.dead = append(p.dead, m.ID)
		} else {
			p.pending++
		}
	}
	return p
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
