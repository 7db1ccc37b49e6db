package claim_test

import (
	"log/slog"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/view"
)

// billClaim returns the claim of a bill by one attempt.
func billClaim(attempt, holder string) claim.Entry {
	return claim.Entry{
		Key:     claim.Key{Region: "home", Account: "desk", Kind: claim.KindBill, ID: "k"},
		Token:   claim.RoundToken(attempt, 0),
		Holder:  claim.Holder{ID: holder},
		State:   claim.StateDone,
		Expires: farFuture,
	}
}

func (c *cluster) settle(e claim.Entry) (claim.Outcome, error) {
	return claim.NewClaimer(c, c, claim.WithTaskRunner(func(task func()) { task() })).Settle(c.t.Context(), e)
}

// grantAt has one replica grant a claim without the network.
func (c *cluster) grantAt(name string, e claim.Entry) {
	id := view.MemberID(name, "1")
	c.replicas[id].Claim(claim.Request{Epoch: c.current.Epoch(), Replica: id, Entry: e})
}

// TestSettle checks the outcome of Settle for each state of the replicas before
// it, and that settling again gives the same one.
func TestSettle(t *testing.T) {
	slog.SetLogLoggerLevel(slog.LevelError)
	own, other := billClaim("own", "a"), billClaim("other", "b")
	later := own
	later.Token = claim.NextToken(own.Token)
	tests := []struct {
		name  string
		held  map[string]claim.Entry
		dead  []string
		won   bool
		other bool
		err   *errorx.Type
	}{
		{"nothing held", nil, nil, true, false, nil},
		{"one earlier vote", map[string]claim.Entry{"c": own}, nil, true, false, nil},
		{"a vote of a later round", map[string]claim.Entry{"a": later, "b": later}, nil, true, false, nil},
		{"another attempt that has not won", map[string]claim.Entry{"a": other}, nil, true, false, nil},
		{"another attempt that has won", map[string]claim.Entry{"a": other, "b": other}, nil, false, true, nil},
		{"split, one replica unreachable", map[string]claim.Entry{"a": own, "b": other}, []string{"c"}, false, false, claim.Unreachable},
		{"two replicas unreachable", nil, []string{"b", "c"}, false, false, claim.Unreachable},
		{"each replica holds a different attempt", map[string]claim.Entry{"a": own, "b": other, "c": billClaim("third", "c")}, nil, false, false, claim.Split},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, nil)
			for name, e := range tt.held {
				c.grantAt(name, e)
			}
			for _, name := range tt.dead {
				c.dead[view.MemberID(name, "1")] = true
			}
			outcome, err := c.settle(own)
			if tt.err != nil {
				must.True(t, errorx.IsOfType(err, tt.err), must.Sprint(err))
				return
			}
			must.NoError(t, err)
			must.Eq(t, tt.won, outcome.Won)
			must.Eq(t, tt.other, outcome.OtherWon)
			again, err := c.settle(own)
			must.NoError(t, err)
			must.Eq(t, outcome.Won, again.Won, must.Sprint("settling again must give the same outcome"))
		})
	}
}

// TestSettleRivals loses the replica that both claims of a bill needed, when each
// of the others holds one of the two. Neither claim may win; once one is released,
// the other one wins, and the released one does not.
func TestSettleRivals(t *testing.T) {
	slog.SetLogLoggerLevel(slog.LevelError)
	own, other := billClaim("own", "x"), billClaim("other", "y")
	c := newCluster(t, nil)
	c.grantAt("b", own)
	c.grantAt("c", other)
	c.replaceMember("a", "north")
	for _, e := range []claim.Entry{own, other} {
		outcome, err := c.settle(e)
		must.True(t, errorx.IsOfType(err, claim.Undecided), must.Sprint(err))
		must.NotNil(t, outcome.Other)
		must.NotEq(t, e.Token, outcome.Other.Token)
	}
	for _, r := range c.replicas {
		r.Release(own.Key, own.Token, claim.StateDone)
	}
	outcome, err := c.settle(other)
	must.NoError(t, err)
	must.True(t, outcome.Won)
	outcome, err = c.settle(own)
	must.NoError(t, err)
	must.True(t, outcome.OtherWon)
}
