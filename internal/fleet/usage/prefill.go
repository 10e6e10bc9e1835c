package usage

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/base/linfit"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// Times are an engine's times as estimated from the requests it has served. Each is
// unknown, and then zero, until one has been.
type Times struct {
	// PrefillBase is the time that any prefill occupies the engine, PrefillRate how
	// many prompt tokens per second it prefills beyond that.
	PrefillBase time.Duration
	PrefillRate float64
}

// prefills has the prefills of one incarnation of an engine: the number in
// progress and their tokens, both of this process only, and the estimated times
// with the role that the engine had.
type prefills struct {
	running, tokens int
	role            roster.Role
	// took is the time that a prefill occupies the engine over its prompt tokens.
	// The tokens are the expected ones: if the KV cache has less than expected, the
	// line is steeper.
	took linfit.Line
}

const (
	// prefillDecay is the weight that remains after each prefill: an engine that
	// turns slow shows after about ten.
	prefillDecay = 0.95
	// maxPrefillTokens and maxPrefill bound the observations.
	maxPrefillTokens = 1 << 24
	maxPrefill       = time.Minute
)

// setRole forgets the times of another role.
func (p *prefills) setRole(role roster.Role) {
	if p.role != role {
		p.role, p.took = role, linfit.Line{Decay: prefillDecay}
	}
}

// times returns the estimates for an engine with the role.
func (p *prefills) times(role roster.Role) Times {
	var t Times
	if p.role != role {
		return t
	}
	if p.took.Known() && p.took.Slope > 0 {
		t.PrefillBase, _ = p.took.Durations()
		t.PrefillRate = 1 / p.took.Slope
	}
	return t
}

// StartPrefill counts a prefill of prompt tokens by the engine, for a request of
// this process.
func (t *Table) StartPrefill(server roster.Server, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &t.record(server).prefills
	p.running++
	p.tokens += tokens
}

// EndPrefill ends what StartPrefill counted.
func (t *Table) EndPrefill(server roster.Server, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &t.record(server).prefills
	p.running--
	p.tokens -= tokens
}

// RecordPrefill updates the estimated times of an engine's prefills. took is how
// long the prefill of the tokens has occupied the engine, that is since it began or
// the one before it completed. Values that no engine can have are ignored.
func (t *Table) RecordPrefill(server roster.Server, tokens int, took time.Duration) {
	if tokens <= 0 || tokens > maxPrefillTokens || took < 0 || took > maxPrefill {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &t.record(server).prefills
	p.setRole(server.Role)
	x, y := float64(tokens), took.Seconds()
	if !p.took.Known() {
		p.took.Reset(y/2, y/2/x)
	}
	p.took.Observe(x, y)
}

// stallTime returns for how long the backend server may send nothing. An engine
// sends nothing while it prefills, so it gets a multiple of the time that this
// process's prompts are expected to take.
func (r *record) stallTime() time.Duration {
	p := &r.prefills
	if p.tokens <= 0 || !p.took.Known() {
		return StallThreshold
	}
	expected := prefillStallFactor * p.took.At(float64(p.tokens))
	return max(StallThreshold, time.Duration(min(expected, maxPrefillStall.Seconds())*float64(time.Second)))
}

const (
	// prefillStallFactor is the multiple, since the prompts of other processes
	// may be ahead.
	prefillStallFactor = 3
	// maxPrefillStall bounds it.
	maxPrefillStall = 3 * time.Second
)
