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

// incompleteClaims returns incomplete results for the first lookups, like replicas of which too
// few respond while one of them is replaced.
type incompleteClaims struct {
	dispatch.Claims
	incomplete int
	found      *claim.Entry
}

func (c *incompleteClaims) Lookup(context.Context, claim.Key) (*claim.Entry, bool) {
	if c.incomplete > 0 {
		c.incomplete--
		return nil, false
	}
	return c.found, true
}

type noCounters struct{ dispatch.Counters }

func (noCounters) Refused(dispatch.Reason, string) {}

// TestRefusalDuringReplicaChange checks that a refusal made before the claim waits a short time
// for a replica that is being replaced. Otherwise it says "unknown" to the client although it
// could be known that the request did not run.
func TestRefusalDuringReplicaChange(t *testing.T) {
	tests := []struct {
		name   string
		claims incompleteClaims
		want   dispatch.Ran
	}{
		{"all replicas respond", incompleteClaims{}, dispatch.RanNo},
		{"a replica is being replaced", incompleteClaims{incomplete: 3}, dispatch.RanNo},
		{"a replica is being replaced and the ID is claimed", incompleteClaims{incomplete: 3, found: &claim.Entry{}}, dispatch.RanUnknown},
		{"too few replicas respond until the timeout", incompleteClaims{incomplete: 1 << 20}, dispatch.RanUnknown},
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
