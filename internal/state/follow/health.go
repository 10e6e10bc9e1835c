package follow

import (
	"sync"
	"time"
)

// Health is what all callers of the store in a process have seen of it. One
// whose call waits for changes may not notice that the store was away
// meanwhile; another's calls have failed then.
//
// The zero value has seen nothing, and a nil Health sees nothing. Every method
// is safe for concurrent use.
type Health struct {
	mu sync.Mutex
	// failingSince is when the first call of a row of failures failed, by caller.
	failingSince map[string]time.Time
	// outageEnded is when such a row last ended that was long enough to count.
	outageEnded time.Time
}

// recentOutage is how long the store counts as having been away after its return.
// Entries that lapsed are back about then.
const recentOutage = 2 * time.Second

// Failed takes in that a caller's call failed.
func (h *Health) Failed(now time.Time, caller string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failingSince == nil {
		h.failingSince = map[string]time.Time{}
	}
	if _, ok := h.failingSince[caller]; !ok {
		h.failingSince[caller] = now
	}
}

// Answered takes in that a caller's call was answered.
func (h *Health) Answered(now time.Time, caller string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if first, ok := h.failingSince[caller]; ok {
		delete(h.failingSince, caller)
		if now.Sub(first) > outageAfter {
			h.outageEnded = now
		}
	}
}

// Away reports whether the store is away or was until lately.
func (h *Health) Away(now time.Time) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, first := range h.failingSince {
		if now.Sub(first) > outageAfter {
			return true
		}
	}
	return !h.outageEnded.IsZero() && now.Sub(h.outageEnded) < recentOutage
}
