package auth

import (
	"sync/atomic"
	"time"
)

// Freshness records when a process last confirmed that its list of accounts is the newest.
// Within is set before use. A Freshness is safe for concurrent use.
type Freshness struct {
	// Within is for how long a confirmation holds.
	Within time.Duration

	last atomic.Pointer[time.Time]
}

// Confirm records a confirmation at now. Earlier ones than the last are ignored.
func (f *Freshness) Confirm(now time.Time) {
	for {
		last := f.last.Load()
		if last != nil && !now.After(*last) || f.last.CompareAndSwap(last, &now) {
			return
		}
	}
}

// Expired reports whether the last confirmation holds no longer at now, or there is none.
func (f *Freshness) Expired(now time.Time) bool {
	last := f.last.Load()
	return last == nil || now.Sub(*last) >= f.Within
}
