package report

import (
	"sync"
	"time"
)

const (
	// maxProcesses bounds the processes of which a collector keeps counts, maxName the
	// length of a name in bytes.
	maxProcesses = 4096
	maxName      = 512
)

// Collector collects the counts of all processes. Window must be set before use. A Collector
// is safe for concurrent use.
type Collector struct {
	// Window is the length of the windows.
	Window time.Duration

	mu      sync.Mutex
	windows map[int64]map[string]*tally
	// ended has the processes that have ended as planned: those that sent final counts of a
	// window before its end, and none of a later one.
	ended map[string]ending
	// starts has the starts of the incarnations with early counts, in true time.
	starts map[incarnationKey]time.Time
	// intake says whether other processes have forwarded their counts.
	intake intake
}

// ending is the last incarnation of a process and the last window that it counted in.
type ending struct {
	incarnation uint64
	window      int64
}

// tally has the counts of the incarnations of one process in one window.
type tally struct {
	newest uint64
	shares map[uint64]*share
}

// share has the counts of one incarnation.
type share struct {
	counts map[string]uint32
	// closed is set if final counts arrived after the end of the window, so that the
	// incarnation still ran then.
	closed bool
	// early has the counts from before the process knew true time, which hold until replaced
	// is set.
	early    map[tickKey]uint32
	replaced bool
	// parts is the number of parts of the final counts, 0 if they are not known. finals has
	// the first account of each part that has arrived.
	parts  int
	finals map[string]bool
}

// Add adds a part of a process's counts. It may arrive several times and in any order; the
// highest count of each account holds. Parts of windows that are not kept, and those with
// counts that no process sends, are ignored.
func (c *Collector) Add(now time.Time, process string, incarnation uint64, p Part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.addCounts(now, process, incarnation, p)
	if s == nil || !p.finals() {
		return
	}
	s.addFinal(p)
	if now.Before(EndOf(p.Window, c.Window)) {
		c.addEnding(process, ending{incarnation, p.Window})
	} else {
		s.closed = true
	}
}

// addCounts adds the counts of a part. It returns nil if they are not kept. The caller must hold
// mu.
func (c *Collector) addCounts(now time.Time, process string, incarnation uint64, p Part) *share {
	current := WindowAt(now, c.Window)
	if p.Window <= current-kept || p.Window > current+1 || len(process) > maxName {
		return nil
	}
	for number := range c.windows {
		if number <= current-kept {
			delete(c.windows, number)
		}
	}
	if last, ended := c.ended[process]; ended && (incarnation > last.incarnation || incarnation == last.incarnation && p.Window > last.window) {
		// The process has started again, or its clock is ahead and its counts came early.
		delete(c.ended, process)
	}
	s := c.share(p.Window, process, incarnation)
	if s == nil {
		return nil
	}
	s.replaced = s.replaced || p.Replaces
	for _, n := range p.Counts {
		s.raise(n.Account, n.Requests)
	}
	return s
}

// finals reports whether the part has final counts in a number of parts that a process sends.
func (p *Part) finals() bool { return p.Final && p.Parts > 0 && p.Parts <= maxAccounts }

// raise raises the count of an account, if it is lower.
func (s *share) raise(account string, requests uint32) {
	known, ok := s.counts[account]
	if account == "" || len(account) > maxName || !ok && len(s.counts) >= maxAccounts {
		return
	}
	s.counts[account] = max(known, requests)
}

// addEnding records the planned end of a process. The caller must hold mu.
func (c *Collector) addEnding(process string, e ending) {
	if c.ended == nil {
		c.ended = map[string]ending{}
	}
	if len(c.ended) >= maxProcesses {
		clear(c.ended)
	}
	c.ended[process] = e
}

// Ended reports whether an incarnation of a process, or a later one, has ended as planned and
// the process has sent no counts since.
func (c *Collector) Ended(p Process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ended := c.ended[p.Name]
	return ended && p.Incarnation <= last.incarnation
}

// addFinal records that a part of the final counts has arrived. Parts is at most maxAccounts,
// as each part has an account of its own.
func (s *share) addFinal(p Part) {
	if s.parts != p.Parts {
		// Requests were counted after the first final counts.
		s.parts, s.finals = p.Parts, map[string]bool{}
	}
	first := ""
	if len(p.Counts) > 0 {
		first = p.Counts[0].Account
		if _, counted := s.counts[first]; !counted {
			// The part is incomplete here: its first account is too long or one too many.
			return
		}
	}
	if len(s.finals) < p.Parts {
		s.finals[first] = true
	}
}

// share returns the counts of a process, nil if there are too many. The caller must hold mu.
func (c *Collector) share(window int64, process string, incarnation uint64) *share {
	if c.windows == nil {
		c.windows = map[int64]map[string]*tally{}
	}
	if c.windows[window] == nil {
		c.windows[window] = map[string]*tally{}
	}
	t, ok := c.windows[window][process]
	if !ok {
		if len(c.windows[window]) >= maxProcesses {
			return nil
		}
		t = &tally{shares: map[uint64]*share{}}
		c.windows[window][process] = t
	}
	s, ok := t.shares[incarnation]
	if !ok {
		if len(t.shares) >= maxIncarnations {
			return nil
		}
		s = &share{counts: map[string]uint32{}}
		t.shares[incarnation] = s
		t.newest = max(t.newest, incarnation)
	}
	return s
}

// maxIncarnations bounds the incarnations of a process that count in one window. A process
// takes seconds to start.
const maxIncarnations = 16

// Totals returns the requests of each account in a window, of all processes and incarnations
// together, without accounts that have none.
func (c *Collector) Totals(window int64) map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := map[string]uint64{}
	for _, t := range c.windows[window] {
		for _, s := range t.shares {
			for account, n := range s.totals() {
				if n > 0 {
					totals[account] += uint64(n)
				}
			}
		}
	}
	return totals
}

// Process is a process whose counts are waited for, with its latest known incarnation, 0 if
// none is known.
type Process struct {
	Name        string
	Incarnation uint64
}

// Complete reports whether all the processes have sent their final counts of a window.
func (c *Collector) Complete(window int64, processes []Process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range processes {
		if t, ok := c.windows[window][p.Name]; !ok || !t.complete(p.Incarnation) {
			return false
		}
	}
	return true
}

// complete reports whether the final counts are known that a process with the given latest
// incarnation will send. Those of an earlier incarnation do only if it still ran at the end of
// the window, so that the latest one began after it.
func (t *tally) complete(latest uint64) bool {
	newest := t.shares[t.newest]
	if !newest.final() {
		return false
	}
	if s, ok := t.shares[latest]; ok {
		return s.final()
	}
	return latest < t.newest || newest.closed
}

// final reports whether all parts of the final counts have arrived.
func (s *share) final() bool { return s.parts > 0 && len(s.finals) >= s.parts }

// Earliest returns the first window, up to the given one, in which a request is known to have
// begun; the given one if there is none.
func (c *Collector) Earliest(window int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, processes := range c.windows {
		for _, t := range processes {
			for _, s := range t.shares {
				if len(s.counts)+len(s.early) > 0 {
					window = min(window, number)
				}
			}
		}
	}
	return window
}
