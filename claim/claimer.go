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
	// voteTimeout bounds one message to one replica. The data halls of a region
	// are milliseconds apart.
	voteTimeout = 300 * time.Millisecond
	// maxRounds is how often a claim is tried while the view changes.
	maxRounds = 4
	// maxReleaseTries is how often a release is sent to a replica that does not
	// reply.
	maxReleaseTries = 3
)

// Claimer makes claims for one node.
type Claimer struct {
	views        ViewSource
	peers        Transport
	countVerdict func(Verdict)
	// runTask runs a task concurrently with the caller.
	runTask func(task func())
}

// ClaimerOption configures a Claimer in NewClaimer.
type ClaimerOption func(*Claimer)

// WithVerdictCounter calls count with the verdict of each vote.
func WithVerdictCounter(count func(Verdict)) ClaimerOption {
	return func(c *Claimer) { c.countVerdict = count }
}

// WithTaskRunner replaces how background tasks are run, a goroutine each by
// default. Tests use it to run them in a fixed order.
func WithTaskRunner(run func(task func())) ClaimerOption {
	return func(c *Claimer) { c.runTask = run }
}

// NewClaimer returns a claimer that takes replicas from views and reaches them
// through peers.
func NewClaimer(views ViewSource, peers Transport, options ...ClaimerOption) *Claimer {
	c := &Claimer{views: views, peers: peers, countVerdict: func(Verdict) {}, runTask: func(task func()) { go task() }}
	for _, option := range options {
		option(c)
	}
	return c
}

// Outcome is the result of a claim that did not fail.
type Outcome struct {
	// Won says that the claim is this caller's, under Token.
	Won   bool
	Token string
	// Other is the entry that holds the key, if not won. OtherWon says that a
	// quorum was seen to hold it, so it has won; otherwise it may still be
	// released.
	Other    *Entry
	OtherWon bool
	// LostBefore is the time before which claims for the key may have been
	// lost; zero if none were.
	LostBefore time.Time
	// MayHaveRun says that an earlier attempt under the key may have run.
	MayHaveRun bool
}

// Claim tries to win a key. It asks the replicas in the view's order, so that
// concurrent claimers meet at the first one. The token of e must be unique
// among all nodes; each round claims under its own token, made from it by
// [RoundToken]. The error is of type [Unreachable], [Split] or [Full]; the
// attempt is then released.
func (c *Claimer) Claim(ctx context.Context, e Entry) (Outcome, error) {
	return c.tryRounds(ctx, e, 0, false)
}

// Override tries to win a key although a replica holds another attempt's claim
// whose holder does not respond. It does not win if that claim was won. After a
// Claim, it may be called with the same token.
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

// retry repeats a round that failed for a short-lived reason: claimer and
// replicas were at different epochs, or a key range was being taken over.
func (c *Claimer) retry(ctx context.Context, round func() (_ Outcome, retryable bool, _ error)) (Outcome, error) {
	var err error
	for range maxRounds {
		changed := c.views.Changed()
		var outcome Outcome
		var retryable bool
		outcome, retryable, err = round()
		if err == nil {
			return outcome, nil
		}
		if !retryable {
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

// NextToken returns the token of the round after the given one.
func NextToken(token string) string {
	attempt, round := splitToken(token)
	return RoundToken(attempt, round+1)
}

// Supersedes reports whether token is of a later round of the same attempt
// than other. The claimer has given up the earlier round.
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

// votes counts the replies of one round.
type votes struct {
	granted int
	// unclaimed counts the replicas that held no other claim of the key.
	unclaimed int
	// taken counts the replicas that hold each other claim, by its token.
	taken      map[string]int
	entries    map[string]*Entry
	retryable  bool
	full       bool
	lostBefore time.Time
	mayHaveRun bool
	asked      []view.Member
}

func (v *votes) count(reply Reply, err error) {
	if err != nil {
		return
	}
	if reply.LostBefore.After(v.lostBefore) {
		v.lostBefore = reply.LostBefore
	}
	v.mayHaveRun = v.mayHaveRun || reply.MayHaveRun
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

// leading returns the other claim with the most votes, and their number.
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

// round asks the replicas of the current epoch for their votes.
func (c *Claimer) round(ctx context.Context, e Entry, override bool) (_ Outcome, retryable bool, _ error) {
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
			return Outcome{Won: true, Token: e.Token, LostBefore: v.lostBefore, MayHaveRun: v.mayHaveRun}, false, nil
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

// propagateWin sends a won claim in the background to the replicas that were
// not needed for the win. A later reader can then see that it was won even
// while one of the others does not reply. Best-effort claims and bills, for
// which nobody waits, are not propagated.
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

// Release gives up this caller's claim that was won and whose work did not run.
func (c *Claimer) Release(key Key, token string) {
	c.release(c.views.Current().Replicas(key.Region, key.String()), key, token, StateDone)
}

// ReleaseStale removes a claim of which its holder has no record. A replica at
// which the claim is past StateClaimed keeps it, since its work has begun.
func (c *Claimer) ReleaseStale(key Key, token string) {
	c.release(c.views.Current().Replicas(key.Region, key.String()), key, token, StateClaimed)
}

// release runs in the background. A replica that does not get the message keeps
// the claim, of which the holder has no record; other claimers find that out when
// they query the holder.
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

// Advance sends the new state of a claim to its replicas. It returns how many
// acknowledged it and how many there are.
func (c *Claimer) Advance(ctx context.Context, e Entry) (acked, total int) {
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
			acked++
		}
	}
	return acked, len(replicas)
}

// Lookup reads a key without claiming it. The result complete is true if enough
// replicas replied to be sure that a key that was not found has not been won.
func (c *Claimer) Lookup(ctx context.Context, key Key) (found *Entry, complete bool) {
	current := c.views.Current()
	replicas := current.Replicas(key.Region, key.String())
	v := &votes{taken: make(map[string]int), entries: make(map[string]*Entry)}
	unclaimed := 0
	for _, m := range replicas {
		reply, err := c.lookupAt(ctx, m, Request{Epoch: current.Epoch(), Replica: m.ID, Entry: Entry{Key: key}})
		v.count(reply, err)
		if err == nil && reply.Verdict == VerdictGranted {
			unclaimed++
		}
		if other, n := v.leading(); other != nil && n >= quorum(len(replicas)) {
			return other, true
		}
	}
	other, _ := v.leading()
	return other, other != nil || (len(replicas) > 0 && unclaimed >= quorum(len(replicas)))
}

func (c *Claimer) lookupAt(ctx context.Context, m view.Member, r Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	return c.peers.Lookup(ctx, m, r)
}
