package claim_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/timer"
)

var farFuture = time.Now().Add(time.Hour)

// TestVotes lists what a replica answers, step by step.
func TestVotes(t *testing.T) {
	w := newCluster(t, nil)
	id := w.current.Members()[0].ID
	r := w.replicas[id]
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
		{"the same again", ask(id, 1, "k", "x/0"), claim.VerdictGranted},
		{"a later round of the same attempt", ask(id, 1, "k", "x/1"), claim.VerdictGranted},
		{"the earlier round, late", ask(id, 1, "k", "x/0"), claim.VerdictTaken},
		{"another's claim", ask(id, 1, "k", "y/0"), claim.VerdictTaken},
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
	back := entry("k", "y/1")
	back.State = claim.StateRunning
	r.Advance(back)
	reply := r.Lookup(claim.Request{Entry: entry("k", "")})
	must.Eq(t, claim.StateDone, reply.Entry.State, must.Sprint("a claim goes back to no earlier state"))
	must.Eq(t, "answer", string(reply.Entry.Response))
	r.Release(entry("k", "").Key, "y/1", claim.StateClaimed)
	must.Eq(t, claim.VerdictTaken, ask(id, 1, "k", "z/0"), must.Sprint("work that has run is not abandoned"))
}

// TestFailedWork lets a key be claimed again after work that gave no answer,
// and tells the next claimer that it may have run; also after a transfer.
func TestFailedWork(t *testing.T) {
	w := newCluster(t, nil)
	failed := claim.Entry{Key: claim.Key{Region: "home", Account: "desk", ID: "k"}, Token: "first/0", State: claim.StateFailed}
	must.True(t, w.claim("first", false).Won)
	for _, r := range w.replicas {
		r.Advance(failed)
	}
	w.replaceMember("a", "north")
	second := w.claim("second", false)
	must.True(t, second.Won)
	must.True(t, second.Reached)
	must.False(t, w.claim("third", true).Won)
}

// TestBestEffortMemoryLimit fills a replica with soft claims and finds room for
// one that is not.
func TestBestEffortMemoryLimit(t *testing.T) {
	w := newCluster(t, nil)
	id := w.current.Members()[0].ID
	r := claim.NewReplica(id, w, w, timer.New(), claim.WithMemoryLimit(10_000))
	r.SetView(w.current)
	claim.Pull(r)
	ask := func(i int, soft bool) claim.Verdict {
		e := claim.Entry{Key: claim.Key{Region: "home", Account: "desk", ID: time.Duration(i).String()}, Token: "t", Expires: farFuture, BestEffort: soft}
		return r.Claim(claim.Request{Epoch: 1, Replica: id, Entry: e}).Verdict
	}
	last := claim.VerdictGranted
	for i := range 100 {
		last = ask(i, true)
	}
	must.Eq(t, claim.VerdictFull, last)
	must.Eq(t, claim.VerdictGranted, ask(1000, false))
}
