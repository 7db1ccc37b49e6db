package claim

import (
	"context"
	"maps"
	"slices"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/view"
)

// Settle tries to find out whether a claim is won, and to win it if that is
// open. It passes over others that have not won, as Override does, but gives
// nothing up by itself: votes stay where they are while replicas do not answer,
// so that whoever asks them later can settle the claim in its holder's place,
// with the same entry and the same outcome.
//
// The error [Split] says that all replicas have told and nobody has a quorum,
// [Undecided] that a quorum does not know which of two attempts has won. Both
// come with an Outcome that names the rival. They pass when one of the two is
// released.
func (c *Claimer) Settle(ctx context.Context, e Entry) (Outcome, error) {
	return c.retry(ctx, func() (Outcome, bool, error) { return c.settle(ctx, e) })
}

// settleTally counts the replicas' answers to a claim that is being settled.
type settleTally struct {
	// own counts the replicas that hold this attempt, of whatever round.
	own int
	// rivals counts the replicas that hold another attempt.
	rivals  map[string]int
	entries map[string]*Entry
	// unknown counts the replicas that do not know which of two attempts has
	// won.
	unknown int
	// reported counts the replicas that told whose claim they hold.
	reported int
	votes    votes
	// replies tells what each replica answered.
	replies []string
}

func newSettleTally() *settleTally {
	return &settleTally{
		rivals:  make(map[string]int),
		entries: make(map[string]*Entry),
		votes:   votes{taken: make(map[string]int), entries: make(map[string]*Entry)},
	}
}

func (b *settleTally) count(attempt string, from view.Member, reply Reply, err error) {
	b.votes.count(reply, err)
	if err != nil {
		b.replies = append(b.replies, from.ID+" did not answer")
		return
	}
	b.replies = append(b.replies, from.ID+" "+reply.Verdict.String())
	switch reply.Verdict {
	case VerdictGranted:
		b.reported++
		b.own++
	case VerdictTaken:
		b.reported++
		holder := AttemptOf(reply.Entry.Token)
		b.entries[holder] = reply.Entry
		if rival := reply.Entry.Rival; rival != nil {
			b.entries[AttemptOf(rival.Token)] = rival
		}
		switch {
		case reply.Entry.State == StateUnknown:
			b.unknown++
		case holder == attempt:
			b.own++
		default:
			b.rivals[holder]++
		}
	}
}

// winner returns the attempt that has a quorum.
func (b *settleTally) winner(attempt string, need int) (string, bool) {
	if b.own >= need {
		return attempt, true
	}
	for rival, n := range b.rivals {
		if n >= need {
			return rival, true
		}
	}
	return "", false
}

// rival returns the first by name of the other attempts that were seen.
func (b *settleTally) rival(attempt string) *Entry {
	for _, name := range slices.Sorted(maps.Keys(b.entries)) {
		if name != attempt {
			return b.entries[name]
		}
	}
	return nil
}

func (b *settleTally) outcome(token, winner string) Outcome {
	if winner == AttemptOf(token) {
		return Outcome{Won: true, Token: token, LostBefore: b.votes.lostBefore, Reached: b.votes.reached}
	}
	return Outcome{Other: b.entries[winner], OtherWon: true, LostBefore: b.votes.lostBefore}
}

func (c *Claimer) settle(ctx context.Context, e Entry) (_ Outcome, again bool, _ error) {
	current := c.views.Current()
	replicas := current.Replicas(e.Key.Region, e.Key.String())
	if len(replicas) == 0 {
		return Outcome{}, true, errs.New(Unreachable, "settle", "no VM of region %q is in the view", e.Key.Region)
	}
	need := quorum(len(replicas))
	attempt := AttemptOf(e.Token)
	b := newSettleTally()
	for _, m := range replicas {
		reply, err := c.requestVote(ctx, m, Request{Epoch: current.Epoch(), Replica: m.ID, Entry: e})
		b.count(attempt, m, reply, err)
		if winner, ok := b.winner(attempt, need); ok {
			return b.outcome(e.Token, winner), false, nil
		}
	}
	rival := Outcome{Other: b.rival(attempt), LostBefore: b.votes.lostBefore}
	switch {
	case rival.Other == nil:
	case b.unknown >= need:
		return rival, false, errs.New(Undecided, "settle", "%d of %d replicas do not know who has won %s: %s", b.unknown, len(replicas), e.Key, b.replies)
	case b.reported == len(replicas):
		// A replica that did not answer may hold a vote whose reply was lost,
		// so that this claim may have a quorum already.
		return rival, false, errs.New(Split, "settle", "%d of %d votes for %s, others for another: %s", b.own, need, e.Key, b.replies)
	}
	if b.votes.full {
		return Outcome{}, b.votes.retryable, errs.New(Full, "settle", "the replicas of %s have no memory left", e.Key)
	}
	return Outcome{}, b.votes.retryable, errs.New(Unreachable, "settle", "%d of %d votes for %s: %s", b.own, need, e.Key, b.replies)
}
