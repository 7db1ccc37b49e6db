package peer

import "github.com/violettally/violettally/mirror"

// Packing is one node's, as its peers get it.
type Packing struct{ p *packer }

// NewPacking returns a node's packing.
func NewPacking() Packing { return Packing{newPacker()} }

// Reply is what a peer gets, who may or may not read packed values.
type Reply = followReply

// Reply packs a batch.
func (p Packing) Reply(b mirror.Batch, packed bool) (Reply, error) { return p.p.reply(b, packed) }

// Batch is what the peer makes of it.
func Batch(r Reply) (mirror.Batch, error) { return r.batch() }

// Codec is that of all calls.
var Codec = codec{}
