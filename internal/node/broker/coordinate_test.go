package broker

import (
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
)

// system is many processes that share a fleet and carry asks for places.
type system struct {
	beds map[string]*bed
	// coordinator is the process that decides.
	coordinator string
	// lose says which messages are lost; nil if none are.
	lose func() bool

	mu sync.Mutex
}

// many are the others of a process in a system. They tell nothing, as if their
// news were lost, so that only the coordinator can know what all have.
type many struct {
	alone
	system *system
}

func (m many) Coordinator(uint64, bool) string {
	m.system.mu.Lock()
	defer m.system.mu.Unlock()
	return m.system.coordinator
}

// carrier carries messages from one process, each for a millisecond.
type carrier struct {
	system *system
	from   string
}

func (c carrier) carry(to string, do func(b *Broker)) {
	c.system.mu.Lock()
	b, there := c.system.beds[to]
	lost := !there || c.system.lose != nil && c.system.lose()
	c.system.mu.Unlock()
	if !lost {
		time.AfterFunc(time.Millisecond, func() { do(b.Broker) })
	}
}

func (c carrier) Request(to string, r PlaceRequest) {
	c.carry(to, func(b *Broker) { b.Requested(c.from, r) })
}

func (c carrier) Grant(to string, g PlaceGrant) {
	c.carry(to, func(b *Broker) { b.Granted(c.from, g) })
}

func (c carrier) Release(to string, r PlaceRelease) {
	c.carry(to, func(b *Broker) { b.Released(c.from, r) })
}

// newSystem makes processes p0, p1, ... of which p0 decides.
func newSystem(t *testing.T, processes int, f *fleet) *system {
	s := &system{beds: map[string]*bed{}, coordinator: "p0"}
	for i := range processes {
		name := fmt.Sprint("p", i)
		b := newBed(t)
		b.Name, b.Coordination = name, carrier{s, name}
		b.Others = many{alone{max(processes, peers.Few+1)}, s}
		b.fleet, b.Servers = f, f
		b.add("p1", "model", roster.Prefill)
		b.add("d1", "model", roster.Decode)
		s.beds[name] = b
		b.Tick(time.Now())
		go b.tick(t.Context())
	}
	return s
}

// counting counts what is under way at each engine.
type counting struct {
	mu      sync.Mutex
	running map[string]int
	most    map[string]int
}

func (c *counting) takes(d time.Duration) behavior {
	return func(ctx context.Context, s *sent) (*Answer, error) {
		kind := s.server
		if !s.prefill && s.call.Source.Handle == "" {
			kind += " reading"
		}
		c.mu.Lock()
		c.running[kind]++
		c.most[kind] = max(c.most[kind], c.running[kind])
		c.mu.Unlock()
		time.Sleep(d)
		c.mu.Lock()
		c.running[kind]--
		c.mu.Unlock()
		if s.prefill {
			return good(ctx, s)
		}
		return stream(ctx, s)
	}
}

func stream(ctx context.Context, s *sent) (*Answer, error) {
	s.ran = true
	return answerOf(200, "id: 1\ndata: x\n\nevent: end\ndata: {}\n\n"), nil
}

func newCounting() *counting { return &counting{running: map[string]int{}, most: map[string]int{}} }

// idle asserts that nothing is left of all places and waits.
func (s *system) idle(t *testing.T) {
	t.Helper()
	for name, b := range s.beds {
		b.mu.Lock()
		for key, q := range b.queues {
			assert.Empty(t, q.waiting, "%s %v", name, key)
			assert.Empty(t, q.permits, "%s %v", name, key)
			assert.Zero(t, q.granted, "%s %v", name, key)
			assert.Zero(t, q.remote, "%s %v", name, key)
		}
		assert.Empty(t, b.grants, name)
		assert.Empty(t, b.remoteWaiters, name)
		assert.Empty(t, b.pending, name)
		assert.Empty(t, b.grantedByEngine, name)
		b.mu.Unlock()
	}
}

// All processes together never have more at an engine than it should, though
// none hears of what the others have.
func TestOneProcessGivesThePlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		count := newCounting()
		f := &fleet{usual: count.takes(20 * time.Millisecond)}
		s := newSystem(t, 16, f)
		var callers []*caller
		var done sync.WaitGroup
		for i := range 48 {
			b := s.beds[fmt.Sprint("p", i%16)]
			c := &caller{}
			callers = append(callers, c)
			done.Add(1)
			go func() {
				defer done.Done()
				b.Broker.Serve(t.Context(), prompt("/chat/1", 9000, 100), c)
			}()
		}
		done.Wait()
		limit := scaled(prefillPerSlot*8, 1)
		assert.Equal(t, limit, count.most["p1"], "the engine is full, and not over")
		assert.LessOrEqual(t, count.most["d1 reading"], minLocalPrefills)
		assert.Positive(t, count.most["d1 reading"])
		served := 0
		for _, c := range callers {
			if len(c.answered) == 0 {
				served++
			}
		}
		assert.Greater(t, served, 30, "most are served, the others are refused at once")
		time.Sleep(time.Second)
		synctest.Wait()
		s.idle(t)
	})
}

// What a coordinator cannot do for the others, they do themselves.
func TestWithoutTheCoordinator(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(s *system)
		// within bounds the time until the answer.
		within time.Duration
	}{
		{"it is gone", func(s *system) { delete(s.beds, "p0") }, coordinatorTimeout + 60*time.Millisecond},
		{"it knows no engines", func(s *system) { s.beds["p0"].roster.Replace(time.Now(), 9, nil, roster.Doubt{}) }, 60 * time.Millisecond},
		{"it names one that is not known here", func(s *system) {
			s.beds["p0"].leave("p1")
			s.beds["p0"].add("p9", "model", roster.Prefill)
		}, 60 * time.Millisecond},
		{"it has the engines of another incarnation", func(s *system) {
			s.beds["p1"].roster.Update(time.Now(), 9, []roster.Event{{Server: roster.Server{ID: "p1", Born: 2, Service: "model", Slots: 8, State: roster.Ready, Role: roster.Prefill}}}, roster.Doubt{})
		}, 60 * time.Millisecond},
		{"all it says is lost", func(s *system) { s.lose = func() bool { return true } }, coordinatorTimeout + 60*time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			count := newCounting()
			s := newSystem(t, 2, &fleet{usual: count.takes(20 * time.Millisecond)})
			c.do(s)
			began := time.Now()
			got := s.beds["p1"].serve(t.Context(), prompt("/chat/1", 9000, 100))
			assert.Empty(t, got.answered, c.name)
			assert.LessOrEqual(t, time.Since(began), c.within, c.name)
			began = time.Now()
			got = s.beds["p1"].serve(t.Context(), prompt("/chat/1", 9000, 100))
			assert.Empty(t, got.answered, c.name)
			assert.LessOrEqual(t, time.Since(began), 60*time.Millisecond, "%s: it is not waited for again at once", c.name)
			s.lose = nil
			time.Sleep(6 * time.Second)
			synctest.Wait()
			s.idle(t)
		})
	}
}

// A caller that leaves while its request waits at the coordinator leaves nothing
// behind, and neither does a process that falls silent.
func TestWaitsAndPlacesAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		count := newCounting()
		f := &fleet{usual: count.takes(time.Second)}
		s := newSystem(t, 3, f)
		ctx, leave := context.WithCancel(t.Context())
		for range 20 {
			go s.beds["p1"].serve(ctx, prompt("/chat/1", 9000, 100))
		}
		time.Sleep(50 * time.Millisecond)
		coordinator := s.beds["p0"].Broker
		coordinator.mu.Lock()
		assert.Len(t, coordinator.grants, scaled(prefillPerSlot*8, 1)+minLocalPrefills)
		coordinator.mu.Unlock()
		leave()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		s.idle(t)

		go s.beds["p2"].serve(t.Context(), prompt("/chat/1", 9000, 100))
		time.Sleep(50 * time.Millisecond)
		coordinator.mu.Lock()
		require.Len(t, coordinator.grants, 1)
		coordinator.mu.Unlock()
		coordinator.Forget("p2")
		coordinator.mu.Lock()
		assert.Empty(t, coordinator.grants)
		coordinator.mu.Unlock()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		s.idle(t)
	})
}

// Whichever messages are lost, every request ends once, and in the end all
// places are free.
func TestLostMessages(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			draw := rand.New(rand.NewPCG(seed, 1))
			count := newCounting()
			s := newSystem(t, 6, &fleet{usual: count.takes(15 * time.Millisecond)})
			s.lose = func() bool { return draw.IntN(4) == 0 }
			var done sync.WaitGroup
			for i := range 60 {
				done.Add(1)
				go func() {
					defer done.Done()
					c := s.beds[fmt.Sprint("p", i%6)].serve(t.Context(), prompt("/chat/1", 9000, 100))
					assert.LessOrEqual(t, len(c.answered), 1)
				}()
				time.Sleep(3 * time.Millisecond)
			}
			done.Wait()
			time.Sleep(6 * time.Second)
			synctest.Wait()
			s.idle(t)
		})
	}
}

// Few processes decide each by itself.
func TestFewProcessesHaveNoCoordinator(t *testing.T) {
	s := &system{beds: map[string]*bed{}, coordinator: "other"}
	b := newBed(t)
	b.Name, b.Coordination = "self", carrier{s, "self"}
	for processes, want := range map[int]string{1: "", 6: "", peers.Few: "", peers.Few + 1: "other", 80: "other"} {
		b.Others = many{alone{processes}, s}
		b.Tick(time.Now())
		assert.Equal(t, want, b.coordinatorOf("model"), processes)
	}
}

// What the coordinator has granted is not counted twice.
func TestGrantedPlacesCountOnce(t *testing.T) {
	told := peers.Load{Running: 5, Reading: 2, Granted: 2}
	b := newBed(t)
	b.elected = map[string]string{"model": ""}
	assert.Equal(t, 3, b.withoutGrants("model", told).Running)
	assert.Equal(t, 0, b.withoutGrants("model", told).Reading)
	b.elected["model"] = "other"
	assert.Equal(t, 5, b.withoutGrants("model", told).Running)
}
