package lease_test

import (
	"context"
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

// TestHolderStopsBeforeAnyoneFollows goes through clocks that run slow and fast
// within the allowed drift, and through the delays of the platform's answers.
func TestHolderStopsBeforeAnyoneFollows(t *testing.T) {
	drift := float64(lease.MaxDriftPerMille) / 1000
	for _, holderRate := range []float64{1 - drift/2, 1, 1 + drift/2} {
		for _, takerRate := range []float64{1 - drift/2, 1, 1 + drift/2} {
			for _, delay := range []time.Duration{0, 10 * time.Millisecond, 2 * time.Second} {
				// Each process has a clock of its own.
				holderClock := func(at time.Duration) time.Time {
					return time.Unix(0, 0).Add(time.Duration(float64(at) * holderRate))
				}
				takerClock := func(at time.Duration) time.Time {
					return time.Unix(1e9, 0).Add(time.Duration(float64(at) * takerRate))
				}
				holder := lease.Lease{Holder: "a"}
				holder.Observe(holderClock(0), store.Object{Key: "k"})
				object, record := holder.AcquireWrite("k", "w")
				object.Version = 1
				// The platform takes the write after the delay and the answer
				// takes as long again; the taker reads the object at once.
				holder.RecordWrite(holderClock(0), holderClock(2*delay), record, 1)
				taker := lease.Lease{Holder: "b"}
				taker.Observe(takerClock(delay), object)
				var stopped, free time.Duration
				for at := time.Duration(0); at < time.Minute; at += time.Millisecond {
					if _, ok := holder.Grant(holderClock(at)); ok {
						stopped = at
					}
					if free == 0 && at >= delay && taker.Free(takerClock(at)) {
						free = at
					}
				}
				assert.Greater(t, free-stopped, lease.MaxSendDelay-time.Millisecond, "rates %v %v, delay %v", holderRate, takerRate, delay)
			}
		}
	}
}

func TestLease(t *testing.T) {
	now := time.Unix(0, 0)
	l := lease.Lease{Holder: "a"}
	assert.False(t, l.Free(now), "nothing is known")
	l.Observe(now, store.Object{Key: "k"})
	assert.True(t, l.Free(now), "there is no object")
	_, record := l.AcquireWrite("k", "w1")
	assert.EqualValues(t, 1, record.Fence)
	l.RecordWrite(now, now, record, 5)
	grant, ok := l.Grant(now)
	require.True(t, ok)
	assert.EqualValues(t, 1, grant.Fence)
	_, record = l.AcquireWrite("k", "w2")
	assert.EqualValues(t, 1, record.Fence, "a renewal keeps the number")
	_, record = l.ReleaseWrite("k", "w3")
	l.RecordWrite(now, now, record, 6)
	_, ok = l.Grant(now)
	assert.False(t, ok, "a lease that was given back grants nothing")
	other := lease.Lease{Holder: "b"}
	object, _ := l.ReleaseWrite("k", "w3")
	object.Version = 6
	other.Observe(now, object)
	assert.True(t, other.Free(now), "a lease that was given back is free at once")
	_, record = other.AcquireWrite("k", "w4")
	assert.EqualValues(t, 2, record.Fence, "another taking raises the number")
}

// TestKeeperUnderFaults runs two keepers and expects never two grants at once.
func TestKeeperUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults platf.Faults
		lasts  time.Duration
		// held is whether someone has to hold the lease during the faults.
		held bool
	}{
		{"no fault", platf.Faults{}, 30 * time.Second, true},
		{"outage", platf.Faults{Down: true}, time.Minute, false},
		{"no answers", platf.Faults{Silent: true}, time.Minute, false},
		{"slow answers", platf.Faults{Delay: 5 * time.Second}, time.Minute, false},
		{"lost answers", platf.Faults{LoseAnswers: 20}, time.Minute, true},
		{"stale reads", platf.Faults{Stale: 20}, time.Minute, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := &platf.Platform{}
				ctx, cancel := context.WithCancel(t.Context())
				var keepers []*lease.Keeper
				for _, name := range []string{"a", "b"} {
					k := &lease.Keeper{Name: "x", Holder: name, Store: platform, Trace: &trace.Line{}}
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
				assert.Equal(t, 1, grants(), "someone takes it again")
				cancel()
				time.Sleep(5 * time.Second)
				assert.Equal(t, 0, grants())
			})
		})
	}
}
