package prefix_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/violettally/violettally/prefix"
)

func chain(model string, parts ...prefix.Part) prefix.Chain { return prefix.NewChain(model, parts) }

// TestCachedTokens checks that parts are cached by model and count only if all
// parts before them are cached.
func TestCachedTokens(t *testing.T) {
	shared, middle := prefix.Part{ID: "a", Tokens: 100}, prefix.Part{ID: "b", Tokens: 20}
	tracker := prefix.NewCacheTracker()
	must.Zero(t, tracker.CachedTokens(chain("m", shared)))
	tracker.Insert(chain("m", shared, middle, prefix.Part{ID: "own", Tokens: 3}))
	must.Eq(t, 120, tracker.CachedTokens(chain("m", shared, middle, prefix.Part{ID: "other", Tokens: 9})))
	must.Eq(t, 100, tracker.CachedTokens(chain("m", shared, prefix.Part{ID: "c", Tokens: 20})))
	must.Zero(t, tracker.CachedTokens(chain("m", middle)), must.Sprint("a part without the parts before it"))
	must.Zero(t, tracker.CachedTokens(chain("n", shared)), must.Sprint("another model"))
	tracker.Remove(chain("m", shared))
	must.Zero(t, tracker.CachedTokens(chain("m", shared, middle)))
}

func TestChain(t *testing.T) {
	c := chain("m", prefix.Part{ID: "a", Tokens: 5}, prefix.Part{ID: "b", Tokens: 2})
	must.Eq(t, 7, c.Tokens())
	must.Eq(t, 5, c.Shared().Tokens())
	must.Zero(t, chain("m").Shared().Tokens())
}

// lruCache is a naive implementation of an engine's prefix cache, with the blocks
// in order of their last use.
type lruCache struct {
	capacity int
	blocks   []prefix.Block
}

func (l *lruCache) insert(c prefix.Chain) {
	for i := len(c) - 1; i >= 0; i-- {
		blocks := []prefix.Block{c[i]}
		for _, b := range l.blocks {
			if b.Hash != c[i].Hash {
				blocks = append(blocks, b)
			}
		}
		l.blocks = blocks
	}
	for sum := l.tokens(); sum > l.capacity && len(l.blocks) > len(c); sum = l.tokens() {
		l.blocks = l.blocks[:len(l.blocks)-1]
	}
}

func (l *lruCache) tokens() (sum int) {
	for _, b := range l.blocks {
		sum += b.Tokens
	}
	return sum
}

func (l *lruCache) cachedTokens(c prefix.Chain) (cached int) {
	for _, block := range c {
		found := false
		for _, b := range l.blocks {
			found = found || b.Hash == block.Hash
		}
		if !found {
			break
		}
		cached += block.Tokens
	}
	return cached
}

// TestMatchesNaiveCache checks a CacheTracker against a naive implementation of an
// engine's cache.
func TestMatchesNaiveCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(50, 2000).Draw(t, "capacity")
		tracker, cache := prefix.NewCacheTracker(), lruCache{capacity: capacity}
		tracker.SetCapacity(capacity)
		for range rapid.IntRange(1, 80).Draw(t, "prompts") {
			top := rapid.IntRange(0, 5).Draw(t, "top")
			sub := rapid.IntRange(0, 3).Draw(t, "sub")
			c := chain(fmt.Sprint("m", rapid.IntRange(0, 1).Draw(t, "model")),
				prefix.Part{ID: fmt.Sprint("top", top), Tokens: 30 + 10*top},
				prefix.Part{ID: fmt.Sprint("sub", sub), Tokens: 10},
				prefix.Part{ID: fmt.Sprint(rapid.IntRange(0, 1000).Draw(t, "own")), Tokens: 15})
			must.Eq(t, cache.cachedTokens(c), tracker.CachedTokens(c))
			tracker.Insert(c)
			cache.insert(c)
		}
	})
}
