package feed

import (
	"context"
	"errors"
	"time"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

// errOpen is the error of a call that is not made because the last ones failed.
var errOpen = errors.New("calls to the store fail, waiting for the result of another one")

const (
	// openAfter is the number of failures in a row from which on calls are held back. A
	// single watch may be cut off at any time.
	openAfter = 3
	// minProbePause and maxProbePause bound the pause between two calls while they are held
	// back.
	minProbePause = 100 * time.Millisecond
	maxProbePause = 800 * time.Millisecond
)

// breaker is a circuit breaker of all calls of a process to the store. It answers an outage
// of the store, in which the tasks of all processes would otherwise call it several times a
// second each: while calls fail, one at a time is let through as a probe. The zero value is
// closed.
type breaker struct {
	failures int
	probing  bool
	probeAt  time.Time
	pause    time.Duration
}

// open reports whether calls are held back.
func (b *breaker) open() bool { return b.failures >= openAfter }

// allow reports whether a call may be made now. If so, its end must be recorded. quick is set
// for a call that does not wait for changes: only such a one shows at once that the store is
// back.
func (b *breaker) allow(now time.Time, quick bool) bool {
	if !b.open() {
		return true
	}
	if !quick || b.probing || now.Before(b.probeAt) {
		return false
	}
	b.probing = true
	return true
}

// record records the end of a call. responded is set if the store has responded to it.
func (b *breaker) record(now time.Time, responded bool) {
	if responded {
		*b = breaker{}
		return
	}
	b.failures++
	b.probing = false
	b.pause = min(max(2*b.pause, minProbePause), maxProbePause)
	b.probeAt = now.Add(b.pause)
}

// abandon records that a call was ended by this process.
func (b *breaker) abandon() { b.probing = false }

// callStore makes a call to the store, unless the last ones failed and relays are in use. quick
// has the meaning of breaker.allow.
func callStore[T any](ctx context.Context, f *Feed, quick bool, call func() (T, error)) (T, error) {
	f.mu.Lock()
	allowed := !f.active || f.breaker.allow(time.Now(), quick)
	f.mu.Unlock()
	if !allowed {
		var none T
		return none, errOpen
	}
	f.Meters.Add(FromStore, 1)
	result, err := call()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, store.ErrForgotten):
		f.breaker.record(time.Now(), true)
	case ctx.Err() != nil:
		f.breaker.abandon()
	default:
		f.breaker.record(time.Now(), false)
	}
	return result, err
}
