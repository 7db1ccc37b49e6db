package peer

import (
	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/document"
	"github.com/violettally/violettally/rollout"
)

// The RPC names of the calls between nodes.
const (
	callProbe          = "probe"
	callProbeVia       = "probe_via"
	callFetch          = "fetch"
	callNotify         = "notify"
	callClaim          = "claim"
	callLookup         = "lookup"
	callAdvance        = "advance"
	callRelease        = "release"
	callTransfer       = "transfer"
	callLimit          = "limit"
	callCounts         = "counts"
	callJournalRecords = "recall"
	callCheckpoint     = "checkpoint"
	callAttach         = "attach"
	callCancel         = "cancel"
	callExplain        = "explain"
)

// empty is a request or reply without fields.
type empty struct{}

type probeViaRequest struct {
	Target string `cbor:"1,keyasint"`
}

type fetchRequest struct {
	Known map[string]int64 `cbor:"1,keyasint"`
}

type fetchReply struct {
	Items map[string]document.Item `cbor:"1,keyasint"`
}

type notifyRequest struct {
	// From is the sender's peer address.
	From      string           `cbor:"1,keyasint"`
	Revisions map[string]int64 `cbor:"2,keyasint"`
}

type releaseRequest struct {
	Key   claim.Key   `cbor:"1,keyasint"`
	Token string      `cbor:"2,keyasint"`
	UpTo  claim.State `cbor:"3,keyasint"`
}

type countsReply struct {
	Node   string         `cbor:"1,keyasint"`
	Counts rollout.Counts `cbor:"2,keyasint"`
}

type journalRecordsRequest struct {
	Journal string `cbor:"1,keyasint"`
}

// attemptRequest identifies an attempt and the member that holds it. The holder is
// checked because a later incarnation at the same address has no record of the
// attempt, although it may have run.
type attemptRequest struct {
	Attempt string `cbor:"1,keyasint"`
	Holder  string `cbor:"2,keyasint"`
}

// attachMessage is one message of a stream that sends a response to another node.
// In the first one, Found reports whether the node has the response.
type attachMessage struct {
	Found   bool            `cbor:"1,keyasint"`
	Ran     bool            `cbor:"2,keyasint"`
	HasHead bool            `cbor:"3,keyasint"`
	Head    answer.Head     `cbor:"4,keyasint"`
	Parts   [][]byte        `cbor:"5,keyasint"`
	Done    bool            `cbor:"6,keyasint"`
	Failure *answer.Failure `cbor:"7,keyasint,omitempty"`
}

type cancelReply struct {
	Stopped bool `cbor:"1,keyasint"`
}

type explainRequest struct {
	RequestID string `cbor:"1,keyasint"`
}
