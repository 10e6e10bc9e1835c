package broker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/hold"
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
	tab, err := table.Parse([]byte(strings.ReplaceAll(routes, `"MaxConnections":100,"Engine":{"Slots":8}`, `"MaxConnections":2100,`+engine)))
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
		{"older peers with 20, mean not known before 16", cache, 32, prompt, 20, 16},
		{"older peers with 8", cache, 32, prompt, 8, 23},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newMemoryFixture(t, c.cache)
			f.setSlots("d", roster.Decode, c.slots)
			f.Peers = loadedPeers{load: peers.Load{Running: c.peers, Untold: peers.Untold{Running: c.peers}}}
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
	for name, load := range map[string]peers.Load{
		"peer":       {Running: 4, Granted: 4, PromptTokens: 4 * 9000, GrantedPromptTokens: 4 * 9000},
		"older peer": {Running: 4, Granted: 4, Untold: peers.Untold{Running: 4, Granted: 4}},
	} {
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
				f.endGranted(p, true)
			}
			f.mu.Unlock()
			f.Peers = loadedPeers{load: load}
			assert.Equal(t, 6, f.fill(t, func() need { return n }), name)
			f.Prompts(func(_ uint64, tokens, granted int) {
				assert.Equal(t, 6*9000, tokens, "the peer tells those that were granted to it")
				assert.Zero(t, granted)
			})
		})
	}
}

// TestKeptPromptCounts guards against prefill engines that crash under the KV caches that they keep
// for decode engines after their permits were released, and against caches that are counted for ever.
func TestKeptPromptCounts(t *testing.T) {
	for _, c := range []struct {
		name   string
		decode behavior
		// held is set if the engine keeps the cache 50 ms after the prefill, while the decode
		// engine has sent nothing yet or the request waits for one.
		held bool
	}{
		{"first event late", delays(100*time.Millisecond, events(1, 3, true)), true},
		{"first event early", paced(20, 10*time.Millisecond), false},
		{"decode engine refuses", delays(100*time.Millisecond, rejects), true},
		{"client leaves", hangs, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newMemoryFixture(t, 100_000)
			f.fleet.scripted = map[string][]behavior{"p": {succeeds}, "d": {c.decode}}
			go f.tick(t.Context())
			server, _ := f.roster.Find("p", 1)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.serve(ctx, newPromptRequest("/chat/x", 9000, 20))
			}()
			time.Sleep(50 * time.Millisecond)
			kept := 0
			f.Prompts(func(key uint64, tokens, _ int) {
				if key == server.Key() {
					kept = tokens
				}
			})
			assert.Equal(t, c.held, kept == 9000, "%s: %d tokens", c.name, kept)
			<-done
			f.Prompts(func(uint64, int, int) { t.Error(c.name, "prompts remain") })
		})
	}
}

// setSlots gives the engine so many slots.
func (f *fixture) setSlots(id string, role roster.Role, slots int) {
	f.roster.Update(time.Now(), 2, []roster.Event{{Server: roster.Server{
		ID: id, Born: 1, Service: "model", Zone: "calicut", Slots: slots, State: roster.Ready, Role: role, Address: addressOf(id),
	}}}, roster.Grace{})
}

// TestPromptsOfUnlikePeers guards against engines that crash under prompts of peers that are longer
// than this process's, against rejections where they are shorter, and against a message of an older
// build whose prompts count as nothing.
func TestPromptsOfUnlikePeers(t *testing.T) {
	const cache, prompt = 317_000, 9190
	long, short := &wire.ServerLoad{Running: 10, PromptTokens: 10 * prompt}, &wire.ServerLoad{Running: 30, PromptTokens: 30 * 200}
	for _, c := range []struct {
		name  string
		tells []bool
		loads []*wire.ServerLoad
		want  int
	}{
		{"no peers", nil, nil, 31},
		{"short", []bool{true}, []*wire.ServerLoad{short}, 10},
		{"long", []bool{true}, []*wire.ServerLoad{long}, 19},
		{"short of an older build", []bool{false}, []*wire.ServerLoad{{Running: 30}}, 1},
		{"long of an older build", []bool{false}, []*wire.ServerLoad{{Running: 10}}, 21},
		{"long, and some of an older build", []bool{true, false}, []*wire.ServerLoad{long, {Running: 8}}, 11},
		{"KV caches without requests", []bool{true}, []*wire.ServerLoad{{PromptTokens: 10 * prompt}}, 19},
		{"unknown prompts", []bool{true}, []*wire.ServerLoad{{Running: 30}}, 10},
		{"said without TellsPrompts", []bool{false}, []*wire.ServerLoad{short}, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newMemoryFixture(t, cache)
			f.setSlots("d", roster.Decode, 32)
			server, _ := f.roster.Find("d", 1)
			table := &peers.Table{Self: "entry-0"}
			for i, l := range c.loads {
				l.Server = server.Key()
				table.Apply(time.Now(), &wire.News{From: fmt.Sprint("entry-", i+1), Sequence: 1, TellsPrompts: c.tells[i], Loads: []*wire.ServerLoad{l}})
			}
			f.Peers = table
			n := need{key: queueKey{"model", roster.Decode, usage.Short}, perSlot: decodePerSlot, prompt: newPrompt(prompt, nil)}
			f.meanPrompts = map[promptKey]*hold.Mean{{"model", roster.Decode}: {}}
			for range 20 {
				f.meanPrompts[promptKey{"model", roster.Decode}].Observe(prompt)
			}
			assert.Equal(t, c.want, f.fill(t, func() need { return n }), c.name)
		})
	}
}

// holder is an engine that holds the prompts of all processes' requests.
type holder struct {
	mu           sync.Mutex
	tokens, most int
	served       map[int]int
}

// serve acquires a permit and holds the prompt until the engine has served it.
func (h *holder) serve(ctx context.Context, f *fixture, tokens int, took time.Duration) {
	waiting, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	n := need{key: queueKey{"model", roster.Decode, usage.Short}, perSlot: decodePerSlot, prompt: newPrompt(tokens, nil), maxWait: time.Second}
	p, err := f.acquire(waiting, n, nil)
	if err != nil {
		return
	}
	h.add(tokens)
	time.Sleep(took)
	h.add(-tokens)
	h.mu.Lock()
	h.served[tokens]++
	h.mu.Unlock()
	p.release(usage.Result{Verdict: usage.OK})
}

func (h *holder) add(tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens += tokens
	h.most = max(h.most, h.tokens)
}

// status returns the status message of a process. tells is not set for one of an older build.
func (f *fixture) status(sequence uint64, tells bool) *wire.News {
	m := &wire.News{From: f.Name, Incarnation: 1, Sequence: sequence, TellsPrompts: tells}
	f.Usage.Each(func(id string, born int64, s usage.Snapshot) {
		m.Loads = append(m.Loads, &wire.ServerLoad{Server: roster.Key(id, born), Running: uint32(s.Running)})
	})
	f.Queues(func(hash uint64, l peers.Load) {
		m.Lines = append(m.Lines, &wire.LineLoad{Line: hash, Running: uint32(l.Running), Waiting: uint32(l.Waiting)})
	})
	if tells {
		f.Prompts(func(_ uint64, tokens, _ int) {
			if len(m.Loads) > 0 {
				m.Loads[0].PromptTokens = uint32(tokens)
			}
		})
	}
	return m
}

// playPrompts has 20 processes with unlike prompts use one engine for 20 s, and returns what it held.
func playPrompts(t *testing.T, cacheTokens int, seed uint64, tells func(process int) bool) *holder {
	const processes, long, short = 20, 9190, 1500
	h := &holder{served: map[int]int{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fixtures, tables := make([]*fixture, processes), make([]*peers.Table, processes)
		var members []peers.Member
		for i := range processes {
			name := fmt.Sprint("entry-", i)
			members = append(members, peers.Member{Name: name, AvailabilityZone: "calicut"})
			f := newMemoryFixture(t, cacheTokens)
			f.setSlots("d", roster.Decode, 64)
			f.Name, f.Seed, tables[i] = name, uint64(i), &peers.Table{Self: name}
			f.Peers, fixtures[i] = tables[i], f
		}
		var done sync.WaitGroup
		for i, f := range fixtures {
			tables[i].Replace(members)
			done.Go(func() { f.tick(ctx) })
			done.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				for sequence := uint64(1); timer.Wait(ctx, peers.HeartbeatInterval(processes-1)); sequence++ {
					m := f.status(sequence, tells(i))
					for _, table := range tables {
						table.Apply(time.Now(), m)
					}
				}
			})
			tokens, perSecond := short, 3.0
			if i%5 == 0 {
				tokens, perSecond = long, 10
			}
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			done.Go(func() {
				for timer.Wait(ctx, time.Duration(random.ExpFloat64()/perSecond*float64(time.Second))) {
					done.Go(func() { h.serve(ctx, f, tokens, time.Second) })
				}
			})
		}
		time.Sleep(20 * time.Second)
		cancel()
		done.Wait()
	})
	t.Logf("at most %d of %d tokens, served %v", h.most, cacheTokens, h.served)
	return h
}

// TestUnlikePromptsOfTwentyProcesses guards against engines that crash since processes with short
// prompts take those of others for as short.
func TestUnlikePromptsOfTwentyProcesses(t *testing.T) {
	const cache = 317_000
	assert.Greater(t, playPrompts(t, cache, 1, func(int) bool { return false }).most, cache, "with the estimate")
	for seed := range uint64(2) {
		h := playPrompts(t, cache, seed, func(int) bool { return true })
		assert.LessOrEqual(t, h.most, cache)
		assert.Greater(t, h.most, cache/2, "the memory is used")
	}
}
