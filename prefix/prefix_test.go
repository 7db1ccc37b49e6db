package prefix_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/violettally/violettally/prefix"
)

func chain(model string, parts ...prefix.Part) prefix.Chain { return prefix.NewChain(model, parts) }

// TestHeld: parts count by model and only with all parts before them.
func TestHeld(t *testing.T) {
	shared, mid := prefix.Part{ID: "a", Tokens: 100}, prefix.Part{ID: "b", Tokens: 20}
	m := prefix.NewCacheTracker()
	must.Zero(t, m.CachedTokens(chain("m", shared)))
	m.Insert(chain("m", shared, mid, prefix.Part{ID: "own", Tokens: 3}))
	must.Eq(t, 120, m.CachedTokens(chain("m", shared, mid, prefix.Part{ID: "other", Tokens: 9})))
	must.Eq(t, 100, m.CachedTokens(chain("m", shared, prefix.Part{ID: "c", Tokens: 20})))
	must.Zero(t, m.CachedTokens(chain("m", mid)), must.Sprint("a part that does not follow its beginning"))
	must.Zero(t, m.CachedTokens(chain("n", shared)), must.Sprint("another model"))
	m.Remove(chain("m", shared))
	must.Zero(t, m.CachedTokens(chain("m", shared, mid)))
}

func TestChain(t *testing.T) {
	c := chain("m", prefix.Part{ID: "a", Tokens: 5}, prefix.Part{ID: "b", Tokens: 2})
	must.Eq(t, 7, c.Tokens())
	must.Eq(t, 5, c.Shared().Tokens())
	must.Zero(t, chain("m").Shared().Tokens())
}

// engine is a plain model of an engine's memory: the parts in order of their
// last use.
type engine struct {
	capacity int
	parts    []prefix.Block
}

func (e *engine) read(c prefix.Chain) {
	for i := len(c) - 1; i >= 0; i-- {
		kept := []prefix.Block{c[i]}
		for _, p := range e.parts {
			if p.Hash != c[i].Hash {
				kept = append(kept, p)
			}
		}
		e.parts = kept
	}
	for sum := e.tokens(); sum > e.capacity && len(e.parts) > len(c); sum = e.tokens() {
		e.parts = e.parts[:len(e.parts)-1]
	}
}

func (e *engine) tokens() (sum int) {
	for _, p := range e.parts {
		sum += p.Tokens
	}
	return sum
}

func (e *engine) held(c prefix.Chain) (held int) {
	for _, mark := range c {
		found := false
		for _, p := range e.parts {
			found = found || p.Hash == mark.Hash
		}
		if !found {
			break
		}
		held += mark.Tokens
	}
	return held
}

// TestAgainstEngine: the belief follows a plain model of an engine's memory.
func TestAgainstEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(50, 2000).Draw(t, "capacity")
		m, e := prefix.NewCacheTracker(), engine{capacity: capacity}
		m.SetCapacity(capacity)
		for range rapid.IntRange(1, 80).Draw(t, "prompts") {
			top := rapid.IntRange(0, 5).Draw(t, "top")
			sub := rapid.IntRange(0, 3).Draw(t, "sub")
			c := chain(fmt.Sprint("m", rapid.IntRange(0, 1).Draw(t, "model")),
				prefix.Part{ID: fmt.Sprint("top", top), Tokens: 30 + 10*top},
				prefix.Part{ID: fmt.Sprint("sub", sub), Tokens: 10},
				prefix.Part{ID: fmt.Sprint(rapid.IntRange(0, 1000).Draw(t, "own")), Tokens: 15})
			must.Eq(t, e.held(c), m.CachedTokens(c))
			m.Insert(c)
			e.read(c)
		}
	})
}
