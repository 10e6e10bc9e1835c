package broker

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// loadedPeers is a peer with requests at every server.
type loadedPeers struct {
	noPeers
	load peers.Load
}

func (p loadedPeers) Server(uint64) peers.Load { return p.load }

// newMemoryFixture returns a fixture whose engines have 32 slots and the KV cache.
func newMemoryFixture(t *testing.T, cacheTokens int) *fixture {
	f := newFixture(t)
	engine := fmt.Sprintf(`"Engine":{"Slots":32,"CacheTokens":%d}`, cacheTokens)
	tab, err := table.Parse([]byte(strings.ReplaceAll(routes, `"Engine":{"Slots":8}`, engine)))
	require.NoError(t, err)
	f.Table = func() *table.Table { return tab }
	f.addServer("d", "model", roster.Decode)
	f.addServer("p", "model", roster.Prefill)
	return f
}

// fill acquires permits for prompts until none is issued at once, and returns their number.
func (f *fixture) fill(t *testing.T, n func() need) int {
	t.Helper()
	count := 0
	for ; count < 50; count++ {
		one := n()
		f.mu.Lock()
		v := f.choose(time.Now(), one)
		if v.server.ID == "" {
			f.mu.Unlock()
			break
		}
		q := f.queue(one.key)
		p := &permit{broker: f.Broker, need: one, server: v.server, since: time.Now(), units: one.size()}
		f.issue(q, p)
		f.mu.Unlock()
		p.finishPrefill(true)
	}
	return count
}

// TestPromptsExceedEngineMemory guards against engines that crash under the prompts of requests
// within their slots, of this process and of its peers, and against rejecting what fits.
func TestPromptsExceedEngineMemory(t *testing.T) {
	const cache, prompt = 317_000, 9190
	for _, c := range []struct {
		name         string
		cache, slots int
		tokens       int
		peers        int
		want         int
	}{
		{"not configured", 0, 32, prompt, 0, 40},
		{"long prompts", cache, 32, prompt, 0, 31},
		{"short prompts", cache, 32, 1000, 0, 40},
		{"no prompts", cache, 32, 0, 0, 40},
		{"one that exceeds all", cache, 32, 400_000, 0, 1},
		{"peers with 20, mean not known before 16", cache, 32, prompt, 20, 16},
		{"peers with 8", cache, 32, prompt, 8, 23},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newMemoryFixture(t, c.cache)
			f.setSlots("d", roster.Decode, c.slots)
			f.Peers = loadedPeers{load: peers.Load{Running: c.peers}}
			n := need{key: queueKey{"model", roster.Decode, usage.Short}, perSlot: decodePerSlot, prompt: newPrompt(c.tokens, nil)}
			assert.Equal(t, c.want, f.fill(t, func() need { return n }), c.name)
		})
	}
}

// TestPromptsExceedPrefillEngineMemory is the same for prefill engines, and guards against
// prompts that remain counted after the end of their requests.
func TestPromptsExceedPrefillEngineMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemoryFixture(t, 100_000)
		f.setSlots("p", roster.Prefill, 32)
		n := need{key: queueKey{"model", roster.Prefill, usage.Short}, target: time.Hour, prompt: newPrompt(9000, nil)}
		assert.Equal(t, 10, f.fill(t, func() need { return n }))
		q := f.queue(n.key)
		for p := range q.permits {
			p.release(usage.Result{})
		}
		assert.Empty(t, f.promptTokens)
		assert.Equal(t, 10, f.fill(t, func() need { return n }))
	})
}

// TestGrantedPromptsCountOnce guards against a coordinator that counts the prompts that it
// granted to a peer not at all, or once more with the peer's load.
func TestGrantedPromptsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemoryFixture(t, 100_000)
		f.setSlots("p", roster.Prefill, 32)
		f.grants, f.grantedByEngine = map[requestKey]*permit{}, map[uint64]Grants{}
		n := need{key: queueKey{"model", roster.Prefill, usage.Short}, target: time.Hour, prompt: newPrompt(9000, nil)}
		server, _ := f.roster.Find("p", 1)
		f.mu.Lock()
		for range 4 {
			p := &permit{broker: f.Broker, need: n, server: server, since: time.Now(), units: n.size()}
			f.grant(f.queue(n.key), p)
			f.endGrantedPrefill(p, true)
		}
		f.mu.Unlock()
		f.Peers = loadedPeers{load: peers.Load{Running: 4, Granted: 4}}
		assert.Equal(t, 6, f.fill(t, func() need { return n }))
	})
}

// setSlots gives the engine so many slots.
func (f *fixture) setSlots(id string, role roster.Role, slots int) {
	f.roster.Update(time.Now(), 2, []roster.Event{{Server: roster.Server{
		ID: id, Born: 1, Service: "model", Zone: "calicut", Slots: slots, State: roster.Ready, Role: role, Address: addressOf(id),
	}}}, roster.Grace{})
}
