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

// Host is an entry VM, on which processes come and go.
type Host struct {
	world   *World
	index   int
	name    string
	zone    string
	address netip.AddrPort
	highest uint64

	mu   sync.Mutex
	life *life
	// disturbances are guarded by the world's lock.
	disturbances []disturbance
	// cut has the hosts and servers that cannot be reached from here; "*" is
	// all peers, and "platform" the platform.
	cut map[string]bool
}

// disturbance is a time in which a host could not be expected to do its part.
type disturbance struct{ from, to time.Time }

// start begins a new life.
func (h *Host) start(ctx context.Context) {
	w := h.world
	ctx, cancel := context.WithCancel(ctx)
	l := &life{host: h, world: w, cancel: cancel, dead: make(chan struct{})}
	limits := setup.Default().Limits
	l.node = &tree.Node{
		Self:       member.Member{Name: h.name, AvailabilityZone: h.zone, Address: h.address, Incarnation: uint64(time.Now().UnixMilli()) << 8},
		Deployment: w.deployment.Name, Platform: platform{l}, Servers: servers{l}, Peers: peers{l}, Log: zap.NewNop(),
		Limits: limits, WatchFor: 30 * time.Second, ListEvery: time.Second, Policy: w.Place, Roles: w.Roles,
		Seed: w.Seed*1000 + uint64(h.index) + uint64(time.Since(w.began)),
	}
	if w.Variant == NoMargin {
		l.node.Margin = func(d time.Duration) time.Duration { return 4 * d }
	}
	l.node.Prepare()
	l.ctx = ctx
	h.mu.Lock()
	h.life = l
	h.mu.Unlock()
	w.mu.Lock()
	w.lives = append(w.lives, l)
	w.mu.Unlock()
	go func() {
		_ = l.node.Run(ctx)
	}()
}

// Zone returns the host's availability zone.
func (h *Host) Zone() string { return h.zone }

// live returns the process, or nil if there is none or it stands still.
func (h *Host) live() *tree.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life == nil || h.life.resumed != nil {
		return nil
	}
	return h.life.node
}

func (h *Host) current() *life {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

func (h *Host) ready() bool {
	node := h.live()
	return node != nil && node.Ready()
}

// kill ends the process without warning.
func (h *Host) kill() {
	h.mu.Lock()
	l := h.life
	h.life = nil
	h.mu.Unlock()
	if l == nil {
		return
	}
	l.end()
}

// disturb notes the beginning of a disturbance and returns the function that
// notes its end.
func (h *Host) disturb() func() {
	w := h.world
	w.mu.Lock()
	defer w.mu.Unlock()
	h.disturbances = append(h.disturbances, disturbance{from: time.Now()})
	i := len(h.disturbances) - 1
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		// Some time passes until a process is part of the fleet again.
		h.disturbances[i].to = time.Now().Add(recovery)
	}
}

// recovery is how long a process needs after a disturbance.
const recovery = 12 * time.Second
