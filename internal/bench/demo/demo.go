// Package demo runs the whole system in one process: the stand-ins, several
// processes of the system on loopback, a deployment, a load, and a planned
// change half-way through the load.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Options{Deployment: "Malabar", Length: 20 * time.Second, Progress: os.Stderr})
//	fmt.Print(report)
//	if report.Broken() { ... }
//
// Whether the promises of package judge were kept is determined from the clients'
// outcomes and the records of the stand-ins, never from what the system reports
// about itself.
package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	sample "ebonyscale.example/ebonyscale/examples"
	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/node/proc"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/stand/plain"
	"ebonyscale.example/ebonyscale/internal/stand/scene"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Options are the options of a demo.
type Options struct {
	// Deployment is the name of an example deployment.
	Deployment string
	// Length is how long requests are sent.
	Length time.Duration
	// Progress, if not nil, gets a line each second.
	Progress io.Writer
	Seed     uint64
	// Rate is the number of requests per second, DefaultRate if 0.
	Rate float64
}

// Parameters of the demo.
const (
	// nodesPerZone is the number of entry VMs in each availability zone.
	nodesPerZone = 2
	// readyTimeout is how long the processes may take to be ready.
	readyTimeout = 15 * time.Second
	clientPort   = 8180
	operatorPort = 8181
	peerPort     = 8182
	platformPort = 7000
	// plainShare is the share of calls of plain services.
	plainShare = 0.3
	// platformReads and platformWrites are the platform's rate limits in calls
	// per second.
	platformReads,
	platformWrites = 2000, 300
	// changeTimeout is how long the demo waits for the planned change after the
	// load.
	changeTimeout = 30 * time.Second
)

// DefaultRate is the default number of requests per second.
const DefaultRate = 24

// Demo is a running demo.
type Demo struct {
	Files      []spec.File
	Deployment *spec.Deployment
	Scene      *scene.Scene
	Processes  []*proc.Process

	options Options
	// network is the third byte of the loopback addresses 127.0.network.host.
	network int
	report  *Report
}

// Run runs a demo. It listens on the loopback addresses of the example, so that
// two demos of the same deployment cannot run at the same time.
func Run(ctx context.Context, o Options) (*Report, error) {
	d, err := build(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	defer d.Scene.Close()
	if err := d.drive(ctx); err != nil {
		return nil, err
	}
	d.check()
	return d.report, nil
}

// build reads the example and creates its stand-ins, without starting anything.
func build(o Options) (*Demo, error) {
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	files, err := sample.Files(o.Deployment)
	if err != nil {
		return nil, err
	}
	deployment, err := spec.Parse(files)
	if err != nil {
		return nil, fmt.Errorf("example %s: %w", o.Deployment, err)
	}
	d := &Demo{Files: files, Deployment: deployment, options: o}
	// Each example deployment has a loopback network of its own.
	d.network = int(deployment.Servers[0].Address.Addr().As4()[2])
	d.report = &Report{Deployment: o.Deployment}
	d.Scene = &scene.Scene{
		Deployment: deployment, PlatformAddress: d.address(250, platformPort), Writes: platformWrites, Reads: platformReads,
		ReportLag: 200 * time.Millisecond, ListLag: time.Second, Seed: o.Seed,
	}
	return d, nil
}

// address returns an address in the demo's loopback network.
func (d *Demo) address(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(d.network), byte(host)}), uint16(port))
}

// zones returns the availability zones in the order in which the engines are
// declared.
func zones(d *spec.Deployment) []string {
	var list []string
	for _, b := range d.Servers {
		if b.Engine() && (len(list) == 0 || list[len(list)-1] != b.AvailabilityZone) {
			list = append(list, b.AvailabilityZone)
		}
	}
	return list
}

// start starts the stand-ins, applies the deployment, starts the processes, and
// waits until they are ready.
func (d *Demo) start(ctx context.Context) error {
	for z, zone := range zones(d.Deployment) {
		for i := range nodesPerZone {
			host := 200 + z*nodesPerZone + i
			name := fmt.Sprintf("entry-%d", host-199)
			d.Scene.Entries = append(d.Scene.Entries, store.VM{Name: name, AvailabilityZone: zone, Address: d.address(host, 0).Addr(), Entry: true})
		}
	}
	if err := d.Scene.Listen(scene.Everything); err != nil {
		return fmt.Errorf("start stand-ins: %w", err)
	}
	d.Scene.Start(ctx)
	client := &store.Client{Address: d.Scene.PlatformAddress}
	if _, err := apply.Apply(ctx, client, d.Files, apply.Request{Author: "demo"}); err != nil {
		return fmt.Errorf("apply the example: %w", err)
	}
	for i, vm := range d.Scene.Entries {
		if err := d.startProcess(ctx, i, vm); err != nil {
			return fmt.Errorf("start %s: %w", vm.Name, err)
		}
	}
	return d.awaitReady(ctx)
}

// startProcess starts the process of an entry VM with the index i.
func (d *Demo) startProcess(ctx context.Context, i int, vm store.VM) error {
	settings := setup.Default()
	settings.Node = setup.Node{Name: vm.Name, AvailabilityZone: vm.AvailabilityZone, Deployment: d.Deployment.Name}
	settings.Addresses = setup.Addresses{
		Callers: netip.AddrPortFrom(vm.Address, clientPort), Operators: netip.AddrPortFrom(vm.Address, operatorPort), Peers: netip.AddrPortFrom(vm.Address, peerPort),
	}
	settings.Platform.Address = d.Scene.PlatformAddress
	settings.Platform.ListEvery = time.Second
	p := &proc.Process{Settings: settings, Log: zap.NewNop(), Level: zap.NewAtomicLevel(), Seed: d.options.Seed + uint64(i)}
	if err := p.Listen(); err != nil {
		return err
	}
	d.Processes = append(d.Processes, p)
	go func() { _ = p.Run(ctx) }()
	return nil
}

// awaitReady waits until all processes are ready and have reports of the engines.
func (d *Demo) awaitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for _, p := range d.Processes {
		for !p.Node.Ready() {
			if time.Now().After(end) || !timer.Wait(ctx, 20*time.Millisecond) {
				return fmt.Errorf("%s is not ready after %v", p.Settings.Node.Name, readyTimeout)
			}
		}
	}
	// The first status reports of the engines reach all processes within one or
	// two gossip periods.
	timer.Wait(ctx, 2*time.Second)
	return nil
}

// drive sends the load and makes the planned change half-way.
func (d *Demo) drive(ctx context.Context) error {
	length := d.options.Length
	trace := load.Mix(d.Deployment, load.Plan{
		Seed: d.options.Seed, Length: length, Rate: d.options.Rate, PlainShare: plainShare,
		LongPromptShare: func(at time.Duration) float64 {
			// The mix shifts from long prompts to long outputs and back.
			if at > length/3 && at < 2*length/3 {
				return 0.2
			}
			return 0.6
		},
	})
	sender := &load.HTTP{}
	for _, p := range d.Processes {
		sender.Targets = append(sender.Targets, p.Settings.Addresses.Callers)
	}
	runner := &load.Runner{Deployment: d.Deployment, Client: sender, Targets: len(sender.Targets)}
	progress := d.progress(ctx, len(trace))
	runner.Done = progress.add
	changed := make(chan error, 1)
	go func() {
		timer.Wait(ctx, length/2)
		changed <- d.change(ctx)
	}()
	d.report.Result = runner.Run(ctx, trace)
	d.report.runsOfLoad = judge.Runs(d.Scene.Plains)
	d.report.Replays = d.replayKeyed(ctx, sender, trace)
	err := <-changed
	progress.stop()
	return err
}

// replayKeyed retries the keyed requests at other entry VMs, as clients do that
// did not get a response. The system must replay the stored responses.
func (d *Demo) replayKeyed(ctx context.Context, sender *load.HTTP, trace []load.Entry) *load.Result {
	rotated := &load.HTTP{Targets: append(sender.Targets[1:len(sender.Targets):len(sender.Targets)], sender.Targets[0])}
	runner := &load.Runner{Deployment: d.Deployment, Client: rotated, Targets: len(rotated.Targets)}
	result := &load.Result{}
	for i, e := range trace {
		if e.Kind() == load.Write {
			e.At = 0
			runner.Base = i
			result.Outcomes = append(result.Outcomes, runner.Run(ctx, []load.Entry{e}).Outcomes...)
		}
	}
	return result
}

// change drains the first engine and changes the role of the second, through the
// interfaces of operators, and waits until the second has its new role.
func (d *Demo) change(ctx context.Context) error {
	var engines []spec.BackendServer
	for _, b := range d.Deployment.Servers {
		if b.Engine() {
			engines = append(engines, b)
		}
	}
	d.report.DrainedEngine, d.report.ChangedEngine = engines[0].Name, engines[1].Name
	node := d.Processes[0].Node
	if _, err := node.Drain(ctx, &wire.DrainQuery{Name: engines[0].Name, Leaving: true}); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	d.report.drainedAt = time.Now()
	files := changeRole(d.Files, engines[1].Name)
	client := &store.Client{Address: d.Scene.PlatformAddress}
	if _, err := apply.Apply(ctx, client, files, apply.Request{Base: 1, Author: "demo"}); err != nil {
		return fmt.Errorf("apply the change: %w", err)
	}
	d.report.appliedAt = time.Now()
	end := time.Now().Add(d.options.Length/2 + changeTimeout)
	for time.Now().Before(end) && timer.Wait(ctx, 50*time.Millisecond) {
		if d.allActive(2) && d.report.ActiveAfter == 0 {
			d.report.ActiveAfter = time.Since(d.report.appliedAt)
		}
		report, err := d.Scene.Engines[engines[1].Name].Report(ctx, engine.NoEvents)
		if err == nil && report.Role == spec.Prefill && !report.Changing {
			d.report.RoleChangeAfter = time.Since(d.report.appliedAt)
			return nil
		}
	}
	return nil
}

// allActive reports whether the configuration version, or a newer one, is active
// at every process.
func (d *Demo) allActive(version uint64) bool {
	for _, p := range d.Processes {
		if p.Node.Config.Version() < version {
			return false
		}
	}
	return true
}

// changeRole returns the files with the engine's role changed to Prefill.
func changeRole(files []spec.File, name string) []spec.File {
	var changed []spec.File
	for _, f := range files {
		before, after, ok := bytes.Cut(f.Data, []byte("[BackendServer "+name+"]"))
		if ok {
			after = bytes.Replace(after, []byte("Role = Mixed"), []byte("Role = Prefill"), 1)
			f.Data = []byte(string(before) + "[BackendServer " + name + "]" + string(after))
		}
		changed = append(changed, f)
	}
	return changed
}

// progressLine prints the progress of the load once a second. Closing quit ends
// its goroutine, which closes stopped.
type progressLine struct {
	outcomes chan load.Outcome
	quit     chan struct{}
	stopped  chan struct{}
}

// add counts the outcome of a request.
func (p *progressLine) add(o load.Outcome) { p.outcomes <- o }

// stop ends the progress line and waits for its goroutine.
func (p *progressLine) stop() {
	close(p.quit)
	<-p.stopped
}

// progress starts a progress line for a load of total requests.
func (d *Demo) progress(ctx context.Context, total int) *progressLine {
	p := &progressLine{outcomes: make(chan load.Outcome, total+1), quit: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(p.stopped)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		var ended, complete int
		for {
			select {
			case o := <-p.outcomes:
				ended++
				if o.Complete {
					complete++
				}
			case <-ticker.C:
				if d.options.Progress != nil {
					fmt.Fprintf(d.options.Progress, "%4d of %d requests ended, %d whole\n", ended, total, complete)
				}
			case <-p.quit:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return p
}

// check applies the checkers of package judge to the clients' outcomes and the
// records of the stand-ins.
func (d *Demo) check() {
	r := d.report
	r.checkPlains(judge.Runs(d.Scene.Plains))
	for name, e := range d.Scene.Engines {
		record := e.Recorded()
		r.RoleChanges += len(record.Orders)
		r.MovedByOrders += len(record.Cut)
		r.Violations = append(r.Violations, judge.OrderViolations(name, record.Orders)...)
		if name == r.DrainedEngine {
			noneExcused := func(string, time.Time) bool { return false }
			r.Violations = append(r.Violations, judge.AfterLeaving(name, r.drainedAt, record.Started, noneExcused)...)
		}
	}
}

// checkPlains checks the promises about plain services. runs are the executions of the load
// and of the replays.
func (r *Report) checkPlains(runs []plain.Run) {
	outcomes := slices.Concat(r.Result.Outcomes, r.Replays.Outcomes)
	r.Violations = append(r.Violations, judge.RunTwice(runs)...)
	// A request of the load that was refused may run when it is replayed.
	r.Violations = append(r.Violations, judge.FalseNotRun(r.Result.Outcomes, r.runsOfLoad)...)
	r.Violations = append(r.Violations, judge.FalseSuccess(outcomes, runs)...)
	r.Violations = append(r.Violations, judge.WrongResponses(outcomes)...)
}
