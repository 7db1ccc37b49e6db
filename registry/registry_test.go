package registry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/rendezvous"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
)

func ids(r *registry.Registry) []string {
	var ids []string
	for _, s := range r.Servers("s") {
		ids = append(ids, s.ID)
	}
	return ids
}

func TestServers(t *testing.T) {
	r := registry.New(timer.New())
	r.Put(registry.Server{ID: "b", Service: "s"})
	r.Put(registry.Server{ID: "a", Service: "s"})
	r.Put(registry.Server{ID: "c", Service: "other"})
	must.Eq(t, []string{"a", "b"}, ids(r))
	must.True(t, r.Usable(registry.Incarnation{ID: "a"}))
	must.False(t, r.Usable(registry.Incarnation{ID: "a", Born: 7}))
	must.False(t, r.Usable(registry.Incarnation{ID: "unknown"}))
	r.Put(registry.Server{ID: "a", Service: "s", Leaving: true})
	must.Eq(t, []string{"b"}, ids(r))
	must.False(t, r.Usable(registry.Incarnation{ID: "a"}))
	must.Eq(t, 0, r.Drop("b"))
	must.SliceEmpty(t, ids(r))
	must.Eq(t, 0, r.Drop("unknown"))
	must.Eq(t, map[registry.Incarnation]bool{{ID: "a"}: true, {ID: "c"}: true}, r.Incarnations())
}

// TestListsFollowChanges compares the lists with those of a registry that has seen only the
// latest entries, over random changes: a list is updated in place of being built anew.
func TestListsFollowChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	r := registry.New(timer.New())
	latest := make(map[string]registry.Server)
	for step := range 2000 {
		id := fmt.Sprint(random.IntN(40))
		switch random.IntN(4) {
		case 0:
			r.Drop(id)
			delete(latest, id)
		case 1:
			r.Evacuate("hall", 1)
			r.Restore("hall")
		default:
			s := registry.Server{ID: id, Service: []string{"s", "other"}[random.IntN(2)], DataHall: "hall", Leaving: random.IntN(4) == 0, Slots: step}
			r.Put(s)
			latest[id] = s
		}
		if random.IntN(3) == 0 {
			continue // several changes between two reads
		}
		anew := registry.New(timer.New())
		for _, s := range latest {
			anew.Put(s)
		}
		must.Eq(t, ids(anew), ids(r))
		for _, s := range r.Servers("s") {
			must.Eq(t, latest[s.ID].Slots, s.Slots)
		}
	}
}

// BenchmarkChange measures one changed entry, with the list that the next request reads.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{150, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := registry.New(timer.New())
			for i := range size {
				r.Put(registry.Server{ID: fmt.Sprint("i-", i), Service: "s"})
			}
			for i := 0; b.Loop(); i++ {
				r.Put(registry.Server{ID: fmt.Sprint("i-", i%size), Service: "s", Slots: i})
				r.Servers("s")
			}
		})
	}
}

// BenchmarkUsable measures the check of a server before a request's first byte.
func BenchmarkUsable(b *testing.B) {
	r := registry.New(timer.New())
	for i := range 2800 {
		r.Put(registry.Server{ID: fmt.Sprint(i), Service: "s"})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Usable(registry.Incarnation{ID: "7"})
	}
}

// TestRecoveryGrace: a server whose entry is deleted just after the store has recovered
// is kept for two seconds, or until its entry is back. One that is deleted later is
// gone at once.
func TestRecoveryGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registry.New(timer.New())
		for _, id := range []string{"renewed", "lost", "late"} {
			r.Put(registry.Server{ID: id, Service: "s"})
		}
		time.Sleep(time.Minute)
		r.StoreRecovered()
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 1500*time.Millisecond, r.Drop("renewed"))
		must.Eq(t, 1500*time.Millisecond, r.Drop("lost"))
		must.Eq(t, []string{"late", "lost", "renewed"}, ids(r))
		r.Put(registry.Server{ID: "renewed", Service: "s"})
		time.Sleep(1600 * time.Millisecond)
		must.Eq(t, []string{"late", "renewed"}, ids(r))
		must.Eq(t, 0, r.Drop("late"))
		must.Eq(t, []string{"renewed"}, ids(r))
	})
}

// TestNoGraceWhenLeaving: a server that was leaving gets no grace period after an
// outage of the store.
func TestNoGraceWhenLeaving(t *testing.T) {
	r := registry.New(timer.New())
	r.Put(registry.Server{ID: "a", Service: "s", Leaving: true})
	r.StoreRecovered()
	r.Drop("a")
	must.SliceEmpty(t, ids(r))
}

// TestIncarnations puts successive entries under one ID and checks the result of each.
func TestIncarnations(t *testing.T) {
	r := registry.New(timer.New())
	for _, tt := range []struct {
		name    string
		born    int64
		leaving bool
		result  registry.PutResult
		usable  bool
	}{
		{"new", 1000, false, registry.PutResultUpdate, true},
		{"unchanged", 1000, false, registry.PutResultUpdate, true},
		{"leaving", 1000, true, registry.PutResultUpdate, false},
		{"restarted and not leaving", 2000, false, registry.PutResultRestart, true},
		{"late write of the first incarnation", 1000, true, registry.PutResultOld, true},
		{"without a start time", 0, false, registry.PutResultRestart, true},
		{"with a start time again", 1500, false, registry.PutResultRestart, true},
	} {
		must.Eq(t, tt.result, r.Put(registry.Server{ID: "a", Service: "s", Born: tt.born, Leaving: tt.leaving}), must.Sprint(tt.name))
		must.Eq(t, tt.usable, len(ids(r)) == 1, must.Sprint(tt.name))
	}
	must.Eq(t, map[registry.Incarnation]bool{{ID: "a", Born: 1500}: true}, r.Incarnations())
	r.Drop("a")
	must.Eq(t, registry.PutResultUpdate, r.Put(registry.Server{ID: "a", Service: "s", Born: 1000}))
}

// TestInvalidEntry: a server with an invalid entry is out of use until its next valid
// one, and gets no grace period after an outage of the store.
func TestInvalidEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registry.New(timer.New())
		r.Put(registry.Server{ID: "a", Service: "s", Born: 1})
		must.True(t, r.MarkInvalid("a", "type"))
		must.False(t, r.MarkInvalid("a", "type"))
		must.True(t, r.MarkInvalid("a", "state"))
		must.SliceEmpty(t, ids(r))
		must.Eq(t, map[registry.Incarnation]bool{{ID: "a", Born: 1}: true}, r.Incarnations())
		must.Eq(t, registry.PutResultUpdate, r.Put(registry.Server{ID: "a", Service: "s", Born: 1}))
		must.Eq(t, []string{"a"}, ids(r))
		must.True(t, r.MarkInvalid("a", "state"))

		r.StoreRecovered()
		must.Eq(t, 0, r.Drop("a"))
		must.SliceEmpty(t, ids(r))
		must.MapEmpty(t, r.Incarnations())
		must.True(t, r.MarkInvalid("unknown", "type"))
		must.Eq(t, 0, r.Drop("unknown"))
		must.True(t, r.MarkInvalid("unknown", "type"))
	})
}

// TestIncarnationHash: incarnations under one ID have different hashes; one without a
// start time has the hash of its ID, which is also the hash at nodes that do not
// support incarnations.
func TestIncarnationHash(t *testing.T) {
	hashes := make(map[uint64]bool)
	for _, s := range []registry.Incarnation{{ID: "a"}, {ID: "a", Born: 1}, {ID: "a", Born: 2}, {ID: "b", Born: 1}} {
		hashes[s.Hash()] = true
	}
	must.MapLen(t, 4, hashes)
	must.Eq(t, rendezvous.Hash("a"), registry.Incarnation{ID: "a"}.Hash())
}
