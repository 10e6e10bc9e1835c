// Package place chooses the engine for a request, or the pair of engines if
// prefill and decode are disaggregated.
//
// Choose compares predicted latencies. The time to the first token is the number
// of prompt tokens to prefill, those queued ahead included and those in the KV
// cache excluded, divided by the engine's prefill rate, plus a fixed overhead, the
// wait for a slot and, if decode runs on another engine, the KV transfer. The gap
// between tokens grows with the number of running streams. Load reports are always
// somewhat stale, so each prediction has an uncertainty. If the costs of the two
// cheapest engines differ by no more than that, the request's random number decides
// between them, so that nodes with the same load report don't all choose the same
// engine.
//
// # Usage
//
//	decision := place.Choose(place.Request{Prompt: 900, Output: 60, Left: time.Until(deadline)}, engines)
//	if decision.Reason != place.Chosen {
//		reject(decision.Reason)
//	}
//
// Choose is a pure function and doesn't allocate.
package place

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
)

// Request describes the request to be placed.
type Request struct {
	// Prompt and Output are token counts; Output is an upper bound or an
	// estimate.
	Prompt, Output int
	// FirstToken is the target for the time to the first token, TokenGap the
	// target for the time between tokens.
	FirstToken, TokenGap time.Duration
	// Left is the time left until the deadline.
	Left time.Duration
	// Random is a random number. It decides between the two cheapest engines if
	// their costs differ by no more than the uncertainty, and selects the engine
	// under RoundRobin.
	Random uint64
	// Policy selects the algorithm; the zero value is Predict.
	Policy Policy
}

// Policy is a placement algorithm. All but Predict are baselines for benchmarks.
type Policy int

// The policies.
const (
	// Predict minimizes the predicted time to the first token plus penalties
	// for token gaps over the target and for missing the deadline.
	Predict Policy = iota
	// LeastLoaded selects the engine with the fewest streams.
	LeastLoaded
	// PrefixFirst selects the engine with the longest cached prefix and, among
	// equals, the fewest streams.
	PrefixFirst
	// RoundRobin selects the engine with the index Random modulo the number of
	// engines in the role.
	RoundRobin
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"Predict", "LeastLoaded", "PrefixFirst", "RoundRobin"}[p]
}

// Engine is the estimated state of an engine that serves the request's model.
type Engine struct {
	Role spec.Role
	// Remote is set if the engine is in another availability zone.
	Remote bool
	// Waiting is the number of prompt tokens queued ahead of a new request.
	Waiting float64
	// Running counts the streams that run or wait for a slot. Slots is how many
	// can run at once.
	Running, Slots int
	// Left is the mean number of output tokens that a stream has left; 0 if
	// unknown.
	Left float64
	// Cached is the number of prompt tokens of the request in the KV cache.
	Cached float64
	// Overhead and PerPrompt predict the time to the first token: Overhead plus
	// PerPrompt for each prompt token to prefill, queued ones included.
	Overhead, PerPrompt time.Duration
	// Gap and PerStream predict the token gap: Gap plus PerStream for each
	// running stream.
	Gap, PerStream time.Duration
	// Doubt is the uncertainty of the prediction; it grows with the age of the
	// load report.
	Doubt time.Duration
	// PerMove is the time to transfer the KV cache of one token to this engine.
	PerMove time.Duration
}

// Reason is why no engine was chosen.
type Reason int

// The reasons.
const (
	// Chosen means that an engine was chosen.
	Chosen Reason = iota
	// NoEngine means that no engine serves the model in a required role.
	NoEngine
)

// String returns the reason's name.
func (r Reason) String() string { return [...]string{"Chosen", "NoEngine"}[r] }

// Decision is a placement. Prefill and Decode are indexes into the engines. They
// are equal if one engine does both, and -1 if no engine was chosen.
type Decision struct {
	Prefill, Decode int
	// First, Gap and Finish are the predicted times to the first token, between
	// tokens, and to the last token.
	First, Gap, Finish time.Duration
	// Wait is the part of First spent waiting for other requests.
	Wait   time.Duration
	Reason Reason
}

// Split reports whether prefill and decode run on different engines.
func (d Decision) Split() bool { return d.Prefill != d.Decode }

// remotePenalty is the cost of an engine in another availability zone. It keeps
// requests in the local zone unless a remote engine is clearly faster.
const remotePenalty = 40 * time.Millisecond

// Choose returns the placement of a request on the engines.
func Choose(r Request, engines []Engine) Decision {
	if r.Policy != Predict {
		return baseline(r, engines)
	}
	mixed, prefill, decode := newCheapest(), newCheapest(), newCheapest()
	for i := range engines {
		e := &engines[i]
		if e.Role == spec.Mixed {
			mixed.add(i, r.colocatedCost(e), e.Doubt)
			continue
		}
		if e.Role.Prefills() {
			prefill.add(i, e.firstToken(&r)+e.zonePenalty(), e.Doubt)
			continue
		}
		decode.add(i, r.decodeOnlyCost(e), e.Doubt)
	}
	single := Decision{Prefill: -1, Decode: -1, Reason: NoEngine}
	if i := mixed.pick(r.Random); i >= 0 {
		single = r.colocated(i, &engines[i])
	}
	// If no engine is dedicated to one of the phases, a mixed engine runs it.
	p, d := prefill.pick(r.Random), decode.pick(r.Random>>32)
	if p < 0 && mixed.first >= 0 {
		p = mixed.pick(r.Random)
	}
	if d < 0 && mixed.first >= 0 && prefill.first >= 0 {
		d = mixed.pick(r.Random >> 16)
	}
	if p < 0 || d < 0 || p == d {
		return single
	}
	split := r.disaggregated(p, d, engines)
	if single.Prefill < 0 || r.penalty(split) < r.penalty(single) {
		return split
	}
	return single
}

// firstToken predicts the time to the first token if e prefills the request.
func (e *Engine) firstToken(r *Request) time.Duration {
	uncached := max(float64(r.Prompt)-e.Cached, 1)
	return e.Overhead + time.Duration(uncached*float64(e.PerPrompt)) + e.queueWait()
}

// queueWait predicts how long a new request waits for the queued prompts and for
// a slot.
func (e *Engine) queueWait() time.Duration {
	return time.Duration(e.Waiting*float64(e.PerPrompt)) + e.slotWait()
}

// slotWait predicts how long a new request waits for a slot: until enough of the
// streams ahead of it have ended.
func (e *Engine) slotWait() time.Duration {
	excess := e.Running - e.Slots
	if excess < 0 {
		return 0
	}
	left := e.Left
	if left == 0 {
		left = defaultTokensLeft
	}
	return time.Duration(float64(excess+1) * left / float64(max(e.Slots, 1)) * float64(e.tokenGap(e.Slots)))
}

// defaultTokensLeft stands for Engine.Left if that is unknown.
const defaultTokensLeft = 64

// tokenGap predicts the token gap with n running streams.
func (e *Engine) tokenGap(n int) time.Duration {
	return e.Gap + time.Duration(n)*e.PerStream
}

// zonePenalty is the cost of sending a request to e because of its zone.
func (e *Engine) zonePenalty() time.Duration {
	if e.Remote {
		return remotePenalty
	}
	return 0
}

// colocatedCost is the cost of both prefill and decode on e: the predicted time to
// the first token plus decodeCost.
func (r *Request) colocatedCost(e *Engine) time.Duration {
	return e.firstToken(r) + r.decodeCost(e)
}

// decodeCost is the cost of decoding on e: the decode time divided by gapDivisor,
// plus all time by which the token gaps exceed the target, plus the zone penalty.
func (r *Request) decodeCost(e *Engine) time.Duration {
	gap := e.tokenGap(min(e.Running+1, max(e.Slots, 1)))
	cost := gap * time.Duration(r.Output) / gapDivisor
	if gap > r.TokenGap {
		cost += (gap - r.TokenGap) * time.Duration(r.Output)
	}
	return cost + e.zonePenalty()
}

// decodeOnlyCost is the cost of decoding on e if another engine prefills:
// decodeCost plus the wait for a slot.
func (r *Request) decodeOnlyCost(e *Engine) time.Duration { return r.decodeCost(e) + e.slotWait() }

// gapDivisor is the factor by which decode time within the target gap counts less
// than time to the first token or time over the target.
const gapDivisor = 8

// penalty is the cost by which decisions are compared. Time after the deadline has
// the highest weight.
func (r *Request) penalty(d Decision) time.Duration {
	cost := d.First + d.Gap*time.Duration(r.Output)/gapDivisor
	if d.Gap > r.TokenGap {
		cost += (d.Gap - r.TokenGap) * time.Duration(r.Output)
	}
	if d.Finish > r.Left {
		cost += (d.Finish - r.Left) * lateWeight
	}
	return cost
}

// lateWeight is the factor by which time after the deadline counts more than time to
// the first token.
const lateWeight = 4

// colocated returns the decision to run the whole request on engine i.
func (r *Request) colocated(i int, e *Engine) Decision {
	d := Decision{Prefill: i, Decode: i, First: e.firstToken(r), Wait: e.queueWait(), Gap: e.tokenGap(min(e.Running+1, max(e.Slots, 1)))}
	d.Finish = d.First + d.Gap*time.Duration(r.Output)
	return d
}

// disaggregated returns the decision to prefill on engine p and decode on engine
// d. The KV transfer, the wait for a slot of d and one decode step delay the first
// token.
func (r *Request) disaggregated(p, d int, engines []Engine) Decision {
	decode := &engines[d]
	transfer := time.Duration(r.Prompt) * decode.PerMove
	first := engines[p].firstToken(r) + transfer + decode.slotWait() + decode.tokenGap(decode.Running+1)
	split := Decision{Prefill: p, Decode: d, First: first, Wait: engines[p].queueWait() + decode.slotWait(), Gap: decode.tokenGap(min(decode.Running+1, max(decode.Slots, 1)))}
	split.Finish = split.First + split.Gap*time.Duration(r.Output)
	return split
}

// cheapest holds the indexes and costs of the two cheapest engines; an index is -1
// if there is none. uncertainty is that of the first.
type cheapest struct {
	first, second         int
	firstCost, secondCost time.Duration
	uncertainty           time.Duration
}

func newCheapest() cheapest { return cheapest{first: -1, second: -1} }

// add adds engine i if it is among the two cheapest so far.
func (c *cheapest) add(i int, cost, uncertainty time.Duration) {
	switch {
	case c.first < 0 || cost < c.firstCost:
		c.second, c.secondCost = c.first, c.firstCost
		c.first, c.firstCost, c.uncertainty = i, cost, uncertainty
	case c.second < 0 || cost < c.secondCost:
		c.second, c.secondCost = i, cost
	}
}

// pick returns the cheapest engine, or -1. If the second costs more by no more
// than the uncertainty, the lowest bit of random decides between the two.
func (c *cheapest) pick(random uint64) int {
	if c.second >= 0 && c.secondCost-c.firstCost <= c.uncertainty && random&1 == 1 {
		return c.second
	}
	return c.first
}

// baseline applies the policies other than Predict.
func baseline(r Request, engines []Engine) Decision {
	p := pickBaseline(r, engines, spec.Role.Prefills)
	d := pickBaseline(r, engines, spec.Role.Decodes)
	if p < 0 || d < 0 {
		return Decision{Prefill: -1, Decode: -1, Reason: NoEngine}
	}
	if engines[p].Role == spec.Mixed || p == d {
		return r.colocated(p, &engines[p])
	}
	return r.disaggregated(p, d, engines)
}

// pickBaseline returns the engine that r.Policy selects among those whose role
// satisfies serves, or -1.
func pickBaseline(r Request, engines []Engine, serves func(spec.Role) bool) int {
	chosen, count := -1, 0
	for i := range engines {
		if serves(engines[i].Role) {
			count++
		}
	}
	seen := 0
	for i := range engines {
		e := &engines[i]
		if !serves(e.Role) {
			continue
		}
		seen++
		if r.Policy == RoundRobin {
			if uint64(seen-1) == r.Random%uint64(count) {
				return i
			}
			continue
		}
		if chosen < 0 || r.better(e, &engines[chosen]) {
			chosen = i
		}
	}
	return chosen
}

// better reports whether r.Policy, LeastLoaded or PrefixFirst, prefers a to b.
func (r *Request) better(a, b *Engine) bool {
	if r.Policy == PrefixFirst && a.Cached != b.Cached {
		return a.Cached > b.Cached
	}
	return a.Running < b.Running
}
