// Package rendezvous scores pairs of names for rendezvous hashing (Thaler and
// Ravishankar, 1998), also called highest random weight hashing. All nodes compute
// the same scores, and when a node is removed, only the keys for which it had the
// highest score move.
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

// Position maps a hash uniformly to [0, 1), for choices by percentage or weight.
func Position(hash uint64) float64 {
	// A float64 holds 53 bits exactly.
	return float64(hash>>11) / (1 << 53)
}

// goldenRatio is the fractional part of the golden ratio times 2^64, rounded down; it is odd.
const goldenRatio = 0x9e3779b97f4a7c15

// Score returns the score of a pair of hashes, by folding 128-bit products. It takes
// only two multiplications because a key is scored against every node.
func Score(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^b^goldenRatio, bits.RotateLeft64(a, 32)|1)
	hi2, lo2 := bits.Mul64(hi^lo^b, goldenRatio)
	return hi2 ^ lo2
}
