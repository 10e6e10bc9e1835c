// Package model is a stand-in for an LLM engine.
//
// An Engine simulates continuous batching. Each step prefills a chunk of the
// running prompts and decodes one token of each stream whose prompt is complete.
// The duration of the step follows from the costs of the vendor. Waiting streams
// are admitted between steps, by priority, while slots and KV memory last.
//
// The engine has a prefix cache of limited size, reports its load and cache
// events with a lag, resumes and cancels streams, and carries out orders. Faults
// are injected with SetFaults.
//
// # Usage
//
//	e := &model.Engine{
//		Name: "verdict-01", Vendor: model.Vendors["Kestrel"], Role: spec.Mixed, Models: loaded,
//		Slots: 8, CacheTokens: 400_000, KvTokens: 400_000,
//	}
//	e.Start(ctx)
//	response, err := e.Send(ctx, call)
//
// Handler serves the engine over HTTP. Recorded returns the orders and requests
// that the engine received, for checkers.
package model

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

// Vendor is the cost model of the engines of one vendor.
type Vendor struct {
	// Step is the fixed time of a step. PerDecode is added for each decoding
	// stream and PerPromptToken for each token prefilled in the step.
	Step           time.Duration
	PerDecode      time.Duration
	PerPromptToken time.Duration
	// Chunk is the largest number of prompt tokens in a step.
	Chunk int
	// KvPerSecond is the rate of a KV transfer to the engine, in tokens per
	// second.
	KvPerSecond float64
	// OrderDuration is how long the engine is out of service for an order,
	// without the time for loading weights.
	OrderDuration time.Duration
}

// Vendors has the known vendors by name.
var Vendors = map[string]Vendor{
	"Kestrel": {Step: 8 * time.Millisecond, PerDecode: 300 * time.Microsecond, PerPromptToken: 60 * time.Microsecond, Chunk: 512, KvPerSecond: 200000, OrderDuration: 4 * time.Second},
	"Heron":   {Step: 12 * time.Millisecond, PerDecode: 500 * time.Microsecond, PerPromptToken: 110 * time.Microsecond, Chunk: 384, KvPerSecond: 120000, OrderDuration: 6 * time.Second},
	// Osprey prefills in large chunks, which delay the streams that decode in
	// the same step.
	"Osprey":  {Step: 10 * time.Millisecond, PerDecode: 200 * time.Microsecond, PerPromptToken: 150 * time.Microsecond, Chunk: 1024, KvPerSecond: 400000, OrderDuration: 5 * time.Second},
	"Instant": {Step: 200 * time.Microsecond, PerDecode: time.Microsecond, PerPromptToken: 0, Chunk: 1 << 20, KvPerSecond: 1e9, OrderDuration: 500 * time.Millisecond},
}

// Faults are the injected faults of an engine.
type Faults struct {
	// Crashed truncates every stream and rejects connections. When it is
	// cleared, the engine restarts with an empty cache.
	Crashed bool
	// CutAfter truncates one stream: the first that has produced this number of
	// events, counted from the start of the whole response, when it would produce
	// the next one. 0 means none.
	CutAfter int
	// Cross puts the ID and text of another request into the next event.
	Cross bool
	// Slow multiplies the time of a step; 0 means 1.
	Slow float64
	// LoseOrderAnswers is the number of next orders that are carried out but
	// whose responses are lost.
	LoseOrderAnswers int
	// CrashInOrder crashes the engine when it accepts the next order, and
	// restarts it in its old role when the order would have ended.
	CrashInOrder bool
	// LoseEvents drops every other cache event.
	LoseEvents bool
	// Late is added to the lag of reports.
	Late time.Duration
}

// Engine is a stand-in for an LLM engine. The exported fields are set before
// Start. Its methods are safe for concurrent use.
type Engine struct {
	Name   string
	Vendor Vendor
	Role   spec.Role
	Models []engine.Loaded
	// ChecksFence is set if orders with stale fencing tokens are rejected.
	ChecksFence bool
	// Slots is the number of streams that run at once, CacheTokens the size of
	// the prefix cache, and KvTokens the limit of the KV memory of all running
	// streams, in tokens.
	Slots       int
	CacheTokens int
	KvTokens    int
	// ReportAge is the age of status reports.
	ReportAge time.Duration
	// Weights is the store that models are loaded from. Fetch reserves a load
	// and returns its delay. If Weights is nil, loading takes no time.
	Weights interface{ Fetch() time.Duration }
	// Seed seeds the engine's random source, from which nothing is drawn yet.
	Seed uint64

	mu      sync.Mutex
	faults  Faults
	wake    chan struct{}
	waiting []*stream
	running []*stream
	cache   cache
	random  *rand.Rand
	state   engine.Report
	// reports has the recorded reports, oldest first. One is dropped when the
	// next is old enough to be returned.
	reports []timedReport
	record  Record
	started bool
	// currentOrder is the ID of the order that is being carried out.
	currentOrder string
}

// timedReport is a report and the time at which it was recorded.
type timedReport struct {
	at     time.Time
	report engine.Report
}

// Record has the orders and requests that an engine received.
type Record struct {
	// Orders has every order but repetitions of the last accepted one.
	Orders []ReceivedOrder
	// Cut has the IDs of the requests that were running or waiting when an
	// order was accepted.
	Cut []string
	// Started has the arrival time of each accepted call by ID, of the last
	// call if there were several.
	Started map[string]time.Time
	// Refused counts the calls that were rejected without running.
	Refused int
	// Done counts the streams that were produced to their end.
	Done int
	// Tokens counts decoded tokens, and one for each prefill-only call. Prompts
	// counts prefilled tokens.
	Tokens, Prompts int64
	// OutOfService is the total time spent on orders.
	OutOfService time.Duration
}

// ReceivedOrder is an order as it was received.
type ReceivedOrder struct {
	At    time.Time
	Order engine.Order
	// Refused is the reason for a rejection, or nil.
	Refused error
	// During is the ID of the order that was being carried out on arrival.
	During string
}

// SetFaults replaces the faults. It restarts the engine if Crashed was set and no
// longer is.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Crashed && !e.faults.Crashed {
		e.failStreams()
	}
	if e.faults.Crashed && !f.Crashed {
		e.restart()
	}
	e.faults = f
	e.signal()
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Leaving = leaving
}

// Recorded returns a copy of the record.
func (e *Engine) Recorded() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := e.record
	copied.Orders = append([]ReceivedOrder(nil), e.record.Orders...)
	copied.Cut = append([]string(nil), e.record.Cut...)
	copied.Started = make(map[string]time.Time, len(e.record.Started))
	for id, at := range e.record.Started {
		copied.Started[id] = at
	}
	return copied
}

// Start runs the engine until ctx ends.
func (e *Engine) Start(ctx context.Context) {
	e.mu.Lock()
	e.wake = make(chan struct{}, 1)
	e.random = rand.New(rand.NewPCG(e.Seed, 1))
	e.cache.limit = e.CacheTokens
	e.record.Started = map[string]time.Time{}
	e.state = engine.Report{Engine: e.Name, Incarnation: 1, Role: e.Role, Models: e.Models, KvCapacity: e.KvTokens}
	e.started = true
	e.mu.Unlock()
	go e.run(ctx)
}

// run runs one step after another, and waits for a signal while no stream runs.
func (e *Engine) run(ctx context.Context) {
	for {
		wait := e.planStep()
		if wait < 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		e.step()
	}
}

// planStep admits waiting streams, divides the prefill chunk among the running
// ones, and returns the duration of the next step, or -1 if no stream runs.
// Streams of higher priority are admitted first; one that does not fit blocks
// those after it.
func (e *Engine) planStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority > e.waiting[j].priority })
	for len(e.waiting) > 0 && len(e.running) < e.Slots && e.kvInUse()+e.waiting[0].kvTokens() <= e.KvTokens {
		e.admit(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return -1
	}
	budget, decodes := e.Vendor.Chunk, 0
	for _, s := range e.running {
		s.chunk = min(budget, s.prefillLeft)
		budget -= s.chunk
		if s.prefillLeft == 0 {
			decodes++
		}
	}
	d := e.Vendor.Step + time.Duration(decodes)*e.Vendor.PerDecode + time.Duration(e.Vendor.Chunk-budget)*e.Vendor.PerPromptToken
	if e.faults.Slow > 0 {
		d = time.Duration(float64(d) * e.faults.Slow)
	}
	for _, s := range e.running {
		d += s.transferTime
		s.transferTime = 0
	}
	return d
}

// admit starts a stream. A decode-only stream first imports its KV cache. Any
// other prefills the part of its prompt that is not cached, at least one token.
// The caller must hold mu.
func (e *Engine) admit(s *stream) {
	e.running = append(e.running, s)
	if s.phase == engine.DecodeOnly {
		s.transferTime = time.Duration(float64(s.prefillLeft) / e.Vendor.KvPerSecond * float64(time.Second))
		s.prefillLeft = 0
		return
	}
	cached := e.cache.hit(s.blocks) * prefix.BlockTokens
	s.prefillLeft = max(s.prefillLeft-cached, 1)
}

// kvInUse returns the KV memory reserved by the running streams, in tokens. The
// caller must hold mu.
func (e *Engine) kvInUse() int {
	total := 0
	for _, s := range e.running {
		total += s.kvTokens()
	}
	return total
}

// step applies a planned step: chunks are prefilled, and each decoding stream
// emits a token. Canceled and completed streams are removed.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	remaining := e.running[:0]
	for _, s := range e.running {
		if s.canceled() {
			continue
		}
		e.record.Prompts += int64(s.chunk)
		if s.prefillLeft > 0 {
			s.prefillLeft -= s.chunk
			if s.prefillLeft == 0 {
				e.cache.add(s.blocks)
			}
			if s.prefillLeft > 0 || s.phase != engine.PrefillOnly {
				remaining = append(remaining, s)
				continue
			}
		}
		e.record.Tokens++
		if e.emit(s) {
			remaining = append(remaining, s)
		}
	}
	for i := len(remaining); i < len(e.running); i++ {
		e.running[i] = nil
	}
	e.running = remaining
}

// emit produces the next event of a stream, with the faults that apply to it,
// and reports whether more events follow. The caller must hold mu.
func (e *Engine) emit(s *stream) bool {
	if e.faults.CutAfter > 0 && s.nextToken >= e.faults.CutAfter {
		e.faults.CutAfter = 0
		s.fail(errTruncated)
		return false
	}
	cross := e.faults.Cross
	e.faults.Cross = false
	if s.emit(cross) {
		return true
	}
	e.record.Done++
	return false
}

// Send accepts a request to a model and returns its response, whose body is
// produced as the engine runs. A request that is invalid or that the engine does
// not serve at the moment is rejected with NotRun set. The error of an engine
// that is crashed or not started is a *call.Error. The caller closes the body.
// Tests use Send where no socket is needed.
func (e *Engine) Send(ctx context.Context, request engine.Call) (*engine.Response, error) {
	s, rejection := newStream(ctx, e.Name, request)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed || !e.started {
		return nil, errDown
	}
	if rejection == nil && (e.currentOrder != "" || !e.serves(s.model, request.Phase)) {
		rejection = reject(503, "the engine does not serve this now")
	}
	if rejection != nil {
		e.record.Refused++
		return rejection, nil
	}
	e.record.Started[request.ID] = time.Now()
	e.waiting = append(e.waiting, s)
	e.signal()
	return s.response(), nil
}

// serves reports whether the engine's role covers the phase and the named model
// is loaded. The caller must hold mu.
func (e *Engine) serves(name string, phase engine.Phase) bool {
	if phase == engine.PrefillOnly && !e.state.Role.Prefills() || phase == engine.DecodeOnly && !e.state.Role.Decodes() {
		return false
	}
	for _, m := range e.state.Models {
		if m.Model == name {
			return true
		}
	}
	return false
}

// signal wakes run if it waits for a stream.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// failStreams truncates every stream, running or waiting. The caller must hold
// mu.
func (e *Engine) failStreams() {
	for _, s := range append(e.running, e.waiting...) {
		s.fail(errTruncated)
	}
	e.running, e.waiting = nil, nil
}

// restart begins a new incarnation with an empty cache. The caller must hold mu.
func (e *Engine) restart() {
	e.state.Incarnation++
	e.state.Sequence = 0
	e.cache = cache{limit: e.CacheTokens}
	e.currentOrder = ""
	e.state.Changing = false
}
