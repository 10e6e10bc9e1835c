package drain

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// A name is leaving while at least one source marks it so.
func TestOneSourceSuffices(t *testing.T) {
	var s Set
	assert.True(t, s.Merge(Entry{"e", Operator, 1, true}))
	assert.True(t, s.Merge(Entry{"e", VMList, 9, true}))
	assert.True(t, s.Merge(Entry{"e", Operator, 2, false}))
	assert.True(t, s.Leaving("e"), "the VM list still marks it")
	assert.False(t, s.Merge(Entry{"e", VMList, 8, false}), "stale sequence number")
	assert.True(t, s.Leaving("e"))
	assert.True(t, s.Merge(Entry{"e", VMList, 10, false}))
	assert.False(t, s.Leaving("e"), "the VM list no longer marks it")
}

// Processes receive entries in different orders and more than once, and must
// come to the same set.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// One source, name and sequence number always has the same value.
		entry := rapid.Custom(func(t *rapid.T) Entry {
			n := rapid.Uint64Range(1, 6).Draw(t, "sequence")
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			source := Source(rapid.IntRange(0, 3).Draw(t, "source"))
			return Entry{name, source, n, (n+uint64(source))%2 == 0}
		})
		list := rapid.SliceOf(entry).Draw(t, "entries")
		var one, two Set
		for _, e := range list {
			one.Merge(e)
		}
		for _, e := range append(rapid.Permutation(list).Draw(t, "other order"), list...) {
			two.Merge(e)
		}
		assert.Equal(t, one.Entries(), two.Entries())
		for _, name := range []string{"a", "b"} {
			assert.Equal(t, one.Leaving(name), two.Leaving(name))
			leaving := false
			for _, e := range one.Entries() {
				leaving = leaving || e.Name == name && e.Leaving
			}
			assert.Equal(t, leaving, one.Leaving(name))
		}
	})
}
