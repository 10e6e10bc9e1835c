// Package meter holds the metrics of one process as expvar variables: counters,
// gauges and histograms of durations.
//
// # Usage
//
//	var set meter.Set
//	set.Add("RequestsAdmitted", 1)
//	set.Gauge("RingDepth.Reports", func() int64 { return int64(ring.Depth()) })
//	text := set.JSON()
//
// Each process has its own Set. A Set isn't published under expvar's global
// names, since a program such as the demo runs several processes at once.
package meter

import (
	"expvar"
	"strconv"
	"sync"
	"time"
)

// Set holds the metrics of a process by name. The zero value is ready to use. A
// Set is safe for concurrent use.
type Set struct {
	once   sync.Once
	values expvar.Map
}

// lazyInit makes the zero value usable.
func (s *Set) lazyInit() { s.once.Do(func() { s.values.Init() }) }

// Add adds delta to the named counter, which starts at 0.
func (s *Set) Add(name string, delta int64) {
	s.lazyInit()
	s.values.Add(name, delta)
}

// bucketBounds are the inclusive upper bounds of the histograms' buckets.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second, 15 * time.Second,
}

// Observe adds a duration to the named histogram. The counter NAME.LeMs.BOUND
// counts the durations up to the bound in milliseconds and above the next lower
// bound, so the buckets aren't cumulative; NAME.LeMs.Inf counts those above the
// last bound. NAME.SumMs is the sum of all durations in milliseconds.
func (s *Set) Observe(name string, d time.Duration) {
	bucket := "Inf"
	for _, bound := range bucketBounds {
		if d <= bound {
			bucket = strconv.FormatInt(bound.Milliseconds(), 10)
			break
		}
	}
	s.Add(name+".LeMs."+bucket, 1)
	s.Add(name+".SumMs", d.Milliseconds())
}

// Gauge sets the function that returns the named variable's value. It replaces
// an earlier one of the same name. value is called whenever the variable is
// read, from any goroutine.
func (s *Set) Gauge(name string, value func() int64) {
	s.lazyInit()
	s.values.Set(name, expvar.Func(func() any { return value() }))
}

// Value returns the named variable's value, or 0 if there is no such variable.
func (s *Set) Value(name string) int64 {
	s.lazyInit()
	switch v := s.values.Get(name).(type) {
	case *expvar.Int:
		return v.Value()
	case expvar.Func:
		if n, ok := v.Value().(int64); ok {
			return n
		}
	}
	return 0
}

// Each calls do for each variable, sorted by name. do must not add variables.
func (s *Set) Each(do func(name string, value int64)) {
	s.lazyInit()
	s.values.Do(func(kv expvar.KeyValue) { do(kv.Key, s.Value(kv.Key)) })
}

// JSON returns all variables as a JSON object, sorted by name.
func (s *Set) JSON() string {
	s.lazyInit()
	return s.values.String()
}
