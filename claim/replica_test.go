package claim_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/timer"
)

var farFuture = time.Now().Add(time.Hour)

// TestVotes checks a replica's verdicts step by step, and that releases and later
// states are kept.
func TestVotes(t *testing.T) {
	c := newCluster(t, nil)
	id := c.current.Members()[0].ID
	r := c.replicas[id]
	entry := func(key, token string) claim.Entry {
		return claim.Entry{Key: claim.Key{Region: "home", Account: "desk", ID: key}, Token: token, Expires: farFuture}
	}
	ask := func(replica string, epoch int64, key, token string) claim.Verdict {
		return r.Claim(claim.Request{Epoch: epoch, Replica: replica, Entry: entry(key, token)}).Verdict
	}
	steps := []struct {
		what string
		got  claim.Verdict
		want claim.Verdict
	}{
		{"first claim", ask(id, 1, "k", "x/0"), claim.VerdictGranted},
		{"the same claim again", ask(id, 1, "k", "x/0"), claim.VerdictGranted},
		{"a later round of the same attempt", ask(id, 1, "k", "x/1"), claim.VerdictGranted},
		{"the earlier round, delayed", ask(id, 1, "k", "x/0"), claim.VerdictTaken},
		{"a claim of another attempt", ask(id, 1, "k", "y/0"), claim.VerdictTaken},
		{"an earlier epoch", ask(id, 0, "k2", "x/0"), claim.VerdictEpoch},
		{"a later epoch", ask(id, 2, "k2", "x/0"), claim.VerdictEpoch},
		{"an earlier incarnation", ask("a#0", 1, "k2", "x/0"), claim.VerdictNotMine},
	}
	for _, s := range steps {
		test := s
		t.Run(test.what, func(t *testing.T) { must.Eq(t, test.want, test.got) })
	}

	r.Release(entry("k", "").Key, "x/1", claim.StateClaimed)
	must.Eq(t, claim.VerdictNotReady, ask(id, 1, "k", "x/1"), must.Sprint("a released token must not be granted late"))
	must.Eq(t, claim.VerdictGranted, ask(id, 1, "k", "y/1"))

	done := entry("k", "y/1")
	done.State, done.Response = claim.StateDone, []byte("answer")
	r.Advance(done)
	earlier := entry("k", "y/1")
	earlier.State = claim.StateRunning
	r.Advance(earlier)
	reply := r.Lookup(claim.Request{Entry: entry("k", "")})
	must.Eq(t, claim.StateDone, reply.Entry.State, must.Sprint("a claim must not return to an earlier state"))
	must.Eq(t, "answer", string(reply.Entry.Response))
	r.Release(entry("k", "").Key, "y/1", claim.StateClaimed)
	must.Eq(t, claim.VerdictTaken, ask(id, 1, "k", "z/0"), must.Sprint("a claim whose work has run must not be released"))
}

// TestFailedWork checks that a key can be claimed again after its work failed, and
// that the next claimer learns that the work may have run, also after a transfer.
func TestFailedWork(t *testing.T) {
	c := newCluster(t, nil)
	failed := claim.Entry{Key: claim.Key{Region: "home", Account: "desk", ID: "k"}, Token: "first/0", State: claim.StateFailed}
	must.True(t, c.claim("first", false).Won)
	for _, r := range c.replicas {
		r.Advance(failed)
	}
	c.replaceMember("a", "north")
	second := c.claim("second", false)
	must.True(t, second.Won)
	must.True(t, second.MayHaveRun)
	must.False(t, c.claim("third", true).Won)
}

// TestBestEffortMemoryLimit fills a replica with best-effort claims until it
// refuses one, and checks that it still grants another claim.
func TestBestEffortMemoryLimit(t *testing.T) {
	c := newCluster(t, nil)
	id := c.current.Members()[0].ID
	r := claim.NewReplica(id, c, c, timer.New(), claim.WithMemoryLimit(10_000))
	r.SetView(c.current)
	claim.Pull(r)
	ask := func(i int, bestEffort bool) claim.Verdict {
		e := claim.Entry{Key: claim.Key{Region: "home", Account: "desk", ID: time.Duration(i).String()}, Token: "t", Expires: farFuture, BestEffort: bestEffort}
		return r.Claim(claim.Request{Epoch: 1, Replica: id, Entry: e}).Verdict
	}
	last := claim.VerdictGranted
	for i := range 100 {
		last = ask(i, true)
	}
	must.Eq(t, claim.VerdictFull, last)
	must.Eq(t, claim.VerdictGranted, ask(1000, false))
}
