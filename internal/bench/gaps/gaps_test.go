package gaps

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestFewerStreamsAreLate guards against a choice under which as many long streams have a gap
// above the target as without estimates, and one that overloads the engines that it prefers.
func TestFewerStreamsAreLate(t *testing.T) {
	for _, c := range []Case{{SlowShare: 1.0 / 3, SlowFactor: 1.3}, {SlowShare: 0.5, SlowFactor: 2.2}} {
		c.Length = 20 * time.Second
		late, before := 0.0, 0.0
		for c.Seed = range 3 {
			c.ByLoad = false
			now := Run(c)
			c.ByLoad = true
			late, before = late+now.LateShare()/3, before+Run(c).LateShare()/3
			assert.LessOrEqual(t, now.Busiest, Slots)
		}
		t.Logf("%.2f slower by %.1f: late %.3f, without estimates %.3f", c.SlowShare, c.SlowFactor, late, before)
		assert.LessOrEqual(t, late, before*2/3)
	}
}

// TestSlowEngineIsTriedAgain guards against engines that get no streams once they were slow.
func TestSlowEngineIsTriedAgain(t *testing.T) {
	const slowedUntil = 25 * time.Second
	before, after := 0, 0
	for _, at := range Run(Case{Seed: 1, SlowedUntil: slowedUntil, Length: slowedUntil + 20*time.Second}).Began {
		if at > slowedUntil {
			after++
		} else if at > slowedUntil-10*time.Second {
			before++
		}
	}
	t.Logf("%d streams in the last 10 s of the slowdown, %d in the 20 s after it", before, after)
	assert.Less(t, before, 10*streamsPerSecond/engineCount, "it is avoided while it is slow")
	assert.Positive(t, after)
}
