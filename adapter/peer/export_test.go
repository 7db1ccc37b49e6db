package peer

import "github.com/violettally/violettally/mirror"

// BatchEncoder is one node's, as its peers get it.
type BatchEncoder struct{ encoder *batchEncoder }

// NewBatchEncoder returns the packing of a node whose keys held what before returns.
func NewBatchEncoder(before func(key string) (mirror.Item, bool)) BatchEncoder {
	return BatchEncoder{newBatchEncoder(before)}
}

// Request is what a peer asks for.
type Request = followRequest

// Reply is what it gets.
type Reply = followReply

// Encode packs a batch for a request.
func (p BatchEncoder) Encode(b mirror.Batch, r Request) (Reply, error) { return p.encoder.encode(b, r) }

// Decode is what a peer that holds the known values makes of a reply.
func Decode(r Reply, known func(key string) (mirror.Item, bool)) (mirror.Batch, error) {
	return r.decode(known)
}

// Codec is that of all calls.
var Codec = codec{}
