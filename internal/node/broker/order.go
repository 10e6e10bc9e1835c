package broker

import (
	"slices"
	"sort"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// hasAhead reports whether waiters of the same or a higher priority are queued.
func (q *queue) hasAhead(n need) bool { return q.ahead(n) > 0 }

// expectedWait returns how long it takes to complete the units at a rate per second.
func expectedWait(units int, rate float64) time.Duration {
	if rate <= 0 {
		return maxExpectedWait
	}
	return time.Duration(min(float64(units)/rate, maxExpectedWait.Seconds()) * float64(time.Second))
}

// maxExpectedWait bounds the expected wait. It is longer than any timeout.
const maxExpectedWait = time.Hour

// ahead counts the units of the waiters that n does not precede and that compete with it.
func (q *queue) ahead(n need) int {
	sum := 0
	for _, other := range q.waiting {
		if !n.precedes(other.need) && n.competes(other.need) {
			sum += other.need.size()
		}
	}
	return sum
}

// competes reports whether o, in the same queue, may take what n waits for. Those that wait
// for the backend servers of a single version leave the others free.
func (n need) competes(o need) bool {
	return n.key.role == roster.Prefill || !o.software.limited() || n.software.sameVersion(o.software)
}

// precedes reports whether n is served before o although it has come later: resumed
// streams come first, since new ones can begin at the servers of any version, and then
// those of a higher priority.
func (n need) precedes(o need) bool {
	if n.software.bound != o.software.bound {
		return n.software.bound
	}
	return n.priority < o.priority
}

// rejectLate rejects the waiters whose total wait is now expected to exceed
// maxWait, so that their clients can retry early. b.mu must be held.
func (b *Broker) rejectLate(now time.Time, key queueKey) {
	q := b.queue(key)
	if len(q.waiting) == 0 {
		return
	}
	kept := q.waiting[:0]
	// The waiters are behind each other at all backend servers of the queue, not just at
	// the few that can go on with a stream. Resumed streams come first, and nothing that
	// waits is ahead of them.
	typical := q.waiting[max(slices.IndexFunc(q.waiting, func(w *waiter) bool { return !w.need.software.limited() }), 0)]
	v := b.views(now, typical)
	rate, ahead := v.throughput(typical.need), v.first.peerLoad.Waiting
	for _, w := range q.waiting {
		waited := now.Sub(w.since)
		if typical.need.competes(w.need) {
			ahead += w.need.size()
		}
		expected := expectedWait(ahead, rate)
		if w.need.software.bound {
			expected = 0
		}
		if waited+expected > w.need.maxWait+waitSlack {
			w.deliver(nil, errOverloaded)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// serveQueue issues free permits to the waiters in order. b.mu must be held.
func (b *Broker) serveQueue(now time.Time, key queueKey) {
	q := b.queue(key)
	if !b.byCost() {
		sort.SliceStable(q.waiting, func(i, k int) bool { return q.waiting[i].before(q.waiting[k], now) })
	}
	kept := q.waiting[:0]
	for i, w := range q.waiting {
		p := b.tryAcquire(now, w, b.views(now, w))
		if p == nil && (len(w.need.excluded) > 0 || w.need.software.limited()) {
			// This waiter can't use backend servers that may have permits for
			// those behind it.
			kept = append(kept, w)
			continue
		}
		if p == nil {
			kept = append(kept, q.waiting[i:]...)
			break
		}
		q.countServed(now, w)
		w.deliver(p, nil)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// before reports whether w is served before o: first resumed streams, then those that can
// still meet their latency target, then by priority, then by arrival.
func (w *waiter) before(o *waiter, now time.Time) bool {
	if w.need.software.bound != o.need.software.bound {
		return w.need.software.bound
	}
	late, otherLate := now.After(w.need.startBy), now.After(o.need.startBy)
	if late != otherLate {
		return otherLate
	}
	if w.need.priority != o.need.priority {
		return w.need.priority < o.need.priority
	}
	return w.since.Before(o.since)
}
