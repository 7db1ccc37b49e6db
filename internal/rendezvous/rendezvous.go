// Package rendezvous scores pairs of names for rendezvous hashing (Thaler and
// Ravishankar, 1998): everybody who knows the names agrees on the scores, and
// when a name goes, only what it had scored highest for moves.
//
// # Usage
//
//	key := rendezvous.Hash("desk/request/42")
//	score := rendezvous.Score(key, rendezvous.Hash("north-1#1"))
package rendezvous

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Position places a hash in [0, 1), evenly, for choices by share or weight.
func Position(hash uint64) float64 {
	// A float64 holds 53 bits exactly.
	return float64(hash>>11) / (1 << 53)
}

// odd is the fractional part of the golden ratio, as an odd number.
const odd = 0x9e3779b97f4a7c15

// Score returns the score of a pair of hashes, folding 128-bit products. It
// costs two multiplications, since a key is scored against every node.
func Score(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^b^odd, bits.RotateLeft64(a, 32)|1)
	hi2, lo2 := bits.Mul64(hi^lo^b, odd)
	return hi2 ^ lo2
}
