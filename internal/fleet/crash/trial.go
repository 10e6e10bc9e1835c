package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxTrials bounds the trials of a part during its quarantine, by all processes
	// together.
	maxTrials = 2
	// firstTrialAfter is the time from the finding of a part to its first trial,
	// secondTrialAfter that from the first trial to the second.
	firstTrialAfter  = 20 * time.Second
	secondTrialAfter = 120 * time.Second
	// trialNotice is the time from the claim of a trial to its request. The peers learn of
	// the claim meanwhile, and count the trial if this process dies during it.
	trialNotice = 100 * time.Millisecond
	// trialRetry is the pause after which a trial is repeated whose request reached no
	// server.
	trialRetry = time.Second
	// trialSettle is how long a process begins no trial after it was cut off from half of
	// the processes or paused. pausedAfter is the time between two calls of Observe from
	// which it counts as paused.
	trialSettle = 5 * time.Second
	pausedAfter = 700 * time.Millisecond
	// claimInterval is the pause after which a claim is told again, claimToldFor how long it
	// is told.
	claimInterval = 100 * time.Millisecond
	claimToldFor  = 3 * time.Second
)

// Claim is a trial of a part, which belongs to one process. The zero value is none.
type Claim struct {
	Process     string
	Incarnation uint64
	// At is when it was claimed.
	At time.Time
}

// precedes reports whether the owner of a claim keeps the trial if that of another one has
// claimed it too. The times of claims do not decide: processes see them differently.
func (c Claim) precedes(other Claim) bool {
	return cmp.Or(cmp.Compare(c.Process, other.Process), cmp.Compare(c.Incarnation, other.Incarnation)) < 0
}

// Trials has the trials of the parts in quarantine, as far as one process knows them, and
// the parts whose quarantine was withdrawn after a trial.
//
// A trial is one request with the part to one server. At most one process owns each of the
// maxTrials trials: it needs the votes of more than half of the processes, each of which
// votes for one owner. A process that started after the finding has no vote, since it may
// have forgotten one. An owner that dies has used its trial up; one whose request reached
// no server repeats it.
//
// Self, Incarnation and Started must be set before use. Trials is not safe for concurrent
// use.
type Trials struct {
	// Self is the name of this process.
	Self        string
	Incarnation uint64
	Started     time.Time

	parts map[string]*partTrials
	// withdrawn has when the trial began after which the quarantine of a part was
	// withdrawn.
	withdrawn map[string]time.Time
	// observed is when Observe was last called, disturbed when this process was last cut
	// off or paused.
	observed, disturbed time.Time
}

// partTrials are the trials of one part.
type partTrials struct {
	// first and latest are the times of the findings of the part.
	first, latest time.Time
	// members is the largest number of processes since this one knows of the finding.
	members int
	claims  [maxTrials]Claim
	// sent has which of this process's own trials may have reached a server, votes the
	// other processes that vote for them.
	sent  [maxTrials]bool
	votes [maxTrials]map[string]bool
	// current is the trial that this process began last, at the time begun. It is in progress
	// if running is set. told is when the peers were last told.
	current     int
	running     bool
	begun, told time.Time
}

// Found records a finding of a subject that is in quarantine until a time. It returns false
// if the quarantine was withdrawn since the finding.
func (t *Trials) Found(subject string, until time.Time) bool {
	if IsRequest(subject) {
		return true
	}
	found := until.Add(-QuarantineTime)
	if began, withdrawn := t.withdrawn[subject]; withdrawn {
		if !found.After(began) {
			return false
		}
		delete(t.withdrawn, subject)
	}
	p, known := t.parts[subject]
	if !known {
		if len(t.parts) >= maxSubjects {
			return true
		}
		if t.parts == nil {
			t.parts = map[string]*partTrials{}
		}
		p = &partTrials{first: found, latest: found}
		t.parts[subject] = p
	}
	if found.Before(p.first) {
		p.first = found
	}
	if found.After(p.latest) {
		p.latest = found
	}
	return true
}

// Observe records how many of the processes are live, this one included. It must be called
// several times within pausedAfter while Len is positive.
func (t *Trials) Observe(now time.Time, live, members int) {
	if now.Sub(t.observed) > pausedAfter || live < 2 || 2*live <= members {
		t.disturbed = now
	}
	t.observed = now
	for part, p := range t.parts {
		p.members = max(p.members, members)
		if now.Sub(p.latest) > QuarantineTime {
			delete(t.parts, part)
		}
	}
	maps.DeleteFunc(t.withdrawn, func(_ string, began time.Time) bool { return now.Sub(began) > QuarantineTime })
}

// Len returns the number of parts whose trials are known.
func (t *Trials) Len() int { return len(t.parts) }

// Begin begins a trial of a part if this process may try it now. chosen reports whether all
// processes choose this one for the part. Send and End take the time of the beginning.
func (t *Trials) Begin(now time.Time, part string, chosen func() bool) bool {
	p, known := t.parts[part]
	if !known || p.running || now.Sub(p.begun) < trialRetry || !t.witnessed(p) || !t.undisturbed(now) {
		return false
	}
	number, due := t.due(now, p)
	if !due || !chosen() {
		return false
	}
	p.claims[number] = Claim{t.Self, t.Incarnation, now}
	p.current, p.running, p.begun, p.told = number, true, now, time.Time{}
	return true
}

// due returns the next trial of a part, false if there is none yet.
func (t *Trials) due(now time.Time, p *partTrials) (number int, due bool) {
	next := p.latest.Add(firstTrialAfter)
	for i, c := range p.claims {
		if t.owns(c) && !p.sent[i] {
			return i, true
		}
		if c.Process == "" {
			return i, !now.Before(next)
		}
		next = c.At.Add(secondTrialAfter)
	}
	return 0, false
}

// owns reports whether a claim is this process's.
func (t *Trials) owns(c Claim) bool { return c.Process == t.Self && c.Incarnation == t.Incarnation }

// witnessed reports whether this process knows how it has voted since a part was found.
func (t *Trials) witnessed(p *partTrials) bool { return t.Started.Before(p.first) }

// undisturbed reports whether this process was neither cut off nor paused lately.
func (t *Trials) undisturbed(now time.Time) bool {
	return now.Sub(t.observed) <= pausedAfter && now.Sub(t.disturbed) >= trialSettle
}

// trial returns the trials of a part if this process's own is running that began at a time.
func (t *Trials) trial(part string, began time.Time) (*partTrials, bool) {
	p, known := t.parts[part]
	return p, known && p.running && p.begun.Equal(began) && t.owns(p.claims[p.current])
}

// Ready reports whether the request of the trial may be sent: the peers have had time to
// learn of it, and enough of them vote for it.
func (t *Trials) Ready(now time.Time, part string, began time.Time) bool {
	p, running := t.trial(part, began)
	return running && !p.sent[p.current] && now.Sub(began) >= trialNotice && t.undisturbed(now) && 2*(len(p.votes[p.current])+1) > p.members
}

// Send records that the request of the trial is sent now. It returns false if it must not be.
func (t *Trials) Send(now time.Time, part string, began time.Time) bool {
	if !t.Ready(now, part, began) {
		return false
	}
	p := t.parts[part]
	p.sent[p.current] = true
	return true
}

// End ends the trial. reached is set if its request may have reached a server; else the
// trial is repeated.
func (t *Trials) End(part string, began time.Time, reached bool) {
	if p, running := t.trial(part, began); running {
		p.running, p.sent[p.current] = false, reached
	}
}

// Tell returns the parts whose claims are to be told to all peers now.
func (t *Trials) Tell(now time.Time) []string {
	var parts []string
	for part, p := range t.parts {
		if (p.running || p.sent[p.current]) && now.Sub(p.begun) < claimToldFor && now.Sub(p.told) >= claimInterval {
			p.told = now
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// Claims returns the claims of the trials of a part, in order, and whether this process
// votes for them.
func (t *Trials) Claims(part string) (claims []Claim, vote bool) {
	p, known := t.parts[part]
	if !known {
		return nil, false
	}
	return slices.Clone(p.claims[:]), t.witnessed(p)
}

// Hear handles the claims that a member knows, and for which it votes if vote is set. A
// claim of a trial that has another owner here changes nothing, unless that is this process,
// it has sent no request, and the claim precedes its own: it leaves the trial to the other
// one then. Of two owners that hear each other exactly one keeps the trial.
func (t *Trials) Hear(from, part string, claims []Claim, vote bool) {
	p, known := t.parts[part]
	if !known {
		return
	}
	for i, c := range claims[:min(len(claims), maxTrials)] {
		own := t.owns(p.claims[i])
		switch {
		case c.Process == "":
		case t.owns(c):
			if own && vote {
				p.vote(i, from)
			}
		case p.claims[i].Process == "" || own && !p.sent[i] && c.precedes(p.claims[i]):
			p.claims[i] = c
		case p.claims[i].Process == c.Process && p.claims[i].Incarnation == c.Incarnation && c.At.After(p.claims[i].At):
			p.claims[i].At = c.At
		}
	}
	// A trial that was left to another process is not running any more.
	p.running = p.running && t.owns(p.claims[p.current])
}

// vote records that a process votes for a trial of this one.
func (p *partTrials) vote(number int, from string) {
	if p.votes[number] == nil {
		p.votes[number] = map[string]bool{}
	}
	p.votes[number][from] = true
}

// Withdraw withdraws a part after a trial that began at a time. It returns false, and
// changes nothing, if the part was found again since or too many are withdrawn. The withdrawal
// is remembered as long as a quarantine from before the trial may last.
func (t *Trials) Withdraw(part string, began time.Time) bool {
	if p, known := t.parts[part]; IsRequest(part) || known && p.latest.After(began) {
		return false
	}
	_, before := t.withdrawn[part]
	if !before && len(t.withdrawn) >= maxSubjects {
		return false
	}
	delete(t.parts, part)
	if t.withdrawn == nil {
		t.withdrawn = map[string]time.Time{}
	}
	// Network delay makes later copies seem to have begun later.
	if !before {
		t.withdrawn[part] = began
	}
	return true
}

// Withdrawn returns the parts that were withdrawn, and when the trial of each began.
func (t *Trials) Withdrawn() map[string]time.Time { return t.withdrawn }

// Forget forgets the trials of a part whose quarantine has ended.
func (t *Trials) Forget(part string) { delete(t.parts, part) }
