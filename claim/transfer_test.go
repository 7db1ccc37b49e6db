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

// TestTransferKeepsLaterRound is a bill that nobody entered. While a claimer is
// at its second round, a replica that has granted it still reads the others for
// the new view, and gets the same attempt's first round from one of them. It
// took the two for claims of two claimers and marked the key unknown. The next
// change of the view carried that mark to a second replica, and from then on
// the claimer was told that somebody else had won the key: itself.
//
// In a run with a data hall killed and replaced (two changes of the view in
// 0.1 s) the request's decision said "billed elsewhere" though no other node
// had run it, and its node's journal held 61 bills for 62 sequences.
func TestTransferKeepsLaterRound(t *testing.T) {
	slog.SetLogLoggerLevel(slog.LevelError)
	w := newCluster(t, nil)
	before := w.current
	after := before.Change([]view.Member{member("d", "north")}, nil)
	key := unchangedKey(before, after)
	round := func(n int) claim.Entry {
		return claim.Entry{Key: key, Token: claim.RoundToken("x", n), Holder: claim.Holder{ID: "x"}, State: claim.StateDone, Expires: farFuture}
	}
	ask := func(name string, n int) claim.Verdict {
		id := view.MemberID(name, "1")
		return w.replicas[id].Claim(claim.Request{Epoch: w.current.Epoch(), Replica: id, Entry: round(n)}).Verdict
	}

	must.Eq(t, claim.VerdictGranted, ask("c", 0))
	w.current = after
	for _, r := range w.replicas {
		r.SetView(after)
	}
	must.Eq(t, claim.VerdictGranted, ask("b", 1), must.Sprint("a key whose replicas stayed needs no reading"))
	b := w.replicas[view.MemberID("b", "1")]
	claim.Pull(b)
	held := b.Lookup(claim.Request{Entry: round(0)}).Entry
	must.Eq(t, claim.RoundToken("x", 1), held.Token)
	must.Eq(t, claim.StateDone, held.State, must.Sprint("rounds of one attempt are not rival claims"))
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
