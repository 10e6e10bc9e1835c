package feed

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/follow"
)

// A follower that reads from a relay does not call the store and sees no outage. If a short
// one ends soon after the relay refuses, the follower's own calls have failed for too short
// a time to count. So a relay reports for how long its calls have failed. One report
// alone is no outage: the relay may have lost the store while others reach it, and a backend
// server that leaves must not be kept then. It counts if this process's own call fails too, or
// if all of several relays report it.

// report is a relay's report of at that its calls to the store have failed since a time.
type report struct{ at, since time.Time }

// reported stands for the callers of other processes.
const reported = "Relays"

// reportFor is how long a report counts.
const reportFor = 2 * time.Second

// recordReport records what a relay reports of its calls to the store.
func (f *Feed) recordReport(now time.Time, relay Process, answer *wire.FeedAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answer.FailingMs <= 0 {
		delete(f.failing, relay.Name)
		return
	}
	f.failing[relay.Name] = report{now, now.Add(-time.Duration(answer.FailingMs) * time.Millisecond)}
}

// confirmOutage tells Health, as a call of this process has failed, since when calls of a
// relay had. The caller must hold mu.
func (f *Feed) confirmOutage(now time.Time, v *view) {
	for _, r := range f.failing {
		if now.Sub(r.at) < reportFor {
			f.Health.RecordFailure(time.Time{}, r.since, v.Name)
		}
	}
}

// allFail records an outage if there are several relays and the calls of all fail. The caller
// must hold mu.
func (f *Feed) allFail(now time.Time, relays []Process) {
	oldest := now
	for _, p := range relays {
		r, ok := f.failing[p.Name]
		if !ok || now.Sub(r.at) > reportFor || r.at.Sub(r.since) < outageAfter {
			return
		}
		oldest = earlier(oldest, r.at)
	}
	if len(relays) > 1 {
		f.Health.RecordOutage(follow.Outage{NotBefore: oldest.Add(-noticeWithin), Seen: now, Lasting: true, Failed: reported})
	}
}

// noticeWithin is how late a relay may see the end of an outage: a call times out, and a pause
// follows.
const noticeWithin = 2 * time.Second

// encodeOutage adds an outage to an answer if it ended a short time ago.
func encodeOutage(a *wire.FeedPart, o follow.Outage, now time.Time) {
	if o.Seen.IsZero() || now.Sub(o.Seen) >= outageReportTime {
		return
	}
	a.Outage = true
	a.OutageSeenMs = uint32(now.Sub(o.Seen).Milliseconds()) + 1
	a.OutageSpanMs = uint32(min(o.Seen.Sub(o.NotBefore), maxOutageSpan).Milliseconds())
}

// maxOutageSpan bounds the time in which an outage may have ended, for a process that does
// not know when.
const maxOutageSpan = time.Hour

// decodeOutage returns the outage of an answer, at the latest time that it can have ended. A
// relay of an older build doesn't say when that was.
func decodeOutage(a *wire.FeedPart, now time.Time) follow.Outage {
	if a.OutageSeenMs == 0 {
		return follow.Outage{NotBefore: now.Add(-outageReportTime), Seen: now, Failed: reported, Answered: reported}
	}
	seen := now.Add(-time.Duration(a.OutageSeenMs-1) * time.Millisecond)
	return follow.Outage{NotBefore: seen.Add(-time.Duration(a.OutageSpanMs) * time.Millisecond), Seen: seen, Failed: reported, Answered: reported}
}
