package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Saved is the value of the store's object with the counts that processes held as they
// stopped, when there was no collector left to send them to.
type Saved struct {
	// Era is that of the store when the object was written. If the store has a later one,
	// the windows may have been reported since.
	Era uint64
	// Accounts are those that Shares have.
	Accounts []string
	Shares   []SavedShare
}

// SavedShare has the counts of one window and incarnation of a process.
type SavedShare struct {
	Window      int64
	Process     string
	Incarnation uint64
	// Final is set if these are all counts, Closed if the process still ran at the end of the
	// window.
	Final  bool `json:",omitempty"`
	Closed bool `json:",omitempty"`
	// Counts has the indexes of accounts in Accounts, each followed by its requests.
	Counts []uint32
}

// ParseSaved decodes the value of the store's object.
func ParseSaved(value []byte) (Saved, error) {
	var s Saved
	if err := json.Unmarshal(value, &s); err != nil {
		return Saved{}, fmt.Errorf("saved counts: %w", err)
	}
	return s, nil
}

// Encode returns the value of the store's object, without the oldest windows if they are too
// many for it. The numbers of these are returned as omitted.
func (s Saved) Encode() (value []byte, omitted []int64) {
	for {
		// Marshal cannot fail for this type.
		value, _ = json.Marshal(s)
		if len(value) <= store.MaxValue || len(s.Shares) == 0 {
			return value, omitted
		}
		oldest := s.Shares[0].Window
		omitted = append(omitted, oldest)
		s.Shares = slices.DeleteFunc(slices.Clone(s.Shares), func(h SavedShare) bool { return h.Window == oldest })
	}
}

// Save returns the counts of all windows that are kept, sorted by window.
func (c *Collector) Save(era uint64) Saved {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, indexes := Saved{Era: era}, map[string]uint32{}
	for window, processes := range c.windows {
		for name, t := range processes {
			for incarnation, h := range t.shares {
				saved := SavedShare{Window: window, Process: name, Incarnation: incarnation, Final: h.final(), Closed: h.closed}
				for account, n := range h.totals() {
					index, ok := indexes[account]
					if !ok {
						index = uint32(len(s.Accounts))
						indexes[account] = index
						s.Accounts = append(s.Accounts, account)
					}
					saved.Counts = append(saved.Counts, index, n)
				}
				s.Shares = append(s.Shares, saved)
			}
		}
	}
	slices.SortFunc(s.Shares, func(a, b SavedShare) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return s
}

// Restore adds saved counts, of which the highest of each account holds, and returns the last
// of their windows. As with Add, those of windows that are not kept are ignored.
func (c *Collector) Restore(now time.Time, s Saved) (last int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := WindowAt(now, c.Window)
	for _, saved := range s.Shares {
		if saved.Window <= current-kept || saved.Window > current+1 || len(saved.Process) > maxName {
			continue
		}
		h := c.share(saved.Window, saved.Process, saved.Incarnation)
		if h == nil {
			continue
		}
		for i := 0; i+1 < len(saved.Counts); i += 2 {
			if index := int(saved.Counts[i]); index < len(s.Accounts) {
				h.raise(s.Accounts[index], saved.Counts[i+1])
			}
		}
		if saved.Final && !h.final() {
			h.parts, h.finals = 1, map[string]bool{"": true}
		}
		h.closed = h.closed || saved.Closed
		last = max(last, saved.Window)
	}
	for _, saved := range s.Shares {
		if t := c.windows[saved.Window][saved.Process]; t != nil && saved.Final && t.shares[saved.Incarnation] != nil {
			c.addKnownEnding(Process{saved.Process, saved.Incarnation}, saved.Window, t.shares[saved.Incarnation])
		}
	}
	return last
}

// savedInterval is the least time between two reads of the object with saved counts while a
// process is silent.
const savedInterval = time.Second

// RereadSaved makes the object with saved counts be read again if a process may have saved its
// counts since, and until it was read once after that. silent are the processes that are waited
// for and do not live: one that was cut off may have stopped as planned. live has the latest
// incarnations of those that live.
//
// The one more read is needed as a process can stop being waited for within savedInterval of a
// read, as it has been silent for long or its planned end is known. The counts that it saved in
// between would otherwise be missing in the report. It is not delayed by savedInterval, as
// reports wait for it, and the store may soon be away.
func (m *Machine) RereadSaved(now time.Time, c *Collector, silent []Process, live map[string]uint64) {
	lacks := c.lacks(now, m.next, silent, live)
	m.lacks, m.unread = lacks, m.unread || m.lacks && !lacks
	if m.unread || m.lacks && now.Sub(m.savedAt) >= savedInterval {
		m.savedKnown = false
	}
}

// lacks reports whether a silent process, or an earlier incarnation of a live one, has sent no
// final counts of a window from the given one to the present.
func (c *Collector) lacks(now time.Time, from int64, silent []Process, live map[string]uint64) bool {
	current := WindowAt(now, c.Window)
	for window := max(from, current-kept+1); window <= current; window++ {
		if !c.Complete(window, silent) || c.lacksEarlier(window, live) {
			return true
		}
	}
	return false
}

// lacksEarlier reports whether an earlier incarnation of a live process has sent no final counts
// of a window in which it counted.
func (c *Collector) lacksEarlier(window int64, live map[string]uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, t := range c.windows[window] {
		for incarnation, s := range t.shares {
			if incarnation < live[name] && !s.final() {
				return true
			}
		}
	}
	return false
}

// ReadSaved records the object with saved counts as read at now, and adds them to the
// collector. version is that of the object, or consists of the store's era and revision 0 if
// there is none. The error says that the value has no counts; the object is then removed.
func (m *Machine) ReadSaved(now time.Time, version uint64, value []byte, c *Collector) error {
	m.savedKnown, m.savedRead, m.savedVersion, m.savedLast, m.savedAt, m.unread = true, true, 0, 0, now, false
	if store.Revision(version) == 0 || len(value) == 0 {
		return nil
	}
	m.savedVersion = version
	s, err := ParseSaved(value)
	if err != nil {
		return err
	}
	if s.Era == store.Era(version) {
		m.savedLast = c.Restore(now, s)
	}
	if m.unreported {
		m.next = c.Earliest(m.next)
	}
	return nil
}

// RemovedSaved records that the object with saved counts was removed.
func (m *Machine) RemovedSaved() { m.savedVersion = 0 }

// UnsettledSaved records that the object with saved counts may have another content than is
// known.
func (m *Machine) UnsettledSaved() { m.savedKnown = false }
