// Package hold decides whether an engine's memory takes the prompt of one more request.
//
// An engine keeps the KV cache of the prompt of each request in progress, waiting ones
// included, and crashes if they exceed its memory. A process knows the prompts of its own
// requests, and of those whose permits it has granted. Its peers tell the tokens of theirs. Of the
// requests of peers that don't, it knows the number and the tokens that are still to be prefilled,
// and estimates their prompts from the mean of those that it knows.
//
// # Usage
//
//	var mean hold.Mean
//	mean.Observe(tokens) // of each request that is sent to an engine of the service
//	if hold.Fits(cacheTokens, load, mean.Tokens(), prompt) {
//		send()
//	}
//
// Tokens that several prompts share count for each of them. Everything here is pure; the
// caller guards a Mean.
package hold

import "math"

// Share is the share of an engine's KV cache that the prompts of requests in progress may
// have. The rest is for the tokens that they generate, and for what several processes send
// before they know of each other's requests.
const Share = 0.9

const (
	// minObserved is the number of prompts from which their mean is used. Before that, one
	// long prompt would make engines look full that are not.
	minObserved = 16
	// weight is the weight of the newest prompt in the mean, once there are enough.
	weight = 0.02
	// underWay estimates what peers have sent since they told their prompts, as a share of these.
	// It is at most 0.1 of a KV cache, since what they tell is then at most 0.8 of it. Without it,
	// processes that see the same room can exceed the cache together.
	underWay = 0.125
)

// Mean estimates the mean prompt of the requests of a service. The zero value has none.
type Mean struct {
	tokens float64
	count  int
}

// Observe adds a prompt to the mean.
func (m *Mean) Observe(tokens int) {
	m.count++
	m.tokens += max(weight, 1/float64(m.count)) * (float64(tokens) - m.tokens)
}

// Tokens returns the mean prompt, or 0 while too few are known.
func (m *Mean) Tokens() float64 {
	if m == nil || m.count < minObserved {
		return 0
	}
	return m.tokens
}

// Load is what an engine holds.
type Load struct {
	// Known is the prompt tokens of the requests whose prompts this process knows, Told those
	// that its peers tell.
	Known, Told int
	// Others counts the requests of peers that don't tell, Prefill the tokens of them that
	// are still to be prefilled.
	Others, Prefill int
}

// Tokens estimates the prompt tokens of the requests, those under way included, if those that are
// not told have the mean prompt.
func (l Load) Tokens(mean float64) float64 {
	others := float64(max(l.Others, 0)) * mean
	return float64(l.exact()) + underWay*float64(max(l.Told, 0)) + math.Max(others, float64(max(l.Prefill, 0)))
}

// exact returns the prompt tokens that are known or told.
func (l Load) exact() int { return max(l.Known, 0) + max(l.Told, 0) }

// Fits reports whether an engine with a KV cache of so many tokens takes a prompt beside its
// load. An engine without any load takes every prompt, and so does one whose capacity is not
// known, which is 0.
func Fits(cacheTokens float64, l Load, mean float64, prompt int) bool {
	if cacheTokens <= 0 || prompt <= 0 || l.exact() == 0 && l.Others <= 0 {
		return true
	}
	return l.Tokens(mean)+float64(prompt) <= Share*cacheTokens
}
