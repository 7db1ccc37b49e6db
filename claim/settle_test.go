package claim_test

import (
	"log/slog"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/view"
)

// billClaim is a bill's claim under way, by one claimer.
func billClaim(attempt, holder string) claim.Entry {
	return claim.Entry{
		Key:     claim.Key{Region: "home", Account: "desk", Kind: claim.KindBill, ID: "k"},
		Token:   claim.RoundToken(attempt, 0),
		Holder:  claim.Holder{ID: holder},
		State:   claim.StateDone,
		Expires: farFuture,
	}
}

func (w *cluster) settle(e claim.Entry) (claim.Outcome, error) {
	return claim.NewClaimer(w, w, claim.WithTaskRunner(func(task func()) { task() })).Settle(w.t.Context(), e)
}

// grantAt hands one replica a vote, past the network.
func (w *cluster) grantAt(name string, e claim.Entry) {
	id := view.MemberID(name, "1")
	w.replicas[id].Claim(claim.Request{Epoch: w.current.Epoch(), Replica: id, Entry: e})
}

// TestSettle lists what replicas hold before one claim is settled, and what
// comes of it.
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
		{"one vote of before", map[string]claim.Entry{"c": own}, nil, true, false, nil},
		{"a vote of a later round", map[string]claim.Entry{"a": later, "b": later}, nil, true, false, nil},
		{"another that has not won", map[string]claim.Entry{"a": other}, nil, true, false, nil},
		{"another that has won", map[string]claim.Entry{"a": other, "b": other}, nil, false, true, nil},
		{"split, one replica silent", map[string]claim.Entry{"a": own, "b": other}, []string{"c"}, false, false, claim.Unreachable},
		{"two replicas silent", nil, []string{"b", "c"}, false, false, claim.Unreachable},
		{"all hold another's, each one's", map[string]claim.Entry{"a": own, "b": other, "c": billClaim("third", "c")}, nil, false, false, claim.Split},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newCluster(t, nil)
			for name, e := range tt.held {
				w.grantAt(name, e)
			}
			for _, name := range tt.dead {
				w.dead[view.MemberID(name, "1")] = true
			}
			outcome, err := w.settle(own)
			if tt.err != nil {
				must.True(t, errorx.IsOfType(err, tt.err), must.Sprint(err))
				return
			}
			must.NoError(t, err)
			must.Eq(t, tt.won, outcome.Won)
			must.Eq(t, tt.other, outcome.OtherWon)
			again, err := w.settle(own)
			must.NoError(t, err)
			must.Eq(t, outcome.Won, again.Won, must.Sprint("settled twice"))
		})
	}
}

// TestSettleRivals loses the replica that both claims of a bill needed: each of
// the others has seen one. Nobody is given the bill by chance; once one claim is
// released the other one is won, and the released one stays lost.
func TestSettleRivals(t *testing.T) {
	slog.SetLogLoggerLevel(slog.LevelError)
	own, other := billClaim("own", "x"), billClaim("other", "y")
	w := newCluster(t, nil)
	w.grantAt("b", own)
	w.grantAt("c", other)
	w.replaceMember("a", "north")
	for _, e := range []claim.Entry{own, other} {
		outcome, err := w.settle(e)
		must.True(t, errorx.IsOfType(err, claim.Undecided), must.Sprint(err))
		must.NotNil(t, outcome.Other)
		must.NotEq(t, e.Token, outcome.Other.Token)
	}
	for _, r := range w.replicas {
		r.Release(own.Key, own.Token, claim.StateDone)
	}
	outcome, err := w.settle(other)
	must.NoError(t, err)
	must.True(t, outcome.Won)
	outcome, err = w.settle(own)
	must.NoError(t, err)
	must.True(t, outcome.OtherWon)
}
