// Package place chooses the engine, or the pair of engines, for a request.
//
// The choice is by predicted times. The time to the first token is the prompt
// tokens ahead of the request and its own, less those that the engine has
// cached, over the engine's prefill rate; the KV move is added if prefill and
// decode are on two engines. The gap between tokens is predicted from the
// streams that run. Load reports lag, so that each prediction carries an
// uncertainty; among engines that are within the uncertainty of the best, the
// request's random number decides between two, which keeps nodes that see the
// same report from all choosing the same engine.
//
// # Usage
//
//	decision := place.Choose(place.Request{Prompt: 900, Output: 60, Budget: deadline}, engines)
//	if decision.Prefill < 0 {
//		refuse(decision.Reason)
//	}
//
// Choose is pure: it reads its arguments only and allocates nothing.
package place

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
)

// Request is what a choice needs to know of a request.
type Request struct {
	// Prompt and Output are in tokens; Output is an upper bound or a guess.
	Prompt, Output int
	// FirstToken and TokenGap are the targets.
	FirstToken, TokenGap time.Duration
	// Left is the time to the deadline.
	Left time.Duration
	// Random is any number.
	Random uint64
	// Policy is the rule of choice; the zero value predicts.
	Policy Policy
}

// Policy is a rule of choice. All but Predict are baselines for measurements.
type Policy int

// The policies.
const (
	// Predict takes the earliest predicted first token that keeps the gap.
	Predict Policy = iota
	// LeastLoaded takes the engine with the fewest streams.
	LeastLoaded
	// PrefixFirst takes the engine with the longest cached prefix, then the
	// fewest streams.
	PrefixFirst
	// RoundRobin takes one engine after the other.
	RoundRobin
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"Predict", "LeastLoaded", "PrefixFirst", "RoundRobin"}[p]
}

// Engine is an engine that serves the request's model, as it is believed to be.
type Engine struct {
	Role spec.Role
	// Remote is set if the engine is in another availability zone.
	Remote bool
	// Waiting counts the prompt tokens ahead of a new request.
	Waiting float64
	// Running counts the streams that run or wait, Slots how many run at once.
	Running, Slots int
	// Left is how many tokens the streams are from their ends, on the mean.
	Left float64
	// Cached counts the tokens of the request's prompt that are cached.
	Cached float64
	// Overhead and PerPrompt predict the first token: Overhead plus PerPrompt
	// for each prompt token ahead and of the request.
	Overhead, PerPrompt time.Duration
	// Gap and PerStream predict the token gap: Gap plus PerStream for each
	// stream that runs.
	Gap, PerStream time.Duration
	// Doubt is the uncertainty of the prediction, from the age of the report.
	Doubt time.Duration
	// PerMove is the time to move one token of KV cache here.
	PerMove time.Duration
}

// Reason is why no engine was chosen.
type Reason int

// The reasons.
const (
	// Chosen means that there is a choice.
	Chosen Reason = iota
	// NoEngine means that no engine serves the model in the role needed.
	NoEngine
)

// String returns the reason's name.
func (r Reason) String() string { return [...]string{"Chosen", "NoEngine"}[r] }

// Decision is a choice. Prefill and Decode are indexes into the engines, equal
// if one engine does both, and -1 if there is no choice.
type Decision struct {
	Prefill, Decode int
	// First and Gap are the predicted time to the first token and between
	// tokens; Finish is the predicted time to the last token.
	First, Gap, Finish time.Duration
	// Wait is the part of First that is owed to other requests.
	Wait   time.Duration
	Reason Reason
}

// Split reports whether prefill and decode are on two engines.
func (d Decision) Split() bool { return d.Prefill != d.Decode }

// remotePenalty keeps requests in their zone unless another is clearly better.
const remotePenalty = 40 * time.Millisecond

// Choose chooses among the engines.
func Choose(r Request, engines []Engine) Decision {
	if r.Policy != Predict {
		return baseline(r, engines)
	}
	whole, pre, dec := newCheapest(), newCheapest(), newCheapest()
	for i := range engines {
		e := &engines[i]
		if e.Role == spec.Mixed {
			whole.add(i, r.colocatedCost(e), e.Doubt)
			continue
		}
		if e.Role.Serves() {
			pre.add(i, e.firstToken(&r)+e.zonePenalty(), e.Doubt)
			continue
		}
		dec.add(i, r.decodeOnlyCost(e), e.Doubt)
	}
	one := Decision{Prefill: -1, Decode: -1, Reason: NoEngine}
	if i := whole.pick(r.Random); i >= 0 {
		one = r.colocated(i, &engines[i])
	}
	p, d := pre.pick(r.Random), dec.pick(r.Random>>32)
	if p < 0 && whole.first >= 0 {
		p = whole.pick(r.Random)
	}
	if d < 0 && whole.first >= 0 && pre.first >= 0 {
		d = whole.pick(r.Random >> 16)
	}
	if p < 0 || d < 0 || p == d {
		return one
	}
	two := r.disaggregated(p, d, engines)
	if one.Prefill < 0 || r.penalty(two) < r.penalty(one) {
		return two
	}
	return one
}

// firstToken predicts the time to the first token on an engine.
func (e *Engine) firstToken(r *Request) time.Duration {
	own := max(float64(r.Prompt)-e.Cached, 1)
	return e.Overhead + time.Duration(own*float64(e.PerPrompt)) + e.queueWait()
}

// queueWait predicts how long a new request waits for others.
func (e *Engine) queueWait() time.Duration {
	return time.Duration(e.Waiting*float64(e.PerPrompt)) + e.slotWait()
}

// slotWait predicts how long a new request waits for a slot: streams ahead of it
// have to end.
func (e *Engine) slotWait() time.Duration {
	over := e.Running - e.Slots
	if over < 0 {
		return 0
	}
	left := e.Left
	if left == 0 {
		left = defaultTokensLeft
	}
	return time.Duration(float64(over+1) * left / float64(max(e.Slots, 1)) * float64(e.tokenGap(e.Slots)))
}

// defaultTokensLeft is how far a stream is taken to be from its end, in tokens, as long
// as nothing was learned of it.
const defaultTokensLeft = 64

// tokenGap predicts the token gap with n streams.
func (e *Engine) tokenGap(n int) time.Duration {
	return e.Gap + time.Duration(n)*e.PerStream
}

func (e *Engine) zonePenalty() time.Duration {
	if e.Remote {
		return remotePenalty
	}
	return 0
}

// colocatedCost is what minimising does best for a request on one engine: its time
// to the first token, and its tokens over the target gap.
func (r *Request) colocatedCost(e *Engine) time.Duration {
	return e.firstToken(r) + r.decodeCost(e)
}

// decodeCost is the time by which decoding on e is worse than on an idle
// engine of zero gap: a small weight as long as the target holds, the whole
// once it does not.
func (r *Request) decodeCost(e *Engine) time.Duration {
	gap := e.tokenGap(min(e.Running+1, max(e.Slots, 1)))
	cost := gap * time.Duration(r.Output) / gapDivisor
	if gap > r.TokenGap {
		cost += (gap - r.TokenGap) * time.Duration(r.Output)
	}
	return cost + e.zonePenalty()
}

// decodeOnlyCost is the cost of decoding on e for a request that another engine
// prefills.
func (r *Request) decodeOnlyCost(e *Engine) time.Duration { return r.decodeCost(e) + e.slotWait() }

// gapDivisor is how much less a token within the target gap counts.
const gapDivisor = 8

// penalty orders decisions: missing the deadline is worst.
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

// lateWeight is how much worse a late end is than a late first token.
const lateWeight = 4

func (r *Request) colocated(i int, e *Engine) Decision {
	d := Decision{Prefill: i, Decode: i, First: e.firstToken(r), Wait: e.queueWait(), Gap: e.tokenGap(min(e.Running+1, max(e.Slots, 1)))}
	d.Finish = d.First + d.Gap*time.Duration(r.Output)
	return d
}

func (r *Request) disaggregated(p, d int, engines []Engine) Decision {
	decode := &engines[d]
	move := time.Duration(r.Prompt) * decode.PerMove
	first := engines[p].firstToken(r) + move + decode.slotWait() + decode.tokenGap(decode.Running+1)
	two := Decision{Prefill: p, Decode: d, First: first, Wait: engines[p].queueWait() + decode.slotWait(), Gap: decode.tokenGap(min(decode.Running+1, max(decode.Slots, 1)))}
	two.Finish = two.First + two.Gap*time.Duration(r.Output)
	return two
}

// cheapest holds the two cheapest offers.
type cheapest struct {
	first, second         int
	firstCost, secondCost time.Duration
	uncertainty                 time.Duration
}

func newCheapest() cheapest { return cheapest{first: -1, second: -1} }

func (b *cheapest) add(i int, cost, doubt time.Duration) {
	switch {
	case b.first < 0 || cost < b.firstCost:
		b.second, b.secondCost = b.first, b.firstCost
		b.first, b.firstCost, b.uncertainty = i, cost, doubt
	case b.second < 0 || cost < b.secondCost:
		b.second, b.secondCost = i, cost
	}
}

// pick returns the cheapest, or by chance the second if doubt makes them equal.
func (b *cheapest) pick(random uint64) int {
	if b.second >= 0 && b.secondCost-b.firstCost <= b.uncertainty && random&1 == 1 {
		return b.second
	}
	return b.first
}

// baseline applies the simple policies.
func baseline(r Request, engines []Engine) Decision {
	p := pickBaseline(r, engines, spec.Role.Serves)
	d := pickBaseline(r, engines, spec.Role.Decodes)
	if p < 0 || d < 0 {
		return Decision{Prefill: -1, Decode: -1, Reason: NoEngine}
	}
	if engines[p].Role == spec.Mixed || p == d {
		return r.colocated(p, &engines[p])
	}
	return r.disaggregated(p, d, engines)
}

func pickBaseline(r Request, engines []Engine, serves func(spec.Role) bool) int {
	chosen, count := -1, 0
	for i := range engines {
		if serves(engines[i].Role) {
			count++
		}
	}
	turn := 0
	for i := range engines {
		e := &engines[i]
		if !serves(e.Role) {
			continue
		}
		turn++
		if r.Policy == RoundRobin {
			if uint64(turn-1) == r.Random%uint64(count) {
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

func (r *Request) better(a, b *Engine) bool {
	if r.Policy == PrefixFirst && a.Cached != b.Cached {
		return a.Cached > b.Cached
	}
	return a.Running < b.Running
}
