// Package ring provides the bounded queues that join the duties of a process.
//
// # Usage
//
//	queue := ring.New[Report]("Reports", 64)
//	queue.Push(report)
//	report, err := queue.Pop(ctx)
//
// A full ring drops the newest value and counts it: a duty that falls behind
// never holds up the one before it. Depth and drops of every ring are metrics.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue. It is made by New.
type Ring[T any] struct {
	name    string
	values  chan T
	dropped atomic.Int64
}

// New returns a ring for size values.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{name: name, values: make(chan T, size)}
}

// Push appends a value, or drops it and returns false if the ring is full.
func (r *Ring[T]) Push(value T) bool {
	select {
	case r.values <- value:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Pop takes the oldest value, waiting for one. The error is that of ctx.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case value := <-r.values:
		return value, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Values is the channel to select on.
func (r *Ring[T]) Values() <-chan T { return r.values }

// Name returns the ring's name.
func (r *Ring[T]) Name() string { return r.name }

// Depth returns how many values wait.
func (r *Ring[T]) Depth() int { return len(r.values) }

// Dropped returns how many values were dropped.
func (r *Ring[T]) Dropped() int64 { return r.dropped.Load() }
