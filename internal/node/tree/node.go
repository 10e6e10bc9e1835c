// Package tree is a whole process of the system: its duties under a supervisor
// and the parts that they share.
//
// A Node is given interfaces to the platform, to the backend servers and to its
// peers. Package serve of the command gives it network clients; tests give it
// fakes and run it in virtual time.
//
// # Usage
//
//	node := &tree.Node{Self: self, Deployment: "malabar", Platform: platform, Servers: client, Peers: peers, Log: log}
//	node.Prepare()
//	go node.Run(ctx)
//	reply := node.Core.Serve(ctx, request)
//
// Each duty is one goroutine that is restarted if it fails:
//
//	Watch    follows the configuration and the drains in the platform
//	List     follows the platform's list of VMs
//	Fetch    gets a configuration that a peer has and this process has not
//	Gossip   exchanges with one peer in each period
//	Steward  reads the engines that are this process's to read
//	Lease    keeps the planner's lease of the zone
//	Plan     decides on the zone's engines while the lease is held
//	Finish   repeats work on claims until the platform answers
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

	"ebonyscale.example/ebonyscale/internal/base/duty"
	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/board"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/fleet/leave"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
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

// Servers are the backend servers.
type Servers interface {
	Send(ctx context.Context, server spec.BackendServer, call engine.Call) (*engine.Response, error)
	Report(ctx context.Context, server spec.BackendServer, since uint64) (engine.Report, error)
	Order(ctx context.Context, server spec.BackendServer, order engine.Order) error
}

// Peers are the other processes of the system.
type Peers interface {
	Exchange(ctx context.Context, address netip.AddrPort, g *wire.Gossip) (*wire.Gossip, error)
	Probe(ctx context.Context, address netip.AddrPort, q *wire.ProbeQuery) (*wire.ProbeAnswer, error)
	Demand(ctx context.Context, address netip.AddrPort, q *wire.DemandQuery) (*wire.DemandAnswer, error)
	Pieces(ctx context.Context, address netip.AddrPort, q *wire.PieceQuery) (*wire.PieceAnswer, error)
}

// Node is one process. The exported fields above Core are set before Prepare,
// which sets the others.
type Node struct {
	Self       member.Member
	Deployment string
	Seeds      []netip.AddrPort
	Platform   store.API
	Servers    Servers
	Peers      Peers
	Log        *zap.Logger
	Limits     setup.Limits
	WatchFor   time.Duration
	ListEvery  time.Duration
	Seed       uint64
	Policy     place.Policy
	Roles      roles.Policy
	// Margin is a variant of the lease's margin, for tests.
	Margin func(time.Duration) time.Duration

	Core   *entry.Core
	Board  *board.Board
	Config *apply.Holder
	Trace  *trace.Line
	Meters *meter.Set
	Keeper *lease.Keeper
	Tally  *demand.Tally

	mu     sync.Mutex
	table  member.Table
	random *rand.Rand
	period int

	reached atomic.Bool
	// greeted is set once a process of the zone was exchanged with, or if there
	// is no other; began is when the process started.
	greeted  atomic.Bool
	began    time.Time
	stopping atomic.Bool
	fetch    *ring.Ring[netip.AddrPort]
	finish   *ring.Ring[func(context.Context) error]
	prompt   *ring.Ring[netip.AddrPort]
	planner  planner
}

// Sizes of the rings.
const (
	fetchRing  = 16
	finishRing = 1024
	promptRing = 32
)

// Prepare fills the parts that the duties share.
func (n *Node) Prepare() {
	n.Trace = &trace.Line{Process: n.Self.Name}
	n.Meters = &meter.Set{}
	n.Config = &apply.Holder{}
	n.Tally = &demand.Tally{}
	n.Board = &board.Board{Zone: n.Self.AvailabilityZone}
	n.fetch = ring.New[netip.AddrPort]("Fetch", fetchRing)
	n.finish = ring.New[func(context.Context) error]("Finish", finishRing)
	n.prompt = ring.New[netip.AddrPort]("Prompt", promptRing)
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
		Process: n.processName(), Config: n.Config, Board: n.Board, Sender: n.Servers, Store: n.Platform,
		Trace: n.Trace, Meters: n.Meters, Log: n.Log, Demand: n.Tally, Policy: n.Policy,
		MaxRequests: int(n.Limits.MaxRequests), MaxDeadline: n.Limits.MaxDeadline,
		StallTimeout: n.Limits.StallTimeout, Seed: n.Seed, Defer: n.finish.Push,
	}
	n.planner.start(n)
	n.gauges()
}

// processName is unique over restarts, since requests are named by it.
func (n *Node) processName() string {
	return fmt.Sprintf("%s-%x", n.Self.Name, n.Self.Incarnation>>8&0xffffffff)
}

func (n *Node) gauges() {
	gauge := func(name string, value func() int) {
		n.Meters.Gauge(name, func() int64 { return int64(value()) })
	}
	gauge("ConfigVersion", func() int { return int(n.Config.Version()) })
	gauge("Active", n.Core.Active)
	gauge("Ring.Fetch.Depth", n.fetch.Depth)
	gauge("Ring.Finish.Depth", n.finish.Depth)
	gauge("Ring.Prompt.Depth", n.prompt.Depth)
	n.Meters.Gauge("Ring.Fetch.Dropped", n.fetch.Dropped)
	n.Meters.Gauge("Ring.Finish.Dropped", n.finish.Dropped)
	n.Meters.Gauge("Ring.Prompt.Dropped", n.prompt.Dropped)
	n.began = time.Now()
	gauge("UptimeSeconds", func() int { return int(time.Since(n.began).Seconds()) })
	gauge("Members", func() int { return len(n.Members()) })
}

// Run runs the duties until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.Trace.Add(trace.Event{Kind: trace.Started})
	err := duty.Run(ctx, n.Self.Name, n.supervised, []duty.Duty{
		{Name: "Watch", Do: n.watch},
		{Name: "List", Do: n.list},
		{Name: "Fetch", Do: n.fetcher},
		{Name: "Gossip", Do: n.gossip},
		{Name: "Prompt", Do: n.prompter},
		{Name: "Steward", Do: n.steward},
		{Name: "Lease", Do: n.lease},
		{Name: "Plan", Do: n.planner.run},
		{Name: "Finish", Do: n.finisher},
	})
	n.Trace.Add(trace.Event{Kind: trace.Stopped})
	return err
}

func (n *Node) supervised(event string) {
	n.Meters.Add("DutyRestarts", 1)
	n.Log.Error("a duty failed and is restarted", zap.String("Event", event))
}

func (n *Node) lease(ctx context.Context) error {
	n.Keeper.Run(ctx)
	return ctx.Err()
}

// greetWithin is how long a process that has just started waits to hear from a
// peer before it takes what the platform says for the newest configuration.
const greetWithin = 5 * time.Second

// Ready reports whether the process should get callers' requests.
func (n *Node) Ready() bool {
	heard := n.greeted.Load() || time.Since(n.began) > greetWithin
	return n.Config.Current() != nil && heard && !n.stopping.Load() && !n.Board.Leaving(n.Self.Name)
}

// Members returns every process known, this one first.
func (n *Node) Members() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.All()
}

// zone returns the live processes of the own zone.
func (n *Node) zone() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.LiveInZone()
}

func (n *Node) draw() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Uint64()
}

// Stop is a planned stop: the process stops being ready, waits until the
// balancer has noticed, and lets every request under way come to its end.
// The duties run on meanwhile; the caller ends them afterwards.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.Trace.Add(trace.Event{Kind: trace.Stopping})
	if !timer.Wait(ctx, n.Limits.StopWait) {
		return fmt.Errorf("wait for the balancer: %w", ctx.Err())
	}
	n.Core.Close()
	for n.Core.Active() > 0 {
		if !timer.Wait(ctx, stopPoll) {
			return fmt.Errorf("wait for %d requests: %w", n.Core.Active(), ctx.Err())
		}
	}
	return nil
}

// stopPoll is the time between two looks at the requests under way.
const stopPoll = 20 * time.Millisecond

// leaving takes in who is leaving, tells the time line of news, and reports
// whether it was news.
func (n *Node) leaving(e leave.Entry) bool {
	if !n.Board.MergeLeave(e) {
		return false
	}
	kind := trace.LeavingCleared
	if e.Leaving {
		kind = trace.LeavingSet
	}
	n.Trace.Add(trace.Event{Kind: kind, Engine: e.Name, Detail: "says " + e.Source.String()})
	return true
}
