// Package scale measures how the cost of the control plane grows with the size of
// an availability zone: network traffic, CPU time, memory and calls of the
// platform, and how fast changes propagate to all processes.
//
// # Usage
//
//	point, err := scale.Measure(ctx, scale.Options{Nodes: 45, Engines: 488, ...})
//	points = append(points, point)
//	err = scale.WriteCSV(file, points)
//
// Each point is measured on a zone of separate processes on loopback addresses.
// Only the measurements that Options.Load adds at the end send client requests;
// during the others the processes do nothing but control-plane work.
package scale

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

// Options configures the measurement of one point.
type Options struct {
	// Product and Bench are the paths of the programs ebonyscale and ebonybench.
	Product, Bench string
	// Nodes is the number of processes, and Engines the number of engines, at
	// least 2.
	Nodes, Engines int
	// Settle is how long the zone runs before the idle cost is measured, and
	// Window how long it is measured.
	Settle, Window time.Duration
	// PartitionFor, if not zero, is how long a network partition divides the zone
	// into halves. It needs at least 3 nodes.
	PartitionFor time.Duration
	// Load sends a load at the end, under which processes are killed and the zone
	// is partitioned. It needs at least 7 nodes.
	Load bool
}

// Propagation is the distribution, over the processes, of the time that a change
// took to reach them.
type Propagation struct{ P50, P99, Max time.Duration }

// Point is the result of one measurement. Costs are per process: the mean over
// the processes and, where the name begins with Max, the maximum.
type Point struct {
	Nodes, Engines int
	// Bytes is the control traffic in both directions, in bytes per second. It
	// is the sum of PeerBytes, EngineBytes and PlatformBytes.
	Bytes, MaxBytes        float64
	PeerBytes, EngineBytes float64
	PlatformBytes          float64
	// Cores is the CPU time per second, and Memory the resident memory in bytes.
	Cores, MaxCores   float64
	Memory, MaxMemory float64
	// PlatformCalls is the rate of platform calls of the whole zone, per second.
	PlatformCalls float64
	// ConfigActive is the time from applying a configuration until it is active,
	// and Leaving the time from draining an engine until a process has recorded
	// that it is leaving.
	ConfigActive, Leaving Propagation
	// PollerFailover is the time from the kill of a process until other processes
	// poll its engines.
	PollerFailover time.Duration
	// Recovery is the time from the end of a partition until each engine has a
	// single poller again.
	Recovery time.Duration
	// RecoveryBytes is the mean control traffic of a process in the minute after
	// a partition, in bytes per second, and RecoveryFactor its ratio to Bytes.
	RecoveryBytes, RecoveryFactor float64
	// Goodput has a line of text for each phase of the load.
	Goodput []string
}

// zone is the availability zone of all processes and engines.
const zone = "z1"

// address returns the loopback address of the host with the number n in a
// network.
func address(network, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(network), byte(n / 200), byte(1 + n%200)})
}

// Second bytes of the addresses of the processes and the engines.
const (
	nodeNetwork   = 81
	engineNetwork = 82
)

// Deployment writes the configuration files of a zone with this number of engines
// to a directory.
func Deployment(directory string, engines int) error {
	var text strings.Builder
	text.WriteString("[Deployment slope]\nRoles = Planned\n\n[Model m]\nVersion = 1\n")
	for n := range engines {
		fmt.Fprintf(&text, "\n[BackendServer e%03d]\nAddress = %s:7100\nAvailabilityZone = %s\nModels = m\n", n, address(engineNetwork, n), zone)
	}
	if err := os.WriteFile(filepath.Join(directory, "servers.ini"), []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("write deployment: %w", err)
	}
	return os.WriteFile(filepath.Join(directory, "accounts.ini"), []byte("[Account a]\nShare = 1\n"), 0o644)
}

// NewCluster returns the cluster of a point, with a temporary directory that the
// caller removes. It starts no process.
func NewCluster(o Options) (*procs.Cluster, error) {
	directory, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	deployment := filepath.Join(directory, "deployment")
	if err := os.Mkdir(deployment, 0o755); err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	if err := Deployment(deployment, o.Engines); err != nil {
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

// run is a measurement in progress.
type run struct {
	Options
	cluster *procs.Cluster
	peers   *link.Client
	point   Point
}

// Measure starts the zone of a point, measures it, and ends its processes. With an
// error it returns what was measured before.
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
	r := &run{Options: o, cluster: cluster, peers: &link.Client{Meters: &meter.Set{}}, point: Point{Nodes: o.Nodes, Engines: o.Engines}}
	defer r.peers.Close()
	time.Sleep(o.Settle)
	steps := []func(ctx context.Context) error{r.measureIdle, r.measureActivation, r.measureDrain}
	if o.PartitionFor > 0 && o.Nodes > 2 {
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

// sample has the resource usage of each process up to a time. The slices are
// indexed as Cluster.Nodes.
type sample struct {
	at      time.Time
	metrics []map[string]float64
	cpuTime []time.Duration
	calls   platf.Calls
	memory  []int64
}

// sample reads the resource usage of all processes, which must be running.
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
		cpuTime, err := speed.CPUTime(n.Pid())
		if err != nil {
			return s, err
		}
		memory, err := speed.ResidentBytes(n.Pid())
		if err != nil {
			return s, err
		}
		s.cpuTime = append(s.cpuTime, cpuTime)
		s.memory = append(s.memory, memory)
	}
	body, err := procs.Read(r.cluster.Platform, platf.CallsPath)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(body, &s.calls)
}

// bytes returns the increase of the named byte counters of process i between two
// samples, per second.
func bytes(a, b sample, i int, names ...string) float64 {
	sum := 0.0
	for _, name := range names {
		sum += b.metrics[i][name] - a.metrics[i][name]
	}
	return sum / b.at.Sub(a.at).Seconds()
}

// allBytes names the counters of all control traffic.
var allBytes = []string{link.BytesIn, link.BytesOut, "EngineControlBytes", "PlatformBytes"}

// measureIdle measures the cost of the zone without load or changes.
func (r *run) measureIdle(context.Context) error {
	a, err := r.sample()
	if err != nil {
		return err
	}
	time.Sleep(r.Window)
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

// propagationOf returns the distribution of delays, which it sorts.
func propagationOf(delays []time.Duration) Propagation {
	if len(delays) == 0 {
		return Propagation{}
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	return Propagation{delays[len(delays)/2], delays[(len(delays)*99-1)/100], delays[len(delays)-1]}
}

// delays returns for each running process the time from since until the first
// event of this kind, for this engine if it isn't empty, in the process's
// timeline. It polls the timelines until timeout.
func (r *run) delays(ctx context.Context, kind, engine string, since time.Time, timeout time.Duration) ([]time.Duration, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	delays := make([]time.Duration, 0, r.Nodes)
	missing := 0
	end := time.Now().Add(timeout)
	for _, n := range r.cluster.Nodes {
		if !n.Running() {
			continue
		}
		group.Go(func() {
			for time.Now().Before(end) {
				response, err := r.peers.Events(ctx, n.PeerAddr(), &wire.EventQuery{Kind: kind, Engine: engine, Limit: 3})
				if err == nil {
					for _, e := range response.Events {
						if at := time.Unix(0, e.AtNs); !at.Before(since) {
							mu.Lock()
							delays = append(delays, at.Sub(since))
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
		return delays, fmt.Errorf("%d processes have no event %s within %v", missing, kind, timeout)
	}
	return delays, nil
}

// propagationTimeout is how long a change may take to reach every process.
const propagationTimeout = 30 * time.Second

// measureActivation applies a changed configuration and measures how long it
// takes to become active.
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
	delays, err := r.delays(ctx, "ConfigInForce", "", since, propagationTimeout)
	r.point.ConfigActive = propagationOf(delays)
	return err
}

// readFiles reads the configuration files in a directory.
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

// measureDrain drains an engine by a call to one process and measures how long
// it takes until each process has recorded that the engine is leaving.
func (r *run) measureDrain(ctx context.Context) error {
	since := time.Now()
	if _, err := r.peers.Drain(ctx, r.cluster.Nodes[0].PeerAddr(), &wire.DrainQuery{Name: "e001", Leaving: true}); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	delays, err := r.delays(ctx, "LeavingSet", "e001", since, propagationTimeout)
	r.point.Leaving = propagationOf(delays)
	return err
}

// polledEngines returns the number of engines that the running processes poll,
// summed over the processes.
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

// awaitPolled waits until the running processes poll as many engines as there
// are, and returns the time from since until then.
func (r *run) awaitPolled(since time.Time) (time.Duration, error) {
	for time.Since(since) < propagationTimeout {
		if r.polledEngines() == r.Engines {
			return time.Since(since), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, fmt.Errorf("%d of %d engines are polled after %v", r.polledEngines(), r.Engines, propagationTimeout)
}

// measureFailover kills the last process and measures how long it takes until
// other processes poll its engines. The process isn't started again.
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

// partition starts or ends a network partition between the two halves of the
// zone.
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

// measurePartition partitions the zone into halves, ends the partition, and
// measures the time until each engine has a single poller again and the control
// traffic of the next minute.
func (r *run) measurePartition(context.Context) error {
	if err := r.partition(true); err != nil {
		return err
	}
	time.Sleep(r.PartitionFor)
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
