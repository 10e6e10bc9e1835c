// Package budget counts a resource that many requests share, up to a limit.
//
// Reserve an amount before use and release it afterwards:
//
//	if !b.Reserve(size) {
//		return errFull
//	}
//	defer b.Release(size)
package budget

import "sync/atomic"

// Budget counts what is reserved. The zero value has no limit. A Budget is safe for concurrent
// use; Limit must not change once it is used.
type Budget struct {
	// Limit is the most that may be reserved at a time, 0 for no limit.
	Limit int64

	used atomic.Int64
}

// Reserve reserves n, or returns false if the limit leaves no room for it. A failed call
// reserves nothing at any moment, so that it cannot make another one fail.
func (b *Budget) Reserve(n int64) bool {
	for {
		used := b.used.Load()
		if b.Limit > 0 && used+n > b.Limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release frees n that was reserved.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns what is reserved at present.
func (b *Budget) Used() int64 { return b.used.Load() }
