package tree_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/tree"
	"github.com/violettally/violettally/view"
)

// hall returns a data hall of ten large VMs and the given number of small ones.
func hall(small int) []view.Member {
	var nodes []view.Member
	for i := range 10 {
		nodes = append(nodes, view.Member{VM: fmt.Sprintf("large-%d", i), FanOut: 24})
	}
	for i := range small {
		nodes = append(nodes, view.Member{VM: fmt.Sprintf("a-small-%d", i), FanOut: 8})
	}
	return nodes
}

// depth returns the number of steps from a node to the root.
func depth(vm string, parents map[string]string) int {
	if parents[vm] == "" {
		return 0
	}
	return 1 + depth(parents[vm], parents)
}

// TestShape checks depth and fan-out in data halls of up to 2,000 nodes: the number of nodes
// that follow one is bounded, whatever the size.
func TestShape(t *testing.T) {
	for _, tt := range []struct{ small, depth, children int }{
		{0, 1, 9}, {10, 1, 19}, {50, 2, 24}, {187, 2, 24}, {300, 2, 36}, {1000, 3, 36},
	} {
		t.Run(fmt.Sprint(tt.small), func(t *testing.T) {
			nodes := hall(tt.small)
			children := make(map[string]int)
			parents := make(map[string]string)
			for _, n := range nodes {
				if candidates := tree.Parents(n, nodes); len(candidates) > 0 {
					parents[n.VM] = candidates[0].VM
					children[candidates[0].VM]++
					must.LessEq(t, 3*(tt.depth+1), len(candidates))
				}
			}
			for _, n := range nodes {
				must.LessEq(t, tt.depth, depth(n.VM, parents))
			}
			for vm, count := range children {
				must.LessEq(t, tt.children, count, must.Sprint(vm))
			}
			must.Eq(t, "large-0", tree.Roots(nodes)[0].VM)
		})
	}
}

// TestNoCycle checks that no two nodes follow each other whose lists of nodes differ.
func TestNoCycle(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	nodes := hall(100)
	follows := make(map[string][]string)
	for _, n := range nodes {
		known := slices.DeleteFunc(slices.Clone(nodes), func(m view.Member) bool { return m != n && random.IntN(3) == 0 })
		for _, p := range tree.Parents(n, known) {
			follows[n.VM] = append(follows[n.VM], p.VM)
		}
	}
	for vm, parents := range follows {
		for _, p := range parents {
			must.SliceNotContains(t, follows[p], vm)
		}
	}
}

// TestStable checks that few nodes change their parent when one joins or leaves.
func TestStable(t *testing.T) {
	nodes := hall(187)
	without := slices.Delete(slices.Clone(nodes), 50, 51)
	changed := 0
	for _, n := range without {
		if p := tree.Parents(n, nodes); len(p) > 0 && p[0] != tree.Parents(n, without)[0] {
			changed++
		}
	}
	must.LessEq(t, 5, changed)
}

// TestAbsurdFanOutEndsProcess checks that nodes which claim to serve very many others, or fewer than none, have places
// in the tree, as all others do.
func TestAbsurdFanOutEndsProcess(t *testing.T) {
	for _, fanOut := range []int{math.MaxInt, math.MaxInt / 2, math.MinInt} {
		nodes := hall(100)
		for i := range 20 {
			nodes = append(nodes, view.Member{VM: fmt.Sprintf("odd-%d", i), FanOut: fanOut})
		}
		for _, n := range nodes {
			parents := tree.Parents(n, nodes)
			must.LessEq(t, 30, len(parents))
		}
	}
}

// TestUnknownSelf checks that a node which is not listed yet has parents as well.
func TestUnknownSelf(t *testing.T) {
	must.Positive(t, len(tree.Parents(view.Member{VM: "new", FanOut: 8}, hall(10))))
	must.SliceEmpty(t, tree.Parents(view.Member{VM: "new"}, nil))
	must.SliceEmpty(t, tree.Roots(nil))
}

// BenchmarkParents measures the computation of a node's place, which each change of the list
// causes.
func BenchmarkParents(b *testing.B) {
	for _, size := range []int{90, 290, 990, 1990} {
		b.Run(fmt.Sprint(size+10), func(b *testing.B) {
			nodes := hall(size)
			for b.Loop() {
				tree.Parents(nodes[len(nodes)-1], nodes)
			}
		})
	}
}
