// Package world runs a small fleet under faults in virtual time and checks that
// the system's invariants (the promises of package judge) hold.
//
// A World runs the production code of several processes in one program. Their
// network clients are replaced by direct calls to the stand-ins and to each
// other, and faults are injected into these calls. It runs in a testing/synctest
// bubble, so that an hour of outage takes no real time and a seed repeats the
// same schedule.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		w := world.World{Seed: 7}
//		violations, err := w.Run(t.Context(), world.Random(7))
//	})
//
// A process fails only at its interfaces: once killed it makes no more calls and
// its responses are truncated, and while paused it blocks at its next call or
// read of a response. What it does apart from that can't be observed from
// outside. The checkers of package judge examine the records of the stand-ins and
// the outcomes that the clients observed.
package world

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	sample "ebonyscale.example/ebonyscale/examples"
	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/plan/roles"
	"ebonyscale.example/ebonyscale/internal/route/place"
	"ebonyscale.example/ebonyscale/internal/stand/model"
	"ebonyscale.example/ebonyscale/internal/stand/scene"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// World is a fleet under faults, for one run. The fields before Scene are set
// before Run, which sets Scene and Hosts.
type World struct {
	Seed uint64
	// Example is the name of the example deployment, Malabar if empty.
	Example string
	// NodesPerZone is the number of entry VMs in each availability zone that has
	// engines, 2 if zero.
	NodesPerZone int
	// Length is how long requests are sent, 40 s if zero. It applies to the
	// built-in mix only, as does Rate.
	Length time.Duration
	// Rate is the requests per second, 8 if zero.
	Rate    float64
	Variant Variant
	// Trace, if not nil, is sent instead of the built-in mix, in which model
	// requests and calls of plain services have equal shares.
	Trace []load.Entry
	// Place and Roles are the processes' policies to place requests on engines and
	// to assign roles to engines.
	Place place.Policy
	Roles roles.Policy
	// Edit, if set, changes the example's files before they are applied.
	Edit func(files []spec.File) []spec.File
	// Shape, if set, changes the stand-ins before they start.
	Shape func(s *scene.Scene)
	// OnCustom is called by events of the kind Custom.
	OnCustom func(s *scene.Scene)
	// Vendor, if set, is the vendor (see model.Vendors) of every engine.
	Vendor string
	// NoRetries disables the clients' retries of keyed calls.
	NoRetries bool
	// SkipConfigChecks disables the periodic checks for configurations that are
	// activated late or reverted, for long runs.
	SkipConfigChecks bool
	// ChangeDuration, if set, is how long an engine is out of service for an order.
	ChangeDuration time.Duration

	Scene *scene.Scene
	Hosts []*Host

	files      []spec.File
	deployment *spec.Deployment
	started    time.Time
	// ctx is the context of the run. It outlives single processes.
	ctx context.Context

	mu         sync.Mutex
	violations []judge.Violation
	// callFaults are the faults that are injected at calls.
	callFaults []*CallFault
	random     *rand.Rand
	// accepted has the time at which each version of the configuration was
	// accepted by the store.
	accepted map[uint64]time.Time
	// reserved has the engines that an event currently drains.
	reserved map[string]bool
	// outages are the periods in which the platform did not respond.
	outages []disruption
	// platformFaultUntil is when calls that began before the last change of the
	// platform's faults have ended. platformFaulty is set during a fault.
	platformFaultUntil time.Time
	platformFaulty     bool
	outcomes           []load.Outcome
	// processes are all processes that were started, in order.
	processes []*process
}

const (
	// Defaults of World's fields.
	defaultPerZone = 2
	defaultLength  = 40 * time.Second
	defaultRate    = 8

	// plainShare is the share of calls of plain services in the built-in mix.
	plainShare = 0.5
	// settleTime is how long the fleet runs without faults after the last
	// request, and how long goroutines may take to end after that.
	settleTime = 20 * time.Second
	// latency is the one-way network latency of a call.
	latency = time.Millisecond
	// port is the port of the peers' addresses.
	port = 8182
)

// Run runs a schedule and returns the violations that the checkers found. It is
// called once, in a synctest bubble.
func (w *World) Run(ctx context.Context, s Schedule) ([]judge.Violation, error) {
	if err := w.build(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.ctx = ctx
	w.callFaults = s.CallFaults
	w.Scene.Start(ctx)
	if err := w.applyInitial(ctx); err != nil {
		return nil, err
	}
	for _, h := range w.Hosts {
		h.start(ctx)
	}
	timer.Wait(ctx, 8*time.Second)
	var group sync.WaitGroup
	if !w.SkipConfigChecks {
		group.Go(func() { w.checkConfig(ctx) })
	}
	group.Go(func() { w.runEvents(ctx, s.Events) })
	w.runLoad(ctx)
	w.heal()
	timer.Wait(ctx, settleTime)
	cancel()
	for _, h := range w.Hosts {
		h.kill()
	}
	group.Wait()
	// Let the goroutines of the killed processes end.
	timer.Wait(context.Background(), settleTime)
	w.check()
	return w.violations, nil
}

// build parses the example and creates the hosts and the stand-ins.
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
	w.started = time.Now()
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
	if w.ChangeDuration > 0 {
		for _, e := range w.Scene.Engines {
			e.Vendor.OrderDuration = w.ChangeDuration
		}
	}
	return nil
}

// Preview returns an example deployment and its stand-in engines without running
// them, for experiments that choose a trace by the fleet's capacity.
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

// addHosts adds the entry VMs of each availability zone that has engines.
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

// applyInitial applies the example to the platform.
func (w *World) applyInitial(ctx context.Context) error {
	m, err := apply.Apply(ctx, w.Scene.Platform, w.files, apply.Request{Author: "first"})
	if err != nil {
		return fmt.Errorf("apply the example: %w", err)
	}
	w.accepted[m.Version] = time.Now()
	return nil
}

// runLoad sends the trace and waits for the responses.
func (w *World) runLoad(ctx context.Context) {
	trace := w.Trace
	if trace == nil {
		trace = load.Mix(w.deployment, load.Plan{Seed: w.Seed, Length: w.Length, Rate: w.Rate, PlainShare: plainShare})
	}
	runner := &load.Runner{
		Deployment: w.deployment, Client: w, Targets: len(w.Hosts), MaxRetries: 2,
		Live: func(i int) bool { return w.Hosts[i].ready() },
	}
	if w.NoRetries {
		runner.MaxRetries = 0
	}
	w.outcomes = runner.Run(ctx, trace).Outcomes
}

// Outcomes returns the outcomes of the requests. It is called after Run.
func (w *World) Outcomes() []load.Outcome { return w.outcomes }

// addViolation adds a violation that was found during the run.
func (w *World) addViolation(p judge.Promise, format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, judge.Violation{Promise: p, Detail: fmt.Sprintf("after %v: ", time.Since(w.started)) + fmt.Sprintf(format, arguments...)})
}

// Events returns the merged timelines of all processes that were started. It is
// called after Run.
func (w *World) Events(f trace.Filter) []trace.Event {
	var lines [][]trace.Event
	for _, p := range w.processes {
		lines = append(lines, p.node.Trace.Events(f))
	}
	return trace.Merge(lines...)
}
