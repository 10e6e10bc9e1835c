package kept

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func anyEngine(uint64) bool { return true }

func TestPrefixesAreKept(t *testing.T) {
	var m Map
	chain := []Part{{1, 800}, {12, 400}}
	other := []Part{{1, 800}, {13, 400}}
	assert.Zero(t, m.Tokens(7, chain))
	m.Start(7, 3000, chain, 500)
	assert.Equal(t, 1200, m.Tokens(7, chain), "the next prompt waits for this prefill")
	assert.Equal(t, 800, m.Tokens(7, other), "both begin with the same part")
	_, tokens := m.Holder(chain, 0, anyEngine)
	assert.Zero(t, tokens, "nothing can be fetched before the prefill is done")
	m.Done(7, chain)
	engine, tokens := m.Holder(chain, 0, anyEngine)
	assert.Equal(t, []any{uint64(7), 1200}, []any{engine, tokens})
	_, tokens = m.Holder(chain, 7, anyEngine)
	assert.Zero(t, tokens, "no other engine has it")
	_, tokens = m.Holder(chain, 0, func(uint64) bool { return false })
	assert.Zero(t, tokens)
	engine, tokens = m.Holder(other, 8, anyEngine)
	assert.Equal(t, []any{uint64(7), 800}, []any{engine, tokens})
}

func TestLeastRecentlyUsedYields(t *testing.T) {
	var m Map
	first, second := []Part{{1, 1000}}, []Part{{2, 1000}}
	m.Start(7, 3000, first, 10)
	m.Start(7, 3000, second, 10)
	m.Start(7, 3000, first, 10)
	m.Start(7, 3000, nil, 1500)
	assert.Equal(t, 1000, m.Tokens(7, first))
	assert.Zero(t, m.Tokens(7, second))
}

func TestFailedPrefill(t *testing.T) {
	var m Map
	m.Start(7, 0, []Part{{1, 100}}, 10)
	m.Done(7, []Part{{1, 100}})
	chain := []Part{{1, 100}, {2, 100}}
	m.Start(7, 0, chain, 10)
	m.Failed(7, chain)
	assert.Equal(t, 100, m.Tokens(7, chain), "what was there before is still there")
	m.Retain(func(engine uint64) bool { return engine != 7 })
	assert.Zero(t, m.Tokens(7, chain))
	assert.Empty(t, m.holders)
}

// For any sequence of calls, an engine's predicted cache is within its capacity,
// its sums match its entries, and no entry is left behind.
func TestBookkeeping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Map
		const capacity = 5000
		part := rapid.Custom(func(t *rapid.T) Part {
			return Part{uint64(rapid.IntRange(1, 8).Draw(t, "hash")), rapid.IntRange(-5, 2000).Draw(t, "tokens")}
		})
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			engine := uint64(rapid.IntRange(1, 3).Draw(t, "engine"))
			chain := rapid.SliceOfN(part, 0, 4).Draw(t, "chain")
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0, 1:
				m.Start(engine, capacity, chain, rapid.IntRange(-1, 3000).Draw(t, "own"))
			case 2:
				m.Done(engine, chain)
			case 3:
				m.Failed(engine, chain)
			}
			checkSums(t, &m, capacity)
		}
		m.Retain(func(uint64) bool { return false })
		assert.Empty(t, m.engines)
		assert.Empty(t, m.holders)
	})
}

func checkSums(t *rapid.T, m *Map, capacity int64) {
	held := 0
	for engine, c := range m.engines {
		used := int64(0)
		for e := c.entries.Front(); e != nil; e = e.Next() {
			entry := e.Value.(*entry)
			used += int64(entry.tokens)
			if entry.hash != 0 {
				held++
				assert.Same(t, e, m.holders[entry.hash][engine])
			}
		}
		assert.Equal(t, used, c.used)
		assert.LessOrEqual(t, used, capacity)
	}
	for _, engines := range m.holders {
		held -= len(engines)
		assert.NotEmpty(t, engines)
	}
	assert.Zero(t, held)
}
