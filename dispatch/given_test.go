package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/decision"
	"github.com/violettally/violettally/dispatch"
)

// movingClaims are replicas of which too few answer until some lookups have
// been made, as while one of them leaves.
type movingClaims struct {
	dispatch.Claims
	incomplete int
	found      *claim.Entry
}

func (c *movingClaims) Lookup(context.Context, claim.Key) (*claim.Entry, bool) {
	if c.incomplete > 0 {
		c.incomplete--
		return nil, false
	}
	return c.found, true
}

type noCounters struct{ dispatch.Counters }

func (noCounters) Refused(dispatch.Reason, string) {}

// TestRefusedWhileReplicasMove: a refusal found before the claim waits a little
// for replicas that are being replaced before it leaves the caller in doubt.
func TestRefusedWhileReplicasMove(t *testing.T) {
	tests := []struct {
		name   string
		claims movingClaims
		want   dispatch.Ran
	}{
		{"all answer", movingClaims{}, dispatch.RanNo},
		{"a replica is being replaced", movingClaims{incomplete: 3}, dispatch.RanNo},
		{"replaced, and the id has been claimed", movingClaims{incomplete: 3, found: &claim.Entry{}}, dispatch.RanUnknown},
		{"too few answer for long", movingClaims{incomplete: 1 << 20}, dispatch.RanUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := dispatch.New(dispatch.Parts{
					Config: config.Empty, Claims: &tt.claims, Records: decision.New("n"), Counters: noCounters{},
				})
				start := time.Now()
				_, refusal := d.Start(t.Context(), &dispatch.Request{ID: "1", IDFromClient: true, Account: &config.Account{Name: "a"}})
				must.Eq(t, tt.want, refusal.Ran())
				must.Less(t, 5*time.Second, time.Since(start))
			})
		})
	}
}
