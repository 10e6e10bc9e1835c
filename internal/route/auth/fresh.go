package auth

import (
	"sync/atomic"
	"time"
)

// Freshness records when a process last confirmed that its list of accounts is the newest: at
// the store, or through a peer that has confirmed the same list there. Within is set before use.
// A Freshness is safe for concurrent use.
type Freshness struct {
	// Within is for how long a confirmation holds.
	Within time.Duration

	store, peer moment
}

// moment is the latest of the times that it was advanced to.
type moment struct{ at atomic.Pointer[time.Time] }

// advance moves the moment to a time unless that is earlier.
func (m *moment) advance(to time.Time) {
	for {
		last := m.at.Load()
		if last != nil && !to.After(*last) || m.at.CompareAndSwap(last, &to) {
			return
		}
	}
}

// age returns the time since the moment, or false if that is within or more, or there is none.
func (m *moment) age(now time.Time, within time.Duration) (time.Duration, bool) {
	last := m.at.Load()
	if last == nil || now.Sub(*last) >= within {
		return 0, false
	}
	return max(now.Sub(*last), 0), true
}

// Confirm records a confirmation at the store at now. Earlier ones than the last are ignored.
func (f *Freshness) Confirm(now time.Time) { f.store.advance(now) }

// ConfirmByPeer records that a peer had confirmed the list at the store the given time before
// now. It holds for what is left of Within, and is not passed on: two processes without the
// store would otherwise confirm each other indefinitely.
func (f *Freshness) ConfirmByPeer(now time.Time, age time.Duration) {
	if age >= 0 && age < f.Within {
		f.peer.advance(now.Add(-age))
	}
}

// Age returns the time since the last confirmation at the store, for peers, or false if that
// holds no longer or there is none.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) { return f.store.age(now, f.Within) }

// Expired reports whether no confirmation holds at now.
func (f *Freshness) Expired(now time.Time) bool {
	_, own := f.store.age(now, f.Within)
	_, byPeer := f.peer.age(now, f.Within)
	return !own && !byPeer
}
