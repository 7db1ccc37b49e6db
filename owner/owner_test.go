package owner_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

// list is a list of nodes that a test changes.
type list struct {
	listed bool
	others []view.Member
	age    time.Duration
}

func (l *list) Listed() bool          { return l.listed }
func (l *list) Others() []view.Member { return l.others }
func (l *list) Age() time.Duration    { return l.age }

// TestRank checks that all nodes agree on the ranking of a server's owners, and that nodes of its
// data hall come first.
func TestRank(t *testing.T) {
	var nodes []view.Member
	for i := range 9 {
		nodes = append(nodes, view.Member{VM: fmt.Sprint("n-", i), DataHall: fmt.Sprint("hall-", i%3)})
	}
	timers := timer.New()
	defer timers.Close()
	for server := range 100 {
		hash, hall := rendezvous.Hash(fmt.Sprint("s-", server)), fmt.Sprint("hall-", server%4)
		halls := make([]string, len(nodes))
		for i, self := range nodes {
			others := slices.Delete(slices.Clone(nodes), i, i+1)
			r := owner.NewRoster(self, &list{listed: true, others: others}, timers)
			r.Refresh()
			rank := r.Rank(hall, hash)
			must.Eq(t, "", halls[rank])
			halls[rank] = self.DataHall
		}
		if server%4 < 3 {
			must.Eq(t, []string{hall, hall, hall}, halls[:3])
		}
	}
}

// TestOwnershipOverTime checks when a node may own servers, and for how long it counts on those
// that have left.
func TestOwnershipOverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		nodes := &list{others: []view.Member{{VM: "other"}}}
		r := owner.NewRoster(view.Member{VM: "n"}, nodes, timers)
		after := func(d time.Duration) {
			for range d / owner.RefreshInterval {
				time.Sleep(owner.RefreshInterval)
				r.Refresh()
			}
		}
		r.Refresh()
		must.False(t, r.Listed())
		nodes.listed = true
		after(owner.RefreshInterval)
		must.True(t, r.Listed())
		must.False(t, r.Confirmed())
		after(owner.Handover + owner.RefreshInterval)
		must.True(t, r.Confirmed())

		nodes.age = time.Minute
		after(owner.RefreshInterval)
		must.True(t, r.Listed())
		must.False(t, r.Confirmed())

		nodes.others = nil
		after(owner.Handover)
		must.Eq(t, 2, r.Count())
		after(2 * owner.RefreshInterval)
		must.Eq(t, 1, r.Count())
	})
}

// TestLeading checks that the nodes which come first are those of the first ranks, by every node's list.
func TestLeading(t *testing.T) {
	var nodes []view.Member
	for i := range 9 {
		nodes = append(nodes, view.Member{VM: fmt.Sprint("n-", i), DataHall: fmt.Sprint("hall-", i%3)})
	}
	timers := timer.New()
	defer timers.Close()
	for server := range 100 {
		hash, hall := rendezvous.Hash(fmt.Sprint("s-", server)), fmt.Sprint("hall-", server%4)
		for i, self := range nodes {
			others := slices.Delete(slices.Clone(nodes), i, i+1)
			r := owner.NewRoster(self, &list{listed: true, others: others}, timers)
			r.Refresh()
			leading := owner.Leading(self, others, hall, hash, 3)
			must.Eq(t, owner.Leading(nodes[0], nodes[1:], hall, hash, 3), leading)
			must.Len(t, 3, leading)
			if rank := r.Rank(hall, hash); rank < len(leading) {
				must.Eq(t, self, leading[rank])
			}
		}
	}
	must.Eq(t, nodes[:1], owner.Leading(nodes[0], nil, "hall-0", 7, 3))
}

// TestSettledList checks that a list is settled once nobody has come or left for a while.
func TestSettledList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		nodes := &list{listed: true}
		r := owner.NewRoster(view.Member{VM: "n"}, nodes, timers)
		change := func(others ...view.Member) {
			nodes.others = others
			time.Sleep(owner.RefreshInterval)
			r.Refresh()
		}
		settled := func() bool { return r.Settled(time.Second) }
		must.False(t, settled(), must.Sprint("just started"))
		change(view.Member{VM: "a"}, view.Member{VM: "b"})
		time.Sleep(time.Second)
		must.True(t, settled())
		change(view.Member{VM: "b"}, view.Member{VM: "a"})
		must.True(t, settled(), must.Sprint("the same nodes"))
		change(view.Member{VM: "a"})
		must.False(t, settled(), must.Sprint("one has left"))
		time.Sleep(time.Second)
		must.True(t, settled())
		change(view.Member{VM: "a"}, view.Member{VM: "b"})
		must.False(t, settled(), must.Sprint("one has come back"))
	})
}
