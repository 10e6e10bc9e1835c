package assign

import (
	"math"
	"time"
)

// Times are an engine's estimated times for prefills; they are unknown if Rate is 0.
type Times struct {
	// Base is the time that any prefill occupies the engine, Rate how many prompt
	// tokens per second it prefills beyond that.
	Base time.Duration
	Rate float64
	// Stale is set if they have not been observed for some time.
	Stale bool
}

// Or returns t, or o if t is unknown, or stale and o is known.
func (t Times) Or(o Times) Times {
	if t.Rate == 0 || t.Stale && o.Rate > 0 {
		return o
	}
	return t
}

// occupied returns how long the prefill of the tokens occupies the engine, 0 if the
// times are unknown.
func (t Times) occupied(tokens int) time.Duration { return t.Base + timeFor(tokens, t.Rate) }

// PerSecond returns how many tokens per second the engine prefills if each prompt has
// so many; 0 if the times are unknown.
func (t Times) PerSecond(tokens int) float64 {
	if t.Rate <= 0 || tokens <= 0 {
		return 0
	}
	return float64(tokens) / t.occupied(tokens).Seconds()
}

// Engine is an engine that can prefill a prompt, with its load as this process
// estimates it.
type Engine struct {
	// Key identifies the engine's incarnation. Hash is a hash of its ID, the same
	// in all processes.
	Key, Hash uint64
	// Backlog is how many prompt tokens of all processes are still to be
	// prefilled there.
	Backlog int
	// Prefills is how many prompts these tokens belong to. Progress is how long ago
	// the engine began the first of them or completed another.
	Prefills int
	Progress time.Duration
	Times
	// Cached is how many tokens of the prompt's prefix the engine is known to
	// have in its KV cache once it has done the prefills ahead.
	Cached int
	// Delay is the time from the end of the prefill to the first event, apart
	// from what every engine needs.
	Delay time.Duration
	// Full is set if the engine has no free slot for another prefill. LongWork is set
	// if it has streams that occupy it for long; it counts only if Query.Spare is set.
	Full, LongWork bool
	// Suspect, OwnRunning, Ejected and Excluded have the meaning of Candidate.
	Suspect           bool
	OwnRunning        int
	Ejected, Excluded bool
}

// Prompt has the properties of a prompt on which the choice of an engine depends.
type Prompt struct {
	// PrefixHash is the hash of the prefix that the prompt shares with others; 0
	// if there is none.
	PrefixHash uint64
	// Own are the tokens behind the prefix, Shared those of the prefix.
	Own, Shared int
}

// Query asks for the engine for a prompt.
type Query struct {
	Prompt
	// Fetchable is how many tokens of the prefix an engine can fetch from another.
	Fetchable int
	// AssumePreferred is set if this process does not know what the engines have
	// in their KV caches. The preferred engine of the prefix, the one with the
	// lowest rendezvous score, is then assumed to have the prefix.
	AssumePreferred bool
	// Average is assumed for an engine whose times are unknown or stale.
	Average Times
	// Guess is assumed for one prompt at a time while Average is unknown too: the
	// times of engines with another role.
	Guess Times
	// Window is the longest predicted wait at an engine. An engine without a
	// prefill is available regardless.
	Window time.Duration
	// Longest bounds the predicted time of all prefills at an engine, this one
	// included; 0 means no bound. A prefill interrupts the streams of an engine
	// for its own time at most.
	Longest time.Duration
	// Spare is the time within which the prefill has to end. If it is set, engines
	// with long work are avoided whenever another one is predicted to end it in time.
	Spare time.Duration
}

// Forecast is the engine chosen for a prompt and its predicted times.
type Forecast struct {
	// Index is that of the engine, or -1 if none is available.
	Index int
	// Tokens is the expected work of the engine, in tokens to prefill. Cached is
	// how many tokens it is expected to have in its KV cache, Fetched how many
	// it is expected to fetch.
	Tokens, Cached, Fetched int
	// Wait is the predicted time until the prefill begins, Finish the predicted
	// time until the first event, apart from what every engine needs. Both are
	// 0 if nothing is known about the engines' rates.
	Wait, Finish time.Duration
}

// fetchCost is the expected cost of a prefix that an engine has to fetch, as a
// fraction of its prefill: the engine it is fetched from may have dropped it.
const fetchCost = 0.25

// Prefill chooses the engine that is predicted to finish the prefill of the prompt
// first. It answers loads of prompts that differ much in length, on engines that
// differ in speed: what counts is the time that the work ahead takes, not the
// number of requests. Tokens in the engine's KV cache take no time, tokens that it
// fetches a fraction.
func Prefill(engines []Engine, q Query) Forecast {
	c := newComparison(engines, q)
	best, other := Forecast{Index: -1}, Forecast{Index: -1}
	for i := range engines {
		f, unfit := c.forecast(i)
		if unfit != Fit {
			continue
		}
		if best.Index < 0 || f.before(best) {
			best = f
		}
		if !engines[i].LongWork && f.EndsWithin(q.Spare) && (other.Index < 0 || f.before(other)) {
			other = f
		}
	}
	if best.Index >= 0 && engines[best.Index].LongWork && other.Index >= 0 {
		return other
	}
	return best
}

// EndsWithin reports whether the prefill is predicted to end within a time. It is false if
// nothing is known about the engine's rate.
func (f Forecast) EndsWithin(d time.Duration) bool { return f.Finish > 0 && f.Finish <= d }

// comparison is a comparison of the engines for one prompt.
type comparison struct {
	engines    []Engine
	query      Query
	allEjected bool
	// preferred is the index of the engine that is assumed to have the prefix, or -1.
	preferred int
}

func newComparison(engines []Engine, q Query) comparison {
	c := comparison{engines: engines, query: q, allEjected: true, preferred: -1}
	for i := range engines {
		c.allEjected = c.allEjected && (engines[i].Ejected || engines[i].Excluded)
	}
	if q.AssumePreferred {
		c.preferred = preferredEngine(engines, q.PrefixHash, c.allEjected)
	}
	return c
}

// forecast predicts the prefill at the engine with the index, and returns why the engine
// can't be chosen. There is no prediction for an engine that can't be chosen for any
// prompt, or whose times are not known.
func (c *comparison) forecast(i int) (Forecast, Unfit) {
	if unfit := c.engines[i].unfit(c.allEjected); unfit != Fit {
		return Forecast{Index: i}, unfit
	}
	e, q := c.engines[i], &c.query
	e.Times = e.Or(q.Average)
	if e.Prefills > 0 && e.Rate == 0 {
		return Forecast{Index: i}, Unmeasured
	}
	e.Times = e.Or(q.Guess)
	if i == c.preferred {
		e.Cached = q.Shared
	}
	f := e.forecast(q)
	f.Index = i
	switch {
	case e.Prefills > 0 && f.Wait > q.Window:
		return f, WaitTooLong
	case q.Longest > 0 && f.Finish-e.Delay > q.Longest:
		return f, PrefillTooLong
	}
	return f, Fit
}

// unfit returns why the engine can't be chosen for any prompt. allEjected is whether every
// engine is ejected or excluded.
func (e *Engine) unfit(allEjected bool) Unfit {
	switch {
	case e.Excluded:
		return Excluded
	case e.Ejected && !allEjected:
		return Ejected
	case e.Full:
		return Full
	case e.Suspect && e.OwnRunning > 0:
		return Probation
	}
	return Fit
}

// wait predicts how long the prefills ahead still occupy the engine. They have made
// progress since the last completion, at most half of their time: an engine that
// completes nothing makes none.
func (e *Engine) wait() time.Duration {
	total := time.Duration(e.Prefills)*e.Base + timeFor(e.Backlog, e.Rate)
	return total - min(max(e.Progress, 0), total/2)
}

// forecast predicts the prefill of a prompt by the engine.
func (e *Engine) forecast(q *Query) Forecast {
	cached := min(max(e.Cached, 0), q.Shared)
	fetched := max(min(q.Fetchable, q.Shared)-cached, 0)
	f := Forecast{Tokens: q.Own + q.Shared - cached - fetched + int(fetchCost*float64(fetched)), Cached: cached, Fetched: fetched}
	f.Wait = e.wait()
	f.Finish = f.Wait + e.occupied(f.Tokens) + e.Delay
	return f
}

// before reports whether f is better than o: it finishes earlier, or there are
// fewer tokens to prefill.
func (f Forecast) before(o Forecast) bool {
	if f.Finish != o.Finish {
		return f.Finish < o.Finish
	}
	return f.Tokens < o.Tokens
}

// maxTime bounds predicted times.
const maxTime = time.Hour

// timeFor returns the time for the tokens at a rate per second, 0 if the rate is 0.
func timeFor(tokens int, rate float64) time.Duration {
	if rate <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(min(float64(tokens)/rate, maxTime.Seconds()) * float64(time.Second))
}

// Average returns the averages of the times that are known and not stale, or of all
// that are known if all are stale.
func Average(engines []Engine) Times {
	if fresh := averageOf(engines, false); fresh.Rate > 0 {
		return fresh
	}
	return averageOf(engines, true)
}

// averageOf returns the averages of the known times, those that are stale only if
// stale is set.
func averageOf(engines []Engine, stale bool) Times {
	var sum Times
	count := 0
	for _, e := range engines {
		if e.Rate > 0 && (stale || !e.Stale) {
			sum.Base += e.Base
			sum.Rate += e.Rate
			count++
		}
	}
	if count > 0 {
		sum.Base /= time.Duration(count)
		sum.Rate /= float64(count)
	}
	return sum
}

// preferredEngine returns the index of the engine with the lowest score for the
// prefix hash, or -1 if there is no prefix. Ejected engines are skipped unless all
// are.
func preferredEngine(engines []Engine, prefixHash uint64, allEjected bool) int {
	if prefixHash == 0 {
		return -1
	}
	best, lowest := -1, math.Inf(1)
	for i, e := range engines {
		if e.Ejected && !allEjected {
			continue
		}
		if score := Score(e.Hash, prefixHash); score < lowest {
			best, lowest = i, score
		}
	}
	return best
}
