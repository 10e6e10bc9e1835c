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
// many for it. These are returned as left.
func (s Saved) Encode() (value []byte, left []int64) {
	for {
		// Marshal cannot fail for this type.
		value, _ = json.Marshal(s)
		if len(value) <= store.MaxValue || len(s.Shares) == 0 {
			return value, left
		}
		oldest := s.Shares[0].Window
		left = append(left, oldest)
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
	return last
}

// ReadSaved records the object with saved counts as read at now, and adds them to the
// collector. version is that of the object, or consists of the store's era and revision 0 if
// there is none. The error says that the value has no counts; the object is then removed.
func (m *Machine) ReadSaved(now time.Time, version uint64, value []byte, c *Collector) error {
	m.savedKnown, m.savedVersion, m.savedLast = true, 0, 0
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
