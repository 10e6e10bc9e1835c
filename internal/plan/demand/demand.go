// Package demand forecasts the demand for prefill and decode.
//
// Demand is what callers asked for, whether it was admitted or refused, in
// tokens. It is counted in slots of equal length. The forecast follows level
// and trend of each kind by double exponential smoothing, and keeps the error
// of its own earlier forecasts, so that a decision can tell a swing from noise.
//
// # Usage
//
//	var tally demand.Tally
//	tally.Add(prompt, output)
//	var forecast demand.Forecast
//	forecast.Close(tally.Total().Minus(before))
//	expected := forecast.At(4)
package demand

import (
	"math"
	"sync"
	"time"
)

// Slot is the length of a slot.
const Slot = 5 * time.Second

// Demand is an amount of work, in tokens.
type Demand struct {
	Prompt, Output float64
	Requests       float64
}

// Plus adds two demands.
func (d Demand) Plus(other Demand) Demand {
	return Demand{d.Prompt + other.Prompt, d.Output + other.Output, d.Requests + other.Requests}
}

// Times scales a demand.
func (d Demand) Times(k float64) Demand {
	return Demand{d.Prompt * k, d.Output * k, d.Requests * k}
}

// Tally counts the demand since the start of a process. Totals only grow, so
// that a reader who misses some readings loses nothing. The zero value is ready
// to use and safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	demand Demand
}

// Add counts a request.
func (t *Tally) Add(prompt, output int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demand = t.demand.Plus(Demand{float64(prompt), float64(output), 1})
}

// Total returns the demand since the start.
func (t *Tally) Total() Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.demand
}

// Minus returns what came between two totals. Totals that went down are of a
// new process, all of whose demand is new.
func (d Demand) Minus(before Demand) Demand {
	if d.Requests < before.Requests {
		return d
	}
	return Demand{d.Prompt - before.Prompt, d.Output - before.Output, d.Requests - before.Requests}
}

// Smoothing of the forecast.
const (
	levelWeight = 0.35
	trendWeight = 0.08
	// trendDamping damps the trend with each slot ahead.
	trendDamping = 0.85
	errorWeight  = 0.1
)

// series follows one kind of demand.
type series struct {
	level, trend, err float64
	started           bool
}

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

func (s *series) forecast(slots int) float64 {
	value, trend := s.level, s.trend
	for range slots {
		value += trend
		trend *= trendDamping
	}
	return max(value, 0)
}

// Forecast follows the demand. The zero value is ready to use.
type Forecast struct {
	prompt, output, requests series
	intervals                int
}

// Close takes in the demand of a slot that has ended.
func (f *Forecast) Close(d Demand) {
	f.intervals++
	f.prompt.observe(d.Prompt)
	f.output.observe(d.Output)
	f.requests.observe(d.Requests)
}

// At returns the demand forecast for the slot so many slots ahead.
func (f *Forecast) At(slots int) Demand {
	return Demand{f.prompt.forecast(slots), f.output.forecast(slots), f.requests.forecast(slots)}
}

// Mean returns the mean demand forecast over the next slots.
func (f *Forecast) Mean(slots int) Demand {
	var sum Demand
	for n := 1; n <= slots; n++ {
		sum = sum.Plus(f.At(n))
	}
	k := 1 / float64(max(slots, 1))
	return Demand{sum.Prompt * k, sum.Output * k, sum.Requests * k}
}

// Error returns the mean absolute error of the forecasts for the next slot.
func (f *Forecast) Error() Demand {
	return Demand{f.prompt.err, f.output.err, f.requests.err}
}

// Slots returns how many slots were taken in.
func (f *Forecast) Slots() int { return f.intervals }
