package core

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// beat has the processes send status messages to those that they reach.
func (c cluster) beat(drop func(from, to string) bool) {
	for _, n := range c {
		n.sequence++
		for _, to := range c {
			if to != n && (drop == nil || !drop(n.Name, to.Name)) {
				to.handleStatus(&wire.News{From: n.Name, Incarnation: 1, Sequence: n.sequence + 1})
			}
		}
		n.peers.Expire(time.Now())
	}
}

// play plays the tasks and status messages for a time.
func (c cluster) play(d time.Duration, drop func(from, to string) bool) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.beat(drop)
		c.run(2*quarantineInterval, drop)
	}
}

// try sends requests with the part to all processes for a time. send is called with each
// that is a trial. It returns how many there were.
func (c cluster) try(d time.Duration, part string, drop func(from, to string) bool, send func() (reached, served bool)) (trials int) {
	done := make(chan bool)
	for end := time.Now().Add(d); time.Now().Before(end); c.play(2*quarantineInterval, drop) {
		for _, n := range c {
			trial, begun := n.quarantine.Try(time.Now(), 1, []string{"other", part})
			if !begun {
				continue
			}
			go func() { done <- trial.Agree(context.Background()) && trial.Send() }()
			agreed, ended := false, false
			for !ended {
				select {
				case agreed = <-done:
					ended = true
				default:
					c.play(quarantineInterval/2, drop)
				}
			}
			if !agreed {
				trial.End(false, false)
				continue
			}
			trials++
			trial.End(send())
		}
	}
	return trials
}

// TestHarmlessPartIsServedAgain checks that one request ends the quarantine of a part in all
// processes, also if half of the datagrams are lost, and that it does not come back.
func TestHarmlessPartIsServedAgain(t *testing.T) {
	for _, loss := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 5)
			random := rand.New(rand.NewPCG(1, 2))
			drop := func(string, string) bool { return loss && random.IntN(3) == 0 }
			c.play(time.Second, drop)
			c.crashAll(6, drop, "a")
			c.play(time.Second, drop)
			o := c[0].entry(t)
			o.Version = 7
			for _, n := range c {
				quarantineView{n.quarantine}.Change(page(o))
			}
			assert.Equal(t, 1, c.try(25*time.Second, "a", drop, func() (bool, bool) { return true, true }))
			for _, n := range c {
				assert.False(t, n.has("a"), n.Name)
			}
			removal := store.Object{Key: o.Key, Version: 7}
			assert.Equal(t, removal, c[0].entry(t))
			c.run(2*quarantineWriteRetry, drop)
			assert.Equal(t, removal, c[0].entry(t), "the entry is still there")
			for _, n := range c {
				quarantineView{n.quarantine}.Change(page(store.Object{Key: o.Key, Removed: true}))
				quarantineView{n.quarantine}.Replace(page(o), true)
				n.handleStatus(&wire.News{From: "b", Quarantined: []*wire.PartTime{{Part: "a", Ms: uint32((crash.QuarantineTime - time.Minute).Milliseconds())}}})
				assert.False(t, n.has("a"), "it has come back: "+n.Name)
			}
		})
	}
}

// TestPartThatGoesOnCrashingIsTriedTwice checks that the trials that reach a server are no
// more than two, and that those that reach none are repeated once a second.
func TestPartThatGoesOnCrashingIsTriedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.play(time.Second, nil)
		c.crashAll(6, nil, "a")
		found := time.Now()
		unsent := 0
		trials := c.try(5*time.Minute, "a", nil, func() (bool, bool) {
			unsent++
			return unsent > 4, false
		})
		assert.Equal(t, 4+2, trials)
		for _, n := range c {
			assert.True(t, n.has("a"), n.Name)
		}
		assert.Less(t, time.Since(found), crash.QuarantineTime)
	})
}

// TestNoTrialWithoutPeersOrAfterAStart checks that a process tries nothing alone, in a half
// of the system, or if it started after the finding.
func TestNoTrialWithoutPeersOrAfterAStart(t *testing.T) {
	served := func() (bool, bool) { return true, true }
	for _, cut := range []string{"a", "ab"} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, len(cut)*2)
			c.play(time.Second, nil)
			c.crashAll(6, nil, "a")
			c.play(10*time.Second, nil)
			drop := func(from, to string) bool {
				return slices.Contains([]byte(cut), from[0]) != slices.Contains([]byte(cut), to[0])
			}
			assert.Zero(t, c.try(time.Minute, "a", drop, served))
			assert.Equal(t, 1, c.try(10*time.Second, "a", nil, served), "the partition has ended")
			for _, n := range c {
				assert.False(t, n.has("a"), n.Name)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.play(time.Second, nil)
		c.crashAll(6, nil, "a")
		c.play(time.Second, nil)
		for _, n := range c {
			n.quarantine.trials.Started = time.Now()
		}
		assert.Zero(t, c.try(time.Minute, "a", nil, served))
	})
}

// TestWithdrawalReachesProcessThatWasCutOff checks that a process that got no message while
// the quarantine was withdrawn gets it when it is live again.
func TestWithdrawalReachesProcessThatWasCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.play(time.Second, nil)
		c.crashAll(6, nil, "a")
		c.play(time.Second, nil)
		drop := func(from, to string) bool { return from == "d" || to == "d" }
		assert.Equal(t, 1, c.try(40*time.Second, "a", drop, func() (bool, bool) { return true, true }))
		assert.True(t, c[3].has("a"))
		c.play(time.Second, nil)
		assert.False(t, c[3].has("a"))
	})
}

// TestEntryOfWithdrawnPartIsRemovedAtItsEnd guards against entries that stay in the store for
// ever: the store fails until the withdrawal is forgotten, or has the entry of a withdrawn
// part when that is over.
func TestEntryOfWithdrawnPartIsRemovedAtItsEnd(t *testing.T) {
	for _, left := range []time.Duration{9 * time.Minute, -time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 2)
			c.play(time.Second, nil)
			for _, n := range c {
				q := n.quarantine
				q.mu.Lock()
				q.withdraw(time.Now(), "a", time.Now(), "test")
				q.mu.Unlock()
				value := encodeQuarantined(time.Now(), "a", time.Now().Add(left))
				quarantineView{q}.Change(page(store.Object{Key: q.key("a"), Value: value, Version: 7}))
				assert.False(t, n.has("a"))
			}
			c.play(crash.QuarantineTime+2*time.Second, nil)
			removal := store.Object{Key: c[0].quarantine.key("a"), Version: 7}
			writes := 0
			for _, n := range c {
				assert.Empty(t, n.quarantine.trials.Withdrawn())
				for len(n.quarantine.writes.Values()) > 0 {
					n.entry(t)
				}
			}
			c.play(2*quarantineWriteRetry, nil)
			for _, n := range c {
				for len(n.quarantine.writes.Values()) > 0 {
					assert.Equal(t, removal, n.entry(t))
					writes++
				}
			}
			assert.Positive(t, writes, "the entry stays in the store: %v", left)
		})
	}
}
