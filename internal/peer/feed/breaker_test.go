package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An outage of the store must cost few calls, also those that it refuses, and must not be
// noticed late when it ends: five tasks that retry every 100 ms for 9 s make one call at a time.
func TestBreakerLimitsCallsInAnOutage(t *testing.T) {
	var b breaker
	start := time.Unix(1e9, 0)
	calls := 0
	for at := time.Duration(0); at < 9*time.Second; at += 20 * time.Millisecond {
		if b.allow(start.Add(at), true) {
			calls++
			b.record(start.Add(at), false)
		}
	}
	assert.Less(t, calls, 20)
	assert.True(t, b.open())
	assert.True(t, b.allow(start.Add(9*time.Second+maxProbePause), true), "the next probe")
	assert.False(t, b.allow(start.Add(10*time.Second), true), "one probe at a time")
	b.abandon()
	assert.False(t, b.allow(start.Add(10*time.Second), false), "a call that waits for changes is no probe")
	b.record(start.Add(10*time.Second), true)
	assert.False(t, b.open())
	assert.True(t, b.allow(start.Add(10*time.Second), false))
}

// A watch that is cut off by itself must not hold back the calls of other kinds, and a probe
// that this process ended itself must not block the next one.
func TestBreakerIgnoresSingleFailures(t *testing.T) {
	var b breaker
	now := time.Unix(1e9, 0)
	for range 10 {
		b.record(now, false)
		assert.True(t, b.allow(now, true))
		b.record(now, true)
	}
	for range openAfter {
		b.record(now, false)
	}
	now = now.Add(maxProbePause)
	assert.True(t, b.allow(now, true))
	b.abandon()
	assert.True(t, b.allow(now, true))
}
