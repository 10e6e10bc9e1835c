package world

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/node/tree"
)

// Host is an entry VM. It runs at most one process at a time, which can be
// killed and started again.
type Host struct {
	world   *World
	index   int
	name    string
	zone    string
	address netip.AddrPort
	// maxVersion is the newest configuration version that checkConfig found
	// active on the host.
	maxVersion uint64

	mu      sync.Mutex
	process *process
	// disruptions is guarded by world.mu.
	disruptions []disruption
	// blocked has the names of the hosts and backend servers that a network
	// partition makes unreachable from this host; "*" stands for all peers and
	// "platform" for the platform.
	blocked map[string]bool
}

// disruption is a period in which a fault excuses a host from time bounds. A
// zero end means that the disruption has not ended.
type disruption struct{ start, end time.Time }

// start starts a new process with a new incarnation.
func (h *Host) start(ctx context.Context) {
	w := h.world
	ctx, cancel := context.WithCancel(ctx)
	p := &process{host: h, world: w, cancel: cancel, done: make(chan struct{})}
	limits := setup.Default().Limits
	p.node = &tree.Node{
		Self:       member.Member{Name: h.name, AvailabilityZone: h.zone, Address: h.address, Incarnation: uint64(time.Now().UnixMilli()) << 8},
		Deployment: w.deployment.Name, Platform: platform{p}, Servers: servers{p}, Peers: peers{p}, Log: zap.NewNop(),
		Limits: limits, WatchFor: 30 * time.Second, ListEvery: time.Second, Policy: w.Place, Roles: w.Roles,
		Seed: w.Seed*1000 + uint64(h.index) + uint64(time.Since(w.started)),
	}
	if w.Variant == NoMargin {
		p.node.Margin = func(d time.Duration) time.Duration { return 4 * d }
	}
	p.node.Prepare()
	p.ctx = ctx
	h.mu.Lock()
	h.process = p
	h.mu.Unlock()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go func() {
		_ = p.node.Run(ctx)
	}()
}

// Zone returns the host's availability zone.
func (h *Host) Zone() string { return h.zone }

// live returns the process's node, or nil if no process runs or it is paused.
func (h *Host) live() *tree.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || h.process.resumed != nil {
		return nil
	}
	return h.process.node
}

// current returns the process, paused or not, or nil if none runs.
func (h *Host) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// ready reports whether a process runs that is ready and not paused.
func (h *Host) ready() bool {
	node := h.live()
	return node != nil && node.Ready()
}

// kill ends the process, if one runs, as SIGKILL does.
func (h *Host) kill() {
	h.mu.Lock()
	p := h.process
	h.process = nil
	h.mu.Unlock()
	if p == nil {
		return
	}
	p.end()
}

// beginDisruption records the start of a disruption and returns the function
// that records its end.
func (h *Host) beginDisruption() func() {
	w := h.world
	w.mu.Lock()
	defer w.mu.Unlock()
	h.disruptions = append(h.disruptions, disruption{start: time.Now()})
	i := len(h.disruptions) - 1
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		// The process needs some time to rejoin the fleet.
		h.disruptions[i].end = time.Now().Add(recovery)
	}
}

// recovery is how long a process may take to rejoin the fleet after a fault.
const recovery = 12 * time.Second
