package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// handed takes in handovers of an engine's prompts.
func (b *bed) handed(now time.Time, id string, took time.Duration) {
	s, _ := b.roster.Find(id, 1)
	for range 40 {
		b.Usage.Handed(now, s, took)
	}
}

func TestSlowLinksTakeFewerPrompts(t *testing.T) {
	b := newBed(t)
	b.engines()
	b.add("p2", "model", roster.Prefill)
	now := time.Now()
	prefill, _ := prefillNeeds("model", 0)
	places := func(now time.Time) int { return b.choose(now, prefill).capacity }

	whole := places(now)
	b.handed(now, "p1", 300*time.Millisecond)
	assert.Equal(t, whole, places(now), "nothing to compare with")
	b.handed(now, "p2", 290*time.Millisecond)
	assert.Equal(t, whole, places(now), "both are as slow, as when the engines that take over are busy")
	b.handed(now, "p2", 6*time.Millisecond)
	assert.Equal(t, whole/2+1, places(now), "one place behind the slow link")
	v := b.choose(now, prefill)
	assert.Equal(t, "p2", v.server.ID)
	assert.Zero(t, v.firstEventTime)

	fast, _ := b.roster.Find("p2", 1)
	for range whole / 2 {
		b.Usage.Start(now, fast, usage.Short)
	}
	v = b.choose(now, prefill)
	assert.Equal(t, "p1", v.server.ID)
	assert.InDelta(t, 0.3, v.firstEventTime, 0.03, "with the reading, less the slack")
	now = now.Add(6 * transferHalfLife)
	b.Usage.Alive(now, fast)
	b.handed(now, "p2", 6*time.Millisecond)
	assert.Equal(t, whole, places(now), "forgotten if it is not used")
}

// TestPromptsGoWhereTheyAreServedSooner has decode engines read prompts rather
// than a prefill engine behind a slow link, which is taken when they are full.
func TestPromptsGoWhereTheyAreServedSooner(t *testing.T) {
	b := newBed(t)
	b.engines()
	b.add("p2", "model", roster.Prefill)
	now := time.Now()
	b.handed(now, "p1", 400*time.Millisecond)
	b.handed(now, "p2", 6*time.Millisecond)
	fast, _ := b.roster.Find("p2", 1)
	for range 6 {
		b.Usage.Start(now, fast, usage.Short)
	}
	first, alternative := prefillNeeds("model", 0)
	var servers []string
	for range 2*minLocalPrefills + 1 {
		p := b.tryAcquire(now, &waiter{need: first, alternative: &alternative, since: now})
		require.NotNil(t, p)
		servers = append(servers, p.server.ID)
	}
	assert.ElementsMatch(t, []string{"d1", "d2", "d1", "d2", "p1"}, servers)
	assert.Equal(t, "p1", servers[4], "at last")
	assert.Nil(t, b.tryAcquire(now, &waiter{need: first, alternative: &alternative, since: now}))
}
