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

// TestReplicas checks that keys are spread evenly over the members, each key over
// as many data halls as possible, and that the removal of a member moves only the
// keys it held.
func TestReplicas(t *testing.T) {
	tests := []struct{ nodes, halls, replicas, inHalls int }{
		{1, 1, 1, 1}, {2, 2, 2, 2}, {3, 3, 3, 3}, {6, 3, 3, 3}, {7, 2, 3, 2}, {6, 1, 3, 1}, {160, 3, 3, 3}, {70, 7, 3, 3},
	}
	const keys = 3000
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d nodes in %d halls", tt.nodes, tt.halls), func(t *testing.T) {
			v := view.Empty().Change(members(tt.nodes, tt.halls), nil)
			removed := v.Members()[0]
			after := v.Change(nil, []string{removed.ID})
			load := make(map[string]int)
			for i := range keys {
				key := fmt.Sprint("key-", i)
				replicas := v.Replicas("home", key)
				must.Len(t, tt.replicas, replicas)
				halls, hadRemoved := make(map[string]bool), false
				for _, m := range replicas {
					halls[m.DataHall] = true
					load[m.ID]++
					hadRemoved = hadRemoved || m.ID == removed.ID
				}
				must.Eq(t, tt.inHalls, len(halls))
				if !hadRemoved && tt.nodes > 3 {
					must.Eq(t, replicas, after.Replicas("home", key), must.Sprint("a key without the removed member as a replica moved"))
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

// TestHistory checks that the earlier views can be rebuilt from a stored view.
func TestHistory(t *testing.T) {
	v := view.Empty()
	var lists [][]view.Member
	for _, m := range members(5, 3) {
		v = v.Change([]view.Member{m}, nil)
		lists = append(lists, v.Members())
	}
	restarted := v.Members()[2]
	restarted.ID = view.MemberID(restarted.VM, "2")
	v = v.Change([]view.Member{restarted}, nil)
	must.False(t, v.Has(view.MemberID(restarted.VM, "1")), must.Sprint("a new incarnation must replace the old one"))
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
	must.Nil(t, v.Change([]view.Member{restarted}, []string{"nobody"}), must.Sprint("a change without effect must give no view"))
}
