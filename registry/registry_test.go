package registry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

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
	r.Put(registry.Server{ID: "a", Service: "s", Leaving: true})
	must.Eq(t, []string{"b"}, ids(r))
	must.Eq(t, 0, r.Drop("b"))
	must.SliceEmpty(t, ids(r))
	must.Eq(t, 0, r.Drop("unknown"))
	must.Eq(t, map[string]bool{"a": true, "c": true}, r.IDs())
}

// TestLapsedEntries: what is dropped just after the store has come back is
// kept for two seconds, or until it is back; what is dropped later is gone.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registry.New(timer.New())
		for _, id := range []string{"back", "lost", "later"} {
			r.Put(registry.Server{ID: id, Service: "s"})
		}
		time.Sleep(time.Minute)
		r.StoreReturned()
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 1500*time.Millisecond, r.Drop("back"))
		must.Eq(t, 1500*time.Millisecond, r.Drop("lost"))
		must.Eq(t, []string{"back", "later", "lost"}, ids(r))
		r.Put(registry.Server{ID: "back", Service: "s"})
		time.Sleep(1600 * time.Millisecond)
		must.Eq(t, []string{"back", "later"}, ids(r))
		must.Eq(t, 0, r.Drop("later"))
		must.Eq(t, []string{"back"}, ids(r))
	})
}

// TestLeavingLapsed: a server that said that it leaves does not come back by
// the rule for lapsed entries.
func TestLeavingLapsed(t *testing.T) {
	r := registry.New(timer.New())
	r.Put(registry.Server{ID: "a", Service: "s", Leaving: true})
	r.StoreReturned()
	r.Drop("a")
	must.SliceEmpty(t, ids(r))
}
