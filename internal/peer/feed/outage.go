package feed

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// A follower that reads from a relay does not call the store and sees no outage. If a short
// one ends soon after the relay refuses, the follower's own calls have failed for too short
// a time to count. So a relay reports for how long its calls have failed. One report
// alone is no outage: the relay may have lost the store while others reach it, and a backend
// server that leaves must not be kept then. It counts if this process's own call fails too, or
// if all of several relays report it.

// report is a relay's report of at that its calls to the store have failed since a time.
type report struct{ at, since time.Time }

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
			f.Health.RecordFailure(r.since, v.Name)
		}
	}
}

// allFail records an outage if there are several relays and the calls of all fail. The caller
// must hold mu.
func (f *Feed) allFail(now time.Time, relays []Process) {
	for _, p := range relays {
		r, ok := f.failing[p.Name]
		if !ok || now.Sub(r.at) > reportFor || r.at.Sub(r.since) < outageAfter {
			return
		}
	}
	if len(relays) > 1 {
		f.Health.RecordOutage(now)
	}
}
