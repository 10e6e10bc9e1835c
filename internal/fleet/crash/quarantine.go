package crash

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// QuarantineTime is how long a subject that crashes backend servers is kept away from
	// them.
	QuarantineTime = 10 * time.Minute
	// bystanderTime is that of a request which may be a bystander of another.
	bystanderTime = time.Minute
	// maxSubjects bounds the subjects in quarantine.
	maxSubjects = 1024
)

// Quarantine has the subjects that crash backend servers. The zero value has none.
type Quarantine struct {
	mu    sync.RWMutex
	until map[string]time.Time
}

// Add puts a subject into quarantine until a time, or prolongs that. It returns whether
// the subject is new.
func (q *Quarantine) Add(subject string, until time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	before, known := q.until[subject]
	if q.until == nil {
		q.until = map[string]time.Time{}
	}
	if !known && len(q.until) >= maxSubjects {
		q.removeEarliest()
	}
	if until.After(before) {
		q.until[subject] = until
	}
	return !known
}

// removeEarliest removes the subject whose quarantine ends first. q.mu must be held.
func (q *Quarantine) removeEarliest() {
	earliest := ""
	for subject, until := range q.until {
		if earliest == "" || until.Before(q.until[earliest]) {
			earliest = subject
		}
	}
	delete(q.until, earliest)
}

// Remove ends the quarantine of a subject. It returns whether there was one.
func (q *Quarantine) Remove(subject string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, known := q.until[subject]
	delete(q.until, subject)
	return known
}

// Until returns the end of the quarantine of a request with the subjects, false if none
// of them is in quarantine.
func (q *Quarantine) Until(now time.Time, subjects []string) (time.Time, bool) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	var latest time.Time
	if len(q.until) == 0 {
		return latest, false
	}
	for _, subject := range subjects {
		if until := q.until[subject]; until.After(now) && until.After(latest) {
			latest = until
		}
	}
	return latest, !latest.IsZero()
}

// Subjects returns the subjects in quarantine and the end of it.
func (q *Quarantine) Subjects() map[string]time.Time {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return maps.Clone(q.until)
}

const (
	// successRetention is how long it is remembered at least that a subject was served, if
	// not more than successesPerAge are in that time.
	successRetention = 10 * time.Minute
	successesPerAge  = 16384
)

// Successes has when the requests with a subject were last served completely, for
// successRetention. If there are many subjects, those that were not served for longest are
// forgotten first. The zero value is empty.
type Successes struct {
	mu sync.Mutex
	// young has the subjects by hash that were served since began, old those of the age
	// before, with the time from base to when they were.
	young, old  map[uint64]time.Duration
	base, began time.Time
}

// Record records that a request with the subjects was served completely.
func (s *Successes) Record(now time.Time, subjects []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.young == nil:
		s.young, s.base, s.began = map[uint64]time.Duration{}, now, now
	case len(s.young) >= successesPerAge || now.Sub(s.began) > successRetention:
		s.old, s.young, s.began = s.young, make(map[uint64]time.Duration, len(s.young)/2), now
	}
	at := now.Sub(s.base)
	for _, subject := range subjects {
		s.young[xxhash.Sum64String(subject)] = at
	}
}

// Last returns when a request with the subject was last served, zero if that is not
// known.
func (s *Successes) Last(subject string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash := xxhash.Sum64String(subject)
	at, ok := s.young[hash]
	if !ok {
		at, ok = s.old[hash]
	}
	if !ok {
		return time.Time{}
	}
	return s.base.Add(at)
}
