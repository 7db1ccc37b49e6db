package throttle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/internal/nodelist"
	"github.com/violettally/violettally/internal/slidingwindow"
	"github.com/violettally/violettally/owner"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/timer"
	"github.com/violettally/violettally/view"
)

const (
	// askedRest is how long servers want rest; from restSettleTime after they have asked a node, they may
	// get allowedInRest requests of it.
	askedRest      = 3 * time.Second
	restSettleTime = 500 * time.Millisecond
	allowedInRest  = 2
)

// TestRestsOfAllNodes checks that servers which turn all requests away for a while get no more requests
// of any node within the rests that they ask for than are allowed, and that they are all in use again
// once they take requests.
func TestRestsOfAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 6, 61, 984} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRests(t, nodes) })
		})
	}
}

func testRests(t *testing.T, nodes int) {
	const (
		servers, resting       = 12, 4
		restFrom, restTo, ends = 2 * time.Second, 12 * time.Second, 20 * time.Second
		step                   = 20 * time.Millisecond
		perSecond              = 2400.0 // of all nodes together
	)
	timers := timer.New()
	defer timers.Close()
	random := rand.New(rand.NewPCG(1, uint64(nodes)))
	var list []*registry.Server
	for i := range servers {
		list = append(list, &registry.Server{ID: fmt.Sprint("s-", i), Service: "s"})
	}
	var limiters []*limiter
	for i := range nodes {
		id := fmt.Sprint("n-", i)
		node := (&nodelist.List{}).Add(view.Member{ID: id, VM: id})
		limiters = append(limiters, newLimiter(owner.NewRoster(node.Self(), node, timers), timers))
	}
	began := time.Now()
	// asked and arrivals are by node of the first server, which is one of those that rest.
	asked, arrivals := make(map[int][]time.Time), make(map[int][]time.Time)
	var all []time.Time
	turnedAway := 0
	for time.Since(began) < ends {
		at := time.Since(began)
		for range int(perSecond * step.Seconds()) {
			i := random.IntN(nodes)
			l := limiters[i]
			free := l.Filter(list)
			if len(free) == 0 {
				continue
			}
			s := free[random.IntN(len(free))]
			if !l.Take(*s) {
				continue
			}
			if s == list[0] {
				arrivals[i], all = append(arrivals[i], time.Now()), append(all, time.Now())
			}
			rest := 0.0
			for _, r := range list[:resting] {
				if r == s && at >= restFrom && at < restTo {
					rest = askedRest.Seconds()
					turnedAway++
				}
			}
			if rest > 0 && s == list[0] {
				asked[i] = append(asked[i], time.Now())
			}
			l.board.Observe(*s, rests(rest))
		}
		time.Sleep(step)
	}
	for i, times := range asked {
		for _, from := range times {
			count := 0
			for _, arrival := range arrivals[i] {
				if after := arrival.Sub(from); after > restSettleTime && after < askedRest {
					count++
				}
			}
			must.LessEq(t, allowedInRest, count, must.Sprint("requests of node ", i, " within a rest"))
		}
	}
	usual := perSecond / servers
	last := slidingwindow.From(all, began.Add(ends-time.Second))
	must.Between(t, int(usual/2), len(last), int(2*usual), must.Sprint("requests in the last second"))
	t.Logf("%d turned away; at most %d requests in a second after the rests, %.0f usual", turnedAway,
		slidingwindow.Most(slidingwindow.From(all, began.Add(restTo)), time.Second), usual)
}
