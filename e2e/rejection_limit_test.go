package e2e_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/limitrule"
	"github.com/violettally/violettally/internal/slidingwindow"
)

// TestRejectionLimit checks that engines which can reject few requests need not reject more, at
// more requests than they can run, and that requests are refused as not run.
func TestRejectionLimit(t *testing.T) {
	t.Parallel()
	const rejections = 2
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, engines: 2, plainServices: 1, engineArgs: []string{"--token-ms", "10", "--slots", "16"}}) // as declared
	for _, address := range f.engineAddrs {
		f.setBehaviour(address, map[string]any{"rejection_limit": rejections, "queue": 1})
	}
	f.checkRejections(rejections)
}

// TestRejectedAgainAndAgain checks that engines which can reject few requests need not reject more
// while requests of others have some of their slots.
func TestRejectedAgainAndAgain(t *testing.T) {
	t.Parallel()
	const (
		rejections = 2
		tokens     = 2000 // at 10 ms each, longer than the requests of the test
	)
	f := newFleet(t, fleetSpec{halls: 3, nodesPerHall: 1, engines: 1, plainServices: 1, engineArgs: []string{"--token-ms", "10", "--slots", "16"}}) // as declared
	engine := f.engineAddrs[0]
	f.setBehaviour(engine, map[string]any{"rejection_limit": rejections})
	for range rejections {
		go func() {
			_ = f.post(engine, "/v1/chat/completions", map[string]any{"model": "other", "max_tokens": tokens})
		}()
	}
	f.checkRejections(rejections)
}

// checkRejections sends more chat completion requests than the engines can run, and checks that these
// reject no more of them in a second than they can, and that requests are refused as not run.
func (f *fleet) checkRejections(perSecond int) {
	begun := time.Now()
	var clients sync.WaitGroup
	for range 12 {
		clients.Go(func() {
			for _, r := range f.chatFor(limitrule.AdaptTime + 2*limitrule.Window) {
				if !r.complete() {
					must.Eq(f.t, "no", r.ran, must.Sprint(r.body, r.err))
				}
			}
		})
	}
	clients.Wait()
	served := 0
	for _, address := range f.engineAddrs {
		rejected := f.turnedAway(address)
		most := slidingwindow.Most(slidingwindow.From(rejected, begun.Add(limitrule.AdaptTime)), time.Second)
		must.LessEq(f.t, perSecond, most, must.Sprint("rejections in a second"))
		for _, runs := range f.runsByRequestID([]string{address}) {
			served += len(runs)
		}
	}
	f.t.Logf("%d served", served)
	must.Positive(f.t, served)
}
