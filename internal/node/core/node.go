// Package core is a whole entry process on a platform that keeps the
// configuration and the list of backend servers in its store: its duties under
// a supervisor, and what they share.
//
// # Usage
//
//	node := &core.Node{Name: "entry-1", Zone: "calicut", Feed: store, Keys: keys, Servers: servers, Log: log}
//	node.Prepare()
//	go node.Run(ctx)
//	handler := node.Broker
//
// Each duty is one goroutine that is restarted if it fails:
//
//	Table    follows the configuration
//	Servers  follows the backend servers
//	Members  follows the other processes
//	Announce keeps this process's entry in the store
//	Send     tells the others what is under way here
//	Receive  takes in what the others tell
//	Coordinate sends requests for places, and grants
//	Fetch    gets a configuration that another process has and this one has not
//	Tick     ends pauses and waits whose time has come
package core

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/duty"
	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/node/httpd"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/quota"
	"ebonyscale.example/ebonyscale/internal/state/follow"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Keys are the names under which the store has what a process follows.
type Keys struct {
	// TableKind and TableName are the configuration's, ServersKind is that of
	// the backend servers, MembersKind that of the system's own processes.
	TableKind, TableName, ServersKind, MembersKind string
}

// Node is one process. The exported fields above Broker are set before
// Prepare, which sets the others.
type Node struct {
	Name, Zone string
	Keys       Keys
	Feed       follow.Feed
	Store      store.Writer
	Servers    broker.Servers
	// Sweep closes connections that have been idle for too long; it is called
	// every few seconds.
	Sweep func()
	// Peers is the client of the other processes, News the socket for what
	// they tell; Address is where this process is reached by them.
	Peers   Peers
	News    *net.UDPConn
	Address netip.AddrPort
	// Cores is what the VM has of a processor.
	Cores float64
	Rule  quota.Rule
	// WatchFor is how long one call waits for changes in a small system.
	WatchFor time.Duration
	// LeaveWithin is the time within which a backend server that leaves must
	// get no more requests.
	LeaveWithin time.Duration
	Log         *zap.Logger
	Seed        uint64

	Broker *broker.Broker
	Meters *meter.Set

	incarnation  uint64
	peers        peers.Table
	tables       *follow.Follower
	health       follow.Health
	roster       roster.Roster
	usage        usage.Table
	coordination *coordination
	table        atomic.Pointer[table.Table]
	listed       atomic.Bool
	stopping     atomic.Bool

	mu sync.Mutex
	// document is the configuration in force as it was written.
	document   []byte
	departures []departure
	// turn is the older departure that was told last.
	turn     int
	sequence uint64
	// told is a digest of the news sent last.
	told uint64
}

// Peers calls other processes.
type Peers interface {
	Table(ctx context.Context, address netip.AddrPort, q *wire.TableQuery) (*wire.TableAnswer, error)
}

// Prepare fills the parts that the duties share.
func (n *Node) Prepare() {
	n.Meters = &meter.Set{}
	n.incarnation = uint64(time.Now().UnixMilli())
	n.peers.Self = n.Name
	n.coordination = newCoordination(n)
	n.Broker = &broker.Broker{
		Zone: n.Zone, Table: n.table.Load, Roster: &n.roster, Usage: &n.usage, Servers: n.Servers,
		Others: &n.peers, Name: n.Name, Coordination: n.coordination, Rule: n.Rule, Meters: n.Meters, Log: n.Log, Seed: n.Seed,
	}
	n.tables = n.follower(n.Keys.TableKind, &tableView{n}, n.wait, n.rest)
	n.Meters.Gauge("TableVersion", func() int64 { return int64(n.Version()) })
	n.Meters.Gauge("BackendServers", func() int64 { return int64(n.roster.Len()) })
}

// Version returns the version of the configuration in force, 0 if there is
// none.
func (n *Node) Version() uint64 {
	if t := n.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Ready reports whether the process should get callers' requests.
func (n *Node) Ready() bool {
	return n.table.Load() != nil && n.listed.Load() && !n.stopping.Load()
}

// defaultLimits hold until there is a configuration.
var defaultLimits = httpd.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Limits returns what callers may send, by the configuration in force.
func (n *Node) Limits() httpd.Limits {
	t := n.table.Load()
	if t == nil {
		return defaultLimits
	}
	limits := defaultLimits
	if t.Limits.HeaderBytes > 0 {
		limits.HeaderBytes = t.Limits.HeaderBytes
	}
	if t.Limits.BodyBytes > 0 {
		limits.BodyBytes = t.Limits.BodyBytes
	}
	if t.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = t.Limits.HeaderTimeout
	}
	if t.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = t.Limits.IdleTimeout
	}
	return limits
}

// Run runs the duties until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	return duty.Run(ctx, n.Name, n.supervised, []duty.Duty{
		{Name: "Table", Do: n.tables.Run},
		{Name: "Servers", Do: n.follower(n.Keys.ServersKind, &serversView{n}, n.wait, n.jittered(n.restServers)).Run},
		{Name: "Members", Do: n.follower(n.Keys.MembersKind, &membersView{n}, n.waitLong, n.restLong).Run},
		{Name: "Announce", Do: n.announce},
		{Name: "Send", Do: n.mesh().Send},
		{Name: "Receive", Do: n.mesh().Receive},
		{Name: "Coordinate", Do: n.coordination.Send},
		{Name: "Fetch", Do: n.fetch},
		{Name: "Reach", Do: n.Broker.Reach},
		{Name: "Tick", Do: n.tick},
	})
}

func (n *Node) follower(kind string, view follow.View, wait, rest func() time.Duration) *follow.Follower {
	return &follow.Follower{Kind: kind, Feed: n.Feed, View: view, Wait: wait, Rest: rest, Health: &n.health, Log: n.Log}
}

const (
	// smallSystem is how many processes one wait of WatchFor is meant for: with
	// more of them each waits for longer, and what one learns it tells the
	// others, so that the calls grow more slowly than the system.
	smallSystem = 6
	maxWait     = 10 * time.Second
	// longWait is for what rarely changes.
	longWait = 20 * time.Second
)

// wait is how long one call waits for changes. A process that hears of no other
// waits as in a small system.
func (n *Node) wait() time.Duration { return min(n.scaled(), maxWait) }

// scaled is WatchFor for the number of processes heard of.
func (n *Node) scaled() time.Duration {
	return max(n.WatchFor, n.WatchFor*time.Duration(n.peers.Heard())/smallSystem)
}

func (n *Node) waitLong() time.Duration {
	if n.peers.Heard() < n.peers.Alive() {
		return n.wait()
	}
	return longWait
}

// rest is the pause after changes: a small part of the time in which they must
// be known everywhere.
func (n *Node) rest() time.Duration { return n.wait() / restPart }

// restServers is the usual pause after changes of the backend servers, of which
// there are many. The processes rest at different times, so that the first that
// learns of one that leaves tells the others; each by itself rests for less
// than the time in which it must know.
func (n *Node) restServers() time.Duration {
	rest := n.scaled() / restPart
	if n.LeaveWithin > 0 {
		rest = min(rest, n.LeaveWithin/2)
	}
	return rest
}

// jittered varies a pause by a quarter.
func (*Node) jittered(rest func() time.Duration) func() time.Duration {
	return func() time.Duration {
		usual := rest()
		return usual*3/4 + rand.N(usual/2+1)
	}
}

// restLong is the pause after changes of the processes: where many are
// restarted in turn, each would else call for each of them.
func (n *Node) restLong() time.Duration { return max(longWait, 2*n.scaled()) / restPart }

// restPart is how many rests a wait has.
const restPart = 12

func (n *Node) supervised(event string) {
	n.Meters.Add("DutyRestarts", 1)
	n.Log.Error("a duty failed and is restarted", zap.String("Event", event))
}

const (
	// tickEvery is how often pauses and waits are looked at.
	tickEvery = 20 * time.Millisecond
	// sweepEvery is how many ticks lie between two sweeps.
	sweepEvery = 250
)

func (n *Node) tick(ctx context.Context) error {
	for i := 1; timer.Wait(ctx, tickEvery); i++ {
		now := time.Now()
		n.tell(n.roster.Expire(now))
		for _, name := range n.peers.Expire(now) {
			n.Log.Info("process is silent", zap.String("Peer", name))
			n.Broker.Forget(name)
		}
		n.Broker.Tick(now)
		if i%sweepEvery == 0 {
			n.usage.Sweep(now)
			n.Sweep()
		}
	}
	return ctx.Err()
}
