package follow

import (
	"sync"
	"time"
)

// Health detects outages of the store from the calls of all its callers in a
// process. A caller that waits for changes may not notice an outage during which
// the calls of another one failed. Callers are distinguished by name; a Follower
// uses its Kind.
//
// The zero value is ready to use. A nil Health records nothing and reports no
// outage. All methods are safe for concurrent use.
type Health struct {
	mu sync.Mutex
	// failingSince is when the first of the caller's last consecutive failures
	// happened, by caller. Callers without failures have no entry.
	failingSince map[string]time.Time
	// outageEnded is when the last outage ended.
	outageEnded time.Time
}

// recentOutage is how long after its end an outage is still reported. By then,
// owners have written expired entries again.
const recentOutage = 2 * time.Second

// RecordFailure records that a call of the caller failed at now.
func (h *Health) RecordFailure(now time.Time, caller string) {
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

// RecordSuccess records that a call of the caller succeeded at now.
func (h *Health) RecordSuccess(now time.Time, caller string) {
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

// RecordOutage records that an outage ended at now that another caller has seen, such as
// a process from which this one reads the store's objects.
func (h *Health) RecordOutage(now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outageEnded = now
}

// Outage reports whether the store has an outage at now or had one until recently.
func (h *Health) Outage(now time.Time) bool {
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
