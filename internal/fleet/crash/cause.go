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
	others := func(other *subject) bool {
		suspect := slices.ContainsFunc(suspects, func(s *tally) bool { return s.subject == other.name })
		return other.name != t.subject && (suspect || known(other.name) > 0)
	}
	return slices.ContainsFunc(e.index[t.subject].at, func(a appearance) bool { return !a.crash.any(others) })
}

// any reports whether one of the requests that were there at a crash meets the condition.
func (c *crash) any(condition func(request *subject) bool) bool {
	return slices.ContainsFunc(c.requests, condition)
}

// explained says which crashes have a known cause: by a part, and which of the requests at a
// crash are causes.
type explained struct {
	byPart    map[*crash]bool
	byRequest map[*crash]carriers
}

// explained returns the crashes with a known cause.
func (e *Evidence) explained(known Known) explained {
	x := explained{map[*crash]bool{}, map[*crash]carriers{}}
	e.candidates(func(s *subject) {
		if !explains(s.name, known(s.name)) {
			return
		}
		for _, a := range s.at {
			if s.request {
				x.byRequest[a.crash] |= a.carriers
			} else {
				x.byPart[a.crash] = true
			}
		}
	})
	return x
}

// candidates calls do for the subjects that may be causes: they were there at several crashes,
// or have been found before.
func (e *Evidence) candidates(do func(s *subject)) {
	for s := range e.repeated {
		do(s)
	}
	for name := range e.found {
		if s := e.index[name]; s != nil && !e.repeated[s] {
			do(s)
		}
	}
}

// tallyRequests returns the sums of the requests that are not in quarantine.
func (e *Evidence) tallyRequests(known Known) []*tally {
	var sums []*tally
	x := e.explained(known)
	e.candidates(func(s *subject) {
		if !s.request || !e.suspicious(s) || known(s.name) > 0 {
			return
		}
		sum := e.sum(s)
		for _, a := range s.at {
			e.addRequest(sum, s, a, x.byPart[a.crash] || x.byRequest[a.crash] != 0)
		}
		if sum.crashes+sum.explained > 0 {
			sums = append(sums, sum)
		}
	})
	return sorted(sums)
}

// addRequest adds the appearance of a request at a crash to its sums, unless it was served
// since. It is no proof if the crash has a known cause.
func (e *Evidence) addRequest(sum *tally, s *subject, a appearance, explained bool) {
	served := !s.succeeded.Before(a.crash.at)
	switch {
	case explained || e.excused(a.crash, s):
		if !served {
			sum.explained++
		}
		return
	case !served:
		sum.add(a, e.outside(a.crash, s))
	}
	if sum.crashes+sum.explained > 0 {
		sum.rival = sum.rival || e.beside(a.crash, s, askFrom)
		sum.alone = sum.alone || !e.beside(a.crash, s, 1)
	}
}

// beside reports whether another request was there at a crash that was never served, and
// that was there at this many crashes.
func (e *Evidence) beside(c *crash, s *subject, crashes int) bool {
	return c.any(func(other *subject) bool {
		return other != s && len(other.at) >= crashes && other.succeeded.IsZero()
	})
}

// excused reports whether a crash is not held against a request that was served before, as
// one that never was may be the cause and was there at enough crashes.
func (e *Evidence) excused(c *crash, s *subject) bool {
	return !s.succeeded.IsZero() && e.beside(c, s, requiredForRequest)
}

// suspicious reports whether the sums of a subject are of interest.
func (e *Evidence) suspicious(s *subject) bool {
	_, relapse := e.relapses[s.name]
	return relapse || len(s.at) >= askFrom
}

// outside reports whether another server ended at the same moment as in a crash without
// the request or another one that may be a cause, which speaks for a common cause outside.
func (e *Evidence) outside(same *crash, s *subject) bool {
	for _, c := range e.crashes {
		if c.at.Sub(same.at).Abs() < crashSpacing && !c.any(func(other *subject) bool {
			return other == s || e.suspicious(other) && other.succeeded.Before(c.at)
		}) {
			return true
		}
	}
	return false
}

// tallyParts returns the sums of the parts that are not in quarantine. A crash counts if
// no known part explains it, and no known request but one with the part.
func (e *Evidence) tallyParts(known Known) []*tally {
	var sums []*tally
	x := e.explained(known)
	for s := range e.repeated {
		// Most parts are shared by requests that are served all the time.
		if s.request || !s.succeeded.Before(s.at[len(s.at)-1].crash.at) {
			continue
		}
		sum := e.sum(s)
		for _, a := range s.at {
			causes := x.byRequest[a.crash]
			if s.succeeded.Before(a.crash.at) && !x.byPart[a.crash] && (causes == 0 || causes&a.carriers != 0) {
				sum.add(a, true)
			}
		}
		if sum.crashes > 0 {
			sums = append(sums, sum)
		}
	}
	return sorted(sums)
}
