package broker

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// TestPreferredEngineIsReachable guards against fetching a prefix from an unreachable
// or stalled engine, for which the prefill would wait in vain.
func TestPreferredEngineIsReachable(t *testing.T) {
	f := newFixture(t)
	now := time.Now()
	addresses := map[netip.AddrPort]roster.Server{}
	for i, id := range []string{"d1", "d2", "d3"} {
		s := roster.Server{
			ID: id, Born: 1, Service: "model", Zone: "calicut", Slots: 8, State: roster.Ready, Role: roster.Decode,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
		}
		f.roster.Update(now, 1, []roster.Event{{Server: s}}, roster.Grace{})
		addresses[s.Address] = s
	}
	requester := roster.Server{ID: "p1", Born: 1, Service: "model", Role: roster.Prefill}
	preferred := func() roster.Server { return addresses[f.preferredEngine(now, "model", 7, requester)] }

	first := preferred()
	f.Usage.RecordRemote(now, first, usage.Result{Verdict: usage.Failed})
	assert.Equal(t, first, preferred(), "one failure does not exclude it")
	f.Usage.RecordRemote(now, first, usage.Result{Verdict: usage.Unreachable})
	second := preferred()
	assert.NotEqual(t, first.ID, second.ID)
	assert.NotEmpty(t, second.ID)

	f.Usage.Start(now, second, usage.Short)
	now = now.Add(2 * usage.StallThreshold)
	third := preferred()
	assert.NotContains(t, []string{first.ID, second.ID, ""}, third.ID, "the second is stalled")
	f.Usage.RecordRemote(now, third, usage.Result{Verdict: usage.Unreachable})
	assert.Empty(t, preferred().ID, "no engine is reachable")

	f.Usage.MarkActive(now, first)
	assert.Equal(t, first, preferred(), "it is active again")
}

// TestUnreachablePrefillEnginesGetNoPrompts checks that prompts are prefilled by
// decode engines while no prefill engine is reachable, and by prefill engines
// while no engine is.
func TestUnreachablePrefillEnginesGetNoPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		unreachable, _ := f.roster.Find("p1", 1)
		f.Usage.RecordRemote(time.Now(), unreachable, usage.Result{Verdict: usage.Unreachable})
		for i := range 20 {
			r := newPromptRequest("/chat/1", 9000, 100)
			r.ID = fmt.Sprint("r", i)
			go f.serve(t.Context(), r)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for _, s := range f.fleet.sent {
			assert.False(t, s.prefill)
		}
		assert.GreaterOrEqual(t, len(f.fleet.sent), 2*2)

		for _, s := range f.roster.Service("model") {
			f.Usage.RecordRemote(time.Now(), s, usage.Result{Verdict: usage.Unreachable})
		}
		before := len(f.fleet.sent)
		assert.True(t, f.serve(t.Context(), newPromptRequest("/chat/1", 9000, 100)).ended)
		assert.True(t, f.fleet.sent[before].prefill, "if all engines are ejected, none is left out")
	})
}
