package report

import (
	"cmp"
	"slices"
	"time"
)

// tickLength is the resolution of early counts. A window is long beside it, so that the
// requests of a tick across the end of a window are a small share of it.
const tickLength = 100 * time.Millisecond

// EarlyCount has the requests of an account that began in one tick of a process that does not
// know true time yet.
type EarlyCount struct {
	Account string
	// Age is the time since the middle of the tick. Tick is the number of the tick since the
	// start of the process. It tells apart what the same count is and what another one.
	Age      time.Duration
	Tick     uint32
	Requests uint32
}

// Early has the requests that a process began before it knew true time. The times that it is
// passed are those of the process's own clock. Started must be set before use. It is not safe
// for concurrent use.
type Early struct {
	// Started is when the process started.
	Started time.Time

	counts map[tickKey]uint32
	sentAt time.Time
}

// tickKey is an account and a tick.
type tickKey struct {
	account string
	tick    uint32
}

// Count counts a request that began at a time.
func (e *Early) Count(at time.Time, account string) {
	if e.counts == nil {
		e.counts = map[tickKey]uint32{}
	}
	e.counts[tickKey{account, uint32(max(at.Sub(e.Started), 0) / tickLength)}]++
}

// Due returns all counts, in parts that each fit into a message, once a second, and at once
// with immediately set.
func (e *Early) Due(now time.Time, immediately bool) [][]EarlyCount {
	if len(e.counts) == 0 || !immediately && !e.sentAt.IsZero() && now.Sub(e.sentAt) < sendInterval {
		return nil
	}
	e.sentAt = now
	list := make([]EarlyCount, 0, len(e.counts))
	for k, n := range e.counts {
		middle := time.Duration(k.tick)*tickLength + tickLength/2
		list = append(list, EarlyCount{k.account, max(now.Sub(e.Started)-middle, 0), k.tick, n})
	}
	slices.SortFunc(list, func(a, b EarlyCount) int {
		return cmp.Or(cmp.Compare(a.Tick, b.Tick), cmp.Compare(a.Account, b.Account))
	})
	var parts [][]EarlyCount
	for begin := 0; begin < len(list); {
		end, size := begin, 0
		for end < len(list) && (end == begin || size+len(list[end].Account)+earlyBytes <= partBytes) {
			size += len(list[end].Account) + earlyBytes
			end++
		}
		parts = append(parts, list[begin:end])
		begin = end
	}
	return parts
}

const (
	// earlyBytes is the most that an EarlyCount takes in a message beside the name.
	earlyBytes = 20
	// maxEarlyCounts bounds the early counts of a process in a window.
	maxEarlyCounts = 4096
)

// incarnationKey is an incarnation of a process.
type incarnationKey struct {
	process     string
	incarnation uint64
}

// AddEarly adds counts that arrived at a true time. They may arrive several times and in any
// order; the highest count of each account and tick holds.
func (c *Collector) AddEarly(now, arrived time.Time, process string, incarnation uint64, counts []EarlyCount) {
	if len(process) > maxName {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current := WindowAt(now, c.Window)
	if last, ended := c.ended[process]; ended && incarnation > last.incarnation {
		delete(c.ended, process)
	}
	for _, n := range counts {
		middle := time.Duration(n.Tick)*tickLength + tickLength/2
		start, ok := c.startOf(now, incarnationKey{process, incarnation}, arrived.Add(-n.Age-middle))
		window := WindowAt(start.Add(middle), c.Window)
		if !ok || window <= current-kept || window > current+1 || n.Account == "" || len(n.Account) > maxName {
			continue
		}
		s := c.share(window, process, incarnation)
		if s == nil {
			return
		}
		s.raiseEarly(tickKey{n.Account, n.Tick}, n.Requests)
	}
}

// startOf returns when an incarnation started, of which start is an estimate: the first one
// holds, so that a tick always counts in the same window. It returns false if there are too many
// incarnations. The caller must hold mu.
func (c *Collector) startOf(now time.Time, key incarnationKey, start time.Time) (time.Time, bool) {
	if known, ok := c.starts[key]; ok {
		return known, true
	}
	for k, at := range c.starts {
		if now.Sub(at) > kept*c.Window {
			delete(c.starts, k)
		}
	}
	if len(c.starts) >= maxProcesses {
		return time.Time{}, false
	}
	if c.starts == nil {
		c.starts = map[incarnationKey]time.Time{}
	}
	c.starts[key] = start
	return start, true
}

// raiseEarly raises an early count, if it is lower.
func (s *share) raiseEarly(key tickKey, requests uint32) {
	known, ok := s.early[key]
	if !ok && len(s.early) >= maxEarlyCounts {
		return
	}
	if s.early == nil {
		s.early = map[tickKey]uint32{}
	}
	s.early[key] = max(known, requests)
}

// totals returns the requests of each account: those of the early counts if they are more and
// not replaced.
func (s *share) totals() map[string]uint32 {
	if len(s.early) == 0 || s.replaced || s.final() {
		return s.counts
	}
	totals := map[string]uint32{}
	for key, n := range s.early {
		totals[key.account] += n
	}
	for account, n := range s.counts {
		totals[account] = max(totals[account], n)
	}
	return totals
}
