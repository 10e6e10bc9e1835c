// Package demand forecasts the demand for prefill and decode.
//
// Demand is what clients request, in tokens, whether the requests are admitted or
// rejected. A Tally counts it in each process, and a Forecast observes the total of
// each interval. The forecast smooths the level and the trend of each kind of demand
// (double exponential smoothing with a damped trend). It also tracks the error of
// its earlier forecasts, so that a decision can distinguish a change in demand from
// noise.
//
// # Usage
//
//	var tally demand.Tally
//	tally.Add(prompt, output)
//	var forecast demand.Forecast
//	forecast.Observe(tally.Total().Since(before)) // once per Interval
//	expected := forecast.At(4)
package demand

import (
	"math"
	"sync"
	"time"
)

// Interval is the length of the intervals over which demand is counted.
const Interval = 5 * time.Second

// Demand is an amount of requested work.
type Demand struct {
	// Prompt and Output are in tokens.
	Prompt, Output float64
	// Requests is the number of requests.
	Requests float64
}

// Plus returns the sum of two demands.
func (d Demand) Plus(other Demand) Demand {
	return Demand{d.Prompt + other.Prompt, d.Output + other.Output, d.Requests + other.Requests}
}

// Times returns the demand multiplied by k.
func (d Demand) Times(k float64) Demand {
	return Demand{d.Prompt * k, d.Output * k, d.Requests * k}
}

// Tally counts the demand since the start of a process. Totals are cumulative, so a
// reader that misses some of them loses no demand. The zero value is ready to use.
// A Tally is safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	demand Demand
}

// Add counts a request with the given numbers of tokens.
func (t *Tally) Add(prompt, output int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demand = t.demand.Plus(Demand{float64(prompt), float64(output), 1})
}

// Total returns the demand since the start of the process.
func (t *Tally) Total() Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.demand
}

// Since returns the demand between the total before and the total d of a Tally. If d
// has fewer requests, the process has restarted and all of d is new.
func (d Demand) Since(before Demand) Demand {
	if d.Requests < before.Requests {
		return d
	}
	return Demand{d.Prompt - before.Prompt, d.Output - before.Output, d.Requests - before.Requests}
}

// Parameters of the smoothing.
const (
	// levelWeight and trendWeight are the weights of the newest interval.
	levelWeight = 0.35
	trendWeight = 0.08
	// trendDamping multiplies the trend for each interval ahead.
	trendDamping = 0.85
	// errorWeight is the weight of the newest forecast error in the mean error.
	errorWeight = 0.1
)

// series smooths one kind of demand. err is the mean absolute error of its forecasts
// for the next interval.
type series struct {
	level, trend, err float64
	started           bool
}

// observe updates the series with the value of an interval.
func (s *series) observe(value float64) {
	if !s.started {
		s.level, s.started = value, true
		return
	}
	expected := s.forecast(1)
	s.err += errorWeight * (math.Abs(value-expected) - s.err)
	before := s.level
	s.level = expected + levelWeight*(value-expected)
	s.trend = (1-trendWeight)*s.trend*trendDamping + trendWeight*(s.level-before)
}

// forecast returns the value predicted for the given number of intervals ahead.
func (s *series) forecast(intervals int) float64 {
	value, trend := s.level, s.trend
	for range intervals {
		value += trend
		trend *= trendDamping
	}
	return max(value, 0)
}

// Forecast predicts the demand of coming intervals. Its methods return demand per
// interval. The zero value is ready to use. A Forecast is not safe for concurrent
// use.
type Forecast struct {
	prompt, output, requests series
	intervals                int
}

// Observe updates the forecast with the demand of the interval that has ended.
func (f *Forecast) Observe(d Demand) {
	f.intervals++
	f.prompt.observe(d.Prompt)
	f.output.observe(d.Output)
	f.requests.observe(d.Requests)
}

// At returns the demand predicted for the given number of intervals ahead; 1 is the
// next one.
func (f *Forecast) At(intervals int) Demand {
	return Demand{f.prompt.forecast(intervals), f.output.forecast(intervals), f.requests.forecast(intervals)}
}

// Mean returns the mean demand per interval predicted for the next intervals.
func (f *Forecast) Mean(intervals int) Demand {
	var sum Demand
	for n := 1; n <= intervals; n++ {
		sum = sum.Plus(f.At(n))
	}
	k := 1 / float64(max(intervals, 1))
	return Demand{sum.Prompt * k, sum.Output * k, sum.Requests * k}
}

// Error returns the mean absolute error of past forecasts one interval ahead,
// exponentially weighted.
func (f *Forecast) Error() Demand {
	return Demand{f.prompt.err, f.output.err, f.requests.err}
}

// Intervals returns the number of intervals observed.
func (f *Forecast) Intervals() int { return f.intervals }
