package dispatch

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/config"
)

// savedRequest is patient work as it rides with its claim.
type savedRequest struct {
	ID       string    `cbor:"1,keyasint"`
	Deadline time.Time `cbor:"2,keyasint"`
	Body     []byte    `cbor:"3,keyasint"`
	Digest   uint64    `cbor:"4,keyasint"`
	Chat     *Chat     `cbor:"5,keyasint,omitempty"`
	Service  string    `cbor:"6,keyasint,omitempty"`
	Plain    *Plain    `cbor:"7,keyasint,omitempty"`
}

func encodeRequest(r *Request) []byte {
	saved := savedRequest{ID: r.ID, Deadline: r.Deadline, Body: r.Body, Digest: r.Digest, Chat: r.Chat}
	if r.Plain != nil {
		plain := *r.Plain
		saved.Service = plain.Service.Name
		plain.Service, plain.Call = nil, nil
		saved.Plain = &plain
	}
	data, err := cbor.Marshal(saved)
	if err != nil {
		return nil
	}
	return data
}

// decodeRequest reads patient work that is taken over. It returns nil if the
// configuration no longer has what the work needs.
func decodeRequest(data []byte, account *config.Account, s *config.Snapshot) *Request {
	var saved savedRequest
	if account == nil || cbor.Unmarshal(data, &saved) != nil {
		return nil
	}
	r := &Request{
		ID:           saved.ID,
		IDFromClient: true,
		Account:      account,
		Async:        true,
		Deadline:     saved.Deadline,
		Body:         saved.Body,
		Digest:       saved.Digest,
		Chat:         saved.Chat,
		Plain:        saved.Plain,
		takenOver:    true,
	}
	if r.Plain != nil {
		r.Plain.Service = s.Service(saved.Service)
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

// savedAnswer is an answer as it is kept at the replicas of its claim.
type savedAnswer struct {
	Head  answer.Head `cbor:"1,keyasint"`
	Parts [][]byte    `cbor:"2,keyasint"`
}

func encodeAnswer(s answer.State) []byte {
	data, err := cbor.Marshal(savedAnswer{Head: s.Head, Parts: s.Parts})
	if err != nil {
		return nil
	}
	return data
}

func decodeAnswer(data []byte) *answer.Response {
	x := answer.NewResponse("", func() {})
	var saved savedAnswer
	if err := cbor.Unmarshal(data, &saved); err != nil {
		x.Fail(refuse(ReasonAnswerExpired, RanYes, 0, "the kept answer cannot be read: %v", err).Failure())
		return x
	}
	x.SetHead(saved.Head)
	for _, part := range saved.Parts {
		x.Append(part)
	}
	x.Finish()
	return x
}

// uuidWithTime is the version of UUIDs that start with their time (RFC 9562).
const uuidWithTime = 7

// idTime returns the time that an id carries; the zero time if it has none.
func idTime(id string) time.Time {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != uuidWithTime {
		return time.Time{}
	}
	return time.Unix(parsed.Time().UnixTime())
}
