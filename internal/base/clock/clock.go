// Package clock estimates true time although the wall clocks of some VMs are wrong.
//
// A process takes its wall clock once, at its start, and advances it by the monotonic
// clock, so that a later jump of the wall clock has no effect. It corrects this time by
// the median of the differences to the wall clocks that its peers send, so that a
// jump before its start and the wrong clocks of a minority of peers have no effect either.
//
// # Usage
//
//	c := &clock.Clock{}
//	c.Observe(now, "entry-2", sentAt)
//	t := c.Time(now)
//
// The zero value is ready to use. A Clock is safe for concurrent use.
package clock

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// MinPeers is the number of peers from which their clocks are used: with fewer, one
	// wrong clock could be the median.
	MinPeers = 3
	// retention is how long a difference counts after it was seen.
	retention = 10 * time.Second
	// updateInterval is the period at which the median is computed.
	updateInterval = 200 * time.Millisecond
	// settleTime is how long after the start a process waits for the clocks of its peers. A peer
	// may send its first message to a new process after about two seconds.
	settleTime = 5 * time.Second
)

// difference is how far the clock of a peer is ahead. The delay of a
// message lowers it, so that the largest recent difference is the most accurate one.
type difference struct {
	by     time.Duration
	seenAt time.Time
	// latest is when the last message of the peer arrived.
	latest time.Time
}

// Clock estimates true time. Times that are passed to it are those of time.Now, with
// their monotonic reading.
type Clock struct {
	mu sync.Mutex
	// start is when the clock was first used.
	start      time.Time
	peers      map[string]difference
	correction time.Duration
	// corrected is set while enough peers are known.
	corrected bool
	updatedAt time.Time
}

// Observe records that a message of a peer with its wall clock arrived at now.
func (c *Clock) Observe(now time.Time, peer string, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	by := wall.Sub(c.own(now).Round(0))
	if c.peers == nil {
		c.peers = map[string]difference{}
	}
	d, known := c.peers[peer]
	if !known || by >= d.by || now.Sub(d.seenAt) > retention {
		d.by, d.seenAt = by, now
	}
	d.latest = now
	c.peers[peer] = d
}

// own returns the time of this process without a correction. The caller must hold mu.
func (c *Clock) own(now time.Time) time.Time {
	if c.start.IsZero() {
		c.start = now
	}
	return c.start.Add(now.Sub(c.start))
}

// Time returns the estimate of true time at now.
func (c *Clock) Time(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.own(now)
	c.update(now)
	// Without its monotonic reading, the time is compared by its wall clock.
	return own.Add(c.correction).Round(0)
}

// Settled reports whether the correction at now is final, apart from small changes: enough
// peers are known, or settleTime has passed.
func (c *Clock) Settled(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own(now)
	return len(c.peers) >= MinPeers || now.Sub(c.start) >= settleTime
}

// update computes the correction. The caller must hold mu.
func (c *Clock) update(now time.Time) {
	if now.Sub(c.updatedAt) < updateInterval && c.corrected == (len(c.peers) >= MinPeers) {
		return
	}
	c.updatedAt = now
	maps.DeleteFunc(c.peers, func(_ string, d difference) bool { return now.Sub(d.latest) > retention })
	if c.corrected = len(c.peers) >= MinPeers; !c.corrected {
		c.correction = 0
		return
	}
	list := make([]time.Duration, 0, len(c.peers)+1)
	for _, d := range c.peers {
		list = append(list, d.by)
	}
	if len(list)%2 == 0 {
		// The own clock makes the number odd, so that the median is one of them.
		list = append(list, 0)
	}
	slices.Sort(list)
	c.correction = list[len(list)/2]
}
