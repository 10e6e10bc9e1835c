package hold

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEngineWithPromptsOf9190 guards against engines that crash under as many requests as
// their slots allow, and against rejecting what their memory takes.
func TestEngineWithPromptsOf9190(t *testing.T) {
	const cache, prompt = 317_000, 9190
	for _, own := range []int{0, 10, 30} {
		taken := own
		for Fits(cache, Load{Known: own * prompt, Others: taken - own}, prompt, prompt) && taken < 100 {
			taken++
		}
		assert.Equal(t, 31, taken, "of them own: %d", own)
	}
	assert.True(t, Fits(cache, Load{Known: 39 * 1000, Others: 0}, 1000, 1000), "40 short prompts fit")
}

// TestFits guards against engines that take nothing for ever.
func TestFits(t *testing.T) {
	for _, c := range []struct {
		name   string
		cache  float64
		load   Load
		mean   float64
		prompt int
		want   bool
	}{
		{"capacity not known", 0, Load{Known: 1 << 30, Others: 9}, 100, 100, true},
		{"no prompt", 1000, Load{Known: 1000}, 100, 0, true},
		{"the largest prompt alone", 1000, Load{}, 100, 2000, true},
		{"the largest prompt beside another", 1000, Load{Known: 1}, 100, 900, false},
		{"exactly full", 1000, Load{Known: 500, Others: 3}, 100, 100, true},
		{"one token more", 1000, Load{Known: 500, Others: 3}, 100, 101, false},
		{"mean not known, little to prefill", 1000, Load{Others: 30, Prefill: 700}, 0, 200, true},
		{"mean not known, much to prefill", 1000, Load{Others: 30, Prefill: 701}, 0, 200, false},
		{"more to prefill than the mean says", 1000, Load{Others: 2, Prefill: 800}, 100, 200, false},
		{"prompts of peers that tell them", 1000, Load{Known: 200, Told: 400}, 100, 250, true},
		{"prompts of peers and what they have sent since", 1000, Load{Known: 200, Told: 400}, 100, 251, false},
		{"peers of both kinds", 1000, Load{Known: 200, Told: 160, Others: 2}, 100, 321, false},
		{"the largest prompt beside one that is told", 1000, Load{Told: 1}, 100, 900, false},
		{"load that is already released", 1000, Load{Known: 100, Told: -50, Others: -2, Prefill: -5}, 100, 800, true},
	} {
		assert.Equal(t, c.want, Fits(c.cache, c.load, c.mean, c.prompt), c.name)
	}
}

// TestMean guards against one long prompt that makes engines look full.
func TestMean(t *testing.T) {
	var m Mean
	m.Observe(100_000)
	assert.Zero(t, m.Tokens())
	for range minObserved - 1 {
		m.Observe(1000)
	}
	assert.InDelta(t, 7187, m.Tokens(), 1)
	for range 300 {
		m.Observe(1000)
	}
	assert.InDelta(t, 1000, m.Tokens(), 100)
	assert.Zero(t, (*Mean)(nil).Tokens())
}
