package claim_test

import (
	"log/slog"
	"slices"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/view"
)

// TestTransferKeepsLaterRound guards against a bill that no node commits. A replica
// that has granted the second round of an attempt reads the others for the new
// view and receives the first round of the same attempt. If it treats the two as
// rival claims, it marks the key unknown. The next change of the view carries the
// mark to a second replica, and the claimer's own claim is reported to it as won by
// another node. This takes two changes of the view within about 0.1 s, as when a
// data hall fails and is replaced.
func TestTransferKeepsLaterRound(t *testing.T) {
	slog.SetLogLoggerLevel(slog.LevelError)
	c := newCluster(t, nil)
	before := c.current
	after := before.Change([]view.Member{member("d", "north")}, nil)
	key := unchangedKey(before, after)
	round := func(n int) claim.Entry {
		return claim.Entry{Key: key, Token: claim.RoundToken("x", n), Holder: claim.Holder{ID: "x"}, State: claim.StateDone, Expires: farFuture}
	}
	ask := func(name string, n int) claim.Verdict {
		id := view.MemberID(name, "1")
		return c.replicas[id].Claim(claim.Request{Epoch: c.current.Epoch(), Replica: id, Entry: round(n)}).Verdict
	}

	must.Eq(t, claim.VerdictGranted, ask("c", 0))
	c.current = after
	for _, r := range c.replicas {
		r.SetView(after)
	}
	must.Eq(t, claim.VerdictGranted, ask("b", 1), must.Sprint("a key whose replicas did not change needs no reads"))
	b := c.replicas[view.MemberID("b", "1")]
	claim.Pull(b)
	held := b.Lookup(claim.Request{Entry: round(0)}).Entry
	must.Eq(t, claim.RoundToken("x", 1), held.Token)
	must.Eq(t, claim.StateDone, held.State, must.Sprint("rounds of one attempt must not become rival claims"))
}

// unchangedKey returns the key of a bill that has the same replicas in both views.
func unchangedKey(before, after *view.View) claim.Key {
	for n := 0; ; n++ {
		key := claim.Key{Region: "home", Account: "desk", Kind: claim.KindBill, ID: strconv.Itoa(n)}
		if slices.Equal(before.Replicas(key.Region, key.String()), after.Replicas(key.Region, key.String())) {
			return key
		}
	}
}
