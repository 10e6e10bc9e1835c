package report

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// sendInterval is the least time between two messages of a window to a collector
	// while the window is open.
	sendInterval = time.Second
	// finalDelay is how long after the end of a window its counts are final: requests that
	// began at the end are counted by then, and the estimates of true time differ by less.
	// finalSends is how often the final counts are sent, as a datagram may be lost.
	finalDelay = 500 * time.Millisecond
	finalSends = 2
	// partBytes bounds the names and counts in a Part, so that its message, with the names
	// of the sender and the fields of the window, is at most 1,200 bytes long.
	partBytes = 1000
	// countBytes is the most that a count takes in a message beside the name.
	countBytes = 12
	// maxDueParts bounds the parts for one collector in one call of Due: a new collector
	// gets the counts of all windows of all processes.
	maxDueParts = 4
	// maxAccounts bounds the accounts of a window.
	maxAccounts = 4096
)

// Counter counts the requests of one process. Window must be set before use. A Counter is
// safe for concurrent use.
type Counter struct {
	// Window is the length of the windows.
	Window time.Duration

	mu      sync.Mutex
	windows map[int64]*counted
	// began is the first window whose counts are sent.
	began   int64
	running bool
	// started is the window in which the process started, 0 if it is not known.
	started int64
}

// counted are the counts of one window.
type counted struct {
	counts map[string]uint32
	// version increases with each change.
	version uint64
	sent    map[string]sending
}

// sending is what a collector was sent of a window.
type sending struct {
	version uint64
	at      time.Time
	// closed is set once the counts were sent after the end of the window, finals is how
	// often they were sent as final.
	closed bool
	finals int
}

// Message is a Part for a collector.
type Message struct {
	To   string
	Part Part
}

// Count counts a request of an account that began to run at a true time.
func (c *Counter) Count(at time.Time, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.window(WindowAt(at, c.Window))
	if _, known := w.counts[account]; !known && len(w.counts) >= maxAccounts {
		return
	}
	w.counts[account]++
	w.version++
}

// window returns the counts of a window. The caller must hold mu.
func (c *Counter) window(number int64) *counted {
	w, ok := c.windows[number]
	if !ok {
		if c.windows == nil {
			c.windows = map[int64]*counted{}
		}
		w = &counted{counts: map[string]uint32{}, sent: map[string]sending{}}
		c.windows[number] = w
	}
	return w
}

// Begin records the true time at which the process started, of which a better estimate may
// follow: its final counts of the windows from then on are waited for.
func (c *Counter) Begin(started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = WindowAt(started, c.Window)
}

// Due returns what is to be sent now to the collectors. A collector gets the counts of each
// window once a second while they change, once at the end of the window and finalSends times
// as final; a new one those of all windows that are kept. With immediately set, changes are
// sent at once, since the process is about to end.
func (c *Counter) Due(now time.Time, collectors []string, immediately bool) []Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.keep(now)
	var list []Message
	for _, to := range collectors {
		parts := 0
		for number := current - kept + 1; number <= current && parts < maxDueParts; number++ {
			if number < c.began {
				continue
			}
			w := c.window(number)
			s, due := w.next(now, EndOf(number, c.Window), to, immediately)
			if !due {
				continue
			}
			w.sent[to] = s
			for _, p := range w.parts(number, s.finals > 0) {
				list = append(list, Message{to, p})
				parts++
			}
		}
	}
	return list
}

// Flush returns the final counts of all windows whose counts were not sent as final, also of
// the present one. No request must be counted later.
func (c *Counter) Flush(now time.Time, collectors []string) []Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.keep(now)
	var list []Message
	for number := current - kept + 1; number <= current; number++ {
		w, ok := c.windows[number]
		if !ok {
			continue
		}
		for _, to := range collectors {
			if s := w.sent[to]; s.finals > 0 && s.version == w.version {
				continue
			}
			for _, p := range w.parts(number, true) {
				list = append(list, Message{to, p})
			}
		}
	}
	return list
}

// keep removes the windows that are too old, and those so far ahead that true time cannot have
// been known when they were counted. It returns the present one. The caller must hold mu.
func (c *Counter) keep(now time.Time) int64 {
	current := WindowAt(now, c.Window)
	for number := range c.windows {
		if number <= current-kept || number > current+1 {
			delete(c.windows, number)
		}
	}
	if !c.running || c.began > current {
		// The windows before are those of an earlier process of this name, whose final
		// counts nobody else sends.
		c.running, c.began = true, current-2
		if c.started > 0 {
			c.began = min(c.began, c.started)
		}
	}
	return current
}

// next returns the state of a window after the next message to a collector, and whether that
// is due.
func (w *counted) next(now, end time.Time, to string, immediately bool) (sending, bool) {
	s, known := w.sent[to]
	changed := s.version != w.version || !known && w.version > 0
	waited := !known || now.Sub(s.at) >= sendInterval
	next := sending{version: w.version, at: now, closed: s.closed, finals: s.finals}
	switch {
	case !now.Before(end.Add(finalDelay)):
		if s.finals >= finalSends && !changed || s.finals > 0 && !waited {
			return s, false
		}
		next.finals++
		return next, true
	case !now.Before(end):
		next.closed = true
		return next, !s.closed && changed
	default:
		return next, changed && (waited || immediately)
	}
}

// parts returns the counts of a window in parts.
func (w *counted) parts(number int64, final bool) []Part {
	return split(number, final, w.counts, partBytes)
}

// split returns the counts of a window in parts of at most the given size in bytes. The accounts
// of each part depend on the counted accounts only, so that final counts are always split in the
// same way.
func split(number int64, final bool, all map[string]uint32, most int) []Part {
	counts := make([]Count, 0, len(all))
	for account, n := range all {
		counts = append(counts, Count{account, n})
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Compare(a.Account, b.Account) })
	var list []Part
	for begin := 0; begin < len(counts) || begin == 0 && len(list) == 0; {
		end, size := begin, 0
		for end < len(counts) && (end == begin || size+len(counts[end].Account)+countBytes <= most) {
			size += len(counts[end].Account) + countBytes
			end++
		}
		list = append(list, Part{Window: number, Final: final, Counts: counts[begin:end]})
		begin = end
	}
	for i := range list {
		list[i].Parts = len(list)
	}
	return list
}
