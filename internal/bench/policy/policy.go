// Package policy measures policies that place requests on engines and that
// assign roles to engines. It runs traces whose mix of prefill and decode work
// shifts, in virtual time.
//
// # Usage
//
//	go test ./internal/bench/policy -run Mix -v -args -full -deployment Malabar -seed 11
//
// prints a table of every policy on every built-in trace. Traces are scaled to
// the fleet: at a load of 1 the fleet is busy all the time if it works without
// loss.
//
// Clairvoyant is an upper bound. It models the fleet as one server that works on
// any request at the fleet's joint speed, each phase at the rate of full batches,
// without role changes, KV transfers or idle gaps. The requests of a busy period
// are all known at its start, and their shared prefixes are cached. The
// Moore-Hodgson algorithm gives the largest number of requests that such a
// server can finish within their deadlines. Each relaxation only helps, so that
// no policy can finish more.
package policy

import (
	"container/heap"
	"math"
	"sort"
	"time"

	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/stand/model"
)

// Trace is a built-in trace.
type Trace struct {
	Name string
	// Load is the mean load over the fleet's capacity.
	Load float64
	// LongPromptShare is the share of requests with long prompts, by default one
	// half, and RateFactor a factor on the request rate, by default 1. Their
	// argument is the time within the trace, from 0 to 1.
	LongPromptShare func(at float64) float64
	RateFactor      func(at float64) float64
	// BurstFactor is how many times its share of requests the first account
	// sends in addition, in the middle third of the trace; 0 means no burst.
	BurstFactor int
	// Fault is injected in the middle of the trace.
	Fault Fault
}

// Fault is a fault within a trace.
type Fault int

// The faults.
const (
	NoFault Fault = iota
	// SlowVendor slows the engines of one vendor to a third of their speed.
	SlowVendor
	// Withdrawn makes two engines leave.
	Withdrawn
	// LateReports makes status reports 10 s older.
	LateReports
	// LostEvents loses every other cache event.
	LostEvents
)

// String returns the fault's name.
func (f Fault) String() string {
	return [...]string{"NoFault", "SlowVendor", "Withdrawn", "LateReports", "LostEvents"}[f]
}

// constant returns a function with a constant value.
func constant(share float64) func(float64) float64 { return func(float64) float64 { return share } }

// pulse returns a function that is high in [from, to) and low outside.
func pulse(from, to, high, low float64) func(float64) float64 {
	return func(at float64) float64 {
		if at >= from && at < to {
			return high
		}
		return low
	}
}

// Traces are the built-in traces.
var Traces = []Trace{
	{Name: "Day", Load: 0.55, LongPromptShare: func(at float64) float64 { return 0.5 + 0.35*math.Sin(6*math.Pi*at) }, RateFactor: func(at float64) float64 { return 1 + 0.3*math.Sin(2*math.Pi*at) }},
	{Name: "Premiere", Load: 0.55, LongPromptShare: pulse(0.4, 0.75, 0.75, 0.3), RateFactor: pulse(0.4, 0.75, 1.4, 0.8)},
	{Name: "HalfAndBack", Load: 0.6, LongPromptShare: pulse(0.33, 0.66, 0.8, 0.3)},
	{Name: "SlowDrift", Load: 0.6, LongPromptShare: func(at float64) float64 { return 0.2 + 0.6*at }},
	{Name: "Flapping", Load: 0.6, LongPromptShare: func(at float64) float64 {
		if int(at*30)%2 == 0 {
			return 0.8
		}
		return 0.2
	}},
	{Name: "TenfoldBurst", Load: 0.5, LongPromptShare: constant(0.5), BurstFactor: 10},
	{Name: "SlowVendor", Load: 0.5, LongPromptShare: constant(0.5), Fault: SlowVendor},
	{Name: "Withdrawn", Load: 0.5, LongPromptShare: constant(0.5), Fault: Withdrawn},
	{Name: "LateReports", Load: 0.55, LongPromptShare: constant(0.5), Fault: LateReports},
	{Name: "LostEvents", Load: 0.55, LongPromptShare: constant(0.5), Fault: LostEvents},
}

// Fleet has the speeds of a fleet, for scaling traces and for the bound.
type Fleet struct{ Engines []Engine }

// Engine has the rates of an engine with full batches, in tokens per second.
type Engine struct{ Prefill, Decode float64 }

// FleetOf returns the fleet of stand-in engines, sorted by prefill rate.
func FleetOf(engines map[string]*model.Engine) Fleet {
	var f Fleet
	for _, e := range engines {
		v := e.Vendor
		step := v.Step + time.Duration(e.Slots)*v.PerDecode
		prefill := v.Step + time.Duration(v.Chunk)*v.PerPromptToken
		f.Engines = append(f.Engines, Engine{
			Prefill: float64(v.Chunk) / prefill.Seconds(),
			Decode:  float64(e.Slots) / step.Seconds(),
		})
	}
	sort.Slice(f.Engines, func(i, j int) bool { return f.Engines[i].Prefill > f.Engines[j].Prefill })
	return f
}

// MinSeconds returns the shortest time in which the whole fleet could process
// a request, in seconds. Lengths are in tokens.
func (f Fleet) MinSeconds(prompt, output int) float64 {
	var speed float64
	for _, e := range f.Engines {
		speed += 1 / (float64(prompt)/e.Prefill + float64(output)/e.Decode)
	}
	return 1 / speed
}

// Generate generates the requests of a trace, scaled to a fleet.
func (t Trace) Generate(d *spec.Deployment, f Fleet, seed uint64, length time.Duration) []load.Entry {
	fraction := func(at time.Duration) float64 { return float64(at) / float64(length) }
	plan := load.Plan{Seed: seed, Length: length, Rate: 1}
	if t.LongPromptShare != nil {
		plan.LongPromptShare = func(at time.Duration) float64 { return t.LongPromptShare(fraction(at)) }
	}
	if t.RateFactor != nil {
		plan.RateFactor = func(at time.Duration) float64 { return t.RateFactor(fraction(at)) }
	}
	// Scale the rate by the work of a sample so that the load is reached.
	plan.Rate = 20
	sample := load.Mix(d, plan)
	work := 0.0
	for _, e := range sample {
		work += f.MinSeconds(e.PromptTokens, e.OutputTokens)
	}
	plan.Rate *= t.Load * length.Seconds() / work
	plan.Seed = seed + 1
	trace := load.Mix(d, plan)
	if t.BurstFactor > 0 {
		trace = t.burst(d, trace, plan, length)
	}
	return trace
}

// burst adds the requests of the first account's burst in the middle third.
func (t Trace) burst(d *spec.Deployment, trace []load.Entry, plan load.Plan, length time.Duration) []load.Entry {
	plan.Seed += 100
	plan.Rate *= float64(t.BurstFactor) / float64(max(len(d.Accounts), 1))
	plan.Length = length / 3
	for _, e := range load.Mix(d, plan) {
		e.At += length / 3
		e.Account = d.Accounts[0].Name
		trace = append(trace, e)
	}
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].At < trace[j].At })
	return trace
}

// job is a request to the single server of the bound: its arrival, deadline and
// processing time, in seconds.
type job struct {
	release, deadline, work float64
}

// Clairvoyant returns an upper bound of the share of requests that finish within
// their deadlines.
func Clairvoyant(trace []load.Entry, f Fleet) float64 {
	if len(trace) == 0 {
		return 1
	}
	var jobs []job
	for _, e := range trace {
		work := f.MinSeconds(max(e.PromptTokens-e.PrefixTokens, 1), e.OutputTokens)
		jobs = append(jobs, job{e.At.Seconds(), (e.At + e.Deadline).Seconds(), work})
	}
	finished := 0
	for len(jobs) > 0 {
		n := busyPeriod(jobs)
		finished += mooreHodgson(jobs[:n])
		jobs = jobs[n:]
	}
	return float64(finished) / float64(len(trace))
}

// busyPeriod returns the number of jobs in the first busy period, during which
// the server is never idle. The jobs are sorted by release.
func busyPeriod(jobs []job) int {
	end := jobs[0].release
	for i, j := range jobs {
		if i > 0 && j.release > end {
			return i
		}
		end = max(end, j.release) + j.work
	}
	return len(jobs)
}

// mooreHodgson returns the largest number of jobs that can finish within their
// deadlines if all are released with the first. Jobs are scheduled by deadline;
// whenever one would be late, the longest job so far is dropped.
func mooreHodgson(jobs []job) int {
	sorted := append([]job(nil), jobs...)
	start := sorted[0].release
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].deadline < sorted[j].deadline })
	now := start
	var scheduled maxHeap
	for _, j := range sorted {
		heap.Push(&scheduled, j.work)
		now += j.work
		if now > j.deadline {
			now -= heap.Pop(&scheduled).(float64)
		}
	}
	return len(scheduled)
}

// maxHeap is a heap of processing times, the longest first.
type maxHeap []float64

func (h maxHeap) Len() int           { return len(h) }
func (h maxHeap) Less(i, j int) bool { return h[i] > h[j] }
func (h maxHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *maxHeap) Push(w any) { *h = append(*h, w.(float64)) }

// Pop implements heap.Interface.
func (h *maxHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
