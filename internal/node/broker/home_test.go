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

// TestHomeIsOneThatAnswers reads no prompt with the help of an engine that does
// not answer: the reader would wait for it.
func TestHomeIsOneThatAnswers(t *testing.T) {
	b := newBed(t)
	now := time.Now()
	addresses := map[netip.AddrPort]roster.Server{}
	for i, id := range []string{"d1", "d2", "d3"} {
		s := roster.Server{
			ID: id, Born: 1, Service: "model", Zone: "calicut", Slots: 8, State: roster.Ready, Role: roster.Decode,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
		}
		b.roster.Update(now, 1, []roster.Event{{Server: s}}, roster.Doubt{})
		addresses[s.Address] = s
	}
	reader := roster.Server{ID: "p1", Born: 1, Service: "model", Role: roster.Prefill}
	home := func() roster.Server { return addresses[b.preferredEngine(now, "model", 7, reader)] }

	first := home()
	b.Usage.Learn(now, first, usage.Result{Verdict: usage.Failed})
	assert.Equal(t, first, home(), "one failure")
	b.Usage.Learn(now, first, usage.Result{Verdict: usage.Unreachable})
	second := home()
	assert.NotEqual(t, first.ID, second.ID)
	assert.NotEmpty(t, second.ID)

	b.Usage.Start(now, second, usage.Short)
	now = now.Add(2 * usage.Stall)
	third := home()
	assert.NotContains(t, []string{first.ID, second.ID, ""}, third.ID, "the second is stalled")
	b.Usage.Learn(now, third, usage.Result{Verdict: usage.Unreachable})
	assert.Empty(t, home().ID, "no engine answers")

	b.Usage.Alive(now, first)
	assert.Equal(t, first, home(), "it has said something")
}

// TestLostPrefillEnginesGetNoPrompts sends prompts to decode engines while no
// prefill engine can be reached, and to prefill engines while neither can.
func TestLostPrefillEnginesGetNoPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		lost, _ := b.roster.Find("p1", 1)
		b.Usage.Learn(time.Now(), lost, usage.Result{Verdict: usage.Unreachable})
		for i := range 20 {
			r := prompt("/chat/1", 9000, 100)
			r.ID = fmt.Sprint("r", i)
			go b.serve(t.Context(), r)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for _, s := range b.fleet.sent {
			assert.False(t, s.prefill)
		}
		assert.GreaterOrEqual(t, len(b.fleet.sent), 2*minLocalPrefills)

		for _, s := range b.roster.Service("model") {
			b.Usage.Learn(time.Now(), s, usage.Result{Verdict: usage.Unreachable})
		}
		before := len(b.fleet.sent)
		assert.True(t, b.serve(t.Context(), prompt("/chat/1", 9000, 100)).ended)
		assert.True(t, b.fleet.sent[before].prefill, "all are taken for lost, which they cannot all be")
	})
}
