package model

import (
	"errors"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

// errResponseLost is returned for an order that took effect but whose response
// did not arrive.
var errResponseLost = &call.Error{Stage: call.StageReading, Err: errors.New("response lost")}

// cache is an LRU prefix cache of block hashes that records a numbered event
// for each block added or evicted. Engine.mu must be held.
type cache struct {
	// limit is the size in tokens.
	limit int
	// lastUse has the value of clock at the last use of each cached block. clock
	// counts the calls of hit and add.
	lastUse map[uint64]uint64
	clock   uint64
	// sequence is the number of the newest event, and events has the newest ones,
	// oldest first.
	sequence uint64
	events   []engine.CacheEvent
}

// hit returns how many leading blocks are cached and marks them as used.
func (c *cache) hit(blocks []uint64) int {
	c.clock++
	for i, hash := range blocks {
		if _, ok := c.lastUse[hash]; !ok {
			return i
		}
		c.lastUse[hash] = c.clock
	}
	return len(blocks)
}

// add inserts the blocks of a prompt and evicts the least recently used blocks
// over the limit.
func (c *cache) add(blocks []uint64) {
	if c.lastUse == nil {
		c.lastUse = map[uint64]uint64{}
	}
	c.clock++
	for _, hash := range blocks {
		if _, ok := c.lastUse[hash]; !ok {
			c.publish(hash, false)
		}
		c.lastUse[hash] = c.clock
	}
	for len(c.lastUse)*prefix.BlockTokens > c.limit {
		c.evict()
	}
}

// evict removes the least recently used block. Blocks used at the same time are
// evicted in the order of their hashes, so that runs are repeatable.
func (c *cache) evict() {
	var oldest, victim uint64
	for hash, at := range c.lastUse {
		if oldest == 0 || at < oldest || at == oldest && hash < victim {
			oldest, victim = at, hash
		}
	}
	delete(c.lastUse, victim)
	c.publish(victim, true)
}

// publish appends an event. It drops the oldest events when there are too many,
// but keeps at least the newest 2*maxReportEvents.
func (c *cache) publish(hash uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, Prefix: hash, Evicted: evicted})
	if len(c.events) > 4*maxReportEvents {
		c.events = append([]engine.CacheEvent(nil), c.events[2*maxReportEvents:]...)
	}
}

// recent returns up to limit of the newest events. If lose is set, events with
// even sequence numbers are missing.
func (c *cache) recent(limit int, lose bool) []engine.CacheEvent {
	list := c.events[max(0, len(c.events)-limit):]
	var kept []engine.CacheEvent
	for _, event := range list {
		if lose && event.Sequence%2 == 0 {
			continue
		}
		kept = append(kept, event)
	}
	return kept
}
