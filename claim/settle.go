package claim

import (
	"context"
	"maps"
	"slices"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/view"
)

// Settle finds out whether a claim is won, and tries to win it if that is not
// decided yet. Like Override, it ignores other claims that have not won, but it
// releases nothing: votes are kept while replicas do not reply, so that another
// node can settle the claim later on behalf of its holder, with the same entry
// and the same outcome.
//
// The error [Split] says that all replicas have reported and no attempt has a
// quorum, [Undecided] that a quorum cannot tell which of two attempts has won.
// With both errors, Outcome.Other is the rival claim, and settling can succeed
// once one of the two claims is released. [Full] and [Unreachable] come with a
// zero Outcome.
func (c *Claimer) Settle(ctx context.Context, e Entry) (Outcome, error) {
	return c.retry(ctx, func() (Outcome, bool, error) { return c.settle(ctx, e) })
}

// settleTally counts the replicas' replies for a claim that is being settled.
type settleTally struct {
	// own counts the replicas that hold this attempt, in any round.
	own int
	// rivals counts the replicas that hold another attempt, by its name.
	rivals map[string]int
	// entries holds the claims that were seen, by attempt.
	entries map[string]*Entry
	// unknown counts the replicas that cannot tell which of two attempts has
	// won.
	unknown int
	// reported counts the replicas that replied which claim they hold.
	reported int
	votes    votes
	// replies describes each replica's reply, for error texts.
	replies []string
}

func newSettleTally() *settleTally {
	return &settleTally{
		rivals:  make(map[string]int),
		entries: make(map[string]*Entry),
		votes:   votes{taken: make(map[string]int), entries: make(map[string]*Entry)},
	}
}

func (t *settleTally) count(attempt string, from view.Member, reply Reply, err error) {
	t.votes.count(reply, err)
	if err != nil {
		t.replies = append(t.replies, from.ID+" did not reply")
		return
	}
	t.replies = append(t.replies, from.ID+" "+reply.Verdict.String())
	switch reply.Verdict {
	case VerdictGranted:
		t.reported++
		t.own++
	case VerdictTaken:
		t.reported++
		holder := AttemptOf(reply.Entry.Token)
		t.entries[holder] = reply.Entry
		if rival := reply.Entry.Rival; rival != nil {
			t.entries[AttemptOf(rival.Token)] = rival
		}
		switch {
		case reply.Entry.State == StateUnknown:
			t.unknown++
		case holder == attempt:
			t.own++
		default:
			t.rivals[holder]++
		}
	}
}

// winner returns the attempt that has a quorum, if any.
func (t *settleTally) winner(attempt string, need int) (string, bool) {
	if t.own >= need {
		return attempt, true
	}
	for rival, n := range t.rivals {
		if n >= need {
			return rival, true
		}
	}
	return "", false
}

// rival returns the claim of another attempt that was seen, the first by name,
// or nil.
func (t *settleTally) rival(attempt string) *Entry {
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		if name != attempt {
			return t.entries[name]
		}
	}
	return nil
}

func (t *settleTally) outcome(token, winner string) Outcome {
	if winner == AttemptOf(token) {
		return Outcome{Won: true, Token: token, LostBefore: t.votes.lostBefore, MayHaveRun: t.votes.mayHaveRun}
	}
	return Outcome{Other: t.entries[winner], OtherWon: true, LostBefore: t.votes.lostBefore}
}

func (c *Claimer) settle(ctx context.Context, e Entry) (_ Outcome, retryable bool, _ error) {
	current := c.views.Current()
	replicas := current.Replicas(e.Key.Region, e.Key.String())
	if len(replicas) == 0 {
		return Outcome{}, true, errs.New(Unreachable, "settle", "no VM of region %q is in the view", e.Key.Region)
	}
	need := quorum(len(replicas))
	attempt := AttemptOf(e.Token)
	t := newSettleTally()
	for _, m := range replicas {
		reply, err := c.requestVote(ctx, m, Request{Epoch: current.Epoch(), Replica: m.ID, Entry: e})
		t.count(attempt, m, reply, err)
		if winner, ok := t.winner(attempt, need); ok {
			return t.outcome(e.Token, winner), false, nil
		}
	}
	rival := Outcome{Other: t.rival(attempt), LostBefore: t.votes.lostBefore}
	switch {
	case rival.Other == nil:
	case t.unknown >= need:
		return rival, false, errs.New(Undecided, "settle", "%d of %d replicas do not know which attempt has won %s: %s", t.unknown, len(replicas), e.Key, t.replies)
	case t.reported == len(replicas):
		// Only if all have reported: a replica that did not reply may hold a
		// vote whose reply was lost, and this claim may have a quorum already.
		return rival, false, errs.New(Split, "settle", "%d of %d votes for %s, the rest for other attempts: %s", t.own, need, e.Key, t.replies)
	}
	if t.votes.full {
		return Outcome{}, t.votes.retryable, errs.New(Full, "settle", "the replicas of %s have no memory left", e.Key)
	}
	return Outcome{}, t.votes.retryable, errs.New(Unreachable, "settle", "%d of %d votes for %s: %s", t.own, need, e.Key, t.replies)
}
