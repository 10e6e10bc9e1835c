package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
)

// Claim is what a process has learned of a request that may crash backend servers, for the
// other processes.
type Claim struct {
	Kind ClaimKind
	// Content identifies the request.
	Content uint64
	// Server is a hash of the name of the backend server that ended, else 0.
	Server uint64
	// At is when the backend server ended or the request was served, or when its
	// quarantine ends.
	At time.Time
}

// ClaimKind is the kind of a Claim.
type ClaimKind int

// The kinds of claims.
const (
	// Ended means that a backend server ended with the request in progress.
	Ended ClaimKind = iota
	// Served means that the request was served completely.
	Served
	// Quarantined means that the request crashes backend servers.
	Quarantined
)

const (
	// claimRepeats is in how many messages a process tells a claim, as some processes
	// that get it know it already. maxClaims bounds the claims that are still to be told.
	claimRepeats = 4
	maxClaims    = 256
	// servedSpacing is the time between two claims that a request was served.
	servedSpacing = 200 * time.Millisecond
	// sameEnd is how far apart the times may be at which processes saw the end of a
	// backend server.
	sameEnd = 500 * time.Millisecond
	// maxEnds bounds the ends of backend servers that are remembered, for startRetention.
	maxEnds = 256
)

// end is the end of a backend server, as any process saw it.
type end struct {
	server uint64
	at     time.Time
	// contents are those of the requests in progress.
	contents map[uint64]bool
}

// key returns the hash that identifies the end in this process.
func (e *end) key() uint64 {
	return xxhash.Sum64String(strconv.FormatUint(e.server, 16) + "/" + strconv.FormatInt(e.at.UnixNano(), 10))
}

// addEnd adds a request that was in progress at the end of a backend server to the
// evidence. It returns false if that is known. q.mu must be held.
func (q *quarantine) addEnd(now time.Time, server, content uint64, at time.Time) bool {
	q.ends = slices.DeleteFunc(q.ends, func(e *end) bool { return now.Sub(e.at) > startRetention })
	i := slices.IndexFunc(q.ends, func(e *end) bool { return e.server == server && e.at.Sub(at).Abs() < sameEnd })
	if i < 0 {
		if len(q.ends) >= maxEnds {
			q.ends = slices.Delete(q.ends, 0, 1)
		}
		i = len(q.ends)
		q.ends = append(q.ends, &end{server: server, at: at, contents: map[uint64]bool{}})
	}
	e := q.ends[i]
	if e.contents[content] || len(e.contents) >= maxClaims {
		return false
	}
	e.contents[content] = true
	q.evidence.Add(now, crash.Report{Server: e.key(), Request: content, At: e.at})
	return true
}

// tell makes a claim one of those that the process tells. q.mu must be held.
func (q *quarantine) tell(c Claim) {
	if q.pending == nil {
		q.pending = map[Claim]int{}
	}
	if len(q.pending) < maxClaims {
		q.pending[c] = claimRepeats
	}
}

// learn adds a claim of another process. It returns whether it is new. q.mu must be held.
func (q *quarantine) learn(now time.Time, c Claim) bool {
	subject := crash.RequestSubject(c.Content)
	switch c.Kind {
	case Ended:
		return q.addEnd(now, c.Server, c.Content, c.At)
	case Served:
		if c.At.Sub(q.served.Last(subject)) < servedSpacing {
			return false
		}
		q.served.Record(c.At, []string{subject})
		return true
	case Quarantined:
		left := min(c.At.Sub(now), crash.QuarantineTime)
		if left <= 0 {
			return false
		}
		q.evidence.Found(now, subject, left)
		return q.subjects.Add(subject, now.Add(left))
	}
	return false
}

// tellServed clears the suspect requests that were served, and tells of them. q.mu must be
// held.
func (q *quarantine) tellServed(suspects []string) {
	for _, subject := range suspects {
		content, err := crash.RequestContent(subject)
		last := q.served.Last(subject)
		if err != nil || last.IsZero() {
			continue
		}
		q.evidence.Succeeded(subject, last)
		if last.Sub(q.told[content]) < servedSpacing {
			continue
		}
		if q.told == nil || len(q.told) >= maxClaims {
			q.told = map[uint64]time.Time{}
		}
		q.told[content] = last
		q.tell(Claim{Kind: Served, Content: content, At: last})
	}
}

// Claims returns up to limit claims that are still to be told, and counts one more message
// of each. If full is set, those of all requests in quarantine are among them.
func (c *Core) Claims(limit int, full bool) []Claim {
	q := &c.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Claim
	for claim, left := range q.pending {
		if len(list) >= limit {
			break
		}
		list = append(list, claim)
		q.pending[claim] = left - 1
		if left <= 1 {
			delete(q.pending, claim)
		}
	}
	if !full {
		return list
	}
	for subject, until := range q.subjects.Subjects() {
		if content, err := crash.RequestContent(subject); err == nil {
			list = append(list, Claim{Kind: Quarantined, Content: content, At: until})
		}
	}
	return list
}

// Learn adds the claims of another process, and returns whether any of them is new, which
// is then told on.
func (c *Core) Learn(claims []Claim) bool {
	q := &c.quarantine
	now := time.Now()
	changed := false
	q.mu.Lock()
	for _, claim := range claims {
		if q.learn(now, claim) {
			q.tell(claim)
			changed = true
			if claim.Kind == Quarantined {
				c.Log.Info("quarantine begun elsewhere", zap.String("Subject", crash.RequestSubject(claim.Content)), zap.Duration("Left", claim.At.Sub(now)))
			}
		}
	}
	q.mu.Unlock()
	if changed {
		c.findCauses(now)
	}
	return changed
}
