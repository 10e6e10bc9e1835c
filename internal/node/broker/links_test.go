package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// recordTransfers records enough KV transfers of an engine to set their
// average.
func (f *fixture) recordTransfers(now time.Time, id string, took time.Duration) {
	s, _ := f.roster.Find(id, 1)
	for range 40 {
		f.Usage.RecordTransfer(now, s, took)
	}
}

func TestSlowLinkReducesPermits(t *testing.T) {
	f := newFixture(t)
	f.addEngines()
	f.addServer("p2", "model", roster.Prefill)
	now := time.Now()
	prefill, _ := prefillNeeds("model", 0)
	capacity := func(now time.Time) int { return f.choose(now, prefill).capacity }

	full := capacity(now)
	f.recordTransfers(now, "p1", 300*time.Millisecond)
	assert.Equal(t, full, capacity(now), "no other engine to compare with")
	f.recordTransfers(now, "p2", 290*time.Millisecond)
	assert.Equal(t, full, capacity(now), "both are slow, as when the decode engines are busy")
	f.recordTransfers(now, "p2", 6*time.Millisecond)
	assert.Equal(t, full/2+1, capacity(now), "one permit for the engine with the slow link")
	v := f.choose(now, prefill)
	assert.Equal(t, "p2", v.server.ID)
	assert.Zero(t, v.firstEventTime)

	fast, _ := f.roster.Find("p2", 1)
	for range full / 2 {
		f.Usage.Start(now, fast, usage.Short)
	}
	v = f.choose(now, prefill)
	assert.Equal(t, "p1", v.server.ID)
	assert.InDelta(t, 0.3, v.firstEventTime, 0.03, "prefill and transfer, less the slack")
	now = now.Add(6 * transferHalfLife)
	f.Usage.MarkActive(now, fast)
	f.recordTransfers(now, "p2", 6*time.Millisecond)
	assert.Equal(t, full, capacity(now), "the excess decays without transfers")
}

// TestPromptsUseTheFasterQueue checks that local prefill is preferred to a
// prefill engine with a slow KV transfer, which is used once the decode engines
// are full.
func TestPromptsUseTheFasterQueue(t *testing.T) {
	f := newFixture(t)
	f.addEngines()
	f.addServer("p2", "model", roster.Prefill)
	now := time.Now()
	f.recordTransfers(now, "p1", 400*time.Millisecond)
	f.recordTransfers(now, "p2", 6*time.Millisecond)
	fast, _ := f.roster.Find("p2", 1)
	for range 6 {
		f.Usage.Start(now, fast, usage.Short)
	}
	first, alternative := prefillNeeds("model", 0)
	var servers []string
	for range 2*minLocalPrefills + 1 {
		p := f.tryAcquire(now, &waiter{need: first, alternative: &alternative, since: now})
		require.NotNil(t, p)
		servers = append(servers, p.server.ID)
	}
	assert.ElementsMatch(t, []string{"d1", "d2", "d1", "d2", "p1"}, servers)
	assert.Equal(t, "p1", servers[4], "the slow prefill engine comes last")
	assert.Nil(t, f.tryAcquire(now, &waiter{need: first, alternative: &alternative, since: now}))
}
