// Package chaos injects faults into separate processes under load and checks
// that the system's invariants (the promises of package judge) hold.
//
// # Usage
//
//	report, err := chaos.Run(ctx, chaos.Options{
//		Cluster: cluster, Deployment: deployment, Length: 2 * time.Minute, Rate: 20,
//	})
//	fmt.Print(report)
//
// The faults are those that an operating system can cause: SIGKILL, SIGSTOP for
// longer than a lease, and connections that can't be made. Planned stops and
// changes of engines' roles are made meanwhile. The checkers of package judge
// examine the records of the stand-ins and the outcomes that the clients observed.
package chaos

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

// Options configures a run.
type Options struct {
	// Cluster is a started cluster whose nodes have the setting Cuts = Yes in the
	// section [Experiment].
	Cluster    *procs.Cluster
	Deployment *spec.Deployment
	// Length is how long requests are sent. No fault begins in the last 15 s.
	Length time.Duration
	// Rate is the requests per second.
	Rate float64
	// Seed is the seed of the load and of the choice of hosts.
	Seed uint64
}

const (
	// restartDelay is the time from the exit of a killed process to its restart.
	restartDelay = time.Second
	// pauseTime is longer than a lease.
	pauseTime     = 12 * time.Second
	partitionTime = 6 * time.Second
	// faultInterval is the time between the starts of two faults.
	faultInterval = 1100 * time.Millisecond
	// recoveryTime is the time without new faults at the end of the load.
	recoveryTime = 15 * time.Second
	// plainShare is the share of calls of plain services.
	plainShare = 0.4
	// minLive is the least number of processes without a fault at any time.
	minLive = 1
)

// Report is the result of a run.
type Report struct {
	Result *load.Result
	// Kills, Pauses, Partitions and PlannedStops count the faults and planned
	// stops of processes.
	Kills, Pauses, Partitions, PlannedStops int
	// RoleChanges counts the orders that engines received.
	RoleChanges int
	Violations  []judge.Violation
	// Unaffected and Affected are the goodput of requests whose entry VM had no
	// fault during the request, and of the others.
	Unaffected, Affected Goodput
}

// Goodput counts requests, and those with a complete and correct response within
// the deadline.
type Goodput struct{ InTime, Requests int }

// Share returns the share of requests in time, 0 if there were none.
func (g Goodput) Share() float64 { return float64(g.InTime) / float64(max(g.Requests, 1)) }

// run is a run in progress.
type run struct {
	Options
	report Report
	random *rand.Rand

	// mu guards the maps and the report's counts and violations until the end of
	// the load. Hosts are indices in Cluster.Nodes.
	mu sync.Mutex
	// faulty has the hosts with a fault or planned stop in progress.
	faulty map[int]bool
	// faultSpans has the periods in which a host had a fault or planned stop.
	faultSpans map[int][]span
	// stops has the times at which planned stops of a host began.
	stops map[int][]time.Time
	group sync.WaitGroup
}

// span is a period.
type span struct{ from, to time.Time }

// Run runs the load and the faults, waits until the last fault has ended, and
// runs the checkers. It returns an error if a stand-in's record can't be read;
// violations are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{Options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), faulty: map[int]bool{}, faultSpans: map[int][]span{}, stops: map[int][]time.Time{}}
	client := &load.HTTP{}
	for _, n := range o.Cluster.Nodes {
		client.Targets = append(client.Targets, n.ClientAddr())
	}
	trace := load.Mix(o.Deployment, load.Plan{Seed: o.Seed, Length: o.Length, Rate: o.Rate, PlainShare: plainShare})
	runner := &load.Runner{
		Deployment: o.Deployment, Client: client, Targets: len(client.Targets), MaxRetries: 2,
		Live: func(i int) bool { return !r.isFaulty(i) },
	}
	faults, cancel := context.WithTimeout(ctx, o.Length-recoveryTime)
	defer cancel()
	go r.injectFaults(faults)
	r.report.Result = runner.Run(ctx, trace)
	r.group.Wait()
	if err := r.check(); err != nil {
		return nil, err
	}
	return &r.report, nil
}

// isFaulty reports whether host i has a fault or isn't running.
func (r *run) isFaulty(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faulty[i] || !r.Cluster.Nodes[i].Running()
}

// injectFaults starts a fault or planned stop of a random host every
// faultInterval, and a change of an engine's role at every tenth, until ctx ends.
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

// pick marks a random host without a fault as faulty and returns it. It returns
// false if no more than minLive are left.
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

// release ends the fault of a host. The recorded period ends a second later.
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

// kill kills a process and starts another after restartDelay.
func (r *run) kill(ctx context.Context, i int) {
	r.count(&r.report.Kills)
	_ = r.Cluster.Signal(i, syscall.SIGKILL)
	if _, err := r.Cluster.Await(i, time.Second); err != nil {
		return
	}
	timer.Wait(ctx, restartDelay)
	r.restart(ctx, i)
}

// readyTimeout is how long a restarted process may take to be ready.
const readyTimeout = 15 * time.Second

// restart starts a process and waits until it is ready.
func (r *run) restart(ctx context.Context, i int) {
	if err := r.Cluster.StartNode(i); err != nil {
		return
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && !r.Cluster.Ready(i); {
		timer.Wait(ctx, 50*time.Millisecond)
	}
}

// pause pauses a process for pauseTime.
func (r *run) pause(ctx context.Context, i int) {
	r.count(&r.report.Pauses)
	_ = r.Cluster.Signal(i, syscall.SIGSTOP)
	timer.Wait(ctx, pauseTime)
	_ = r.Cluster.Signal(i, syscall.SIGCONT)
}

// partition makes the platform and the peers unreachable for a process, for
// partitionTime. Only calls that the process makes are blocked.
func (r *run) partition(ctx context.Context, i int) {
	r.count(&r.report.Partitions)
	node := r.Cluster.Nodes[i]
	blocked := []string{r.Cluster.Platform.Addr().String()}
	for k, n := range r.Cluster.Nodes {
		if k != i {
			blocked = append(blocked, n.Addr.String())
		}
	}
	_ = procs.Put(node.OperatorAddr(), "/experiment/cuts", []byte(strings.Join(blocked, ",")))
	timer.Wait(ctx, partitionTime)
	_ = procs.Put(node.OperatorAddr(), "/experiment/cuts", nil)
}

// stopTimeout is how long a planned stop may take under this load.
const stopTimeout = 40 * time.Second

// plannedStop stops a process by SIGTERM, checks that it exits in time with the
// code 0, and starts another.
func (r *run) plannedStop(ctx context.Context, i int) {
	r.count(&r.report.PlannedStops)
	r.mu.Lock()
	r.stops[i] = append(r.stops[i], time.Now())
	r.mu.Unlock()
	_ = r.Cluster.Signal(i, syscall.SIGTERM)
	code, err := r.Cluster.Await(i, stopTimeout)
	if err != nil || code != 0 {
		r.addViolation(judge.NoCutByPlannedStop, fmt.Sprintf("%s: exit code %d, %v", r.Cluster.Nodes[i].Name, code, err))
	}
	r.restart(ctx, i)
}

func (r *run) addViolation(p judge.Promise, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, judge.Violation{Promise: p, Detail: detail})
}

// changeRole applies a configuration in which one more engine has the role
// Prefill instead of Mixed, with the operators' command. n selects the engine.
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

// check runs the checkers on the records of the stand-ins and the outcomes that
// the clients observed.
func (r *run) check() error {
	var runs []plain.Run
	add := func(list []judge.Violation) { r.report.Violations = append(r.report.Violations, list...) }
	truncated := map[string]bool{}
	for _, b := range r.Deployment.Servers {
		if !b.Engine() {
			var recorded []plain.Run
			if err := fetch(b.Address, plain.SeenPath, &recorded); err != nil {
				return err
			}
			runs = append(runs, recorded...)
			continue
		}
		var recorded model.Record
		if err := fetch(b.Address, model.SeenPath, &recorded); err != nil {
			return err
		}
		r.report.RoleChanges += len(recorded.Orders)
		add(judge.OrderViolations(b.Name, recorded.Orders))
		for _, id := range recorded.Cut {
			truncated[id] = true
		}
	}
	outcomes := r.report.Result.Outcomes
	add(judge.RunTwice(runs))
	add(judge.FalseNotRun(outcomes, runs))
	add(judge.FalseSuccess(outcomes, runs))
	add(judge.WrongResponses(outcomes))
	add(judge.TruncatedByOrders(outcomes, truncated, r.excused))
	for _, o := range outcomes {
		goodput := &r.report.Unaffected
		if r.excused(o) {
			goodput = &r.report.Affected
		}
		goodput.Requests++
		if o.InTime() {
			goodput.InTime++
		}
		if (o.Truncated || o.ConnectionLost) && r.truncatedByStop(o) {
			add([]judge.Violation{{Promise: judge.NoCutByPlannedStop, Detail: fmt.Sprintf("request %d (%s) to %s ended early: %v", o.Number, o.ID, r.Cluster.Nodes[o.Target].Name, o.Err)}})
		}
		if o.Truncated && !r.excused(o) {
			add([]judge.Violation{{Promise: judge.WholeAnswerToItsCaller, Detail: fmt.Sprintf("request %d (%s) to %s ended early: %v", o.Number, o.ID, r.Cluster.Nodes[o.Target].Name, o.Err)}})
		}
	}
	return nil
}

// truncatedByStop reports whether the request was active when a planned stop of
// its entry VM began, and no earlier fault of the VM overlapped the request.
func (r *run) truncatedByStop(o load.Outcome) bool {
	for _, at := range r.stops[o.Target] {
		if !o.Began.Before(at) || o.Began.Add(o.Total).Before(at) {
			continue
		}
		for _, s := range r.faultSpans[o.Target] {
			// The span of the stop itself begins within a second before it.
			if s.from.Before(at.Add(-time.Second)) && s.to.After(o.Began) {
				return false
			}
		}
		return true
	}
	return false
}

// excused reports whether the request's entry VM had a fault or planned stop
// during the request.
func (r *run) excused(o load.Outcome) bool {
	for _, s := range r.faultSpans[o.Target] {
		if s.from.Before(o.Began.Add(o.Total)) && s.to.After(o.Began) {
			return true
		}
	}
	return false
}

// fetch gets and decodes the record of a stand-in.
func fetch(address netip.AddrPort, path string, value any) error {
	body, err := procs.Read(address, path)
	if err != nil {
		return fmt.Errorf("read record of %s: %w", address, err)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("read record of %s: %w", address, err)
	}
	return nil
}

// unchecked has the promises that this package has no checker for. Package fault
// checks them in virtual time.
var unchecked = map[judge.Promise]bool{
	judge.NoWorkAfterLeaving: true, judge.ConfigInForceInTime: true, judge.ConfigNeverReverts: true,
}

// String formats the report.
func (r *Report) String() string {
	var text strings.Builder
	text.WriteString(load.Table(r.Result.Rows()))
	fmt.Fprintf(&text, "\nkills %d, pauses over a lease %d, partitions %d, planned stops %d, orders to engines %d\n", r.Kills, r.Pauses, r.Partitions, r.PlannedStops, r.RoleChanges)
	fmt.Fprintf(&text, "in time: %.1f%% of %d requests to entry VMs without a fault, %.1f%% of %d to those with one\n\n",
		100*r.Unaffected.Share(), r.Unaffected.Requests, 100*r.Affected.Share(), r.Affected.Requests)
	for _, p := range judge.Promises {
		if unchecked[p] {
			fmt.Fprintf(&text, "%-26s not checked here\n", p)
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
