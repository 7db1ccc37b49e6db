// Package tree arranges the nodes of a data hall in a tree of bounded fan-out, in which news
// passes from the root to all others.
//
// There is no agreement: each node computes its own place from its list of nodes. The nodes
// are ordered by the number of others that they can serve, and by name. The first is the root,
// and each level holds as many as the level above can serve. A node follows one of the level
// above, chosen by rendezvous hashing, so that few nodes change their parent when others join
// or leave, and the nodes of a lost parent spread over the rest of its level.
//
// Nodes whose lists differ may compute different trees. Since a node only ever follows one
// that comes before it in the order, no two nodes follow each other all the same.
//
// # Usage
//
//	parents := tree.Parents(self, hall) // the preferred one first; none for the root
package tree

import (
	"cmp"
	"slices"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/view"
)

const (
	// alternatives is how many nodes of a level are named as parents, so that one that is lost
	// can be replaced at once.
	alternatives = 3
	// minFanOut is assumed for nodes that say less.
	minFanOut = 8
)

// before reports the order of two nodes: those that can serve more come first.
func before(a, b view.Member) int {
	return cmp.Or(cmp.Compare(b.FanOut, a.FanOut), cmp.Compare(a.VM, b.VM))
}

// Parents returns the nodes that a node may follow, the preferred one first: some of the level
// above its own, then of the one above that, up to the root, and the first ones of its own
// level, of which one takes the place of a lost root. Nodes may contain the node itself, and is
// not modified.
func Parents(self view.Member, nodes []view.Member) []view.Member {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, before)
	place, _ := slices.BinarySearchFunc(ordered, self, before)
	key := rendezvous.Hash(self.VM)
	var parents []view.Member
	levels := levelsBefore(ordered, place)
	above := 0
	for _, level := range slices.Backward(levels) {
		parents = append(parents, highest(level, key, alternatives)...)
		above += len(level)
	}
	own := ordered[above:place]
	return append(parents, own[:min(alternatives, len(own))]...)
}

// Roots returns the first nodes of a data hall: the root, and those that take its place if it is
// lost.
func Roots(nodes []view.Member) []view.Member {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, before)
	return ordered[:min(alternatives, len(ordered))]
}

// levelsBefore splits the nodes before a place into the levels above that place's own.
func levelsBefore(ordered []view.Member, place int) [][]view.Member {
	var levels [][]view.Member
	for start, size := 0, 1; start+size <= place; {
		level := ordered[start : start+size]
		levels = append(levels, level)
		start += size
		size = 0
		for _, n := range level {
			size += min(max(minFanOut, n.FanOut), len(ordered)) // what a node says of itself may be absurd
		}
	}
	return levels
}

// highest returns the count nodes with the highest scores for a key, in that order.
func highest(nodes []view.Member, key uint64, count int) []view.Member {
	type scored struct {
		node  view.Member
		score uint64
	}
	all := make([]scored, len(nodes))
	for i, n := range nodes {
		all[i] = scored{n, rendezvous.Score(key, rendezvous.Hash(n.VM))}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]view.Member, min(count, len(all)))
	for i := range chosen {
		chosen[i] = all[i].node
	}
	return chosen
}
