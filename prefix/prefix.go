// Package prefix estimates which prompt prefixes the engines' caches hold.
//
// A prompt consists of parts, most of them shared with other prompts. An engine
// caches the parts that it has prefilled, by model. A cached part need not be
// prefilled again if all parts before it are cached as well. When the cache is
// full, the engine evicts the least recently used parts. A [CacheTracker] simulates
// the cache of one engine from the prompts that were sent to it, with the same
// eviction order and capacity.
//
// # Usage
//
//	chain := prefix.NewChain("large", parts) // each part with its ID and size
//	cached := tracker.CachedTokens(chain)    // tokens that need no prefill
//	tracker.Insert(chain)                    // when the prompt is sent to the engine
package prefix

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt, such as a system prompt that many requests share.
type Part struct {
	ID     string
	Tokens int
}

// Block identifies one part of a prompt together with all parts before it. The
// fields are exported for the codecs.
type Block struct {
	_ struct{} `cbor:",toarray"`
	// Hash covers the model, the part and all parts before it.
	Hash uint64
	// Tokens is the size of the part alone.
	Tokens int
}

// Chain is a whole prompt as a hash chain, with one block for each part.
type Chain []Block

// NewChain returns the chain of a prompt for a model. Equal prompts for different
// models have different chains, since engines cache by model.
func NewChain(model string, parts []Part) Chain {
	chain := make(Chain, 0, len(parts))
	hash := xxhash.Sum64String(model)
	var buffer [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(buffer[:], hash)
		digest := xxhash.New()
		// Writes to a digest never fail.
		_, _ = digest.Write(buffer[:])
		_, _ = digest.WriteString(p.ID)
		hash = digest.Sum64()
		chain = append(chain, Block{Hash: hash, Tokens: p.Tokens})
	}
	return chain
}

// Shared returns the chain without its last block, the part that is specific to
// the request.
func (c Chain) Shared() Chain {
	if len(c) == 0 {
		return nil
	}
	return c[:len(c)-1]
}

// Tokens returns the size of the whole prompt.
func (c Chain) Tokens() int {
	sum := 0
	for _, b := range c {
		sum += b.Tokens
	}
	return sum
}

// CacheTracker simulates the LRU prefix cache of one engine. It is not safe for
// concurrent use.
type CacheTracker struct {
	// capacity is in tokens; if zero or less, only maxEntries applies.
	capacity int
	tokens   int
	// entries is keyed by Block.Hash; order has the most recently used first.
	entries map[uint64]*list.Element
	order   *list.List
}

// maxEntries bounds the blocks tracked for one engine: at some 150 bytes each,
// those of 150 engines take 11 MB at most.
const maxEntries = 500

// NewCacheTracker returns a tracker for an engine whose cache is empty.
func NewCacheTracker() *CacheTracker {
	return &CacheTracker{entries: make(map[uint64]*list.Element), order: list.New()}
}

// SetCapacity sets the size of the engine's cache in tokens; zero if not known.
func (t *CacheTracker) SetCapacity(tokens int) { t.capacity = tokens }

// CachedTokens returns how many tokens of a prompt are expected in the cache, so
// that they need no prefill.
func (t *CacheTracker) CachedTokens(c Chain) int {
	cached := 0
	for _, block := range c {
		if t.entries[block.Hash] == nil {
			break
		}
		cached += block.Tokens
	}
	return cached
}

// Insert records that a prompt is sent to the engine: its blocks are added or
// marked as recently used, and others are evicted if the cache is full.
func (t *CacheTracker) Insert(c Chain) {
	// Touch the last block first, so that a block is evicted before those that
	// precede it in the chain.
	for i := len(c) - 1; i >= 0; i-- {
		t.touch(c[i])
	}
	for t.order.Len() > maxEntries || (t.capacity > 0 && t.tokens > t.capacity && t.order.Len() > len(c)) {
		t.evict(t.order.Back())
	}
}

// Remove drops all blocks of a prompt that the engine turned out not to have
// cached.
func (t *CacheTracker) Remove(c Chain) {
	for _, block := range c {
		if e := t.entries[block.Hash]; e != nil {
			t.evict(e)
		}
	}
}

func (t *CacheTracker) touch(block Block) {
	if e := t.entries[block.Hash]; e != nil {
		t.order.MoveToFront(e)
		return
	}
	t.entries[block.Hash] = t.order.PushFront(block)
	t.tokens += block.Tokens
}

func (t *CacheTracker) evict(e *list.Element) {
	block := t.order.Remove(e).(Block)
	delete(t.entries, block.Hash)
	t.tokens -= block.Tokens
}
