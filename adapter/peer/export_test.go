package peer

import "github.com/violettally/violettally/mirror"

// Packing is one node's, as its peers get it.
type Packing struct{ p *packer }

// NewPacking returns the packing of a node whose keys held what before returns.
func NewPacking(before func(key string) (mirror.Item, bool)) Packing {
	return Packing{newPacker(before)}
}

// Request is what a peer asks for.
type Request = followRequest

// Reply is what it gets.
type Reply = followReply

// Reply packs a batch for a request.
func (p Packing) Reply(b mirror.Batch, r Request) (Reply, error) { return p.p.reply(b, r) }

// Batch is what a peer that holds the known values makes of a reply.
func Batch(r Reply, known func(key string) (mirror.Item, bool)) (mirror.Batch, error) {
	return r.batch(known)
}

// Codec is that of all calls.
var Codec = codec{}
