package registry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
)

// TestEvacuate checks which servers are in use through the evacuations of two data halls,
// and when they come back.
func TestEvacuate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.New()
		defer timers.Close()
		r := registry.New(timers)
		r.Put(registry.Server{ID: "a", Service: "s", DataHall: "north"})
		r.Put(registry.Server{ID: "b", Service: "s", DataHall: "south"})
		steps := []struct {
			name   string
			do     func() bool
			first  bool
			usable []string
			only   bool // all servers are unusable because of evacuations
		}{
			{"north", func() bool { _, first := r.Evacuate("north", 7); return first }, true, []string{"b"}, false},
			{"north again", func() bool { _, first := r.Evacuate("north", 9); return first }, false, []string{"b"}, false},
			{"unknown hall", func() bool { _, first := r.Evacuate("nowhere", 10); return first }, true, []string{"b"}, false},
			{"server registers there", func() bool { r.Put(registry.Server{ID: "c", Service: "s", DataHall: "north"}); return false }, false, []string{"b"}, false},
			{"south too", func() bool { _, first := r.Evacuate("south", 11); return first }, true, nil, true},
			{"north back", func() bool { e, ok := r.Restore("north"); return ok && e.Revision == 7 }, true, []string{"a", "c"}, false},
			{"north back again", func() bool { _, ok := r.Restore("north"); return ok }, false, []string{"a", "c"}, false},
		}
		for _, s := range steps {
			time.Sleep(time.Second)
			must.Eq(t, s.first, s.do(), must.Sprint(s.name))
			var ids []string
			for _, server := range r.Servers("s") {
				ids = append(ids, server.ID)
				must.True(t, r.Usable(server.Incarnation()))
			}
			must.Eq(t, s.usable, ids, must.Sprint(s.name))
			must.Eq(t, s.only, ids == nil && r.HasEvacuated("s"), must.Sprint(s.name))
		}
		must.False(t, r.Usable(registry.Incarnation{ID: "b"}))
		must.Len(t, 1, r.Evacuated("south"))
		must.SliceEmpty(t, r.Evacuated("north"))
		must.Eq(t, time.Second, timers.Steady().Sub(r.Servers("s")[0].Restored))
	})
}
