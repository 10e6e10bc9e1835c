// Package core assembles the process that the command "ebonyscale entry" runs: its
// supervised tasks and the state that they share. The configuration and the list of
// backend servers come from the platform's store. Clients' requests are served by
// package broker.
//
// # Usage
//
//	node := &core.Node{Name: "entry-1", Zone: "calicut", Feed: store, Keys: keys, Servers: servers, Log: log}
//	node.Prepare()
//	go node.Run(ctx)
//	node.Broker.Serve(ctx, &request, output)
//
// Each task is one goroutine that the supervisor restarts if it fails:
//
//	Table      watches the configuration in the store
//	Servers    watches the backend servers in the store
//	Members    watches the other processes in the store
//	Announce   keeps this process's entry in the store
//	Gone       removes the entries of processes that have ended for good
//	Quarantine watches the requests and prompt parts in quarantine in the store
//	Causes     finds the requests and prompt parts that crash backend servers
//	Write      writes those in quarantine to the store
//	Defaults   watches in the store where streams begin by default
//	Keep       keeps that entry up to date
//	Record1..  write the origins of other streams to the store
//	Recall     reads them when the process starts and when nobody remembers a stream
//	Send       sends status messages to the peers
//	Receive    handles messages from the peers
//	Coordinate sends permit requests, grants and releases to peers
//	Fetch      gets a configuration from a peer that has a newer one
//	Reach      reconnects to unreachable backend servers
//	Tick       handles timeouts and dispatches queued requests
//	Feed       reads the store's objects from a relay, or watches them as one (with Relays)
//
// With duties, the calls to the platform that one process makes for all, there are also:
//
//	Hold       holds the lease of the duties if this process is the chosen one
//	Count      sends the counts of clients' requests to the processes that report them
//	Report     reports the counts of all processes while this one holds the lease
//	Scale      orders backend servers while this process holds the lease
package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/task"
	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/node/httpd"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/feed"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/auth"
	"ebonyscale.example/ebonyscale/internal/route/quota"
	"ebonyscale.example/ebonyscale/internal/route/shed"
	"ebonyscale.example/ebonyscale/internal/state/duty"
	"ebonyscale.example/ebonyscale/internal/state/follow"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Keys are the store keys that a process watches.
type Keys struct {
	// TableKind and TableName are the kind and name of the configuration.
	// ServersKind is the kind of the backend servers' entries, MembersKind that
	// of the entry processes' own entries.
	// QuarantineKind is the kind of the prompt parts that crash backend servers.
	// OriginsKind is that of the defaults of streams, StreamsKind that of their records.
	TableKind, TableName, ServersKind, MembersKind, QuarantineKind, OriginsKind, StreamsKind string
}

// Node is one entry process. The exported fields above Broker are set before
// Prepare, which sets the others. After Prepare, Version, Ready, Limits and Table
// are safe for concurrent use.
type Node struct {
	Name, Zone string
	Keys       Keys
	Feed       follow.Feed
	Store      store.Writer
	Servers    broker.Servers
	// CloseExpired closes connections to backend servers that have been idle for too
	// long; it is called every few seconds.
	CloseExpired func()
	// Peers is the RPC client for the other processes, StatusConn the socket
	// for status messages to and from them. Address is where they reach this
	// process.
	Peers Peers
	// Hops has requests served by the other processes when this one reaches no backend
	// server; if it is nil, they are not.
	Hops       Hops
	StatusConn *net.UDPConn
	Address    netip.AddrPort
	// Cores is the number of processor cores of the VM; it may be a fraction.
	Cores float64
	// RetryLimit bounds the retries of all processes together.
	RetryLimit quota.Limit
	// WatchFor is the timeout of one long poll of the store while the system
	// has at most smallSystem processes.
	WatchFor time.Duration
	// StoreWrites is the number of writing calls per second that the store takes from all
	// processes together.
	StoreWrites float64
	// Relays is the number of processes of each availability zone that watch the store for
	// the others, see package feed; 0 if all do. RelayCalls is the RPC client for that.
	Relays     int
	RelayCalls feed.Caller
	// LeaveWithin is the time within which a leaving backend server must stop
	// getting new requests.
	LeaveWithin time.Duration
	// SettledAfter is how long after the end of an outage of the store LeaveWithin holds
	// again for entries that are removed; 0 means 3 s.
	SettledAfter time.Duration
	// StrictRevoke is set if no key must be accepted while the configuration has not been
	// confirmed at the store within RevokeWithin, by this process or a peer.
	StrictRevoke bool
	RevokeWithin time.Duration
	// Admission selects what is delayed and rejected if there is too little capacity.
	Admission shed.Policy
	// Duties are the calls to the platform that one process makes for all.
	Duties Duties
	Log    *zap.Logger
	// Seed seeds the random choices of Broker.
	Seed uint64

	Broker *broker.Broker
	Meters *meter.Set

	incarnation   uint64
	peers         peers.Table
	tableFollower *follow.Follower
	// serversFollower is that of the backend servers. confirmed says for which time it was last
	// made to list them, asked when it was for an outage; both are of the task Tick.
	serversFollower  *follow.Follower
	confirmed, asked time.Time
	health           follow.Health
	// storeDelay is how long the store takes to answer.
	storeDelay delay
	// relayed is nil without Relays.
	relayed      *feed.Feed
	roster       roster.Roster
	usage        usage.Table
	coordination *coordination
	quarantine   *quarantine
	origins      *origins
	carrier      *carrier
	// fresh is nil unless StrictRevoke is set.
	fresh *auth.Freshness
	// holder holds the lease of the duties; nil if there are none.
	holder *duty.Holder
	// accounting counts and reports usage; nil if that is not a duty.
	accounting       *accounting
	table            atomic.Pointer[table.Table]
	serversListed    atomic.Bool
	quarantineListed atomic.Bool
	defaultsListed   atomic.Bool
	streamsListed    atomic.Bool
	// announced is set once this process has an entry in the store, announceNow makes
	// it check that.
	announced   atomic.Bool
	announceNow chan struct{}
	stopping    atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// document is the encoded form of the active configuration, without clients' keys; nil
	// if peers can't get it.
	document   []byte
	departures []departure
	// lastOlder is the index, among the older departures, of the one that was
	// sent last.
	lastOlder int
	sequence  uint64
	// lastDigest is the digest of the last status message.
	lastDigest uint64
	// gapsSent is when a status message last had gaps between events.
	gapsSent time.Time
}

// Peers calls other processes over RPC. It must be safe for concurrent use.
type Peers interface {
	// Table returns the active configuration of the process at the address if it
	// is newer than q.Newer, else a response with Version 0.
	Table(ctx context.Context, address netip.AddrPort, q *wire.TableQuery) (*wire.TableAnswer, error)
}

// Hops opens calls that have a request served by the process at the address. It must be
// safe for concurrent use.
type Hops interface {
	// Carry opens a call that lasts as long as ctx. done ends the call; clean says that it
	// is complete, so that its connection can be kept.
	Carry(ctx context.Context, address netip.AddrPort) (call wire.DRPCEntry_CarryClient, done func(clean bool), err error)
}

// Prepare sets up the state that the tasks share. It is called once, before
// any other method.
func (n *Node) Prepare() {
	n.Meters = &meter.Set{}
	n.incarnation = uint64(time.Now().UnixMilli())
	n.announceNow = make(chan struct{}, 1)
	n.peers.Self, n.health.Log = n.Name, n.Log
	n.coordination = newCoordination(n)
	n.quarantine = newQuarantine(n)
	n.origins = newOrigins(n)
	n.carrier = newCarrier(n)
	n.Broker = &broker.Broker{
		Zone: n.Zone, Table: n.table.Load, Roster: &n.roster, Usage: &n.usage, Servers: n.Servers,
		Peers: &n.peers, Name: n.Name, Coordination: n.coordination, RetryLimit: n.RetryLimit, Admission: n.Admission, Meters: n.Meters, Log: n.Log, Seed: n.Seed,
		Announce: n.announceLeaving, Quarantine: n.quarantine, Trials: n.quarantine, Origins: n.origins,
	}
	if n.Hops != nil {
		n.Broker.Carrier = n.carrier
	}
	n.prepareRevocation()
	if n.Duties.enabled() {
		n.holder = newHolder(n)
	}
	if n.reportsUsage() {
		n.accounting = newAccounting(n)
		n.Broker.Counter = n.accounting
	}
	n.observeStore()
	n.prepareRelays()
	n.tableFollower = n.follower(n.Keys.TableKind, &tableView{n}, n.tablePollTimeout, n.debounce)
	n.tableFollower.Feed = n.tableFeed()
	n.serversFollower = n.follower(n.Keys.ServersKind, &serversView{n}, n.pollTimeout, n.pauseAfterChanges)
	n.Meters.Gauge("TableVersion", func() int64 { return int64(n.Version()) })
	n.Meters.Gauge("BackendServers", func() int64 { return int64(n.roster.Len()) })
	n.Meters.Gauge("LongestHoldMs", func() int64 { return n.roster.LongestHold().Milliseconds() })
}

// Version returns the version of the active configuration, 0 if there is none.
func (n *Node) Version() uint64 {
	if t := n.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Ready reports whether the process should get clients' requests: it has a
// configuration and the lists of backend servers, of prompt parts in quarantine and of
// streams, and is not stopping.
func (n *Node) Ready() bool {
	listed := n.serversListed.Load() && n.quarantineListed.Load() && n.defaultsListed.Load() && n.streamsListed.Load()
	return n.table.Load() != nil && listed && !n.stopping.Load()
}

// defaultLimits apply without a configuration, and for each limit that the
// configuration does not set.
var defaultLimits = httpd.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Limits returns the limits on clients' requests from the active
// configuration.
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

// Run runs the tasks until ctx ends, and returns nil then.
func (n *Node) Run(ctx context.Context) error {
	tasks := []task.Task{
		{Name: "Table", Do: n.tableFollower.Run},
		{Name: "Servers", Do: n.serversFollower.Run},
		{Name: "Members", Do: n.follower(n.Keys.MembersKind, &membersView{n}, n.membersPollTimeout, n.membersDebounce).Run},
		{Name: "Announce", Do: n.announce},
		{Name: "Gone", Do: n.removeGone},
		{Name: "Quarantine", Do: n.follower(n.Keys.QuarantineKind, quarantineView{n.quarantine}, n.membersPollTimeout, nil).Run},
		{Name: "Causes", Do: n.quarantine.Run},
		{Name: "Write", Do: n.quarantine.Write},
		{Name: "Defaults", Do: n.follower(n.Keys.OriginsKind, n.origins.defaults, n.membersPollTimeout, nil).Run},
		{Name: "Keep", Do: n.origins.defaults.Run},
		{Name: "Recall", Do: n.origins.recall.Run},
		{Name: "Send", Do: n.mesh().Send},
		{Name: "Receive", Do: n.mesh().Receive},
		{Name: "Coordinate", Do: n.coordination.Send},
		{Name: "Fetch", Do: n.fetch},
		{Name: "Reach", Do: n.Broker.Reconnect},
		{Name: "Tick", Do: n.tick},
	}
	for i := range recordTasks {
		tasks = append(tasks, task.Task{Name: fmt.Sprint("Record", i+1), Do: n.origins.recorder.Run})
	}
	tasks = append(tasks, n.dutyTasks()...)
	if n.relayed != nil {
		tasks = append(tasks, task.Task{Name: "Feed", Do: n.relayed.Run})
	}
	return task.Run(ctx, n.Name, n.taskRestarted, tasks)
}

// follower returns the Follower that keeps view up to date with the objects of a
// kind.
func (n *Node) follower(kind string, view follow.View, pollTimeout, debounce func() time.Duration) *follow.Follower {
	return &follow.Follower{Kind: kind, Feed: n.Feed, View: view, PollTimeout: pollTimeout, Debounce: n.debounceRelayed(kind, debounce), Health: &n.health, Log: n.Log}
}

const (
	// smallSystem is the number of processes up to which a long poll lasts
	// WatchFor. With more processes each poll lasts longer, up to maxPollTimeout,
	// and processes report changes to their peers, so the store's load grows more
	// slowly than the system.
	smallSystem    = 6
	maxPollTimeout = 10 * time.Second
	// longPollTimeout is the timeout for the processes' entries, which rarely
	// change.
	longPollTimeout = 20 * time.Second
)

// pollTimeout returns the timeout of a long poll of the store. A process without
// live peers polls as in a small system. A poll that was open in a short outage may get
// no response: unless there are relays, which confirm theirs more often, it ends in time
// for a change that was made settledAfter the outage.
func (n *Node) pollTimeout() time.Duration {
	longest := maxPollTimeout
	if n.LeaveWithin > 0 && n.peers.Live() < feed.MinProcesses {
		longest = max(n.settledAfter()+n.LeaveWithin-storeLag, n.WatchFor)
	}
	return min(n.scaledPollTimeout(), longest)
}

// storeLag is how long after the end of a poll that got no response the objects are listed
// again: the timeout of calls, a pause, the list, and leaveMargin.
const storeLag = 1500 * time.Millisecond

// scaledPollTimeout returns WatchFor scaled with the number of live processes.
func (n *Node) scaledPollTimeout() time.Duration {
	return max(n.WatchFor, n.WatchFor*time.Duration(n.peers.Live())/smallSystem)
}

// membersPollTimeout returns the timeout of a long poll of the processes' entries:
// longPollTimeout if every process with an entry is live, else pollTimeout.
func (n *Node) membersPollTimeout() time.Duration {
	if n.peers.Live() < n.peers.Members() {
		return n.pollTimeout()
	}
	return longPollTimeout
}

// debounce returns the pause after a change, in which further changes accumulate.
// It is a small part of the time within which every process must have received
// them.
func (n *Node) debounce() time.Duration { return n.pollTimeout() / debounceDivisor }

// serversDebounce returns the mean pause after changes of the backend servers,
// which are many. The jitter makes processes pause at different times, so that
// the first one that learns of a leaving backend server reports it to its peers.
// Each pause is shorter than LeaveWithin, since a process may get no such report.
func (n *Node) serversDebounce() time.Duration {
	pause := n.scaledPollTimeout() / debounceDivisor
	if n.LeaveWithin > 0 {
		pause = min(pause, n.LeaveWithin/2)
	}
	return pause
}

// jittered returns a function that varies a pause at random by up to a quarter in
// either direction.
func (*Node) jittered(pause func() time.Duration) func() time.Duration {
	return func() time.Duration {
		mean := pause()
		return mean*3/4 + rand.N(mean/2+1)
	}
}

// membersDebounce returns the pause after changes of the processes. Without it,
// a rolling restart would make every process call the store once for each
// restarted process.
func (n *Node) membersDebounce() time.Duration {
	return max(longPollTimeout, 2*n.scaledPollTimeout()) / debounceDivisor
}

// debounceDivisor is the ratio of a poll timeout to the pause after changes.
const debounceDivisor = 12

// taskRestarted counts and logs that the supervisor restarts a task.
func (n *Node) taskRestarted(event string) {
	n.Meters.Add("DutyRestarts", 1)
	n.Log.Error("a task failed and is restarted", zap.String("Event", event))
}

const (
	// tickInterval is the period at which timeouts are checked.
	tickInterval = 20 * time.Millisecond
	// ticksPerSweep is the number of ticks between two removals of idle
	// connections and unused records: 5 s.
	ticksPerSweep = 250
)

// tick is the task that handles timeouts of backend servers' entries, silent
// processes and permits, and dispatches queued requests.
func (n *Node) tick(ctx context.Context) error {
	for i := 1; timer.Wait(ctx, tickInterval); i++ {
		now := time.Now()
		n.expireServers(now)
		for _, name := range n.peers.Expire(now) {
			n.Log.Info("process is silent", zap.String("Peer", name))
			n.Broker.Revoke(name)
			n.carrier.drop(name)
		}
		n.Broker.Tick(now)
		if i%ticksPerSweep == 0 {
			n.usage.Sweep(now)
			n.CloseExpired()
		}
	}
	return ctx.Err()
}
