package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/route/assign"
)

// recordTransfers records enough KV transfers of an engine to set their
// average.
func (f *fixture) recordTransfers(now time.Time, id string, took time.Duration) {
	s, _ := f.roster.Find(id, 1)
	for range 40 {
		f.Usage.RecordTransfer(now, s, took)
	}
}

// recordPrefills records enough prefills of an engine to set its times.
func (f *fixture) recordPrefills(id string, base time.Duration, perSecond float64) {
	s, _ := f.roster.Find(id, 1)
	for i := range 200 {
		tokens := 500 * (1 + i%8)
		f.Usage.RecordPrefill(time.Now(), s, tokens, base+time.Duration(float64(tokens)/perSecond*float64(time.Second)))
	}
}

// chooseAnew is choose after changes that the broker was not told of.
func (f *fixture) chooseAnew(now time.Time, n need) view {
	f.forgetEngines()
	return f.choose(now, n)
}

// promptOf returns the needs of a prompt without a prefix.
func promptOf(tokens int) (prefill, localPrefill need) {
	prefill, localPrefill = prefillNeeds("model", assign.Prompt{Own: tokens}, nil)
	prefill.target = 200 * time.Millisecond
	localPrefill.target = prefill.target
	return prefill, localPrefill
}

func TestSlowLinkReducesThroughput(t *testing.T) {
	f := newFixture(t)
	f.addEngines()
	f.addServer("p2", "model", roster.Prefill)
	now := time.Now()
	for _, id := range []string{"p1", "p2"} {
		f.recordPrefills(id, 20*time.Millisecond, 100e3)
	}
	prefill, _ := promptOf(1000)
	rate := func(now time.Time) float64 { return f.chooseAnew(now, prefill).rate }

	full := rate(now)
	assert.InDelta(t, 2*1000/0.03, full, 100, "1,000 tokens take 20 and 10 ms at each engine")
	f.recordTransfers(now, "p1", 300*time.Millisecond)
	assert.InDelta(t, full, rate(now), 1, "no other engine to compare with")
	f.recordTransfers(now, "p2", 290*time.Millisecond)
	assert.InDelta(t, full, rate(now), 1, "both are slow, as when the decode engines are busy")
	f.recordTransfers(now, "p2", 6*time.Millisecond)
	assert.Less(t, rate(now), full/2*1.15, "the engine with the slow link completes little")
	assert.Greater(t, rate(now), full/2)
	v := f.chooseAnew(now, prefill)
	assert.Equal(t, "p2", v.server.ID)
	assert.InDelta(t, 0.03, v.forecast.Finish.Seconds(), 0.005)

	fast, _ := f.roster.Find("p2", 1)
	f.progress = map[uint64]time.Time{fast.Key(): now}
	f.Usage.StartPrefill(fast, 20_000)
	v = f.chooseAnew(now, prefill)
	assert.Equal(t, "p1", v.server.ID)
	assert.InDelta(t, 0.3, v.forecast.Finish.Seconds(), 0.03, "prefill and transfer, less the slack")
	f.Usage.EndPrefill(fast, 20_000)
	now = now.Add(6 * transferHalfLife)
	f.recordTransfers(now, "p2", 6*time.Millisecond)
	assert.InDelta(t, full, rate(now), full/10, "the excess decays without transfers")
}

// TestPromptsUseTheFasterQueue checks that local prefill is preferred to a prefill
// engine with a slow KV transfer, which is used once the decode engines cannot take
// more within the target for the time between two events.
func TestPromptsUseTheFasterQueue(t *testing.T) {
	f := newFixture(t)
	f.addEngines()
	now := time.Now()
	f.recordPrefills("p1", 20*time.Millisecond, 100e3)
	for _, id := range []string{"d1", "d2"} {
		f.recordPrefills(id, 20*time.Millisecond, 50e3)
	}
	f.addServer("p2", "model", roster.Prefill)
	fast, _ := f.roster.Find("p2", 1)
	f.recordPrefills("p2", 20*time.Millisecond, 100e3)
	f.recordTransfers(now, "p1", 400*time.Millisecond)
	f.recordTransfers(now, "p2", 6*time.Millisecond)
	f.Usage.StartPrefill(fast, 1_000_000)
	f.progress = map[uint64]time.Time{fast.Key(): now}
	first, alternative := promptOf(4000)
	var servers []string
	for range 3 {
		w := &waiter{need: first, alternative: &alternative, since: now}
		p := f.tryAcquire(now, w, f.views(now, w))
		require.NotNil(t, p)
		servers = append(servers, p.server.ID)
	}
	// A prompt takes 100 ms there, and the target for the time between two events
	// is 150 ms.
	assert.ElementsMatch(t, []string{"d1", "d2", "p1"}, servers)
	assert.Equal(t, "p1", servers[2], "the slow prefill engine comes last")
}

// The longest wait for a permit leaves time for a typical prefill, within bounds.
func TestWaitLeavesTimeForThePrefill(t *testing.T) {
	f := newFixture(t)
	f.addEngines()
	for hold, want := range map[time.Duration]time.Duration{
		time.Millisecond:       120 * time.Millisecond,
		80 * time.Millisecond:  200*time.Millisecond - 120*time.Millisecond - decodeStart,
		500 * time.Millisecond: 30 * time.Millisecond,
	} {
		f.queue(queueKey{service: "model", role: roster.Prefill}).holdTime = hold.Seconds()
		tab := f.Table()
		route, _ := tab.Match("h", "/chat/1")
		j := &job{broker: f.Broker, request: newPromptRequest("/chat/1", 9000, 100), route: route, service: tab.Services["model"], deadline: time.Now().Add(time.Minute)}
		prefill, localPrefill := j.prefillNeeds()
		assert.InDelta(t, want.Seconds(), prefill.maxWait.Seconds(), 1e-6, hold)
		assert.Equal(t, prefill.maxWait, localPrefill.maxWait)
	}
}

// A prefill on a decode engine interrupts its streams, so that it has to end within
// their target for the time between two events, those ahead included. Without a
// prefill engine there is no other way.
func TestLocalPrefillsKeepTheGapTarget(t *testing.T) {
	f := newFixture(t)
	f.addEngines()
	now := time.Now()
	f.recordPrefills("p1", 60*time.Millisecond, 50e3)
	for _, id := range []string{"d1", "d2"} {
		f.recordPrefills(id, 40*time.Millisecond, 25e3)
	}
	local := func(tokens int) string {
		_, localPrefill := promptOf(tokens)
		return f.chooseAnew(now, localPrefill).server.ID
	}
	assert.NotEmpty(t, local(2000), "120 ms")
	assert.Empty(t, local(2900), "156 ms")
	for _, id := range []string{"d1", "d2"} {
		s, _ := f.roster.Find(id, 1)
		f.Usage.StartPrefill(s, 200)
		f.recordProgress(now, s.Key())
	}
	assert.Empty(t, local(2000), "168 ms with the prompt ahead")
	assert.NotEmpty(t, local(1400), "144 ms with the prompt ahead")
	for _, id := range []string{"d1", "d2"} {
		s, _ := f.roster.Find(id, 1)
		f.Usage.EndPrefill(s, 200)
	}
	f.leave("p1")
	assert.NotEmpty(t, local(2900), "no engine only prefills")
}
