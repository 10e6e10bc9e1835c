// Package ring provides bounded, non-blocking queues between the tasks of a
// process.
//
// # Usage
//
//	queue := ring.New[Report]("Reports", 64)
//	queue.Push(report)
//	report, err := queue.Pop(ctx)
//
// Push on a full ring drops the new value and counts it, so a consumer that
// falls behind never blocks its producers. Depth and Dropped are meant to be
// published as metrics. A Ring is safe for concurrent use.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO queue. Use New to create one.
type Ring[T any] struct {
	name    string
	values  chan T
	dropped atomic.Int64
}

// New returns an empty ring that holds up to size values.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{name: name, values: make(chan T, size)}
}

// Push appends a value. If the ring is full, it drops the value, counts it and
// returns false.
func (r *Ring[T]) Push(value T) bool {
	select {
	case r.values <- value:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Pop removes and returns the oldest value. It waits for one until ctx ends and
// then returns the error of ctx.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case value := <-r.values:
		return value, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Values returns the channel of the queued values, for use in a select.
func (r *Ring[T]) Values() <-chan T { return r.values }

// Name returns the ring's name.
func (r *Ring[T]) Name() string { return r.name }

// Depth returns the number of queued values.
func (r *Ring[T]) Depth() int { return len(r.values) }

// Dropped returns how many values were dropped so far.
func (r *Ring[T]) Dropped() int64 { return r.dropped.Load() }
