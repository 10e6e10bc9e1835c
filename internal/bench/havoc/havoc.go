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
	killedFor = time.Second
	// pausedFor is longer than a lease.
	pausedFor = 12 * time.Second
	cutFor    = 6 * time.Second
	// every is the time between two failures.
	every = 1100 * time.Millisecond
	// recoverFor is left at the end without failures.
	recoverFor = 15 * time.Second
	plainShare = 0.4
	// leastLive is how many processes are always left alone.
	leastLive = 1
)

// Report is what a run showed.
type Report struct {
	Result                    *load.Result
	Kills, Pauses, Cuts, Stop int
	RoleChanges               int
	Violations                []judge.Violation
	// Quiet and Struck are the parts of requests answered in time while no
	// process was struck, and while one was.
	Quiet, Struck Part
}

// Part counts requests.
type Part struct{ InTime, Requests int }

// Share returns the part in time.
func (p Part) Share() float64 { return float64(p.InTime) / float64(max(p.Requests, 1)) }

type run struct {
	Options
	report Report
	random *rand.Rand

	mu sync.Mutex
	// busy has the hosts that are struck.
	busy map[int]bool
	// struck has the times in which a host was struck, by host.
	struck map[int][]span
	// stops has when each host was told to stop, by host.
	stops map[int][]time.Time
	group sync.WaitGroup
}

type span struct{ from, to time.Time }

// Run runs the load and the failures.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{Options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), busy: map[int]bool{}, struck: map[int][]span{}, stops: map[int][]time.Time{}}
	door := &load.HTTP{}
	for _, n := range o.Cluster.Nodes {
		door.Targets = append(door.Targets, n.Callers())
	}
	trace := load.Mix(o.Deployment, load.Plan{Seed: o.Seed, Length: o.Length, Rate: o.Rate, PlainShare: plainShare})
	runner := &load.Runner{
		Deployment: o.Deployment, Door: door, Targets: len(door.Targets), Repeats: 2,
		Live: func(i int) bool { return !r.isBusy(i) },
	}
	strikes, stop := context.WithTimeout(ctx, o.Length-recoverFor)
	defer stop()
	go r.strike(strikes)
	r.report.Result = runner.Run(ctx, trace)
	r.group.Wait()
	if err := r.judge(); err != nil {
		return nil, err
	}
	return &r.report, nil
}

func (r *run) isBusy(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy[i] || !r.Cluster.Nodes[i].Running()
}

// strike begins a failure now and then.
func (r *run) strike(ctx context.Context) {
	kinds := []func(ctx context.Context, i int){r.kill, r.pause, r.kill, r.pause, r.cut, r.kill, r.pause, r.cut, r.plannedStop}
	for n := 0; timer.Wait(ctx, every); n++ {
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
		if !r.busy[i] {
			free = append(free, i)
		}
	}
	if len(free) <= leastLive {
		return 0, false
	}
	i := free[r.random.IntN(len(free))]
	r.busy[i] = true
	return i, true
}

func (r *run) release(i int, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy[i] = false
	r.struck[i] = append(r.struck[i], span{from, time.Now().Add(time.Second)})
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
	timer.Wait(ctx, killedFor)
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
	timer.Wait(ctx, pausedFor)
	_ = r.Cluster.Signal(i, syscall.SIGCONT)
}

// cut makes the platform and the other processes unreachable for a host, and it
// for them.
func (r *run) cut(ctx context.Context, i int) {
	r.count(&r.report.Cuts)
	node := r.Cluster.Nodes[i]
	others := []string{r.Cluster.Platform.Addr().String()}
	for k, n := range r.Cluster.Nodes {
		if k != i {
			others = append(others, n.Addr.String())
		}
	}
	_ = procs.Put(node.Operators(), "/experiment/cuts", []byte(strings.Join(others, ",")))
	timer.Wait(ctx, cutFor)
	_ = procs.Put(node.Operators(), "/experiment/cuts", nil)
}

// stopWithin is how long a planned stop may take under this load.
const stopWithin = 40 * time.Second

func (r *run) plannedStop(ctx context.Context, i int) {
	r.count(&r.report.Stop)
	r.mu.Lock()
	r.stops[i] = append(r.stops[i], time.Now())
	r.mu.Unlock()
	_ = r.Cluster.Signal(i, syscall.SIGTERM)
	code, err := r.Cluster.Await(i, stopWithin)
	if err != nil || code != 0 {
		r.violate(judge.NoCutByPlannedStop, fmt.Sprintf("%s: exit code %d, %v", r.Cluster.Nodes[i].Name, code, err))
	}
	r.restart(ctx, i)
}

func (r *run) violate(p judge.Promise, what string) {
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

// judge reads what the stand-ins and the callers saw.
func (r *run) judge() error {
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
		part := &r.report.Quiet
		if r.excused(o) {
			part = &r.report.Struck
		}
		part.Requests++
		if o.InTime() {
			part.InTime++
		}
		if (o.Cut || o.Lost) && r.stopped(o) {
			add([]judge.Violation{{Promise: judge.NoCutByPlannedStop, What: fmt.Sprintf("request %d (%s) to %s was cut: %v", o.Number, o.ID, r.Cluster.Nodes[o.Target].Name, o.Err)}})
		}
		if o.Cut && !r.excused(o) {
			add([]judge.Violation{{Promise: judge.WholeAnswerToItsCaller, What: fmt.Sprintf("request %d (%s) to %s was cut: %v", o.Number, o.ID, r.Cluster.Nodes[o.Target].Name, o.Err)}})
		}
	}
	return nil
}

// stopped reports whether the request was under way when its entry VM was told
// to stop, and nothing else struck that before.
func (r *run) stopped(o load.Outcome) bool {
	for _, at := range r.stops[o.Target] {
		if !o.Began.Before(at) || o.Began.Add(o.Total).Before(at) {
			continue
		}
		for _, s := range r.struck[o.Target] {
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
	for _, s := range r.struck[o.Target] {
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

// notJudged has the promises that no checker of this package looks at; package
// fault does, in virtual time.
var notJudged = map[judge.Promise]bool{
	judge.NoWorkAfterLeaving: true, judge.ConfigInForceInTime: true, judge.ConfigNeverReverts: true,
}

// String formats the report.
func (r *Report) String() string {
	var text strings.Builder
	text.WriteString(load.Table(r.Result.Rows()))
	fmt.Fprintf(&text, "\nkills %d, pauses over a lease %d, cuts %d, planned stops %d, orders at engines %d\n", r.Kills, r.Pauses, r.Cuts, r.Stop, r.RoleChanges)
	fmt.Fprintf(&text, "in time: %.1f%% of %d requests at entry VMs left alone, %.1f%% of %d at struck ones\n\n",
		100*r.Quiet.Share(), r.Quiet.Requests, 100*r.Struck.Share(), r.Struck.Requests)
	for _, p := range judge.Promises {
		if notJudged[p] {
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
