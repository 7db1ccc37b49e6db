// Package prefix believes which beginnings of prompts the engines' caches hold.
//
// A prompt comes in parts, most of them shared with other prompts. An engine
// keeps what it has read by model: a part that it still has is not read again,
// provided that it has every part before it as well. When its memory runs out,
// the parts unused longest give way. A [CacheTracker] follows one engine by the
// prompts that were sent there, in the same order and with the same bound.
//
// # Usage
//
//	chain := prefix.NewChain("large", parts) // each part with its ID and size
//	saved := memory.Held(chain)              // tokens that need not be read
//	memory.Read(chain)                       // once it is sent there
package prefix

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Block stands for a prompt's beginning up to the end of one of its parts. The
// fields are exported for the codecs.
type Block struct {
	_ struct{} `cbor:",toarray"`
	// Hash is of the model and of all parts so far.
	Hash uint64
	// Tokens are those of the last of these parts.
	Tokens int
}

// Chain is a whole prompt as its beginnings, the shortest first.
type Chain []Block

// NewChain returns the chain of a prompt for a model: engines keep what they
// read by model.
func NewChain(model string, parts []Part) Chain {
	chain := make(Chain, 0, len(parts))
	hash := xxhash.Sum64String(model)
	var buffer [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(buffer[:], hash)
		digest := xxhash.New()
		// Writing to a digest never fails.
		_, _ = digest.Write(buffer[:])
		_, _ = digest.WriteString(p.ID)
		hash = digest.Sum64()
		chain = append(chain, Block{Hash: hash, Tokens: p.Tokens})
	}
	return chain
}

// Shared returns the chain without its last part, which is the request's own.
func (c Chain) Shared() Chain {
	if len(c) == 0 {
		return nil
	}
	return c[:len(c)-1]
}

// Tokens returns the size of the whole chain.
func (c Chain) Tokens() int {
	sum := 0
	for _, m := range c {
		sum += m.Tokens
	}
	return sum
}

// CacheTracker is what one engine is believed to hold. It is not safe for concurrent
// use.
type CacheTracker struct {
	// capacity in tokens; zero or less for no bound but entriesMax.
	capacity int
	tokens   int
	// entries are by the marks' hashes, order has those used latest first.
	entries map[uint64]*list.Element
	order   *list.List
}

// maxEntries bounds the parts remembered of one engine: at some 150 bytes each,
// those of 150 engines take 11 MB at most.
const maxEntries = 500

// NewCacheTracker returns the memory of an engine that has read nothing.
func NewCacheTracker() *CacheTracker {
	return &CacheTracker{entries: make(map[uint64]*list.Element), order: list.New()}
}

// SetCapacity says how many tokens the engine holds; zero if it is not known.
func (m *CacheTracker) SetCapacity(tokens int) { m.capacity = tokens }

// CachedTokens returns how many tokens of a prompt need not be read.
func (m *CacheTracker) CachedTokens(c Chain) int {
	held := 0
	for _, mark := range c {
		if m.entries[mark.Hash] == nil {
			break
		}
		held += mark.Tokens
	}
	return held
}

// Insert takes that the engine reads a prompt, or uses what it has of it.
func (m *CacheTracker) Insert(c Chain) {
	// The later parts come first, so that a beginning outlives what follows it.
	for i := len(c) - 1; i >= 0; i-- {
		m.touch(c[i])
	}
	for m.order.Len() > maxEntries || (m.capacity > 0 && m.tokens > m.capacity && m.order.Len() > len(c)) {
		m.evict(m.order.Back())
	}
}

// Remove takes that the engine does not hold a prompt's parts after all, from
// the first one on.
func (m *CacheTracker) Remove(c Chain) {
	for _, mark := range c {
		if e := m.entries[mark.Hash]; e != nil {
			m.evict(e)
		}
	}
}

func (m *CacheTracker) touch(mark Block) {
	if e := m.entries[mark.Hash]; e != nil {
		m.order.MoveToFront(e)
		return
	}
	m.entries[mark.Hash] = m.order.PushFront(mark)
	m.tokens += mark.Tokens
}

func (m *CacheTracker) evict(e *list.Element) {
	mark := m.order.Remove(e).(Block)
	delete(m.entries, mark.Hash)
	m.tokens -= mark.Tokens
}
