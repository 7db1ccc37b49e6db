package peer

import "github.com/violettally/violettally/mirror"

// BatchEncoder exports batchEncoder for tests.
type BatchEncoder struct{ encoder *batchEncoder }

// NewBatchEncoder returns an encoder. Previous returns a key's value before its last
// change.
func NewBatchEncoder(previous func(key string) (mirror.Item, bool)) BatchEncoder {
	return BatchEncoder{newBatchEncoder(previous)}
}

// Request exports followRequest for tests.
type Request = followRequest

// Reply exports followReply for tests.
type Reply = followReply

// Encode returns the reply to a request.
func (e BatchEncoder) Encode(b mirror.Batch, r Request) (Reply, error) { return e.encoder.encode(b, r) }

// Decode returns a reply's batch for a peer that has the known values.
func Decode(r Reply, known func(key string) (mirror.Item, bool)) (mirror.Batch, error) {
	return r.decode(known)
}

// Codec is the codec of all calls.
var Codec = codec{}
