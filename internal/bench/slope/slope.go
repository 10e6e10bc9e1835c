// Package slope measures what control costs as a zone grows: bytes, processor
// time, memory and calls of the platform, and how fast news spreads.
//
// # Usage
//
//	point, err := slope.Measure(ctx, slope.Options{Nodes: 45, Runners: 488, ...})
//	slope.WriteCSV(file, points)
//
// Each point is a zone of separate processes on loopback without callers, so
// that all that the processes do is control.
package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"ebonyscale.example/ebonyscale/internal/bench/procs"
	"ebonyscale.example/ebonyscale/internal/bench/speed"
	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/link"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/stand/platf"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Options are one point.
type Options struct {
	Product, Bench string
	Nodes, Runners int
	// Settle is how long the zone runs before it is measured for Over.
	Settle, Over time.Duration
	// Split cuts the zone in half for that long, if not zero.
	Split time.Duration
	// Load sends a load at the end, under which processes are killed.
	Load bool
}

// Propagation is how long something took to reach every process.
type Propagation struct{ P50, P99, Max time.Duration }

// Point is what was measured. Of what each process spends, the mean and the
// most are given.
type Point struct {
	Nodes, Runners                int
	Bytes, MaxBytes               float64
	PeerBytes, EngineBytes        float64
	PlatformBytes                 float64
	Cores, MaxCores               float64
	Memory, MaxMemory             float64
	PlatformCalls                 float64
	ConfigActive, Leaving         Propagation
	PollerFailover                time.Duration
	Recovery                      time.Duration
	RecoveryBytes, RecoveryFactor float64
	// Goodput has a line for each phase of a load.
	Goodput []string
}

// zone is where all processes are.
const zone = "z1"

// address numbers the hosts of an experiment.
func address(network, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(network), byte(n / 200), byte(1 + n%200)})
}

// Networks of the hosts.
const (
	nodeNetwork   = 81
	engineNetwork = 82
)

// Deployment writes the files of a zone with so many runners.
func Deployment(directory string, runners int) error {
	var text strings.Builder
	text.WriteString("[Deployment slope]\nRoles = Planned\n\n[Model m]\nVersion = 1\n")
	for n := range runners {
		fmt.Fprintf(&text, "\n[BackendServer e%03d]\nAddress = %s:7100\nAvailabilityZone = %s\nModels = m\n", n, address(engineNetwork, n), zone)
	}
	if err := os.WriteFile(filepath.Join(directory, "servers.ini"), []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("write deployment: %w", err)
	}
	return os.WriteFile(filepath.Join(directory, "accounts.ini"), []byte("[Account a]\nShare = 1\n"), 0o644)
}

// NewCluster makes the cluster of a point in a directory of its own.
func NewCluster(o Options) (*procs.Cluster, error) {
	directory, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	deployment := filepath.Join(directory, "deployment")
	if err := os.Mkdir(deployment, 0o755); err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	if err := Deployment(deployment, o.Runners); err != nil {
		return nil, err
	}
	c := &procs.Cluster{
		Product: o.Product, Bench: o.Bench, Directory: directory, Deployment: deployment, Name: "slope",
		Platform: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, nodeNetwork, 9, 9}), 7000),
		Settings: "[Experiment]\nCuts = Yes\n", Environment: []string{"GOMAXPROCS=2"},
	}
	for n := range o.Nodes {
		c.Nodes = append(c.Nodes, &procs.Node{Name: fmt.Sprintf("n%02d", n), Zone: zone, Addr: address(nodeNetwork, n)})
	}
	return c, nil
}

// run is a measurement under way.
type run struct {
	Options
	cluster *procs.Cluster
	peers   *link.Client
	point   Point
}

// Measure measures a point.
func Measure(ctx context.Context, o Options) (Point, error) {
	cluster, err := NewCluster(o)
	if err != nil {
		return Point{}, err
	}
	defer os.RemoveAll(cluster.Directory)
	defer cluster.Close()
	if err := cluster.Start(ctx); err != nil {
		return Point{}, err
	}
	r := &run{Options: o, cluster: cluster, peers: &link.Client{Meters: &meter.Set{}}, point: Point{Nodes: o.Nodes, Runners: o.Runners}}
	defer r.peers.Close()
	time.Sleep(o.Settle)
	steps := []func(ctx context.Context) error{r.measureIdle, r.measureActivation, r.measureDrain}
	if o.Split > 0 && o.Nodes > 2 {
		steps = append(steps, r.measurePartition)
	}
	if o.Nodes > 1 {
		steps = append(steps, r.measureFailover)
	}
	if o.Load {
		steps = append(steps, r.measureGoodput)
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return r.point, err
		}
	}
	return r.point, nil
}

// sample is what the processes spent up to a moment.
type sample struct {
	at      time.Time
	metrics []map[string]float64
	cpuTime []time.Duration
	calls   platf.Calls
	memory  []int64
}

func (r *run) sample() (sample, error) {
	s := sample{at: time.Now()}
	for i, n := range r.cluster.Nodes {
		body, _, err := r.cluster.Get(i, "/debug/vars")
		if err != nil {
			return s, err
		}
		values := map[string]float64{}
		if err := json.Unmarshal(body, &values); err != nil {
			return s, fmt.Errorf("read metrics: %w", err)
		}
		s.metrics = append(s.metrics, values)
		processor, err := speed.ProcessorTime(n.Pid())
		if err != nil {
			return s, err
		}
		memory, err := speed.ResidentBytes(n.Pid())
		if err != nil {
			return s, err
		}
		s.cpuTime = append(s.cpuTime, processor)
		s.memory = append(s.memory, memory)
	}
	body, err := procs.Read(r.cluster.Platform, platf.CallsPath)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(body, &s.calls)
}

// bytes returns the control bytes of a process between two samples.
func bytes(a, b sample, i int, names ...string) float64 {
	sum := 0.0
	for _, name := range names {
		sum += b.metrics[i][name] - a.metrics[i][name]
	}
	return sum / b.at.Sub(a.at).Seconds()
}

var allBytes = []string{link.BytesIn, link.BytesOut, "EngineControlBytes", "PlatformBytes"}

// measureIdle measures the zone at rest.
func (r *run) measureIdle(context.Context) error {
	a, err := r.sample()
	if err != nil {
		return err
	}
	time.Sleep(r.Over)
	b, err := r.sample()
	if err != nil {
		return err
	}
	p, n := &r.point, float64(r.Nodes)
	seconds := b.at.Sub(a.at).Seconds()
	for i := range r.cluster.Nodes {
		all := bytes(a, b, i, allBytes...)
		p.Bytes += all / n
		p.MaxBytes = max(p.MaxBytes, all)
		p.PeerBytes += bytes(a, b, i, link.BytesIn, link.BytesOut) / n
		p.EngineBytes += bytes(a, b, i, "EngineControlBytes") / n
		p.PlatformBytes += bytes(a, b, i, "PlatformBytes") / n
		cores := (b.cpuTime[i] - a.cpuTime[i]).Seconds() / seconds
		p.Cores += cores / n
		p.MaxCores = max(p.MaxCores, cores)
		p.Memory += float64(b.memory[i]) / n
		p.MaxMemory = max(p.MaxMemory, float64(b.memory[i]))
	}
	p.PlatformCalls = float64(b.calls.Reads+b.calls.Writes-a.calls.Reads-a.calls.Writes) / seconds
	return nil
}

// propagationOf sorts times that something took.
func propagationOf(times []time.Duration) Propagation {
	if len(times) == 0 {
		return Propagation{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return Propagation{times[len(times)/2], times[(len(times)*99-1)/100], times[len(times)-1]}
}

// delays reads from each process's time line when an event came after a moment.
func (r *run) delays(ctx context.Context, kind, engine string, since time.Time, within time.Duration) ([]time.Duration, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	times := make([]time.Duration, 0, r.Nodes)
	missing := 0
	end := time.Now().Add(within)
	for _, n := range r.cluster.Nodes {
		if !n.Running() {
			continue
		}
		group.Go(func() {
			for time.Now().Before(end) {
				answer, err := r.peers.Events(ctx, n.PeerAddr(), &wire.EventQuery{Kind: kind, Engine: engine, Limit: 3})
				if err == nil {
					for _, e := range answer.Events {
						if at := time.Unix(0, e.AtNs); !at.Before(since) {
							mu.Lock()
							times = append(times, at.Sub(since))
							mu.Unlock()
							return
						}
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			mu.Lock()
			missing++
			mu.Unlock()
		})
	}
	group.Wait()
	if missing > 0 {
		return times, fmt.Errorf("%d processes have no event %s within %v", missing, kind, within)
	}
	return times, nil
}

// propagationTimeout is how long news is waited for.
const propagationTimeout = 30 * time.Second

// measureActivation applies a change and measures how long it takes to be in force.
func (r *run) measureActivation(ctx context.Context) error {
	path := filepath.Join(r.cluster.Deployment, "accounts.ini")
	if err := os.WriteFile(path, []byte("[Account a]\nShare = 2\n"), 0o644); err != nil {
		return fmt.Errorf("change deployment: %w", err)
	}
	files, err := readFiles(r.cluster.Deployment)
	if err != nil {
		return err
	}
	client := &store.Client{Address: r.cluster.Platform}
	since := time.Now()
	if _, err := apply.Apply(ctx, client, files, apply.Request{Base: 1, Author: "slope"}); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	times, err := r.delays(ctx, "ConfigInForce", "", since, propagationTimeout)
	r.point.ConfigActive = propagationOf(times)
	return err
}

func readFiles(directory string) ([]spec.File, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.ini"))
	if err != nil {
		return nil, fmt.Errorf("read deployment: %w", err)
	}
	var files []spec.File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read deployment: %w", err)
		}
		files = append(files, spec.File{Name: filepath.Base(path), Data: data})
	}
	return files, nil
}

// measureDrain drains an engine and measures how long it takes to be known.
func (r *run) measureDrain(ctx context.Context) error {
	since := time.Now()
	if _, err := r.peers.Drain(ctx, r.cluster.Nodes[0].PeerAddr(), &wire.DrainQuery{Name: "e001", Leaving: true}); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	times, err := r.delays(ctx, "LeavingSet", "e001", since, propagationTimeout)
	r.point.Leaving = propagationOf(times)
	return err
}

// polledEngines returns how many engines the running processes read, and whether each
// of them is read by just one.
func (r *run) polledEngines() int {
	sum := 0
	for i, n := range r.cluster.Nodes {
		if !n.Running() {
			continue
		}
		body, _, err := r.cluster.Get(i, "/debug/vars")
		if err != nil {
			continue
		}
		values := map[string]float64{}
		if json.Unmarshal(body, &values) == nil {
			sum += int(values["EnginesOwned"])
		}
	}
	return sum
}

// awaitPolled waits until every engine is read by one process again.
func (r *run) awaitPolled(since time.Time) (time.Duration, error) {
	for time.Since(since) < propagationTimeout {
		if r.polledEngines() == r.Runners {
			return time.Since(since), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, fmt.Errorf("%d of %d engines are read after %v", r.polledEngines(), r.Runners, propagationTimeout)
}

// measureFailover kills a process and measures how long its engines go unread.
func (r *run) measureFailover(context.Context) error {
	last := len(r.cluster.Nodes) - 1
	since := time.Now()
	if err := r.cluster.Signal(last, syscall.SIGKILL); err != nil {
		return err
	}
	if _, err := r.cluster.Await(last, time.Second); err != nil {
		return err
	}
	took, err := r.awaitPolled(since)
	r.point.PollerFailover = took
	return err
}

// partition makes the two halves of the zone unreachable for each other, or heals
// that.
func (r *run) partition(on bool) error {
	half := len(r.cluster.Nodes) / 2
	var sides [2][]string
	side := func(i int) int {
		if i < half {
			return 0
		}
		return 1
	}
	for i, n := range r.cluster.Nodes {
		sides[side(i)] = append(sides[side(i)], n.Addr.String())
	}
	for i, n := range r.cluster.Nodes {
		if !n.Running() {
			continue
		}
		var body string
		if on {
			body = strings.Join(sides[1-side(i)], ",")
		}
		if err := procs.Put(n.OperatorAddr(), "/experiment/cuts", []byte(body)); err != nil {
			return err
		}
	}
	return nil
}

// measurePartition cuts the zone in half and measures how long the halves take to be one
// again, and what that costs over the next minute.
func (r *run) measurePartition(context.Context) error {
	if err := r.partition(true); err != nil {
		return err
	}
	time.Sleep(r.Split)
	if err := r.partition(false); err != nil {
		return err
	}
	since := time.Now()
	a, err := r.sample()
	if err != nil {
		return err
	}
	if r.point.Recovery, err = r.awaitPolled(since); err != nil {
		return err
	}
	time.Sleep(time.Minute - time.Since(since))
	b, err := r.sample()
	if err != nil {
		return err
	}
	for i := range r.cluster.Nodes {
		r.point.RecoveryBytes += bytes(a, b, i, allBytes...) / float64(r.Nodes)
	}
	r.point.RecoveryFactor = r.point.RecoveryBytes / max(r.point.Bytes, 1)
	return nil
}
