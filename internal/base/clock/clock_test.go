package clock

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestJumps checks that the estimate stays within the delay of messages of true time, for
// a VM whose clock was wrong at the start and for peers whose clocks are wrong or jump.
func TestJumps(t *testing.T) {
	const delay = 20 * time.Millisecond
	for _, c := range []struct {
		name string
		// start is the error of the own clock at the start.
		start time.Duration
		peers int
		// wrong is the error of the first peer's clock after 5 s, before that is its
		// error until then.
		before, wrong time.Duration
		want          time.Duration
	}{
		{"all right", 0, 5, 0, 0, 0},
		{"jump before the start", 7 * time.Second, 5, 0, 0, 0},
		{"jump back before the start, even number of peers", -time.Hour, 4, 0, 0, 0},
		{"a peer jumps ahead", 0, 3, 0, 5 * time.Second, 0},
		{"a peer jumps back", 0, 4, 0, -time.Hour, 0},
		{"a wrong peer is corrected, and the own clock is wrong", -3 * time.Second, 3, 9 * time.Second, 0, 0},
		{"too few peers", 2 * time.Second, 2, 0, 0, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var estimate Clock
				began := time.Now()
				for i := range 300 {
					now := time.Now()
					failure := c.before
					if now.Sub(began) > 5*time.Second {
						failure = c.wrong
					}
					for p := range c.peers {
						if p > 0 {
							failure = 0
						}
						// Messages are delayed by up to 20 ms.
						sent := now.Add(-delay * time.Duration((i+p)%3) / 2)
						estimate.Observe(now.Add(c.start), fmt.Sprint(p), sent.Add(failure))
					}
					if i > 0 {
						got := estimate.Time(now.Add(c.start)).Sub(now) - c.want
						assert.LessOrEqual(t, got.Abs(), delay, "after %s", now.Sub(began))
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// TestForgetsSilentPeers checks that peers that are not heard any more do not count.
func TestForgetsSilentPeers(t *testing.T) {
	var c Clock
	now := time.Now()
	assert.False(t, c.Settled(now))
	for i := range 3 {
		c.Observe(now, fmt.Sprint(i), now.Add(time.Minute))
	}
	assert.True(t, c.Settled(now))
	assert.Equal(t, now.Add(time.Minute).Round(0), c.Time(now))
	now = now.Add(11 * time.Second)
	assert.Equal(t, now.Round(0), c.Time(now))
	var alone Clock
	assert.False(t, alone.Settled(now))
	assert.True(t, alone.Settled(now.Add(settleTime)))
}
