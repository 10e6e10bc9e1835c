package crash

import (
	"maps"
	"sync"
	"time"
)

// QuarantineTime is how long prompts with a part that crashes backend servers are kept
// away from them.
const QuarantineTime = 10 * time.Minute

// Quarantine has the parts of prompts that crash backend servers. The zero value has
// none.
type Quarantine struct {
	mu    sync.RWMutex
	until map[string]time.Time
}

// Add puts a part into quarantine until a time, or prolongs that. It returns whether
// the part is new.
func (q *Quarantine) Add(part string, until time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	before, known := q.until[part]
	if q.until == nil {
		q.until = map[string]time.Time{}
	}
	if until.After(before) {
		q.until[part] = until
	}
	return !known
}

// Remove ends the quarantine of a part. It returns whether there was one.
func (q *Quarantine) Remove(part string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, known := q.until[part]
	delete(q.until, part)
	return known
}

// Until returns the end of the quarantine of a prompt with the parts, false if none of
// them is in quarantine.
func (q *Quarantine) Until(now time.Time, parts []string) (time.Time, bool) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	var latest time.Time
	for _, part := range parts {
		if until := q.until[part]; until.After(now) && until.After(latest) {
			latest = until
		}
	}
	return latest, !latest.IsZero()
}

// Parts returns the parts in quarantine and the end of it.
func (q *Quarantine) Parts() map[string]time.Time {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return maps.Clone(q.until)
}

const (
	// successRetention is how long it is remembered that a part was served,
	// maxSuccesses of how many parts.
	successRetention = 10 * time.Minute
	maxSuccesses     = 8192
)

// Successes has when the requests with a part were last served completely. The zero
// value is empty.
type Successes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// Record records that a request with the parts was served completely.
func (s *Successes) Record(now time.Time, parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[string]time.Time{}
	}
	for _, part := range parts {
		if len(part) <= MaxPartBytes {
			s.last[part] = now
		}
	}
	if len(s.last) > maxSuccesses {
		s.trim(now)
	}
}

// trim removes old entries, and arbitrary ones until a quarter of the space is free.
func (s *Successes) trim(now time.Time) {
	maps.DeleteFunc(s.last, func(_ string, at time.Time) bool { return now.Sub(at) > successRetention })
	for part := range s.last {
		if len(s.last) <= maxSuccesses*3/4 {
			return
		}
		delete(s.last, part)
	}
}

// Last returns when a request with the part was last served, zero if that is not
// known.
func (s *Successes) Last(part string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[part]
}
