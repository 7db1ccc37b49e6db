// Package claim keeps write-once claims, each saying "this key belongs to X",
// at a few nodes. Four guarantees rest on it: a call that may not be repeated
// runs at most once, a session keeps its version, a request is billed once,
// and any node can find the response to a request.
//
// The view names three replicas for a key, in three data halls. Each replica
// writes a claim once. A claim granted by two of three replicas is won, and at
// most one claim of a key can be won. There is no leader and no election: if
// the votes are split, no claimer runs, so each may report "not run". A
// claimer that did not win releases its votes under its attempt's token and
// never runs under that token.
//
// Claims are held in memory for a bounded time, and a node starts without
// any; the view is stored at the platform. docs/DESIGN.md explains why this is
// not a replicated store. transfer.go describes what happens when the view
// changes.
//
// # Usage
//
//	outcome, err := claimer.Claim(ctx, claim.Entry{Key: key, Token: token, …})
//	switch {
//	case err != nil: // not won, released: "not run" is true
//	case outcome.Won: // run, and nobody else does
//	default: // outcome.Other holds the key; join its holder
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

	// Unreachable says that too few replicas replied to know whether the key
	// has been claimed before. The attempt itself is released and never runs.
	Unreachable = namespace.NewType("unreachable")
	// Split says that the votes were split; enough replicas replied to know
	// that nobody has won the key.
	Split = namespace.NewType("split")
	// Full says that too few replicas had memory left; enough replied to know
	// that nobody has won the key.
	Full = namespace.NewType("full")
	// Undecided says that a quorum of the replicas cannot tell which of two
	// attempts has won the key.
	Undecided = namespace.NewType("undecided")
)

// Kind is what a key is claimed for.
type Kind int

// The kinds of claims.
const (
	KindRequest Kind = iota
	KindPin
	KindBill
)

// State is how far the work under a claim has come.
type State int

// The states, in the order in which a claim passes through them.
const (
	StateClaimed State = iota
	StateRunning
	// StateFailed marks work that may have run and gave no response. Others
	// may claim the key again; their Outcome then has MayHaveRun set.
	StateFailed
	StateDone
	// StateUnknown marks a key whose outcome is not known: either its work may
	// have run and may not be repeated, or claims of two attempts were found
	// after a change of the view and either may have won.
	StateUnknown
)

// Key names what is claimed. The region is that of the client account, so
// that two regions cut off from each other cannot both win.
type Key struct {
	Region  string `cbor:"1,keyasint"`
	Account string `cbor:"2,keyasint"`
	Kind    Kind   `cbor:"3,keyasint"`
	ID      string `cbor:"4,keyasint"`
}

// String returns the form of the key that is hashed. Accounts have no '/' in
// their names, so keys of two accounts cannot have the same form.
func (k Key) String() string {
	return strings.Join([]string{k.Region, k.Account, k.Kind.String(), k.ID}, "/")
}

// Holder is the node that made a claim.
type Holder struct {
	ID   string `cbor:"1,keyasint"`
	Peer string `cbor:"2,keyasint"`
}

// Entry is one claim. Its fields are exported for the CBOR codec.
type Entry struct {
	Key Key `cbor:"1,keyasint"`
	// Token identifies the attempt and its round; no two attempts share one.
	Token  string `cbor:"2,keyasint"`
	Holder Holder `cbor:"3,keyasint"`
	State  State  `cbor:"4,keyasint"`
	// Repeatable says that the work may run again, at another node if its
	// holder has failed.
	Repeatable bool `cbor:"5,keyasint"`
	// Async says that another node takes over the work of a failed holder
	// without waiting for a retry by the client.
	Async bool `cbor:"6,keyasint"`
	// Digest is a hash of the request; it reveals an ID used for two requests.
	Digest uint64 `cbor:"7,keyasint"`
	// Value is the pinned version, the bill, or the request itself if it is
	// to be taken over.
	Value []byte `cbor:"8,keyasint"`
	// Response is the stored response of work that is done.
	Response []byte `cbor:"9,keyasint"`
	// Expires is when the claim may be dropped.
	Expires time.Time `cbor:"10,keyasint"`
	// Sequence is the position of a bill in its holder's journal.
	Sequence int64 `cbor:"11,keyasint"`
	// MayHaveRun says that an earlier attempt under the key may have run.
	MayHaveRun bool `cbor:"13,keyasint"`
	// Rival is the other attempt's claim of a bill in StateUnknown.
	Rival *Entry `cbor:"14,keyasint,omitempty"`
	// BestEffort says that the claim only serves to find a response. A replica
	// whose memory is half full refuses such claims.
	BestEffort bool `cbor:"12,keyasint"`
}

// bills returns the claims of a bill that an entry holds: itself and its rival.
// It returns none if the entry is not of a bill.
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

// mergeBillClaims returns one entry for a bill that several attempts have
// claimed. It keeps the first two attempts by name, each in its last round;
// either may have won.
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

// Verdict is the result of a claim at one replica.
type Verdict int

// The verdicts. Only VerdictGranted is a vote.
const (
	VerdictGranted Verdict = iota
	// VerdictTaken says that another claim holds the key; the reply has its
	// entry.
	VerdictTaken
	// VerdictEpoch says that claimer and replica are at different epochs.
	VerdictEpoch
	// VerdictNotReady says that the replica has not yet taken over the key's
	// range, or that the claim was released before it arrived.
	VerdictNotReady
	// VerdictFull says that the replica's memory is full.
	VerdictFull
	// VerdictNotMine says that the request was meant for another incarnation.
	VerdictNotMine
)

// Request asks one replica for its vote on a claim, or only for what it holds
// (see [Transport]).
type Request struct {
	Epoch   int64  `cbor:"1,keyasint"`
	Replica string `cbor:"2,keyasint"`
	Entry   Entry  `cbor:"3,keyasint"`
}

// Reply is a replica's reply to a Request.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Epoch   int64   `cbor:"2,keyasint"`
	Entry   *Entry  `cbor:"3,keyasint,omitempty"`
	// LostBefore is the time before which claims for the key may have been
	// lost; zero if none were.
	LostBefore time.Time `cbor:"4,keyasint,omitempty"`
	// MayHaveRun says that an earlier attempt under the key may have run.
	MayHaveRun bool `cbor:"5,keyasint,omitempty"`
}

// TransferRequest asks a replica of an earlier epoch for the entries of which
// the requester is a replica in the current epoch.
type TransferRequest struct {
	Epoch     int64  `cbor:"1,keyasint"`
	Requester string `cbor:"2,keyasint"`
	Source    string `cbor:"3,keyasint"`
	// After is the key after which the page starts; empty for the first page.
	After string `cbor:"4,keyasint"`
}

// TransferReply is one page of entries.
type TransferReply struct {
	// Ready is false while the source has not seen the requester's epoch.
	Ready bool `cbor:"1,keyasint"`
	// SyncedEpochs lists the epochs at which the source held all won claims of
	// its ranges.
	SyncedEpochs []int64 `cbor:"2,keyasint"`
	// FirstEpoch is the first epoch whose votes the source still has. A member
	// that was removed and joined again has dropped the earlier ones.
	FirstEpoch int64        `cbor:"6,keyasint"`
	Entries    []Entry      `cbor:"3,keyasint"`
	Next       string       `cbor:"4,keyasint"`
	Losses     []LossRecord `cbor:"5,keyasint"`
}

// Transport carries the messages from claimers to replicas and between
// replicas. Claim asks for a vote, Lookup only reads, Advance moves a granted
// claim to a later state, Release gives it up unless its work has come further
// than upTo, and Transfer reads one page of entries.
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
	// Dead reports whether a member's process is known to have ended for good.
	Dead(m view.Member) bool
}

// quorum returns how many of n replicas have to grant a claim for it to win.
func quorum(n int) int { return n/2 + 1 }

// readQuorum returns how many of n replicas have to be read so that the read
// overlaps every quorum of votes.
func readQuorum(n int) int { return n - quorum(n) + 1 }
