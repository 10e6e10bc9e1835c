package usage

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// Answer is what a request shows of the way to its backend server.
type Answer int

// The answers.
const (
	// Unproven shows nothing, as when the client disconnected early or no connection could
	// be made.
	Unproven Answer = iota
	// Responded is a response of a kind that a backend server of the service gives,
	// complete or begun.
	Responded
	// Unanswered is a connection closed without a response, an attempt that was aborted
	// since the backend server is stalled, or a response of a wrong server.
	Unanswered
)

const (
	// minUnanswered is the number of requests without a response after which a backend
	// server counts as unreachable: a single one may have ended with its server.
	minUnanswered = 2
	// minCut is the number of backend servers that can't be connected to from which on the
	// links of this process may be cut.
	minCut = 2
	// tellTime is how long a backend server has not responded before it counts as
	// unreachable. Meanwhile peers that fail there too say so, and are not handed requests.
	tellTime = 200 * time.Millisecond
	// retryInterval is the least time between two requests to a backend server that does
	// not respond.
	retryInterval = time.Second
)

// Reach counts the backend servers of a service by whether this process reaches them. The
// zero value has none.
type Reach struct {
	// All counts all, Undialable those to which no connection can be made.
	All, Undialable int
	// Unresponsive counts those that accept connections and do not respond to requests,
	// Doubtful those that may not: they have not responded to the last request.
	Unresponsive, Doubtful int
}

// Add counts a backend server.
func (r *Reach) Add(s Snapshot) {
	r.All++
	switch {
	case s.Undialable:
		r.Undialable++
	case s.Unresponsive:
		r.Unresponsive++
	case s.Unanswered > 0:
		r.Doubtful++
	}
}

// MayBeCut reports whether connections to half of the backend servers or more fail, and to
// more than one.
func (r Reach) MayBeCut() bool { return r.Undialable >= minCut && 2*r.Undialable >= r.All }

// NoneDialable reports whether connections to all of the backend servers fail.
func (r Reach) NoneDialable() bool { return r.All > 0 && r.Undialable == r.All }

// NoneResponds reports whether no backend server can be connected to and responds.
func (r Reach) NoneResponds() bool { return r.All > 0 && r.Undialable+r.Unresponsive == r.All }

// NoneProven is NoneResponds, but also counts the servers that have not responded to the last
// request. A process that tells its peers so is not handed requests by one that fails at
// the same servers and has tried them once more.
func (r Reach) NoneProven() bool {
	return r.All > 0 && r.Undialable+r.Unresponsive+r.Doubtful == r.All
}

// contact tracks whether a backend server responds while the links of this process may be
// cut. The zero value tracks nothing.
type contact struct {
	// since is the time of the last response, or the time at which tracking began. Only
	// requests that were sent after it count.
	since time.Time
	// sent has requests without a response.
	sent [minUnanswered]unanswered
	// failing is since when minUnanswered requests count, zero if fewer do.
	failing time.Time
	// lastSent is when the last request was sent.
	lastSent time.Time
}

// unanswered is a request without a response. The zero value is none.
type unanswered struct {
	at time.Time
	// open is set while the request is in progress, failed once it counts.
	open, failed bool
}

// tracked reports whether the state of the backend server is tracked.
func (c *contact) tracked() bool { return !c.since.IsZero() }

// watch begins or ends the tracking.
func (c *contact) watch(now time.Time, on bool) {
	switch {
	case !on:
		*c = contact{}
	case !c.tracked():
		*c = contact{since: now}
	}
}

// start records a request that is sent now.
func (c *contact) start(now time.Time) {
	if !c.tracked() {
		return
	}
	c.lastSent = now
	for i := range c.sent {
		if c.sent[i].at.IsZero() {
			c.sent[i] = unanswered{at: now, open: true}
			return
		}
	}
}

// end records the end of a request that was sent at the time.
func (c *contact) end(now, sent time.Time, a Answer) {
	switch {
	case !c.tracked():
	case a == Responded:
		c.respond(now)
	case sent.Before(c.since):
	default:
		c.close(sent, a == Unanswered)
		c.decide(now)
	}
}

// respond records a response: it ends the state of a server that does not respond.
func (c *contact) respond(now time.Time) {
	if c.tracked() {
		*c = contact{since: now, lastSent: c.lastSent}
	}
}

// close records the end of a request without a response. One that has failed and was not
// recorded when it was sent takes the place of another one.
func (c *contact) close(sent time.Time, failed bool) {
	other := -1
	for i, s := range c.sent {
		if s.open && s.at.Equal(sent) {
			c.sent[i] = unanswered{}
			if failed || s.failed {
				c.sent[i] = unanswered{at: sent, failed: true}
			}
			return
		}
		if !s.failed {
			other = i
		}
	}
	if failed && other >= 0 {
		c.sent[other] = unanswered{at: sent, failed: true}
	}
}

// settle records requests in progress that have had no response for the time after which the
// backend server counts as stalled.
func (c *contact) settle(now time.Time, stall time.Duration) {
	for i, s := range c.sent {
		c.sent[i].failed = s.failed || !s.at.IsZero() && now.Sub(s.at) > stall
	}
	c.decide(now)
}

// decide records when the backend server began to fail.
func (c *contact) decide(now time.Time) {
	if c.failing.IsZero() && c.count() == minUnanswered {
		c.failing = now
	}
}

// unresponsive reports whether the backend server counts as unreachable.
func (c *contact) unresponsive(now time.Time) bool {
	return !c.failing.IsZero() && now.Sub(c.failing) >= tellTime
}

// count returns the number of requests that count as unanswered, at most minUnanswered.
func (c *contact) count() int {
	n := 0
	for _, s := range c.sent {
		if s.failed {
			n++
		}
	}
	return n
}

// tryAgain reports whether a request may be sent to a backend server that does not respond.
func (c *contact) tryAgain(now time.Time) bool {
	if c.failing.IsZero() || now.Sub(c.lastSent) < retryInterval {
		return false
	}
	c.lastSent = now
	return true
}

// Watch begins or ends tracking whether the backend servers respond. It is for a time at
// which the links of this process may be cut.
func (t *Table) Watch(now time.Time, servers []roster.Server, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range servers {
		if r, ok := t.records[Incarnation{s.ID, s.Born}]; ok || on {
			if !ok {
				r = t.record(s)
			}
			// Without requests, the state must not be forgotten.
			r.lastUsed = now
			r.contact.watch(now, on)
		}
	}
}

// TryAgain reports whether a request may be sent to find out whether the backend server, which
// has not responded to the last ones, responds again. It returns true once a second at most.
func (t *Table) TryAgain(now time.Time, server roster.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[Incarnation{server.ID, server.Born}]
	return ok && !r.undialable && !now.Before(r.pausedUntil) && r.contact.tryAgain(now)
}
