// Package nodelist is a stand-in, for tests, of a list of nodes that its nodes learn of at
// different times.
//
// # Usage
//
//	list := &nodelist.List{}
//	n := list.Add(view.Member{VM: "n-1", DataHall: "hall-1"})
//	n.SetListed(true)
//	n.SetLag(time.Second) // what it knows is that old
//	n.Cut()               // it learns of nothing more
package nodelist

import (
	"slices"
	"time"

	"github.com/violettally/violettally/view"
)

// List is the list of nodes and its history. It is used by one goroutine.
type List struct {
	nodes []*Node
	// history holds the list at different times, the last one as it is.
	history []snapshot
}

// snapshot is the list from a time on.
type snapshot struct {
	at     time.Time
	nodes  []view.Member
	listed map[string]bool
}

// Node is one node, and what it knows of the list. It implements owner.Nodes.
type Node struct {
	list   *List
	self   view.Member
	listed bool
	// lag is how old what the node knows is; a node that is cut off knows the list of cutAt.
	lag   time.Duration
	cutAt time.Time
	// others is the list without the node itself, as of the snapshot at othersAt.
	others   []view.Member
	othersAt int
}

// Add returns a further node, which is not listed.
func (l *List) Add(self view.Member) *Node {
	n := &Node{list: l, self: self}
	l.nodes = append(l.nodes, n)
	return n
}

// Self returns the node as a member.
func (n *Node) Self() view.Member { return n.self }

// SetListed puts the node on the list or takes it off.
func (n *Node) SetListed(listed bool) {
	n.listed = listed
	s := snapshot{at: time.Now(), listed: make(map[string]bool)}
	for _, other := range n.list.nodes {
		if other.listed {
			s.nodes = append(s.nodes, other.self)
			s.listed[other.self.VM] = true
		}
	}
	if last := len(n.list.history) - 1; last >= 0 && n.list.history[last].at.Equal(s.at) {
		n.list.history[last] = s
		return
	}
	n.list.history = append(n.list.history, s)
}

// SetLag sets how old what the node knows is.
func (n *Node) SetLag(lag time.Duration) { n.lag = lag }

// Cut cuts the node off from the list, unless it is cut off already. It reports whether it was
// not.
func (n *Node) Cut() bool {
	if !n.cutAt.IsZero() {
		return false
	}
	n.cutAt = time.Now()
	return true
}

// Mend ends a Cut.
func (n *Node) Mend() { n.cutAt = time.Time{} }

// known returns the position in the history of the list that the node knows; -1 for none.
func (n *Node) known() int {
	at := time.Now().Add(-n.lag)
	if !n.cutAt.IsZero() && n.cutAt.Before(at) {
		at = n.cutAt
	}
	for i, s := range slices.Backward(n.list.history) {
		if !s.at.After(at) {
			return i
		}
	}
	return -1
}

// Listed reports whether the node is on the list that it knows.
func (n *Node) Listed() bool {
	i := n.known()
	return i >= 0 && n.list.history[i].listed[n.self.VM]
}

// Others returns the other nodes on the list that the node knows, the same slice until that
// changes.
func (n *Node) Others() []view.Member {
	i := n.known()
	if i < 0 {
		return nil
	}
	if n.others == nil || n.othersAt != i {
		n.othersAt = i
		n.others = slices.DeleteFunc(slices.Clone(n.list.history[i].nodes), func(m view.Member) bool { return m == n.self })
	}
	return n.others
}

// Age returns how old what the node knows is.
func (n *Node) Age() time.Duration {
	if n.cutAt.IsZero() {
		return n.lag
	}
	return time.Since(n.cutAt)
}
