package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// requiredCrashes is how many crashes a part must have been there at to be the
	// cause if no request with it was ever served, and requiredAfterSuccess if one was
	// before.
	requiredCrashes      = 4
	requiredAfterSuccess = 5
	// requiredElsewhere is how many of them must have been without the request with the
	// part that was there at most: one request says nothing of its parts.
	requiredElsewhere = 2
	// requiredForRequest is how many crashes a request must have been there at to be a
	// cause. One is enough if it was the cause of crashes before, within relapseTime, of
	// which is remembered for maxRelapses requests.
	// A request that was served before, beside one that never was, needs
	// requiredAfterSuccess.
	requiredForRequest = 3
	relapseTime        = time.Hour
	maxRelapses        = 256
	// settleTime is how long a process that collects reports asks who has served a
	// subject before that becomes a cause.
	settleTime = 300 * time.Millisecond
	// crashSpacing is the time within which crashes count once.
	crashSpacing = 30 * time.Millisecond
	// askFrom is the number of crashes from which it is worth asking who has served a
	// subject. askWithin is how long after the last report something is asked or found; it
	// is longer than settleTime.
	askFrom   = 2
	askWithin = 2 * time.Second
	// retention is how long a crash is evidence. maxCrashes and maxSuspects bound the
	// crashes and the subjects of each.
	retention   = 10 * time.Minute
	maxCrashes  = 64
	maxSuspects = 512
	// maxAsked bounds the subjects that Suspects returns.
	maxAsked = 32
)

// Evidence has the crashes of backend servers and the subjects that were in progress
// there. The zero value is empty.
type Evidence struct {
	// crashes are in the order of their times.
	crashes []*crash
	// counts is the number of crashes at which a subject was there.
	counts map[string]int
	// succeeded is when a subject was last served, for those that are suspect.
	succeeded map[string]time.Time
	// relapses has the requests that were found to be causes, and when, doubts those that
	// may have been bystanders and weren't seen to be served since.
	relapses, doubts map[string]time.Time
	// changed is when the last report came that says something new. Nothing is found
	// askWithin after that.
	changed time.Time
}

// crash is the end of one incarnation of a backend server.
type crash struct {
	server uint64
	// at is when it was, known when the last of the subjects became known.
	at, known time.Time
	involved  map[string]*involvement
}

// involvement is that of a subject in a crash.
type involvement struct {
	// position is that of a part in the prompt.
	position int
	// requests are the contents of the requests with the subject.
	requests map[uint64]bool
}

// Add adds a report.
func (e *Evidence) Add(now time.Time, r Report) {
	e.expire(now)
	c := e.crash(r)
	e.involve(now, c, RequestSubject(r.Request), 0, r.Request)
	for i, s := range r.Suspects {
		if s.Part == "" || len(s.Part) > MaxPartBytes || isRequest(s.Part) {
			continue
		}
		e.involve(now, c, s.Part, i, r.Request)
		if !s.Succeeded.IsZero() {
			e.setSucceeded(s.Part, s.Succeeded)
		}
	}
}

// involve records that a request with a subject was there at a crash.
func (e *Evidence) involve(now time.Time, c *crash, subject string, position int, request uint64) {
	v, known := c.involved[subject]
	if !known {
		if len(c.involved) >= maxSuspects {
			return
		}
		v = &involvement{position: position, requests: map[uint64]bool{}}
		c.involved[subject] = v
		e.count(subject, 1)
		c.known, e.changed = now, now
	}
	v.requests[request] = true
}

// crash returns the crash that is reported, which it adds if it is new.
func (e *Evidence) crash(r Report) *crash {
	for _, c := range e.crashes {
		if c.server == r.Server {
			return c
		}
	}
	if len(e.crashes) >= maxCrashes {
		e.drop(e.crashes[0])
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
	c := &crash{server: r.Server, at: r.At, involved: map[string]*involvement{}}
	i, _ := slices.BinarySearchFunc(e.crashes, r.At, func(c *crash, at time.Time) int { return c.at.Compare(at) })
	e.crashes = slices.Insert(e.crashes, i, c)
	return c
}

// count adds to the number of crashes at which a subject was there.
func (e *Evidence) count(subject string, added int) {
	if e.counts == nil {
		e.counts = map[string]int{}
	}
	e.counts[subject] += added
	if e.counts[subject] == 0 {
		delete(e.counts, subject)
		delete(e.succeeded, subject)
	}
}

// drop forgets the subjects of a crash that is not evidence any more.
func (e *Evidence) drop(c *crash) {
	for subject := range c.involved {
		e.count(subject, -1)
	}
}

// expire drops what is too old.
func (e *Evidence) expire(now time.Time) {
	for len(e.crashes) > 0 && now.Sub(e.crashes[0].at) > retention {
		e.drop(e.crashes[0])
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
	for _, found := range []map[string]time.Time{e.relapses, e.doubts} {
		maps.DeleteFunc(found, func(_ string, at time.Time) bool { return now.Sub(at) > relapseTime })
	}
}

// Succeeded records that a request with the subject was served completely. It is ignored
// for a subject that is not suspect.
func (e *Evidence) Succeeded(subject string, at time.Time) {
	if doubted, ok := e.doubts[subject]; ok && at.After(doubted) {
		delete(e.doubts, subject)
	}
	if e.counts[subject] > 0 {
		e.setSucceeded(subject, at)
	}
}

func (e *Evidence) setSucceeded(subject string, at time.Time) {
	if e.succeeded == nil {
		e.succeeded = map[string]time.Time{}
	}
	if at.After(e.succeeded[subject]) {
		e.succeeded[subject] = at
	}
}

// Found records that a subject was found to be a cause, by whatever process, and is in
// quarantine for a time.
func (e *Evidence) Found(now time.Time, subject string, quarantine time.Duration) {
	if !isRequest(subject) || quarantine <= 0 {
		return
	}
	if explains(subject, quarantine) {
		remember(&e.relapses, subject, now)
		return
	}
	remember(&e.doubts, subject, now)
}

// remember adds a subject to those that were found, if there is space.
func remember(found *map[string]time.Time, subject string, at time.Time) {
	if *found == nil {
		*found = map[string]time.Time{}
	}
	if len(*found) < maxRelapses {
		(*found)[subject] = at
	}
}

// Forget drops what is known against a subject.
func (e *Evidence) Forget(subject string) {
	for _, c := range e.crashes {
		delete(c.involved, subject)
	}
	delete(e.counts, subject)
	delete(e.succeeded, subject)
	delete(e.relapses, subject)
	delete(e.doubts, subject)
}

// Known returns for how long a subject stays in quarantine, 0 if it is in none.
type Known func(subject string) time.Duration

// with returns the function that knows these causes too.
func (k Known) with(causes []Cause) Known {
	return func(subject string) time.Duration {
		for _, c := range causes {
			if c.Subject == subject {
				return c.For
			}
		}
		return k(subject)
	}
}

// explains reports whether crashes need no other cause if the subject, which is in
// quarantine for the time, was there.
func explains(subject string, quarantine time.Duration) bool {
	if isRequest(subject) {
		return quarantine > bystanderTime
	}
	return quarantine > 0
}

// Causes returns the causes of crashes, without those that are known already.
func (e *Evidence) Causes(now time.Time, known Known) []Cause {
	if now.Sub(e.changed) >= askWithin {
		return nil
	}
	causes := e.requestCauses(now, known)
	for {
		tallies := e.tallyParts(known.with(causes))
		if len(tallies) == 0 || !tallies[0].proven(now) {
			return causes
		}
		causes = append(causes, Cause{tallies[0].subject, QuarantineTime})
	}
}

// Suspects returns the subjects that may soon be the cause of crashes, for the processes to
// say whether they have served them: first those of the last crashes, and of these those
// that were there at most.
func (e *Evidence) Suspects(now time.Time, known Known) []string {
	if now.Sub(e.changed) >= askWithin {
		return nil
	}
	var subjects, earlier []string
	for _, t := range append(e.tallyRequests(known), e.tallyParts(known)...) {
		switch {
		case t.crashes < askFrom && !t.relapse && !t.resumed():
		case now.Sub(t.last) < askWithin:
			subjects = append(subjects, t.subject)
		default:
			// Its crashes may have been reported late.
			earlier = append(earlier, t.subject)
		}
	}
	subjects = append(subjects, earlier...)
	return subjects[:min(len(subjects), maxAsked)]
}

// tally sums the crashes of one subject.
type tally struct {
	subject string
	// crashes counts those at which the subject was there and after which it was not
	// served; several at the same moment may count once.
	crashes, position int
	// explained counts those with a known cause, which are no proof by themselves.
	explained int
	// carriers has, for each counted crash, the requests with the subject.
	carriers []map[uint64]bool
	// servedBefore is set if the subject was served before the first of them, relapse
	// if it was the cause of earlier ones.
	servedBefore, relapse bool
	// rival is set if a suspicious request that was never served was there too at one of
	// them, alone if no request was there at one that was never served.
	rival, alone bool
	// last is when the last of them was, known when the last report of them came.
	last, known time.Time
}

// required returns how many crashes prove the subject to be the cause.
func (t *tally) required() int {
	switch {
	case t.relapse:
		return 1
	case isRequest(t.subject) && !(t.servedBefore && t.rival):
		return requiredForRequest
	case t.servedBefore:
		return requiredAfterSuccess
	}
	return requiredCrashes
}

// elsewhere returns the number of crashes without the request that was there at most.
func (t *tally) elsewhere() int {
	counts, most := map[uint64]int{}, 0
	for _, requests := range t.carriers {
		for request := range requests {
			counts[request]++
			most = max(most, counts[request])
		}
	}
	return len(t.carriers) - most
}

// proven reports whether the subject is the cause of its crashes, or a request that may
// be and is to be kept away from servers meanwhile.
func (t *tally) proven(now time.Time) bool {
	enough := t.crashes >= t.required() && (isRequest(t.subject) || t.elsewhere() >= requiredElsewhere) || t.resumed()
	return enough && now.Sub(t.known) >= settleTime
}

// resumed reports whether a request that was there at enough crashes with a known cause
// was there at one without: it may be a second cause. If it was served before, it must have
// been there without one that never was.
func (t *tally) resumed() bool {
	return t.crashes > 0 && t.explained >= requiredForRequest && (t.alone || !t.servedBefore)
}

// excusable reports whether the subject is a request that would be proven if it had not been
// served before.
func (t *tally) excusable() bool {
	return isRequest(t.subject) && t.servedBefore && t.crashes+t.explained >= requiredForRequest
}

// add adds a crash, which is not older than those before. spaced is set if it must not
// count beside another one at the same moment.
func (t *tally) add(c *crash, v *involvement, spaced bool) {
	t.position = max(t.position, v.position)
	if t.crashes > 0 && spaced && c.at.Sub(t.last) < crashSpacing {
		return
	}
	t.carriers = append(t.carriers, v.requests)
	t.crashes++
	t.last = c.at
	if t.crashes <= t.required() && c.known.After(t.known) {
		t.known = c.known
	}
}

// tallies has the sums of several subjects.
type tallies map[string]*tally

// add adds a crash to the sums of a subject that was there, unless it was served since.
func (t tallies) add(e *Evidence, subject string, c *crash, v *involvement, spaced bool) {
	if e.succeeded[subject].Before(c.at) {
		t.sum(e, subject).add(c, v, spaced)
	}
}

// addExplained adds a crash with a known cause at which a request was there too, unless
// it was served since.
func (t tallies) addExplained(e *Evidence, subject string, c *crash) {
	if e.succeeded[subject].Before(c.at) {
		t.sum(e, subject).explained++
	}
}

// addBeside records whether requests that were never served were there at a crash, if that
// counts.
func (t tallies) addBeside(subject string, suspicious, any bool) {
	if sum, counted := t[subject]; counted {
		sum.rival = sum.rival || suspicious
		sum.alone = sum.alone || !any
	}
}

// sum returns the sums of a subject.
func (t tallies) sum(e *Evidence, subject string) *tally {
	sum, known := t[subject]
	if !known {
		_, relapse := e.relapses[subject]
		sum = &tally{subject: subject, servedBefore: !e.succeeded[subject].IsZero(), relapse: relapse}
		t[subject] = sum
	}
	return sum
}

// sorted returns the sums, the most likely cause first: the one with most crashes over
// what is required, and of equals the one that is later in its prompt, which fewer
// requests share.
func (t tallies) sorted() []*tally {
	return slices.SortedFunc(maps.Values(t), func(a, b *tally) int {
		return cmp.Or(cmp.Compare(b.crashes-b.required(), a.crashes-a.required()), cmp.Compare(b.position, a.position), cmp.Compare(a.subject, b.subject))
	})
}
