// Package claim is the write-once memory of a few nodes: "this key belongs to
// X". It carries four promises: a call that may not be repeated runs at most
// once, a session keeps its version, a request is billed once, and an answer
// is found by whoever asks for it.
//
// The view names three replicas for a key, in three data halls. A claim is
// written once at each; a claim made at two of three is won, and at most one
// can win. There is no leader and nothing to elect: a split vote means that
// nobody runs, and the refusal "not run" is true. A claimer that did not win
// releases what it holds by its attempt's token, under which it then never
// runs.
//
// Claims are held in memory for a bounded life, empty at every start, and the
// view is agreed at the platform; docs/DESIGN.md argues why this is no
// replicated store. What happens at a change of the view stands in
// transfer.go.
//
// # Usage
//
//	outcome, err := claimer.Claim(ctx, claim.Entry{Key: key, Token: token, …})
//	switch {
//	case err != nil: // not won, released: "not run" is true
//	case outcome.Won: // run, and nobody else does
//	default: // outcome.Other has it; join its holder
//	}
package claim

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/violettally/violettally/internal/errs"
	"github.com/violettally/violettally/view"
)

//go:generate go tool enumer -type=Kind,State,Verdict -trimprefix=Kind,State,Verdict -transform=snake -output=claim_enumer.go

var (
	namespace = errs.Namespace("claim")

	// Unreachable says that too few replicas answered to know whether the key
	// has been claimed before. The attempt itself is released and never runs.
	Unreachable = namespace.NewType("unreachable")
	// Split says that the votes were split; enough replicas answered to know
	// that nobody has won the key.
	Split = namespace.NewType("split")
	// Full says that too few replicas had memory left; enough answered to know
	// that nobody has won the key.
	Full = namespace.NewType("full")
	// Undecided says that a quorum of the replicas does not know which of two
	// attempts has won the key.
	Undecided = namespace.NewType("undecided")
)

// Kind separates the uses of a key.
type Kind int

// The kinds of claims.
const (
	KindRequest Kind = iota
	KindPin
	KindBill
)

// State is how far the work under a claim has come.
type State int

// The states, in their order.
const (
	StateClaimed State = iota
	StateRunning
	// StateFailed marks work that may have run and gave no answer. Others may
	// claim the key again, and learn that it was reached before.
	StateFailed
	StateDone
	// StateUnknown marks a key for which two different claims survived a
	// change of the view: either may have won.
	StateUnknown
)

// Key names what is claimed. The region is that of the client account, so
// that parted regions cannot both win.
type Key struct {
	Region  string `cbor:"1,keyasint"`
	Account string `cbor:"2,keyasint"`
	Kind    Kind   `cbor:"3,keyasint"`
	ID      string `cbor:"4,keyasint"`
}

// String returns the form of the key that is hashed. Accounts have no '/' in
// their names, so no key of one account can read as another's.
func (k Key) String() string {
	return strings.Join([]string{k.Region, k.Account, k.Kind.String(), k.ID}, "/")
}

// Holder is the node that made a claim.
type Holder struct {
	ID   string `cbor:"1,keyasint"`
	Peer string `cbor:"2,keyasint"`
}

// Entry is one claim. Its fields are exported for the codec.
type Entry struct {
	Key Key `cbor:"1,keyasint"`
	// Token is the attempt's own; no two attempts have the same.
	Token  string `cbor:"2,keyasint"`
	Holder Holder `cbor:"3,keyasint"`
	State  State  `cbor:"4,keyasint"`
	// Repeatable work may be taken over when its holder is gone.
	Repeatable bool `cbor:"5,keyasint"`
	// Patient work is taken over without waiting for its caller to ask.
	Patient bool `cbor:"6,keyasint"`
	// Body digests the request, so that an id used for two requests shows.
	Body uint64 `cbor:"7,keyasint"`
	// Value is the pinned version, the bill, or the request itself if it is
	// to be taken over.
	Value []byte `cbor:"8,keyasint"`
	// Response is the kept answer of work that is done.
	Response []byte `cbor:"9,keyasint"`
	// Expires ends the claim's life.
	Expires time.Time `cbor:"10,keyasint"`
	// Sequence places a bill in its holder's journal.
	Sequence int64 `cbor:"11,keyasint"`
	// Reached says that an earlier attempt under the key may have run.
	Reached bool `cbor:"13,keyasint"`
	// Rival is the other claim of a bill in StateUnknown.
	Rival *Entry `cbor:"14,keyasint,omitempty"`
	// BestEffort claims only help to find an answer. They give way when a replica's
	// memory is half full.
	BestEffort bool `cbor:"12,keyasint"`
}

// bills returns the claims of a bill that an entry holds: itself and its rival.
func (e *Entry) bills() []*Entry {
	switch {
	case e.Key.Kind != KindBill:
		return nil
	case e.Rival != nil:
		return []*Entry{e, e.Rival}
	default:
		return []*Entry{e}
	}
}

// mergeBillClaims returns the entry for a bill that several attempts have claimed: the
// first two by name, each in its last round, of which either may have won.
func mergeBillClaims(claims []*Entry) Entry {
	last := make(map[string]Entry)
	for _, c := range claims {
		attempt := AttemptOf(c.Token)
		if known, ok := last[attempt]; !ok || Supersedes(c.Token, known.Token) {
			last[attempt] = *c
		}
	}
	names := slices.Sorted(maps.Keys(last))
	first := last[names[0]]
	first.Rival = nil
	if len(names) > 1 {
		second := last[names[1]]
		second.State, second.Rival = StateDone, nil
		first.State, first.Rival = StateUnknown, &second
	}
	return first
}

// Verdict is a replica's answer to a claim.
type Verdict int

// The verdicts. Only VerdictGranted is a vote.
const (
	VerdictGranted Verdict = iota
	// VerdictTaken comes with the entry that has the key.
	VerdictTaken
	// VerdictEpoch says that claimer and replica are at different epochs.
	VerdictEpoch
	// VerdictNotReady says that the replica still takes over the key's range.
	VerdictNotReady
	// VerdictFull says that the replica's memory is full.
	VerdictFull
	// VerdictNotMine says that another incarnation was asked.
	VerdictNotMine
)

// Request asks one replica for its vote. Advance moves an own claim on, and
// Lookup only reads.
type Request struct {
	Epoch   int64  `cbor:"1,keyasint"`
	Replica string `cbor:"2,keyasint"`
	Entry   Entry  `cbor:"3,keyasint"`
}

// Reply is a replica's answer.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Epoch   int64   `cbor:"2,keyasint"`
	Entry   *Entry  `cbor:"3,keyasint,omitempty"`
	// LostBefore is the time before which claims for the key may have been
	// lost; zero if none were.
	LostBefore time.Time `cbor:"4,keyasint,omitempty"`
	// Reached comes with a vote for a key that an earlier attempt may have run
	// under.
	Reached bool `cbor:"5,keyasint,omitempty"`
}

// TransferRequest asks an earlier replica for the entries that the asker
// answers for in the present epoch.
type TransferRequest struct {
	Epoch     int64  `cbor:"1,keyasint"`
	Requester string `cbor:"2,keyasint"`
	Source    string `cbor:"3,keyasint"`
	// After is the key after which the page starts.
	After string `cbor:"4,keyasint"`
}

// TransferReply is one page of entries.
type TransferReply struct {
	// Ready is false while the owner has not seen the asker's epoch.
	Ready bool `cbor:"1,keyasint"`
	// SyncedEpochs lists the epochs at which the owner held all won claims of its
	// ranges.
	SyncedEpochs []int64 `cbor:"2,keyasint"`
	// FirstEpoch is the first epoch whose votes the owner still has. A member that
	// was removed and joined again has forgotten the earlier ones.
	FirstEpoch int64        `cbor:"6,keyasint"`
	Entries    []Entry      `cbor:"3,keyasint"`
	Next       string       `cbor:"4,keyasint"`
	Losses     []LossRecord `cbor:"5,keyasint"`
}

// Transport carries the messages between claimers and replicas.
type Transport interface {
	Claim(ctx context.Context, to view.Member, r Request) (Reply, error)
	Lookup(ctx context.Context, to view.Member, r Request) (Reply, error)
	Advance(ctx context.Context, to view.Member, e Entry) error
	Release(ctx context.Context, to view.Member, key Key, token string, upTo State) error
	Transfer(ctx context.Context, to view.Member, r TransferRequest) (TransferReply, error)
}

// ViewSource is the source of the view in force.
type ViewSource interface {
	Current() *view.View
	Changed() <-chan struct{}
	// Dead reports whether a member is gone for good.
	Dead(m view.Member) bool
}

// quorum returns how many of n replicas make a claim won.
func quorum(n int) int { return n/2 + 1 }

// readQuorum returns how many of n replicas have to be read to meet every
// quorum of votes.
func readQuorum(n int) int { return n - quorum(n) + 1 }
