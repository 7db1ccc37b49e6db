package warmup

import (
	"time"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/mirror"
)

// otherNode is another node that may own servers.
type otherNode struct {
	hash     uint64
	dataHall string
	// listed means that the node is in the present list; else lastSeen is when it was last.
	listed   bool
	lastSeen time.Time
}

// owns reports whether this node has the highest score for a server among the nodes of the
// server's data hall, or among all nodes if there are none. The caller holds mu.
func (l *Limiter) owns(dataHall string, hash uint64) bool {
	local := l.self.DataHall == dataHall
	for _, o := range l.others {
		local = local || o.dataHall == dataHall
	}
	if local && l.self.DataHall != dataHall {
		return false
	}
	own := rendezvous.Score(hash, rendezvous.Hash(l.self.VM))
	for _, o := range l.others {
		if (!local || o.dataHall == dataHall) && rendezvous.Score(hash, o.hash) > own {
			return false
		}
	}
	return true
}

// refresh reads the list of nodes again after refreshInterval. The caller holds mu.
func (l *Limiter) refresh(now time.Time) {
	if now.Sub(l.refreshedAt) < refreshInterval {
		return
	}
	if now.Sub(l.refreshedAt) > maxRefreshGap {
		l.listedSince = time.Time{}
	}
	l.refreshedAt = now
	switch upToDate := l.nodes.Listed() && l.nodes.Age() < mirror.MaxStaleness; {
	case !upToDate:
		l.listedSince = time.Time{}
	case l.listedSince.IsZero():
		l.listedSince = now
	}
	mayOwn := !l.listedSince.IsZero() && now.Sub(l.listedSince) >= handover
	if l.updateOthers(now) || mayOwn != l.mayOwn {
		l.mayOwn = mayOwn
		l.forgetOwners()
	}
	for hash, s := range l.servers {
		if now.Sub(s.warmAt) >= window {
			delete(l.servers, hash)
		}
	}
}

// forgetOwners makes the owners of all servers be computed again. The caller holds mu.
func (l *Limiter) forgetOwners() {
	l.last = ownedList{}
	for _, s := range l.servers {
		s.ownerKnown = false
	}
}

// updateOthers updates the list of other nodes, and reports whether it has changed. The
// caller holds mu.
func (l *Limiter) updateOthers(now time.Time) (changed bool) {
	others := l.nodes.Others()
	if len(others) > 0 && l.listFirst == &others[0] && l.listCount == len(others) {
		l.listedAt = now
		return l.removeGone(now)
	}
	// Those that are not listed any more were listed until the last look.
	for vm, o := range l.others {
		if o.listed {
			o.listed, o.lastSeen = false, l.listedAt
			l.others[vm] = o
		}
	}
	l.hasGone = true
	l.listFirst, l.listCount, l.listedAt = nil, len(others), now
	if len(others) > 0 {
		l.listFirst = &others[0]
	}
	for _, m := range others {
		known, ok := l.others[m.VM]
		if !ok || known.dataHall != m.DataHall {
			changed = true
			known = otherNode{hash: rendezvous.Hash(m.VM), dataHall: m.DataHall}
		}
		known.listed = true
		l.others[m.VM] = known
	}
	return l.removeGone(now) || changed
}

// removeGone removes the nodes that have not been listed for handover, and reports whether there
// were any. The caller holds mu.
func (l *Limiter) removeGone(now time.Time) (changed bool) {
	if !l.hasGone {
		return false
	}
	l.hasGone = false
	for vm, o := range l.others {
		switch {
		case o.listed:
		case now.Sub(o.lastSeen) > handover:
			delete(l.others, vm)
			changed = true
		default:
			l.hasGone = true
		}
	}
	return changed
}
