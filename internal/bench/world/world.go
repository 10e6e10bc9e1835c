// Package world brings failures about in virtual time and looks for broken
// promises.
//
// A World is a small fleet: the real duties of some processes, joined to the
// stand-ins and to each other at their interfaces, where the failures strike.
// Everything runs under testing/synctest, so that an hour of outage takes no
// time and a seed runs the same schedule again.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		w := world.World{Seed: 7}
//		violations := w.Run(t.Context(), world.Random(7))
//	})
//
// A process fails only where it touches the outside: a killed one makes no call
// any more and its answers break off, a paused one stands still at its next
// call or answer. What else it does cannot be seen from outside. The checkers
// of package judge read what the stand-ins and the callers saw.
package world

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	sample "ebonyscale.example/ebonyscale/examples"
	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/node/tree"
	"ebonyscale.example/ebonyscale/internal/plan/roles"
	"ebonyscale.example/ebonyscale/internal/route/place"
	"ebonyscale.example/ebonyscale/internal/stand/model"
	"ebonyscale.example/ebonyscale/internal/stand/scene"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// World is a fleet under failures. Seed and the fields before Scene are set
// before Run.
type World struct {
	Seed uint64
	// Example is the deployment, Malabar if empty.
	Example string
	// NodesPerZone is 2 if zero.
	NodesPerZone int
	// Length is how long requests are sent, 40 s if zero.
	Length time.Duration
	// Rate is the requests per second, 8 if zero.
	Rate    float64
	Variant Variant
	// Trace is what is sent, instead of an even mix.
	Trace []load.Entry
	// Place and Roles are the policies of the processes.
	Place place.Policy
	Roles roles.Policy
	// Edit changes the example's files before they are applied.
	Edit func(files []spec.File) []spec.File
	// Shape changes the stand-ins before they start.
	Shape func(s *scene.Scene)
	// OnCustom is called by events of the kind Custom.
	OnCustom func(s *scene.Scene)
	// Vendor makes every engine of one make, if set.
	Vendor string
	// Once has callers send keyed calls once, whatever they are told.
	Once bool
	// Calm leaves out what looks for late configurations, for long runs.
	Calm bool
	// ChangeTakes, if set, is how long engines are out of service for an order.
	ChangeTakes time.Duration

	Scene *scene.Scene
	Hosts []*Host

	files      []spec.File
	deployment *spec.Deployment
	began      time.Time
	// ctx ends with the run; it outlives the processes.
	ctx context.Context

	mu         sync.Mutex
	violations []judge.Violation
	// strikes are faults that wait for a call.
	strikes []*Strike
	random  *rand.Rand
	// accepted has the time of each accepted version.
	accepted map[uint64]time.Time
	// reserved has the engines that an event makes leave.
	reserved map[string]bool
	// outages are the times in which the platform gave no answers.
	outages []disturbance
	// shaken is the time of the last fault of the platform.
	shaken   time.Time
	platform bool
	outcomes []load.Outcome
	// lives are all processes that ever ran.
	lives []*life
}

// Sizes that hold if the fields are zero.
const (
	defaultPerZone = 2
	defaultLength  = 40 * time.Second
	defaultRate    = 8
	plainShare     = 0.5
	// settle is how long the world runs on after the last request, healed.
	settle = 20 * time.Second
	// latency is the time of a call in one direction.
	latency = time.Millisecond
	port    = 8182
)

// Run runs a schedule and returns the violations.
func (w *World) Run(ctx context.Context, s Schedule) ([]judge.Violation, error) {
	if err := w.build(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.ctx = ctx
	w.strikes = s.Strikes
	w.Scene.Start(ctx)
	if err := w.applyFirst(ctx); err != nil {
		return nil, err
	}
	for _, h := range w.Hosts {
		h.start(ctx)
	}
	sleep(ctx, 8*time.Second)
	var group sync.WaitGroup
	if !w.Calm {
		group.Go(func() { w.watchConfig(ctx) })
	}
	group.Go(func() { w.play(ctx, s.Events) })
	w.load(ctx)
	w.heal()
	sleep(ctx, settle)
	cancel()
	for _, h := range w.Hosts {
		h.kill()
	}
	group.Wait()
	// What the processes still do has time to end.
	sleep(context.Background(), settle)
	w.judge()
	return w.violations, nil
}

func (w *World) build() error {
	w.defaults()
	files, err := sample.Files(w.Example)
	if err != nil {
		return err
	}
	if w.Edit != nil {
		files = w.Edit(files)
	}
	w.files = files
	w.deployment, err = spec.Parse(files)
	if err != nil {
		return fmt.Errorf("example: %w", err)
	}
	w.began = time.Now()
	w.random = rand.New(rand.NewPCG(w.Seed, 5))
	w.accepted = map[uint64]time.Time{}
	w.reserved = map[string]bool{}
	w.Scene = &scene.Scene{
		Deployment: w.deployment, Writes: 300, Reads: 2000, ReportLag: 300 * time.Millisecond,
		ListLag: 500 * time.Millisecond, Seed: w.Seed, Vendor: w.Vendor,
	}
	w.addHosts()
	w.Scene.Build()
	if w.Shape != nil {
		w.Shape(w.Scene)
	}
	if w.ChangeTakes > 0 {
		for _, e := range w.Scene.Engines {
			e.Vendor.Change = w.ChangeTakes
		}
	}
	return nil
}

// Preview returns an example deployment and its stand-in engines, for
// experiments that need to know a fleet before they run it.
func Preview(example, vendor string) (*spec.Deployment, map[string]*model.Engine, error) {
	files, err := sample.Files(example)
	if err != nil {
		return nil, nil, err
	}
	deployment, err := spec.Parse(files)
	if err != nil {
		return nil, nil, fmt.Errorf("example: %w", err)
	}
	s := &scene.Scene{Deployment: deployment, Vendor: vendor}
	s.Build()
	return deployment, s.Engines, nil
}

func (w *World) defaults() {
	if w.Example == "" {
		w.Example = "Malabar"
	}
	if w.NodesPerZone == 0 {
		w.NodesPerZone = defaultPerZone
	}
	if w.Length == 0 {
		w.Length = defaultLength
	}
	if w.Rate == 0 {
		w.Rate = defaultRate
	}
}

func (w *World) addHosts() {
	seen := map[string]bool{}
	for _, b := range w.deployment.Servers {
		if !b.Engine() || seen[b.AvailabilityZone] {
			continue
		}
		seen[b.AvailabilityZone] = true
		for range w.NodesPerZone {
			h := &Host{world: w, index: len(w.Hosts), zone: b.AvailabilityZone}
			h.name = fmt.Sprintf("entry-%d", h.index+1)
			h.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 99, byte(h.index + 1)}), port)
			w.Hosts = append(w.Hosts, h)
			w.Scene.Entries = append(w.Scene.Entries, store.VM{Name: h.name, AvailabilityZone: h.zone, Address: h.address.Addr(), Entry: true})
		}
	}
}

func (w *World) applyFirst(ctx context.Context) error {
	m, err := apply.Apply(ctx, w.Scene.Platform, w.files, apply.Request{Author: "first"})
	if err != nil {
		return fmt.Errorf("apply the example: %w", err)
	}
	w.accepted[m.Version] = time.Now()
	return nil
}

// load sends the callers' requests.
func (w *World) load(ctx context.Context) {
	trace := w.Trace
	if trace == nil {
		trace = load.Mix(w.deployment, load.Plan{Seed: w.Seed, Length: w.Length, Rate: w.Rate, PlainShare: plainShare})
	}
	runner := &load.Runner{
		Deployment: w.deployment, Door: w, Targets: len(w.Hosts), Repeats: 2,
		Live: func(i int) bool { return w.Hosts[i].ready() },
	}
	if w.Once {
		runner.Repeats = 0
	}
	w.outcomes = runner.Run(ctx, trace).Outcomes
}

// Outcomes returns what became of the requests.
func (w *World) Outcomes() []load.Outcome { return w.outcomes }

func (w *World) violate(p judge.Promise, format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, judge.Violation{Promise: p, What: fmt.Sprintf("after %v: ", time.Since(w.began)) + fmt.Sprintf(format, arguments...)})
}

// judge applies the checkers.
func (w *World) judge() {
	runs := judge.Runs(w.Scene.Plains)
	add := func(list []judge.Violation) { w.violations = append(w.violations, list...) }
	add(judge.RunTwice(runs))
	add(judge.FalseNotRun(w.outcomes, runs))
	add(judge.SaidRun(w.outcomes, runs))
	add(judge.Answers(w.outcomes))
	cut := map[string]bool{}
	for name, e := range w.Scene.Engines {
		seen := e.Seen()
		add(judge.Orders(name, seen.Orders))
		for _, id := range seen.Cut {
			cut[id] = true
		}
	}
	add(judge.CutByOrders(w.outcomes, cut, func(o load.Outcome) bool {
		return o.Lost || o.Total >= o.Entry.Deadline || w.disturbed(w.Hosts[o.Target], o.Began, o.Began.Add(o.Total))
	}))
}

// couldNotKnow excuses calls of processes that were cut off or stood still in
// the time within which they should have heard.
func (w *World) couldNotKnow(id string, at time.Time) bool {
	for _, h := range w.Hosts {
		if strings.HasPrefix(id, h.name+"-") {
			return w.disturbed(h, at.Add(-2*judge.LeavingWithin), at)
		}
	}
	return false
}

// listUnknown excuses also calls at a time when the list of VMs could not be
// read.
func (w *World) listUnknown(id string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return overlaps(w.outages, at.Add(-2*judge.LeavingWithin), at)
}

// disturbed reports whether a host was paused, cut off or restarted within the
// time.
func (w *World) disturbed(h *Host, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return overlaps(h.disturbances, from, to)
}

func overlaps(list []disturbance, from, to time.Time) bool {
	for _, d := range list {
		if d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return true
		}
	}
	return false
}

// sampleEvery is the time between two looks at the configurations in force.
const sampleEvery = 100 * time.Millisecond

// inForceWithin is the bound for an accepted configuration.
const inForceWithin = 7 * time.Second

// watchConfig looks for configurations that revert or come too late.
func (w *World) watchConfig(ctx context.Context) {
	late := map[string]bool{}
	for sleep(ctx, sampleEvery) {
		now := time.Now()
		for _, h := range w.Hosts {
			node := h.live()
			if node == nil {
				continue
			}
			version := node.Config.Version()
			if node.Ready() && version < h.highest {
				w.violate(judge.ConfigNeverReverts, "%s went from version %d to %d", h.name, h.highest, version)
			}
			h.highest = max(h.highest, version)
			w.checkLate(h, version, now, late)
		}
	}
}

func (w *World) checkLate(h *Host, version uint64, now time.Time, late map[string]bool) {
	w.mu.Lock()
	var missing uint64
	for v, at := range w.accepted {
		if v > version && now.Sub(at) > inForceWithin && !w.platform && w.shaken.Before(at) {
			missing = v
		}
	}
	at := w.accepted[missing]
	w.mu.Unlock()
	key := fmt.Sprintf("%s %d", h.name, missing)
	if missing == 0 || late[key] || w.disturbed(h, at, now) {
		return
	}
	late[key] = true
	w.violate(judge.ConfigInForceInTime, "%s has version %d, %v after %d was accepted", h.name, version, now.Sub(at), missing)
}

// lastRole returns the role that an engine was last ordered to have.
func (w *World) lastRole(name string, otherwise spec.Role) spec.Role {
	orders := w.Scene.Engines[name].Seen().Orders
	if len(orders) == 0 {
		return otherwise
	}
	return orders[len(orders)-1].Order.Role
}

// holder returns who holds the planner's lease of a zone, as the platform has
// it.
func (w *World) holder(zone string) string {
	object, ok := w.Scene.Platform.Peek("lease/planner/" + w.deployment.Name + "/" + zone)
	var record lease.Record
	if !ok || json.Unmarshal(object.Value, &record) != nil {
		return ""
	}
	return record.Holder
}

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

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Events returns the merged time lines of all processes that ever ran.
func (w *World) Events(f trace.Filter) []trace.Event {
	var lines [][]trace.Event
	for _, l := range w.lives {
		lines = append(lines, l.node.Trace.Events(f))
	}
	return trace.Merge(lines...)
}
