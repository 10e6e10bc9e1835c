package crash

import (
	"slices"
	"time"
)

// requestCauses returns the requests that crash servers and are not in quarantine. Those
// that are certain explain their crashes; one that they don't clear may be a bystander.
func (e *Evidence) requestCauses(now time.Time, known Known) []Cause {
	sums := e.tallyRequests(known)
	suspects := slices.DeleteFunc(slices.Clone(sums), func(t *tally) bool { return !t.proven(now) && !t.excusable() })
	var causes []Cause
	for _, t := range sums {
		if t.proven(now) && e.certain(t, suspects, known) {
			causes = append(causes, Cause{t.subject, QuarantineTime})
		}
	}
	for _, t := range e.provenRequests(now, known.with(causes)) {
		causes = append(causes, Cause{t.subject, bystanderTime})
	}
	return causes
}

// provenRequests returns the sums of the requests that were there at enough crashes, those
// first that were there at most.
func (e *Evidence) provenRequests(now time.Time, known Known) []*tally {
	return slices.DeleteFunc(e.tallyRequests(known), func(t *tally) bool { return !t.proven(now) })
}

// certain reports whether one of the suspects is no bystander: it was in doubt before and
// crashed a server again, or was there at a crash at which no other suspect was, and none
// in quarantine.
func (e *Evidence) certain(t *tally, suspects []*tally, known Known) bool {
	if _, again := e.doubts[t.subject]; again {
		return true
	}
	if t.crashes < t.required() {
		return false
	}
	others := func(subject string) bool {
		suspect := slices.ContainsFunc(suspects, func(s *tally) bool { return s.subject == subject })
		return subject != t.subject && isRequest(subject) && (suspect || known(subject) > 0)
	}
	return slices.ContainsFunc(e.crashes, func(c *crash) bool { return c.involved[t.subject] != nil && !c.any(others) })
}

// any reports whether one of the subjects of a crash meets the condition.
func (c *crash) any(condition func(subject string) bool) bool {
	for subject := range c.involved {
		if condition(subject) {
			return true
		}
	}
	return false
}

// tallyRequests returns the sums of the requests that are not in quarantine.
func (e *Evidence) tallyRequests(known Known) []*tally {
	sums := tallies{}
	for i, c := range e.crashes {
		explained := c.any(func(subject string) bool { return explains(subject, known(subject)) })
		for subject, v := range c.involved {
			switch {
			case !isRequest(subject) || !e.suspicious(subject) || known(subject) > 0:
			case explained || e.excused(c, subject):
				sums.addExplained(e, subject, c)
			default:
				sums.add(e, subject, c, v, e.outside(i, subject))
				sums.addBeside(subject, e.beside(c, subject, askFrom), e.beside(c, subject, 1))
			}
		}
	}
	return sums.sorted()
}

// beside reports whether another request was there at a crash that was never served, and
// that was there at this many crashes.
func (e *Evidence) beside(c *crash, subject string, crashes int) bool {
	return c.any(func(other string) bool {
		return other != subject && isRequest(other) && e.counts[other] >= crashes && e.succeeded[other].IsZero()
	})
}

// excused reports whether a crash is not held against a request that was served before, as
// one that never was may be the cause and was there at enough crashes.
func (e *Evidence) excused(c *crash, subject string) bool {
	return !e.succeeded[subject].IsZero() && e.beside(c, subject, requiredForRequest)
}

// suspicious reports whether the sums of a subject are of interest.
func (e *Evidence) suspicious(subject string) bool {
	_, relapse := e.relapses[subject]
	return relapse || e.counts[subject] >= askFrom
}

// outside reports whether another server ended at the same moment as in crash i without
// the subject or another request that may be a cause, which speaks for a common cause
// outside.
func (e *Evidence) outside(i int, subject string) bool {
	for _, c := range e.crashes {
		if c.at.Sub(e.crashes[i].at).Abs() < crashSpacing && !c.any(func(other string) bool {
			return other == subject || isRequest(other) && e.suspicious(other) && e.succeeded[other].Before(c.at)
		}) {
			return true
		}
	}
	return false
}

// tallyParts returns the sums of the parts that are not in quarantine. A crash counts if
// no known part explains it, and no known request but one with the part.
func (e *Evidence) tallyParts(known Known) []*tally {
	sums := tallies{}
	for _, c := range e.crashes {
		if c.any(func(subject string) bool { return !isRequest(subject) && explains(subject, known(subject)) }) {
			continue
		}
		causes := c.causes(known)
		for part, v := range c.involved {
			if !isRequest(part) && e.suspicious(part) && (len(causes) == 0 || v.carriedByAny(causes)) {
				sums.add(e, part, c, v, true)
			}
		}
	}
	return sums.sorted()
}

// causes returns the requests that explain the crash.
func (c *crash) causes(known Known) []uint64 {
	var causes []uint64
	for subject, v := range c.involved {
		if !isRequest(subject) || !explains(subject, known(subject)) {
			continue
		}
		for request := range v.requests {
			causes = append(causes, request)
		}
	}
	return causes
}

// carriedByAny reports whether one of the requests has the part.
func (v *involvement) carriedByAny(requests []uint64) bool {
	for _, request := range requests {
		if v.requests[request] {
			return true
		}
	}
	return false
}
