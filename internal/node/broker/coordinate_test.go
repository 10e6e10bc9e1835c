package broker

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// cluster is a set of processes that share a fleet, and the state of the
// simulated network between them.
type cluster struct {
	nodes map[string]*fixture
	// coordinator is the name of the elected process.
	coordinator string
	// lose reports whether the next message is lost; nil if none is.
	lose func() bool
	// delay is how long a message takes; 0 means a millisecond.
	delay time.Duration

	mu sync.Mutex
}

// silentPeers implements Peers for a process of a cluster. It reports no load,
// as if all status messages were lost, so that only the coordinator has the
// total.
type silentPeers struct {
	noPeers
	cluster *cluster
}

func (p silentPeers) Coordinator(uint64, bool) string {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.cluster.coordinator
}

// transport is the Coordination of one process. Messages are delivered after a
// millisecond.
type transport struct {
	cluster *cluster
	from    string
}

func (c transport) send(to string, do func(b *Broker)) {
	c.cluster.mu.Lock()
	f, running := c.cluster.nodes[to]
	lost := !running || c.cluster.lose != nil && c.cluster.lose()
	c.cluster.mu.Unlock()
	if !lost {
		time.AfterFunc(cmp.Or(c.cluster.delay, time.Millisecond), func() { do(f.Broker) })
	}
}

func (c transport) Request(to string, r PermitRequest) {
	c.send(to, func(b *Broker) { b.HandleRequest(c.from, r) })
}

func (c transport) Grant(to string, g PermitGrant) {
	c.send(to, func(b *Broker) { b.HandleGrant(c.from, g) })
}

func (c transport) Release(to string, r PermitRelease) {
	c.send(to, func(b *Broker) { b.HandleRelease(c.from, r) })
}

// newCluster starts the processes p0, p1, ... with p0 as the coordinator. Their
// fleet has the prefill engine p1 and the decode engine d1.
func newCluster(t *testing.T, processes int, servers *fleet) *cluster {
	s := &cluster{nodes: map[string]*fixture{}, coordinator: "p0"}
	for i := range processes {
		name := fmt.Sprint("p", i)
		f := newFixture(t)
		f.Name, f.Coordination = name, transport{s, name}
		f.Peers = silentPeers{noPeers{max(processes, 2)}, s}
		f.fleet, f.Servers = servers, servers
		f.addServer("p1", "model", roster.Prefill)
		f.addServer("d1", "model", roster.Decode)
		s.nodes[name] = f
		f.Tick(time.Now())
		go f.tick(t.Context())
	}
	return s
}

// loadCounter counts the concurrent requests at each engine.
type loadCounter struct {
	mu      sync.Mutex
	running map[string]int
	peak    map[string]int
}

func (c *loadCounter) delays(d time.Duration) behavior {
	return func(ctx context.Context, s *sent) (*Response, error) {
		kind := s.server
		if !s.prefill && s.call.Source.Handle == "" {
			kind += " local prefill"
		}
		c.mu.Lock()
		c.running[kind]++
		c.peak[kind] = max(c.peak[kind], c.running[kind])
		c.mu.Unlock()
		time.Sleep(d)
		c.mu.Lock()
		c.running[kind]--
		c.mu.Unlock()
		if s.prefill {
			return succeeds(ctx, s)
		}
		return stream(ctx, s)
	}
}

func stream(ctx context.Context, s *sent) (*Response, error) {
	s.ran = true
	return newResponse(200, "id: 1\ndata: x\n\nevent: end\ndata: {}\n\n"), nil
}

func newLoadCounter() *loadCounter {
	return &loadCounter{running: map[string]int{}, peak: map[string]int{}}
}

// assertIdle asserts that no permits and no waiters are left.
func (s *cluster) assertIdle(t *testing.T) {
	t.Helper()
	for name, f := range s.nodes {
		f.mu.Lock()
		for key, q := range f.queues {
			assert.Empty(t, q.waiting, "%s %v", name, key)
			assert.Empty(t, q.permits, "%s %v", name, key)
			assert.Zero(t, q.granted, "%s %v", name, key)
			assert.Zero(t, q.remote, "%s %v", name, key)
		}
		assert.Empty(t, f.grants, name)
		assert.Empty(t, f.remoteWaiters, name)
		assert.Empty(t, f.pending, name)
		assert.Empty(t, f.grantedByEngine, name)
		f.mu.Unlock()
	}
}

// serialEngines are engines that prefill one prompt after another. A prefix that has
// begun before takes no time.
type serialEngines struct {
	// perSecond is the prefill rate of each engine, base the time that any prefill
	// takes beside the work of the engine.
	perSecond map[string]float64
	base      time.Duration

	mu      sync.Mutex
	free    map[string]time.Time
	known   map[string]bool
	longest map[string]time.Duration
	work    map[string]time.Duration
}

func (e *serialEngines) serve(ctx context.Context, s *sent) (*Response, error) {
	if s.prefill || s.call.Source.Handle == "" {
		time.Sleep(e.prefill(s))
	}
	if s.prefill {
		return succeeds(ctx, s)
	}
	return stream(ctx, s)
}

// prefill adds the prompt to the engine's work and returns the time to its end. It
// records the longest time that a prompt waits for those ahead.
func (e *serialEngines) prefill(s *sent) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := s.call.Request
	tokens := r.PromptTokens
	for _, p := range r.Parts[:len(r.Parts)-1] {
		if e.known[s.server+p.ID] {
			tokens -= p.Tokens
		}
		e.known[s.server+p.ID] = true
	}
	now := time.Now()
	begin := now
	if e.free[s.server].After(now) {
		begin = e.free[s.server]
	}
	took := time.Duration(float64(tokens) / e.perSecond[s.server] * float64(time.Second))
	e.free[s.server] = begin.Add(took)
	e.work[s.server] += took
	e.longest[s.server] = max(e.longest[s.server], begin.Sub(now))
	return e.free[s.server].Sub(now) + e.base
}

// Guards against queues at the engines. The processes receive no status messages of
// each other, so only the coordinator can keep the limit.
func TestCoordinatorGrantsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &serialEngines{
			perSecond: map[string]float64{"p1": 300e3, "d1": 150e3}, base: 5 * time.Millisecond,
			free: map[string]time.Time{}, known: map[string]bool{}, longest: map[string]time.Duration{}, work: map[string]time.Duration{},
		}
		s := newCluster(t, 16, &fleet{fallback: engines.serve})
		served, rejected := 0, 0
		var mu sync.Mutex
		var done sync.WaitGroup
		const requests = 400
		for i := range requests {
			f := s.nodes[fmt.Sprint("p", i%16)]
			done.Go(func() {
				c := &client{}
				r := newPromptRequest("/chat/1", 9000, 100)
				r.ID = fmt.Sprint("r", i)
				f.Broker.Serve(t.Context(), r, c)
				mu.Lock()
				defer mu.Unlock()
				if len(c.replies) == 0 {
					served++
					return
				}
				rejected++
				assert.Less(t, time.Since(r.Arrived), 200*time.Millisecond, "rejected within the latency target")
			})
			time.Sleep(5 * time.Millisecond)
		}
		done.Wait()
		// Prompts of 4,500 tokens beside the prefix: 15 ms at p1, 30 ms at d1, and
		// one arrives each 5 ms, twice what both engines can serve.
		window := time.Duration(windowShare * float64(200*time.Millisecond))
		assert.LessOrEqual(t, engines.longest["p1"], window+15*time.Millisecond)
		assert.LessOrEqual(t, engines.longest["d1"], 150*time.Millisecond-30*time.Millisecond)
		assert.Greater(t, engines.work["p1"], 1700*time.Millisecond, "the engine is busy nearly all of 2 s")
		assert.Greater(t, engines.work["d1"], 1400*time.Millisecond)
		assert.Greater(t, served, requests*4/10)
		assert.Equal(t, requests, served+rejected)
		time.Sleep(time.Second)
		synctest.Wait()
		s.assertIdle(t)
	})
}

// overtaken delivers the messages that a prefill has ended after all others.
type overtaken struct{ transport }

func (c overtaken) Release(to string, r PermitRelease) {
	if r.Kept {
		time.AfterFunc(20*time.Millisecond, func() { c.transport.Release(to, r) })
		return
	}
	c.transport.Release(to, r)
}

// TestReleaseOvertakesTheEndOfThePrefill guards against a coordinator that doesn't notice
// that an engine has gone on, as datagrams are lost and overtake each other: it would grant
// more than the engine can prefill in time.
func TestReleaseOvertakesTheEndOfThePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &serialEngines{
			perSecond: map[string]float64{"d1": 150e3}, free: map[string]time.Time{}, known: map[string]bool{},
			longest: map[string]time.Duration{}, work: map[string]time.Duration{},
		}
		s := newCluster(t, 2, &fleet{fallback: engines.serve})
		coordinator, f := s.nodes["p0"], s.nodes["p1"]
		f.Coordination = overtaken{transport{s, "p1"}}
		prefilling, _ := coordinator.roster.Find("p1", 1)
		coordinator.Usage.MarkUnreachable(time.Now(), prefilling)
		f.serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
		ended := time.Now()
		time.Sleep(time.Second)
		synctest.Wait()
		engine, _ := coordinator.roster.Find("d1", 1)
		assert.Equal(t, ended.Add(time.Millisecond), coordinator.progress[engine.Key()])
		assert.Zero(t, coordinator.Usage.Get(time.Now(), engine).Times, "it is not known how long the prefill took")
		s.assertIdle(t)
	})
}

// A grant says what its process has to know to go on: the tokens that the engine is
// expected to prefill, so that a long prefill does not count as a stall, the engine's
// times, in case the coordinator is lost, and an engine that keeps the prefix.
func TestGrantSaysWhatIsExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &serialEngines{
			perSecond: map[string]float64{"p1": 100e3, "p2": 100e3, "d1": 10e3}, base: 5 * time.Millisecond,
			free: map[string]time.Time{}, known: map[string]bool{}, longest: map[string]time.Duration{}, work: map[string]time.Duration{},
		}
		servers := &fleet{fallback: engines.serve}
		s := newCluster(t, 3, servers)
		f := s.nodes["p1"]
		engine, _ := f.roster.Find("p1", 1)
		first := newPromptRequest("/chat/1", 80_000, 100)
		first.Parts = []Part{{"shared", 79_000}, {"own", 1000}}
		go f.serve(t.Context(), first)
		time.Sleep(700 * time.Millisecond)
		snapshot := f.Usage.Get(time.Now(), engine)
		assert.Equal(t, 80_000, snapshot.PrefillTokens, "the prefix is new")
		time.Sleep(time.Second)
		assert.Zero(t, f.Usage.Get(time.Now(), engine).PrefillTokens)
		second := newPromptRequest("/chat/1", 80_000, 100)
		second.Parts = []Part{{"shared", 79_000}, {"own", 1000}}
		f.serve(t.Context(), second)
		times := f.Usage.Get(time.Now(), engine).Times
		assert.Positive(t, times.Rate)

		for _, n := range s.nodes {
			n.addServer("p2", "model", roster.Prefill)
			p1, _ := n.roster.Find("p1", 1)
			n.Usage.RecordRemote(time.Now(), p1, usage.Result{Verdict: usage.Full})
		}
		third := newPromptRequest("/chat/1", 80_000, 100)
		third.Parts = []Part{{"shared", 79_000}, {"own", 1000}}
		s.nodes["p2"].serve(t.Context(), third)
		last := servers.sent[len(servers.sent)-2]
		assert.Equal(t, "p2", last.server)
		assert.Equal(t, addressOf("p1"), last.call.Fetch)
	})
}

// A decision is awaited for an eighth of the latency target, here 25 ms: what this
// process would decide by itself it would decide knowing less.
func TestDecisionIsAwaited(t *testing.T) {
	for delay, granted := range map[time.Duration]int{10 * time.Millisecond: 1, 15 * time.Millisecond: 0} {
		synctest.Test(t, func(t *testing.T) {
			counter := newLoadCounter()
			s := newCluster(t, 2, &fleet{fallback: counter.delays(20 * time.Millisecond)})
			s.delay = delay
			f := s.nodes["p1"]
			go f.serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
			time.Sleep(26 * time.Millisecond)
			synctest.Wait()
			held := 0
			for _, id := range []string{"p1", "d1"} {
				engine, _ := f.roster.Find(id, 1)
				held += f.GrantsHeld(engine.Key()).Requests
			}
			assert.Equal(t, granted, held, delay)
			time.Sleep(6 * time.Second)
			synctest.Wait()
			s.assertIdle(t)
		})
	}
}

// Requests must be served without the coordinator if it does not respond, has no
// engines, or grants engines that are not in the process's roster.
func TestCoordinatorFails(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(s *cluster)
		// within is the maximum time to the end of the response.
		within time.Duration
	}{
		{"process is gone", func(s *cluster) { delete(s.nodes, "p0") }, coordinatorTimeout + 60*time.Millisecond},
		{"has no engines", func(s *cluster) { s.nodes["p0"].roster.Replace(time.Now(), 9, nil, roster.Grace{}) }, 60 * time.Millisecond},
		{"grants an unknown engine", func(s *cluster) {
			s.nodes["p0"].leave("p1")
			s.nodes["p0"].addServer("p9", "model", roster.Prefill)
		}, 60 * time.Millisecond},
		{"grants another incarnation of an engine", func(s *cluster) {
			s.nodes["p1"].roster.Update(time.Now(), 9, []roster.Event{{Server: roster.Server{ID: "p1", Born: 2, Service: "model", Slots: 8, State: roster.Ready, Role: roster.Prefill}}}, roster.Grace{})
		}, 60 * time.Millisecond},
		{"all messages are lost", func(s *cluster) { s.lose = func() bool { return true } }, coordinatorTimeout + 60*time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			counter := newLoadCounter()
			s := newCluster(t, 2, &fleet{fallback: counter.delays(20 * time.Millisecond)})
			c.do(s)
			start := time.Now()
			got := s.nodes["p1"].serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
			assert.Empty(t, got.replies, c.name)
			assert.LessOrEqual(t, time.Since(start), c.within, c.name)
			start = time.Now()
			got = s.nodes["p1"].serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
			assert.Empty(t, got.replies, c.name)
			assert.LessOrEqual(t, time.Since(start), 60*time.Millisecond, "%s: the coordinator is not used again during the backoff", c.name)
			s.lose = nil
			time.Sleep(6 * time.Second)
			synctest.Wait()
			s.assertIdle(t)
		})
	}
}

// Guards against leaked permits and waiters at the coordinator when a client
// disconnects while its request waits, and when a process becomes silent.
func TestPermitsAreReclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := newLoadCounter()
		f := &fleet{fallback: counter.delays(time.Second)}
		s := newCluster(t, 3, f)
		ctx, disconnect := context.WithCancel(t.Context())
		for range 20 {
			go s.nodes["p1"].serve(ctx, newPromptRequest("/chat/1", 9000, 100))
		}
		time.Sleep(50 * time.Millisecond)
		coordinator := s.nodes["p0"].Broker
		coordinator.mu.Lock()
		assert.Len(t, coordinator.grants, 2, "one for each engine, as nothing is known about them")
		coordinator.mu.Unlock()
		disconnect()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		s.assertIdle(t)

		go s.nodes["p2"].serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
		time.Sleep(50 * time.Millisecond)
		coordinator.mu.Lock()
		require.Len(t, coordinator.grants, 1)
		coordinator.mu.Unlock()
		coordinator.Revoke("p2")
		coordinator.mu.Lock()
		assert.Empty(t, coordinator.grants)
		coordinator.mu.Unlock()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		s.assertIdle(t)
	})
}

// With a quarter of all messages lost, every request must end once, and all
// permits must be free at the end.
func TestLostMessages(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			draw := rand.New(rand.NewPCG(seed, 1))
			counter := newLoadCounter()
			s := newCluster(t, 6, &fleet{fallback: counter.delays(15 * time.Millisecond)})
			s.lose = func() bool { return draw.IntN(4) == 0 }
			var done sync.WaitGroup
			for i := range 60 {
				done.Add(1)
				go func() {
					defer done.Done()
					c := s.nodes[fmt.Sprint("p", i%6)].serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
					assert.LessOrEqual(t, len(c.replies), 1)
				}()
				time.Sleep(3 * time.Millisecond)
			}
			done.Wait()
			time.Sleep(6 * time.Second)
			synctest.Wait()
			s.assertIdle(t)
		})
	}
}

// Only a process without live peers uses no coordinator.
func TestSingleProcessHasNoCoordinator(t *testing.T) {
	s := &cluster{nodes: map[string]*fixture{}, coordinator: "other"}
	f := newFixture(t)
	f.Name, f.Coordination = "self", transport{s, "self"}
	for processes, want := range map[int]string{1: "", 2: "other", 6: "other", 80: "other"} {
		f.Peers = silentPeers{noPeers{processes}, s}
		f.Tick(time.Now())
		assert.Equal(t, want, f.coordinatorOf("model"), processes)
	}
}

// Guards against counting granted permits twice: the coordinator counts them
// itself, and its peers report them too.
func TestGrantedPermitsCountOnce(t *testing.T) {
	load := peers.Load{Running: 5, Granted: 2, Prefills: 3, GrantedPrefills: 2, PrefillTokens: 900, GrantedTokens: 700}
	f := newFixture(t)
	f.elected = map[string]string{"model": ""}
	assert.Equal(t, 3, f.withoutGrants("model", load).Running)
	assert.Equal(t, []int{1, 200}, []int{f.withoutGrants("model", load).Prefills, f.withoutGrants("model", load).PrefillTokens})
	f.elected["model"] = "other"
	assert.Equal(t, 5, f.withoutGrants("model", load).Running)
}
