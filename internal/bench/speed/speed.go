// Package speed measures what one process adds to a request: time to the first
// token, and processor time for each token relayed.
//
// # Usage
//
//	report, err := speed.Run(ctx, speed.Options{Cluster: cluster, Deployment: deployment, Rate: 200, Length: 10 * time.Second})
//
// The process, the stand-ins and the load are separate processes. Requests
// through the process and directly to the engines are sent in turn in one run,
// so that both meet the same machine.
package speed

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/bench/procs"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/node/entry"
)

// Options are the options of a measurement.
type Options struct {
	Cluster    *procs.Cluster
	Deployment *spec.Deployment
	Rate       float64
	Length     time.Duration
	// Streams and Tokens are the long answers that are relayed at once.
	Streams, Tokens int
}

// Report is what was measured.
type Report struct {
	Through, Direct load.Row
	// TokensPerSecond were relayed with Cores of processor time a second, the
	// idle process's taken off.
	TokensPerSecond, Cores float64
	// MemoryPerStream is the growth of the process for each stream, in bytes.
	MemoryPerStream float64
	IdleCores       float64
	// PlacementCores is the processor time for each short request, in seconds.
	CoreSecondsPerRequest float64
}

// door sends requests with odd numbers to an engine and the others to the
// process.
type door struct {
	process load.HTTP
	engines []netip.AddrPort
	client  call.Client
	next    atomic.Int64
}

// Enter implements load.Door.
func (d *door) Enter(ctx context.Context, target int, r entry.Request) (*entry.Reply, error) {
	if target == 0 {
		return d.process.Enter(ctx, 0, r)
	}
	n := d.next.Add(1)
	address := d.engines[int(n)%len(d.engines)]
	id := "direct-" + strconv.FormatInt(n, 10)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.Path)
	request.Header.SetHost(address.String())
	request.Header.Set(engine.IDHeader, id)
	request.SetBodyRaw(r.Body)
	x, err := d.client.Do(ctx, address, request, call.Options{NewConnection: true})
	if err != nil {
		return nil, err
	}
	return &entry.Reply{ID: id, Status: x.Status(), Body: x}, nil
}

// Sizes of the short requests, in tokens.
const (
	shortPrompt = 100
	shortOutput = 8
)

// Run measures.
func Run(ctx context.Context, o Options) (*Report, error) {
	d := &door{process: load.HTTP{Targets: []netip.AddrPort{o.Cluster.Nodes[0].Callers()}}}
	zone := o.Cluster.Nodes[0].Zone
	for _, b := range o.Deployment.Servers {
		if b.Engine() && (b.AvailabilityZone == zone || len(d.engines) < 10) {
			d.engines = append(d.engines, b.Address)
		}
	}
	report := &Report{}
	pid := o.Cluster.Nodes[0].Pid()
	idle, err := cores(pid, 3*time.Second)
	if err != nil {
		return nil, err
	}
	report.IdleCores = idle
	if err := o.short(ctx, d, report, pid); err != nil {
		return nil, err
	}
	return report, o.long(ctx, d, report, pid)
}

// short sends short requests, half of them through the process.
func (o Options) short(ctx context.Context, d *door, report *Report, pid int) error {
	entryOf := func(at time.Duration) load.Entry {
		return load.Entry{
			At: at, Deployment: o.Deployment.Name, Service: o.Deployment.Models[0].Name, PromptTokens: shortPrompt, OutputTokens: shortOutput, Deadline: 20 * time.Second,
		}
	}
	var trace []load.Entry
	step := time.Duration(float64(time.Second) / (2 * o.Rate))
	for at := time.Duration(0); at < o.Length; at += step {
		trace = append(trace, entryOf(at))
	}
	before, err := ProcessorTime(pid)
	if err != nil {
		return err
	}
	runner := &load.Runner{Deployment: o.Deployment, Door: d, Targets: 2}
	result := runner.Run(ctx, trace)
	after, err := ProcessorTime(pid)
	if err != nil {
		return err
	}
	through, direct := &load.Result{}, &load.Result{}
	for _, outcome := range result.Outcomes {
		if outcome.Target == 0 {
			through.Outcomes = append(through.Outcomes, outcome)
		} else {
			direct.Outcomes = append(direct.Outcomes, outcome)
		}
	}
	report.Through, report.Direct = through.All(), direct.All()
	busy := (after - before).Seconds() - report.IdleCores*result.Took.Seconds()
	report.CoreSecondsPerRequest = busy / float64(len(through.Outcomes))
	return nil
}

// long relays long answers at once.
func (o Options) long(ctx context.Context, d *door, report *Report, pid int) error {
	before, err := ProcessorTime(pid)
	if err != nil {
		return err
	}
	memory, err := ResidentBytes(pid)
	if err != nil {
		return err
	}
	e := load.Entry{
		Deployment: o.Deployment.Name, Service: o.Deployment.Models[0].Name, PromptTokens: shortPrompt, OutputTokens: o.Tokens, Deadline: 5 * time.Minute,
	}
	began := time.Now()
	var group sync.WaitGroup
	var tokens atomic.Int64
	var highest atomic.Int64
	for i := range o.Streams {
		group.Go(func() {
			reply, err := d.process.Enter(ctx, 0, entry.Request{Method: "POST", Path: "/v1/chat/completions", Body: e.Body(i, true), Deadline: began.Add(e.Deadline)})
			if err != nil {
				return
			}
			defer reply.Close()
			tokens.Add(int64(countEvents(reply)))
		})
	}
	go func() {
		time.Sleep(time.Second)
		if now, err := ResidentBytes(pid); err == nil {
			highest.Store(now)
		}
	}()
	group.Wait()
	took := time.Since(began)
	after, err := ProcessorTime(pid)
	if err != nil {
		return err
	}
	report.TokensPerSecond = float64(tokens.Load()) / took.Seconds()
	report.Cores = (after-before).Seconds()/took.Seconds() - report.IdleCores
	report.MemoryPerStream = float64(highest.Load()-memory) / float64(o.Streams)
	return nil
}

func countEvents(reply *entry.Reply) int {
	buffer := make([]byte, 64<<10)
	count := 0
	for {
		n, err := reply.Body.Read(buffer)
		count += strings.Count(string(buffer[:n]), `"content"`)
		if err != nil {
			return count
		}
	}
}

// ticksPerSecond is the unit of processor times that the kernel tells.
const ticksPerSecond = 100

// ProcessorTime returns the processor time that a process has used.
func ProcessorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	// The name of the program, in parentheses, may hold blanks.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// cores returns how many cores a process uses over a time.
func cores(pid int, over time.Duration) (float64, error) {
	before, err := ProcessorTime(pid)
	if err != nil {
		return 0, err
	}
	time.Sleep(over)
	after, err := ProcessorTime(pid)
	return (after - before).Seconds() / over.Seconds(), err
}

// ResidentBytes returns the memory that a process holds.
func ResidentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	return pages * int64(os.Getpagesize()), nil
}

// letterShare is the tokens a second of one node at the size to design for.
const letterShare = 18000

// String formats the report.
func (r *Report) String() string {
	var text strings.Builder
	r.Through.Kind, r.Direct.Kind = "Through", "Direct"
	text.WriteString(load.Table([]load.Row{r.Through, r.Direct}))
	fmt.Fprintf(&text, "\nadded to the first token: p50 %v, p99 %v\n", r.Through.First.P50-r.Direct.First.P50, r.Through.First.P99-r.Direct.First.P99)
	fmt.Fprintf(&text, "processor time a short request: %.0f µs\n", r.CoreSecondsPerRequest*1e6)
	perCore := r.TokensPerSecond / r.Cores
	fmt.Fprintf(&text, "relayed %.0f tokens/s with %.2f cores: %.0f tokens/s a core; %d tokens/s take %.3f of a core\n",
		r.TokensPerSecond, r.Cores, perCore, letterShare, letterShare/perCore)
	fmt.Fprintf(&text, "memory a stream: %.0f KB; idle: %.4f cores\n", r.MemoryPerStream/1024, r.IdleCores)
	return text.String()
}
