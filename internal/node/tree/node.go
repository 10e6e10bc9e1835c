// Package tree is the supervision tree of the process that the command "ebonyscale
// serve" runs: its tasks, run by a supervisor, and the state that they share.
// Clients' requests are served by package entry.
//
// A Node reaches the platform, the backend servers and its peers through
// interfaces. Package proc gives it network clients; package world of the
// benchmarks gives it simulated ones and runs it in virtual time.
//
// # Usage
//
//	node := &tree.Node{Self: self, Deployment: "malabar", Platform: platform, Servers: client, Peers: peers, Log: log}
//	node.Prepare()
//	go node.Run(ctx)
//	reply := node.Core.Serve(ctx, request)
//
// Each task is one goroutine that the supervisor restarts if it fails:
//
//	Watch    follows the configuration and the operators' drains in the platform
//	List     polls the platform's list of VMs
//	Fetch    fetches newer configurations from peers
//	Gossip   exchanges state with one peer per period
//	Prompt   exchanges state with the queued peers without waiting for the period
//	Steward  polls the reports of the engines assigned to this process
//	Lease    acquires and renews the lease of the zone's planner
//	Plan     plans the zone's engines and sends them orders while the lease is held
//	Finish   retries deferred writes until the platform responds
package tree

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/budget"
	"ebonyscale.example/ebonyscale/internal/base/task"
	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/drain"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/fleet/stats"
	"ebonyscale.example/ebonyscale/internal/node/entry"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/node/ring"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/demand"
	"ebonyscale.example/ebonyscale/internal/plan/roles"
	"ebonyscale.example/ebonyscale/internal/route/place"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Servers calls backend servers. It must be safe for concurrent use.
type Servers interface {
	// Send sends one request to a backend server and returns the response, whose
	// body the caller has to close.
	Send(ctx context.Context, server spec.BackendServer, call engine.Call) (*engine.Response, error)
	// Connect opens a connection to a backend server, for a later request.
	Connect(ctx context.Context, server spec.BackendServer) error
	// Report returns an engine's report with its cache events after number since.
	Report(ctx context.Context, server spec.BackendServer, since uint64) (engine.Report, error)
	// Order sends an order to an engine.
	Order(ctx context.Context, server spec.BackendServer, order engine.Order) error
}

// Peers calls other processes of the system at their peer addresses. It must be safe
// for concurrent use.
type Peers interface {
	// Exchange sends a gossip message and returns the peer's.
	Exchange(ctx context.Context, address netip.AddrPort, g *wire.Gossip) (*wire.Gossip, error)
	// Probe requests the peer to exchange gossip with a third process.
	Probe(ctx context.Context, address netip.AddrPort, q *wire.ProbeQuery) (*wire.ProbeAnswer, error)
	// Demand returns the demand that the peer has counted since its start.
	Demand(ctx context.Context, address netip.AddrPort, q *wire.DemandQuery) (*wire.DemandAnswer, error)
	// Pieces returns the peer's active configuration, without the files that the
	// query lists by hash.
	Pieces(ctx context.Context, address netip.AddrPort, q *wire.PieceQuery) (*wire.PieceAnswer, error)
}

// Node is one entry process. The exported fields above Core are set before Prepare,
// which sets the others. After Prepare, the methods are safe for concurrent use.
type Node struct {
	// Self describes this process. If its Incarnation is 0, Prepare derives one from
	// the time.
	Self member.Member
	// Deployment is the name of the deployment. Gossip messages of processes of
	// other deployments are ignored.
	Deployment string
	// Seeds are the peer addresses of processes to contact at the start.
	Seeds    []netip.AddrPort
	Platform store.API
	Servers  Servers
	Peers    Peers
	Log      *zap.Logger
	Limits   setup.Limits
	// WatchFor is how long one watch call to the platform waits for changes, and
	// ListEvery the interval between reads of the list of VMs.
	WatchFor  time.Duration
	ListEvery time.Duration
	// Seed makes random choices repeatable.
	Seed uint64
	// Policy places requests on engines, and Roles assigns roles to engines.
	Policy place.Policy
	Roles  roles.Policy
	// Margin, if set, replaces the function that shortens the planner's lease by a
	// safety margin, for tests.
	Margin func(time.Duration) time.Duration

	Core      *entry.Core
	Estimates *stats.Estimates
	Config    *apply.Active
	Trace     *trace.Timeline
	Meters    *meter.Set
	// Keeper acquires and renews the lease of the zone's planner.
	Keeper *lease.Keeper
	// Tally counts the demand of this process's clients, in tokens.
	Tally *demand.Tally

	// mu guards table, random and period.
	mu     sync.Mutex
	table  member.Table
	random *rand.Rand
	// period counts the gossip periods.
	period int

	// platformReachable is whether the last watch call succeeded.
	platformReachable atomic.Bool
	// synced is set once a process of the local zone whose configuration was not
	// newer has exchanged state with this one, or if this zone has no other
	// process.
	synced atomic.Bool
	// started is the time of Prepare.
	started  time.Time
	stopping atomic.Bool
	// fetchQueue has peers with a newer configuration, deferredQueue writes to
	// retry until the platform responds, and exchangeQueue peers to exchange state
	// with immediately.
	fetchQueue    *ring.Ring[netip.AddrPort]
	deferredQueue *ring.Ring[func(context.Context) error]
	exchangeQueue *ring.Ring[netip.AddrPort]
	planner       planner
}

// Sizes of the queues, in entries.
const (
	fetchQueueSize    = 16
	deferredQueueSize = 1024
	exchangeQueueSize = 32
)

// Prepare sets up the state that the tasks share. It must be called once, before
// any other method.
func (n *Node) Prepare() {
	n.Trace = &trace.Timeline{Process: n.Self.Name}
	n.Meters = &meter.Set{}
	n.Config = &apply.Active{}
	n.Tally = &demand.Tally{}
	n.Estimates = &stats.Estimates{Zone: n.Self.AvailabilityZone}
	n.fetchQueue = ring.New[netip.AddrPort]("Fetch", fetchQueueSize)
	n.deferredQueue = ring.New[func(context.Context) error]("Finish", deferredQueueSize)
	n.exchangeQueue = ring.New[netip.AddrPort]("Prompt", exchangeQueueSize)
	n.random = rand.New(rand.NewPCG(n.Seed, 3))
	if n.Self.Incarnation == 0 {
		n.Self.Incarnation = uint64(time.Now().UnixMilli()) << 8
	}
	n.table.Self = n.Self
	n.Keeper = &lease.Keeper{
		Name:   "planner/" + n.Deployment + "/" + n.Self.AvailabilityZone,
		Holder: fmt.Sprintf("%s/%d", n.Self.Name, n.Self.Incarnation),
		Store:  n.Platform, Trace: n.Trace, Margin: n.Margin,
	}
	n.Core = &entry.Core{
		Process: n.processName(), Config: n.Config, Estimates: n.Estimates, Sender: n.Servers, Store: n.Platform,
		Trace: n.Trace, Meters: n.Meters, Log: n.Log, Demand: n.Tally, Policy: n.Policy,
		MaxRequests: int(n.Limits.MaxRequests), MaxDeadline: n.Limits.MaxDeadline,
		StallTimeout: n.Limits.StallTimeout, Seed: n.Seed, Defer: n.deferredQueue.Push,
		Push: n.pushToAllZones, Responses: budget.Budget{Limit: n.Limits.MaxBodies},
	}
	n.planner.prepare(n)
	n.registerGauges()
}

// processName returns a name that is new after each restart, since request IDs
// are derived from it.
func (n *Node) processName() string {
	return fmt.Sprintf("%s-%x", n.Self.Name, n.Self.Incarnation>>8&0xffffffff)
}

// registerGauges registers the metrics that are read on demand.
func (n *Node) registerGauges() {
	gauge := func(name string, value func() int) {
		n.Meters.Gauge(name, func() int64 { return int64(value()) })
	}
	gauge("ConfigVersion", func() int { return int(n.Config.Version()) })
	gauge("Active", n.Core.Active)
	gauge("Ring.Fetch.Depth", n.fetchQueue.Depth)
	gauge("Ring.Finish.Depth", n.deferredQueue.Depth)
	gauge("Ring.Prompt.Depth", n.exchangeQueue.Depth)
	n.Meters.Gauge("Ring.Fetch.Dropped", n.fetchQueue.Dropped)
	n.Meters.Gauge("Ring.Finish.Dropped", n.deferredQueue.Dropped)
	n.Meters.Gauge("Ring.Prompt.Dropped", n.exchangeQueue.Dropped)
	n.started = time.Now()
	gauge("UptimeSeconds", func() int { return int(time.Since(n.started).Seconds()) })
	gauge("Members", func() int { return len(n.Members()) })
}

// Run runs the tasks until ctx ends, and returns nil then.
func (n *Node) Run(ctx context.Context) error {
	n.Trace.Add(trace.Event{Kind: trace.Started})
	err := task.Run(ctx, n.Self.Name, n.taskFailed, []task.Task{
		{Name: "Watch", Do: n.watchObjects},
		{Name: "List", Do: n.pollVMs},
		{Name: "Fetch", Do: n.fetchConfigs},
		{Name: "Gossip", Do: n.gossip},
		{Name: "Prompt", Do: n.exchangeQueued},
		{Name: "Steward", Do: n.pollEngines},
		{Name: "Lease", Do: n.keepLease},
		{Name: "Plan", Do: n.planner.run},
		{Name: "Finish", Do: n.runDeferred},
	})
	n.Trace.Add(trace.Event{Kind: trace.Stopped})
	return err
}

// taskFailed counts and logs that the supervisor restarts a failed task.
func (n *Node) taskFailed(event string) {
	n.Meters.Add("DutyRestarts", 1)
	n.Log.Error("a task failed and is restarted", zap.String("Event", event))
}

// keepLease is the task that acquires and renews the lease of the zone's planner,
// and releases it when ctx ends.
func (n *Node) keepLease(ctx context.Context) error {
	n.Keeper.Run(ctx)
	return ctx.Err()
}

// syncTimeout is how long a process that has just started waits for an exchange
// with a process of its zone. After it the process counts as ready with the
// configuration that it has.
const syncTimeout = 5 * time.Second

// Ready reports whether the process should get clients' requests: it has a
// configuration, has synced with its zone or waited syncTimeout for that, and is
// neither stopping nor leaving.
func (n *Node) Ready() bool {
	inSync := n.synced.Load() || time.Since(n.started) > syncTimeout
	return n.Config.Current() != nil && inSync && !n.stopping.Load() && !n.Estimates.Leaving(n.Self.Name)
}

// Members returns all known processes, this one first.
func (n *Node) Members() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.All()
}

// liveInZone returns the live processes of the local zone, this one included.
func (n *Node) liveInZone() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.LiveInZone()
}

// randomUint64 returns a random number from the node's seeded generator.
func (n *Node) randomUint64() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Uint64()
}

// Stop performs a planned stop. The process is no longer ready, waits
// Limits.StopWait for the load balancer to notice that, rejects new requests from
// then on, and waits until all active requests have ended. The tasks keep running;
// the caller ends them afterwards with the context of Run. If ctx ends before, Stop
// returns an error that wraps that of ctx, and the process stays not ready.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.Trace.Add(trace.Event{Kind: trace.Stopping})
	if !timer.Wait(ctx, n.Limits.StopWait) {
		return fmt.Errorf("wait for the load balancer to notice the stop: %w", ctx.Err())
	}
	n.Core.Close()
	for n.Core.Active() > 0 {
		if !timer.Wait(ctx, stopPoll) {
			return fmt.Errorf("wait for %d active requests: %w", n.Core.Active(), ctx.Err())
		}
	}
	return nil
}

// stopPoll is the interval at which Stop checks for active requests.
const stopPoll = 20 * time.Millisecond

// mergeLeave merges a leave entry, which marks a VM or a backend server as leaving or
// clears the mark. It reports whether the entry changed anything, and adds a change
// to the timeline.
func (n *Node) mergeLeave(e drain.Entry) bool {
	if !n.Estimates.MergeLeave(e) {
		return false
	}
	kind := trace.LeavingCleared
	if e.Leaving {
		kind = trace.LeavingSet
	}
	n.Trace.Add(trace.Event{Kind: kind, Engine: e.Name, Detail: "says " + e.Source.String()})
	return true
}
