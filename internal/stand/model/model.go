// Package model is a stand-in for a model engine.
//
// An Engine batches continuously: each step prefills a chunk of the waiting
// prompts, in order of priority, and decodes one token of each running stream;
// the step takes as long as the vendor's costs say. It keeps a limited cache
// of prompt prefixes, publishes cache events late and with gaps, reports its
// load with a lag, resumes and cancels streams, takes orders, and fails on
// demand.
//
// # Usage
//
//	e := &model.Engine{Name: "verdict-01", Vendor: model.Vendors["Kestrel"], Role: spec.Mixed}
//	e.Start(ctx)
//	answer, err := e.Send(ctx, call)
//
// Handler is the HTTP form. Record has what the engine saw, for checkers.
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

// Vendor is the cost model of one make of engine.
type Vendor struct {
	// Step is the fixed time of a step; PerDecode is added for each running
	// stream and PerPrompt for each prompt token of the step's chunk.
	Step      time.Duration
	PerDecode time.Duration
	PerPrompt time.Duration
	// Chunk is the largest number of prompt tokens in a step.
	Chunk int
	// KvPerSecond is how many tokens of KV cache are exported or imported in a
	// second.
	KvPerSecond float64
	// Change is how long the engine is out of service for an order.
	Change time.Duration
}

// Vendors are the makes that the stand-ins know.
var Vendors = map[string]Vendor{
	"Kestrel": {Step: 8 * time.Millisecond, PerDecode: 300 * time.Microsecond, PerPrompt: 60 * time.Microsecond, Chunk: 512, KvPerSecond: 200000, Change: 4 * time.Second},
	"Heron":   {Step: 12 * time.Millisecond, PerDecode: 500 * time.Microsecond, PerPrompt: 110 * time.Microsecond, Chunk: 384, KvPerSecond: 120000, Change: 6 * time.Second},
	// Osprey prefills in large chunks, which hold up the streams beside them.
	"Osprey":  {Step: 10 * time.Millisecond, PerDecode: 200 * time.Microsecond, PerPrompt: 150 * time.Microsecond, Chunk: 1024, KvPerSecond: 400000, Change: 5 * time.Second},
	"Instant": {Step: 200 * time.Microsecond, PerDecode: time.Microsecond, PerPrompt: 0, Chunk: 1 << 20, KvPerSecond: 1e9, Change: 500 * time.Millisecond},
}

// Faults are the ways in which an engine misbehaves.
type Faults struct {
	// Crashed closes every stream and refuses connections.
	Crashed bool
	// CutAfter breaks the next stream after so many of its events.
	CutAfter int
	// Cross puts another request's identity into the next stream's events.
	Cross bool
	// Slow multiplies the time of a step.
	Slow float64
	// LoseOrderAnswers is how many orders are taken and not answered.
	LoseOrderAnswers int
	// CrashInOrder crashes the engine when it takes the next order, and starts
	// it again after the change's time in its old role.
	CrashInOrder bool
	// LoseEvents drops every other cache event.
	LoseEvents bool
	// Late is added to the lag of reports.
	Late time.Duration
}

// Engine is the stand-in. The exported fields are set before Start.
type Engine struct {
	Name   string
	Vendor Vendor
	Role   spec.Role
	Models []engine.Loaded
	// ChecksFence says whether old fencing numbers are refused.
	ChecksFence bool
	// Slots is how many streams run at once; CacheTokens is the size of the
	// prefix cache; KvTokens bounds the tokens of all running streams.
	Slots       int
	CacheTokens int
	KvTokens    int
	// Lag is the age of load reports.
	Lag time.Duration
	// Weights is where models are loaded from, if not nil.
	Weights interface{ Fetch() time.Duration }
	// Seed makes the lost events of a run repeatable.
	Seed uint64

	mu       sync.Mutex
	faults   Faults
	wake     chan struct{}
	waiting  []*stream
	running  []*stream
	cache    cache
	random   *rand.Rand
	state    engine.Report
	reports  []dated
	record   Record
	started  bool
	changing string
}

type dated struct {
	at     time.Time
	report engine.Report
}

// Record is what an engine saw.
type Record struct {
	Orders []SeenOrder
	// Cut names the streams that were running when an order was taken.
	Cut []string
	// Started is when each call arrived, by id; the last call wins.
	Started map[string]time.Time
	// Refused counts calls that were refused as not run.
	Refused int
	// Done counts streams that were read to their end.
	Done int
	// Tokens and Prompts count decoded and prefilled tokens.
	Tokens, Prompts int64
	// OutOfService is the time spent on orders.
	OutOfService time.Duration
}

// SeenOrder is an order as it arrived.
type SeenOrder struct {
	At      time.Time
	Order   engine.Order
	Refused error
	// During names the order under way when this one arrived.
	During string
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Crashed && !e.faults.Crashed {
		e.breakAll()
	}
	if e.faults.Crashed && !f.Crashed {
		e.restart()
	}
	e.faults = f
	e.signal()
}

// Leave sets the engine's own word on whether it is leaving.
func (e *Engine) Leave(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Leaving = leaving
}

// Seen returns a copy of the record.
func (e *Engine) Seen() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := e.record
	seen.Orders = append([]SeenOrder(nil), e.record.Orders...)
	seen.Cut = append([]string(nil), e.record.Cut...)
	seen.Started = make(map[string]time.Time, len(e.record.Started))
	for id, at := range e.record.Started {
		seen.Started[id] = at
	}
	return seen
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

func (e *Engine) run(ctx context.Context) {
	for {
		wait := e.plan()
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

// plan admits waiting streams and returns the time of the next step, or -1 if
// there is nothing to do.
func (e *Engine) plan() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority > e.waiting[j].priority })
	for len(e.waiting) > 0 && len(e.running) < e.Slots && e.held()+e.waiting[0].size() <= e.KvTokens {
		e.admit(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return -1
	}
	budget, decodes := e.Vendor.Chunk, 0
	for _, s := range e.running {
		s.chunk = min(budget, s.prompt)
		budget -= s.chunk
		if s.prompt == 0 {
			decodes++
		}
	}
	d := e.Vendor.Step + time.Duration(decodes)*e.Vendor.PerDecode + time.Duration(e.Vendor.Chunk-budget)*e.Vendor.PerPrompt
	if e.faults.Slow > 0 {
		d = time.Duration(float64(d) * e.faults.Slow)
	}
	for _, s := range e.running {
		d += s.moveTime
		s.moveTime = 0
	}
	return d
}

// admit starts a stream: it looks up the prompt's prefix and leaves the rest
// to be prefilled.
func (e *Engine) admit(s *stream) {
	e.running = append(e.running, s)
	if s.phase == engine.DecodeOnly {
		s.moveTime = time.Duration(float64(s.prompt) / e.Vendor.KvPerSecond * float64(time.Second))
		s.prompt = 0
		return
	}
	cached := e.cache.hit(s.blocks) * prefix.BlockTokens
	s.prompt = max(s.prompt-cached, 1)
}

// held is the KV memory in use, in tokens.
func (e *Engine) held() int {
	total := 0
	for _, s := range e.running {
		total += s.size()
	}
	return total
}

// step takes effect: chunks are prefilled and each decoding stream gets a token.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	alive := e.running[:0]
	for _, s := range e.running {
		if s.canceled() {
			continue
		}
		e.record.Prompts += int64(s.chunk)
		if s.prompt > 0 {
			s.prompt -= s.chunk
			if s.prompt == 0 {
				e.cache.add(s.blocks)
			}
			if s.prompt > 0 || s.phase != engine.PrefillOnly {
				alive = append(alive, s)
				continue
			}
		}
		e.record.Tokens++
		if e.emit(s) {
			alive = append(alive, s)
		}
	}
	for i := len(alive); i < len(e.running); i++ {
		e.running[i] = nil
	}
	e.running = alive
}

// emit produces the next event of a stream and reports whether more follow.
func (e *Engine) emit(s *stream) bool {
	if e.faults.CutAfter > 0 && s.next >= e.faults.CutAfter {
		e.faults.CutAfter = 0
		s.fail(errCut)
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

// Send takes a call of a model. It implements the sending interfaces of the
// system, so that tests need no socket.
func (e *Engine) Send(ctx context.Context, sent engine.Call) (*engine.Response, error) {
	s, refusal := newStream(ctx, e.Name, sent)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed || !e.started {
		return nil, errDown
	}
	if refusal == nil && (e.changing != "" || !e.serves(s.model, sent.Phase)) {
		refusal = refuse(503, "the engine does not serve this now")
	}
	if refusal != nil {
		e.record.Refused++
		return refusal, nil
	}
	e.record.Started[sent.ID] = time.Now()
	e.waiting = append(e.waiting, s)
	e.signal()
	return s.answer(), nil
}

func (e *Engine) serves(name string, phase engine.Phase) bool {
	if phase == engine.PrefillOnly && !e.state.Role.Serves() || phase == engine.DecodeOnly && !e.state.Role.Decodes() {
		return false
	}
	for _, m := range e.state.Models {
		if m.Model == name {
			return true
		}
	}
	return false
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// breakAll ends every stream without its end marker.
func (e *Engine) breakAll() {
	for _, s := range append(e.running, e.waiting...) {
		s.fail(errCut)
	}
	e.running, e.waiting = nil, nil
}

// restart begins a new incarnation with an empty cache.
func (e *Engine) restart() {
	e.state.Incarnation++
	e.state.Sequence = 0
	e.cache = cache{limit: e.CacheTokens}
	e.changing = ""
	e.state.Changing = false
}
