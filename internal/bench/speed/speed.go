// Package speed measures the overhead of one process of the system: the latency
// that it adds to the time to first token, and its CPU time and memory for
// requests and relayed tokens.
//
// # Usage
//
//	report, err := speed.Run(ctx, speed.Options{
//		Cluster: cluster, Deployment: deployment, Rate: 200, Length: 10 * time.Second, Streams: 64, Tokens: 500,
//	})
//
// The measured process, the stand-ins and the load generator are separate
// processes. Requests through the process and directly to the engines alternate
// in one run, so that the load of the machine affects both alike.
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
	// Cluster is the running fleet. Its first node is measured.
	Cluster    *procs.Cluster
	Deployment *spec.Deployment
	// Rate is the number of short requests per second through the process. As
	// many are sent directly to the engines.
	Rate float64
	// Length is how long short requests are sent.
	Length time.Duration
	// Streams is the number of long responses that are relayed at once, Tokens
	// the length of each.
	Streams, Tokens int
}

// Report has the results of a measurement.
type Report struct {
	// Through and Direct are the results of the short requests through the
	// process and directly to the engines.
	Through, Direct load.Row
	// TokensPerSecond is the rate of relayed tokens of the long responses, and
	// Cores the CPU time per second that this takes in excess of IdleCores.
	TokensPerSecond, Cores float64
	// MemoryPerStream is the growth of the process's resident memory per long
	// response, in bytes.
	MemoryPerStream float64
	// IdleCores is the CPU time per second of the process without requests.
	IdleCores float64
	// CoreSecondsPerRequest is the CPU time of a short request, in seconds.
	CoreSecondsPerRequest float64
}

// sender sends requests for target 0 to the process, and others directly to the
// engines in turn.
type sender struct {
	process load.HTTP
	engines []netip.AddrPort
	client  call.Client
	// next counts the direct requests.
	next atomic.Int64
}

// Send implements load.Client.
func (s *sender) Send(ctx context.Context, target int, r entry.Request) (*entry.Reply, error) {
	if target == 0 {
		return s.process.Send(ctx, 0, r)
	}
	n := s.next.Add(1)
	address := s.engines[int(n)%len(s.engines)]
	id := "direct-" + strconv.FormatInt(n, 10)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.Path)
	request.Header.SetHost(address.String())
	request.Header.Set(engine.IDHeader, id)
	request.SetBodyRaw(r.Body)
	x, err := s.client.Do(ctx, address, request, call.Options{NewConnection: true})
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

// Run measures the first node of the cluster: its CPU time when idle, then short
// requests, then long responses.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &sender{process: load.HTTP{Targets: []netip.AddrPort{o.Cluster.Nodes[0].ClientAddr()}}}
	zone := o.Cluster.Nodes[0].Zone
	for _, b := range o.Deployment.Servers {
		if b.Engine() && (b.AvailabilityZone == zone || len(s.engines) < 10) {
			s.engines = append(s.engines, b.Address)
		}
	}
	report := &Report{}
	pid := o.Cluster.Nodes[0].Pid()
	idle, err := coresUsed(pid, 3*time.Second)
	if err != nil {
		return nil, err
	}
	report.IdleCores = idle
	if err := o.measureShort(ctx, s, report, pid); err != nil {
		return nil, err
	}
	return report, o.measureStreams(ctx, s, report, pid)
}

// measureShort sends short requests, half of them through the process with the
// PID pid, and sets their results in report.
func (o Options) measureShort(ctx context.Context, s *sender, report *Report, pid int) error {
	newEntry := func(at time.Duration) load.Entry {
		return load.Entry{
			At: at, Deployment: o.Deployment.Name, Service: o.Deployment.Models[0].Name, PromptTokens: shortPrompt, OutputTokens: shortOutput, Deadline: 20 * time.Second,
		}
	}
	var trace []load.Entry
	step := time.Duration(float64(time.Second) / (2 * o.Rate))
	for at := time.Duration(0); at < o.Length; at += step {
		trace = append(trace, newEntry(at))
	}
	before, err := CPUTime(pid)
	if err != nil {
		return err
	}
	runner := &load.Runner{Deployment: o.Deployment, Client: s, Targets: 2}
	result := runner.Run(ctx, trace)
	after, err := CPUTime(pid)
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

// measureStreams relays long responses at once and sets their results in report.
// It samples the memory of the process a second after their start.
func (o Options) measureStreams(ctx context.Context, s *sender, report *Report, pid int) error {
	before, err := CPUTime(pid)
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
	start := time.Now()
	var group sync.WaitGroup
	var tokens atomic.Int64
	var streaming atomic.Int64
	for i := range o.Streams {
		group.Go(func() {
			reply, err := s.process.Send(ctx, 0, entry.Request{Method: "POST", Path: "/v1/chat/completions", Body: e.Body(i, true), Deadline: start.Add(e.Deadline)})
			if err != nil {
				return
			}
			defer reply.Close()
			tokens.Add(int64(countTokens(reply)))
		})
	}
	go func() {
		time.Sleep(time.Second)
		if now, err := ResidentBytes(pid); err == nil {
			streaming.Store(now)
		}
	}()
	group.Wait()
	elapsed := time.Since(start)
	after, err := CPUTime(pid)
	if err != nil {
		return err
	}
	report.TokensPerSecond = float64(tokens.Load()) / elapsed.Seconds()
	report.Cores = (after-before).Seconds()/elapsed.Seconds() - report.IdleCores
	report.MemoryPerStream = float64(streaming.Load()-memory) / float64(o.Streams)
	return nil
}

// countTokens reads a response to its end and returns the number of content
// events. An event that is split between two reads may be missed.
func countTokens(reply *entry.Reply) int {
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

// ticksPerSecond is the unit of the CPU times in /proc/PID/stat (USER_HZ).
const ticksPerSecond = 100

// CPUTime returns the CPU time that a process has used, in user and system
// mode.
func CPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	// The name of the program, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// coresUsed returns the CPU time that a process uses per second, measured over a
// period.
func coresUsed(pid int, period time.Duration) (float64, error) {
	before, err := CPUTime(pid)
	if err != nil {
		return 0, err
	}
	time.Sleep(period)
	after, err := CPUTime(pid)
	return (after - before).Seconds() / period.Seconds(), err
}

// ResidentBytes returns the resident memory of a process, in bytes.
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

// designTokensPerSecond is the rate of relayed tokens of one process in the
// largest fleet that the system is designed for.
const designTokensPerSecond = 18000

// String formats the report.
func (r *Report) String() string {
	var text strings.Builder
	r.Through.Kind, r.Direct.Kind = "Through", "Direct"
	text.WriteString(load.Table([]load.Row{r.Through, r.Direct}))
	fmt.Fprintf(&text, "\nadded to the first token: p50 %v, p99 %v\n", r.Through.First.P50-r.Direct.First.P50, r.Through.First.P99-r.Direct.First.P99)
	fmt.Fprintf(&text, "CPU time per short request: %.0f µs\n", r.CoreSecondsPerRequest*1e6)
	perCore := r.TokensPerSecond / r.Cores
	fmt.Fprintf(&text, "relayed %.0f tokens/s with %.2f cores: %.0f tokens/s per core; %d tokens/s take %.3f of a core\n",
		r.TokensPerSecond, r.Cores, perCore, designTokensPerSecond, designTokensPerSecond/perCore)
	fmt.Fprintf(&text, "memory per stream: %.0f KB; idle: %.4f cores\n", r.MemoryPerStream/1024, r.IdleCores)
	return text.String()
}
