package share

import (
	"maps"
	"slices"
	"time"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/tree"
	"github.com/violettally/violettally/view"
)

// layout is a node's place among the others. It is computed anew when the list of nodes changes.
type layout struct {
	// first and count identify the list that it was computed from.
	first *view.Member
	count int
	// parents are the nodes of the own data hall that this one may call, the preferred one
	// first; none for the root.
	parents []view.Member
	// roots holds, for each data hall whose name sorts after the own one's, the root and those
	// that take its place.
	roots [][]view.Member
	// byAddress holds the nodes that this one may call.
	byAddress map[string]view.Member
}

// newLayout computes a node's place among the others.
func newLayout(self view.Member, others []view.Member) *layout {
	l := &layout{count: len(others), byAddress: make(map[string]view.Member)}
	if len(others) > 0 {
		l.first = &others[0]
	}
	halls := make(map[string][]view.Member)
	for _, m := range others {
		halls[m.DataHall] = append(halls[m.DataHall], m)
	}
	l.parents = tree.Parents(self, append(halls[self.DataHall], self))
	for _, hall := range slices.Sorted(maps.Keys(halls)) {
		if hall > self.DataHall {
			l.roots = append(l.roots, tree.Roots(halls[hall]))
		}
	}
	for _, m := range slices.Concat(l.parents, slices.Concat(l.roots...)) {
		l.byAddress[m.Peer] = m
	}
	return l
}

// describes reports whether the layout was computed from a list of nodes.
func (l *layout) describes(others []view.Member) bool {
	return l != nil && l.count == len(others) && (len(others) == 0 || l.first == &others[0])
}

// hashes returns the hashes of a node's ID and of its data hall.
func (l *layout) hashes(address string) (node, hall uint64) {
	m, known := l.byAddress[address]
	if !known {
		return 0, 0
	}
	return rendezvous.Hash(m.ID), rendezvous.Hash(m.DataHall)
}

// targets returns the nodes that this one calls: its parent in the tree of its data hall or, if
// it is the root, the roots of the data halls whose names sort after its own. Those that are
// skipped are replaced by the next ones; a node all of whose parents are takes the root's part.
func (l *layout) targets(skipped func(address string) bool) []string {
	if parent, ok := firstOf(l.parents, skipped); ok {
		return []string{parent}
	}
	var addresses []string
	for _, candidates := range l.roots {
		if root, ok := firstOf(candidates, skipped); ok {
			addresses = append(addresses, root)
		}
	}
	return addresses
}

// firstOf returns the address of the first node that is not skipped.
func firstOf(nodes []view.Member, skipped func(address string) bool) (address string, ok bool) {
	i := slices.IndexFunc(nodes, func(m view.Member) bool { return !skipped(m.Peer) })
	if i < 0 {
		return "", false
	}
	return nodes[i].Peer, true
}

// interval returns the time between two calls of a node. Servers grow with the nodes while the
// number of records that a node receives does not, so a record is of the less use the more nodes
// there are. From smallDeployment nodes on, the interval grows with the square of their number,
// so that the calls of all nodes together become fewer.
func (l *layout) interval() time.Duration {
	scale := max(1, float64(l.count+1)/smallDeployment)
	return min(maxExchangeInterval, time.Duration(scale*scale*float64(exchangeInterval)))
}
