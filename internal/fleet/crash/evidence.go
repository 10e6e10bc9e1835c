package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// requiredCrashes is how many crashes a part must have been there at to be the
	// cause if no request with it was ever served, and requiredAfterSuccess if one was
	// before.
	requiredCrashes      = 4
	requiredAfterSuccess = 5
	// requiredRequests is how many different requests with the part must have been
	// there: those that share nothing but one request's retries are bounded already.
	requiredRequests = 2
	// settleTime is how long a process that collects reports asks who has served a
	// part before that becomes a cause.
	settleTime = 300 * time.Millisecond
	// crashSpacing is the time within which crashes count once.
	crashSpacing = 30 * time.Millisecond
	// askFrom is the number of crashes from which it is worth asking who has served a
	// part. askWithin is how long after the last report something is asked or found; it
	// is longer than settleTime.
	askFrom   = 2
	askWithin = 2 * time.Second
	// retention is how long a crash is evidence. maxCrashes and maxSuspects bound the
	// crashes and the parts of each.
	retention   = 10 * time.Minute
	maxCrashes  = 64
	maxSuspects = 512
	// maxAsked bounds the parts that Suspects returns.
	maxAsked = 32
)

// Evidence has the crashes of backend servers and the parts of prompts that were in
// progress there. The zero value is empty.
type Evidence struct {
	// crashes are in the order of their times.
	crashes []*crash
	// counts is the number of crashes at which a part was there.
	counts map[string]int
	// succeeded is when a part was last served, for parts that are suspect.
	succeeded map[string]time.Time
	// changed is when the last report came that says something new. Nothing is found
	// askWithin after that.
	changed time.Time
}

// crash is the end of one incarnation of a backend server.
type crash struct {
	server uint64
	// at is when it was, known when the last of the parts became known.
	at, known time.Time
	involved  map[string]*involvement
}

// involvement is that of a part in a crash.
type involvement struct {
	// position is that of the part in the prompt.
	position int
	requests map[uint64]bool
}

// Add adds a report.
func (e *Evidence) Add(now time.Time, r Report) {
	e.expire(now)
	c := e.crash(r)
	for i, s := range r.Suspects {
		if s.Part == "" || len(s.Part) > MaxPartBytes {
			continue
		}
		v, known := c.involved[s.Part]
		if !known {
			if len(c.involved) >= maxSuspects {
				continue
			}
			v = &involvement{position: i, requests: map[uint64]bool{}}
			c.involved[s.Part] = v
			e.count(s.Part, 1)
			c.known, e.changed = now, now
		}
		v.requests[r.Request] = true
		if !s.Succeeded.IsZero() {
			e.setSucceeded(s.Part, s.Succeeded)
		}
	}
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

// count adds to the number of crashes at which a part was there.
func (e *Evidence) count(part string, added int) {
	if e.counts == nil {
		e.counts = map[string]int{}
	}
	e.counts[part] += added
	if e.counts[part] == 0 {
		delete(e.counts, part)
		delete(e.succeeded, part)
	}
}

// drop forgets the parts of a crash that is not evidence any more.
func (e *Evidence) drop(c *crash) {
	for part := range c.involved {
		e.count(part, -1)
	}
}

// expire drops the crashes that are too old.
func (e *Evidence) expire(now time.Time) {
	for len(e.crashes) > 0 && now.Sub(e.crashes[0].at) > retention {
		e.drop(e.crashes[0])
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
}

// Succeeded records that a request with the part was served completely. It is ignored
// for a part that is not suspect.
func (e *Evidence) Succeeded(part string, at time.Time) {
	if e.counts[part] > 0 {
		e.setSucceeded(part, at)
	}
}

func (e *Evidence) setSucceeded(part string, at time.Time) {
	if e.succeeded == nil {
		e.succeeded = map[string]time.Time{}
	}
	if at.After(e.succeeded[part]) {
		e.succeeded[part] = at
	}
}

// Forget drops what is known against a part.
func (e *Evidence) Forget(part string) {
	for _, c := range e.crashes {
		delete(c.involved, part)
	}
	delete(e.counts, part)
	delete(e.succeeded, part)
}

// Causes returns the parts that are the cause of crashes, without those that known
// reports as such already.
func (e *Evidence) Causes(now time.Time, known func(part string) bool) []string {
	var causes []string
	if now.Sub(e.changed) >= askWithin {
		return nil
	}
	open := e.unexplained(known)
	for {
		tallies := e.tally(open)
		if len(tallies) == 0 || !tallies[0].proven(now) {
			return causes
		}
		cause := tallies[0].part
		causes = append(causes, cause)
		open = slices.DeleteFunc(open, func(c *crash) bool { return c.involved[cause] != nil })
	}
}

// Suspects returns the parts that may soon be the cause of crashes, those first that
// were there at most, for the processes to say whether they have served them.
func (e *Evidence) Suspects(now time.Time, known func(part string) bool) []string {
	var parts []string
	if now.Sub(e.changed) >= askWithin {
		return nil
	}
	for _, t := range e.tally(e.unexplained(known)) {
		if t.crashes >= askFrom && now.Sub(t.last) < askWithin && len(parts) < maxAsked {
			parts = append(parts, t.part)
		}
	}
	return parts
}

// unexplained returns the crashes at which no part was there that known reports.
func (e *Evidence) unexplained(known func(part string) bool) []*crash {
	return slices.DeleteFunc(slices.Clone(e.crashes), func(c *crash) bool {
		for part := range c.involved {
			if known(part) {
				return true
			}
		}
		return false
	})
}

// tally sums the crashes of one part.
type tally struct {
	part string
	// crashes counts those at which the part was there and after which it was not
	// served; several within crashSpacing count once.
	crashes, position int
	// requests has up to requiredRequests of the requests with the part.
	requests map[uint64]bool
	// servedBefore is set if the part was served before the first of them.
	servedBefore bool
	// last is when the last of them was, known when the last report of them came.
	last, known time.Time
}

// required returns how many crashes prove the part to be the cause.
func (t *tally) required() int {
	if t.servedBefore {
		return requiredAfterSuccess
	}
	return requiredCrashes
}

// proven reports whether the part is the cause of its crashes.
func (t *tally) proven(now time.Time) bool {
	return t.crashes >= t.required() && len(t.requests) >= requiredRequests && now.Sub(t.known) >= settleTime
}

// tally returns the sums of the parts that were there at askFrom crashes or more, the
// most likely cause first: the one with most crashes over what is required, and of
// equals the one that is later in its prompt, which fewer requests share.
func (e *Evidence) tally(crashes []*crash) []*tally {
	byPart := map[string]*tally{}
	for _, c := range crashes {
		for part, v := range c.involved {
			if e.counts[part] < askFrom {
				continue
			}
			succeeded := e.succeeded[part]
			if !succeeded.Before(c.at) {
				continue
			}
			t, known := byPart[part]
			if !known {
				t = &tally{part: part, requests: map[uint64]bool{}, servedBefore: !succeeded.IsZero()}
				byPart[part] = t
			}
			t.add(c, v)
		}
	}
	list := make([]*tally, 0, len(byPart))
	for _, t := range byPart {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(b.crashes-b.required(), a.crashes-a.required()), cmp.Compare(b.position, a.position), cmp.Compare(a.part, b.part))
	})
	return list
}

// add adds a crash, which is not older than those before.
func (t *tally) add(c *crash, v *involvement) {
	for request := range v.requests {
		if len(t.requests) >= requiredRequests {
			break
		}
		t.requests[request] = true
	}
	t.position = max(t.position, v.position)
	if t.crashes > 0 && c.at.Sub(t.last) < crashSpacing {
		return
	}
	t.crashes++
	t.last = c.at
	if t.crashes <= t.required() && c.known.After(t.known) {
		t.known = c.known
	}
}
