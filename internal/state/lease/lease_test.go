package lease_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/stand/platf"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// TestGrantEndsBeforeLeaseIsFree checks that a holder's grant ends at least
// MaxSendDelay before another process may acquire the lease, for clocks that run
// slow and fast within the allowed drift and for delayed responses.
func TestGrantEndsBeforeLeaseIsFree(t *testing.T) {
	drift := float64(lease.MaxDriftPerMille) / 1000
	for _, holderRate := range []float64{1 - drift/2, 1, 1 + drift/2} {
		for _, otherRate := range []float64{1 - drift/2, 1, 1 + drift/2} {
			for _, delay := range []time.Duration{0, 10 * time.Millisecond, 2 * time.Second} {
				// Each process has a clock of its own.
				holderClock := func(at time.Duration) time.Time {
					return time.Unix(0, 0).Add(time.Duration(float64(at) * holderRate))
				}
				otherClock := func(at time.Duration) time.Time {
					return time.Unix(1e9, 0).Add(time.Duration(float64(at) * otherRate))
				}
				holder := lease.Lease{Holder: "a"}
				holder.Observe(holderClock(0), store.Object{Key: "k"})
				object, record := holder.AcquireWrite("k", "w")
				object.Version = 1
				// The write reaches the platform after the delay and the response
				// takes as long again; the second process reads the object as
				// soon as it is written.
				holder.RecordWrite(holderClock(0), holderClock(2*delay), record, 1)
				other := lease.Lease{Holder: "b"}
				other.Observe(otherClock(delay), object)
				var stopped, free time.Duration
				for at := time.Duration(0); at < time.Minute; at += time.Millisecond {
					if _, ok := holder.Grant(holderClock(at)); ok {
						stopped = at
					}
					if free == 0 && at >= delay && other.Free(otherClock(at)) {
						free = at
					}
				}
				assert.Greater(t, free-stopped, lease.MaxSendDelay-time.Millisecond, "rates %v %v, delay %v", holderRate, otherRate, delay)
			}
		}
	}
}

// TestLease goes through acquisition, renewal and release.
func TestLease(t *testing.T) {
	now := time.Unix(0, 0)
	l := lease.Lease{Holder: "a"}
	assert.False(t, l.Free(now), "the object was not read yet")
	l.Observe(now, store.Object{Key: "k"})
	assert.True(t, l.Free(now), "there is no object")
	_, record := l.AcquireWrite("k", "w1")
	assert.EqualValues(t, 1, record.Fence)
	l.RecordWrite(now, now, record, 5)
	grant, ok := l.Grant(now)
	require.True(t, ok)
	assert.EqualValues(t, 1, grant.Fence)
	_, record = l.AcquireWrite("k", "w2")
	assert.EqualValues(t, 1, record.Fence, "a renewal keeps the fencing token")
	_, record = l.ReleaseWrite("k", "w3")
	l.RecordWrite(now, now, record, 6)
	_, ok = l.Grant(now)
	assert.False(t, ok, "a released lease grants nothing")
	other := lease.Lease{Holder: "b"}
	object, _ := l.ReleaseWrite("k", "w3")
	object.Version = 6
	other.Observe(now, object)
	assert.True(t, other.Free(now), "a released lease is free at once")
	_, record = other.AcquireWrite("k", "w4")
	assert.EqualValues(t, 2, record.Fence, "the next acquisition increments the fencing token")
}

// TestOddRecordFreesNoLease checks that a record that another writer has made unreadable
// doesn't free the lease while its holder may have a grant, and that the fencing token grows.
func TestOddRecordFreesNoLease(t *testing.T) {
	start := time.Unix(1, 0)
	for _, odd := range []string{"null", "7", "{", `{"Fence":-1}`, `{"Fence":1e999}`, "{}", strings.Repeat("[", 20_000)} {
		l := lease.Lease{Holder: "b"}
		l.Observe(start, store.Object{Key: "k", Value: []byte(`{"Holder":"a","Fence":7}`), Version: 1})
		l.Observe(start.Add(time.Millisecond), store.Object{Key: "k", Value: []byte(odd), Version: 2})
		assert.False(t, l.Free(start.Add(lease.Duration)), "%.20s", odd)
		assert.True(t, l.Free(start.Add(2*lease.Duration)), "%.20s", odd)
		_, record := l.AcquireWrite("k", "w")
		assert.EqualValues(t, 8, record.Fence, "%.20s", odd)
	}
}

// TestTokensAfterRestore checks that a token grows although a renewal of an earlier era, which
// was in flight while the store was restored, replaces the record of a later acquisition, and
// that such a renewal grants nothing.
func TestTokensAfterRestore(t *testing.T) {
	now := time.Unix(0, 0)
	a := lease.Lease{Holder: "a"}
	a.Observe(now, store.Object{Key: "k"})
	stray, record := a.AcquireWrite("k", "w")
	b := lease.Lease{Holder: "b"}
	b.Observe(now, store.Object{Key: "k", Version: store.Version(1, 0)})
	assert.False(t, b.Free(now), "the store may have lost the lease")
	now = now.Add(2 * lease.Duration)
	require.True(t, b.Free(now))
	acquired, first := b.AcquireWrite("k", "w")
	assert.Zero(t, acquired.Version, "the object is to be created")
	assert.EqualValues(t, 1<<32+1, first.Fence)
	b.RecordWrite(now, now, first, store.Version(1, 7))
	stray.Version = store.Version(1, 8)
	a.RecordWrite(now, now, record, stray.Version)
	_, ok := a.Grant(now)
	assert.False(t, ok)
	c := lease.Lease{Holder: "c"}
	c.Observe(now, stray)
	_, next := c.AcquireWrite("k", "w")
	assert.Greater(t, next.Fence, first.Fence)
}

// TestKeeperUnderFaults runs two keepers against a failing platform and checks
// that never both have a grant.
func TestKeeperUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults platf.Faults
		lasts  time.Duration
		// held is whether the lease must be held at the end of the faults.
		held bool
	}{
		{"no fault", platf.Faults{}, 30 * time.Second, true},
		{"outage", platf.Faults{Down: true}, time.Minute, false},
		{"no responses", platf.Faults{Silent: true}, time.Minute, false},
		{"slow responses", platf.Faults{Delay: 5 * time.Second}, time.Minute, false},
		{"lost responses", platf.Faults{LoseAnswers: 20}, time.Minute, true},
		{"stale reads", platf.Faults{Stale: 20}, time.Minute, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := &platf.Platform{}
				ctx, cancel := context.WithCancel(t.Context())
				var keepers []*lease.Keeper
				for _, name := range []string{"a", "b"} {
					k := &lease.Keeper{Name: "x", Holder: name, Store: platform, Trace: &trace.Timeline{}}
					keepers = append(keepers, k)
					go k.Run(ctx)
				}
				grants := func() int {
					n := 0
					for _, k := range keepers {
						if _, ok := k.Grant(); ok {
							n++
						}
					}
					return n
				}
				time.Sleep(15 * time.Second)
				require.Equal(t, 1, grants())
				platform.SetFaults(c.faults)
				for range int(c.lasts / (50 * time.Millisecond)) {
					time.Sleep(50 * time.Millisecond)
					require.LessOrEqual(t, grants(), 1)
				}
				if c.held {
					assert.Equal(t, 1, grants())
				} else {
					assert.Equal(t, 0, grants())
				}
				platform.SetFaults(platf.Faults{})
				time.Sleep(30 * time.Second)
				assert.Equal(t, 1, grants(), "the lease is acquired again after the faults")
				cancel()
				time.Sleep(5 * time.Second)
				assert.Equal(t, 0, grants())
			})
		})
	}
}

// TestDelayedWriteOwnsNothing guards against a process that takes the token of another one, or
// the lease while the other has a grant: a write that was sent before the store was restored
// arrives after the other has acquired the lease.
func TestDelayedWriteOwnsNothing(t *testing.T) {
	now := time.Unix(1, 0)
	for name, delayed := range map[string]string{
		"renewal": `{"Holder":"a","Fence":5,"Write":"w"}`, "release": `{"Holder":"a","Fence":5,"Write":"w","Released":true}`,
	} {
		l := lease.Lease{Holder: "a"}
		l.Observe(now, store.Object{Key: "k", Value: []byte(`{"Holder":"b","Fence":4294967302}`), Version: store.Version(1, 10)})
		l.Observe(now, store.Object{Key: "k", Value: []byte(delayed), Version: store.Version(1, 11)})
		assert.False(t, l.Own(), name)
		assert.False(t, l.Free(now.Add(time.Second)), name)
		_, record := l.AcquireWrite("k", "w")
		assert.Greater(t, record.Fence, uint64(4294967302), name)
	}
}
