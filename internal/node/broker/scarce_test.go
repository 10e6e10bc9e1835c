package broker

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/shed"
)

const (
	scarceProcesses = 40
	scarceServers   = 2
	scarceSlots     = 6
	// scarceWork is the mean work of a request without the slow moments, scarceTarget the
	// latency target.
	scarceWork   = 30 * time.Millisecond
	scarceTarget = 150 * time.Millisecond
	// statusInterval is that of the processes' status messages.
	statusInterval = 600 * time.Millisecond
)

// plainServer is a backend server with few slots and a queue, which is slowed by 2.5 for 0.6 s
// in 15 % of the time.
type plainServer struct {
	slots  chan struct{}
	queued int
}

// scarcity plays many processes in front of a few plain servers.
type scarcity struct {
	*cluster
	mu      sync.Mutex
	servers map[string]*plainServer
	// told has the loads of each process at its last status message.
	told map[string]toldLoads
	// all, served and inTime count requests, full those that a server rejected.
	all, served, inTime, full int
}

type toldLoads struct{ queues, servers map[uint64]peers.Load }

// toldPeers implements Peers by the last status messages of the others.
type toldPeers struct {
	noPeers
	self  string
	world *scarcity
}

func (p toldPeers) Coordinator(key uint64, stopping bool) string {
	return silentPeers{cluster: p.world.cluster}.Coordinator(key, stopping)
}

func (p toldPeers) sum(loads func(toldLoads) peers.Load) peers.Load {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	var sum peers.Load
	for name, told := range p.world.told {
		if l := loads(told); name != p.self {
			sum.Running, sum.Waiting, sum.Granted = sum.Running+l.Running, sum.Waiting+l.Waiting, sum.Granted+l.Granted
		}
	}
	return sum
}

func (p toldPeers) Queue(key uint64) peers.Load {
	return p.sum(func(l toldLoads) peers.Load { return l.queues[key] })
}

func (p toldPeers) Server(key uint64) peers.Load {
	return p.sum(func(l toldLoads) peers.Load { return l.servers[key] })
}

// tell plays the status messages of a process.
func (w *scarcity) tell(ctx context.Context, f *fixture) {
	for {
		l := toldLoads{map[uint64]peers.Load{}, map[uint64]peers.Load{}}
		f.Queues(func(hash uint64, load peers.Load) { l.queues[hash] = load })
		f.Usage.Each(func(id string, born int64, s usage.Snapshot) {
			key := roster.Key(id, born)
			l.servers[key] = peers.Load{Running: s.Running, Granted: f.GrantsHeld(key).Requests}
		})
		w.mu.Lock()
		w.told[f.Name] = l
		w.mu.Unlock()
		if !timer.Wait(ctx, statusInterval) {
			return
		}
	}
}

// serve is the behavior of the servers.
func (w *scarcity) serve(ctx context.Context, s *sent) (*Response, error) {
	server := w.servers[s.server]
	w.mu.Lock()
	server.queued++
	over := server.queued > 24+scarceSlots
	if over {
		server.queued--
		w.full++
	}
	work := time.Duration(math.Exp(rand.NormFloat64()*0.5-0.125) * float64(scarceWork))
	w.mu.Unlock()
	if over {
		return rejects(ctx, s)
	}
	defer func() {
		w.mu.Lock()
		server.queued--
		w.mu.Unlock()
	}()
	server.slots <- struct{}{}
	if (time.Now().UnixMilli()/600+int64(len(s.server)))%7 == 0 {
		work = work * 5 / 2
	}
	time.Sleep(work)
	<-server.slots
	return succeeds(ctx, s)
}

// newScarcity starts the processes, with p0 as the coordinator.
func newScarcity(t *testing.T) *scarcity {
	servers := &fleet{}
	w := &scarcity{cluster: &cluster{nodes: map[string]*fixture{}, coordinator: "p0"}, told: map[string]toldLoads{}, servers: map[string]*plainServer{}}
	servers.fallback = w.serve
	for k := range scarceServers {
		w.servers[fmt.Sprint("s", k)] = &plainServer{slots: make(chan struct{}, scarceSlots)}
	}
	for i := range scarceProcesses {
		f := newFixture(t)
		f.Name = fmt.Sprint("p", i)
		f.leave("a")
		f.leave("b")
		for id := range w.servers {
			f.roster.Update(time.Now(), 1, []roster.Event{{Server: roster.Server{
				ID: id, Born: 1, Service: "plain", Zone: "calicut", Slots: scarceSlots, State: roster.Ready, Address: addressOf(id),
			}}}, roster.Grace{})
		}
		f.Table().Routes[0].LatencyTarget = scarceTarget
		f.Seed, f.Admission, f.Coordination, f.Peers = uint64(i), shed.CostToCallers, transport{w.cluster, f.Name}, toldPeers{noPeers{scarceProcesses}, f.Name, w}
		f.fleet, f.Servers = servers, servers
		w.nodes[f.Name] = f
		f.Tick(time.Now())
		go f.tick(t.Context())
		time.Sleep(statusInterval / scarceProcesses)
		go w.tell(t.Context(), f)
	}
	return w
}

// setLose sets which messages are lost.
func (w *scarcity) setLose(lose func() bool) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.lose = lose
}

// offer sends requests at random times to random processes.
func (w *scarcity) offer(ctx context.Context, perSecond float64, length time.Duration) {
	var done sync.WaitGroup
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		f := w.nodes[fmt.Sprint("p", rand.IntN(scarceProcesses))]
		done.Go(func() {
			began := time.Now()
			c := f.serve(ctx, newRequest(fmt.Sprint("/read/", i)))
			w.mu.Lock()
			defer w.mu.Unlock()
			w.all++
			if c.replies[0].Status != 200 {
				return
			}
			w.served++
			if c.endedAt.Sub(began) <= scarceTarget {
				w.inTime++
			}
		})
	}
	done.Wait()
}

// TestScarceServers plays bursts of a fifth more than two servers with six slots carry, at many
// processes. It guards against servers that are idle while requests for them are rejected, as
// each process has less than one permit, and against callers that depend on the coordinator.
func TestScarceServers(t *testing.T) {
	const length, perSecond = 8 * time.Second, 400
	// Slowed by 2.5 in a seventh of the time.
	capacity := length.Seconds() * scarceServers * scarceSlots / (scarceWork.Seconds() * (1 + 1.5/7))
	for _, c := range []struct {
		name string
		lose func() bool
		// served and inTime are shares of the capacity.
		served, inTime float64
	}{
		{"coordinated", nil, 0.9, 0.8},
		{"one message in twenty is lost", func() bool { return rand.IntN(20) == 0 }, 0.8, 0.7},
		{"the coordinator is silent", func() bool { return true }, 0.45, 0.3},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newScarcity(t)
			w.setLose(c.lose)
			w.offer(t.Context(), perSecond, length)
			t.Logf("%s: of %d served %d, in time %d, full %d; capacity %.0f", c.name, w.all, w.served, w.inTime, w.full, capacity)
			assert.GreaterOrEqual(t, float64(w.served), c.served*capacity, c.name)
			assert.GreaterOrEqual(t, float64(w.inTime), c.inTime*capacity, c.name)
			w.setLose(nil)
			time.Sleep(4 * time.Second)
			synctest.Wait()
			w.assertIdle(t)
		})
	}
}

// TestIdleScarceServersAreNotCoordinated guards against messages for each request of a service
// with permits for all.
func TestIdleScarceServersAreNotCoordinated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScarcity(t)
		w.offer(t.Context(), 30, 4*time.Second)
		assert.Equal(t, w.all, w.served)
		requested := int64(0)
		for _, f := range w.nodes {
			requested += f.Meters.Value("PlacesRequested")
		}
		assert.Less(t, requested, int64(w.all/10))
	})
}

// TestCoordinationOfPlainServiceEnds guards against a coordinator of a service with permits for
// all processes, against one that changes with each server, and against granted permits that
// count twice after its end.
func TestCoordinationOfPlainServiceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScarcity(t)
		f, own := w.nodes["p1"], w.nodes["p0"]
		isCoordinated := func(f *fixture) bool {
			f.Tick(time.Now())
			f.mu.Lock()
			defer f.mu.Unlock()
			_, coordinated := f.elected["plain"]
			return coordinated
		}
		own.HandleRequest("p1", PermitRequest{Number: 1, Service: "plain", Target: time.Second, MaxWait: time.Second, TimeLeft: time.Hour})
		assert.True(t, isCoordinated(f), "18 permits for 40 processes")
		for i, c := range []struct {
			permits          int
			coordinated, own bool
		}{{30, true, true}, {42, true, true}, {54, false, true}} {
			f.addServer(fmt.Sprint("more", i), "plain", "")
			own.addServer(fmt.Sprint("more", i), "plain", "")
			assert.Equal(t, c.coordinated, isCoordinated(f), "%d permits", c.permits)
			assert.Equal(t, c.own, isCoordinated(own), "%d permits, one is granted", c.permits)
		}
		own.HandleRelease("p1", PermitRelease{Number: 1, Verdict: usage.OK})
		assert.False(t, isCoordinated(own))
	})
}
