package usage

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/base/linfit"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/route/assign"
)

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
	// observed is when took was last observed.
	observed time.Time
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

// staleAfter is how long the times of an engine are believed if it prefills nothing.
// An engine that seemed slow may be so no more.
const staleAfter = 2 * time.Second

// times returns the estimates for an engine with the role.
func (p *prefills) times(now time.Time, role roster.Role) assign.Times {
	var t assign.Times
	if p.role != role {
		return t
	}
	if p.took.Known() && p.took.Slope > 0 {
		t.Base, _ = p.took.Durations()
		t.Rate = 1 / p.took.Slope
		t.Stale = now.Sub(p.observed) > staleAfter
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
func (t *Table) RecordPrefill(now time.Time, server roster.Server, tokens int, took time.Duration) {
	if tokens <= 0 || tokens > maxPrefillTokens || took < 0 || took > maxPrefill {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &t.record(server).prefills
	p.setRole(server.Role)
	p.observed = now
	x, y := float64(tokens), took.Seconds()
	if !p.took.Known() {
		p.took.Reset(t.firstTimes(server.Role, x, y))
	}
	p.took.Observe(x, y)
}

// firstTimes returns the base time and the time per token, in seconds, of an engine of
// which only one prefill is known. It is as much slower than the others with its role
// as that prefill was. If nothing is known of these, half of the time is the base. The
// caller must hold mu.
func (t *Table) firstTimes(role roster.Role, tokens, seconds float64) (base, perToken float64) {
	known := 0.0
	for _, r := range t.records {
		if p := &r.prefills; p.role == role && p.took.Known() {
			base += p.took.Intercept
			perToken += p.took.Slope
			known++
		}
	}
	expected := (base + perToken*tokens) / max(known, 1)
	if expected <= 0 {
		return seconds / 2, seconds / 2 / tokens
	}
	factor := seconds / expected / known
	return base * factor, perToken * factor
}

// SetTimes replaces the estimated times of an engine by those of a process that has
// observed it. Unknown times, and values that no engine can have, are ignored.
func (t *Table) SetTimes(now time.Time, server roster.Server, times assign.Times) {
	if !(times.Rate >= minRate && times.Rate <= maxRate) || times.Base < 0 || times.Base > maxPrefill {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &t.record(server).prefills
	p.setRole(server.Role)
	p.observed = now
	p.took.Reset(times.Base.Seconds(), 1/times.Rate)
}

// minRate and maxRate bound the prefill rates that are believed, in tokens per second.
const (
	minRate = 1e-2
	maxRate = 1e12
)

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
