package view_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/view"
)

func members(n, halls int) []view.Member {
	var list []view.Member
	for i := range n {
		vm := fmt.Sprintf("vm-%03d", i)
		list = append(list, view.Member{ID: view.MemberID(vm, "1"), VM: vm, Region: "home", DataHall: fmt.Sprint("hall-", i%halls)})
	}
	return list
}

// TestReplicas spreads keys evenly, over as many data halls as there are, and
// moves only what a change concerns.
func TestReplicas(t *testing.T) {
	tests := []struct{ nodes, halls, replicas, inHalls int }{
		{1, 1, 1, 1}, {2, 2, 2, 2}, {3, 3, 3, 3}, {6, 3, 3, 3}, {7, 2, 3, 2}, {6, 1, 3, 1}, {160, 3, 3, 3}, {70, 7, 3, 3},
	}
	const keys = 3000
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d nodes in %d halls", tt.nodes, tt.halls), func(t *testing.T) {
			v := view.Empty().Change(members(tt.nodes, tt.halls), nil)
			gone := v.Members()[0]
			after := v.Change(nil, []string{gone.ID})
			load := make(map[string]int)
			for i := range keys {
				key := fmt.Sprint("key-", i)
				replicas := v.Replicas("home", key)
				must.Len(t, tt.replicas, replicas)
				halls, had := make(map[string]bool), false
				for _, m := range replicas {
					halls[m.DataHall] = true
					load[m.ID]++
					had = had || m.ID == gone.ID
				}
				must.Eq(t, tt.inHalls, len(halls))
				if !had && tt.nodes > 3 {
					must.Eq(t, replicas, after.Replicas("home", key), must.Sprint("a key that had no part in the change moved"))
				}
			}
			mean := keys * tt.replicas / tt.nodes
			for id, n := range load {
				must.Between(t, mean/3, n, mean*3, must.Sprint(id))
			}
			must.SliceEmpty(t, v.Replicas("elsewhere", "key"))
		})
	}
}

// TestHistory finds the earlier views again from a stored one.
func TestHistory(t *testing.T) {
	v := view.Empty()
	var lists [][]view.Member
	for _, m := range members(5, 3) {
		v = v.Change([]view.Member{m}, nil)
		lists = append(lists, v.Members())
	}
	again := v.Members()[2]
	again.ID = view.MemberID(again.VM, "2")
	v = v.Change([]view.Member{again}, nil)
	must.False(t, v.Has(view.MemberID(again.VM, "1")), must.Sprint("a new incarnation takes the old one's place"))
	data, err := v.Encode()
	must.NoError(t, err)
	stored, err := view.Decode(data)
	must.NoError(t, err)
	earlier := stored.Earlier()
	must.Len(t, 6, earlier)
	for i, list := range lists {
		got := earlier[len(lists)-1-i]
		must.Eq(t, int64(i+1), got.Epoch())
		must.Len(t, len(list), got.Members())
		for _, m := range list {
			must.True(t, got.Has(m.ID))
		}
	}
	must.Nil(t, v.Change([]view.Member{again}, []string{"nobody"}), must.Sprint("nothing changes"))
}
