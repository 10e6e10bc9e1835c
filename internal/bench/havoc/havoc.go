// Package havoc strikes separate processes with failures while a load runs, and
// looks for broken promises.
//
// # Usage
//
//	report, err := havoc.Run(ctx, havoc.Options{Cluster: cluster, Length: 2 * time.Minute})
//	fmt.Print(report)
//
// The failures are those that an operating system can bring about: SIGKILL,
// SIGSTOP for longer than a lease, and connections that cannot be made. The
// checkers of package judge read what the stand-ins and the callers saw.
package havoc

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/bench/procs"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/stand/model"
	"ebonyscale.example/ebonyscale/internal/stand/plain"
)

// Options are the options of a run.
type Options struct {
	Cluster    *procs.Cluster
	Deployment *spec.Deployment
	Length     time.Duration
	Rate       float64
	Seed       uint64
}

// Timing of the failures.
const (
	restartDelay = time.Second
	// pauseTime is longer than a lease.
	pauseTime     = 12 * time.Second
	partitionTime = 6 * time.Second
	// faultInterval is the time between two failures.
	faultInterval = 1100 * time.Millisecond
	// recoveryTime is left at the end without failures.
	recoveryTime = 15 * time.Second
	plainShare   = 0.4
	// minLive is how many processes are always left alone.
	minLive = 1
)

// Report is what a run showed.
type Report struct {
	Result                                  *load.Result
	Kills, Pauses, Partitions, PlannedStops int
	RoleChanges                             int
	Violations                              []judge.Violation
	// Unaffected and Struck are the parts of requests answered in time while no
	// process was struck, and while one was.
	Unaffected, Affected Goodput
}

// Goodput counts requests.
type Goodput struct{ InTime, Requests int }

// Share returns the part in time.
func (p Goodput) Share() float64 { return float64(p.InTime) / float64(max(p.Requests, 1)) }

type run struct {
	Options
	report Report
	random *rand.Rand

	mu sync.Mutex
	// faulty has the hosts that are struck.
	faulty map[int]bool
	// faultSpans has the times in which a host was struck, by host.
	faultSpans map[int][]span
	// stops has when each host was told to stop, by host.
	stops map[int][]time.Time
	group sync.WaitGroup
}

type span struct{ from, to time.Time }

// Run runs the load and the failures.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{Options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), faulty: map[int]bool{}, faultSpans: map[int][]span{}, stops: map[int][]time.Time{}}
	door := &load.HTTP{}
	for _, n := range o.Cluster.Nodes {
		door.Targets = append(door.Targets, n.Callers())
	}
	trace := load.Mix(o.Deployment, load.Plan{Seed: o.Seed, Length: o.Length, Rate: o.Rate, PlainShare: plainShare})
	runner := &load.Runner{
		Deployment: o.Deployment, Door: door, Targets: len(door.Targets), Repeats: 2,
		Live: func(i int) bool { return !r.isFaulty(i) },
	}
	strikes, stop := context.WithTimeout(ctx, o.Length-recoveryTime)
	defer stop()
	go r.injectFaults(strikes)
	r.report.Result = runner.Run(ctx, trace)
	r.group.Wait()
	if err := r.check(); err != nil {
		return nil, err
	}
	return &r.report, nil
}

func (r *run) isFaulty(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faulty[i] || !r.Cluster.Nodes[i].Running()
}

// injectFaults begins a failure now and then.
func (r *run) injectFaults(ctx context.Context) {
	kinds := []func(ctx context.Context, i int){r.kill, r.pause, r.kill, r.pause, r.partition, r.kill, r.pause, r.partition, r.plannedStop}
	for n := 0; timer.Wait(ctx, faultInterval); n++ {
		if n%10 == 3 {
			r.group.Go(func() { r.changeRole(n) })
		}
		i, ok := r.pick()
		if !ok {
			continue
		}
		kind := kinds[n%len(kinds)]
		r.group.Go(func() {
			from := time.Now()
			kind(context.WithoutCancel(ctx), i)
			r.release(i, from)
		})
	}
}

// pick takes a host that is not struck, and leaves enough alone.
func (r *run) pick() (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var free []int
	for i := range r.Cluster.Nodes {
		if !r.faulty[i] {
			free = append(free, i)
		}
	}
	if len(free) <= minLive {
		return 0, false
	}
	i := free[r.random.IntN(len(free))]
	r.faulty[i] = true
	return i, true
}

func (r *run) release(i int, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faulty[i] = false
	r.faultSpans[i] = append(r.faultSpans[i], span{from, time.Now().Add(time.Second)})
}

func (r *run) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

func (r *run) kill(ctx context.Context, i int) {
	r.count(&r.report.Kills)
	_ = r.Cluster.Signal(i, syscall.SIGKILL)
	if _, err := r.Cluster.Await(i, time.Second); err != nil {
		return
	}
	timer.Wait(ctx, restartDelay)
	r.restart(ctx, i)
}

// readyWithin is how long a process may take to be ready again.
const readyWithin = 15 * time.Second

func (r *run) restart(ctx context.Context, i int) {
	if err := r.Cluster.StartNode(i); err != nil {
		return
	}
	for end := time.Now().Add(readyWithin); time.Now().Before(end) && !r.Cluster.Ready(i); {
		timer.Wait(ctx, 50*time.Millisecond)
	}
}

func (r *run) pause(ctx context.Context, i int) {
	r.count(&r.report.Pauses)
	_ = r.Cluster.Signal(i, syscall.SIGSTOP)
	timer.Wait(ctx, pauseTime)
	_ = r.Cluster.Signal(i, syscall.SIGCONT)
}

// partition makes the platform and the other processes unreachable for a host, and it
// for them.
func (r *run) partition(ctx context.Context, i int) {
	r.count(&r.report.Partitions)
	node := r.Cluster.Nodes[i]
	others := []string{r.Cluster.Platform.Addr().String()}
	for k, n := range r.Cluster.Nodes {
		if k != i {
			others = append(others, n.Addr.String())
		}
	}
	_ = procs.Put(node.OperatorAddr(), "/experiment/cuts", []byte(strings.Join(others, ",")))
	timer.Wait(ctx, partitionTime)
	_ = procs.Put(node.OperatorAddr(), "/experiment/cuts", nil)
}

// stopWithin is how long a planned stop may take under this load.
const stopWithin = 40 * time.Second

func (r *run) plannedStop(ctx context.Context, i int) {
	r.count(&r.report.PlannedStops)
	r.mu.Lock()
	r.stops[i] = append(r.stops[i], time.Now())
	r.mu.Unlock()
	_ = r.Cluster.Signal(i, syscall.SIGTERM)
	code, err := r.Cluster.Await(i, stopWithin)
	if err != nil || code != 0 {
		r.addViolation(judge.NoCutByPlannedStop, fmt.Sprintf("%s: exit code %d, %v", r.Cluster.Nodes[i].Name, code, err))
	}
	r.restart(ctx, i)
}

func (r *run) addViolation(p judge.Promise, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, judge.Violation{Promise: p, What: what})
}

// changeRole applies a change of an engine's role by the operators' tool.
func (r *run) changeRole(n int) {
	directory, err := os.MkdirTemp(r.Cluster.Directory, "change")
	if err != nil {
		return
	}
	paths, _ := filepath.Glob(filepath.Join(r.Cluster.Deployment, "*.ini"))
	var engines []string
	for _, b := range r.Deployment.Servers {
		if b.Engine() {
			engines = append(engines, b.Name)
		}
	}
	name := engines[n/10%len(engines)]
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return
		}
		before, after, ok := strings.Cut(string(data), "[BackendServer "+name+"]")
		if ok {
			after = strings.Replace(after, "Role = Mixed", "Role = Prefill", 1)
			data = []byte(before + "[BackendServer " + name + "]" + after)
		}
		if err := os.WriteFile(filepath.Join(directory, filepath.Base(path)), data, 0o644); err != nil {
			return
		}
	}
	_ = exec.Command(r.Cluster.Product, "apply", "-platform", r.Cluster.Platform.String(), directory).Run()
}

// check reads what the stand-ins and the callers saw.
func (r *run) check() error {
	var runs []plain.Run
	add := func(list []judge.Violation) { r.report.Violations = append(r.report.Violations, list...) }
	cut := map[string]bool{}
	for _, b := range r.Deployment.Servers {
		if !b.Engine() {
			var seen []plain.Run
			if err := fetch(b.Address, plain.SeenPath, &seen); err != nil {
				return err
			}
			runs = append(runs, seen...)
			continue
		}
		var seen model.Record
		if err := fetch(b.Address, model.SeenPath, &seen); err != nil {
			return err
		}
		r.report.RoleChanges += len(seen.Orders)
		add(judge.Orders(b.Name, seen.Orders))
		for _, id := range seen.Cut {
			cut[id] = true
		}
	}
	outcomes := r.report.Result.Outcomes
	add(judge.RunTwice(runs))
	add(judge.FalseNotRun(outcomes, runs))
	add(judge.SaidRun(outcomes, runs))
	add(judge.Answers(outcomes))
	add(judge.CutByOrders(outcomes, cut, r.excused))
	for _, o := range outcomes {
		part := &r.report.Unaffected
		if r.excused(o) {
			part = &r.report.Affected
		}
		part.Requests++
		if o.InTime() {
			part.InTime++
		}
		if (o.Cut || o.Lost) && r.truncatedByStop(o) {
			add([]judge.Violation{{Promise: judge.NoCutByPlannedStop, What: fmt.Sprintf("request %d (%s) to %s was cut: %v", o.Number, o.ID, r.Cluster.Nodes[o.Target].Name, o.Err)}})
		}
		if o.Cut && !r.excused(o) {
			add([]judge.Violation{{Promise: judge.WholeAnswerToItsCaller, What: fmt.Sprintf("request %d (%s) to %s was cut: %v", o.Number, o.ID, r.Cluster.Nodes[o.Target].Name, o.Err)}})
		}
	}
	return nil
}

// truncatedByStop reports whether the request was under way when its entry VM was told
// to stop, and nothing else struck that before.
func (r *run) truncatedByStop(o load.Outcome) bool {
	for _, at := range r.stops[o.Target] {
		if !o.Began.Before(at) || o.Began.Add(o.Total).Before(at) {
			continue
		}
		for _, s := range r.faultSpans[o.Target] {
			if s.from.Before(at.Add(-time.Second)) && s.to.After(o.Began) {
				return false
			}
		}
		return true
	}
	return false
}

// excused reports whether the request's own entry VM was struck meanwhile.
func (r *run) excused(o load.Outcome) bool {
	for _, s := range r.faultSpans[o.Target] {
		if s.from.Before(o.Began.Add(o.Total)) && s.to.After(o.Began) {
			return true
		}
	}
	return false
}

func fetch(address netip.AddrPort, path string, value any) error {
	body, err := procs.Read(address, path)
	if err != nil {
		return fmt.Errorf("read what %s saw: %w", address, err)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("read what %s saw: %w", address, err)
	}
	return nil
}

// unchecked has the promises that no checker of this package looks at; package
// fault does, in virtual time.
var unchecked = map[judge.Promise]bool{
	judge.NoWorkAfterLeaving: true, judge.ConfigInForceInTime: true, judge.ConfigNeverReverts: true,
}

// String formats the report.
func (r *Report) String() string {
	var text strings.Builder
	text.WriteString(load.Table(r.Result.Rows()))
	fmt.Fprintf(&text, "\nkills %d, pauses over a lease %d, cuts %d, planned stops %d, orders at engines %d\n", r.Kills, r.Pauses, r.Partitions, r.PlannedStops, r.RoleChanges)
	fmt.Fprintf(&text, "in time: %.1f%% of %d requests at entry VMs left alone, %.1f%% of %d at struck ones\n\n",
		100*r.Unaffected.Share(), r.Unaffected.Requests, 100*r.Affected.Share(), r.Affected.Requests)
	for _, p := range judge.Promises {
		if unchecked[p] {
			fmt.Fprintf(&text, "%-26s not judged here\n", p)
			continue
		}
		n := 0
		for _, v := range r.Violations {
			if v.Promise == p {
				n++
			}
		}
		fmt.Fprintf(&text, "%-26s %d violations\n", p, n)
	}
	for i, v := range r.Violations {
		if i < 20 {
			fmt.Fprintln(&text, v)
		}
	}
	return text.String()
}
