package claim

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/view"
)

const (
	// voteTimeout bounds one message to one replica; data halls of a region
	// are milliseconds apart.
	voteTimeout = 300 * time.Millisecond
	// maxRounds is how often a claim is tried while the view changes.
	maxRounds = 4
	// maxReleaseTries is how often a release is sent to a replica that does not
	// answer.
	maxReleaseTries = 3
)

// Claimer makes claims for one node.
type Claimer struct {
	views        ViewSource
	peers        Transport
	countVerdict func(Verdict)
	// runTask runs what goes on beside the caller.
	runTask func(task func())
}

// ClaimerOption changes a Claimer as NewClaimer makes it.
type ClaimerOption func(*Claimer)

// WithVerdictCounter counts the replicas' answers.
func WithVerdictCounter(count func(Verdict)) ClaimerOption {
	return func(c *Claimer) { c.countVerdict = count }
}

// WithTaskRunner replaces how tasks are run beside the caller, for tests that need
// one order of things.
func WithTaskRunner(beside func(task func())) ClaimerOption {
	return func(c *Claimer) { c.runTask = beside }
}

// NewClaimer returns a claimer.
func NewClaimer(views ViewSource, peers Transport, options ...ClaimerOption) *Claimer {
	c := &Claimer{views: views, peers: peers, countVerdict: func(Verdict) {}, runTask: func(task func()) { go task() }}
	for _, option := range options {
		option(c)
	}
	return c
}

// Outcome of a claim that did not fail.
type Outcome struct {
	// Won says that the claim is this caller's, under Token.
	Won   bool
	Token string
	// Other is the entry that has the key, if not won. OtherWon says that
	// enough replicas were seen to hold it to know that it has won; without,
	// it may still be given up.
	Other    *Entry
	OtherWon bool
	// LostBefore is the time before which claims for the key may be lost.
	LostBefore time.Time
	// Reached says that an earlier attempt under the key may have run.
	Reached bool
}

// Claim tries to win a key. It asks the replicas in the view's order, so that
// races meet at the first. The token of e must be new on all nodes; each round
// claims under a token of its own, made from it by [RoundToken].
func (c *Claimer) Claim(ctx context.Context, e Entry) (Outcome, error) {
	return c.tryRounds(ctx, e, 0, false)
}

// Override tries to win a key although a replica holds a claim of somebody
// who does not answer. It fails to win if that claim was won. After a Claim, it
// may be called with the same token.
func (c *Claimer) Override(ctx context.Context, e Entry) (Outcome, error) {
	return c.tryRounds(ctx, e, maxRounds, true)
}

func (c *Claimer) tryRounds(ctx context.Context, e Entry, first int, override bool) (Outcome, error) {
	base := e.Token
	n := first
	return c.retry(ctx, func() (Outcome, bool, error) {
		e.Token = RoundToken(base, n)
		n++
		return c.round(ctx, e, override)
	})
}

// retry asks for the votes again while that may help: claimer and replicas were
// at different epochs, or a range was being taken over; either passes soon.
func (c *Claimer) retry(ctx context.Context, round func() (_ Outcome, again bool, _ error)) (Outcome, error) {
	var err error
	for range maxRounds {
		changed := c.views.Changed()
		var outcome Outcome
		var again bool
		outcome, again, err = round()
		if err == nil {
			return outcome, nil
		}
		if !again {
			return outcome, err
		}
		timer := time.NewTimer(voteTimeout)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Outcome{}, err
		}
		timer.Stop()
	}
	return Outcome{}, err
}

// RoundToken returns the token of the nth round of an attempt.
func RoundToken(attempt string, n int) string { return attempt + "/" + strconv.Itoa(n) }

// NextToken returns the token of the round after another.
func NextToken(token string) string {
	attempt, round := splitToken(token)
	return RoundToken(attempt, round+1)
}

// Supersedes reports whether a token is of a later round of the same attempt
// than another. The claimer has given the earlier round up.
func Supersedes(token, other string) bool {
	attempt, round := splitToken(token)
	otherAttempt, otherRound := splitToken(other)
	return attempt == otherAttempt && round > otherRound
}

func splitToken(token string) (attempt string, round int) {
	attempt, number, _ := strings.Cut(token, "/")
	round, _ = strconv.Atoi(number)
	return attempt, round
}

// AttemptOf returns the attempt that a round's token belongs to.
func AttemptOf(token string) string {
	attempt, _, _ := strings.Cut(token, "/")
	return attempt
}

// votes counts one round.
type votes struct {
	granted int
	// unclaimed counts the replicas that had no claim of the key.
	unclaimed  int
	taken      map[string]int
	entries    map[string]*Entry
	retryable  bool
	full       bool
	lostBefore time.Time
	reached    bool
	asked      []view.Member
}

func (v *votes) count(reply Reply, err error) {
	if err != nil {
		return
	}
	if reply.LostBefore.After(v.lostBefore) {
		v.lostBefore = reply.LostBefore
	}
	v.reached = v.reached || reply.Reached
	switch reply.Verdict {
	case VerdictGranted:
		v.granted++
		v.unclaimed++
	case VerdictTaken:
		v.taken[reply.Entry.Token]++
		if known := v.entries[reply.Entry.Token]; known == nil || known.State < reply.Entry.State {
			v.entries[reply.Entry.Token] = reply.Entry
		}
	case VerdictEpoch, VerdictNotReady:
		v.retryable = true
	case VerdictFull:
		v.full = true
		v.unclaimed++
	}
}

// leading returns the foreign claim with the most votes.
func (v *votes) leading() (*Entry, int) {
	var best *Entry
	most := 0
	for token, n := range v.taken {
		if n > most {
			best, most = v.entries[token], n
		}
	}
	return best, most
}

// round asks for the votes of one epoch.
func (c *Claimer) round(ctx context.Context, e Entry, override bool) (_ Outcome, again bool, _ error) {
	current := c.views.Current()
	replicas := current.Replicas(e.Key.Region, e.Key.String())
	if len(replicas) == 0 {
		return Outcome{}, true, errs.New(Unreachable, "claim", "no VM of region %q is in the view", e.Key.Region)
	}
	need := quorum(len(replicas))
	v := &votes{taken: make(map[string]int), entries: make(map[string]*Entry)}
	for _, m := range replicas {
		v.asked = append(v.asked, m)
		reply, err := c.requestVote(ctx, m, Request{Epoch: current.Epoch(), Replica: m.ID, Entry: e})
		v.count(reply, err)
		if v.granted >= need {
			c.propagateWin(replicas[len(v.asked):], Request{Epoch: current.Epoch(), Entry: e})
			return Outcome{Won: true, Token: e.Token, LostBefore: v.lostBefore, Reached: v.reached}, false, nil
		}
		other, n := v.leading()
		if other != nil && (n >= need || !override) {
			c.release(v.asked, e.Key, e.Token, StateDone)
			return Outcome{Other: other, OtherWon: n >= need, LostBefore: v.lostBefore}, false, nil
		}
	}
	c.release(v.asked, e.Key, e.Token, StateDone)
	if other, n := v.leading(); other != nil {
		return Outcome{Other: other, OtherWon: n >= need, LostBefore: v.lostBefore}, false, nil
	}
	switch known := v.unclaimed >= readQuorum(len(replicas)); {
	case known && v.full:
		return Outcome{}, false, errs.New(Full, "claim", "the replicas of %s have no memory left", e.Key)
	case known:
		return Outcome{}, v.retryable, errs.New(Split, "claim", "%d of %d votes for %s", v.granted, need, e.Key)
	default:
		return Outcome{}, v.retryable, errs.New(Unreachable, "claim", "%d of %d replicas of %s answered", v.unclaimed, len(replicas), e.Key)
	}
}

// propagateWin lets the replicas that were not needed for a win know of it, beside the
// caller, so that whoever asks while one of the others does not answer can
// still see that the claim was won. Claims that nobody waits for go without.
func (c *Claimer) propagateWin(rest []view.Member, r Request) {
	if r.Entry.BestEffort || r.Entry.Key.Kind == KindBill {
		return
	}
	for _, m := range rest {
		r.Replica = m.ID
		c.runTask(func() { _, _ = c.requestVote(context.Background(), m, r) })
	}
}

func (c *Claimer) requestVote(ctx context.Context, m view.Member, r Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	reply, err := c.peers.Claim(ctx, m, r)
	if err == nil {
		c.countVerdict(reply.Verdict)
	}
	return reply, err
}

// Release gives up an own claim that was won and whose work did not run.
func (c *Claimer) Release(key Key, token string) {
	c.release(c.views.Current().Replicas(key.Region, key.String()), key, token, StateDone)
}

// ReleaseStale clears away a claim that its holder does not know any more. Where a
// replica knows that its work has begun, the claim stays.
func (c *Claimer) ReleaseStale(key Key, token string) {
	c.release(c.views.Current().Replicas(key.Region, key.String()), key, token, StateClaimed)
}

// release goes on after the caller has its answer. A replica that misses it
// holds a claim whose token its holder no longer knows, which whoever asks
// the holder finds out.
func (c *Claimer) release(from []view.Member, key Key, token string, upTo State) {
	for _, m := range from {
		c.runTask(func() {
			for range maxReleaseTries {
				ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
				err := c.peers.Release(ctx, m, key, token, upTo)
				cancel()
				if err == nil {
					return
				}
			}
			slog.Debug("release not delivered", "replica", m.ID, "key", key.String())
		})
	}
}

// Advance tells the replicas how far the work under a claim has come. It
// returns how many took it and how many there are.
func (c *Claimer) Advance(ctx context.Context, e Entry) (took, of int) {
	replicas := c.views.Current().Replicas(e.Key.Region, e.Key.String())
	done := make(chan bool, len(replicas))
	for _, m := range replicas {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, voteTimeout)
			defer cancel()
			done <- c.peers.Advance(ctx, m, e) == nil
		}()
	}
	for range replicas {
		if <-done {
			took++
		}
	}
	return took, len(replicas)
}

// Lookup reads a key without claiming it. Complete says that enough replicas
// answered to be sure that an absent key was not won.
func (c *Claimer) Lookup(ctx context.Context, key Key) (found *Entry, complete bool) {
	current := c.views.Current()
	replicas := current.Replicas(key.Region, key.String())
	v := &votes{taken: make(map[string]int), entries: make(map[string]*Entry)}
	empty := 0
	for _, m := range replicas {
		reply, err := c.lookupAt(ctx, m, Request{Epoch: current.Epoch(), Replica: m.ID, Entry: Entry{Key: key}})
		v.count(reply, err)
		if err == nil && reply.Verdict == VerdictGranted {
			empty++
		}
		if other, n := v.leading(); other != nil && n >= quorum(len(replicas)) {
			return other, true
		}
	}
	other, _ := v.leading()
	return other, other != nil || (len(replicas) > 0 && empty >= quorum(len(replicas)))
}

func (c *Claimer) lookupAt(ctx context.Context, m view.Member, r Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	return c.peers.Lookup(ctx, m, r)
}
