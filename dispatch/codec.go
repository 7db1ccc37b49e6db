package dispatch

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/config"
)

// storedRequest is an asynchronous request as it is stored with its claim.
type storedRequest struct {
	ID       string    `cbor:"1,keyasint"`
	Deadline time.Time `cbor:"2,keyasint"`
	Body     []byte    `cbor:"3,keyasint"`
	Digest   uint64    `cbor:"4,keyasint"`
	Chat     *Chat     `cbor:"5,keyasint,omitempty"`
	Service  string    `cbor:"6,keyasint,omitempty"`
	Plain    *Plain    `cbor:"7,keyasint,omitempty"`
}

func encodeRequest(r *Request) []byte {
	stored := storedRequest{ID: r.ID, Deadline: r.Deadline, Body: r.Body, Digest: r.Digest, Chat: r.Chat}
	if r.Plain != nil {
		plain := *r.Plain
		stored.Service = plain.Service.Name
		plain.Service, plain.Call = nil, nil
		stored.Plain = &plain
	}
	data, err := cbor.Marshal(stored)
	if err != nil {
		return nil
	}
	return data
}

// decodeRequest decodes an asynchronous request that is taken over. It returns nil if the data
// cannot be decoded or the configuration no longer has the account or the call.
func decodeRequest(data []byte, account *config.Account, s *config.Snapshot) *Request {
	var stored storedRequest
	if account == nil || cbor.Unmarshal(data, &stored) != nil {
		return nil
	}
	r := &Request{
		ID:           stored.ID,
		IDFromClient: true,
		Account:      account,
		Async:        true,
		Deadline:     stored.Deadline,
		Body:         stored.Body,
		Digest:       stored.Digest,
		Chat:         stored.Chat,
		Plain:        stored.Plain,
		takenOver:    true,
	}
	if r.Plain != nil {
		r.Plain.Service = s.Service(stored.Service)
		if r.Plain.Service == nil {
			return nil
		}
		r.Plain.Call = r.Plain.Service.Call(r.Plain.Method, r.Plain.Path)
		if r.Plain.Call == nil {
			return nil
		}
	}
	return r
}

// storedResponse is a response as it is stored at the replicas of its claim.
type storedResponse struct {
	Head  answer.Head `cbor:"1,keyasint"`
	Parts [][]byte    `cbor:"2,keyasint"`
}

func encodeResponse(s answer.State) []byte {
	data, err := cbor.Marshal(storedResponse{Head: s.Head, Parts: s.Parts})
	if err != nil {
		return nil
	}
	return data
}

func decodeResponse(data []byte) *answer.Response {
	x := answer.NewResponse("", func() {})
	var stored storedResponse
	if err := cbor.Unmarshal(data, &stored); err != nil {
		x.Fail(refuse(ReasonAnswerExpired, RanYes, 0, "the kept answer cannot be read: %v", err).Failure())
		return x
	}
	x.SetHead(stored.Head)
	for _, part := range stored.Parts {
		x.Append(part)
	}
	x.Finish()
	return x
}

// uuidV7 is the version of UUIDs that begin with a timestamp (RFC 9562).
const uuidV7 = 7

// idTime returns the timestamp in an ID, or the zero time if the ID has none.
func idTime(id string) time.Time {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != uuidV7 {
		return time.Time{}
	}
	return time.Unix(parsed.Time().UnixTime())
}
