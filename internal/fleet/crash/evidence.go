package crash

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// cause. One is enough if it was the cause of crashes before, within relapseTime,
	// which is remembered for as many requests as a Quarantine has.
	// A request that was served before, beside one that never was, needs
	// requiredAfterSuccess.
	requiredForRequest = 3
	relapseTime        = time.Hour
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
	// retention is how long a crash is evidence, maxCrashes how many are.
	retention  = 10 * time.Minute
	maxCrashes = 64
	// maxAppearances bounds the subjects at all crashes together. The oldest crashes make
	// room, but keptCrashes of them, which are enough to find a cause. Of those beyond a
	// crash's share only a bit is kept, and they count from the next crash on.
	maxAppearances = 1 << 17
	keptCrashes    = 8
	// maxAsked bounds the subjects that Suspects returns. It is more than a prompt has.
	maxAsked = 4096
)

// Evidence has the crashes of backend servers and the subjects that were in progress
// there. The zero value is empty.
type Evidence struct {
	// crashes are in the order of their times.
	crashes []*crash
	// index has the subjects that were there at crashes, repeated those of them that were
	// there at askFrom or more: no other can be a cause, but for a relapse.
	index    map[string]*subject
	repeated map[*subject]bool
	// appearances is the sum of the subjects of all crashes, beyond has those that there
	// was no room for.
	appearances int
	beyond      filter
	// found has the subjects that were found to be causes, and when.
	found map[string]time.Time
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
	// contents are those of the requests that were there, requests their subjects; nil
	// for one that was forgotten.
	contents []uint64
	requests []*subject
	subjects []*subject
}

// subject is a request or a part of prompts that was there at crashes.
type subject struct {
	name    string
	request bool
	// at has the crashes, in the order of their times.
	at []appearance
	// succeeded is when it was last served.
	succeeded time.Time
}

// appearance is that of a subject at a crash.
type appearance struct {
	crash *crash
	// position is that of a part in the prompt.
	position int
	carriers carriers
}

// carriers are the requests with a subject at a crash, as bits by the index in its contents.
// The last bit stands for all further ones.
type carriers uint64

// maxCarriers is the number of bits.
const maxCarriers = 64

// carrier returns the bit of a request, which it adds if it is new.
func (c *crash) carrier(content uint64) carriers {
	i := slices.Index(c.contents, content)
	if i < 0 {
		i = len(c.contents)
		c.contents = append(c.contents, content)
	}
	return 1 << min(i, maxCarriers-1)
}

// each calls do for the contents of the requests.
func (c *crash) each(set carriers, do func(content uint64)) {
	for i, content := range c.contents {
		if set&(1<<min(i, maxCarriers-1)) != 0 {
			do(content)
		}
	}
}

// Empty reports whether there are no subjects.
func (e *Evidence) Empty() bool { return len(e.index) == 0 }

// Add adds a report. One with the other parts of the same prompt may follow.
func (e *Evidence) Add(now time.Time, r Report) {
	e.expire(now)
	c := e.crash(r)
	bit := c.carrier(r.Request)
	e.involve(now, c, RequestSubject(r.Request), 0, bit)
	for i, s := range r.Suspects {
		name := PartSubject(s.Part)
		if name == "" {
			continue
		}
		e.involve(now, c, name, r.First+i, bit)
		if !s.Succeeded.IsZero() {
			e.setSucceeded(name, s.Succeeded)
		}
	}
}

// involve records that a request with a subject was there at a crash.
func (e *Evidence) involve(now time.Time, c *crash, name string, position int, bit carriers) {
	s := e.index[name]
	if s != nil {
		if a := s.find(c); a != nil {
			a.carriers |= bit
			return
		}
	}
	if !e.makeRoom(c, s != nil) && !(e.beyond.set(name) && e.appearances < 2*maxAppearances) {
		return
	}
	if s == nil {
		if e.index == nil {
			e.index, e.repeated = map[string]*subject{}, map[*subject]bool{}
		}
		s = &subject{name: strings.Clone(name), request: IsRequest(name)}
		e.index[s.name] = s
	}
	i, _ := slices.BinarySearchFunc(s.at, c.at, func(a appearance, at time.Time) int { return a.crash.at.Compare(at) })
	s.at = slices.Insert(s.at, i, appearance{c, position, bit})
	c.subjects = append(c.subjects, s)
	if s.request {
		c.requests = append(c.requests, s)
	}
	e.appearances++
	if len(s.at) >= askFrom {
		e.repeated[s] = true
	}
	c.known, e.changed = now, now
}

// find returns the appearance at a crash, nil if there is none.
func (s *subject) find(c *crash) *appearance {
	for i := range slices.Backward(s.at) {
		if s.at[i].crash == c {
			return &s.at[i]
		}
	}
	return nil
}

// makeRoom reports whether a subject may be added to a crash, known says whether it was there
// at another one. The oldest crashes make room.
func (e *Evidence) makeRoom(c *crash, known bool) bool {
	for e.appearances >= maxAppearances && len(e.crashes) > keptCrashes && e.crashes[0] != c {
		e.dropFirst()
	}
	return known && e.appearances < 2*maxAppearances || e.appearances < maxAppearances && len(c.subjects) < maxAppearances/keptCrashes
}

// filter has a bit for each of many subjects, by their hash. The zero value has none.
type filter struct {
	words []uint64
	count int
}

// bitsWords is the number of words in a filter. They are cleared when maxBits are set.
const (
	bitsWords = 1 << 14
	maxBits   = bitsWords * 64 / 4
)

// set sets the bit of a subject, and returns whether it was set.
func (b *filter) set(name string) bool {
	if b.words == nil || b.count > maxBits {
		*b = filter{words: make([]uint64, bitsWords)}
	}
	hash := xxhash.Sum64String(name)
	word, bit := &b.words[hash>>6%bitsWords], uint64(1)<<(hash&63)
	before := *word&bit != 0
	if !before {
		b.count++
	}
	*word |= bit
	return before
}

// crash returns the crash that is reported, which it adds if it is new.
func (e *Evidence) crash(r Report) *crash {
	for _, c := range e.crashes {
		if c.server == r.Server {
			return c
		}
	}
	if len(e.crashes) >= maxCrashes {
		e.dropFirst()
	}
	c := &crash{server: r.Server, at: r.At}
	i, _ := slices.BinarySearchFunc(e.crashes, r.At, func(c *crash, at time.Time) int { return c.at.Compare(at) })
	e.crashes = slices.Insert(e.crashes, i, c)
	return c
}

// dropFirst drops the oldest crash, and forgets the subjects that were there only.
func (e *Evidence) dropFirst() {
	c := e.crashes[0]
	e.crashes = slices.Delete(e.crashes, 0, 1)
	for _, s := range c.subjects {
		s.at = slices.DeleteFunc(s.at, func(a appearance) bool { return a.crash == c })
		e.appearances--
		if len(s.at) < askFrom {
			delete(e.repeated, s)
		}
		if len(s.at) == 0 {
			delete(e.index, s.name)
		}
	}
}

// expire drops what is too old.
func (e *Evidence) expire(now time.Time) {
	for len(e.crashes) > 0 && now.Sub(e.crashes[0].at) > retention {
		e.dropFirst()
	}
	for _, found := range []map[string]time.Time{e.found, e.relapses, e.doubts} {
		maps.DeleteFunc(found, func(_ string, at time.Time) bool { return now.Sub(at) > relapseTime })
	}
}

// Succeeded records that a request with the subject was served completely. It is ignored
// for a subject that is not suspect.
func (e *Evidence) Succeeded(name string, at time.Time) {
	if doubted, ok := e.doubts[name]; ok && at.After(doubted) {
		delete(e.doubts, name)
	}
	e.setSucceeded(name, at)
}

func (e *Evidence) setSucceeded(name string, at time.Time) {
	if s := e.index[name]; s != nil && at.After(s.succeeded) {
		s.succeeded = at
	}
}

// ServedSince reports whether a subject is known to be served since the last crash at which it
// was there.
func (e *Evidence) ServedSince(name string) bool {
	s := e.index[name]
	return s != nil && len(s.at) > 0 && !s.succeeded.Before(s.at[len(s.at)-1].crash.at)
}

// Found records that a subject was found to be a cause, by whatever process, and is in
// quarantine for a time.
func (e *Evidence) Found(now time.Time, name string, quarantine time.Duration) {
	if quarantine <= 0 {
		return
	}
	remember(&e.found, name, now, maxSubjects)
	switch {
	case !IsRequest(name):
	case explains(name, quarantine):
		remember(&e.relapses, name, now, maxSubjects)
	default:
		remember(&e.doubts, name, now, maxSubjects)
	}
}

// remember adds a subject to those that were found, if there is space.
func remember(found *map[string]time.Time, subject string, at time.Time, most int) {
	if *found == nil {
		*found = map[string]time.Time{}
	}
	if len(*found) < most {
		(*found)[subject] = at
	}
}

// Forget drops what is known against a subject.
func (e *Evidence) Forget(name string) {
	if s := e.index[name]; s != nil {
		for _, a := range s.at {
			c := a.crash
			c.subjects = slices.DeleteFunc(c.subjects, func(other *subject) bool { return other == s })
			c.requests = slices.DeleteFunc(c.requests, func(other *subject) bool { return other == s })
		}
		e.appearances -= len(s.at)
		delete(e.repeated, s)
	}
	delete(e.index, name)
	delete(e.found, name)
	delete(e.relapses, name)
	delete(e.doubts, name)
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
	if IsRequest(subject) {
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
	// requests sums the requests with the subject at each of them.
	requests int
	// counted has the appearances that count.
	counted []appearance
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
	case IsRequest(t.subject) && !(t.servedBefore && t.rival):
		return requiredForRequest
	case t.servedBefore:
		return requiredAfterSuccess
	}
	return requiredCrashes
}

// elsewhere returns the number of crashes without the request that was there at most.
func (t *tally) elsewhere() int {
	counts, most := map[uint64]int{}, 0
	for _, a := range t.counted {
		a.crash.each(a.carriers, func(content uint64) {
			counts[content]++
			most = max(most, counts[content])
		})
	}
	return len(t.counted) - most
}

// proven reports whether the subject is the cause of its crashes, or a request that may
// be and is to be kept away from servers meanwhile.
func (t *tally) proven(now time.Time) bool {
	enough := t.crashes >= t.required() && (IsRequest(t.subject) || t.elsewhere() >= requiredElsewhere) || t.resumed()
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
	return IsRequest(t.subject) && t.servedBefore && t.crashes+t.explained >= requiredForRequest
}

// add adds an appearance at a crash, which is not older than those before. spaced is set if
// it must not count beside another one at the same moment.
func (t *tally) add(a appearance, spaced bool) {
	t.position = max(t.position, a.position)
	c := a.crash
	if t.crashes > 0 && spaced && c.at.Sub(t.last) < crashSpacing {
		return
	}
	t.counted = append(t.counted, a)
	t.requests += bits.OnesCount64(uint64(a.carriers))
	t.crashes++
	t.last = c.at
	if t.crashes <= t.required() && c.known.After(t.known) {
		t.known = c.known
	}
}

// sum returns the empty sums of a subject.
func (e *Evidence) sum(s *subject) *tally {
	_, relapse := e.relapses[s.name]
	return &tally{subject: s.name, servedBefore: !s.succeeded.IsZero(), relapse: relapse}
}

// sorted returns the sums, the most likely cause first: the one with most crashes over
// what is required, and of equals the one that fewer requests share: that were there, or as
// it is later in its prompt.
func sorted(tallies []*tally) []*tally {
	slices.SortFunc(tallies, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(b.crashes-b.required(), a.crashes-a.required()), cmp.Compare(a.requests, b.requests), cmp.Compare(b.position, a.position), cmp.Compare(a.subject, b.subject))
	})
	return tallies
}
