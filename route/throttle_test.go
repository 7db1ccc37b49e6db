package route_test

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/throttle"
)

// requestsLeft limits the requests to each server, by name.
type requestsLeft map[string]int

func (l requestsLeft) Allows(_ string, s config.Server) bool { return l[s.Name] > 0 }

func (l requestsLeft) Take(_ string, s config.Server) bool {
	l[s.Name]--
	return l[s.Name] >= 0
}

func (l requestsLeft) Wait(string, config.Server) (time.Duration, throttle.Cause) {
	return 700 * time.Millisecond, throttle.CauseLimit
}

func (requestsLeft) Release(string, config.Server) {}
func (requestsLeft) Reject(string, config.Server)  {}

func (requestsLeft) Abandon(string, config.Server, time.Duration) {}

// recordedPlaces records how the places of requests are given back.
type recordedPlaces struct {
	requestsLeft
	back *[]string
}

func (p recordedPlaces) Release(string, config.Server) { *p.back = append(*p.back, "released") }
func (p recordedPlaces) Reject(string, config.Server)  { *p.back = append(*p.back, "rejected") }

func (p recordedPlaces) Abandon(_ string, _ config.Server, stillRuns time.Duration) {
	*p.back = append(*p.back, "abandoned for "+stillRuns.String())
}

// TestPlaceOfGivenUpRequest checks that the place of a request that was not answered is kept while the
// server may still run it.
func TestPlaceOfGivenUpRequest(t *testing.T) {
	var back []string
	r := route.Request{Pool: "p", Servers: []config.Server{{Name: "a", Slots: 1}}}
	for _, outcome := range []route.Outcome{route.OutcomeOK, route.OutcomeDeclined, route.OutcomeNeutral, route.OutcomeFailed} {
		c := route.New("n", route.WithThrottle(recordedPlaces{requestsLeft{"a": 1}, &back}))
		attempt, err := c.Choose(r)
		must.NoError(t, err)
		attempt.End(outcome, time.Second)
	}
	must.Eq(t, []string{"released", "rejected", "abandoned for 1s", "abandoned for 1s"}, back)
}

// TestChooserThrottle checks that a server gets no more requests than it may, those that resume a
// stream included, and that a pool whose servers get none now is told from one without servers.
func TestChooserThrottle(t *testing.T) {
	left := requestsLeft{"a": 2, "b": 3}
	c := route.New("n", route.WithThrottle(left))
	r := route.Request{Pool: "p", Servers: []config.Server{{Name: "a", Slots: 1}, {Name: "b", Slots: 1}}}
	sent := make(map[string]int)
	for range 4 {
		attempt, err := c.Choose(r)
		must.NoError(t, err)
		sent[attempt.Server().Name]++
		attempt.End(route.OutcomeOK, time.Millisecond)
		if len(sent) == 2 && sent["a"]+sent["b"] == 4 {
			must.True(t, attempt.Repeat())
			must.False(t, attempt.Repeat())
		}
	}
	must.Eq(t, 4, sent["a"]+sent["b"])
	_, err := c.Choose(r)
	must.True(t, errorx.IsOfType(err, route.Limited), must.Sprint(err))
	must.Eq(t, 700*time.Millisecond, errs.RetryAfter(err))
	_, err = c.Choose(route.Request{Pool: "p"})
	must.True(t, errorx.IsOfType(err, route.NoServer), must.Sprint(err))
}
