package model

import (
	"errors"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/route/prefix"
)

var errLost = &call.Error{Stage: call.StageReading, Err: errors.New("answer lost")}

// cache is a prefix cache that evicts what was used longest ago.
type cache struct {
	limit    int
	used     map[uint64]uint64
	clock    uint64
	sequence uint64
	events   []engine.CacheEvent
}

// hit returns how many leading blocks are cached, and marks them as used.
func (c *cache) hit(blocks []uint64) int {
	c.clock++
	for i, name := range blocks {
		if _, ok := c.used[name]; !ok {
			return i
		}
		c.used[name] = c.clock
	}
	return len(blocks)
}

// add takes in the blocks of a prompt.
func (c *cache) add(blocks []uint64) {
	if c.used == nil {
		c.used = map[uint64]uint64{}
	}
	c.clock++
	for _, name := range blocks {
		if _, ok := c.used[name]; !ok {
			c.publish(name, false)
		}
		c.used[name] = c.clock
	}
	for len(c.used)*prefix.BlockTokens > c.limit {
		c.evict()
	}
}

func (c *cache) evict() {
	var oldest, name uint64
	for n, at := range c.used {
		if oldest == 0 || at < oldest || at == oldest && n < name {
			oldest, name = at, n
		}
	}
	delete(c.used, name)
	c.publish(name, true)
}

func (c *cache) publish(name uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, Prefix: name, Evicted: evicted})
	if len(c.events) > 4*maxEvents {
		c.events = append([]engine.CacheEvent(nil), c.events[2*maxEvents:]...)
	}
}

// recent returns the newest events; with lose, every other one is missing.
func (c *cache) recent(most int, lose bool) []engine.CacheEvent {
	list := c.events[max(0, len(c.events)-most):]
	var out []engine.CacheEvent
	for _, event := range list {
		if lose && event.Sequence%2 == 0 {
			continue
		}
		out = append(out, event)
	}
	return out
}
